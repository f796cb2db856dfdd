package routing_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/routing"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// referenceLoad recomputes the free slots of a server from its whole history of
// events, as the reference for the router's incremental count.
type referenceLoad struct {
	slots, reported           int
	reportedAt                clock.Millis
	runningCounts             []int // own and peers' running requests
	countedAt                 []clock.Millis
	ownRequests, peerRequests int
}

func (l *referenceLoad) record(now clock.Millis) {
	l.runningCounts, l.countedAt = append(l.runningCounts, l.ownRequests+l.peerRequests), append(l.countedAt, now)
}

func (l *referenceLoad) freeSlots() int {
	before := 0
	for i, at := range l.countedAt {
		if at <= l.reportedAt {
			before = l.runningCounts[i]
		}
	}
	return max(0, l.slots-l.ownRequests-l.peerRequests-max(0, l.reported-before))
}

// Guards against errors in the incremental updates: after any sequence of reports,
// requests and peers' loads, the set of free servers, the count of free slots or the
// choice differs from that of a full scan.
func TestFreeSlotsEqualScan(t *testing.T) {
	const servers = 4
	rapid.Check(t, func(t *rapid.T) {
		registry := backend.New(backend.Options{Entry: "e"})
		r := routing.New(routing.Options{Entry: "e", Registry: registry})
		loads := map[string]*referenceLoad{}
		running := map[string]string{}
		now, sequence, peerAt := clock.Millis(10_000), uint64(0), clock.Millis(0)
		var lastPeerLoad map[string]int
		setPeer := func(inFlight map[string]int) {
			lastPeerLoad = inFlight
			for name, l := range loads {
				l.peerRequests = inFlight[name]
				l.record(now)
			}
		}
		expire := func() {
			if now-peerAt >= routing.MaxPeerLoadAge {
				setPeer(nil)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				name, age := serverName(rapid.IntRange(0, servers-1).Draw(t, "server")), clock.Millis(rapid.IntRange(0, 3000).Draw(t, "age"))
				l, ok := loads[name]
				if !ok {
					l = &referenceLoad{reportedAt: -1, peerRequests: lastPeerLoad[name]}
					l.record(now)
					loads[name] = l
				}
				l.slots = rapid.IntRange(1, 5).Draw(t, "slots")
				sequence++
				report := backend.Load{Age: age, Running: rapid.IntRange(0, 6).Draw(t, "running")}
				announce(registry, now, name, sequence, l.slots, report)
				if now-age > l.reportedAt {
					l.reported, l.reportedAt = report.Running, now-age
				}
			},
			"send": func(t *rapid.T) {
				exclude := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"engine-0", "engine-1", "engine-2"}), 0, 2, rapid.ID).Draw(t, "exclude")
				request := routing.Request{ID: fmt.Sprint(now), Pool: pool, Exclude: exclude}
				expire()
				c, ok := r.Choose(now, request)
				want := 0
				for _, s := range registry.Pool(now, pool) {
					if !slices.Contains(exclude, s.Server()) {
						want += loads[s.Server()].freeSlots()
					}
				}
				if ok != (want > 0) {
					t.Fatalf("choice: got %v with %d slots free", ok, want)
				}
				if !ok {
					return
				}
				name := c.Server.Server()
				if loads[name].freeSlots() == 0 || slices.Contains(exclude, name) {
					t.Fatalf("chose %s, which is full or excluded", name)
				}
				r.RecordSent(now, request, name)
				running[request.ID] = name
				loads[name].ownRequests++
				loads[name].record(now)
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				ids := []string{}
				for id := range running {
					ids = append(ids, id)
				}
				slices.Sort(ids)
				id := rapid.SampledFrom(ids).Draw(t, "id")
				r.RecordFinished(now, id, routing.Completed)
				loads[running[id]].ownRequests--
				loads[running[id]].record(now)
				delete(running, id)
			},
			"peer": func(t *rapid.T) {
				inFlight := map[string]int{}
				for name := range loads {
					inFlight[name] = len(name) % 3
				}
				inFlight["engine-1"] = rapid.IntRange(0, 3).Draw(t, "in flight")
				r.RecordPeerLoad(now, "p", inFlight, 0)
				peerAt = now
				setPeer(inFlight)
			},
			"": func(t *rapid.T) {
				expire()
				want := 0
				for _, s := range registry.Pool(now, pool) {
					want += loads[s.Server()].freeSlots()
				}
				if got := r.FreeSlots(now, pool); got != want {
					t.Fatalf("free slots at %d: got %d, want %d", now, got, want)
				}
				now += clock.Millis(rapid.IntRange(250, 900).Draw(t, "wait"))
			},
		})
	})
}

// simulateHerding makes four entries send 60 requests each while all of them have the
// same load reports, which are 5 s old. It returns the standard deviation and the
// maximum of the servers' true loads. With digests, the entries exchange their running
// requests every 30 requests.
func simulateHerding(digests bool, choose func(now clock.Millis, entry int, r *routing.Router, registry *backend.Registry) string) (float64, int) {
	const servers, entries, requestsPerEntry = 40, 4, 60
	load := make([]int, servers)
	registries, routers := make([]*backend.Registry, entries), make([]*routing.Router, entries)
	inFlight := make([]map[string]int, entries)
	for e := range entries {
		registries[e] = backend.New(backend.Options{Entry: fmt.Sprint("entry-", e)})
		for i := range servers {
			load[i] = i % 8
			announce(registries[e], 5000, serverName(i), 1, 32, backend.Load{Age: 5000, Running: load[i]})
		}
		routers[e] = routing.New(routing.Options{Entry: fmt.Sprint("entry-", e), Registry: registries[e]})
		inFlight[e] = map[string]int{}
	}
	for n := range requestsPerEntry {
		now := 5000 + clock.Millis(n*1000/requestsPerEntry)
		for e, r := range routers {
			name := choose(now, e, r, registries[e])
			r.RecordSent(now, routing.Request{ID: fmt.Sprint(n), Pool: pool, PromptTokens: 10}, name)
			inFlight[e][name]++
			i := 0
			_, _ = fmt.Sscanf(name, "engine-%d", &i)
			load[i]++
		}
		if digests && n%30 == 29 {
			for e, r := range routers {
				for p := range entries {
					if p != e {
						r.RecordPeerLoad(now, fmt.Sprint("entry-", p), inFlight[p], 0)
					}
				}
			}
		}
	}
	sum, squares := 0, 0
	for _, l := range load {
		sum, squares = sum+l, squares+l*l
	}
	mean := float64(sum) / servers
	return math.Sqrt(float64(squares)/servers - mean*mean), slices.Max(load)
}

func chooseByRouter(now clock.Millis, _ int, r *routing.Router, _ *backend.Registry) string {
	c, _ := r.Choose(now, routing.Request{ID: "x", Pool: pool, PromptTokens: 10})
	return c.Server.Server()
}

// chooseLeastReported chooses the server with the lowest reported load, as a router
// that does not correct old reports would.
func chooseLeastReported(now clock.Millis, _ int, _ *routing.Router, registry *backend.Registry) string {
	servers := registry.Pool(now, pool)
	return slices.MinFunc(servers, func(a, b backend.Server) int { return a.Load().Running - b.Load().Running }).Server()
}

// Guards against herding: entries that have the same old load reports all send their
// requests to the same servers.
func TestNoHerding(t *testing.T) {
	for _, digests := range []bool{false, true} {
		routerDeviation, routerMax := simulateHerding(digests, chooseByRouter)
		reportedDeviation, reportedMax := simulateHerding(digests, chooseLeastReported)
		t.Logf("digests %v: deviation %.2f, most %d; least reported load: %.2f, %d", digests, routerDeviation, routerMax, reportedDeviation, reportedMax)
		if routerDeviation > 2 || routerMax > 14 { // the mean is 9.5
			t.Errorf("got deviation %.2f, most %d, want at most 2 and 14", routerDeviation, routerMax)
		}
	}
}

// Guards against an engine that became five times slower and still gets its full
// share of the requests, and against a recovered engine that gets no work.
func TestStraggler(t *testing.T) {
	s := newSimulation(simOptions{
		engines: 10, rate: 16, reportAge: 400, prefixes: 40,
		make: func(o routing.Options) chooser { return routing.New(o) },
	})
	share := func(until clock.Millis) float64 {
		before := make([]int, len(s.engines))
		for i, e := range s.engines {
			before[i] = e.receivedRequests
		}
		s.run(until)
		slowed, total := 0, 0
		for i, e := range s.engines {
			total += e.receivedRequests - before[i]
			if i == 0 {
				slowed = e.receivedRequests - before[i]
			}
		}
		return float64(slowed) / float64(total) * float64(len(s.engines))
	}
	normal := share(20_000)
	s.engines[0].slow = 5
	s.run(30_000)
	slow := share(90_000)
	s.engines[0].slow = 1
	s.run(110_000)
	recovered := share(150_000)
	t.Logf("share of the slowed engine, in fair shares: before %.2f, slow %.2f, recovered %.2f", normal, slow, recovered)
	if slow > 0.3*normal {
		t.Errorf("slow: got %.2f of a fair share, want at most 0.3", slow)
	}
	if slow == 0 {
		t.Error("slow: the engine is not probed")
	}
	if recovered < 0.7*normal {
		t.Errorf("recovered: got %.2f of a fair share, want at least 0.7", recovered)
	}
}
