package standin

import (
	"slices"
	"sync"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// orders applies load, unload and role orders, each once.
type orders struct {
	mu      sync.Mutex
	fenced  bool
	highest uint64
	models  []string
	role    string
	applied map[string]bool
	loads   clock.Millis
}

func newOrders(options EngineOptions) *orders {
	return &orders{
		fenced:  !options.IgnoreFencing,
		models:  slices.Clone(options.Models),
		role:    "generate",
		applied: map[string]bool{},
		loads:   options.ModelLoadTime,
	}
}

// admit records an order. The first result is false when the token is too old,
// the second when the order was applied before.
func (o *orders) admit(w orderWire) (current, fresh bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fenced && w.FencingToken < o.highest {
		return false, false
	}
	o.highest = max(o.highest, w.FencingToken)
	fresh = !o.applied[w.OrderID]
	o.applied[w.OrderID] = true
	return true, fresh
}

func (o *orders) apply(w orderWire) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch w.Kind {
	case "load_model":
		o.models = lo.Uniq(append(slices.Clone(o.models), w.Model))
	case "unload_model":
		o.models = lo.Without(o.models, w.Model)
	case "change_role":
		o.role = w.Role
	}
}

func (o *orders) list() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.models)
}

func (o *orders) currentRole() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.role
}
