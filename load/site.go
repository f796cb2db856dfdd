package load

import (
	"strings"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/site"
	"github.com/galenaslip/galenaslip/standin"
)

// Parameters of each stand-in engine of a scenario's site. The loads of the scenarios
// are designed for 16 slots of 50 tokens/s each, so the values are fixed here.
const (
	siteTokenTime   = 20 * clock.Millisecond
	siteStepGrowth  = 0.0001 // share by which each further running sequence lengthens a step
	sitePrefillRate = 8000   // prompt tokens per second
	siteSlots       = 16     // sequences that run at the same time
	// siteQueueCapacity bounds the queue of each entry. It is below the number of
	// requests that the load generator keeps in flight, so that a burst can fill the
	// queues.
	siteQueueCapacity = 1000
)

// SiteOptions returns the options of a site for the scenario, with entries at its
// targets and stand-ins at their addresses. A stand-in whose name starts with "engine"
// serves every model of the scenario. Any other stand-in serves every service.
func SiteOptions(s Scenario, policy entry.Policy, c clock.Clock, logger event.Logger) site.Options {
	models := lo.Uniq(lo.FilterMap(s.Classes, func(w Workload, _ int) (string, bool) { return w.Model.Name, w.IsModel() }))
	services := lo.Uniq(lo.FilterMap(s.Classes, func(w Workload, _ int) (string, bool) { return w.Call.Service, !w.IsModel() }))
	isEngine := func(v StandIn, _ int) bool { return strings.HasPrefix(v.Name, "engine") }
	newServers := func(offers []string) func(StandIn, int) site.Server {
		return func(v StandIn, _ int) site.Server {
			return site.Server{Name: v.Name, Address: v.Address, Offers: offers}
		}
	}
	return site.Options{
		Entries:  s.EntryAddresses,
		Engines:  lo.Map(lo.Filter(s.StandIns, isEngine), newServers(models)),
		Services: lo.Map(lo.Reject(s.StandIns, isEngine), newServers(services)),
		Engine: standin.EngineOptions{
			TokenTime: siteTokenTime, StepGrowth: siteStepGrowth, PrefillRate: sitePrefillRate, Slots: siteSlots,
		},
		Entry:   entry.Options{Policy: policy, Limits: entry.Limits{MaxWaiting: siteQueueCapacity}},
		Classes: lo.Map(s.Classes, func(w Workload, _ int) class.Class { return w.Class }),
		Clock:   c,
		Logger:  logger,
	}
}

// ExpectedStandInText returns the text that the stand-in engines generate for a model
// request, and false for a service call.
func ExpectedStandInText(r Request) (string, bool) {
	if !r.Workload.IsModel() {
		return "", false
	}
	tokens := standin.AnswerTokens(r.Workload.Model.Name, r.Prompt)
	if r.MaxTokens > 0 && r.MaxTokens < len(tokens) {
		tokens = tokens[:r.MaxTokens]
	}
	return strings.Join(tokens, ""), true
}
