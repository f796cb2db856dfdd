package relay

import (
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
)

// unknownLoadLogInterval is the shortest time between two log lines about load reports of an unknown form.
const unknownLoadLogInterval = 1 * clock.Hour

// recordLoad records what the server's response tells of its load. The response to a misdirected request
// is of another server.
func (x *exchange) recordLoad(a *attempt) {
	r, info := x.relay, a.responseInfo
	if info.UnknownLoad != "" {
		r.metrics.loadsUnknown.Inc()
		r.unknownLoads.Log(r.clock.Now(), event.LoadUnknown, zap.String("server", a.server.record.Server), zap.String("load", info.UnknownLoad))
	}
	if a.head.Status != statusMisdirected {
		r.fleet.recordLoad(a.server, info.Load)
	}
}

// recordLoad records the load that a server reports.
func (f *fleet) recordLoad(s *server, l Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if l.HasCounts {
		s.setReportedLoad(now, l)
	}
	s.speed.Record(now, l.Slowness)
}
