package capacity_test

import (
	"math/rand/v2"
	"slices"

	"github.com/galenaslip/galenaslip/capacity"
	"github.com/galenaslip/galenaslip/clock"
)

const (
	drainTime = 2500 * clock.Millisecond
	notice    = 2 * clock.Second
	slots     = 12
)

// fakeServer is a server that a market has started.
type fakeServer struct {
	at        capacity.Place
	servesAt  clock.Millis
	leavesAt  clock.Millis // 0 unless it leaves
	reclaimed bool         // says that it is taken back
}

type lateOrder struct {
	at    clock.Millis
	order capacity.Order
}

// market is a platform that carries orders out, refuses them, carries them out late, and reclaims
// servers.
type market struct {
	terms       capacity.Terms
	random      *rand.Rand
	servers     []fakeServer
	late        []lateOrder
	lateShare   float64
	says        bool                            // whether servers that are taken back say so
	unavailable map[capacity.Place]clock.Millis // until when there are none
	orders      int
	cost        float64 // price of a server and second
}

func terms() capacity.Terms {
	return capacity.Terms{Min: 1, Max: 70, StartTime: 4 * clock.Second, ReclaimablePrice: 0.25, Zones: []capacity.Zone{
		{Name: "a", Price: 0.85}, {Name: "b", Price: 1.2}, {Name: "c", Price: 1}, {Name: "d", Price: 1.1},
	}}
}

// newMarket returns a market with ordinary servers in each zone that nobody has ordered.
func newMarket(seed uint64, perZone int) *market {
	m := &market{terms: terms(), random: rand.New(rand.NewPCG(seed, seed)), unavailable: map[capacity.Place]clock.Millis{}}
	for _, z := range m.terms.Zones {
		for range perZone {
			m.servers = append(m.servers, fakeServer{at: capacity.Place{Zone: z.Name, Kind: capacity.Ordinary}})
		}
	}
	return m
}

func (m *market) order(now clock.Millis, o capacity.Order) capacity.Outcome {
	m.orders++
	if m.unavailable[o.Place] > now && o.Count > m.count(o.Place) {
		return capacity.Refused
	}
	if m.random.Float64() < m.lateShare {
		m.late = append(m.late, lateOrder{now + clock.Millis(2000+m.random.IntN(10_000)), o})
		return capacity.Unknown
	}
	m.apply(now, o)
	return capacity.Accepted
}

// count returns the servers at a place that do not leave.
func (m *market) count(at capacity.Place) int {
	n := 0
	for _, s := range m.servers {
		if s.at == at && s.leavesAt == 0 {
			n++
		}
	}
	return n
}

func (m *market) apply(now clock.Millis, o capacity.Order) {
	have := m.count(o.Place)
	o.Count = min(o.Count, have+m.terms.Max-m.zoneCount(o.Zone))
	for ; have < o.Count; have++ {
		m.servers = append(m.servers, fakeServer{at: o.Place, servesAt: now + m.terms.StartTime})
	}
	for i := len(m.servers) - 1; i >= 0 && have > o.Count; i-- {
		if s := &m.servers[i]; s.at == o.Place && s.leavesAt == 0 {
			s.leavesAt = now + drainTime
			have--
		}
	}
}

// reclaim takes all reclaimable servers of a zone back, after a notice, and has none there for some time.
func (m *market) reclaim(now clock.Millis, zone string, dry clock.Millis) {
	at := capacity.Place{Zone: zone, Kind: capacity.Reclaimable}
	for i := range m.servers {
		if s := &m.servers[i]; s.at == at && s.leavesAt == 0 {
			s.leavesAt, s.reclaimed = now+notice, m.says
		}
	}
	m.unavailable[at] = now + dry
}

// advance carries out late orders, ends servers, and adds the cost of some time.
func (m *market) advance(now, step clock.Millis) {
	m.late = slices.DeleteFunc(m.late, func(l lateOrder) bool {
		if l.at <= now {
			m.apply(now, l.order)
		}
		return l.at <= now
	})
	m.servers = slices.DeleteFunc(m.servers, func(s fakeServer) bool { return s.leavesAt != 0 && s.leavesAt <= now })
	for _, s := range m.servers {
		m.cost += m.price(s.at) * float64(step) / float64(clock.Second)
	}
}

func (m *market) price(at capacity.Place) float64 {
	for _, z := range m.terms.Zones {
		if z.Name == at.Zone && at.Kind == capacity.Reclaimable {
			return z.Price * m.terms.ReclaimablePrice
		} else if z.Name == at.Zone {
			return z.Price
		}
	}
	return 0
}

// announced returns the servers that announce themselves.
func (m *market) announced(now clock.Millis) []capacity.Server {
	var servers []capacity.Server
	for _, s := range m.servers {
		if s.servesAt <= now {
			servers = append(servers, capacity.Server{Zone: s.at.Zone, Kind: s.at.Kind, Slots: slots, Leaving: s.leavesAt != 0, Reclaimed: s.reclaimed})
		}
	}
	return servers
}

// serving returns the number of servers that take requests.
func (m *market) serving(now clock.Millis) int {
	n := 0
	for _, s := range m.servers {
		if s.servesAt <= now && s.leavesAt == 0 {
			n++
		}
	}
	return n
}

// zoneCount returns the servers of a zone that serve or are started, of both kinds.
func (m *market) zoneCount(zone string) int {
	return m.count(capacity.Place{Zone: zone, Kind: capacity.Ordinary}) + m.count(capacity.Place{Zone: zone, Kind: capacity.Reclaimable})
}
