package entry

import (
	"sync/atomic"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/routing"
)

// work is one accepted request. Its own goroutine and the dispatcher share it;
// the fields do not change.
type work struct {
	id           string
	workspace    string
	pool         string
	class        class.Class
	arrived      clock.Millis
	onceOnly     bool
	refuseIfLate bool
	streamed     bool
	promptTokens int
	prefix       []uint64
	// produced is written by the request's goroutine and read by the dispatcher.
	produced atomic.Int64
	// firstToken is the time of the first token, or zero.
	firstToken atomic.Int64
	// assigned gets each decision of the dispatcher. At most one is outstanding.
	assigned chan assignment
	// stop ends the running attempt.
	stop interrupter
}

// assignment is where a request goes, or why it goes nowhere.
type assignment struct {
	server   string
	address  string
	priority int
	at       clock.Millis
	refused  *problem
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
		ProducedTokens: int(w.produced.Load()),
	}
}

func (w *work) request(excluded []string) routing.Request {
	return routing.Request{
		ID:             w.id,
		Pool:           w.pool,
		Tier:           w.class.Tier(),
		PromptTokens:   w.promptTokens,
		ProducedTokens: int(w.produced.Load()),
		PrefixHashes:   w.prefix,
		Class:          w.class.Name(),
		Exclude:        excluded,
	}
}
