package capacity

import "github.com/galenaslip/galenaslip/clock"

// Kind tells whether the platform may take a server back.
type Kind uint8

// The kinds of servers.
const (
	// Ordinary servers stay until they are given back.
	Ordinary Kind = iota + 1
	// Reclaimable servers cost less. The platform may take back all those of a zone at once.
	Reclaimable
)

// String returns the name of the kind in log lines and state dumps.
func (k Kind) String() string {
	if k == Reclaimable {
		return "reclaimable"
	}
	return "ordinary"
}

// other returns the other kind.
func (k Kind) other() Kind { return Ordinary + Reclaimable - k }

// Zone is an availability zone in which servers can be ordered.
type Zone struct {
	Name  string
	Price float64 // of an ordinary server, in any unit
}

// Terms are the conditions under which servers of a service can be ordered.
type Terms struct {
	Min, Max         int          // servers in one zone, both kinds together
	StartTime        clock.Millis // from an order until its servers serve
	ReclaimablePrice float64      // as a share of the price of an ordinary server; 0 if there are none of this kind
	Zones            []Zone
}

// Server is what its announcements tell about a server.
type Server struct {
	Zone      string
	Kind      Kind
	Slots     int
	Leaving   bool         // takes no more requests
	Reclaimed bool         // leaves because the platform takes it back
	SilentFor clock.Millis // 0 unless its announcements are overdue
}

// Load is what the entries have reported of a service at one moment.
type Load struct {
	Requests int // in progress
	Waiting  int // of these, more than the servers' slots hold
	Reading  int // servers at which a prompt is not answered yet
}

// Place is where and of which kind servers are ordered.
type Place struct {
	Zone string
	Kind Kind
}

// Reason tells why an order is given.
type Reason string

// The reasons of orders.
const (
	ForDemand   Reason = "demand"      // more servers than before are needed
	ForPrice    Reason = "price"       // reclaimable servers replace ordinary ones
	ForLoss     Reason = "loss"        // fewer servers are there than were ordered
	Replaced    Reason = "replaced"    // cheaper servers serve in place of these
	DemandFell  Reason = "demand_fell" // fewer servers are needed
	AfterReturn Reason = "reclaimed"   // the platform has taken them back
)

// Order asks for a number of servers at a place. The number includes those that are there.
type Order struct {
	Place
	Count  int
	Reason Reason
}

// Outcome is the result of an order.
type Outcome uint8

// The outcomes of an order.
const (
	// Accepted orders are carried out.
	Accepted Outcome = iota + 1
	// Refused orders are not carried out: there are no such servers now.
	Refused
	// NotSent orders have not left this process.
	NotSent
	// Unknown orders may be carried out, now or later.
	Unknown
)

// Outcomes lists all outcomes.
var Outcomes = []Outcome{Accepted, Refused, NotSent, Unknown}

// String returns the name of the outcome in log lines and metrics.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Refused:
		return "refused"
	case NotSent:
		return "not_sent"
	case Unknown:
	}
	return "unknown"
}
