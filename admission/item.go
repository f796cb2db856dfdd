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
	// RefuseIfLate asks Queue.Offer to refuse the item if it is predicted to miss its
	// latency target.
	RefuseIfLate bool
	// ProducedTokens is the number of tokens that were produced before the item was queued
	// again.
	ProducedTokens int
	// ByStarvationRule is set by Next if the item got its slot by the starvation rule. The
	// caller copies it to the running request, so that the request is not preempted at once.
	ByStarvationRule bool
}

// RunningRequest is a running request that uses a slot of a pool.
type RunningRequest struct {
	ID             string
	Class          class.Class
	Started        clock.Millis
	ProducedTokens int
	Resumable      bool
	OnceOnly       bool
	// ByStarvationRule is a copy of Item.ByStarvationRule. Such a request is not preempted.
	ByStarvationRule bool
	Server           string
}

// Demand sums up the waiting requests of one pool and tier at one entry.
type Demand struct {
	Pool    string
	Tier    class.Tier
	Waiting int
	// Oldest is the earliest arrival time of these requests on the local clock.
	Oldest clock.Millis
	// Deadline is the earliest deadline of these requests. From UrgentAt on, running
	// requests may be preempted for them. From StarvesAt on, the oldest request of one of
	// their classes exceeds the starvation bound of the class. NaiveQueue does not set
	// these fields.
	Deadline, UrgentAt, StarvesAt clock.Millis
}

// Offer is the result of offering an item to a queue.
type Offer struct {
	Accepted bool
	// Shed lists items that were removed from the full queue in favor of the offered
	// one. They were not run.
	Shed []Item
	// Reason says why the offered item was refused.
	Reason outcome.Reason
	// RetryAfter is the predicted time until a new attempt makes sense. It is set if
	// the offered item was refused for lack of capacity.
	RetryAfter clock.Millis
}

// Options configure a queue.
type Options struct {
	// Limit is the maximum number of waiting requests. It does not count one request
	// of each class, for which a place is reserved, and requests that were queued
	// again.
	Limit int
	// ServiceTime predicts the time from the start of an item in a slot to the event
	// that the item's latency target is measured to, such as its first token. If it
	// is nil, that time is 0.
	ServiceTime func(item Item) clock.Millis
}

func (o Options) serviceTime(item Item) clock.Millis {
	if o.ServiceTime == nil {
		return 0
	}
	return o.ServiceTime(item)
}
