// Package endpoint checks the names and addresses under which backend servers announce
// themselves, before a process stores them, sends them on or connects to them.
package endpoint
