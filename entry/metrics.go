package entry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics holds the entry's Prometheus counters and gauges.
type metrics struct {
	registry             *prometheus.Registry
	rejections           *prometheus.CounterVec
	continuations        prometheus.Counter
	unauthorized         prometheus.Counter
	pullFailures         prometheus.Counter
	droppedAnnouncements prometheus.Counter
	refusedInboxFull     prometheus.Counter
	serversRefused       prometheus.Counter
}

func newMetrics(e *Entry) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.rejections = m.vector("rejections_total", "Requests that were refused before they were queued, by reason.", "reason")
	m.continuations = m.counter("continued_total", "Attempts after a lost or refusing backend server.")
	m.unauthorized = m.counter("unauthorized_total", "Calls refused for a missing or wrong token.")
	m.pullFailures = m.counter("pull_failures_total", "Pulls from other entries that failed.")
	m.droppedAnnouncements = m.counter("dropped_announcements_total", "Announcements dropped because the dispatcher's inbox was full.")
	m.refusedInboxFull = m.counter("refused_inbox_full_total", "Requests refused because the dispatcher's inbox was full.")
	m.serversRefused = m.counter("servers_refused_total", "Announcements and records of backend servers left out as invalid.")
	m.gauge("inbox", "Messages in the dispatcher's inbox.", func() float64 { return float64(len(e.dispatcher.inbox)) })
	m.gauge("lease_ms", "Remaining time of the configuration lease.", func() float64 { return float64(e.leases.remaining()) })
	m.gauge("revision", "Revision of the configuration in force.", func() float64 { return float64(e.leases.configuration().Revision()) })
	m.gauge("servers_leaving", "Backend servers that have said in an answer that they leave.", func() float64 { return float64(e.dispatcher.leavingCount.Load()) })
	m.gauge("servers_limited", "Backend servers that name how many requests a second they take.", func() float64 { return float64(e.dispatcher.limiter.Limits().Count()) })
	m.gauge("servers_paused", "Backend servers that have refused a request and asked for a pause.", func() float64 { return float64(e.dispatcher.pausedCount.Load()) })
	m.gauge("waiting", "Waiting requests.", func() float64 { return float64(e.dispatcher.waitingCount.Load()) })
	m.gauge("running", "Running requests.", func() float64 { return float64(e.dispatcher.runningCount.Load()) })
	return m
}

func (m *metrics) vector(name, help string, labels ...string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "galenaslip", Subsystem: "entry", Name: name, Help: help}, labels)
	m.registry.MustRegister(v)
	return v
}

func (m *metrics) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "galenaslip", Subsystem: "entry", Name: name, Help: help})
	m.registry.MustRegister(c)
	return c
}

func (m *metrics) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: "galenaslip", Subsystem: "entry", Name: name, Help: help}, value))
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
