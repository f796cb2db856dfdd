package routing

import "github.com/galenaslip/galenaslip/clock"

// features are what the time to first token depends on.
type features struct {
	uncached int     // prompt tokens to compute
	queued   int     // prompt tokens of own requests ahead of this one
	share    float64 // load per slot
	waiting  int     // requests without a slot ahead of this one
}

func (r *Router) featuresOf(s *server, request Request) features {
	load := s.load()
	return features{
		uncached: request.PromptTokens + request.ProducedTokens - r.cached(s, request),
		queued:   s.pendingTokens,
		share:    min(float64(load)/float64(s.slots), 2),
		waiting:  max(0, load+1-s.slots),
	}
}

// cacheCredit is the part of the probably cached tokens that counts as saved. Cache
// events are late, and with the full credit a prefix that every request shares
// kept them on the servers that had it first. docs/measurements/routing.md
// compares values.
const cacheCredit = 0.5

// cached estimates the prompt tokens that the server need not compute. Tokens of
// an answer that is continued are part of the prompt, but in no known prefix.
func (r *Router) cached(s *server, request Request) int {
	n := len(request.PrefixHashes)
	if n == 0 || r.options.DisablePrefixAffinity {
		return 0
	}
	share := float64(r.prefixes.longest(s, request.PrefixHashes)) / float64(n)
	return int(cacheCredit * share * float64(request.PromptTokens))
}

// predict returns the expected time to first token.
func (r *Router) predict(p *pool, s *server, request Request) clock.Millis {
	f := r.featuresOf(s, request)
	millis := p.model.predict(f) * p.slowness(s)
	if f.waiting > 0 {
		output := r.ExpectedTokens(request.Class, request.ProducedTokens)
		millis += float64(f.waiting) * output * p.betweenTokens(s) / float64(s.slots)
	}
	return clock.Millis(millis + 0.5)
}

// Start values of the prediction, before any first token was seen. They only need
// to order servers sensibly.
const (
	startBase     = 20.0  // ms
	startPerToken = 100.0 // ms per 1,000 prompt tokens
	startShare    = 50.0  // ms when all slots are busy
)

const (
	learningRate = 0.05
	// maxSurprise bounds a single correction, so that one stalled request does
	// not spoil the prediction for the pool.
	maxSurprise = 500.0
)

// model is a linear prediction of the time to first token in a pool, fitted by
// normalized least mean squares.
type model struct {
	weights [3]float64
}

func newModel() model {
	return model{weights: [3]float64{startBase, startPerToken, startShare}}
}

func (f features) vector() [3]float64 {
	return [3]float64{1, float64(f.uncached+f.queued) / 1000, f.share}
}

func (m *model) predict(f features) float64 {
	sum := 0.0
	for i, x := range f.vector() {
		sum += m.weights[i] * x
	}
	return sum
}

func (m *model) learn(f features, observed float64) {
	if f.waiting > 0 {
		return
	}
	x := f.vector()
	wrong := min(max(observed-m.predict(f), -maxSurprise), maxSurprise)
	norm := x[0]*x[0] + x[1]*x[1] + x[2]*x[2]
	for i := range m.weights {
		m.weights[i] = max(0, m.weights[i]+learningRate*wrong*x[i]/norm)
	}
}
