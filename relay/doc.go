// Package relay is the data path for HTTP routes: it accepts requests from
// callers, chooses a backend server for each and forwards the response. A request
// ends in one of three ways: with the server's complete response, with a refusal
// that guarantees that the request did not run, or with an error that leaves open
// whether it ran.
//
// Each caller's connection has two goroutines: one reads requests and detects
// that the caller has disconnected, the other sends the responses. Servers are
// chosen under one lock in fleet, because handing the choice to another goroutine
// costs a scheduler wake-up on VMs with a fraction of a core.
package relay
