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

// DefaultCapacity is the number of samples that wait for the collector. When it
// is full, samples are dropped and counted; requests are not delayed.
const DefaultCapacity = 4096

// Options configure a collector.
type Options struct {
	// Registerer takes the metrics.
	Registerer prometheus.Registerer
	// Capacity is DefaultCapacity when it is zero.
	Capacity int
}

// Collector owns a meter in a goroutine. Its methods are safe for concurrent
// use.
type Collector struct {
	samples chan Sample
	states  chan chan State
	stop    chan struct{}
	stopped chan struct{}
	dropped atomic.Uint64
	metrics metrics
}

// New registers the metrics, starts the goroutine and returns the collector
// with a function that counts the samples still waiting and ends the goroutine.
func New(options Options) (*Collector, func(), error) {
	if options.Capacity == 0 {
		options.Capacity = DefaultCapacity
	}
	c := &Collector{
		samples: make(chan Sample, options.Capacity),
		states:  make(chan chan State),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
		metrics: newMetrics(),
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

// Record hands over a sample without waiting, and reports whether there was
// room for it.
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

// State returns a copy of the counts, or an error when ctx ends first or the
// collector has ended.
func (c *Collector) State(ctx context.Context) (State, error) {
	answer := make(chan State, 1)
	select {
	case c.states <- answer:
	case <-c.stopped:
		return State{}, errors.New("the collector has ended")
	case <-ctx.Done():
		return State{}, errors.Wrap(ctx.Err(), "waiting for the collector")
	}
	return <-answer, nil
}

func (c *Collector) run() {
	defer close(c.stopped)
	meter := NewMeter()
	for {
		select {
		case s := <-c.samples:
			c.count(meter, s)
		case answer := <-c.states:
			c.drain(meter)
			state := meter.State()
			state.DroppedSamples = c.dropped.Load()
			answer <- state
		case <-c.stop:
			c.drain(meter)
			return
		}
	}
}

// drain counts the samples that wait already, so that a state includes each
// sample recorded before it was asked for.
func (c *Collector) drain(meter *Meter) {
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

// buckets cover 1 ms to 9 min, so that targets in milliseconds and overnight
// work both fall inside.
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
			return errors.Wrap(err, "registering metrics")
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
	m.tokens.WithLabelValues(name, tier, "delivered").Add(float64(s.Delivered))
	m.tokens.WithLabelValues(name, tier, "wasted").Add(float64(s.WastedTokens))
	if s.Met() {
		m.tokens.WithLabelValues(name, tier, "good").Add(float64(s.Delivered))
	}
	m.sheds.WithLabelValues(name, tier).Add(float64(one(s.Shed())))
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
