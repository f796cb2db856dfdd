package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// The fake site: engines with slots, entries with a queue each, one class of
// tier 1 at half of the capacity and bursts of tier 3 at four times it.
const (
	entries     = 4
	servers     = 20
	serviceMean = 2 * clock.Second
	wire        = 1 * clock.Millisecond   // between an entry and an engine or entry
	settle      = 5 * clock.Millisecond   // younger waiting work does not make an inversion
	allowance   = 380 * clock.Millisecond // of the target 580 ms, without a prefill of 200 ms
	prefill     = 100 * clock.Millisecond // again, when preempted work resumes
	pushes      = 10 * clock.Millisecond  // the shortest time between two pushes of demand
	measured    = 60 * clock.Second
	detection   = 3 * clock.Second // of a crashed entry
	freshness   = 1 * clock.Second // of the digests that Next gets
)

// kind is where and when requests arrive.
type kind string

const (
	even   kind = "even"
	skewed kind = "skewed" // tier 1 arrives at one entry, tier 3 at the others
	crash  kind = "crash"  // one entry fails halfway
	calm   kind = "calm"   // no tier 3
)

// way is how the entries act as one queue.
type way string

const (
	oneQueue       way = "one-queue" // the ideal: every entry sees everything at once
	sharedCounts   way = "shared-counts"
	slotLeases     way = "slot-leases" // the owner of each server grants its slots
	enginePriority way = "engine-priority"
	// handOver is shared counts that also tells peers at once which demand waits
	// and which freed slot is left to which of them.
	handOver way = "hand-over"
	// preempting is shared counts where an entry also preempts its own work.
	preempting way = "counts-preempting"
)

type job struct {
	item    admission.Item
	service clock.Millis
	entry   int
	server  *fakeServer
	ends    clock.Millis
	reached clock.Millis // the engine
}

type fakeServer struct {
	owner            int
	running, waiting []*job
	granted          int // slots that the owner has given away
}

type fakeEntry struct {
	queue  *admission.Queue
	loads  map[*fakeServer]int
	digest []peerDigest // by peer
	phase  clock.Millis
	pushed peerDigest
	dead   bool
}

type peerDigest struct {
	at      clock.Millis
	loads   map[*fakeServer]int
	waiting []admission.Demand
}

type site struct {
	slotSite
	way      way
	interval clock.Millis // of digests
	slots    int          // of each engine
	kind     kind
	clock    clock.Clock
	manual   *clock.Manual
	now      clock.Millis
	random   *rand.Rand // arrivals, the same for each way
	ties     *rand.Rand
	entries  []*fakeEntry
	servers  []*fakeServer
	classes  [2]class.Class
	jobs     map[string]*job
	later    map[clock.Millis][]func()
	urgent   []*job // tier 1 that waits

	starts, inversions, completed int
	preempted                     int
	remote                        int          // grants by another entry
	bound                         clock.Millis // tier 1 that waits at an engine
	idle                          float64      // slot milliseconds while work waits
	waits                         []clock.Millis
}

func newSite(tb testing.TB, w way, slots int, interval clock.Millis, k kind) *site {
	tb.Helper()
	s := &site{way: w, slots: slots, interval: interval, kind: k, random: rand.New(rand.NewPCG(1, 2)), ties: rand.New(rand.NewPCG(3, 4)),
		jobs: map[string]*job{}, later: map[clock.Millis][]func(){}}
	s.clock, s.manual = clock.NewManual(0)
	s.classes = [2]class.Class{newClass(tb, "clause-query", 1, 580), newClass(tb, "row-tagging", 3, 5*clock.Second)}
	for i := range servers {
		s.servers = append(s.servers, &fakeServer{owner: i % entries})
	}
	for i := range entries {
		s.entries = append(s.entries, &fakeEntry{queue: admission.New(admission.Options{Limit: lo.Ternary(w == oneQueue, entries, 1) * 200}),
			loads: map[*fakeServer]int{}, digest: make([]peerDigest, entries), phase: clock.Millis(i) * interval / entries})
	}
	if w.usesSlots() {
		s.addTables()
	}
	return s
}

func (s *site) run(duration clock.Millis) {
	for s.now < duration {
		if s.now == duration/2 && s.kind == crash {
			s.crash(1)
		}
		s.arrive()
		for _, f := range s.later[s.now] {
			f()
		}
		delete(s.later, s.now)
		s.dispatch()
		s.serve()
		s.manual.Advance(1)
		s.now = s.clock.Now()
	}
}

func (s *site) after(delay clock.Millis, f func()) {
	s.later[s.now+delay] = append(s.later[s.now+delay], f)
}

func (s *site) arrive() {
	capacity := float64(servers*s.slots) / float64(serviceMean) // in requests per millisecond
	rates := [2]float64{capacity / 2, 0}
	if s.kind != calm && s.now/(10*clock.Second)%2 == 0 {
		rates[1] = 4 * capacity
	}
	for i, rate := range rates {
		if s.random.Float64() < rate {
			s.offer(s.classes[i])
		}
	}
}

func (s *site) offer(c class.Class) {
	to := s.random.IntN(entries)
	service := 1 + clock.Millis(s.random.ExpFloat64()*float64(serviceMean))
	if s.kind == skewed {
		to = lo.Ternary(c.Tier() == class.HighestTier, 0, 1+to%(entries-1))
	}
	for s.entries[to].dead {
		to = (to + 1) % entries
	}
	if s.way == oneQueue {
		to = 0
	}
	id := fmt.Sprint(len(s.jobs))
	j := &job{item: newItem(id, c, s.now), service: service, entry: to}
	s.jobs[id] = j
	o := s.entries[to].queue.Offer(s.now, j.item)
	if o.Accepted && c.Tier() == class.HighestTier {
		s.urgent = append(s.urgent, j)
	}
}

// crash loses an entry's queue; its callers send again to the others.
func (s *site) crash(entry int) {
	e := s.entries[entry]
	e.dead = true
	for _, d := range e.queue.Waiting() {
		for range d.Waiting {
			item, ok := e.queue.Next(s.now, pool, nil)
			if !ok {
				return
			}
			next := (entry + 1 + s.ties.IntN(entries-1)) % entries
			s.jobs[item.ID].entry = next
			s.entries[next].queue.Requeue(s.now, item)
		}
	}
	s.after(detection, func() {
		for i, server := range s.servers {
			if server.owner == entry {
				server.owner = (entry + 1 + i%(entries-1)) % entries
			}
		}
		for _, other := range s.entries {
			other.digest[entry] = peerDigest{}
		}
		s.setLive()
	})
}

func (s *site) dispatch() {
	if s.way == oneQueue || s.way == slotLeases {
		for _, server := range s.servers {
			for server.granted < s.slots && s.grant(server) {
				server.granted++
			}
		}
		return
	}
	for i, e := range s.entries {
		if e.dead {
			continue
		}
		if s.way.usesSlots() {
			s.dispatchSlots(i)
			continue
		}
		if s.now%s.interval == e.phase {
			s.pull(i)
		}
		for s.dispatchFrom(i) {
			continue
		}
		for s.way == preempting && e.queue.Len() > 0 && s.preempt(i) {
			continue
		}
		if s.way == handOver && s.now >= e.pushed.at+pushes {
			s.push(i)
		}
	}
}

// preempt cancels work of an entry for waiting work of a higher tier, and
// reports whether it did.
func (s *site) preempt(entry int) bool {
	running := []admission.Running{}
	for _, server := range s.servers {
		for _, j := range slices.Concat(server.running, server.waiting) {
			if j.entry == entry {
				running = append(running, admission.Running{ID: j.item.ID, Class: j.item.Class, Started: j.ends - j.service, Resumable: true, ByStarvationRule: j.item.ByStarvationRule})
			}
		}
	}
	id, ok := s.entries[entry].queue.Preempt(s.now, pool, running)
	if ok {
		s.after(wire, func() { s.cancel(s.jobs[id]) })
	}
	return ok
}

func (s *site) cancel(j *job) {
	held := len(j.server.running) + len(j.server.waiting)
	if slices.Contains(j.server.running, j) {
		j.service = j.ends - s.now + prefill
	}
	j.server.running = lo.Without(j.server.running, j)
	j.server.waiting = lo.Without(j.server.waiting, j)
	if len(j.server.running)+len(j.server.waiting) == held {
		return // it has finished
	}
	s.preempted++
	s.after(wire, func() {
		s.entries[j.entry].loads[j.server]--
		s.endSlot(j)
		s.entries[j.entry].queue.Requeue(s.now, j.item)
	})
}

// push tells the peers at once when an entry's demand has changed.
func (s *site) push(entry int) {
	e := s.entries[entry]
	waiting := e.queue.Waiting()
	if slices.Equal(waiting, e.pushed.waiting) {
		return
	}
	e.pushed = peerDigest{at: s.now, waiting: waiting}
	for _, peer := range s.entries {
		s.after(wire, func() {
			peer.digest[entry].at = s.now
			peer.digest[entry].waiting = slices.Clone(waiting)
		})
	}
}

// give hands a slot that an entry leaves to the peer with the highest tier and
// oldest demand. Both count it as the peer's at once.
func (s *site) give(entry, server int) bool {
	e, to, index := s.entries[entry], -1, 0
	best := admission.Demand{}
	for i, d := range e.digest {
		for k, demand := range d.waiting {
			if demand.Waiting > 0 && (to < 0 || demand.Tier < best.Tier || demand.Tier == best.Tier && demand.Oldest < best.Oldest) {
				best, to, index = demand, i, k
			}
		}
	}
	if to < 0 || e.loads[s.servers[server]] < 0 {
		return false
	}
	e.digest[to].waiting[index].Waiting--
	e.digest[to].add(s.servers[server], 1)
	s.after(wire, func() { s.entries[to].digest[entry].add(s.servers[server], -1) })
	return true
}

func (d *peerDigest) add(server *fakeServer, n int) {
	if d.loads == nil {
		d.loads = map[*fakeServer]int{}
	}
	d.loads[server] += n
}

// grant gives a free slot to the entry with the highest tier and oldest work that
// the owner knows of, and reports whether there is any.
func (s *site) grant(server *fakeServer) bool {
	best, from := admission.Demand{}, -1
	if s.way == slotLeases && s.entries[server.owner].dead {
		return false
	}
	for i, e := range s.entries {
		for _, d := range e.queue.Waiting() {
			known := d.Oldest + s.hop(i, server.owner)
			if known <= s.now && (from < 0 || d.Tier < best.Tier || d.Tier == best.Tier && d.Oldest < best.Oldest) {
				best, from = d, i
			}
		}
	}
	if from < 0 {
		return false
	}
	item, _ := s.entries[from].queue.Next(s.now, pool, nil)
	s.remote += lo.Ternary(from == server.owner, 0, 1)
	s.send(s.jobs[item.ID], server, s.hop(from, server.owner))
	return true
}

func (s *site) hop(from, to int) clock.Millis {
	return lo.Ternary(from == to || s.way == oneQueue, 0, wire)
}

// pull copies the peers' state of one round trip ago.
func (s *site) pull(entry int) {
	for i, peer := range s.entries {
		if i == entry || peer.dead {
			continue
		}
		d := peerDigest{at: s.now, loads: lo.Assign(peer.loads), waiting: peer.queue.Waiting()}
		s.after(2*wire, func() { s.entries[entry].digest[i] = d })
	}
}

// dispatchFrom sends one item of an entry to the server that it believes to have
// the most free slots, and reports whether it did.
func (s *site) dispatchFrom(entry int) bool {
	e := s.entries[entry]
	if e.queue.Len() == 0 {
		return false
	}
	free, most, choice := 0, 0, -1
	offset := s.ties.IntN(servers) // ties are broken differently by each entry
	for i := range s.servers {
		index := (i + offset) % servers
		left := s.slots - e.loads[s.servers[index]]
		for _, d := range e.digest {
			left -= d.loads[s.servers[index]]
		}
		free += max(left, 0)
		if left > most {
			most, choice = left, index
		}
	}
	if choice < 0 {
		return false
	}
	peers := []admission.Demand{}
	for _, d := range e.digest {
		if s.way != enginePriority && s.now-d.at <= freshness {
			peers = append(peers, d.waiting...)
		}
	}
	e.queue.SetFreeSlots(pool, free)
	item, ok := e.queue.Next(s.now, pool, peers)
	if !ok {
		return s.way == handOver && s.give(entry, choice)
	}
	e.loads[s.servers[choice]]++
	s.jobs[item.ID].item = item
	s.send(s.jobs[item.ID], s.servers[choice], 0)
	return true
}

func (s *site) send(j *job, server *fakeServer, delay clock.Millis) {
	s.after(delay+wire, func() {
		j.reached = s.now
		server.waiting = append(server.waiting, j)
	})
	j.server = server
}

// serve finishes and starts work in the engines, which honour priorities.
func (s *site) serve() {
	free, waiting := 0, 0
	for _, server := range s.servers {
		server.running = lo.Reject(server.running, func(j *job, _ int) bool {
			if j.ends > s.now {
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
	s.idle += float64(min(free, waiting))
}

func (s *site) finish(j *job) {
	s.completed++
	delay := wire + lo.Ternary(s.way.usesSlots(), 0, s.hop(j.entry, j.server.owner))
	s.after(delay, func() {
		s.entries[j.entry].loads[j.server]--
		s.endSlot(j)
		j.server.granted--
	})
}

func (s *site) start(server *fakeServer) {
	j := server.waiting[0]
	server.waiting = server.waiting[1:]
	server.running = append(server.running, j)
	j.ends = s.now + j.service
	s.starts++
	if j.item.Class.Tier() == class.HighestTier {
		s.waits = append(s.waits, s.now-j.item.Arrived)
		s.bound += s.now - j.reached
		s.urgent = lo.Without(s.urgent, j)
	} else if len(s.urgent) > 0 && s.now-s.urgent[0].item.Arrived > settle {
		s.inversions++
	}
}

// Guards against shared counts that let more lower-tier work start before
// waiting higher-tier work than engine priority alone does, and against a way
// that loses work.
func TestSharedCountsReduceInversions(t *testing.T) {
	inversions := map[way]int{}
	for _, w := range []way{sharedCounts, enginePriority} {
		s := newSite(t, w, 4, 500, skewed)
		s.run(8 * clock.Second)
		inversions[w] = s.inversions
		held := lo.SumBy(s.entries, func(e *fakeEntry) int { return e.queue.Len() })
		if s.completed == 0 || held == 0 {
			t.Errorf("%s: %d completed, %d waiting, want both above 0", w, s.completed, held)
		}
	}
	if got, limit := inversions[sharedCounts], inversions[enginePriority]; got >= limit {
		t.Errorf("inversions: got %d, want below %d", got, limit)
	}
}

// BenchmarkEntries reports the figures of docs/measurements/admission.md; run it
// with -benchtime 1x, as each run is the same.
func BenchmarkEntries(b *testing.B) {
	for _, slots := range []int{4, 16} {
		for _, k := range []kind{even, skewed, crash, calm} {
			for _, w := range []way{oneQueue, slotLeases, enginePriority, sharedCounts, handOver, preempting} {
				for _, interval := range []clock.Millis{10, 100, 250, 500} {
					if interval < 500 && (w == oneQueue || w == slotLeases) {
						continue // they use no digests
					}
					b.Run(fmt.Sprintf("%d/%s/%s/%d", slots, k, w, interval), func(b *testing.B) {
						for range b.N {
							s := newSite(b, w, slots, interval, k)
							s.run(measured)
							s.report(b)
						}
					})
				}
			}
		}
	}
}

func (s *site) report(b *testing.B) {
	b.Helper()
	slices.Sort(s.waits)
	b.ReportMetric(100*float64(s.inversions)/float64(s.starts), "%inverted")
	b.ReportMetric(float64(lo.Sum(s.waits))/float64(len(s.waits)), "ms-wait-mean")
	b.ReportMetric(float64(s.bound)/float64(len(s.waits)), "ms-wait-at-engine")
	b.ReportMetric(float64(s.waits[len(s.waits)*95/100]), "ms-wait-p95")
	b.ReportMetric(float64(s.waits[len(s.waits)*99/100]), "ms-wait-p99")
	attained := lo.CountBy(s.waits, func(w clock.Millis) bool { return w <= allowance })
	b.ReportMetric(100*float64(attained)/float64(len(s.waits)), "%attained")
	b.ReportMetric(100*s.idle/float64(int(measured)*servers*s.slots), "%idle")
	b.ReportMetric(float64(s.completed)/float64(measured/clock.Second), "done/s")
	if s.way == preempting {
		b.ReportMetric(float64(s.preempted)/float64(measured/clock.Second), "preempted/s")
	}
	if s.way == slotLeases {
		b.ReportMetric(100*float64(s.remote)/float64(s.starts), "%remote")
	}
	b.ReportMetric(0, "ns/op")
}
