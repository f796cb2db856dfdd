// Package entry implements the entry process, which is on the data path: it
// accepts callers' requests, queues them by class, chooses a backend server for
// each one and forwards the answers.
//
// The dispatcher goroutine owns the queue, the server registry and the router.
// All other goroutines send it functions through its inbox, which it runs one
// after another. Each request also has a goroutine of its own, because reading
// and writing a stream blocks on sockets.
package entry
