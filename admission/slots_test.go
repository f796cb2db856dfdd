package admission_test

import (
	"fmt"
	"testing"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/slot"
)

// The strategies that use package slot, without and with its recalls.
const (
	offersOnly       strategy = "slot-package"
	offersAndRecalls strategy = "slot-recalls"
)

// slotSite is the part of the simulated site that uses package slot.
type slotSite struct {
	tables       []*slot.Table
	messageCount int
	byteCount    int
	recallCount  int
}

func (st strategy) usesSlots() bool { return st == offersOnly || st == offersAndRecalls }

func (s *site) addTables() {
	names := lo.Times(entries, entryName)
	for i := range entries {
		t := slot.New(slot.Options{Entry: names[i], Incarnation: 1})
		t.SetServers(0, lo.Times(servers, func(i int) slot.Server {
			return slot.Server{Name: serverName(i), Slots: s.slots, Pools: []string{pool}}
		}))
		t.SetEntries(0, names)
		s.tables = append(s.tables, t)
	}
}

func entryName(i int) string  { return fmt.Sprintf("entry-%d", i) }
func serverName(i int) string { return fmt.Sprintf("engine-%d", i) }

// dispatchSlots starts the waiting requests of entry i that have a slot, and sends the
// entry's messages.
func (s *site) dispatchSlots(i int) {
	if s.now%s.interval == s.entries[i].digestPullOffset {
		s.pullDigests(i)
	}
	s.reportDemand(i)
	for _, server := range s.tables[i].Offers(s.now, pool) {
		if !s.startAt(i, server, nil) {
			break
		}
	}
	for s.startShared(i) {
		continue
	}
	s.reportDemand(i)
	for _, id := range s.tables[i].TakeRequestsToStop() {
		s.recallCount++
		s.schedule(hopDelay, func() { s.cancel(s.jobs[id]) })
	}
	for _, m := range s.tables[i].DueMessages(s.now) {
		s.sendMessage(m)
	}
}

func (s *site) sendMessage(m slot.Message) {
	data, _ := slot.Encode(m)
	s.messageCount++
	s.byteCount += len(data)
	for i, t := range s.tables {
		if entryName(i) == m.To {
			s.schedule(hopDelay, func() {
				if !s.entries[i].crashed {
					t.Receive(s.now, m)
				}
			})
		}
	}
}

func (s *site) reportDemand(i int) {
	s.tables[i].SetDemand(s.now, lo.Map(s.entries[i].queue.Waiting(), func(d admission.Demand, _ int) slot.Demand {
		c := s.classes[lo.Ternary(d.Tier == 1, 0, 1)]
		deadline := d.Oldest + c.Target()
		return slot.Demand{Pool: pool, Tier: d.Tier, Waiting: d.Waiting, Deadline: deadline, StarvesAt: d.Oldest + c.StarvationBound(),
			UrgentAt: lo.Ternary(s.strategy == offersAndRecalls, deadline-c.Target()/2, measuredTime)}
	}))
}

// startAt starts the next request of entry i on a server. It returns false if none waits
// or if the slot is yielded to peers.
func (s *site) startAt(i int, server string, peers []admission.Demand) bool {
	item, ok := s.entries[i].queue.Next(s.now, pool, peers)
	if !ok {
		return false
	}
	for k, v := range s.servers {
		if serverName(k) == server {
			s.tables[i].Start(s.now, pool, slot.Run{ID: item.ID, Server: server, Tier: item.Class.Tier(), Resumable: true})
			s.entries[i].usedSlots[v]++
			s.jobs[item.ID].item = item
			s.sendToServer(s.jobs[item.ID], v, 0)
		}
	}
	return true
}

// startShared starts the next request of entry i on the server in mode slot.ModeShared
// with the most free slots, as far as the entry knows. It returns false if it starts none.
func (s *site) startShared(i int) bool {
	e, best, most := s.entries[i], "", 0
	peers := []admission.Demand{}
	for _, d := range e.digests {
		if s.now-d.updatedAt <= maxDigestAge {
			peers = append(peers, d.waiting...)
		}
	}
	offset := s.tieBreaker.IntN(servers)
	for k := range s.servers {
		k = (k + offset) % servers
		free := s.slots - e.usedSlots[s.servers[k]]
		for _, d := range e.digests {
			free -= d.usedSlots[s.servers[k]]
		}
		if free > most && s.tables[i].Mode(s.now, serverName(k)) == slot.ModeShared {
			best, most = serverName(k), free
		}
	}
	return best != "" && s.startAt(i, best, peers)
}

func (s *site) endSlot(j *job) {
	if s.strategy.usesSlots() && !s.entries[j.entry].crashed {
		s.tables[j.entry].End(s.now, j.item.ID)
	}
}

func (s *site) updateLiveEntries() {
	names := lo.FilterMap(s.entries, func(e *fakeEntry, i int) (string, bool) { return entryName(i), !e.crashed })
	for _, t := range s.tables {
		t.SetEntries(s.now, names)
	}
}

// BenchmarkSlots reports the figures of docs/measurements/slot.md. Run it with
// -benchtime 1x, because all runs give the same figures.
func BenchmarkSlots(b *testing.B) {
	for _, slots := range []int{4, 16} {
		for _, k := range []workload{even, skewed, crash, noTier3} {
			for _, st := range []strategy{oneQueue, ownerGrants, offersOnly, offersAndRecalls, sharedCounts} {
				b.Run(fmt.Sprintf("%d/%s/%s", slots, k, st), func(b *testing.B) {
					for range b.N {
						s := newSite(b, st, slots, 500, k)
						s.run(measuredTime)
						s.report(b)
						b.ReportMetric(float64(s.messageCount)/entries/float64(measuredTime/clock.Second), "messages/s/entry")
						b.ReportMetric(float64(s.byteCount)/entries/float64(measuredTime/clock.Second)/1000, "KB/s/entry")
						b.ReportMetric(float64(s.recallCount)/float64(measuredTime/clock.Second), "recalled/s")
					}
				})
			}
		}
	}
}
