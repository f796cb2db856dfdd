package quarantine

import (
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// WireReport is the JSON form of Report. Its keys are short, because it is sent
// often while servers end.
type WireReport struct {
	Ends      []wireEnd         `json:"ends,omitempty"`
	Servers   []wireEndedServer `json:"servers,omitempty"`
	Survivals []wireSurvivals   `json:"answers,omitempty"`
	Trials    []wireCount       `json:"trials,omitempty"`
	Probes    []wireCount       `json:"probes,omitempty"`
	Releases  []wireCount       `json:"releases,omitempty"`
	// Requests has the records of whole requests. Former builds ignore it; they would take these
	// records for those of parts.
	Requests *WireReport `json:"requests,omitempty"`
}

// wireKey is the JSON form of Key. Its kind follows from the list that it stands in.
type wireKey struct {
	Service string `json:"s"`
	ID      string `json:"p"`
}

func toWireKey(k Key) wireKey { return wireKey{Service: k.Service, ID: k.ID} }

func (w wireKey) toKey(kind Kind) Key {
	if kind == KindRequest {
		return NewRequestKey(w.Service, w.ID)
	}
	return NewKey(w.Service, w.ID)
}

// wireEnd is the JSON form of End.
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
	Version   string       `json:"v,omitempty"` // former builds do not send it
	AtServer  clock.Millis `json:"at_server_ms,omitempty"`
	Age       clock.Millis `json:"age_ms"`
}

// wireEndedServer is the JSON form of EndedServer.
type wireEndedServer struct {
	Service   string       `json:"s"`
	Server    string       `json:"server"`
	StartedAt int64        `json:"started_ms"`
	Age       clock.Millis `json:"age_ms"`
}

// wireSurvivals is the JSON form of Survivals.
type wireSurvivals struct {
	wireKey
	Entry   string `json:"entry"`
	Version string `json:"v,omitempty"` // former builds do not send it
	Count   int    `json:"n"`
}

// wireCount is the JSON form of Trial, Probe and Release.
type wireCount struct {
	wireKey
	Number int          `json:"n"`
	Age    clock.Millis `json:"age_ms"`
}

// ToWire returns the JSON form of a report. It returns nil for an empty one.
func ToWire(r Report) *WireReport {
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
func toWireRecords(r Report) *WireReport {
	return &WireReport{
		Ends: lo.Map(r.Ends, func(e End, _ int) wireEnd {
			return wireEnd{
				wireKey: toWireKey(e.Key), Server: e.Server, StartedAt: e.StartedAt, Depth: e.Depth, Waiting: !e.Begun,
				Repeated: e.Repeated, Trial: e.Trial, Request: e.Request, Several: e.Several, Version: e.Version, AtServer: e.AtServer, Age: e.Age,
			}
		}),
		Servers: lo.Map(r.Servers, func(e EndedServer, _ int) wireEndedServer {
			return wireEndedServer{Service: e.Service, Server: e.Server, StartedAt: e.StartedAt, Age: e.Age}
		}),
		Survivals: lo.Map(r.Survivals, func(v Survivals, _ int) wireSurvivals {
			return wireSurvivals{wireKey: toWireKey(v.Key), Entry: v.Entry, Version: v.Version, Count: v.Count}
		}),
		Trials: lo.Map(r.Trials, func(t Trial, _ int) wireCount {
			return wireCount{wireKey: toWireKey(t.Key), Number: t.Number, Age: t.Age}
		}),
		Probes: lo.Map(r.Probes, func(p Probe, _ int) wireCount {
			return wireCount{wireKey: toWireKey(p.Key), Number: p.Number, Age: p.Age}
		}),
		Releases: lo.Map(r.Releases, func(l Release, _ int) wireCount {
			return wireCount{wireKey: toWireKey(l.Key), Number: l.Number, Age: l.Age}
		}),
	}
}

// Report returns the report that has a JSON form, which may be nil.
func (w *WireReport) Report() Report {
	if w == nil {
		return Report{}
	}
	r := w.toRecords(KindPart)
	if w.Requests != nil {
		r = r.With(w.Requests.toRecords(KindRequest))
	}
	return r
}

// toRecords returns the records of one kind, without those of the nested list.
func (w *WireReport) toRecords(kind Kind) Report {
	return Report{
		Ends: lo.Map(w.Ends, func(e wireEnd, _ int) End {
			return End{
				Key: e.toKey(kind), ServerRun: ServerRun{Server: e.Server, StartedAt: e.StartedAt},
				Depth: e.Depth, Begun: !e.Waiting, Repeated: e.Repeated, Trial: e.Trial,
				Request: e.Request, Several: e.Several, Version: e.Version, AtServer: e.AtServer, Age: e.Age,
			}
		}),
		Servers: lo.Map(w.Servers, func(e wireEndedServer, _ int) EndedServer {
			return EndedServer{
				Service: e.Service, ServerRun: ServerRun{Server: e.Server, StartedAt: e.StartedAt}, Age: e.Age,
			}
		}),
		Survivals: lo.Map(w.Survivals, func(v wireSurvivals, _ int) Survivals {
			return Survivals{Key: v.toKey(kind), Entry: v.Entry, Version: v.Version, Count: v.Count}
		}),
		Trials: lo.Map(w.Trials, func(c wireCount, _ int) Trial {
			return Trial{Key: c.toKey(kind), Number: c.Number, Age: c.Age}
		}),
		Probes: lo.Map(w.Probes, func(c wireCount, _ int) Probe {
			return Probe{Key: c.toKey(kind), Number: c.Number, Age: c.Age}
		}),
		Releases: lo.Map(w.Releases, func(c wireCount, _ int) Release {
			return Release{Key: c.toKey(kind), Number: c.Number, Age: c.Age}
		}),
	}
}
