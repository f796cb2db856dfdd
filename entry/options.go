package entry

import (
	"cmp"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
)

// Policy selects the decisions of an entry.
type Policy string

// The policies. Naive is the baseline of experiments.
const (
	PolicyReal  Policy = "real"
	PolicyNaive Policy = "naive"
)

// Tokens are the bearer tokens that the entry accepts. An API whose token is
// empty is served to loopback addresses only.
type Tokens struct {
	Operator string
	Server   string
	Peer     string
}

// Limits bound what one request or a burst of them can use. Zero values select
// the defaults.
type Limits struct {
	BodyBytes    int
	HeaderBytes  int
	MaxWaiting   int // waiting requests
	StreamBuffer int // events buffered for one slow caller
	Connections  int
}

// Timeouts are the waits of an entry. Zero values select the defaults.
type Timeouts struct {
	Silence        clock.Millis // longest time without a byte from an engine
	Resume         clock.Millis // longest time for an engine to answer a resume
	Call           clock.Millis // whole call of a plain service
	WholeAnswer    clock.Millis // longest silence before an answer that engines do not stream
	Claim          clock.Millis // one command at the control group
	Renewal        clock.Millis // one renewal of the lease
	CallerRead     clock.Millis // whole request from a caller
	CallerIdle     clock.Millis // longest time in which a caller takes no byte
	StopWait       clock.Millis // from failing readiness to refusing new work
	NoServer       clock.Millis // longest wait for a pool without any server
	DigestInterval clock.Millis // interval of pulls from each peer
}

// Defaults of limits and timeouts.
const (
	DefaultBodyBytes    = 8 << 20
	DefaultHeaderBytes  = 16 << 10
	DefaultMaxWaiting   = 2048
	DefaultStreamBuffer = 64
	DefaultConnections  = 32 << 10

	DefaultSilence        = 5 * clock.Second
	DefaultResume         = 1 * clock.Second
	DefaultCall           = 30 * clock.Second
	DefaultWholeAnswer    = 10 * clock.Minute
	DefaultClaim          = 2 * clock.Second
	DefaultRenewal        = 900 * clock.Millisecond
	DefaultCallerRead     = 30 * clock.Second
	DefaultCallerIdle     = 30 * clock.Second
	DefaultStopWait       = 5 * clock.Second
	DefaultNoServer       = 10 * clock.Second
	DefaultDigestInterval = 500 * clock.Millisecond
)

// Options configure an entry.
type Options struct {
	Name             string
	AvailabilityZone string
	Listen           string
	Advertise        string // empty selects the bound address
	Control          Control
	Peers            []string // addresses known before the first lease answer
	Policy           Policy
	// SlotLeases lets one entry for each server hand out its slots. Every entry
	// of a site must have the same value.
	SlotLeases      bool
	Tokens          Tokens
	Limits          Limits
	Timeouts        Timeouts
	RetryPercentage int // retries as a share of requests; zero selects the default
	Clock           clock.Clock
	Logger          event.Logger
}

func (o Options) validate() error {
	switch {
	case !class.ValidName(o.Name):
		return errors.Errorf("invalid entry name %q", o.Name)
	case o.Control == nil:
		return errors.New("an entry needs a control group")
	case o.Policy != PolicyReal && o.Policy != PolicyNaive:
		return errors.Errorf("invalid policy %q: want %q or %q", o.Policy, PolicyReal, PolicyNaive)
	}
	return nil
}

func (o Options) withDefaults() Options {
	if o.Policy == "" {
		o.Policy = PolicyReal
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
	t.Silence = cmp.Or(t.Silence, DefaultSilence)
	t.Resume = cmp.Or(t.Resume, DefaultResume)
	t.Call = cmp.Or(t.Call, DefaultCall)
	t.WholeAnswer = cmp.Or(t.WholeAnswer, DefaultWholeAnswer)
	t.Claim = cmp.Or(t.Claim, DefaultClaim)
	t.Renewal = cmp.Or(t.Renewal, DefaultRenewal)
	t.CallerRead = cmp.Or(t.CallerRead, DefaultCallerRead)
	t.CallerIdle = cmp.Or(t.CallerIdle, DefaultCallerIdle)
	t.StopWait = cmp.Or(t.StopWait, DefaultStopWait)
	t.NoServer = cmp.Or(t.NoServer, DefaultNoServer)
	t.DigestInterval = cmp.Or(t.DigestInterval, DefaultDigestInterval)
	return t
}
