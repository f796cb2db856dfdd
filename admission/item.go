package admission

import (
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// Item is a waiting request. It is immutable.
type Item struct {
	ID        string
	Workspace string
	Pool      string
	Class     class.Class
	Arrived   clock.Millis
	Deadline  clock.Millis
	// OnceOnly marks a non-idempotent call.
	OnceOnly bool
	// RefuseIfLate asks for a refusal as soon as the target cannot be met.
	RefuseIfLate bool
	// ProducedTokens counts the tokens already held when the item is queued again.
	ProducedTokens int
	// ByStarvationRule is set by Next when the starvation rule granted the slot. Running
	// copies it, because such work would be preempted again at once.
	ByStarvationRule bool
}

// Running is a request that holds a slot of a pool.
type Running struct {
	ID             string
	Class          class.Class
	Started        clock.Millis
	ProducedTokens int
	Resumable      bool
	OnceOnly       bool
	// ByStarvationRule is Item.ByStarvationRule; such work is not preempted.
	ByStarvationRule bool
	Server           string
}

// Demand sums up the waiting requests of one pool and tier.
type Demand struct {
	Pool    string
	Tier    class.Tier
	Waiting int
	// Oldest is the earliest arrival on the local clock.
	Oldest clock.Millis
	// Deadline is the earliest one, UrgentAt the earliest time from which
	// running work may be preempted for the requests, and StarveAt the earliest
	// time at which a class exceeds its starvation bound. Only a queue sets them.
	Deadline, UrgentAt, StarveAt clock.Millis
}

// Offer is the answer to an offered item.
type Offer struct {
	Accepted bool
	// Shed lists queued items that were removed to make room. They were not run.
	Shed []Item
	// Reason says why the offered item was refused.
	Reason outcome.Reason
	// RetryAfter is set when the offered item was refused for lack of capacity.
	RetryAfter clock.Millis
}

// Options configure a queue.
type Options struct {
	// Limit is the number of waiting requests, without the place that is
	// reserved for each class and without work that is queued again.
	Limit int
	// ServiceTime predicts the time from a slot to the moment that the item's target
	// is measured to. Nil stands for no time.
	ServiceTime func(item Item) clock.Millis
}

func (o Options) service(item Item) clock.Millis {
	if o.ServiceTime == nil {
		return 0
	}
	return o.ServiceTime(item)
}
