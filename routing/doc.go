// Package routing chooses the backend server for a request.
//
// A pool is the set of servers of one model or service. Each decision compares a
// few servers that have a free slot: two at random, and those whose cache probably
// contains a prefix of the prompt. The candidate with the shortest predicted time
// to first token is chosen. The set of servers with a free slot and the number of
// free slots are updated on each event, so the cost of a decision does not depend
// on the number of servers.
package routing
