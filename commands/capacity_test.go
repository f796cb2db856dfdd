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

// The benchmarks of this file measure the slopes that docs/CAPACITY.md uses, with
// real processes. Run them alone, on an idle machine:
//
//	go test ./commands -run - -bench Capacity -benchtime 1x

const (
	settleTime  = 4 * clock.Second
	measureTime = 10 * clock.Second
)

// measure lets the site settle and then reports what a process uses.
func measure(b *testing.B, p *process) {
	b.Helper()
	wall.Sleep(context.Background(), settleTime)
	from := p.usage(b)
	wall.Sleep(context.Background(), measureTime)
	report(b, from, p.usage(b))
}

// BenchmarkCapacityServers measures one entry of a cell of four by the number of
// backend servers.
func BenchmarkCapacityServers(b *testing.B) {
	for _, servers := range []int{0, 65, 130, 260} {
		b.Run(fmt.Sprintf("servers=%d/entries=4", servers), func(b *testing.B) {
			benchmarkCell(b, 4, servers)
		})
	}
}

// BenchmarkCapacityEntries measures one entry by the number of entries of its cell,
// with 260 servers in all.
func BenchmarkCapacityEntries(b *testing.B) {
	for _, entries := range []int{2, 5, 10} {
		b.Run(fmt.Sprintf("servers=260/entries=%d", entries), func(b *testing.B) {
			benchmarkCell(b, entries, 260)
		})
	}
}

func benchmarkCell(b *testing.B, entries, servers int) {
	b.Helper()
	s := &site{}
	folder := b.TempDir()
	s.startControl(b, folder)
	for i := range entries {
		s.startEntry(b, folder, i)
	}
	if servers > 0 {
		start(b, "standin", "fleet", "--count", fmt.Sprint(servers), "--models", "36", "--announce-to", strings.Join(s.entries, ","))
	}
	for b.Loop() {
		measure(b, s.entryProcess[0])
	}
}

// BenchmarkCapacityLeases measures the control leader by the number of entries
// that renew their lease each second.
func BenchmarkCapacityLeases(b *testing.B) {
	for _, entries := range []int{0, 115, 230, 460} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			s := &site{}
			s.startControl(b, b.TempDir())
			ctx, cancel := context.WithCancel(b.Context())
			var group sync.WaitGroup
			for i := range entries {
				group.Go(func() { s.renew(ctx, b, i, entries) })
			}
			leader := s.controls[s.leader(b)]
			for b.Loop() {
				measure(b, leader)
			}
			cancel()
			group.Wait()
		})
	}
}

// renew holds a lease as an entry does.
func (s *site) renew(ctx context.Context, b *testing.B, i, entries int) {
	b.Helper()
	client, release, err := control.NewClient(control.ClientOptions{Addresses: s.controlAddress, Clock: wall})
	if err != nil {
		b.Error(err)
		return
	}
	defer release()
	wall.Sleep(ctx, lease.RenewalInterval*clock.Millis(i)/clock.Millis(entries))
	holder := lease.NewHolder(fmt.Sprintf("entry-%d", i), 1, fmt.Sprintf("127.0.0.1:%d", 10000+i), "az-1")
	wall.Every(ctx, lease.RenewalInterval, func() {
		renewal, number := holder.NextRenewal(wall.Now(), 0, nil, false)
		grant, _ := client.Renew(ctx, renewal)
		holder.Accept(wall.Now(), number, grant)
	})
}

// BenchmarkCapacityChanges measures the control leader by the rate of accepted
// configuration changes.
func BenchmarkCapacityChanges(b *testing.B) {
	for _, rate := range []int{1, 5, 20} {
		b.Run(fmt.Sprintf("changes_per_second=%d", rate), func(b *testing.B) {
			s := &site{}
			s.startControl(b, b.TempDir())
			leader := s.controls[s.leader(b)]
			ctx, cancel := context.WithCancel(b.Context())
			var group sync.WaitGroup
			group.Go(func() { s.changeSteadily(ctx, b, clock.Second/clock.Millis(rate)) })
			for b.Loop() {
				measure(b, leader)
			}
			cancel()
			group.Wait()
		})
	}
}

func (s *site) changeSteadily(ctx context.Context, b *testing.B, pause clock.Millis) {
	b.Helper()
	client, release, err := control.NewClient(control.ClientOptions{Addresses: s.controlAddress, Clock: wall})
	if err != nil {
		b.Error(err)
		return
	}
	defer release()
	current, _ := client.Configuration(ctx)
	revision := current.Revision()
	count := 0
	wall.Every(ctx, pause, func() {
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

// BenchmarkCapacityStreams measures one entry by the number of open streams. The
// engine sends 10 tokens a second on each.
func BenchmarkCapacityStreams(b *testing.B) {
	for _, streams := range []int{0, 250, 500, 1000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			s := newStreamSite(b, streams)
			ctx, cancel := context.WithCancel(b.Context())
			var group sync.WaitGroup
			for i := range streams {
				group.Go(func() { s.streamUntil(ctx, b, i) })
			}
			for b.Loop() {
				measure(b, s.entryProcess[0])
			}
			cancel()
			kill(b, s.engineProcess, syscall.SIGKILL)
			group.Wait()
		})
	}
}

func newStreamSite(b *testing.B, streams int) *site {
	b.Helper()
	s := &site{}
	folder := b.TempDir()
	s.startControl(b, folder)
	s.runOK(b, "class", "set", "clause-query", "--tier", "1", "--target-ms", "580")
	s.startEntry(b, folder, 0)
	s.engineProcess = start(b, "standin", "engine", "--announce-to", s.entries[0],
		"--token-time-ms", "100", "--batch-growth", "0.000001", "--prefill-rate", "1000000", "--slots", fmt.Sprint(max(streams, 1)))
	s.engineProcess.address(b)
	eventually(b, "the entry answers", func() bool {
		r, err := caller.New().Whole(query(b, s.entries[0], "ready [tokens=1]", false))
		return err == nil && r.Status == 200
	})
	return s
}

func (s *site) streamUntil(ctx context.Context, b *testing.B, i int) {
	b.Helper()
	if ctx.Err() == nil {
		_, _ = caller.New().Stream(query(b, s.entries[0], fmt.Sprintf("stream %d [tokens=400]", i), true))
	}
}
