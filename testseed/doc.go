// Package testseed makes property tests reproducible. It is used by tests only.
package testseed
