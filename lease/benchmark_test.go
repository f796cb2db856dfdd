package lease_test

import (
	"fmt"
	"testing"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/lease"
)

// roundTrip renews a lease once without a network: it encodes and decodes both
// messages and runs the grantor and the holder. It returns the number of bytes
// of both messages.
func roundTrip(b *testing.B, g *lease.Grantor, h *lease.Holder, at clock.Millis, claims int) int {
	b.Helper()
	renewal, number := h.NextRenewal(at, claims, nil, false)
	request, err := lease.EncodeRenewal(renewal)
	if err != nil {
		b.Fatal(err)
	}
	decoded, err := lease.DecodeRenewal(request)
	if err != nil {
		b.Fatal(err)
	}
	answer, err := lease.EncodeGrant(g.Renew(at, configuration.Configuration{}, decoded))
	if err != nil {
		b.Fatal(err)
	}
	grant, err := lease.DecodeGrant(answer)
	if err != nil {
		b.Fatal(err)
	}
	if !h.Accept(at, number, grant) {
		b.Fatal("the lease was not prolonged")
	}
	return len(request) + len(answer)
}

// BenchmarkRenewal compares one renewal for a whole process, which reports all
// its claims, with one renewal for each claim. One operation renews everything
// that a process holds.
func BenchmarkRenewal(b *testing.B) {
	for _, leases := range []int{1, 100, 10_000} {
		for _, messages := range lo.Uniq([]int{1, leases}) {
			name := fmt.Sprintf("leases=%d/messages=%d", leases, messages)
			b.Run(name, func(b *testing.B) {
				g, h := lease.NewGrantor(), lease.NewHolder("entry-1", 1, "10.0.0.1:8080", "az-1")
				g.StartTerm(0, 1)
				bytes, at := 0, clock.Millis(0)
				for b.Loop() {
					at += lease.RenewalInterval
					for range messages {
						bytes += roundTrip(b, g, h, at, leases/messages)
					}
				}
				b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
				b.ReportMetric(float64(b.N*messages)/b.Elapsed().Seconds(), "renewals/s")
			})
		}
	}
}

// BenchmarkEntries measures how the cost of a renewal grows with the number of
// entries in the list that the grants contain.
func BenchmarkEntries(b *testing.B) {
	for _, entries := range []int{4, 40, 460} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			g := lease.NewGrantor()
			g.StartTerm(0, 1)
			for i := range entries {
				g.Renew(0, configuration.Configuration{}, lease.Renewal{
					Entry: fmt.Sprintf("entry-%d", i), Address: "10.0.0.1:8080", AvailabilityZone: "az-1",
				})
			}
			h := lease.NewHolder("entry-1", 1, "10.0.0.1:8080", "az-1")
			bytes := 0
			for b.Loop() {
				bytes += roundTrip(b, g, h, 1, 0)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
		})
	}
}
