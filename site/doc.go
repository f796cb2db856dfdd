// Package site runs a whole site inside one process on loopback addresses: control
// members, entries, stand-in engines and stand-in services. The demo and the
// experiments of the load command use it.
package site
