package admission_test

import (
	"fmt"
	"testing"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/slot"
)

// The ways that use package slot, without and with its recalls.
const (
	slotPackage way = "slot-package"
	slotRecalls way = "slot-recalls"
)

// slotSite is the part of the fake site that runs package slot.
type slotSite struct {
	tables   []*slot.Table
	messages int
	bytes    int
	recalled int
}

func (w way) usesSlots() bool { return w == slotPackage || w == slotRecalls }

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

// dispatchSlots starts what entry i has slots for and sends its messages.
func (s *site) dispatchSlots(i int) {
	if s.now%s.interval == s.entries[i].phase {
		s.pull(i)
	}
	s.demand(i)
	for _, server := range s.tables[i].Offers(s.now, pool) {
		if !s.startAt(i, server, nil) {
			break
		}
	}
	for s.startShared(i) {
		continue
	}
	s.demand(i)
	for _, id := range s.tables[i].TakeVictims() {
		s.recalled++
		s.after(wire, func() { s.cancel(s.jobs[id]) })
	}
	for _, m := range s.tables[i].DueMessages(s.now) {
		s.transmit(m)
	}
}

func (s *site) transmit(m slot.Message) {
	data, _ := slot.Encode(m)
	s.messages++
	s.bytes += len(data)
	for i, t := range s.tables {
		if entryName(i) == m.To {
			s.after(wire, func() {
				if !s.entries[i].dead {
					t.Receive(s.now, m)
				}
			})
		}
	}
}

func (s *site) demand(i int) {
	s.tables[i].SetDemand(s.now, lo.Map(s.entries[i].queue.Waiting(), func(d admission.Demand, _ int) slot.Demand {
		c := s.classes[lo.Ternary(d.Tier == 1, 0, 1)]
		deadline := d.Oldest + c.Target()
		return slot.Demand{Pool: pool, Tier: d.Tier, Waiting: d.Waiting, Deadline: deadline, StarveAt: d.Oldest + c.StarvationBound(),
			UrgentAt: lo.Ternary(s.way == slotRecalls, deadline-c.Target()/2, measured)}
	}))
}

func (s *site) startAt(i int, server string, peers []admission.Demand) bool {
	item, ok := s.entries[i].queue.Next(s.now, pool, peers)
	if !ok {
		return false
	}
	for k, v := range s.servers {
		if serverName(k) == server {
			s.tables[i].Start(s.now, pool, slot.Run{ID: item.ID, Server: server, Tier: item.Class.Tier(), Resumable: true})
			s.entries[i].loads[v]++
			s.jobs[item.ID].item = item
			s.send(s.jobs[item.ID], v, 0)
		}
	}
	return true
}

// startShared starts work at the emptiest server that no owner answers for.
func (s *site) startShared(i int) bool {
	e, best, most := s.entries[i], "", 0
	peers := []admission.Demand{}
	for _, d := range e.digest {
		if s.now-d.at <= freshness {
			peers = append(peers, d.waiting...)
		}
	}
	offset := s.ties.IntN(servers)
	for k := range s.servers {
		k = (k + offset) % servers
		free := s.slots - e.loads[s.servers[k]]
		for _, d := range e.digest {
			free -= d.loads[s.servers[k]]
		}
		if free > most && s.tables[i].Mode(s.now, serverName(k)) == slot.ModeShared {
			best, most = serverName(k), free
		}
	}
	return best != "" && s.startAt(i, best, peers)
}

func (s *site) endSlot(j *job) {
	if s.way.usesSlots() && !s.entries[j.entry].dead {
		s.tables[j.entry].End(s.now, j.item.ID)
	}
}

func (s *site) setLive() {
	names := lo.FilterMap(s.entries, func(e *fakeEntry, i int) (string, bool) { return entryName(i), !e.dead })
	for _, t := range s.tables {
		t.SetEntries(s.now, names)
	}
}

// BenchmarkSlots reports the figures of docs/measurements/slot.md; run it with
// -benchtime 1x, as each run is the same.
func BenchmarkSlots(b *testing.B) {
	for _, slots := range []int{4, 16} {
		for _, k := range []kind{even, skewed, crash, calm} {
			for _, w := range []way{oneQueue, slotLeases, slotPackage, slotRecalls, sharedCounts} {
				b.Run(fmt.Sprintf("%d/%s/%s", slots, k, w), func(b *testing.B) {
					for range b.N {
						s := newSite(b, w, slots, 500, k)
						s.run(measured)
						s.report(b)
						b.ReportMetric(float64(s.messages)/entries/float64(measured/clock.Second), "messages/s/entry")
						b.ReportMetric(float64(s.bytes)/entries/float64(measured/clock.Second)/1000, "KB/s/entry")
						b.ReportMetric(float64(s.recalled)/float64(measured/clock.Second), "recalled/s")
					}
				})
			}
		}
	}
}
