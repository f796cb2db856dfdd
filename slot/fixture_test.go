package slot_test

import (
	"flag"
	"fmt"
	"slices"
	"sort"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/slot"
)

// Property tests draw the same cases in every run; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

const pool = "model:m-small"

type request struct {
	id       string
	tier     class.Tier
	deadline clock.Millis
	starveAt clock.Millis
	urgentAt clock.Millis
	once     bool
}

// node is an entry with a queue. Its clock starts at an offset of its own.
type node struct {
	name    string
	table   *slot.Table
	offset  clock.Millis
	waiting []request
	running map[string]string // server by request
	known   map[string]slot.Message
	dead    bool
}

// world is a site whose network delivers what a test tells it to.
type world struct {
	tb      rapid.TB
	now     clock.Millis
	nodes   []*node
	servers []slot.Server
	network []slot.Message
	shared  bool // servers without an owner are used
	count   int
	tiers   map[string]class.Tier
	offered map[string]uint64 // the highest number by owner and holder
	checked bool              // offers are compared with what their owner knows
}

func newWorld(tb rapid.TB, entries int, slots ...int) *world {
	tb.Helper()
	w := &world{tb: tb, now: 1, tiers: map[string]class.Tier{}, offered: map[string]uint64{}}
	for i, n := range slots {
		w.servers = append(w.servers, slot.Server{Name: fmt.Sprintf("engine-%d", i), Slots: n, Pools: []string{pool}})
	}
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		w.nodes = append(w.nodes, &node{
			name: name, offset: clock.Millis(i) * 1000, running: map[string]string{}, known: map[string]slot.Message{},
			table: slot.New(slot.Options{Entry: name, Incarnation: 1}),
		})
	}
	for _, n := range w.nodes {
		n.table.SetServers(w.at(n), w.servers)
	}
	w.setEntries()
	w.settle()
	return w
}

func (w *world) at(n *node) clock.Millis { return w.now + n.offset }

func (w *world) setEntries() {
	names := lo.FilterMap(w.nodes, func(n *node, _ int) (string, bool) { return n.name, !n.dead })
	for _, n := range w.nodes {
		n.table.SetEntries(w.at(n), names)
	}
}

func (w *world) node(name string) *node {
	n, _ := lo.Find(w.nodes, func(n *node) bool { return n.name == name })
	return n
}

// arrive queues a request whose deadline is the order of arrival.
func (w *world) arrive(n *node, tier class.Tier, adjust ...func(r *request)) {
	w.count++
	far := w.now + clock.Hour
	r := request{id: fmt.Sprint(w.count), tier: tier, deadline: w.now + clock.Millis(w.count), starveAt: far, urgentAt: far}
	for _, f := range adjust {
		f(&r)
	}
	w.tiers[r.id] = tier
	n.waiting = append(n.waiting, r)
	w.dispatch(n)
}

// dispatch starts what the entry has slots for, the way a dispatcher does.
func (w *world) dispatch(n *node) {
	sort.SliceStable(n.waiting, func(i, j int) bool { return before(n.waiting[i], n.waiting[j]) })
	w.setDemand(n)
	for len(n.waiting) > 0 {
		server, ok := w.choose(n)
		r := n.waiting[0]
		if !ok || !n.table.Start(w.at(n), pool, slot.Run{ID: r.id, Server: server, Tier: r.tier, Resumable: !r.once}) {
			break
		}
		n.waiting = n.waiting[1:]
		n.running[r.id] = server
		w.setDemand(n)
	}
	for _, id := range n.table.TakeVictims() {
		if _, ok := n.running[id]; ok {
			w.end(n, id)
		}
	}
}

func (w *world) choose(n *node) (string, bool) {
	if offers := n.table.Offers(w.at(n), pool); len(offers) > 0 {
		return offers[0], true
	}
	for _, s := range w.servers {
		if w.shared && n.table.Mode(w.at(n), s.Name) == slot.ModeShared && w.used(s.Name) < s.Slots {
			return s.Name, true
		}
	}
	return "", false
}

func before(a, b request) bool {
	return a.tier.HasPriorityOver(b.tier) || a.tier == b.tier && a.deadline < b.deadline
}

func (w *world) setDemand(n *node) {
	demands := map[class.Tier]slot.Demand{}
	for _, r := range n.waiting {
		d, ok := demands[r.tier]
		if !ok {
			d = slot.Demand{Pool: pool, Tier: r.tier, Deadline: r.deadline + n.offset, UrgentAt: r.urgentAt + n.offset, StarveAt: r.starveAt + n.offset}
		}
		d.Waiting++
		demands[r.tier] = d
	}
	list := lo.Values(demands)
	sort.Slice(list, func(i, j int) bool { return list[i].Tier < list[j].Tier })
	n.table.SetDemand(w.at(n), list)
}

func (w *world) end(n *node, id string) {
	delete(n.running, id)
	n.table.End(w.at(n), id)
	w.dispatch(n)
}

func (w *world) used(server string) int {
	return lo.SumBy(w.nodes, func(n *node) int { return lo.CountBy(lo.Values(n.running), func(s string) bool { return s == server }) })
}

func (w *world) send(n *node) {
	if n.dead {
		return
	}
	for _, m := range n.table.DueMessages(w.at(n)) {
		w.checkOffers(n, m)
		w.network = append(w.network, m)
	}
}

// deliver passes a message through its JSON form.
func (w *world) deliver(m slot.Message) {
	data, err := slot.Encode(m)
	if err != nil {
		w.tb.Fatal(err)
	}
	decoded, err := slot.Decode(data)
	if err != nil {
		w.tb.Fatalf("%s: %v", data, err)
	}
	n := w.node(m.To)
	if n.dead {
		return
	}
	if n.table.Receive(w.at(n), decoded) {
		n.known[m.From] = m
	}
	w.dispatch(n)
}

// settle delivers all messages, each within a millisecond, until none is due.
func (w *world) settle() {
	for range 50 {
		for _, n := range w.nodes {
			w.send(n)
		}
		if len(w.network) == 0 {
			return
		}
		w.now++
		messages := w.network
		w.network = nil
		for _, m := range messages {
			w.deliver(m)
		}
	}
	w.tb.Fatal("messages do not end")
}

// pass lets time pass with a network that works.
func (w *world) pass(duration clock.Millis) {
	for end := w.now + duration; w.now < end; w.now += 10 {
		for _, n := range w.nodes {
			w.dispatch(n)
		}
		w.settle()
	}
}

// checkOffers compares new offers with the demand that their owner knows.
func (w *world) checkOffers(n *node, m slot.Message) {
	key := n.name + m.To
	for _, o := range m.Offers {
		if !w.checked || o.Number <= w.offered[key] {
			continue
		}
		w.offered[key] = o.Number
		for _, peer := range w.nodes {
			last := n.known[peer.name]
			waiting := lo.SumBy(last.Demands, func(d slot.Demand) int { return lo.Ternary(d.Tier.HasPriorityOver(o.Tier), d.Waiting, 0) })
			if peer == n {
				waiting = lo.CountBy(n.waiting, func(r request) bool { return r.tier.HasPriorityOver(o.Tier) })
			}
			if waiting > 0 && waiting > w.openOffers(n, peer, last) {
				w.tb.Fatalf("%s offers %s a slot for tier %d while %d of a higher tier are known to wait at %s",
					n.name, m.To, o.Tier, waiting, peer.name)
			}
		}
	}
}

// openOffers counts the offers that a holder's last message does not include.
func (w *world) openOffers(owner, holder *node, last slot.Message) int {
	if owner == holder {
		return len(owner.table.Offers(w.at(owner), pool))
	}
	m := owner.table.Reply(w.at(owner), holder.name)
	w.network = append(w.network, m)
	return lo.CountBy(m.Offers, func(o slot.Offer) bool { return o.Number > last.AckedOffer })
}

func (w *world) checkSlots(factor int) {
	for _, s := range w.servers {
		if got := w.used(s.Name); got > factor*s.Slots {
			w.tb.Fatalf("%s: %d slots used, want at most %d", s.Name, got, factor*s.Slots)
		}
	}
}

// step does one random thing: a request arrives or ends, or the network delivers,
// doubles or loses any of its messages.
func (w *world) step(t *rapid.T) {
	n := rapid.SampledFrom(w.nodes).Draw(t, "entry")
	switch rapid.SampledFrom([]string{"arrive", "end", "send", "deliver", "deliver", "deliver", "double", "lose", "wait"}).Draw(t, "step") {
	case "arrive":
		w.arrive(n, class.Tier(rapid.IntRange(1, 4).Draw(t, "tier")))
	case "end":
		if ids := lo.Keys(n.running); len(ids) > 0 {
			slices.Sort(ids)
			id := rapid.SampledFrom(ids).Draw(t, "request")
			w.end(n, id)
		}
	case "send":
		w.send(n)
	case "deliver":
		w.transmit(t, true, true)
	case "double":
		w.transmit(t, true, false)
	case "lose":
		w.transmit(t, false, true)
	case "wait":
		w.now += clock.Millis(rapid.SampledFrom([]int{1, 5, 30, 120}).Draw(t, "ms"))
	}
}

func (w *world) transmit(t *rapid.T, deliver, remove bool) {
	if len(w.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.network)-1).Draw(t, "message")
	m := w.network[i]
	if remove {
		w.network = slices.Delete(w.network, i, i+1)
	}
	if deliver {
		w.deliver(m)
	}
}
