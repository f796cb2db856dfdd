package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/retry"
	"github.com/galenaslip/galenaslip/roster"
)

// metrics holds the relay's counters and histograms. Label values come from the
// catalog in force and from fixed sets, never from callers, so that their number is bounded.
type metrics struct {
	registry       *prometheus.Registry
	answers        *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	streamsCut     prometheus.Counter
	panics         prometheus.Counter
	serversRefused prometheus.Counter
	loadsUnknown   prometheus.Counter
	cacheSources   prometheus.Counter
	firstByteTime  *prometheus.HistogramVec
	totalTime      *prometheus.HistogramVec

	routes, services labelValues
}

func newMetrics(r *Relay) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenaslip_relay_answers_total", Help: "Whole answers of backend servers that were passed on.",
		}, []string{"route", "status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenaslip_relay_refusals_total", Help: "Answers of the relay's own, by reason.",
		}, []string{"reason", "status"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenaslip_relay_attempts_total", Help: "Sendings of requests to backend servers, by result.",
		}, []string{"service", "result"}),
		streamsCut: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenaslip_relay_streams_cut_total", Help: "Streams that could not be completed.",
		}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenaslip_relay_panics_total", Help: "Connections that an unexpected error in the relay has ended.",
		}),
		serversRefused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenaslip_relay_servers_refused_total", Help: "Records of backend servers left out as invalid.",
		}),
		loadsUnknown: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenaslip_relay_loads_unknown_total", Help: "Load reports of backend servers whose form is not known in full.",
		}),
		cacheSources: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenaslip_relay_cache_sources_total", Help: "Sendings that name another server to copy cached parts of the prompt from.",
		}),
		firstByteTime: newHistogram("galenaslip_relay_first_byte_seconds", "Time from a request's arrival to the first byte of its answer."),
		totalTime:     newHistogram("galenaslip_relay_answer_seconds", "Time from a request's arrival to the end of its answer."),
	}
	m.registry.MustRegister(m.answers, m.refusals, m.attempts, m.streamsCut, m.panics, m.serversRefused, m.loadsUnknown, m.cacheSources, m.firstByteTime, m.totalTime)
	m.registry.MustRegister(gauges{r})
	return m
}

// Metrics of the retry budget of each service.
var (
	retriesSpent   = newServiceDesc("retries_spent")
	retriesLeft    = newServiceDesc("retries_left")
	retriesRefused = newServiceDesc("retries_refused_total")
)

func newServiceDesc(name string) *prometheus.Desc {
	return prometheus.NewDesc("galenaslip_relay_"+name, "See docs/metrics.md.", []string{"service"}, nil)
}

// gauges collects the gauges of the relay's state. It reads the state once for all
// of them.
type gauges struct{ relay *Relay }

// Describe implements prometheus.Collector.
func (g gauges) Describe(out chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(g, out)
	// No service has asked for a retry yet.
	for _, description := range []*prometheus.Desc{retriesSpent, retriesLeft, retriesRefused} {
		out <- description
	}
}

// Collect implements prometheus.Collector.
func (g gauges) Collect(out chan<- prometheus.Metric) {
	s := g.relay.State()
	for name, value := range map[string]float64{
		"lease_ms":            float64(s.LeaseLeft),
		"catalog_revision":    float64(s.Revision),
		"connections":         float64(s.Connections),
		"attempts_running":    float64(s.Attempts),
		"servers":             float64(len(s.Servers)),
		"servers_leaving":     float64(lo.CountBy(s.Servers, func(v ServerState) bool { return v.SaysLeaving && !v.gone() })),
		"servers_limited":     float64(lo.CountBy(s.Servers, func(v ServerState) bool { return v.Limit > 0 && !v.gone() })),
		"servers_starting":    float64(lo.CountBy(s.Servers, func(v ServerState) bool { return v.Window > 0 && !v.gone() })),
		"limit_share":         s.LimitShare,
		"retry_share":         s.RetryShare,
		"servers_paused":      float64(lo.CountBy(s.Servers, func(v ServerState) bool { return v.PauseLeft > 0 && !v.gone() })),
		"parts_suspect":       float64(len(s.Suspects)),
		"parts_quarantined":   float64(lo.CountBy(s.Suspects, func(v quarantine.Suspect) bool { return v.Quarantined })),
		"prompt_parts":        float64(s.PromptParts),
		"message_bytes":       float64(g.relay.messageMemory.InUse()),
		"log_lines_lost":      float64(g.relay.options.Logger.DroppedLines()),
		"streams_untold":      float64(g.relay.origins.Dropped()),
		"streams_unconfirmed": float64(g.relay.origins.UnconfirmedDropped()),
	} {
		description := prometheus.NewDesc("galenaslip_relay_"+name, "See docs/metrics.md.", nil, nil)
		out <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value)
	}
	for _, u := range s.Retries {
		out <- prometheus.MustNewConstMetric(retriesSpent, prometheus.GaugeValue, u.Retries, u.Service)
		out <- prometheus.MustNewConstMetric(retriesLeft, prometheus.GaugeValue, u.Left, u.Service)
		out <- prometheus.MustNewConstMetric(retriesRefused, prometheus.CounterValue, float64(u.Refused), u.Service)
	}
}

func newHistogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.005, 2, 13),
	}, []string{"route"})
}

// recordAttempt counts an attempt.
func (m *metrics) recordAttempt(service, result string) {
	m.services.record(service, func() { m.attempts.WithLabelValues(service, result).Inc() })
}

// recordAnswer counts a forwarded response and records its times since the arrival of
// the request.
func (m *metrics) recordAnswer(route string, status int, firstByteTime, totalTime clock.Millis) {
	m.routes.record(route, func() {
		m.answers.WithLabelValues(route, strconv.Itoa(status)).Inc()
		m.firstByteTime.WithLabelValues(route).Observe(firstByteTime.Duration().Seconds())
		m.totalTime.WithLabelValues(route).Observe(totalTime.Duration().Seconds())
	})
}

// dropFormer removes the metrics of routes and services that the catalog does not have. Those of
// requests that end later are removed with the next catalog.
func (m *metrics) dropFormer(c catalog.Catalog) {
	m.routes.dropOthers(c.RouteNames(), func(route string) {
		m.answers.DeletePartialMatch(prometheus.Labels{"route": route})
		m.firstByteTime.DeleteLabelValues(route)
		m.totalTime.DeleteLabelValues(route)
	})
	m.services.dropOthers(c.ServiceNames(), func(service string) {
		m.attempts.DeletePartialMatch(prometheus.Labels{"service": service})
	})
}

// labelValues are the values of a label that have metrics. It is safe for concurrent use.
type labelValues struct {
	mu     sync.Mutex
	values map[string]struct{}
}

// record records a metric with a value.
func (l *labelValues) record(value string, record func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record()
	if l.values == nil {
		l.values = map[string]struct{}{}
	}
	l.values[value] = struct{}{}
}

// dropOthers removes all but the given values, and their metrics.
func (l *labelValues) dropOthers(kept []string, drop func(value string)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, value := range lo.Without(lo.Keys(l.values), kept...) {
		delete(l.values, value)
		drop(value)
	}
}

// Metrics returns the handler that serves the relay's metrics to Prometheus.
func (r *Relay) Metrics() http.Handler {
	return promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{})
}

// State is a snapshot of the relay's view of itself and of the backend servers.
type State struct {
	Name        string
	Ready       bool
	Revision    uint64
	LeaseLeft   clock.Millis // negative once the lease has ended
	Entries     int
	Connections int // callers' connections
	Attempts    int // running attempts
	Servers     []ServerState
	Suspects    []quarantine.Suspect // parts of prompts under which servers have ended
	PromptParts int                  // parts of prompts that are remembered, because servers may have them cached
	LimitShare  float64              // the part of servers' limits that this relay may use, 0 to 1
	RetryShare  float64              // the part of the fixed number of retries that this relay may use, 0 to 1
	Retries     []retry.Usage        // by service
}

// ServerState is the relay's view of one backend server. Latency is in ms.
type ServerState struct {
	Server, Service, Address, State                 string
	Silent, Unresponsive, WrongServer               bool
	Attempts, OpenConnections, IdleConnections      int
	OtherEntriesRequests, FailureShare, MeanLatency float64
	Slowness                                        float64      // lasting time that work takes, as a multiple of the usual one
	SaysLeaving                                     bool         // the server has said in an answer that it leaves
	PauseLeft                                       clock.Millis // how long the server has asked for no requests
	Limit                                           float64      // requests a second that the server takes from all entries together; 0 if it has named no limit
	LimitRate                                       float64      // the part of Limit that this relay may use, in requests a second
	LimitTokens                                     float64      // requests that this relay may send to the server now
	Window                                          float64      // running requests that this relay may have at a server that starts or recovers while others have room; 0 without a bound
}

func (s ServerState) gone() bool { return s.State == string(roster.Gone) }

// State returns a snapshot of the relay's state.
func (r *Relay) State() State {
	now := r.clock.Now()
	s := State{
		Name: r.options.Name, Ready: r.Ready(), Revision: r.catalog.Load().Revision(),
		LeaseLeft: clock.Millis(r.leaseEnd.Load()) - now, Connections: r.forEachConn(func(*callerConn) {}),
	}
	s.Suspects, s.LimitShare, s.Retries = r.quarantine.Suspects(now), r.limiter.Share(now), r.budget.Usage(now)
	s.RetryShare = r.budget.Share(now)
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	s.Entries, s.PromptParts = f.entryCount, f.promptParts.Len()
	for name, v := range f.servers {
		s.Attempts += len(v.attempts)
		limit := r.limiter.ServerRate(now, ratelimit.Run(v.run()))
		s.Servers = append(s.Servers, ServerState{
			Server: name, Service: v.record.Service, Address: v.record.Address, State: string(v.record.State),
			Silent: v.record.Silent, Unresponsive: v.unresponsive, WrongServer: v.wrongServer, Attempts: len(v.attempts), OpenConnections: v.openConns,
			IdleConnections: len(v.idle), OtherEntriesRequests: v.otherEntriesRequests, FailureShare: v.failureShare(now), MeanLatency: v.meanLatency(now), Slowness: v.speed.Lasting(),
			SaysLeaving: v.withdrawal.Leaving(), PauseLeft: v.withdrawal.PauseLeft(now),
			Limit: limit.Limit, LimitRate: limit.Rate, LimitTokens: limit.Tokens, Window: lo.Ternary(f.isStarting(now, v), v.window.Size(), 0),
		})
	}
	return s
}

// wireState is the JSON form of State.
type wireState struct {
	Name        string            `json:"name"`
	Ready       bool              `json:"ready"`
	Revision    uint64            `json:"catalog_revision"`
	LeaseLeft   clock.Millis      `json:"lease_left_ms"`
	Entries     int               `json:"entries"`
	Connections int               `json:"connections"`
	Attempts    int               `json:"attempts_running"`
	Servers     []wireServerState `json:"servers"`
	Suspects    []wireSuspect     `json:"suspects"`
	LimitShare  float64           `json:"limit_share"`
	RetryShare  float64           `json:"retry_share"`
	Retries     []wireRetryUsage  `json:"retries"`
}

// wireRetryUsage is the JSON form of retry.Usage.
type wireRetryUsage struct {
	Service  string  `json:"service"`
	Requests int     `json:"requests"`
	Retries  float64 `json:"retries"`
	Left     float64 `json:"left"`
	Refused  uint64  `json:"refused"`
}

// wireSuspect is the JSON form of quarantine.Suspect.
type wireSuspect struct {
	Service     string   `json:"service"`
	Part        string   `json:"part"`
	Quarantined bool     `json:"quarantined"`
	Servers     []string `json:"servers"`
	Answers     int      `json:"answers"`
	Score       float64  `json:"score"`
	Required    float64  `json:"required_score"`
}

// wireServerState is the JSON form of ServerState. It must have the same fields.
type wireServerState struct {
	Server               string       `json:"server"`
	Service              string       `json:"service"`
	Address              string       `json:"address"`
	State                string       `json:"state"`
	Silent               bool         `json:"silent"`
	Unresponsive         bool         `json:"dark"`
	WrongServer          bool         `json:"stranger"`
	Attempts             int          `json:"attempts"`
	OpenConnections      int          `json:"open_connections"`
	IdleConnections      int          `json:"idle_connections"`
	OtherEntriesRequests float64      `json:"others_requests"`
	FailureShare         float64      `json:"failure_share"`
	MeanLatency          float64      `json:"mean_latency_ms"`
	Slowness             float64      `json:"slowness"`
	SaysLeaving          bool         `json:"says_leaving"`
	PauseLeft            clock.Millis `json:"pause_left_ms"`
	Limit                float64      `json:"limit"`
	LimitRate            float64      `json:"limit_rate"`
	LimitTokens          float64      `json:"limit_tokens"`
	Window               float64      `json:"window"`
}

// EncodeState returns the JSON form of a state.
func EncodeState(s State) ([]byte, error) {
	w := wireState{
		Name: s.Name, Ready: s.Ready, Revision: s.Revision, LeaseLeft: s.LeaseLeft, Entries: s.Entries,
		Connections: s.Connections, Attempts: s.Attempts, LimitShare: s.LimitShare, RetryShare: s.RetryShare,
	}
	for _, v := range s.Servers {
		w.Servers = append(w.Servers, wireServerState(v))
	}
	for _, u := range s.Retries {
		w.Retries = append(w.Retries, wireRetryUsage(u))
	}
	for _, v := range s.Suspects {
		w.Suspects = append(w.Suspects, wireSuspect{
			Service: v.Service, Part: v.Text(), Quarantined: v.Quarantined, Servers: v.Servers, Answers: v.Survivals,
			Score: v.Score, Required: v.Required,
		})
	}
	data, err := json.Marshal(w)
	return data, errors.WithStack(err)
}
