package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// accountSize is the capacity of the channel of samples. When it is full, the
// sample is dropped and counted; the request is not delayed.
const accountSize = 4096

// sample is the only outcome of one request.
type sample struct {
	work       *work
	kind       outcome.Kind
	reason     outcome.Reason
	firstToken clock.Millis // zero when there was none
	ended      clock.Millis
}

// accountant counts outcomes on a goroutine of its own.
type accountant struct {
	samples chan sample
	dropped atomic.Int64
	mu      sync.Mutex
	counts  map[outcomeKey]int
}

// outcomeKey is what outcomes are counted by.
type outcomeKey struct {
	class  string
	kind   outcome.Kind
	reason outcome.Reason
}

func newAccountant() *accountant {
	return &accountant{samples: make(chan sample, accountSize), counts: map[outcomeKey]int{}}
}

func (a *accountant) run(ctx context.Context) {
	for {
		select {
		case s := <-a.samples:
			a.add(s)
		case <-ctx.Done():
			return
		}
	}
}

func (a *accountant) add(s sample) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[outcomeKey{class: s.work.class.Name(), kind: s.kind, reason: s.reason}]++
}

func (e *Entry) account(s sample) {
	select {
	case e.accountant.samples <- s:
	default:
		e.accountant.dropped.Add(1)
	}
}

// rejections counts requests that were refused before they were queued.
type rejections struct {
	mu     sync.Mutex
	counts map[outcome.Reason]int
}

func (r *rejections) count(reason outcome.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[outcome.Reason]int{}
	}
	r.counts[reason]++
}
