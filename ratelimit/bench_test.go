package ratelimit_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// BenchmarkAllows measures one question for each of many servers of which some are limited, as a choice
// of a server asks it.
func BenchmarkAllows(b *testing.B) {
	for _, limited := range []int{0, 1, 1000} {
		b.Run(fmt.Sprintf("limited=%d", limited), func(b *testing.B) {
			const servers = 12_000
			limits := ratelimit.NewLimits()
			runs := make([]ratelimit.Run, servers)
			for i := range runs {
				runs[i] = ratelimit.Run{Server: fmt.Sprintf("i-%010x", i), StartedAt: 1}
				if i < limited {
					limits.Record(0, runs[i], ratelimit.NewLimit(0.4), 0, 0)
				}
			}
			l := ratelimit.NewLimiter(limits)
			l.SetGrant(0, ratelimit.Grant{Interval: ratelimit.Interval{End: 1 << 32 / 460}}, clock.Hour)
			for i := 0; b.Loop(); i++ {
				l.Allows(clock.Millis(i), runs[i%servers], "s", ratelimit.Urgency{})
			}
		})
	}
}

// BenchmarkReport measures the bytes that tell an entry the limits of a thousand servers, and those of
// the grant that it reports and gets with each watch.
func BenchmarkReport(b *testing.B) {
	const servers = 1000
	limits := ratelimit.NewLimits()
	for i := range servers {
		limits.Record(0, ratelimit.Run{Server: fmt.Sprintf("i-%010x", i), StartedAt: 1_784_444_260_435}, ratelimit.NewLimit(0.4), 0, 40)
	}
	bytes, reports := 0, 0
	for b.Loop() {
		bytes, reports = 0, 0
		for known := (gossip.Position{}); ; reports++ {
			var report ratelimit.Report
			report, known = limits.Report(100, known)
			if len(report) == 0 {
				break
			}
			data, err := json.Marshal(ratelimit.ToWire(report))
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(data)
		}
	}
	grant, err := json.Marshal(ratelimit.ToWireGrant(ratelimit.Grant{Partition: 1 << 31, Number: 1 << 20, Interval: ratelimit.Interval{Begin: 1 << 31, End: 1 << 32}}))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(bytes), "bytes/1000_limits")
	b.ReportMetric(float64(reports), "reports/1000_limits")
	b.ReportMetric(float64(len(grant)), "bytes/grant")
}

// BenchmarkPartition measures a report and a grant of one of many participants.
func BenchmarkPartition(b *testing.B) {
	for _, entries := range []int{4, 40, 460} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			p := ratelimit.NewPartition(0, clock.Second)
			held := make([]ratelimit.Grant, entries)
			names := make([]string, entries)
			for i := range names {
				names[i] = fmt.Sprintf("entry-%d", i)
			}
			for i := 0; b.Loop(); i++ {
				n, now := i%entries, clock.Millis(i)*200/clock.Millis(entries)
				p.Report(now, names[n], 10, held[n])
				held[n] = p.Grant(now, names[n])
			}
		})
	}
}
