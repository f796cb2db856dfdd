package commands_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/galenaslip/galenaslip/caller"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/lease"
)

// The benchmarks of this file measure with real processes how resource usage grows
// with load; docs/CAPACITY.md uses the results. Run them alone, on an idle machine:
//
//	go test ./commands -run - -bench Capacity -benchtime 1x

const (
	settleTime  = 4 * clock.Second
	measureTime = 10 * clock.Second
)

// measureUsage waits until the load of the site is steady, and then reports the
// resource usage of a process.
func measureUsage(b *testing.B, p *process) {
	b.Helper()
	systemClock.Sleep(context.Background(), settleTime)
	from := p.usage(b)
	systemClock.Sleep(context.Background(), measureTime)
	reportUsage(b, from, p.usage(b))
}

// BenchmarkCapacityServers measures one entry of a site with four entries and 0 to 260
// backend servers.
func BenchmarkCapacityServers(b *testing.B) {
	for _, servers := range []int{0, 65, 130, 260} {
		b.Run(fmt.Sprintf("servers=%d/entries=4", servers), func(b *testing.B) {
			benchmarkEntry(b, 4, servers)
		})
	}
}

// BenchmarkCapacityEntries measures one entry of a site with 2, 5 or 10 entries, all of
// which get the announcements of the same 260 servers.
func BenchmarkCapacityEntries(b *testing.B) {
	for _, entries := range []int{2, 5, 10} {
		b.Run(fmt.Sprintf("servers=260/entries=%d", entries), func(b *testing.B) {
			benchmarkEntry(b, entries, 260)
		})
	}
}

// benchmarkEntry measures the first entry of a site with stand-in servers.
func benchmarkEntry(b *testing.B, entries, servers int) {
	b.Helper()
	s := &site{}
	folder := b.TempDir()
	s.startControl(b, folder)
	for i := range entries {
		s.startEntry(b, folder, i)
	}
	if servers > 0 {
		startProcess(b, "standin", "fleet", "--count", fmt.Sprint(servers), "--models", "36", "--announce-to", strings.Join(s.entries, ","))
	}
	for b.Loop() {
		measureUsage(b, s.entryProcesses[0])
	}
}

// BenchmarkCapacityLeases measures the control leader with 0 to 460 entries, each of
// which renews its lease at lease.RenewalInterval.
func BenchmarkCapacityLeases(b *testing.B) {
	for _, entries := range []int{0, 115, 230, 460} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			s := &site{}
			s.startControl(b, b.TempDir())
			ctx, cancel := context.WithCancel(b.Context())
			var group sync.WaitGroup
			for i := range entries {
				group.Go(func() { s.renewLease(ctx, b, i, entries) })
			}
			leader := s.controlProcesses[s.leader(b)]
			for b.Loop() {
				measureUsage(b, leader)
			}
			cancel()
			group.Wait()
		})
	}
}

// renewLease keeps renewing a lease as an entry does. The starts of the entries are
// spread over one interval.
func (s *site) renewLease(ctx context.Context, b *testing.B, i, entries int) {
	b.Helper()
	client, release, err := control.NewClient(control.ClientOptions{Addresses: s.controlAddresses, Clock: systemClock})
	if err != nil {
		b.Error(err)
		return
	}
	defer release()
	systemClock.Sleep(ctx, lease.RenewalInterval*clock.Millis(i)/clock.Millis(entries))
	holder := lease.NewHolder(fmt.Sprintf("entry-%d", i), 1, fmt.Sprintf("127.0.0.1:%d", 10000+i), "az-1")
	systemClock.Every(ctx, lease.RenewalInterval, func() {
		renewal, number := holder.NextRenewal(systemClock.Now(), 0, nil, false)
		grant, _ := client.Renew(ctx, renewal)
		holder.Accept(systemClock.Now(), number, grant)
	})
}

// BenchmarkCapacityChanges measures the control leader at different rates of accepted
// configuration changes.
func BenchmarkCapacityChanges(b *testing.B) {
	for _, rate := range []int{1, 5, 20} {
		b.Run(fmt.Sprintf("changes_per_second=%d", rate), func(b *testing.B) {
			s := &site{}
			s.startControl(b, b.TempDir())
			leader := s.controlProcesses[s.leader(b)]
			ctx, cancel := context.WithCancel(b.Context())
			var group sync.WaitGroup
			group.Go(func() { s.makeChanges(ctx, b, clock.Second/clock.Millis(rate)) })
			for b.Loop() {
				measureUsage(b, leader)
			}
			cancel()
			group.Wait()
		})
	}
}

// makeChanges sends a configuration change at each interval.
func (s *site) makeChanges(ctx context.Context, b *testing.B, interval clock.Millis) {
	b.Helper()
	client, release, err := control.NewClient(control.ClientOptions{Addresses: s.controlAddresses, Clock: systemClock})
	if err != nil {
		b.Error(err)
		return
	}
	defer release()
	current, _ := client.Configuration(ctx)
	revision := current.Revision()
	count := 0
	systemClock.Every(ctx, interval, func() {
		count++
		c, err := class.New(fmt.Sprintf("class-%d", count%40), 1, clock.Millis(count%1000+1), class.FirstToken)
		if err != nil {
			b.Error(err)
			return
		}
		r := client.Change(ctx, revision, configuration.SetClass{Class: c}, control.NewIdempotencyKey())
		if r.Answer.Revision > 0 {
			revision = r.Answer.Revision
		}
	})
}

// BenchmarkCapacityStreams measures one entry with different numbers of open streams.
// The engine sends 10 tokens per second on each.
func BenchmarkCapacityStreams(b *testing.B) {
	for _, streams := range []int{0, 250, 500, 1000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			s := newStreamSite(b, streams)
			ctx, cancel := context.WithCancel(b.Context())
			var group sync.WaitGroup
			for i := range streams {
				group.Go(func() { s.sendStream(ctx, b, i) })
			}
			for b.Loop() {
				measureUsage(b, s.entryProcesses[0])
			}
			cancel()
			sendSignal(b, s.engineProcess, syscall.SIGKILL)
			group.Wait()
		})
	}
}

// newStreamSite starts a site with one entry and one engine with a slot per stream.
func newStreamSite(b *testing.B, streams int) *site {
	b.Helper()
	s := &site{}
	folder := b.TempDir()
	s.startControl(b, folder)
	s.runUntilOK(b, "class", "set", "clause-query", "--tier", "1", "--target-ms", "580")
	s.startEntry(b, folder, 0)
	s.engineProcess = startProcess(b, "standin", "engine", "--announce-to", s.entries[0],
		"--token-time-ms", "100", "--batch-growth", "0.000001", "--prefill-rate", "1000000", "--slots", fmt.Sprint(max(streams, 1)))
	s.engineProcess.address(b)
	eventually(b, "the entry answers", func() bool {
		r, err := caller.New().ChatUnstreamed(query(b, s.entries[0], "ready [tokens=1]", false))
		return err == nil && r.Status == 200
	})
	return s
}

// sendStream sends one streamed request unless ctx has ended.
func (s *site) sendStream(ctx context.Context, b *testing.B, i int) {
	b.Helper()
	if ctx.Err() == nil {
		_, _ = caller.New().ChatStreamed(query(b, s.entries[0], fmt.Sprintf("stream %d [tokens=400]", i), true))
	}
}
