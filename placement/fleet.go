package placement

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// modelDemand is the demand for a model over all tiers.
type modelDemand struct {
	model   string
	tier    class.Tier // highest tier with waiting requests
	waiting int        // requests
}

// mergeDemands returns the demand for each model with waiting requests, ordered by
// tier, highest first, then by the number of waiting requests, largest first.
func mergeDemands(demands []Demand) []modelDemand {
	byModel := map[string]modelDemand{}
	for _, d := range demands {
		if d.Waiting <= 0 {
			continue
		}
		merged, ok := byModel[d.Model]
		if !ok || d.Tier.HasPriorityOver(merged.tier) {
			merged.tier = d.Tier
		}
		merged.model, merged.waiting = d.Model, merged.waiting+d.Waiting
		byModel[d.Model] = merged
	}
	sorted := lo.Values(byModel)
	slices.SortFunc(sorted, func(a, b modelDemand) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.waiting, a.waiting), cmp.Compare(a.model, b.model))
	})
	return sorted
}

// serverSet holds the servers that are known in one planning round.
type serverSet struct {
	byName  map[string]backend.Server // all servers
	engines []backend.Server          // usable engines, sorted by name
}

func newServerSet(servers []backend.Server) *serverSet {
	set := &serverSet{byName: lo.KeyBy(servers, func(s backend.Server) string { return s.Server() })}
	set.engines = lo.Filter(servers, func(s backend.Server, _ int) bool { return s.Usable && s.Kind() == backend.Engine })
	slices.SortFunc(set.engines, func(a, b backend.Server) int { return cmp.Compare(a.Server(), b.Server()) })
	return set
}

// enginesServing returns the engines that answer requests for a model.
func (set *serverSet) enginesServing(model string) []backend.Server {
	return lo.Filter(set.engines, func(s backend.Server, _ int) bool { return serves(s, model) })
}

func serves(s backend.Server, model string) bool {
	return s.Role() == backend.Generate && slices.Contains(s.Models(), model)
}

// meetDemand orders further engines for a model until they suffice or no more orders
// are possible. A role change is preferred to a model load, because it does not read from
// the weight store. If no engine serves the model or has a pending order to serve it,
// another model is unloaded.
func (p *Planner) meetDemand(now clock.Millis, set *serverSet, demand modelDemand) {
	for p.lacksEngines(set, demand) {
		if !p.changeRole(now, set, demand) && !p.orderModelLoad(now, set, demand) {
			break
		}
	}
	if len(set.enginesServing(demand.model)) == 0 && !p.isOrderedAnywhere(demand.model) {
		p.unloadForDemand(now, set, demand)
	}
}

// lacksEngines reports whether the engines that serve the model, and those with a
// pending order to serve it, have too few slots for the waiting requests.
func (p *Planner) lacksEngines(set *serverSet, demand modelDemand) bool {
	slots := lo.SumBy(set.engines, func(s backend.Server) int {
		if serves(s, demand.model) || p.isOrdered(s.Server(), demand.model) {
			return s.Slots()
		}
		return 0
	})
	return slots == 0 || demand.waiting*100 > slots*maxWaitingPercent
}

// isOrdered reports whether a server has a pending order that makes it serve a model.
func (p *Planner) isOrdered(server, model string) bool {
	o, ok := p.pendingOrder[server]
	return ok && o.order.Model == model && o.order.Kind != UnloadModel
}

// isOrderedAnywhere reports whether any server has a pending order to serve a model.
func (p *Planner) isOrderedAnywhere(model string) bool {
	return lo.SomeBy(lo.Keys(p.pendingOrder), func(server string) bool { return p.isOrdered(server, model) })
}

// changeRole orders a prefill engine that has the model loaded to take the role generate.
// It reports whether there was such an engine.
func (p *Planner) changeRole(now clock.Millis, set *serverSet, demand modelDemand) bool {
	s, ok := lo.Find(set.engines, func(s backend.Server) bool {
		return s.Role() == backend.Prefill && slices.Contains(s.Models(), demand.model) && p.mayOrder(now, s)
	})
	if ok {
		p.order(now, s, Order{Kind: ChangeRole, Model: demand.model, Role: backend.Generate})
	}
	return ok
}

// orderModelLoad orders the best engine to load a model. It reports whether that was
// possible.
func (p *Planner) orderModelLoad(now clock.Millis, set *serverSet, demand modelDemand) bool {
	loadCandidates := p.loadCandidates(now, set, demand.model)
	if len(loadCandidates) == 0 || !p.mayLoadModel(now) {
		return false
	}
	p.order(now, set.best(loadCandidates, demand.model), Order{Kind: LoadModel, Model: demand.model})
	return true
}

// loadCandidates returns the engines that could load a model now.
func (p *Planner) loadCandidates(now clock.Millis, set *serverSet, model string) []backend.Server {
	return lo.Filter(set.engines, func(s backend.Server, _ int) bool {
		return s.Role() == backend.Generate && len(s.Models()) < p.options.MaxModelsPerServer &&
			!slices.Contains(s.Models(), model) && p.mayOrder(now, s)
	})
}

// best returns the best of the candidates for a model. It prefers an availability zone
// with few engines that serve the model, then engines with few models, then engines with
// few requests.
func (set *serverSet) best(candidates []backend.Server, model string) backend.Server {
	inZone := lo.CountValuesBy(set.enginesServing(model), func(s backend.Server) string { return s.AvailabilityZone() })
	return slices.MinFunc(candidates, func(a, b backend.Server) int {
		return cmp.Or(
			cmp.Compare(inZone[a.AvailabilityZone()], inZone[b.AvailabilityZone()]),
			cmp.Compare(len(a.Models()), len(b.Models())),
			cmp.Compare(requestCount(a), requestCount(b)),
			cmp.Compare(a.Server(), b.Server()),
		)
	})
}

// requestCount returns the number of requests that run or wait at a server.
func requestCount(s backend.Server) int { return s.Load().Running + s.Load().Waiting }

// unloadForDemand makes an idle engine unload a model that other engines serve too, so that
// it can load a model that no engine serves.
func (p *Planner) unloadForDemand(now clock.Millis, set *serverSet, demand modelDemand) {
	if p.isUnloading() || len(p.loadCandidates(now, set, demand.model)) > 0 {
		return
	}
	for _, s := range set.engines {
		if requestCount(s) > 0 || len(s.Models()) == 0 || s.Role() != backend.Generate || !p.mayOrder(now, s) {
			continue
		}
		victim, ok := lo.Find(s.Models(), func(m string) bool { return m != demand.model && len(set.enginesServing(m)) > 1 })
		if ok {
			p.order(now, s, Order{Kind: UnloadModel, Model: victim})
			return
		}
	}
}

// isUnloading reports whether an unload is pending. Only one unload at a time is
// allowed, so that several models without engines do not cause more unloads than are
// needed.
func (p *Planner) isUnloading() bool {
	return lo.SomeBy(lo.Values(p.pendingOrder), func(o *pendingOrder) bool { return o.order.Kind == UnloadModel })
}
