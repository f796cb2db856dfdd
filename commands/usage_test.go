package commands_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/usage"
)

func (p *process) usage(b *testing.B) usage.Usage {
	b.Helper()
	u, err := usage.Read(p.command.Process.Pid, systemClock.Now())
	if err != nil {
		b.Fatal(err)
	}
	return u
}

// reportUsage reports the usage between two readings as benchmark metrics.
func reportUsage(b *testing.B, from, to usage.Usage) {
	b.Helper()
	rate := to.RateSince(from)
	b.ReportMetric(rate.CorePercent, "%core")
	b.ReportMetric(rate.BytesPerSecond/1000, "KB/s")
	b.ReportMetric(float64(rate.ResidentBytes)/1e6, "MB")
	b.ReportMetric(0, "ns/op")
}
