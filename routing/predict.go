package routing

import "github.com/galenaslip/galenaslip/clock"

// features are the inputs of the prediction of the time to first token.
type features struct {
	uncachedTokens  int     // prompt tokens that the server has to compute
	queuedTokens    int     // uncached prompt tokens of this entry's requests that are ahead at the server
	loadPerSlot     float64 // estimated requests per slot, at most 2
	waitingRequests int     // requests without a slot that must end before this one gets one
}

func (r *Router) featuresOf(s *server, request Request) features {
	load := s.load()
	return features{
		uncachedTokens:  request.PromptTokens + request.ProducedTokens - r.cachedTokens(s, request),
		queuedTokens:    s.pendingTokens,
		loadPerSlot:     min(float64(load)/float64(s.slots), 2),
		waitingRequests: max(0, load+1-s.slots),
	}
}

// cacheCredit is the share of the probably cached tokens that the prediction counts as
// cached.
// Cache events arrive late: with a credit of 1, a prefix shared by all requests kept
// all of them on the servers that had cached it first. docs/measurements/routing.md
// compares values.
const cacheCredit = 0.5

// cachedTokens estimates how many prompt tokens the server finds in its cache. When
// an answer is continued, the tokens produced so far are part of the prompt too, but
// they are never counted as cached, because no known prefix contains them.
func (r *Router) cachedTokens(s *server, request Request) int {
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
	millis := p.firstTokenModel.predict(f) * p.slowness(s)
	if f.waitingRequests > 0 {
		output := r.ExpectedTokens(request.Class, request.ProducedTokens)
		millis += float64(f.waitingRequests) * output * p.betweenTokens(s) / float64(s.slots)
	}
	return clock.Millis(millis + 0.5)
}

// Initial weights of the prediction, before any first token was observed. They only
// need to order servers sensibly.
const (
	initialBase              = 20.0  // constant term in ms
	initialPerThousandTokens = 100.0 // ms per 1,000 prompt tokens
	initialPerLoad           = 50.0  // ms added when all slots are busy
)

const (
	learningRate = 0.05
	// maxError bounds the error in ms that a single observation may correct, so
	// that one stalled request does not spoil the prediction for the pool.
	maxError = 500.0
)

// firstTokenModel is a linear prediction of the time to first token in a pool, in
// ms, fitted by normalized least mean squares.
type firstTokenModel struct {
	weights [3]float64
}

func newFirstTokenModel() firstTokenModel {
	return firstTokenModel{weights: [3]float64{initialBase, initialPerThousandTokens, initialPerLoad}}
}

func (f features) vector() [3]float64 {
	return [3]float64{1, float64(f.uncachedTokens+f.queuedTokens) / 1000, f.loadPerSlot}
}

func (m *firstTokenModel) predict(f features) float64 {
	sum := 0.0
	for i, x := range f.vector() {
		sum += m.weights[i] * x
	}
	return sum
}

// update adjusts the weights to an observed time to first token in ms. Requests that
// waited for a slot are left out, because the model does not cover that wait.
func (m *firstTokenModel) update(f features, observed float64) {
	if f.waitingRequests > 0 {
		return
	}
	x := f.vector()
	predictionError := min(max(observed-m.predict(f), -maxError), maxError)
	norm := x[0]*x[0] + x[1]*x[1] + x[2]*x[2]
	for i := range m.weights {
		m.weights[i] = max(0, m.weights[i]+learningRate*predictionError*x[i]/norm)
	}
}
