// Package relay is the data path for HTTP routes: it takes requests from callers,
// chooses a backend server for each, and passes the answer back. A request ends
// with the server's whole answer, with a refusal that is true, or with an error
// that promises nothing.
//
// Each caller's connection has two goroutines: one reads requests and notices
// that the caller has gone, the other answers. Decisions about servers are made
// under one lock in fleet, because a hand-over to another goroutine costs a
// wake-up on VMs with a fraction of a core.
package relay
