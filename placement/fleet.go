package placement

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// need is the demand for a model over all tiers.
type need struct {
	model   string
	tier    class.Tier // highest with waiting work
	waiting int
}

// needs returns the models with waiting work, highest tier first.
func needs(demands []Demand) []need {
	byModel := map[string]need{}
	for _, d := range demands {
		if d.Waiting <= 0 {
			continue
		}
		n, ok := byModel[d.Model]
		if !ok || d.Tier.HasPriorityOver(n.tier) {
			n.tier = d.Tier
		}
		n.model, n.waiting = d.Model, n.waiting+d.Waiting
		byModel[d.Model] = n
	}
	sorted := lo.Values(byModel)
	slices.SortFunc(sorted, func(a, b need) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.waiting, a.waiting), cmp.Compare(a.model, b.model))
	})
	return sorted
}

// fleet is the usable engines of one planning round.
type fleet struct {
	byName  map[string]backend.Server
	engines []backend.Server // usable, by name
}

func newFleet(servers []backend.Server) *fleet {
	f := &fleet{byName: lo.KeyBy(servers, func(s backend.Server) string { return s.Server() })}
	f.engines = lo.Filter(servers, func(s backend.Server, _ int) bool { return s.Usable && s.Kind() == backend.Engine })
	slices.SortFunc(f.engines, func(a, b backend.Server) int { return cmp.Compare(a.Server(), b.Server()) })
	return f
}

// live returns the engines that answer requests for a model.
func (f *fleet) live(model string) []backend.Server {
	return lo.Filter(f.engines, func(s backend.Server, _ int) bool { return serves(s, model) })
}

func serves(s backend.Server, model string) bool {
	return s.Role() == backend.Generate && slices.Contains(s.Models(), model)
}

// cover orders what one model lacks. A role change is preferred, because it does
// not use the weight store.
func (p *Planner) cover(now clock.Millis, f *fleet, n need) {
	for p.lacks(f, n) {
		if !p.changeRole(now, f, n) && !p.load(now, f, n) {
			break
		}
	}
	if len(f.live(n.model)) == 0 && !p.coming(n.model) {
		p.makeRoom(now, f, n)
	}
}

// lacks reports whether the live servers and those on order are too few.
func (p *Planner) lacks(f *fleet, n need) bool {
	slots := lo.SumBy(f.engines, func(s backend.Server) int {
		if serves(s, n.model) || p.brings(s.Server(), n.model) {
			return s.Slots()
		}
		return 0
	})
	return slots == 0 || n.waiting*100 > slots*outgrown
}

// brings reports whether a server has a pending order that makes it serve a
// model.
func (p *Planner) brings(server, model string) bool {
	o, ok := p.pending[server]
	return ok && o.order.Model == model && o.order.Kind != UnloadModel
}

func (p *Planner) coming(model string) bool {
	return lo.SomeBy(lo.Keys(p.pending), func(server string) bool { return p.brings(server, model) })
}

func (p *Planner) changeRole(now clock.Millis, f *fleet, n need) bool {
	s, ok := lo.Find(f.engines, func(s backend.Server) bool {
		return s.Role() == backend.Prefill && slices.Contains(s.Models(), n.model) && p.mayOrder(now, s)
	})
	if ok {
		p.order(now, s, Order{Kind: ChangeRole, Model: n.model, Role: backend.Generate})
	}
	return ok
}

func (p *Planner) load(now clock.Millis, f *fleet, n need) bool {
	room := p.room(now, f, n.model)
	if len(room) == 0 || !p.mayLoad(now) {
		return false
	}
	p.order(now, f.best(room, n.model), Order{Kind: LoadModel, Model: n.model})
	return true
}

// room returns the engines that could load a model now.
func (p *Planner) room(now clock.Millis, f *fleet, model string) []backend.Server {
	return lo.Filter(f.engines, func(s backend.Server, _ int) bool {
		return s.Role() == backend.Generate && len(s.Models()) < p.options.MaxModelsPerServer &&
			!slices.Contains(s.Models(), model) && p.mayOrder(now, s)
	})
}

// best prefers an availability zone with few servers of the model, then few
// models, then little load.
func (f *fleet) best(room []backend.Server, model string) backend.Server {
	inZone := lo.CountValuesBy(f.live(model), func(s backend.Server) string { return s.AvailabilityZone() })
	return slices.MinFunc(room, func(a, b backend.Server) int {
		return cmp.Or(
			cmp.Compare(inZone[a.AvailabilityZone()], inZone[b.AvailabilityZone()]),
			cmp.Compare(len(a.Models()), len(b.Models())),
			cmp.Compare(busy(a), busy(b)),
			cmp.Compare(a.Server(), b.Server()),
		)
	})
}

func busy(s backend.Server) int { return s.Load().Running + s.Load().Waiting }

// makeRoom unloads a model that has other servers from an idle engine, for a
// model that has none.
func (p *Planner) makeRoom(now clock.Millis, f *fleet, n need) {
	if p.unloading() || len(p.room(now, f, n.model)) > 0 {
		return
	}
	for _, s := range f.engines {
		if busy(s) > 0 || len(s.Models()) == 0 || s.Role() != backend.Generate || !p.mayOrder(now, s) {
			continue
		}
		victim, ok := lo.Find(s.Models(), func(m string) bool { return m != n.model && len(f.live(m)) > 1 })
		if ok {
			p.order(now, s, Order{Kind: UnloadModel, Model: victim})
			return
		}
	}
}

// unloading reports whether room is being made. One at a time keeps several
// models in need from unloading more than they can load.
func (p *Planner) unloading() bool {
	return lo.SomeBy(lo.Values(p.pending), func(o *pending) bool { return o.order.Kind == UnloadModel })
}
