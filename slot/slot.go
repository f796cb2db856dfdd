package slot

import (
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

const (
	// EntryLossTimeout is the time without a message from an entry after which the entry
	// counts as lost and its slots as free. It equals the length of the
	// configuration lease, without which an entry starts no new work.
	EntryLossTimeout = 3 * clock.Second
	// AnswerTimeout is the time that an owner has to answer a message. After it, the
	// owner's servers are used in mode ModeShared. It is a quarter of the promised time
	// to the first token (0.58 s), and longer than the long pauses of a process on
	// a busy machine.
	AnswerTimeout = 150 * clock.Millisecond
	// OfferTimeout is how long a holder keeps an offer without using it. A dispatcher
	// uses an offer as soon as it arrives or not at all; 20 ms also suffice for a
	// dispatcher that is busy with a burst of requests.
	OfferTimeout = 20 * clock.Millisecond
	// MaxAckAge limits which offers a holder accepts: the message with the offer
	// must acknowledge a message that the holder sent less than MaxAckAge ago. It is
	// far below EntryLossTimeout, so that a holder never accepts a slot that the owner has
	// freed again because it counts the holder as lost.
	MaxAckAge = 1 * clock.Second
	// UsageReportTimeout is how long a new owner waits for all entries to report which
	// slots they use before it offers any. Leases are renewed every second, so all
	// entries know the new owner by then.
	UsageReportTimeout = 1500 * clock.Millisecond
	// DemandInterval is how often an entry with waiting requests sends its state
	// even if nothing has changed. It bounds how long a lost message can delay an
	// offer.
	DemandInterval = 100 * clock.Millisecond
	// IdleInterval is how often an entry without waiting requests sends its state.
	// It is short enough that several messages in a row may be lost before
	// EntryLossTimeout has passed.
	IdleInterval = 500 * clock.Millisecond
	// StarvationInterval limits the starvation rule: at most one in StarvationInterval
	// offers goes to a request past its starvation bound although a request of a higher
	// tier waits.
	StarvationInterval = 10
)

// Server is a backend server whose slots the owners offer.
type Server struct {
	Name  string
	Slots int      // number of requests that the server runs at the same time
	Pools []string // pools whose requests the server can run
}

// Demand sums up the waiting requests of one pool and tier at one entry. Its
// times are on the local clock, except in a Message.
type Demand struct {
	Pool      string
	Tier      class.Tier
	Waiting   int          // number of waiting requests
	Deadline  clock.Millis // earliest deadline of these requests
	UrgentAt  clock.Millis // time from which running requests of lower tiers may be stopped for these requests
	StarvesAt clock.Millis // time from which the starvation rule may put these requests before higher tiers
}

// ServerUsage describes the slots of one server that one entry uses.
type ServerUsage struct {
	// Slots counts running requests and offers that no request uses yet.
	Slots int
	// Resumable counts, by tier, the running requests that may be stopped.
	Resumable map[class.Tier]int
	// Stopping counts the running requests that are being stopped.
	Stopping int
}

// Offer lets a holder start one request on a server. Offer numbers increase
// within one incarnation of the owner.
type Offer struct {
	Number uint64
	Server string
	Pool   string
	Tier   class.Tier // tier of the waiting request that the slot is offered for
}

// Recall asks a holder to stop one resumable request of a tier below Tier on a
// server. Recall numbers increase within one incarnation of the owner.
type Recall struct {
	Number uint64
	Server string
	Tier   class.Tier // tier of the waiting request that needs the slot
}

// Message is the full state that one entry sends to another one, both as a holder
// of slots and as an owner of servers. The times in its demands are relative to
// the moment of sending.
type Message struct {
	From        string
	Incarnation uint64
	To          string
	Sequence    uint64 // increases within one incarnation of the sender
	// Reply marks an answer, which needs no answer itself.
	Reply bool
	// EntriesHash is a hash of the entries that hold a lease, as far as the sender knows.
	// The receiver compares it with its own to see whether both agree.
	EntriesHash uint64
	// ToIncarnation is the incarnation of the receiver that AckedMessage, AckedOffer and
	// AckedRecall refer to.
	ToIncarnation uint64
	AckedMessage  uint64 // sequence number of the latest message from the receiver

	AckedOffer  uint64                 // number of the newest of the receiver's offers that Usage includes
	AckedRecall uint64                 // number of the newest of the receiver's recalls that the sender has processed
	Usage       map[string]ServerUsage // by server, for the receiver's servers
	Demands     []Demand               // waiting requests that no accepted offer will serve

	Offers       []Offer  // all that the receiver has not acknowledged
	Recalls      []Recall // all that the receiver has not acknowledged
	ReadyServers []string // the sender's servers whose slots it offers at present
}

// Run is a running request that uses a slot.
type Run struct {
	ID        string
	Server    string
	Tier      class.Tier
	Resumable bool // may be stopped and continued later; never set for once-only calls
}

// Mode says whether an entry needs an offer to start a request on a server.
type Mode string

const (
	// ModeGranted means that the entry starts a request only with an offer of the
	// server's owner.
	ModeGranted Mode = "granted"
	// ModeShared means that the server has no owner that answers and is ready to make
	// offers. The entry then starts requests without offers, based on the counts of
	// used slots that the entries share with each other.
	ModeShared Mode = "shared"
)

// Options configure a table.
type Options struct {
	Entry       string // name of this entry
	Incarnation uint64 // must increase with each start of the entry's process
}
