package entry

import (
	"sync/atomic"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/routing"
)

// callerRequest describes one validated request of a caller. The request's own goroutine
// and the dispatcher share it. After submit nothing in it changes but the atomic fields
// and the pending interruption.
type callerRequest struct {
	id           string
	workspace    string
	pool         string
	class        class.Class
	arrived      clock.Millis
	onceOnly     bool     // not idempotent, so it runs at most once
	refuseIfLate bool     // refuse it when its latency target cannot be met
	streamed     bool     // whether the caller wants a streamed answer
	promptTokens int      // estimated number of prompt tokens
	prefix       []uint64 // hashes of the prompt's prefixes, for cache-aware routing
	// producedTokens is the number of tokens received so far. It is written by the request's
	// goroutine and read by the dispatcher.
	producedTokens atomic.Int64
	// firstTokenAt is the time of the first token in milliseconds on the entry's clock,
	// or zero.
	firstTokenAt atomic.Int64
	// assigned receives the dispatcher's decisions. At most one is pending at a time.
	assigned chan assignment
	// interrupts passes interruptions to the running attempt.
	interrupts interrupter
}

// assignment is a decision of the dispatcher: the server that a request was assigned
// to, or the problem for which it was refused.
type assignment struct {
	server      string
	incarnation uint64 // of the server
	address     string
	version     string // of the server's software
	priority    int    // for the engine's own queue
	assignedAt  clock.Millis
	rejection   *problem
	beginsAnew  bool // the server cannot continue what earlier ones have produced
}

func newCallerRequest(id, workspace, pool string, c class.Class, now clock.Millis) *callerRequest {
	return &callerRequest{
		id:        id,
		workspace: workspace,
		pool:      pool,
		class:     c,
		arrived:   now,
		assigned:  make(chan assignment, 1),
	}
}

// item returns the request as the admission queue needs it.
func (r *callerRequest) item() admission.Item {
	return admission.Item{
		ID:             r.id,
		Workspace:      r.workspace,
		Pool:           r.pool,
		Class:          r.class,
		Arrived:        r.arrived,
		Deadline:       r.arrived + r.class.Target(),
		OnceOnly:       r.onceOnly,
		RefuseIfLate:   r.refuseIfLate,
		ProducedTokens: int(r.producedTokens.Load()),
	}
}

// request returns the request as the router needs it. Servers in excluded are not chosen.
func (r *callerRequest) request(excluded []string) routing.Request {
	return routing.Request{
		ID:             r.id,
		Pool:           r.pool,
		Tier:           r.class.Tier(),
		PromptTokens:   r.promptTokens,
		ProducedTokens: int(r.producedTokens.Load()),
		PrefixHashes:   r.prefix,
		Class:          r.class.Name(),
		Exclude:        excluded,
	}
}
