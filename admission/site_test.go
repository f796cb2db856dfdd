package admission_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// The simulated site has engines with slots, and entries with a queue each. Requests of
// tier 1 arrive at half the rate that the engines can serve, and requests of tier 3 in
// bursts at four times that rate.
const (
	entries         = 4
	servers         = 20
	meanServiceTime = 2 * clock.Second        // mean service time of a request at an engine
	hopDelay        = 1 * clock.Millisecond   // delay of a message between an entry and an engine or another entry
	inversionGrace  = 5 * clock.Millisecond   // a start counts as an inversion if a tier 1 request waits longer
	waitAllowance   = 380 * clock.Millisecond // the target of 580 ms minus 200 ms for the prefill
	resumePrefill   = 100 * clock.Millisecond // extra service time of a preempted request that resumes
	minPushInterval = 10 * clock.Millisecond  // shortest time between two pushes of demand by an entry
	measuredTime    = 60 * clock.Second
	detectionTime   = 3 * clock.Second // time until a crashed entry counts as lost
	maxDigestAge    = 1 * clock.Second // older digests are not passed to Next
)

// workload says where and when requests arrive.
type workload string

const (
	even    workload = "even"   // requests arrive at all entries at the same rate
	skewed  workload = "skewed" // tier 1 arrives at one entry, tier 3 at the others
	crash   workload = "crash"  // one entry crashes halfway
	noTier3 workload = "calm"   // requests of tier 1 only
)

// strategy is the way in which the entries coordinate the use of slots. The values are
// part of the benchmark names, so they stay when a constant is renamed.
type strategy string

const (
	oneQueue       strategy = "one-queue"       // the optimum: a single queue without delays between entries
	sharedCounts   strategy = "shared-counts"   // entries exchange digests of used slots and demand
	ownerGrants    strategy = "slot-leases"     // the owner of each server grants its slots
	enginePriority strategy = "engine-priority" // only the engines order requests by priority
	// assignYieldedSlots is as sharedCounts. In addition, entries send changes of their
	// demand to their peers at once, and an entry that leaves a free slot to its peers
	// names the one peer that gets it.
	assignYieldedSlots strategy = "hand-over"
	// sharedCountsPreempting is sharedCounts, but an entry also preempts its own running
	// requests.
	sharedCountsPreempting strategy = "counts-preempting"
)

// job is a request with its state in the simulation.
type job struct {
	item            admission.Item
	serviceTime     clock.Millis // remaining service time
	entry           int          // index of the entry that the request waits at or was sent by
	server          *fakeServer
	endsAt          clock.Millis
	arrivedAtEngine clock.Millis
}

type fakeServer struct {
	owner            int // index of the entry that owns it
	running, waiting []*job
	grantedSlots     int // slots that the owner has granted and that are in use
}

type fakeEntry struct {
	queue            *admission.Queue
	usedSlots        map[*fakeServer]int // slots that requests of this entry use
	digests          []peerDigest        // by index of the peer
	digestPullOffset clock.Millis        // when it pulls digests, as an offset within the interval
	lastPush         peerDigest
	crashed          bool
}

// peerDigest is the state of a peer that an entry received last.
type peerDigest struct {
	updatedAt clock.Millis
	usedSlots map[*fakeServer]int
	waiting   []admission.Demand
}

// site simulates entries, engines and the arrival of requests in steps of 1 ms.
type site struct {
	slotSite
	strategy     strategy
	interval     clock.Millis // time between two pulls of digests by an entry
	slots        int          // number of slots of each engine
	workload     workload
	clock        clock.Clock
	manual       *clock.Manual
	now          clock.Millis
	random       *rand.Rand // for arrivals, which are the same for each strategy
	tieBreaker   *rand.Rand
	entries      []*fakeEntry
	servers      []*fakeServer
	classes      [2]class.Class
	jobs         map[string]*job
	scheduled    map[clock.Millis][]func() // by time
	waitingTier1 []*job                    // waiting requests of tier 1, in order of arrival

	starts, inversions, completed int // an inversion is a start in tier 3 while a request of tier 1 has waited longer than inversionGrace
	preempted                     int
	remoteGrants                  int            // slots granted to another entry than the owner
	engineWait                    clock.Millis   // total wait of tier 1 requests at engines
	idleSlotTime                  float64        // total time of free slots while requests wait, in slot milliseconds
	tier1Waits                    []clock.Millis // time from arrival to start of each tier 1 request
}

func newSite(tb testing.TB, st strategy, slots int, interval clock.Millis, k workload) *site {
	tb.Helper()
	s := &site{strategy: st, slots: slots, interval: interval, workload: k, random: rand.New(rand.NewPCG(1, 2)), tieBreaker: rand.New(rand.NewPCG(3, 4)),
		jobs: map[string]*job{}, scheduled: map[clock.Millis][]func(){}}
	s.clock, s.manual = clock.NewManual(0)
	s.classes = [2]class.Class{newClass(tb, "clause-query", 1, 580), newClass(tb, "row-tagging", 3, 5*clock.Second)}
	for i := range servers {
		s.servers = append(s.servers, &fakeServer{owner: i % entries})
	}
	for i := range entries {
		s.entries = append(s.entries, &fakeEntry{queue: admission.New(admission.Options{Limit: lo.Ternary(st == oneQueue, entries, 1) * 200}),
			usedSlots: map[*fakeServer]int{}, digests: make([]peerDigest, entries), digestPullOffset: clock.Millis(i) * interval / entries})
	}
	if st.usesSlots() {
		s.addTables()
	}
	return s
}

func (s *site) run(duration clock.Millis) {
	for s.now < duration {
		if s.now == duration/2 && s.workload == crash {
			s.crash(1)
		}
		s.generateRequests()
		for _, f := range s.scheduled[s.now] {
			f()
		}
		delete(s.scheduled, s.now)
		s.dispatch()
		s.runServers()
		s.manual.Advance(1)
		s.now = s.clock.Now()
	}
}

func (s *site) schedule(delay clock.Millis, f func()) {
	s.scheduled[s.now+delay] = append(s.scheduled[s.now+delay], f)
}

func (s *site) generateRequests() {
	capacity := float64(servers*s.slots) / float64(meanServiceTime) // in requests per millisecond
	rates := [2]float64{capacity / 2, 0}
	if s.workload != noTier3 && s.now/(10*clock.Second)%2 == 0 {
		rates[1] = 4 * capacity
	}
	for i, rate := range rates {
		if s.random.Float64() < rate {
			s.offer(s.classes[i])
		}
	}
}

func (s *site) offer(c class.Class) {
	entryIndex := s.random.IntN(entries)
	serviceTime := 1 + clock.Millis(s.random.ExpFloat64()*float64(meanServiceTime))
	if s.workload == skewed {
		entryIndex = lo.Ternary(c.Tier() == class.HighestTier, 0, 1+entryIndex%(entries-1))
	}
	for s.entries[entryIndex].crashed {
		entryIndex = (entryIndex + 1) % entries
	}
	if s.strategy == oneQueue {
		entryIndex = 0
	}
	id := fmt.Sprint(len(s.jobs))
	j := &job{item: newItem(id, c, s.now), serviceTime: serviceTime, entry: entryIndex}
	s.jobs[id] = j
	o := s.entries[entryIndex].queue.Offer(s.now, j.item)
	if o.Accepted && c.Tier() == class.HighestTier {
		s.waitingTier1 = append(s.waitingTier1, j)
	}
}

// crash stops an entry. Its callers send their waiting requests again to other entries.
func (s *site) crash(entry int) {
	e := s.entries[entry]
	e.crashed = true
	for _, d := range e.queue.Waiting() {
		for range d.Waiting {
			item, ok := e.queue.Next(s.now, pool, nil)
			if !ok {
				return
			}
			next := (entry + 1 + s.tieBreaker.IntN(entries-1)) % entries
			s.jobs[item.ID].entry = next
			s.entries[next].queue.Requeue(s.now, item)
		}
	}
	s.schedule(detectionTime, func() {
		for i, server := range s.servers {
			if server.owner == entry {
				server.owner = (entry + 1 + i%(entries-1)) % entries
			}
		}
		for _, other := range s.entries {
			other.digests[entry] = peerDigest{}
		}
		s.updateLiveEntries()
	})
}

func (s *site) sendToServer(j *job, server *fakeServer, delay clock.Millis) {
	s.schedule(delay+hopDelay, func() {
		j.arrivedAtEngine = s.now
		server.waiting = append(server.waiting, j)
	})
	j.server = server
}

// runServers finishes and starts requests in the engines, which start waiting requests by
// tier and deadline.
func (s *site) runServers() {
	free, waiting := 0, 0
	for _, server := range s.servers {
		server.running = lo.Reject(server.running, func(j *job, _ int) bool {
			if j.endsAt > s.now {
				return false
			}
			s.finish(j)
			return true
		})
		sort.SliceStable(server.waiting, func(a, b int) bool { return byDeadline(server.waiting[a].item, server.waiting[b].item) })
		for len(server.running) < s.slots && len(server.waiting) > 0 {
			s.start(server)
		}
		free += s.slots - len(server.running)
		waiting += len(server.waiting)
	}
	for _, e := range s.entries {
		waiting += e.queue.Len()
	}
	s.idleSlotTime += float64(min(free, waiting))
}

func (s *site) finish(j *job) {
	s.completed++
	delay := hopDelay + lo.Ternary(s.strategy.usesSlots(), 0, s.hopTime(j.entry, j.server.owner))
	s.schedule(delay, func() {
		s.entries[j.entry].usedSlots[j.server]--
		s.endSlot(j)
		j.server.grantedSlots--
	})
}

func (s *site) start(server *fakeServer) {
	j := server.waiting[0]
	server.waiting = server.waiting[1:]
	server.running = append(server.running, j)
	j.endsAt = s.now + j.serviceTime
	s.starts++
	if j.item.Class.Tier() == class.HighestTier {
		s.tier1Waits = append(s.tier1Waits, s.now-j.item.Arrived)
		s.engineWait += s.now - j.arrivedAtEngine
		s.waitingTier1 = lo.Without(s.waitingTier1, j)
	} else if len(s.waitingTier1) > 0 && s.now-s.waitingTier1[0].item.Arrived > inversionGrace {
		s.inversions++
	}
}
