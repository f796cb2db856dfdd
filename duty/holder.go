package duty

import (
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

// Fence identifies the holder of the duties in a call. Holders at different times have different tokens,
// and later ones have higher tokens.
type Fence struct {
	Holder string
	Token  uint64
}

// Leadership is what a member of the replicated log knows about its own leadership.
type Leadership struct {
	Term           uint64       // term that this member leads
	LeaseRemaining clock.Millis // 0 if the member does not lead or does not hold the leader lease
}

// Options are the settings of a Holder.
type Options struct {
	Name string // of this machine: two processes that may hold the duties need different names
	// HolderLease is how long a new holder waits before its first call, so that holders that change
	// quickly do not act in turns.
	HolderLease    clock.Millis
	CallsPerSecond float64 // of all duties together
	Clock          clock.Clock
	Leadership     func() Leadership
}

// Holder decides whether this process may act as the holder of the duties. It is safe for concurrent
// use.
type Holder struct {
	options Options

	mu     sync.Mutex
	term   uint64       // newest term that this member has led
	since  clock.Millis // when it has first held the leader lease of the term
	budget *Budget
	counts [len(outcomeNames)]uint64
}

// NewHolder returns a holder that has not acted in any term.
func NewHolder(o Options) *Holder {
	return &Holder{options: o, budget: NewBudget(o.CallsPerSecond)}
}

// Fence returns the fence of this process, and whether it may act. It must be called regularly: the
// wait at the begin of a term counts from the first call in it.
func (h *Holder) Fence() (Fence, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence()
}

// fence is Fence for callers that hold the lock.
func (h *Holder) fence() (Fence, bool) {
	// The lease is read after the time: what passes in between shortens the lease, not the wait.
	now := h.options.Clock.Now()
	leadership := h.options.Leadership()
	if leadership.LeaseRemaining <= 0 {
		return Fence{}, false
	}
	if leadership.Term > h.term {
		h.term, h.since = leadership.Term, now
	}
	f := Fence{Holder: h.options.Name, Token: leadership.Term}
	return f, leadership.Term == h.term && now-h.since >= h.options.HolderLease
}

// MayAct reports whether a call with this fence may be sent now. Call it directly before the call is
// written.
func (h *Holder) MayAct(f Fence) bool {
	current, ok := h.Fence()
	return ok && current == f
}

// Begin returns the fence for a call and takes the call from the budget. It returns false if this
// process may not act, or not yet.
func (h *Holder) Begin() (Fence, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f, ok := h.fence()
	return f, ok && h.budget.Take(h.options.Clock.Now())
}

// End records the outcome of a call that Begin has allowed.
func (h *Holder) End(o Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.Record(h.options.Clock.Now(), o)
	h.counts[o]++
}

// State describes a Holder in the state dump.
type State struct {
	Acts  bool              `json:"acts"`
	Token uint64            `json:"token"` // of the newest term that this member has led
	Pause clock.Millis      `json:"pause_ms"`
	Calls map[string]uint64 `json:"calls"` // by outcome
}

// State returns the state for the state dump.
func (h *Holder) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, acts := h.fence()
	s := State{Acts: acts, Token: h.term, Pause: h.budget.Pause(), Calls: map[string]uint64{}}
	for _, o := range Outcomes {
		s.Calls[o.String()] = h.counts[o]
	}
	return s
}

// Calls returns the number of calls with an outcome.
func (h *Holder) Calls(o Outcome) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[o]
}
