// Package claim holds the replicated state of at-most-once calls.
//
// A claim goes from claimed to sent and ends as answered, not run or unknown.
// The claim commits before anything is sent, and sent commits before the first
// byte leaves the entry, so a claim in state claimed has certainly not run. Each
// attempt at a call has a name of its own; only the attempt that owns the claim
// may move it on, so a message of an earlier attempt that arrives late changes
// nothing.
package claim
