package control

import (
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/quarantine"
)

// quarantineExchange is the part of a Watcher that exchanges news about parts of prompts that
// end servers with the member that is asked.
type quarantineExchange struct {
	quarantine *quarantine.Quarantine
	received   quarantine.Position // up to which the member's records are known
	sent       quarantine.Position // up to which the member knows the own records
	sending    quarantine.Position // the same once the member has answered
}

// fill adds to a request what the member does not know yet.
func (x *quarantineExchange) fill(now clock.Millis, request *WatchRequest) {
	request.QuarantineKnown = x.received
	request.Quarantine, x.sending = x.quarantine.Report(now, x.sent)
}

// apply takes over what the member has answered. Another process than before has answered if
// its position is of another instance: it needs all records.
func (x *quarantineExchange) apply(now clock.Millis, response WatchResponse) {
	x.quarantine.Merge(now, response.Quarantine)
	if response.QuarantinePosition.Instance == x.received.Instance {
		x.sent = x.sending
	} else {
		x.sent = quarantine.Position{}
	}
	x.received = response.QuarantinePosition
}

// wirePosition is the JSON form of quarantine.Position.
type wirePosition struct {
	Instance uint64 `json:"instance"`
	Number   uint64 `json:"number"`
}

// wireQuarantine is the JSON form of quarantine.Report. Its keys are short, because it is sent
// often while servers end.
type wireQuarantine struct {
	Ends      []wireEnd         `json:"ends,omitempty"`
	Servers   []wireEndedServer `json:"servers,omitempty"`
	Survivals []wireSurvivals   `json:"answers,omitempty"`
	Trials    []wireCount       `json:"trials,omitempty"`
	Probes    []wireCount       `json:"probes,omitempty"`
	Releases  []wireCount       `json:"releases,omitempty"`
	// Requests has the records of whole requests. Former builds ignore it; they would take these
	// records for those of parts.
	Requests *wireQuarantine `json:"requests,omitempty"`
}

// wireKey is the JSON form of quarantine.Key. Its kind follows from the list that it stands in.
type wireKey struct {
	Service string `json:"s"`
	ID      string `json:"p"`
}

func toWireKey(k quarantine.Key) wireKey { return wireKey{Service: k.Service, ID: k.ID} }

func (w wireKey) toKey(kind quarantine.Kind) quarantine.Key {
	if kind == quarantine.KindRequest {
		return quarantine.NewRequestKey(w.Service, w.ID)
	}
	return quarantine.NewKey(w.Service, w.ID)
}

// wireEnd is the JSON form of quarantine.End.
type wireEnd struct {
	wireKey
	Server    string       `json:"server"`
	StartedAt int64        `json:"started_ms"`
	Depth     int          `json:"d,omitempty"`
	Waiting   bool         `json:"waiting,omitempty"` // former builds send ends of begun answers only
	Repeated  bool         `json:"repeated,omitempty"`
	Trial     bool         `json:"trial,omitempty"`
	Request   string       `json:"request,omitempty"`
	Several   bool         `json:"several,omitempty"`
	AtServer  clock.Millis `json:"at_server_ms,omitempty"`
	Age       clock.Millis `json:"age_ms"`
}

// wireEndedServer is the JSON form of quarantine.EndedServer.
type wireEndedServer struct {
	Service   string       `json:"s"`
	Server    string       `json:"server"`
	StartedAt int64        `json:"started_ms"`
	Age       clock.Millis `json:"age_ms"`
}

// wireSurvivals is the JSON form of quarantine.Survivals.
type wireSurvivals struct {
	wireKey
	Entry string `json:"entry"`
	Count int    `json:"n"`
}

// wireCount is the JSON form of quarantine.Trial, quarantine.Probe and quarantine.Release.
type wireCount struct {
	wireKey
	Number int          `json:"n"`
	Age    clock.Millis `json:"age_ms"`
}

// toWireQuarantine returns nil for an empty report.
func toWireQuarantine(r quarantine.Report) *wireQuarantine {
	if r.IsEmpty() {
		return nil
	}
	parts, requests := r.Split()
	wire := toWireRecords(parts)
	if !requests.IsEmpty() {
		wire.Requests = toWireRecords(requests)
	}
	return wire
}

// toWireRecords returns the JSON form of records of one kind.
func toWireRecords(r quarantine.Report) *wireQuarantine {
	return &wireQuarantine{
		Ends: lo.Map(r.Ends, func(e quarantine.End, _ int) wireEnd {
			return wireEnd{
				wireKey: toWireKey(e.Key), Server: e.Server, StartedAt: e.StartedAt, Depth: e.Depth, Waiting: !e.Begun,
				Repeated: e.Repeated, Trial: e.Trial, Request: e.Request, Several: e.Several, AtServer: e.AtServer, Age: e.Age,
			}
		}),
		Servers: lo.Map(r.Servers, func(e quarantine.EndedServer, _ int) wireEndedServer {
			return wireEndedServer{Service: e.Service, Server: e.Server, StartedAt: e.StartedAt, Age: e.Age}
		}),
		Survivals: lo.Map(r.Survivals, func(v quarantine.Survivals, _ int) wireSurvivals {
			return wireSurvivals{wireKey: toWireKey(v.Key), Entry: v.Entry, Count: v.Count}
		}),
		Trials: lo.Map(r.Trials, func(t quarantine.Trial, _ int) wireCount {
			return wireCount{wireKey: toWireKey(t.Key), Number: t.Number, Age: t.Age}
		}),
		Probes: lo.Map(r.Probes, func(p quarantine.Probe, _ int) wireCount {
			return wireCount{wireKey: toWireKey(p.Key), Number: p.Number, Age: p.Age}
		}),
		Releases: lo.Map(r.Releases, func(l quarantine.Release, _ int) wireCount {
			return wireCount{wireKey: toWireKey(l.Key), Number: l.Number, Age: l.Age}
		}),
	}
}

func (w *wireQuarantine) toReport() quarantine.Report {
	if w == nil {
		return quarantine.Report{}
	}
	r := w.toRecords(quarantine.KindPart)
	if w.Requests != nil {
		r = r.With(w.Requests.toRecords(quarantine.KindRequest))
	}
	return r
}

// toRecords returns the records of one kind, without those of the nested list.
func (w *wireQuarantine) toRecords(kind quarantine.Kind) quarantine.Report {
	return quarantine.Report{
		Ends: lo.Map(w.Ends, func(e wireEnd, _ int) quarantine.End {
			return quarantine.End{
				Key: e.toKey(kind), ServerRun: quarantine.ServerRun{Server: e.Server, StartedAt: e.StartedAt},
				Depth: e.Depth, Begun: !e.Waiting, Repeated: e.Repeated, Trial: e.Trial,
				Request: e.Request, Several: e.Several, AtServer: e.AtServer, Age: e.Age,
			}
		}),
		Servers: lo.Map(w.Servers, func(e wireEndedServer, _ int) quarantine.EndedServer {
			return quarantine.EndedServer{
				Service: e.Service, ServerRun: quarantine.ServerRun{Server: e.Server, StartedAt: e.StartedAt}, Age: e.Age,
			}
		}),
		Survivals: lo.Map(w.Survivals, func(v wireSurvivals, _ int) quarantine.Survivals {
			return quarantine.Survivals{Key: v.toKey(kind), Entry: v.Entry, Count: v.Count}
		}),
		Trials: lo.Map(w.Trials, func(c wireCount, _ int) quarantine.Trial {
			return quarantine.Trial{Key: c.toKey(kind), Number: c.Number, Age: c.Age}
		}),
		Probes: lo.Map(w.Probes, func(c wireCount, _ int) quarantine.Probe {
			return quarantine.Probe{Key: c.toKey(kind), Number: c.Number, Age: c.Age}
		}),
		Releases: lo.Map(w.Releases, func(c wireCount, _ int) quarantine.Release {
			return quarantine.Release{Key: c.toKey(kind), Number: c.Number, Age: c.Age}
		}),
	}
}
