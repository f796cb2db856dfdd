// Package claim implements the replicated state machine of once-only calls,
// which may run at most once.
//
// A claim records the progress of one call under its idempotency key. It goes
// from claimed to sent and ends as answered, not run or unknown. The state
// claimed is committed before anything is sent, and the state sent is committed
// before the entry writes the first byte to a backend server. A call whose claim
// is in state claimed has therefore certainly not run.
//
// Each attempt at a call has a unique ID. Only the attempt that owns the claim
// may change its state, so a delayed message of an earlier attempt has no effect.
package claim
