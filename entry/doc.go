// Package entry is the process on the data path: it takes requests from
// callers, queues them by class, chooses a backend server for each and relays
// the answers.
//
// Each request passes through one goroutine per stage. The dispatcher goroutine
// owns queue, registry and router; everyone else talks to it through its inbox.
// Each request has a goroutine of its own, because a stream blocks on its
// sockets.
package entry
