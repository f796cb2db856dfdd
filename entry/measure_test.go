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
	// loadTokenTime makes each stream deliver about 15 tokens per second, as the
	// performance target states.
	loadTokenTime = 66 * clock.Millisecond
	// cpuMeasureTime is how long the processor time of running streams is measured.
	cpuMeasureTime = 5 * clock.Second
)

// benchmarkSite is a site with one entry, one engine that only gets probe requests and
// several engines that run the open streams.
type benchmarkSite struct {
	*site
	probeEngine   *standin.Engine
	streamEngines []*standin.Engine
	client        *http.Client
	tokens        atomic.Int64 // received by all open streams
}

func newBenchmarkSite(b *testing.B) *benchmarkSite {
	b.Helper()
	s := newSite(b, 1, 0, 0, func(o *entry.Options, _ *standin.EngineOptions) { o.Timeouts.ReadTimeout = 5 * clock.Second })
	m := &benchmarkSite{site: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000}}}
	o := standin.EngineOptions{
		Listen: "127.0.0.1:0", Clock: clock.New(), Logger: event.Discard(), Announce: s.announce(),
		Models: []string{probeModel}, TokenTime: 1, Slots: 64,
	}
	s.addEngine("probe", o)
	o.Models, o.TokenTime, o.Slots, o.StepGrowth, o.KVTokens = []string{loadModel}, loadTokenTime, loadSlots, 1e-6, 1<<30
	for i := range loadEngines {
		s.addEngine(fmt.Sprintf("load-%d", i), o)
	}
	m.probeEngine, m.streamEngines = s.engines[0], s.engines[1:]
	s.eventually("every server is known", s.allServersKnown)
	return m
}

// startChat starts a streamed chat request.
func (m *benchmarkSite) startChat(ctx context.Context, address, model, prompt string) (*http.Response, error) {
	body := strings.Replace(string(chatBody(prompt, true)), testModel, model, 1)
	r := request(m.t, http.MethodPost, "http://"+address+"/v1/chat/completions", []byte(body))
	return m.client.Do(r.WithContext(ctx))
}

// The network paths from a reader to an engine.
const (
	pathDirect = "directly"
	pathEntry  = "through the entry"
	// pathProxy leads through a TCP proxy that only copies bytes. It shows how much of
	// the entry's cost is the cost of one more hop on this machine.
	pathProxy = "through a copy"
)

// address returns the address at which a reader reaches an engine on a path. A proxy
// runs until ctx ends.
func (m *benchmarkSite) address(ctx context.Context, path string, e *standin.Engine) string {
	switch path {
	case pathEntry:
		return m.entries[0].Address()
	case pathProxy:
		return m.startProxy(ctx, e)
	}
	return e.Address()
}

// startProxy starts a TCP proxy for an engine and returns its address.
func (m *benchmarkSite) startProxy(ctx context.Context, e *standin.Engine) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.t.Fatal(err)
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go proxyConnection(c, e.Address())
		}
	}()
	return l.Addr().String()
}

// proxyConnection copies bytes between a connection and an address in both directions.
// It hides the connections' types from io.Copy, which would otherwise let the kernel
// copy the bytes.
func proxyConnection(c net.Conn, address string) {
	defer func() { _ = c.Close() }()
	target, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	go func() { _, _ = io.Copy(struct{ io.Writer }{target}, struct{ io.Reader }{c}) }()
	_, _ = io.Copy(struct{ io.Writer }{c}, struct{ io.Reader }{target})
}

// openStreams keeps n streams running until the returned function is called.
func (m *benchmarkSite) openStreams(n int, path string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var streams sync.WaitGroup
	addresses := lo.Map(m.streamEngines, func(e *standin.Engine, _ int) string { return m.address(ctx, path, e) })
	for i := range n {
		streams.Go(func() { m.countTokens(ctx, addresses[i%len(addresses)], fmt.Sprintf("stream %d [tokens=10000]", i)) })
	}
	m.eventually("every stream runs", func() bool { return m.running() == n })
	return func() {
		cancel()
		streams.Wait()
		// Streams that do not run through the entry are not cancelled; an engine stops
		// them 10 s after their reader has disconnected.
		m.eventually("every stream has ended", func() bool { return m.running() == 0 })
	}
}

// running returns the number of streams that run at the load engines.
func (m *benchmarkSite) running() int {
	running := 0
	for _, e := range m.streamEngines {
		running += e.State().Running
	}
	return running
}

// countTokens reads a stream and counts its tokens. Each token is one data line.
func (m *benchmarkSite) countTokens(ctx context.Context, address, prompt string) {
	r, err := m.startChat(ctx, address, loadModel, prompt)
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

// firstTokenTime sends a probe request and returns the time until its first token.
func (m *benchmarkSite) firstTokenTime(address string, i int) time.Duration {
	began := m.clockNow()
	r, err := m.startChat(context.Background(), address, probeModel, fmt.Sprintf("probe %d [tokens=2]", i))
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
	elapsed := m.clockNow() - began
	_, _ = io.Copy(io.Discard, r.Body)
	return elapsed
}

// clockNow reads the system clock in microseconds. The milliseconds of the clock package
// are too coarse for the times measured here.
func (m *benchmarkSite) clockNow() time.Duration {
	var now syscall.Timeval
	if err := syscall.Gettimeofday(&now); err != nil {
		m.t.Fatal(err)
	}
	return time.Duration(now.Nano())
}

// BenchmarkFirstToken measures the time to first token directly at an engine, through a
// proxy that only copies bytes, and through the entry, in turn. Meanwhile n other streams
// run through the entry.
func BenchmarkFirstToken(b *testing.B) {
	paths := []string{pathDirect, pathProxy, pathEntry}
	for _, n := range []int{1, 1000} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			m := newBenchmarkSite(b)
			stop := m.openStreams(n, pathEntry)
			defer stop()
			addresses := lo.Map(paths, func(path string, _ int) string { return m.address(b.Context(), path, m.probeEngine) })
			times := lo.Map(paths, func(string, int) *hdrhistogram.Histogram { return hdrhistogram.New(1, 1e7, 3) })
			for i := 0; b.Loop(); i++ {
				for w, address := range addresses {
					_ = times[w].RecordValue(m.firstTokenTime(address, len(paths)*i+w).Microseconds())
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

// BenchmarkForwarding measures the processor time for 1,000 tokens of 1,000 streams that
// run through the entry, and how much more that is than without the entry. The simulated
// engines (package standin) and the readers run in the same process in all cases.
func BenchmarkForwarding(b *testing.B) {
	m := newBenchmarkSite(b)
	for b.Loop() {
		direct := m.cpuPerTokens(pathDirect)
		copied := m.cpuPerTokens(pathProxy)
		through := m.cpuPerTokens(pathEntry)
		b.ReportMetric(direct, "direct-cpu-ms/1000-tokens")
		b.ReportMetric(copied, "copy-cpu-ms/1000-tokens")
		b.ReportMetric(through, "entry-cpu-ms/1000-tokens")
		b.ReportMetric(through-direct, "added-cpu-ms/1000-tokens")
	}
}

// cpuPerTokens returns the processor time in milliseconds for 1,000 tokens.
func (m *benchmarkSite) cpuPerTokens(path string) float64 {
	m.tokens.Store(0)
	stop := m.openStreams(1000, path)
	defer stop()
	tokens, used := m.tokens.Load(), m.cpuNow()
	m.clock.Sleep(context.Background(), cpuMeasureTime)
	tokens, used = m.tokens.Load()-tokens, m.cpuNow()-used
	return float64(used.Microseconds()) / float64(tokens)
}

// cpuNow returns the processor time that this process has used.
func (m *benchmarkSite) cpuNow() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		m.t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCancel measures the time from the end of the caller's connection until the
// engine stops the request.
func BenchmarkCancel(b *testing.B) {
	s := newSite(b, 1, 1, 0)
	times := hdrhistogram.New(1, 1e7, 3)
	for b.Loop() {
		r := s.openStream(longPrompt(50_000))
		var tr transcript
		readStream(b, r.Body, &tr, func() bool { return tr.Position() >= 5 })
		began := s.elapsed()
		_ = r.Body.Close()
		s.eventually("no request runs", func() bool { return s.engines[0].State().Running == 0 })
		_ = times.RecordValue(int64(s.elapsed() - began))
	}
	b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-ms")
	b.ReportMetric(float64(times.Max()), "max-ms")
}

// BenchmarkContinuation measures the longest time between two tokens that a caller
// observes when the stream's engine fails. Without a fault it is about 4 ms.
func BenchmarkContinuation(b *testing.B) {
	for _, kind := range []standin.FaultKind{standin.Crash, standin.Stall, standin.Silent} {
		b.Run(string(kind), func(b *testing.B) {
			s := newSite(b, 1, 2, 0, func(o *entry.Options, _ *standin.EngineOptions) {
				o.Timeouts.ReadTimeout, o.Timeouts.Resume = 5*clock.Second, clock.Second
			})
			pauses := hdrhistogram.New(1, 1e7, 3)
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprintf("r-%d", i)
				r := s.openStream(longPrompt(100), withHeader("X-Request-Id", id))
				var tr transcript
				readStream(b, r.Body, &tr, func() bool { return tr.Position() >= 20 })
				e := s.engineRunning(id)
				e.Fault(standin.Fault{Kind: kind})
				last, position, pause := s.elapsed(), tr.Position(), clock.Millis(0)
				readStream(b, r.Body, &tr, func() bool {
					if tr.Position() > position {
						now := s.elapsed()
						pause, last, position = max(pause, now-last), now, tr.Position()
					}
					return false
				})
				tr.expectAnswer(b, longPrompt(100))
				_ = pauses.RecordValue(int64(pause))
				e.Fault(standin.Fault{Kind: standin.Recover})
				s.eventually("both engines are in use", func() bool { return s.usableServers(0) == 2 })
			}
			b.ReportMetric(float64(pauses.ValueAtQuantile(50)), "p50-ms")
			b.ReportMetric(float64(pauses.Max()), "max-ms")
		})
	}
}
