// Package metering counts the requests of workspaces by windows of time, and decides once for each
// window what is reported. Entries count (Book), the leader of a replicated log merges the counts and
// proposes decisions (Plan), and the log holds what was decided (State). The package needs no network.
package metering
