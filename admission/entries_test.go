package admission_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/clock"
)

func (s *site) dispatch() {
	if s.strategy == oneQueue || s.strategy == ownerGrants {
		for _, server := range s.servers {
			for server.grantedSlots < s.slots && s.grantSlot(server) {
				server.grantedSlots++
			}
		}
		return
	}
	for i, e := range s.entries {
		if e.crashed {
			continue
		}
		if s.strategy.usesSlots() {
			s.dispatchSlots(i)
			continue
		}
		if s.now%s.interval == e.digestPullOffset {
			s.pullDigests(i)
		}
		for s.dispatchFrom(i) {
			continue
		}
		for s.strategy == sharedCountsPreempting && e.queue.Len() > 0 && s.preempt(i) {
			continue
		}
		if s.strategy == assignYieldedSlots && s.now >= e.lastPush.updatedAt+minPushInterval {
			s.pushDemand(i)
		}
	}
}

// preempt cancels a running request of an entry for a waiting one of a higher tier, and
// reports whether it did.
func (s *site) preempt(entry int) bool {
	running := []admission.RunningRequest{}
	for _, server := range s.servers {
		for _, j := range slices.Concat(server.running, server.waiting) {
			if j.entry == entry {
				running = append(running, admission.RunningRequest{ID: j.item.ID, Class: j.item.Class, Started: j.endsAt - j.serviceTime, Resumable: true, ByStarvationRule: j.item.ByStarvationRule})
			}
		}
	}
	id, ok := s.entries[entry].queue.Preempt(s.now, pool, running)
	if ok {
		s.schedule(hopDelay, func() { s.cancel(s.jobs[id]) })
	}
	return ok
}

// cancel removes a request that was preempted or recalled from its engine and queues it
// again at its entry.
func (s *site) cancel(j *job) {
	before := len(j.server.running) + len(j.server.waiting)
	if slices.Contains(j.server.running, j) {
		j.serviceTime = j.endsAt - s.now + resumePrefill
	}
	j.server.running = lo.Without(j.server.running, j)
	j.server.waiting = lo.Without(j.server.waiting, j)
	if len(j.server.running)+len(j.server.waiting) == before {
		return // the request has already finished
	}
	s.preempted++
	s.schedule(hopDelay, func() {
		s.entries[j.entry].usedSlots[j.server]--
		s.endSlot(j)
		s.entries[j.entry].queue.Requeue(s.now, j.item)
	})
}

// pushDemand sends an entry's demand to its peers if it has changed.
func (s *site) pushDemand(entry int) {
	e := s.entries[entry]
	waiting := e.queue.Waiting()
	if slices.Equal(waiting, e.lastPush.waiting) {
		return
	}
	e.lastPush = peerDigest{updatedAt: s.now, waiting: waiting}
	for _, peer := range s.entries {
		s.schedule(hopDelay, func() {
			peer.digests[entry].updatedAt = s.now
			peer.digests[entry].waiting = slices.Clone(waiting)
		})
	}
}

// yieldSlotToPeer yields a free slot, which the entry could use, to the peer with the
// oldest demand of the highest tier, and reports whether there is such a peer. The entry
// counts the slot as used by that peer at once; the peer counts the slot as free once the
// message of the entry arrives.
func (s *site) yieldSlotToPeer(entry, server int) bool {
	e, to, index := s.entries[entry], -1, 0
	best := admission.Demand{}
	for i, d := range e.digests {
		for k, demand := range d.waiting {
			if demand.Waiting > 0 && (to < 0 || demand.Tier < best.Tier || demand.Tier == best.Tier && demand.Oldest < best.Oldest) {
				best, to, index = demand, i, k
			}
		}
	}
	if to < 0 || e.usedSlots[s.servers[server]] < 0 {
		return false
	}
	e.digests[to].waiting[index].Waiting--
	e.digests[to].addUsedSlots(s.servers[server], 1)
	s.schedule(hopDelay, func() { s.entries[to].digests[entry].addUsedSlots(s.servers[server], -1) })
	return true
}

func (d *peerDigest) addUsedSlots(server *fakeServer, n int) {
	if d.usedSlots == nil {
		d.usedSlots = map[*fakeServer]int{}
	}
	d.usedSlots[server] += n
}

// grantSlot grants a free slot to the entry with the oldest demand of the highest tier
// that the owner knows of. It reports whether the owner knows of any demand.
func (s *site) grantSlot(server *fakeServer) bool {
	best, from := admission.Demand{}, -1
	if s.strategy == ownerGrants && s.entries[server.owner].crashed {
		return false
	}
	for i, e := range s.entries {
		for _, d := range e.queue.Waiting() {
			knownAt := d.Oldest + s.hopTime(i, server.owner)
			if knownAt <= s.now && (from < 0 || d.Tier < best.Tier || d.Tier == best.Tier && d.Oldest < best.Oldest) {
				best, from = d, i
			}
		}
	}
	if from < 0 {
		return false
	}
	item, _ := s.entries[from].queue.Next(s.now, pool, nil)
	s.remoteGrants += lo.Ternary(from == server.owner, 0, 1)
	s.sendToServer(s.jobs[item.ID], server, s.hopTime(from, server.owner))
	return true
}

// hopTime returns the delay of a message from one entry to another.
func (s *site) hopTime(from, to int) clock.Millis {
	return lo.Ternary(from == to || s.strategy == oneQueue, 0, hopDelay)
}

// pullDigests copies the state of the peers, which arrives one round trip later.
func (s *site) pullDigests(entry int) {
	for i, peer := range s.entries {
		if i == entry || peer.crashed {
			continue
		}
		d := peerDigest{updatedAt: s.now, usedSlots: lo.Assign(peer.usedSlots), waiting: peer.queue.Waiting()}
		s.schedule(2*hopDelay, func() { s.entries[entry].digests[i] = d })
	}
}

// dispatchFrom sends one request of an entry to the server with the most free slots, as
// far as the entry knows. It reports whether the entry should try to dispatch again.
func (s *site) dispatchFrom(entry int) bool {
	e := s.entries[entry]
	if e.queue.Len() == 0 {
		return false
	}
	totalFree, mostFree, choice := 0, 0, -1
	offset := s.tieBreaker.IntN(servers) // so that entries break ties differently
	for i := range s.servers {
		index := (i + offset) % servers
		serverFree := s.slots - e.usedSlots[s.servers[index]]
		for _, d := range e.digests {
			serverFree -= d.usedSlots[s.servers[index]]
		}
		totalFree += max(serverFree, 0)
		if serverFree > mostFree {
			mostFree, choice = serverFree, index
		}
	}
	if choice < 0 {
		return false
	}
	peers := []admission.Demand{}
	for _, d := range e.digests {
		if s.strategy != enginePriority && s.now-d.updatedAt <= maxDigestAge {
			peers = append(peers, d.waiting...)
		}
	}
	e.queue.SetFreeSlots(pool, totalFree)
	item, ok := e.queue.Next(s.now, pool, peers)
	if !ok {
		return s.strategy == assignYieldedSlots && s.yieldSlotToPeer(entry, choice)
	}
	e.usedSlots[s.servers[choice]]++
	s.jobs[item.ID].item = item
	s.sendToServer(s.jobs[item.ID], s.servers[choice], 0)
	return true
}

// Guards against the strategy sharedCounts causing as many inversions as enginePriority.
// An inversion is a request of a lower tier that starts while a request of tier 1 waits.
// The test also checks that requests were completed and that some still wait.
func TestSharedCountsReduceInversions(t *testing.T) {
	inversions := map[strategy]int{}
	for _, st := range []strategy{sharedCounts, enginePriority} {
		s := newSite(t, st, 4, 500, skewed)
		s.run(8 * clock.Second)
		inversions[st] = s.inversions
		waiting := lo.SumBy(s.entries, func(e *fakeEntry) int { return e.queue.Len() })
		if s.completed == 0 || waiting == 0 {
			t.Errorf("%s: %d completed, %d waiting, want both above 0", st, s.completed, waiting)
		}
	}
	if got, limit := inversions[sharedCounts], inversions[enginePriority]; got >= limit {
		t.Errorf("inversions: got %d, want below %d", got, limit)
	}
}

// BenchmarkEntries reports the figures of docs/measurements/admission.md. Run it with
// -benchtime 1x, because all runs give the same figures.
func BenchmarkEntries(b *testing.B) {
	for _, slots := range []int{4, 16} {
		for _, k := range []workload{even, skewed, crash, noTier3} {
			for _, st := range []strategy{oneQueue, ownerGrants, enginePriority, sharedCounts, assignYieldedSlots, sharedCountsPreempting} {
				for _, interval := range []clock.Millis{10, 100, 250, 500} {
					if interval < 500 && (st == oneQueue || st == ownerGrants) {
						continue // these strategies use no digests
					}
					b.Run(fmt.Sprintf("%d/%s/%s/%d", slots, k, st, interval), func(b *testing.B) {
						for range b.N {
							s := newSite(b, st, slots, interval, k)
							s.run(measuredTime)
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
	slices.Sort(s.tier1Waits)
	b.ReportMetric(100*float64(s.inversions)/float64(s.starts), "%inverted")
	b.ReportMetric(float64(lo.Sum(s.tier1Waits))/float64(len(s.tier1Waits)), "ms-wait-mean")
	b.ReportMetric(float64(s.engineWait)/float64(len(s.tier1Waits)), "ms-wait-at-engine")
	b.ReportMetric(float64(s.tier1Waits[len(s.tier1Waits)*95/100]), "ms-wait-p95")
	b.ReportMetric(float64(s.tier1Waits[len(s.tier1Waits)*99/100]), "ms-wait-p99")
	attained := lo.CountBy(s.tier1Waits, func(w clock.Millis) bool { return w <= waitAllowance })
	b.ReportMetric(100*float64(attained)/float64(len(s.tier1Waits)), "%attained")
	b.ReportMetric(100*s.idleSlotTime/float64(int(measuredTime)*servers*s.slots), "%idle")
	b.ReportMetric(float64(s.completed)/float64(measuredTime/clock.Second), "done/s")
	if s.strategy == sharedCountsPreempting {
		b.ReportMetric(float64(s.preempted)/float64(measuredTime/clock.Second), "preempted/s")
	}
	if s.strategy == ownerGrants {
		b.ReportMetric(100*float64(s.remoteGrants)/float64(s.starts), "%remote")
	}
	b.ReportMetric(0, "ns/op")
}
