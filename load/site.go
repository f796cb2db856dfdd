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

// Speed and size of each stand-in engine of a scenario's site. The scenarios'
// loads are made for 16 slots of 50 tokens a second, whatever else runs.
const (
	siteTokenTime   = 20 * clock.Millisecond
	siteBatchGrowth = 0.0001
	sitePrefillRate = 8000 // tokens a second
	siteSlots       = 16
	// siteQueue keeps the entries' queues below the requests that the tool holds
	// open, so that a burst fills them.
	siteQueue = 1000
)

// SiteOptions returns the site that a scenario describes, with entries at its
// targets and stand-ins at their addresses. A stand-in serves every model if its
// name starts with "engine", and every service otherwise.
func SiteOptions(s Scenario, policy entry.Policy, c clock.Clock, logger event.Logger) site.Options {
	models := lo.Uniq(lo.FilterMap(s.Classes, func(w Workload, _ int) (string, bool) { return w.Model.Name, w.IsModel() }))
	services := lo.Uniq(lo.FilterMap(s.Classes, func(w Workload, _ int) (string, bool) { return w.Call.Service, !w.IsModel() }))
	isEngine := func(v StandIn, _ int) bool { return strings.HasPrefix(v.Name, "engine") }
	server := func(offers []string) func(StandIn, int) site.Server {
		return func(v StandIn, _ int) site.Server {
			return site.Server{Name: v.Name, Address: v.Address, Offers: offers}
		}
	}
	return site.Options{
		Entries:  s.Targets,
		Engines:  lo.Map(lo.Filter(s.StandIns, isEngine), server(models)),
		Services: lo.Map(lo.Reject(s.StandIns, isEngine), server(services)),
		Engine: standin.EngineOptions{
			TokenTime: siteTokenTime, BatchGrowth: siteBatchGrowth, PrefillRate: sitePrefillRate, Slots: siteSlots,
		},
		Entry:   entry.Options{Policy: policy, Limits: entry.Limits{MaxWaiting: siteQueue}},
		Classes: lo.Map(s.Classes, func(w Workload, _ int) class.Class { return w.Class }),
		Clock:   c,
		Logger:  logger,
	}
}

// ExpectedStandInText returns what the stand-in engines generate for a model request.
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
