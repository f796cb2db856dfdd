// Package duty decides which process may make calls that only one process at a time may make, and at
// what pace: reports of usage and orders for servers. The holder is the leader of a replicated log. Each
// call carries its fence, whose token increases with each holder. The package needs no network.
package duty
