package standin

import (
	"cmp"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
)

// Defaults of an engine's options.
const (
	DefaultTokenTime   = 20 * clock.Millisecond
	DefaultBatchGrowth = 0.02
	DefaultPrefillRate = 8000.0 // tokens a second
	DefaultSlots       = 16
	DefaultKVTokens    = 200_000
	DefaultReportAge   = 400 * clock.Millisecond
	DefaultInterval    = 1 * clock.Second
)

// Announce says where and how a stand-in announces itself.
type Announce struct {
	Entries          []string // addresses; empty announces nowhere
	Token            string
	Address          string // the address to announce; empty selects the bound one
	AvailabilityZone string
	Interval         clock.Millis
	Incarnation      uint64 // zero selects the time of day
}

// EngineOptions configure an engine. Zero values select the defaults.
type EngineOptions struct {
	Name          string
	Listen        string
	Models        []string
	Announce      Announce
	Clock         clock.Clock
	Logger        event.Logger
	TokenTime     clock.Millis // one step with one sequence
	BatchGrowth   float64      // share of TokenTime that each further sequence adds
	PrefillRate   float64      // uncached prompt tokens a second
	Slots         int
	KVTokens      int
	ReportAge     clock.Millis // age of the load in announcements
	ModelLoadTime clock.Millis // time to load a model
	// CacheEventGap loses every n-th cache event; zero loses none.
	CacheEventGap int
	// IgnoreFencing makes the engine run orders with an old fencing token.
	IgnoreFencing bool
}

func (o EngineOptions) withDefaults() EngineOptions {
	o.TokenTime = cmp.Or(o.TokenTime, DefaultTokenTime)
	o.BatchGrowth = cmp.Or(o.BatchGrowth, DefaultBatchGrowth)
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
	Latency  clock.Millis
	Slots    int
}

func (o ServiceOptions) withDefaults() ServiceOptions {
	o.Slots = cmp.Or(o.Slots, DefaultSlots)
	o.Announce = o.Announce.withDefaults(o.Clock)
	return o
}
