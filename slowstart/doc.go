// Package slowstart decides how many requests an entry sends to a backend server that has just
// started or recovered, while other servers of its service are in normal use. It uses no network
// and no clock.
//
// Each entry holds a concurrency window for each run of a server and learns it from the answers that
// it gets itself. At the start the windows of all entries add up to a few requests. Each good answer
// raises one entry's window by one request, so the sum doubles with each round of answers however
// many entries there are. A failure, a refusal or slow answers halve it.
package slowstart
