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
	Ends     []wireEnd     `json:"ends,omitempty"`
	Answers  []wireAnswers `json:"answers,omitempty"`
	Probes   []wireCount   `json:"probes,omitempty"`
	Releases []wireCount   `json:"releases,omitempty"`
}

// wireEnd is the JSON form of quarantine.End.
type wireEnd struct {
	Service   string       `json:"s"`
	Part      string       `json:"p"`
	Server    string       `json:"server"`
	StartedAt int64        `json:"started_ms"`
	Depth     int          `json:"d,omitempty"`
	Age       clock.Millis `json:"age_ms"`
}

// wireAnswers is the JSON form of quarantine.Answers.
type wireAnswers struct {
	Service string `json:"s"`
	Part    string `json:"p"`
	Entry   string `json:"entry"`
	Count   int    `json:"n"`
}

// wireCount is the JSON form of quarantine.Probe and of quarantine.Release.
type wireCount struct {
	Service string       `json:"s"`
	Part    string       `json:"p"`
	Number  int          `json:"n"`
	Age     clock.Millis `json:"age_ms"`
}

// toWireQuarantine returns nil for an empty report.
func toWireQuarantine(r quarantine.Report) *wireQuarantine {
	if r.IsEmpty() {
		return nil
	}
	return &wireQuarantine{
		Ends: lo.Map(r.Ends, func(e quarantine.End, _ int) wireEnd {
			return wireEnd{Service: e.Service, Part: e.Part, Server: e.Server, StartedAt: e.StartedAt, Depth: e.Depth, Age: e.Age}
		}),
		Answers: lo.Map(r.Answers, func(a quarantine.Answers, _ int) wireAnswers {
			return wireAnswers{Service: a.Service, Part: a.Part, Entry: a.Entry, Count: a.Count}
		}),
		Probes: lo.Map(r.Probes, func(p quarantine.Probe, _ int) wireCount {
			return wireCount{Service: p.Service, Part: p.Part, Number: p.Number, Age: p.Age}
		}),
		Releases: lo.Map(r.Releases, func(l quarantine.Release, _ int) wireCount {
			return wireCount{Service: l.Service, Part: l.Part, Number: l.Number, Age: l.Age}
		}),
	}
}

func (w *wireQuarantine) toReport() quarantine.Report {
	if w == nil {
		return quarantine.Report{}
	}
	return quarantine.Report{
		Ends: lo.Map(w.Ends, func(e wireEnd, _ int) quarantine.End {
			return quarantine.End{
				Key: quarantine.NewKey(e.Service, e.Part), ServerRun: quarantine.ServerRun{Server: e.Server, StartedAt: e.StartedAt},
				Depth: e.Depth, Age: e.Age,
			}
		}),
		Answers: lo.Map(w.Answers, func(a wireAnswers, _ int) quarantine.Answers {
			return quarantine.Answers{Key: quarantine.NewKey(a.Service, a.Part), Entry: a.Entry, Count: a.Count}
		}),
		Probes: lo.Map(w.Probes, func(c wireCount, _ int) quarantine.Probe {
			return quarantine.Probe{Key: quarantine.NewKey(c.Service, c.Part), Number: c.Number, Age: c.Age}
		}),
		Releases: lo.Map(w.Releases, func(c wireCount, _ int) quarantine.Release {
			return quarantine.Release{Key: quarantine.NewKey(c.Service, c.Part), Number: c.Number, Age: c.Age}
		}),
	}
}
