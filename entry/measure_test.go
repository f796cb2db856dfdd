package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/standin"
)

const (
	loadModel   = "m-load"
	probeModel  = "m-probe"
	loadEngines = 20
	loadSlots   = 60
	// loadTokenTime gives about 15 tokens a second and stream, as in the target.
	loadTokenTime = 66 * clock.Millisecond
	cpuTime       = 5 * clock.Second
)

// measured is a site with one entry, an idle engine for probes and engines that
// carry the open streams.
type measured struct {
	*site
	probe  *standin.Engine
	load   []*standin.Engine
	client *http.Client
	tokens atomic.Int64
}

func newMeasured(b *testing.B) *measured {
	b.Helper()
	s := newSite(b, 1, 0, 0, func(o *entry.Options, _ *standin.EngineOptions) { o.Timeouts.Silence = 5 * clock.Second })
	m := &measured{site: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000}}}
	o := standin.EngineOptions{
		Listen: "127.0.0.1:0", Clock: clock.New(), Logger: event.Discard(), Announce: s.announce(),
		Models: []string{probeModel}, TokenTime: 1, Slots: 64,
	}
	s.addEngine("probe", o)
	o.Models, o.TokenTime, o.Slots, o.BatchGrowth, o.KVTokens = []string{loadModel}, loadTokenTime, loadSlots, 1e-6, 1<<30
	for i := range loadEngines {
		s.addEngine(fmt.Sprintf("load-%d", i), o)
	}
	m.probe, m.load = s.engines[0], s.engines[1:]
	s.eventually("every server is known", s.known)
	return m
}

func (m *measured) start(ctx context.Context, address, model, prompt string) (*http.Response, error) {
	body := strings.Replace(string(chatBody(prompt, true)), testModel, model, 1)
	r := request(m.t, http.MethodPost, "http://"+address+"/v1/chat/completions", []byte(body))
	return m.client.Do(r.WithContext(ctx))
}

// The ways from a reader to an engine.
const (
	directly     = "directly"
	throughEntry = "through the entry"
	// throughCopy passes the bytes on without looking at them. It shows how much
	// of the entry's cost is that of one more hop on this machine.
	throughCopy = "through a copy"
)

// address returns where a reader finds an engine. A copy ends with ctx.
func (m *measured) address(ctx context.Context, way string, e *standin.Engine) string {
	switch way {
	case throughEntry:
		return m.entries[0].Address()
	case throughCopy:
		return m.copy(ctx, e)
	}
	return e.Address()
}

// copy listens for an engine and copies bytes between the connections.
func (m *measured) copy(ctx context.Context, e *standin.Engine) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.t.Fatal(err)
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go copyBoth(c, e.Address())
		}
	}()
	return l.Addr().String()
}

// copyBoth hides the connections' types, so that the copy is not done by the
// kernel.
func copyBoth(c net.Conn, address string) {
	defer func() { _ = c.Close() }()
	to, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() { _, _ = io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{c}) }()
	_, _ = io.Copy(struct{ io.Writer }{c}, struct{ io.Reader }{to})
}

// openStreams keeps n streams running until the returned function is called.
func (m *measured) openStreams(n int, way string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var streams sync.WaitGroup
	addresses := lo.Map(m.load, func(e *standin.Engine, _ int) string { return m.address(ctx, way, e) })
	for i := range n {
		streams.Go(func() { m.count(ctx, addresses[i%len(addresses)], fmt.Sprintf("stream %d [tokens=10000]", i)) })
	}
	m.eventually("every stream runs", func() bool { return m.running() == n })
	return func() {
		cancel()
		streams.Wait()
		// Without the entry nobody cancels, and an engine stops after 10 s.
		m.eventually("every stream has ended", func() bool { return m.running() == 0 })
	}
}

func (m *measured) running() int {
	running := 0
	for _, e := range m.load {
		running += e.State().Running
	}
	return running
}

// count reads a stream and counts its tokens by their lines.
func (m *measured) count(ctx context.Context, address, prompt string) {
	r, err := m.start(ctx, address, loadModel, prompt)
	if err != nil {
		return
	}
	defer func() { _ = r.Body.Close() }()
	lines := bufio.NewReader(r.Body)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > 6 && line[0] == 'd' {
			m.tokens.Add(1)
		}
	}
}

// firstToken returns the time from the request to its first token.
func (m *measured) firstToken(address string, i int) time.Duration {
	c := m.clockNow()
	r, err := m.start(context.Background(), address, probeModel, fmt.Sprintf("probe %d [tokens=2]", i))
	if err != nil {
		m.t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	lines := bufio.NewReader(r.Body)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			m.t.Fatal(err)
		}
		if len(line) > 6 && line[0] == 'd' {
			break
		}
	}
	taken := m.clockNow() - c
	_, _ = io.Copy(io.Discard, r.Body)
	return taken
}

// clockNow reads the clock with more than the milliseconds of the clock
// package, which are too coarse for the times measured here.
func (m *measured) clockNow() time.Duration {
	var now syscall.Timeval
	if err := syscall.Gettimeofday(&now); err != nil {
		m.t.Fatal(err)
	}
	return time.Duration(now.Nano())
}

// BenchmarkFirstToken measures the time to first token on each way, in turn. The
// open streams run through the entry in each case.
func BenchmarkFirstToken(b *testing.B) {
	ways := []string{directly, throughCopy, throughEntry}
	for _, n := range []int{1, 1000} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			m := newMeasured(b)
			stop := m.openStreams(n, throughEntry)
			defer stop()
			addresses := lo.Map(ways, func(way string, _ int) string { return m.address(b.Context(), way, m.probe) })
			times := lo.Map(ways, func(string, int) *hdrhistogram.Histogram { return hdrhistogram.New(1, 1e7, 3) })
			for i := 0; b.Loop(); i++ {
				for w, address := range addresses {
					_ = times[w].RecordValue(m.firstToken(address, len(ways)*i+w).Microseconds())
				}
			}
			for _, q := range []float64{50, 95} {
				direct := times[0].ValueAtQuantile(q)
				for w, name := range []string{"direct", "copy", "entry"} {
					b.ReportMetric(float64(times[w].ValueAtQuantile(q))/1000, fmt.Sprintf("%s-p%.0f-ms", name, q))
				}
				added := times[len(times)-1].ValueAtQuantile(q) - direct
				b.ReportMetric(float64(added)/1000, fmt.Sprintf("added-p%.0f-ms", q))
			}
		})
	}
}

// BenchmarkRelay measures the processor time for 1,000 tokens of 1,000 streams
// through the entry, above that of the same streams without it. Stand-ins and
// readers run in the same process in each case.
func BenchmarkRelay(b *testing.B) {
	m := newMeasured(b)
	for b.Loop() {
		direct := m.cpu(directly)
		copied := m.cpu(throughCopy)
		through := m.cpu(throughEntry)
		b.ReportMetric(direct, "direct-cpu-ms/1000-tokens")
		b.ReportMetric(copied, "copy-cpu-ms/1000-tokens")
		b.ReportMetric(through, "entry-cpu-ms/1000-tokens")
		b.ReportMetric(through-direct, "added-cpu-ms/1000-tokens")
	}
}

// cpu returns the processor milliseconds for 1,000 tokens.
func (m *measured) cpu(way string) float64 {
	m.tokens.Store(0)
	stop := m.openStreams(1000, way)
	defer stop()
	tokens, used := m.tokens.Load(), m.cpuNow()
	m.clock.Sleep(context.Background(), cpuTime)
	tokens, used = m.tokens.Load()-tokens, m.cpuNow()-used
	return float64(used.Microseconds()) / float64(tokens)
}

func (m *measured) cpuNow() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		m.t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCancel measures the time from the end of the caller's connection to
// the end of its work at the engine.
func BenchmarkCancel(b *testing.B) {
	s := newSite(b, 1, 1, 0)
	times := hdrhistogram.New(1, 1e7, 3)
	for b.Loop() {
		r := s.open(longPrompt(50_000))
		var tr transcript
		readStream(b, r.Body, &tr, func() bool { return tr.Position() >= 5 })
		began := s.age()
		_ = r.Body.Close()
		s.eventually("nothing runs", func() bool { return s.engines[0].State().Running == 0 })
		_ = times.RecordValue(int64(s.age() - began))
	}
	b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-ms")
	b.ReportMetric(float64(times.Max()), "max-ms")
}

// BenchmarkContinuation measures the longest pause between two tokens that the
// caller sees when the stream's engine fails. Without a fault it is about 4 ms.
func BenchmarkContinuation(b *testing.B) {
	for _, kind := range []standin.FaultKind{standin.Crash, standin.Stall, standin.Silent} {
		b.Run(string(kind), func(b *testing.B) {
			s := newSite(b, 1, 2, 0, func(o *entry.Options, _ *standin.EngineOptions) {
				o.Timeouts.Silence, o.Timeouts.Resume = 5*clock.Second, clock.Second
			})
			pauses := hdrhistogram.New(1, 1e7, 3)
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprintf("r-%d", i)
				r := s.open(longPrompt(100), with("X-Request-Id", id))
				var tr transcript
				readStream(b, r.Body, &tr, func() bool { return tr.Position() >= 20 })
				e := s.runsOn(id)
				e.Fault(standin.Fault{Kind: kind})
				last, position, pause := s.age(), tr.Position(), clock.Millis(0)
				readStream(b, r.Body, &tr, func() bool {
					if tr.Position() > position {
						now := s.age()
						pause, last, position = max(pause, now-last), now, tr.Position()
					}
					return false
				})
				tr.expect(b, longPrompt(100))
				_ = pauses.RecordValue(int64(pause))
				e.Fault(standin.Fault{Kind: standin.Recover})
				s.eventually("both engines are in use", func() bool { return s.usable() == 2 })
			}
			b.ReportMetric(float64(pauses.ValueAtQuantile(50)), "p50-ms")
			b.ReportMetric(float64(pauses.Max()), "max-ms")
		})
	}
}
