package control

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/capacity"
	"github.com/galenaslip/galenaslip/duty"
	"github.com/galenaslip/galenaslip/placement"
	"github.com/galenaslip/galenaslip/replica"
)

// metrics holds the counters of the process and the registry that also serves
// its gauges.
type metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	unauthorized   prometheus.Counter
	forwarded      prometheus.Counter
	renewals       prometheus.Counter
	ordersSent     *prometheus.CounterVec
	ordersRefused  *prometheus.CounterVec
	ordersDone     *prometheus.CounterVec
	serversRefused prometheus.Counter
	serverOrders   *prometheus.CounterVec
	dutyCalls      *prometheus.CounterVec
}

func newMetrics(c *Control) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "galenaslip_control_" + name, Help: help})
	}
	counterByKind := func(name, help string) *prometheus.CounterVec {
		vector := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galenaslip_control_" + name, Help: help}, []string{"kind"})
		// Created at once, so that both kinds are exported with the value 0. An absent
		// counter would look like one that does not exist.
		vector.WithLabelValues(string(placement.LoadModel))
		vector.WithLabelValues(string(placement.ChangeRole))
		return vector
	}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenaslip_control_requests_total", Help: "Requests by path.",
		}, []string{"path"}),
		unauthorized:   counter("unauthorized_total", "Requests refused for a missing or wrong token."),
		forwarded:      counter("forwarded_total", "Requests forwarded to the leader."),
		serversRefused: counter("servers_refused_total", "Announcements and records of backend servers left out as invalid."),
		renewals:       counter("renewals_total", "Lease renewals answered."),
		ordersSent:     counterByKind("orders_sent_total", "Orders written to an engine, repetitions included."),
		ordersRefused:  counterByKind("orders_refused_total", "Orders refused for a stale fencing token."),
		ordersDone:     counterByKind("orders_done_total", "Orders whose effect a report has shown."),
		dutyCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenaslip_control_duty_calls_total", Help: "Calls that one member at a time makes, by duty and outcome.",
		}, []string{"duty", "outcome"}),
	}
	m.serverOrders = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "galenaslip_control_server_orders_total", Help: "Orders for backend servers, by outcome.",
	}, []string{"outcome"})
	for _, o := range capacity.Outcomes {
		m.serverOrders.WithLabelValues(o.String())
	}
	m.registry.MustRegister(m.serverOrders)
	m.registry.MustRegister(m.requests, m.unauthorized, m.forwarded, m.renewals, m.serversRefused)
	m.registry.MustRegister(m.ordersSent, m.ordersRefused, m.ordersDone)
	for _, o := range duty.Outcomes {
		m.dutyCalls.WithLabelValues(dutyUsage, o.String())
		m.dutyCalls.WithLabelValues(dutyServers, o.String())
	}
	m.registry.MustRegister(m.dutyCalls)
	m.registerGauges(c)
	return m
}

func (m *metrics) registerGauges(c *Control) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "galenaslip_control_" + name, Help: help,
		}, value))
	}
	status := func(value func(replica.Status) float64) func() float64 {
		return func() float64 { return value(c.log.Load().Status()) }
	}
	gauge("leads", "1 while this member leads.", status(func(s replica.Status) float64 {
		return lo.Ternary(s.Role == replica.Leader, 1.0, 0.0)
	}))
	gauge("term", "Term of the group.", status(func(s replica.Status) float64 { return float64(s.Term) }))
	gauge("disk_refuses_writes", "1 while the disk refuses writes.", status(func(s replica.Status) float64 {
		return lo.Ternary(s.DiskFailure != nil, 1.0, 0.0)
	}))
	counter := func(name, help string, value func(replica.Status) float64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "galenaslip_control_" + name, Help: help,
		}, status(value)))
	}
	counter("disk_failures_total", "Times that the disk began to refuse writes.", func(s replica.Status) float64 { return float64(s.DiskFailures) })
	counter("elections_total", "Elections that this member started.", func(s replica.Status) float64 { return float64(s.Elections) })
	counter("no_leader_ms_total", "Milliseconds in which this member knew no leader, since the log was opened.", func(s replica.Status) float64 { return float64(s.NoLeaderTotal) })
	gauge("no_leader_ms", "Milliseconds for which this member has known no leader; 0 if it knows one.", status(func(s replica.Status) float64 {
		return float64(s.NoLeaderFor)
	}))
	gauge("commit_index", "Newest committed entry.", status(func(s replica.Status) float64 { return float64(s.Commit) }))
	gauge("applied_index", "Newest applied entry.", status(func(s replica.Status) float64 { return float64(s.Applied) }))
	gauge("revision", "Configuration revision.", func() float64 { return float64(c.machine.summary().Revision) })
	gauge("claims", "Recorded claims.", func() float64 { return float64(c.machine.summary().Claims) })
	gauge("claim_bytes", "Estimated memory of the claims.", func() float64 { return float64(c.machine.summary().ClaimBytes) })
	gauge("leased_entries", "Entries with a lease.", func() float64 { return float64(len(c.leaderTasks.renewals())) })
	gauge("servers", "Backend servers that this member has a record of as the leader, gone ones included.", func() float64 {
		return float64(c.serverRegistry.count())
	})
	gauge("usage_pending", "Usage reports that are decided and were not accepted yet.", func() float64 {
		state := c.machine.Usage()
		return float64(len(state.Pending()))
	})
	gauge("usage_next_window", "First window of usage that is not decided; 0 before the first one.", func() float64 { return float64(c.machine.usageNext()) })
	gauge("servers_wanted", "Backend servers that are to remain after a reclaim, where the leader orders them.", func() float64 {
		return c.capacityController.sum(func(v capacity.View) float64 { return float64(v.Number) })
	})
	gauge("servers_busy", "Backend servers that are busy, as a mean, where the leader orders them.", func() float64 {
		return c.capacityController.sum(func(v capacity.View) float64 { return v.Demand })
	})
	gauge("messages_failed", "Replication messages not delivered.", func() float64 { return float64(c.peerClient.messagesFailed.Load()) })
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
