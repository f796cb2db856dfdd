package attainment

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/outcome"
)

// DefaultCapacity is the default capacity of the channel of samples that wait to be
// counted. When the channel is full, further samples are dropped, and the number of
// dropped samples is counted; requests are never delayed.
const DefaultCapacity = 4096

// Options configure a collector.
type Options struct {
	// Registerer is where the collector registers its metrics.
	Registerer prometheus.Registerer
	// Capacity is the capacity of the channel of samples. Zero means
	// DefaultCapacity.
	Capacity int
}

// Collector counts samples with a meter that runs in its own goroutine. Its methods
// are safe for concurrent use.
type Collector struct {
	samples       chan Sample
	stateRequests chan chan State // each request is the channel for the reply
	stop          chan struct{}   // closed to stop the goroutine
	stopped       chan struct{}   // closed when the goroutine has ended
	dropped       atomic.Uint64
	metrics       metrics
}

// New registers the metrics, starts the goroutine and returns the collector with a
// function that stops it: it counts the samples still in the channel and waits until
// the goroutine has ended. The function may be called several times.
func New(options Options) (*Collector, func(), error) {
	if options.Capacity == 0 {
		options.Capacity = DefaultCapacity
	}
	c := &Collector{
		samples:       make(chan Sample, options.Capacity),
		stateRequests: make(chan chan State),
		stop:          make(chan struct{}),
		stopped:       make(chan struct{}),
		metrics:       newMetrics(),
	}
	if err := c.metrics.register(options.Registerer); err != nil {
		return nil, nil, err
	}
	go c.run()
	return c, sync.OnceFunc(func() {
		close(c.stop)
		<-c.stopped
	}), nil
}

// Record sends a sample to the collector without blocking. It reports false if the
// sample was dropped because the channel is full.
func (c *Collector) Record(s Sample) bool {
	select {
	case c.samples <- s:
		return true
	default:
		c.dropped.Add(1)
		c.metrics.dropped.Inc()
		return false
	}
}

// State returns a copy of the counts. It returns an error if the collector has been
// stopped or if ctx ends before the collector accepts the request.
func (c *Collector) State(ctx context.Context) (State, error) {
	reply := make(chan State, 1)
	select {
	case c.stateRequests <- reply:
	case <-c.stopped:
		return State{}, errors.New("attainment collector was stopped")
	case <-ctx.Done():
		return State{}, errors.Wrap(ctx.Err(), "wait for attainment collector")
	}
	return <-reply, nil
}

func (c *Collector) run() {
	defer close(c.stopped)
	meter := NewMeter()
	for {
		select {
		case s := <-c.samples:
			c.count(meter, s)
		case reply := <-c.stateRequests:
			c.countQueuedSamples(meter)
			state := meter.State()
			state.DroppedSamples = c.dropped.Load()
			reply <- state
		case <-c.stop:
			c.countQueuedSamples(meter)
			return
		}
	}
}

// countQueuedSamples counts the samples that wait in the channel, so that a state includes
// all samples that were recorded before the state was requested.
func (c *Collector) countQueuedSamples(meter *Meter) {
	for range len(c.samples) {
		c.count(meter, <-c.samples)
	}
}

func (c *Collector) count(meter *Meter, s Sample) {
	meter.Record(s)
	c.metrics.record(s)
}

type metrics struct {
	requests, targets, tokens, sheds, retries *prometheus.CounterVec
	queueWait, firstToken, completion         *prometheus.HistogramVec
	dropped                                   prometheus.Counter
}

// buckets are the upper bounds in seconds of the histogram buckets. They go from 1 ms to
// 9 min, to cover both targets of some milliseconds and overnight work.
var buckets = prometheus.ExponentialBuckets(0.001, 2, 20)

func newMetrics() metrics {
	return metrics{
		requests:   newCounterVec("requests_total", "Requests that ended.", "class", "tier", "outcome", "reason"),
		targets:    newCounterVec("targets_total", "Requests that are part of attainment, by whether they met their target.", "class", "tier", "met"),
		tokens:     newCounterVec("tokens_total", "Tokens delivered, delivered within the target (good), and wasted.", "class", "tier", "kind"),
		sheds:      newCounterVec("sheds_total", "Requests shed by a full queue.", "class", "tier"),
		retries:    newCounterVec("retries_total", "Times that a request was sent again.", "class", "tier"),
		queueWait:  newHistogramVec("queue_wait_seconds", "Time from arrival to the last dispatch of answered requests."),
		firstToken: newHistogramVec("first_token_seconds", "Time from arrival to the first token of answered requests."),
		completion: newHistogramVec("completion_seconds", "Time from arrival to the end of answered requests."),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "galenaslip", Name: "samples_dropped_total", Help: "Samples that a full channel lost.",
		}),
	}
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "galenaslip", Name: name, Help: help}, labels)
}

func newHistogramVec(name, help string) *prometheus.HistogramVec {
	opts := prometheus.HistogramOpts{Namespace: "galenaslip", Name: name, Help: help, Buckets: buckets}
	return prometheus.NewHistogramVec(opts, []string{"class", "tier"})
}

func (m metrics) register(registerer prometheus.Registerer) error {
	collectors := []prometheus.Collector{
		m.requests, m.targets, m.tokens, m.sheds, m.retries, m.queueWait, m.firstToken, m.completion, m.dropped,
	}
	for _, c := range collectors {
		if err := registerer.Register(c); err != nil {
			return errors.Wrap(err, "register attainment metrics")
		}
	}
	return nil
}

func (m metrics) record(s Sample) {
	name, tier := s.Class.Name(), strconv.Itoa(int(s.Class.Tier()))
	m.requests.WithLabelValues(name, tier, string(s.Outcome), string(s.Reason)).Inc()
	if s.Counted() {
		m.targets.WithLabelValues(name, tier, strconv.FormatBool(s.Met())).Inc()
	}
	m.tokens.WithLabelValues(name, tier, "delivered").Add(float64(s.DeliveredTokens))
	m.tokens.WithLabelValues(name, tier, "wasted").Add(float64(s.WastedTokens))
	if s.Met() {
		m.tokens.WithLabelValues(name, tier, "good").Add(float64(s.DeliveredTokens))
	}
	m.sheds.WithLabelValues(name, tier).Add(float64(countIf(s.Shed())))
	m.retries.WithLabelValues(name, tier).Add(float64(s.Retries))
	m.recordTimes(s, name, tier)
}

func (m metrics) recordTimes(s Sample, name, tier string) {
	if s.Outcome != outcome.Answered {
		return
	}
	m.queueWait.WithLabelValues(name, tier).Observe(s.QueueWait.Duration().Seconds())
	m.completion.WithLabelValues(name, tier).Observe(s.Completion.Duration().Seconds())
	if s.Class.Measure() == class.FirstToken {
		m.firstToken.WithLabelValues(name, tier).Observe(s.FirstToken.Duration().Seconds())
	}
}
