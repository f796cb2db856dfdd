package entry

import (
	"cmp"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
)

// Policy selects how an entry queues requests and chooses servers.
type Policy string

// Queueing and routing policies. PolicyStandard is the default: a priority queue and
// routing by predicted latency. PolicyNaive is the simple baseline that experiments
// compare it with.
const (
	PolicyStandard Policy = "real"
	PolicyNaive    Policy = "naive"
)

// Tokens are the bearer tokens that the entry accepts from operators, backend
// servers and peer entries. An API whose token is empty is served to loopback
// addresses only.
type Tokens struct {
	Operator string
	Server   string
	Peer     string
}

// Limits bound the resources that one request or a burst of requests can use. Zero
// values select the defaults.
type Limits struct {
	BodyBytes    int
	HeaderBytes  int
	MaxWaiting   int // maximum number of waiting requests
	StreamBuffer int // messages buffered for one slow caller
	Connections  int
}

// Timeouts are the timeouts and intervals of an entry. Zero values select the
// defaults.
type Timeouts struct {
	ReadTimeout    clock.Millis // longest time without a byte from an engine during a stream
	Resume         clock.Millis // longest time for an engine to answer a request to resume a stream
	Call           clock.Millis // limit for a whole call to a plain service
	WholeAnswer    clock.Millis // longest time without a byte from an engine when the answer is not streamed
	Claim          clock.Millis // limit for one claim command sent to the control group
	Renewal        clock.Millis // limit for one renewal of the lease
	CallerRead     clock.Millis // limit for reading a whole request from a caller
	CallerWrite    clock.Millis // limit for one write to a caller
	StopWait       clock.Millis // time between failing /readyz and refusing new requests
	NoServer       clock.Millis // longest time that requests wait for a pool without a usable server
	DigestInterval clock.Millis // interval between two pulls of each peer's digest
}

// Default limits and timeouts.
const (
	DefaultBodyBytes    = 8 << 20
	DefaultHeaderBytes  = 16 << 10
	DefaultMaxWaiting   = 2048
	DefaultStreamBuffer = 64
	DefaultConnections  = 32 << 10

	DefaultReadTimeout    = 5 * clock.Second
	DefaultResume         = 1 * clock.Second
	DefaultCall           = 30 * clock.Second
	DefaultWholeAnswer    = 10 * clock.Minute
	DefaultClaim          = 2 * clock.Second
	DefaultRenewal        = 900 * clock.Millisecond
	DefaultCallerRead     = 30 * clock.Second
	DefaultCallerWrite    = 30 * clock.Second
	DefaultStopWait       = 5 * clock.Second
	DefaultNoServer       = 10 * clock.Second
	DefaultDigestInterval = 500 * clock.Millisecond
)

// Options configure an entry.
type Options struct {
	Name             string
	AvailabilityZone string
	Listen           string
	Advertise        string // address announced to peers; empty selects the bound address
	Control          Control
	Peers            []string // peer addresses to use in addition to those from the lease
	Policy           Policy
	// SlotLeases turns slot leases on: each backend server has one owning entry, which
	// grants that server's slots to all entries. Every entry of a site must have the
	// same value.
	SlotLeases      bool
	Tokens          Tokens
	Limits          Limits
	Timeouts        Timeouts
	RetryPercentage int // allowed retries in percent of the requests; zero selects the default
	Clock           clock.Clock
	Logger          event.Logger
}

func (o Options) validate() error {
	switch {
	case !class.ValidName(o.Name):
		return errors.Errorf("invalid entry name %q", o.Name)
	case o.Control == nil:
		return errors.New("option Control is missing: an entry needs a control group")
	case o.Policy != PolicyStandard && o.Policy != PolicyNaive:
		return errors.Errorf("invalid policy %q: want %q or %q", o.Policy, PolicyStandard, PolicyNaive)
	}
	return nil
}

func (o Options) withDefaults() Options {
	if o.Policy == "" {
		o.Policy = PolicyStandard
	}
	o.Limits = o.Limits.withDefaults()
	o.Timeouts = o.Timeouts.withDefaults()
	return o
}

func (l Limits) withDefaults() Limits {
	l.BodyBytes = cmp.Or(l.BodyBytes, DefaultBodyBytes)
	l.HeaderBytes = cmp.Or(l.HeaderBytes, DefaultHeaderBytes)
	l.MaxWaiting = cmp.Or(l.MaxWaiting, DefaultMaxWaiting)
	l.StreamBuffer = cmp.Or(l.StreamBuffer, DefaultStreamBuffer)
	l.Connections = cmp.Or(l.Connections, DefaultConnections)
	return l
}

func (t Timeouts) withDefaults() Timeouts {
	t.ReadTimeout = cmp.Or(t.ReadTimeout, DefaultReadTimeout)
	t.Resume = cmp.Or(t.Resume, DefaultResume)
	t.Call = cmp.Or(t.Call, DefaultCall)
	t.WholeAnswer = cmp.Or(t.WholeAnswer, DefaultWholeAnswer)
	t.Claim = cmp.Or(t.Claim, DefaultClaim)
	t.Renewal = cmp.Or(t.Renewal, DefaultRenewal)
	t.CallerRead = cmp.Or(t.CallerRead, DefaultCallerRead)
	t.CallerWrite = cmp.Or(t.CallerWrite, DefaultCallerWrite)
	t.StopWait = cmp.Or(t.StopWait, DefaultStopWait)
	t.NoServer = cmp.Or(t.NoServer, DefaultNoServer)
	t.DigestInterval = cmp.Or(t.DigestInterval, DefaultDigestInterval)
	return t
}
