package slot

import (
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

const (
	// EntryLossTimeout is how long an entry may be silent before its slots are free
	// again. It is the length of the configuration lease, after which the entry
	// starts no new work.
	EntryLossTimeout = 3 * clock.Second
	// AnswerTimeout is how long an owner may leave a message without an answer
	// before its servers are used by shared counts. It is a quarter of the time to
	// the first token that is promised (0.58 s), and above a long pause of a
	// process on a busy machine.
	AnswerTimeout = 150 * clock.Millisecond
	// OfferTimeout is how long a holder keeps an offered slot that it does not use.
	// A dispatcher uses an offer in the step in which it arrives, or it cannot use
	// it at all; 20 ms cover one that is busy with a burst.
	OfferTimeout = 20 * clock.Millisecond
	// MaxAckAge is the age of the holder's own message, named by an offer, from
	// which the offer is not accepted. It is far below EntryLossTimeout, so that no slot
	// is accepted which the owner has taken back from a silent entry.
	MaxAckAge = 1 * clock.Second
	// LearnTimeout is how long a new owner waits for the entries' reports. Leases
	// are renewed each second, so all entries know the new owner by then.
	LearnTimeout = 1500 * clock.Millisecond
	// DemandInterval is how often an entry with waiting work reports without a
	// change. It bounds the time for which a lost message delays an offer.
	DemandInterval = 100 * clock.Millisecond
	// IdleInterval is how often an entry without waiting work reports. Several
	// messages in a row may be lost before EntryLossTimeout passes.
	IdleInterval = 500 * clock.Millisecond
	// StarvationInterval is the number of offers of which at most one goes to work
	// that is past its starvation bound before work of a higher tier.
	StarvationInterval = 10
)

// Server is a backend server whose slots are handed out.
type Server struct {
	Name  string
	Slots int
	Pools []string
}

// Demand sums up waiting requests of one pool and tier. Points in time are on
// the local clock.
type Demand struct {
	Pool     string
	Tier     class.Tier
	Waiting  int
	Deadline clock.Millis // the earliest
	UrgentAt clock.Millis // from when running work of lower tiers may be stopped for it
	StarveAt clock.Millis // from when it may precede higher tiers
}

// ServerUsage is what an entry uses of a server: running requests and offers that it
// holds.
type ServerUsage struct {
	Slots int
	// Resumable counts the running requests that may be stopped, by tier.
	Resumable map[class.Tier]int
	// Stopping counts the running requests that are being stopped.
	Stopping int
}

// Offer is a free slot for a holder. Numbers increase in one life of the owner.
type Offer struct {
	Number uint64
	Server string
	Pool   string
	Tier   class.Tier // of the work that it is meant for
}

// Recall asks a holder to stop one resumable request of a tier below Tier on a
// server. Numbers increase in one life of the owner.
type Recall struct {
	Number uint64
	Server string
	Tier   class.Tier
}

// Message is the state of one entry for another one, as a holder of slots and as
// an owner of servers. Times in it are durations from its sending.
type Message struct {
	From        string
	Incarnation uint64
	To          string
	Sequence    uint64 // increases in one incarnation
	// Reply marks a message that needs no answer.
	Reply bool
	// EntriesHash is a hash of the entries that hold a lease, as the sender knows them.
	EntriesHash uint64
	// ToIncarnation is the receiver's life that Heard, Taken and Stopped refer to.
	ToIncarnation uint64
	AckedMessage  uint64 // the newest sequence number from the receiver

	AckedOffer  uint64 // the highest offer number that Uses includes
	AckedRecall uint64 // the highest recall number that was handled
	Usage       map[string]ServerUsage
	Demands     []Demand

	Offers       []Offer
	Recalls      []Recall
	ReadyServers []string // servers that the sender hands out
}

// Run is a running request that uses a slot.
type Run struct {
	ID        string
	Server    string
	Tier      class.Tier
	Resumable bool // may be stopped and continued; never set for at-most-once calls
}

// Mode is how an entry may use a server.
type Mode string

const (
	// ModeGranted servers are used with offers of their owner only.
	ModeGranted Mode = "granted"
	// ModeShared servers are used by shared counts, because no owner answers for them.
	ModeShared Mode = "shared"
)

// Options configure a table.
type Options struct {
	Entry       string
	Incarnation uint64 // higher in each life of the entry
}
