package routing

// features are what the time to first token depends on.
type features struct {
	uncached int     // prompt tokens that are not in the server's cache
	queued   int     // prompt tokens of own requests ahead of this one
	share    float64 // load per slot
	waiting  int     // requests without a slot ahead of this one
}

func (r *Router) featuresOf(s *server, request Request) features {
	load := s.load()
	return features{
		uncached: r.uncached(s, request),
		queued:   s.pendingTokens,
		share:    min(float64(load)/float64(s.slots), 2),
		waiting:  max(0, load+1-s.slots),
	}
}

// uncached estimates the prompt tokens that the server must compute. Tokens of an
// answer that is continued are part of the prompt.
func (r *Router) uncached(s *server, request Request) int {
	total := request.PromptTokens + request.Produced
	if r.options.NoAffinity {
		return total
	}
	cached := 0
	if n := len(request.Prefix); n > 0 {
		cached = request.PromptTokens * r.prefixes.longest(s, request.Prefix) / n
	}
	return max(0, total-cached)
}

// predict returns the expected time to first token in milliseconds.
func (r *Router) predict(p *pool, s *server, request Request) float64 {
	f := r.featuresOf(s, request)
	prefill := p.model.predict(f) * p.slowness(s)
	if f.waiting == 0 {
		return prefill
	}
	output := r.ExpectedTokens(request.Class, request.Produced)
	slotTime := output * p.betweenTokens(s) / float64(s.slots)
	return prefill + float64(f.waiting)*slotTime
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
