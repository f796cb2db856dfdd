package standin

import (
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
	DefaultLoadLag     = 400 * clock.Millisecond
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
	Name        string
	Listen      string
	Models      []string
	Announce    Announce
	Clock       clock.Clock
	Logger      event.Logger
	TokenTime   clock.Millis // one step with one sequence
	BatchGrowth float64      // share of TokenTime that each further sequence adds
	PrefillRate float64      // uncached prompt tokens a second
	Slots       int
	KVTokens    int
	LoadLag     clock.Millis // age of the load in announcements
	LoadTime    clock.Millis // time to load a model
	// CacheEventGap loses every n-th cache event; zero loses none.
	CacheEventGap int
	// IgnoreFencing makes the engine run orders with an old fencing token.
	IgnoreFencing bool
}

func (o EngineOptions) withDefaults() EngineOptions {
	o.TokenTime = orDefault(o.TokenTime, DefaultTokenTime)
	o.BatchGrowth = orDefault(o.BatchGrowth, DefaultBatchGrowth)
	o.PrefillRate = orDefault(o.PrefillRate, DefaultPrefillRate)
	o.Slots = orDefault(o.Slots, DefaultSlots)
	o.KVTokens = orDefault(o.KVTokens, DefaultKVTokens)
	o.LoadLag = orDefault(o.LoadLag, DefaultLoadLag)
	o.Announce = o.Announce.withDefaults(o.Clock)
	return o
}

func (a Announce) withDefaults(c clock.Clock) Announce {
	a.Interval = orDefault(a.Interval, DefaultInterval)
	a.Incarnation = orDefault(a.Incarnation, uint64(c.Wall()))
	return a
}

func orDefault[T int | uint64 | float64 | clock.Millis](value, standard T) T {
	if value == 0 {
		return standard
	}
	return value
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
	o.Slots = orDefault(o.Slots, DefaultSlots)
	o.Announce = o.Announce.withDefaults(o.Clock)
	return o
}
