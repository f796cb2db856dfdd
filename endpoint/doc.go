// Package endpoint checks the addresses under which backend servers say that they can be
// reached, before a process stores them or connects to them.
package endpoint
