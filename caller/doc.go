// Package caller is a small client of the caller API, for the demo and for tests.
package caller
