package standin

import (
	"slices"
	"sync"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// orders carries out orders to load or unload a model or to change the role, each once.
// It is safe for concurrent use.
type orders struct {
	mu            sync.Mutex
	checksFencing bool   // whether orders with an outdated fencing token are refused
	highestToken  uint64 // highest fencing token so far
	models        []string
	role          string
	applied       map[string]bool // ids of the accepted orders
	loadTime      clock.Millis
}

func newOrders(options EngineOptions) *orders {
	return &orders{
		checksFencing: !options.IgnoreFencing,
		models:        slices.Clone(options.Models),
		role:          "generate",
		applied:       map[string]bool{},
		loadTime:      options.ModelLoadTime,
	}
}

// accept records an order. tokenValid is false when the fencing token is outdated; the
// order must be refused then. isNew is false when the order was accepted before.
func (o *orders) accept(w orderWire) (tokenValid, isNew bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checksFencing && w.FencingToken < o.highestToken {
		return false, false
	}
	o.highestToken = max(o.highestToken, w.FencingToken)
	isNew = !o.applied[w.OrderID]
	o.applied[w.OrderID] = true
	return true, isNew
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

func (o *orders) servedModels() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.models)
}

func (o *orders) currentRole() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.role
}
