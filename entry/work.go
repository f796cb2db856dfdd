package entry

import (
	"sync/atomic"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/routing"
)

// work describes one request that was validated. The request's own goroutine and the
// dispatcher share it. After submit nothing in it changes but the atomic fields and the
// pending interruption.
type work struct {
	id           string
	workspace    string
	pool         string
	class        class.Class
	arrived      clock.Millis
	onceOnly     bool     // not idempotent, so it runs at most once
	refuseIfLate bool     // refuse it when its latency target cannot be met
	streamed     bool     // the caller wants a streamed answer
	promptTokens int      // estimate
	prefix       []uint64 // hashes of the prompt's prefixes, for cache-aware routing
	// producedTokens is the number of tokens received so far. It is written by the request's
	// goroutine and read by the dispatcher.
	producedTokens atomic.Int64
	// firstToken is the time in milliseconds of the first token, or zero.
	firstToken atomic.Int64
	// assigned receives the dispatcher's decisions. At most one is pending at a time.
	assigned chan assignment
	// interrupts passes interruptions to the running attempt.
	interrupts interrupter
}

// assignment is a decision of the dispatcher: the server that a request was assigned
// to, or the problem for which it was refused.
type assignment struct {
	server     string
	address    string
	priority   int          // for the engine's own queue
	assignedAt clock.Millis // when the request was assigned
	rejection  *problem
}

func newWork(id, workspace, pool string, c class.Class, now clock.Millis) *work {
	return &work{
		id:        id,
		workspace: workspace,
		pool:      pool,
		class:     c,
		arrived:   now,
		assigned:  make(chan assignment, 1),
	}
}

// item returns the queue's view of the work.
func (w *work) item() admission.Item {
	return admission.Item{
		ID:             w.id,
		Workspace:      w.workspace,
		Pool:           w.pool,
		Class:          w.class,
		Arrived:        w.arrived,
		Deadline:       w.arrived + w.class.Target(),
		OnceOnly:       w.onceOnly,
		RefuseIfLate:   w.refuseIfLate,
		ProducedTokens: int(w.producedTokens.Load()),
	}
}

// request returns the router's view of the work. Servers in excluded are not chosen.
func (w *work) request(excluded []string) routing.Request {
	return routing.Request{
		ID:             w.id,
		Pool:           w.pool,
		Tier:           w.class.Tier(),
		PromptTokens:   w.promptTokens,
		ProducedTokens: int(w.producedTokens.Load()),
		PrefixHashes:   w.prefix,
		Class:          w.class.Name(),
		Exclude:        excluded,
	}
}
