// Package routing chooses the backend server for a request.
//
// A decision compares a few candidates from the pool's set of servers with a free
// slot: two at random, and the servers that probably hold a prefix of the prompt
// in their cache. The candidate with the shortest predicted time to first token
// wins. The set of free servers and the number of free slots change with each
// event, so a decision does not depend on the number of servers.
package routing
