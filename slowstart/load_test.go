package slowstart_test

import (
	"math/rand/v2"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/slowstart"
)

const (
	simulationStep = 10 * clock.Millisecond
	reportAge      = 200 * clock.Millisecond // how late entries learn the load of the others
	serviceTime    = 300 * clock.Millisecond
	startAt        = 5 * clock.Second
	simulationEnd  = 25 * clock.Second
	costJitter     = 2 // spreads the entries' choices, which rest on old reports
)

// policy decides whether a starting server may get a request.
type policy int

const (
	allAtOnce   policy = iota // the server is used like the others from the start
	afterWarmUp               // it is not used until the time that it announces is over
	byWindow
)

func (p policy) String() string { return []string{"all at once", "after warm-up", "by window"}[p] }

// simulatedRequest is a request at a server.
type simulatedRequest struct {
	entry           int
	sentAt, beginAt clock.Millis // beginAt is 0 while it waits for a slot
	endAt           clock.Millis
}

// simulatedServer answers as many requests at a time as it has slots; the others wait there. While it
// warms up it is slower.
type simulatedServer struct {
	starting  bool
	requests  []simulatedRequest
	own       []int // requests by entry
	reported  []int // loads of the last steps, oldest first
	proven    []int // requests that it has proven to take, in the same way
	slowUntil clock.Millis
	factor    clock.Millis
	windows   []slowstart.Window
	use       float64 // slots in use, averaged over a second
}

// scenario is a generated load: the entries send requests at random to the least loaded server.
type scenario struct {
	name                       string
	entries, settled, starting int
	use                        float64 // of the slots of all servers
	warmUp                     clock.Millis
	factor                     clock.Millis // how much slower a server is while it warms up
	announced                  clock.Millis // warm-up time that the server announces
}

// simulationResult tells how the starting servers were used.
type simulationResult struct {
	peak     int          // most requests at one of them in its first second
	slow     int          // requests sent there during the warm-up that took more than three times the usual time
	fullAt   clock.Millis // time from the start until they had 80% of the use of the others for a second; -1 if never
	meanWait clock.Millis // of all requests from the start on, at whatever server, until they got a slot
}

func (s scenario) run(p policy) simulationResult {
	random := rand.New(rand.NewPCG(1, uint64(s.entries)))
	servers := make([]*simulatedServer, s.settled+s.starting)
	for i := range servers {
		v := &simulatedServer{starting: i >= s.settled, own: make([]int, s.entries), factor: s.factor, windows: make([]slowstart.Window, s.entries)}
		v.reported, v.proven = make([]int, reportAge/simulationStep), make([]int, reportAge/simulationStep)
		if v.starting {
			v.slowUntil = startAt + s.warmUp
			for e := range v.windows {
				v.windows[e] = slowstart.Begin(startAt, slots, s.entries)
			}
		}
		servers[i] = v
	}
	norms := make([]slowstart.Norm, s.entries)
	result := simulationResult{fullAt: -1}
	var fullFor, waits clock.Millis
	count := 0
	perStep := s.use * slots * float64(len(servers)) * float64(simulationStep) / float64(serviceTime)
	for now := clock.Millis(0); now < simulationEnd; now += simulationStep {
		for i, v := range servers {
			v.advance(now, func(r simulatedRequest) {
				elapsed := now - r.sentAt
				if !v.starting || !v.windows[r.entry].Active(now) {
					norms[r.entry].Record(0, elapsed, elapsed)
				} else {
					usual := float64(servers[(i+1)%s.settled].own[r.entry])
					v.windows[r.entry] = v.windows[r.entry].WithAnswer(now, r.sentAt, norms[r.entry].Slowness(0, elapsed), usual)
				}
				if r.sentAt < v.slowUntil && elapsed > 3*serviceTime {
					result.slow++
				}
				if r.sentAt >= startAt {
					waits += r.beginAt - r.sentAt
					count++
				}
			})
			if v.starting && now < startAt+clock.Second {
				result.peak = max(result.peak, len(v.requests))
			}
		}
		share := s.use // before the start, the settled servers get their share only
		arrivals := perStep
		if now < startAt {
			arrivals *= float64(s.settled) / float64(len(servers)) * share / s.use
		}
		for arrivals > 0 && random.Float64() < arrivals {
			arrivals--
			entry := random.IntN(s.entries)
			v := s.choose(now, p, entry, servers, &norms[entry], random)
			v.requests = append(v.requests, simulatedRequest{entry: entry, sentAt: now})
			v.own[entry]++
		}
		starting, settled := 0.0, 0.0
		for _, v := range servers {
			v.use += (float64(min(len(v.requests), slots)) - v.use) * float64(simulationStep) / float64(clock.Second)
			if v.starting {
				starting += v.use / float64(s.starting)
			} else {
				settled += v.use / float64(s.settled)
			}
		}
		if now >= startAt && starting >= 0.8*settled {
			fullFor += simulationStep
		} else {
			fullFor = 0
		}
		if fullFor >= clock.Second && result.fullAt < 0 {
			result.fullAt = now - startAt
		}
	}
	result.meanWait = waits / clock.Millis(max(count, 1))
	return result
}

// advance ends and begins requests, and calls ended for those that have ended.
func (v *simulatedServer) advance(now clock.Millis, ended func(simulatedRequest)) {
	left := v.requests[:0]
	busy := 0
	for _, r := range v.requests {
		if r.endAt > 0 && r.endAt <= now {
			v.own[r.entry]--
			ended(r)
			continue
		}
		if r.endAt == 0 && busy < slots {
			r.beginAt, r.endAt = now, now+serviceTime
			if now < v.slowUntil {
				r.endAt = now + v.factor*serviceTime
			}
		}
		busy++
		left = append(left, r)
	}
	v.requests = left
	proven := 0
	for _, w := range v.windows {
		proven += w.Proven(now)
	}
	v.reported, v.proven = append(v.reported[1:], len(left)), append(v.proven[1:], proven)
}

// load returns the requests at a server as an entry knows them.
func (v *simulatedServer) load(entry int) float64 {
	return float64(max(v.reported[0], v.own[entry]))
}

func (s scenario) choose(now clock.Millis, p policy, entry int, servers []*simulatedServer, norm *slowstart.Norm, random *rand.Rand) *simulatedServer {
	usable := func(v *simulatedServer) bool {
		switch {
		case !v.starting:
			return true
		case now < startAt:
			return false
		case p == afterWarmUp:
			return now >= startAt+s.announced
		case p == byWindow:
			turns := slowstart.Turns{Key: uint64(entry)<<32 ^ uint64(len(v.own))*0x9e3779b97f4a7c15, Length: slowstart.TurnLength(norm.RequestTime())}
			return v.windows[entry].Allows(now, slowstart.Use{Own: v.own[entry], Proven: v.proven[0], Entries: s.entries}, turns)
		}
		return true
	}
	var best, bestStarting *simulatedServer
	lowest, lowestStarting := 0.0, 0.0
	room := false
	// The choice rests on old reports, so it looks at some of the settled servers only.
	looked := random.Perm(s.settled)[:max(s.settled/3, 2)]
	for i := range s.starting {
		looked = append(looked, s.settled+i)
	}
	for _, i := range looked {
		v := servers[i]
		cost := v.load(entry) + costJitter*random.Float64()
		room = room || !v.starting && v.load(entry)+1 <= slots
		if usable(v) {
			if best == nil || cost < lowest {
				best, lowest = v, cost
			}
		} else if now >= startAt && p == byWindow && v.load(entry)+1 <= slots && (bestStarting == nil || cost < lowestStarting) {
			if v.windows[entry].AllowsOne(now, v.own[entry]) {
				bestStarting, lowestStarting = v, cost
			}
		}
	}
	if !room && bestStarting != nil {
		return bestStarting
	}
	return best
}

// Guards against a server that all entries flood while it warms up, and against one that is left idle
// after it is warm, for generated loads. The window must be better than use from the start where the
// server is slow, and no worse than the wait for the announced time where it is not.
func TestStartingServersUnderLoad(t *testing.T) {
	scenarios := []scenario{
		{"62 entries, slow for 3 s", 62, 12, 1, 0.6, 3 * clock.Second, 6, 3 * clock.Second},
		{"62 entries, warm at once, announces 10 s", 62, 12, 1, 0.6, 0, 1, 10 * clock.Second},
		{"4 entries, slow for 3 s", 4, 6, 1, 0.6, 3 * clock.Second, 6, 3 * clock.Second},
		{"62 entries, half of the servers are new", 62, 6, 6, 0.45, 2 * clock.Second, 3, 2 * clock.Second},
		{"62 entries, slow for 5 s, announces nothing", 62, 12, 2, 0.6, 5 * clock.Second, 8, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			results := map[policy]simulationResult{}
			for _, p := range []policy{allAtOnce, afterWarmUp, byWindow} {
				results[p] = s.run(p)
				r := results[p]
				t.Logf("%-14s peak %3d, slow %4d, full after %5d ms, mean wait %4d ms", p, r.peak, r.slow, r.fullAt, r.meanWait)
			}
			got := results[byWindow]
			if got.peak > slots {
				t.Errorf("requests at a server in its first second: got %d, want at most its %d slots", got.peak, slots)
			}
			if limit := s.warmUp + 5*clock.Second; got.fullAt < 0 || got.fullAt > limit {
				t.Errorf("full use: got after %d ms, want within %d ms", got.fullAt, limit)
			}
			if s.factor > 1 && got.slow > results[allAtOnce].slow/2 {
				t.Errorf("slow answers: got %d, want at most half of %d", got.slow, results[allAtOnce].slow)
			}
		})
	}
}
