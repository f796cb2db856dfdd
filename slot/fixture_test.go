package slot_test

import (
	"fmt"
	"slices"
	"sort"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/slot"
	"github.com/galenaslip/galenaslip/testseed"
)

func TestMain(m *testing.M) {
	testseed.MainWith(m, testseed.Options{Seed: 1})
}

const pool = "model:m-small"

type request struct {
	id        string
	tier      class.Tier
	deadline  clock.Millis
	starvesAt clock.Millis
	urgentAt  clock.Millis
	onceOnly  bool
}

// node is a simulated entry with a queue. Its clock differs from those of the other
// nodes by a fixed offset.
type node struct {
	name         string
	table        *slot.Table
	offset       clock.Millis // difference of the local clock from cluster.now
	waiting      []request
	running      map[string]string       // server by request ID
	lastMessages map[string]slot.Message // latest message received from each peer
	crashed      bool
}

// cluster simulates the entries and servers of a site. The test decides which
// messages are delivered, and when.
type cluster struct {
	tb              rapid.TB
	now             clock.Millis
	nodes           []*node
	servers         []slot.Server
	inFlight        []slot.Message // sent and not delivered or lost yet
	useShared       bool           // nodes also start requests without an offer, on servers in mode slot.ModeShared
	requestCount    int
	tiers           map[string]class.Tier // by request ID
	lastOfferNumber map[string]uint64     // highest offer number that checkOffers has seen, by owner and holder
	checkingOffers  bool                  // checkOffers does nothing unless this is set
}

func newCluster(tb rapid.TB, entries int, slots ...int) *cluster {
	tb.Helper()
	cl := &cluster{tb: tb, now: 1, tiers: map[string]class.Tier{}, lastOfferNumber: map[string]uint64{}}
	for i, n := range slots {
		cl.servers = append(cl.servers, slot.Server{Name: fmt.Sprintf("engine-%d", i), Slots: n, Pools: []string{pool}})
	}
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		cl.nodes = append(cl.nodes, &node{
			name: name, offset: clock.Millis(i) * 1000, running: map[string]string{}, lastMessages: map[string]slot.Message{},
			table: slot.New(slot.Options{Entry: name, Incarnation: 1}),
		})
	}
	for _, n := range cl.nodes {
		n.table.SetServers(cl.localTime(n), cl.servers)
	}
	cl.setEntries()
	cl.deliverAll()
	return cl
}

func (cl *cluster) localTime(n *node) clock.Millis { return cl.now + n.offset }

func (cl *cluster) setEntries() {
	names := lo.FilterMap(cl.nodes, func(n *node, _ int) (string, bool) { return n.name, !n.crashed })
	for _, n := range cl.nodes {
		n.table.SetEntries(cl.localTime(n), names)
	}
}

func (cl *cluster) node(name string) *node {
	n, _ := lo.Find(cl.nodes, func(n *node) bool { return n.name == name })
	return n
}

// addRequest queues a request at a node. The deadlines of requests of one tier follow
// the order in which they are added.
func (cl *cluster) addRequest(n *node, tier class.Tier, adjust ...func(r *request)) {
	cl.requestCount++
	never := cl.now + clock.Hour
	r := request{id: fmt.Sprint(cl.requestCount), tier: tier, deadline: cl.now + clock.Millis(cl.requestCount), starvesAt: never, urgentAt: never}
	for _, f := range adjust {
		f(&r)
	}
	cl.tiers[r.id] = tier
	n.waiting = append(n.waiting, r)
	cl.dispatch(n)
}

// dispatch starts the waiting requests of a node that get slots and ends its recalled
// requests, as an entry's dispatcher does.
func (cl *cluster) dispatch(n *node) {
	sort.SliceStable(n.waiting, func(i, j int) bool { return servedBefore(n.waiting[i], n.waiting[j]) })
	cl.setDemand(n)
	for len(n.waiting) > 0 {
		server, ok := cl.chooseServer(n)
		r := n.waiting[0]
		if !ok || !n.table.Start(cl.localTime(n), pool, slot.Run{ID: r.id, Server: server, Tier: r.tier, Resumable: !r.onceOnly}) {
			break
		}
		n.waiting = n.waiting[1:]
		n.running[r.id] = server
		cl.setDemand(n)
	}
	for _, id := range n.table.TakeRequestsToStop() {
		if _, ok := n.running[id]; ok {
			cl.end(n, id)
		}
	}
}

// chooseServer returns a server of which the node holds an offer. If there is none and
// useShared is set, it returns a server with a free slot in mode slot.ModeShared, which
// needs no offer.
func (cl *cluster) chooseServer(n *node) (string, bool) {
	if offers := n.table.Offers(cl.localTime(n), pool); len(offers) > 0 {
		return offers[0], true
	}
	for _, s := range cl.servers {
		if cl.useShared && n.table.Mode(cl.localTime(n), s.Name) == slot.ModeShared && cl.usedSlots(s.Name) < s.Slots {
			return s.Name, true
		}
	}
	return "", false
}

func servedBefore(a, b request) bool {
	return a.tier.HasPriorityOver(b.tier) || a.tier == b.tier && a.deadline < b.deadline
}

func (cl *cluster) setDemand(n *node) {
	demands := map[class.Tier]slot.Demand{}
	for _, r := range n.waiting {
		d, ok := demands[r.tier]
		if !ok {
			d = slot.Demand{Pool: pool, Tier: r.tier, Deadline: r.deadline + n.offset, UrgentAt: r.urgentAt + n.offset, StarvesAt: r.starvesAt + n.offset}
		}
		d.Waiting++
		demands[r.tier] = d
	}
	list := lo.Values(demands)
	sort.Slice(list, func(i, j int) bool { return list[i].Tier < list[j].Tier })
	n.table.SetDemand(cl.localTime(n), list)
}

func (cl *cluster) end(n *node, id string) {
	delete(n.running, id)
	n.table.End(cl.localTime(n), id)
	cl.dispatch(n)
}

func (cl *cluster) usedSlots(server string) int {
	return lo.SumBy(cl.nodes, func(n *node) int { return lo.CountBy(lo.Values(n.running), func(s string) bool { return s == server }) })
}

// sendDue adds the due messages of a node to the messages in flight.
func (cl *cluster) sendDue(n *node) {
	if n.crashed {
		return
	}
	for _, m := range n.table.DueMessages(cl.localTime(n)) {
		cl.checkOffers(n, m)
		cl.inFlight = append(cl.inFlight, m)
	}
}

// deliver encodes and decodes a message and passes it to its receiver.
func (cl *cluster) deliver(m slot.Message) {
	data, err := slot.Encode(m)
	if err != nil {
		cl.tb.Fatal(err)
	}
	decoded, err := slot.Decode(data)
	if err != nil {
		cl.tb.Fatalf("%s: %v", data, err)
	}
	n := cl.node(m.To)
	if n.crashed {
		return
	}
	if n.table.Receive(cl.localTime(n), decoded) {
		n.lastMessages[m.From] = m
	}
	cl.dispatch(n)
}

// deliverAll sends and delivers messages, 1 ms after they were sent, until none is due.
func (cl *cluster) deliverAll() {
	for range 50 {
		for _, n := range cl.nodes {
			cl.sendDue(n)
		}
		if len(cl.inFlight) == 0 {
			return
		}
		cl.now++
		messages := cl.inFlight
		cl.inFlight = nil
		for _, m := range messages {
			cl.deliver(m)
		}
	}
	cl.tb.Fatal("nodes still send messages after 50 rounds")
}

// advance lets time pass while all messages are delivered.
func (cl *cluster) advance(duration clock.Millis) {
	for end := cl.now + duration; cl.now < end; cl.now += 10 {
		for _, n := range cl.nodes {
			cl.dispatch(n)
		}
		cl.deliverAll()
	}
}

// checkOffers fails the test if a message contains a new offer for a tier although
// its sender knows of waiting requests of a higher tier without an offer.
func (cl *cluster) checkOffers(n *node, m slot.Message) {
	key := n.name + m.To
	for _, o := range m.Offers {
		if !cl.checkingOffers || o.Number <= cl.lastOfferNumber[key] {
			continue
		}
		cl.lastOfferNumber[key] = o.Number
		for _, peer := range cl.nodes {
			lastMessage := n.lastMessages[peer.name]
			waiting := lo.SumBy(lastMessage.Demands, func(d slot.Demand) int { return lo.Ternary(d.Tier.HasPriorityOver(o.Tier), d.Waiting, 0) })
			if peer == n {
				waiting = lo.CountBy(n.waiting, func(r request) bool { return r.tier.HasPriorityOver(o.Tier) })
			}
			if waiting > 0 && waiting > cl.unacknowledgedOffers(n, peer, lastMessage) {
				cl.tb.Fatalf("%s offers %s a slot for tier %d while %d of a higher tier are known to wait at %s",
					n.name, m.To, o.Tier, waiting, peer.name)
			}
		}
	}
}

// unacknowledgedOffers counts the offers to a holder that the holder's last message
// does not acknowledge.
func (cl *cluster) unacknowledgedOffers(owner, holder *node, lastMessage slot.Message) int {
	if owner == holder {
		return len(owner.table.Offers(cl.localTime(owner), pool))
	}
	m := owner.table.Reply(cl.localTime(owner), holder.name)
	cl.inFlight = append(cl.inFlight, m)
	return lo.CountBy(m.Offers, func(o slot.Offer) bool { return o.Number > lastMessage.AckedOffer })
}

// checkSlots fails the test if a server has more than factor requests per slot.
func (cl *cluster) checkSlots(factor int) {
	for _, s := range cl.servers {
		if got := cl.usedSlots(s.Name); got > factor*s.Slots {
			cl.tb.Fatalf("%s: %d slots used, want at most %d", s.Name, got, factor*s.Slots)
		}
	}
}

// randomStep adds or ends a request, sends the due messages of a node, delivers,
// duplicates or loses one message, or lets time pass.
func (cl *cluster) randomStep(t *rapid.T) {
	n := rapid.SampledFrom(cl.nodes).Draw(t, "entry")
	switch rapid.SampledFrom([]string{"arrive", "end", "send", "deliver", "deliver", "deliver", "double", "lose", "wait"}).Draw(t, "step") {
	case "arrive":
		cl.addRequest(n, class.Tier(rapid.IntRange(1, 4).Draw(t, "tier")))
	case "end":
		if ids := lo.Keys(n.running); len(ids) > 0 {
			slices.Sort(ids)
			id := rapid.SampledFrom(ids).Draw(t, "request")
			cl.end(n, id)
		}
	case "send":
		cl.sendDue(n)
	case "deliver":
		cl.processRandomMessage(t, true, true)
	case "double":
		cl.processRandomMessage(t, true, false)
	case "lose":
		cl.processRandomMessage(t, false, true)
	case "wait":
		cl.now += clock.Millis(rapid.SampledFrom([]int{1, 5, 30, 120}).Draw(t, "ms"))
	}
}

// processRandomMessage draws a message in flight. If deliver is set, it delivers the
// message; if remove is set, the message is no longer in flight. A message that is
// delivered but not removed is duplicated; one that is removed but not delivered is lost.
func (cl *cluster) processRandomMessage(t *rapid.T, deliver, remove bool) {
	if len(cl.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(cl.inFlight)-1).Draw(t, "message")
	m := cl.inFlight[i]
	if remove {
		cl.inFlight = slices.Delete(cl.inFlight, i, i+1)
	}
	if deliver {
		cl.deliver(m)
	}
}
