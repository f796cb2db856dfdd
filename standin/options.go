package standin

import (
	"cmp"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
)

// Defaults of the options of engines and services.
const (
	DefaultTokenTime   = 20 * clock.Millisecond
	DefaultStepGrowth  = 0.02   // share by which each further running sequence lengthens a step
	DefaultPrefillRate = 8000.0 // prompt tokens per second
	DefaultSlots       = 16     // sequences or calls that run at the same time
	DefaultKVTokens    = 200_000
	DefaultReportAge   = 400 * clock.Millisecond
	DefaultInterval    = 1 * clock.Second // between announcements
)

// Announce configures the announcements of a stand-in.
type Announce struct {
	Entries          []string // entry addresses; empty disables announcements
	Token            string   // bearer token; empty sends none
	Address          string   // announced address; empty selects the bound one
	AvailabilityZone string
	Version          string // of the server's software; empty announces none
	Interval         clock.Millis
	Incarnation      uint64 // distinguishes restarts of the server, higher after each; zero selects the wall clock time
}

// EngineOptions configure an engine. Zero values select the defaults.
type EngineOptions struct {
	Name          string
	Listen        string
	Models        []string
	Announce      Announce
	Clock         clock.Clock
	Logger        event.Logger
	TokenTime     clock.Millis // duration of a step with one sequence
	StepGrowth    float64      // share of TokenTime that each additional sequence adds to a step
	PrefillRate   float64      // uncached prompt tokens per second
	Slots         int          // sequences that can run at the same time
	KVTokens      int          // size of the KV memory (key-value cache) in tokens
	ReportAge     clock.Millis // age of the load values in announcements
	ModelLoadTime clock.Millis // time to carry out an order, such as loading a model
	// LostEventInterval makes the engine lose every n-th cache event instead of announcing
	// it. Zero loses none.
	LostEventInterval int
	// IgnoreFencing makes the engine carry out orders with an outdated fencing token.
	IgnoreFencing bool
}

func (o EngineOptions) withDefaults() EngineOptions {
	o.TokenTime = cmp.Or(o.TokenTime, DefaultTokenTime)
	o.StepGrowth = cmp.Or(o.StepGrowth, DefaultStepGrowth)
	o.PrefillRate = cmp.Or(o.PrefillRate, DefaultPrefillRate)
	o.Slots = cmp.Or(o.Slots, DefaultSlots)
	o.KVTokens = cmp.Or(o.KVTokens, DefaultKVTokens)
	o.ReportAge = cmp.Or(o.ReportAge, DefaultReportAge)
	o.Announce = o.Announce.withDefaults(o.Clock)
	return o
}

func (a Announce) withDefaults(c clock.Clock) Announce {
	a.Interval = cmp.Or(a.Interval, DefaultInterval)
	a.Incarnation = cmp.Or(a.Incarnation, uint64(c.Wall()))
	return a
}

// ServiceOptions configure a service. Zero values select the defaults.
type ServiceOptions struct {
	Name     string
	Listen   string
	Services []string
	Announce Announce
	Clock    clock.Clock
	Logger   event.Logger
	Latency  clock.Millis // duration of each call
	Slots    int          // announced number of calls that can run at the same time; not enforced
}

func (o ServiceOptions) withDefaults() ServiceOptions {
	o.Slots = cmp.Or(o.Slots, DefaultSlots)
	o.Announce = o.Announce.withDefaults(o.Clock)
	return o
}
