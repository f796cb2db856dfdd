package control

import (
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/quarantine"
)

// exchangeQuarantine returns what this member knows about parts of prompts that end servers,
// and its digest. The report is empty if the sender of the watch knows the same.
func (c *Control) exchangeQuarantine(watch WatchRequest) (digest uint64, report quarantine.Report) {
	now := c.options.Clock.Now()
	digest = c.quarantine.Digest(now)
	if digest != watch.QuarantineDigest {
		report = c.quarantine.Report(now)
	}
	return digest, report
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
	Service string       `json:"s"`
	Part    string       `json:"p"`
	Entry   string       `json:"entry"`
	Count   int          `json:"n"`
	Age     clock.Millis `json:"age_ms"`
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
			return wireAnswers{Service: a.Service, Part: a.Part, Entry: a.Entry, Count: a.Count, Age: a.Age}
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
			return quarantine.Answers{Key: quarantine.NewKey(a.Service, a.Part), Entry: a.Entry, Count: a.Count, Age: a.Age}
		}),
		Probes: lo.Map(w.Probes, func(c wireCount, _ int) quarantine.Probe {
			return quarantine.Probe{Key: quarantine.NewKey(c.Service, c.Part), Number: c.Number, Age: c.Age}
		}),
		Releases: lo.Map(w.Releases, func(c wireCount, _ int) quarantine.Release {
			return quarantine.Release{Key: quarantine.NewKey(c.Service, c.Part), Number: c.Number, Age: c.Age}
		}),
	}
}
