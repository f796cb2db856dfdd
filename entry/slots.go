package entry

import (
	"context"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/routing"
	"github.com/galenaslip/galenaslip/slot"
)

const (
	slotsPath = "/peer/v1/slots"
	// slotsTimeout bounds one message, so that several fit into slot.EntryLossTimeout.
	slotsTimeout = 500 * clock.Millisecond
)

// grantRouter chooses among servers whose owners have offered a slot.
type grantRouter interface {
	CanStart(now clock.Millis, server string) bool
	ChooseAmong(now clock.Millis, request routing.Request, servers []string) (routing.Choice, bool)
}

// slotKeeper asks the owners of servers for slots. The dispatcher's goroutine
// owns it.
type slotKeeper struct {
	d      *dispatcher
	table  *slot.Table
	router grantRouter
	busy   map[string]bool // peers with a message on its way; one for each
	post   func(m slot.Message)
}

// newSlotKeeper returns nil when slots are shared by counts only.
func newSlotKeeper(d *dispatcher, incarnation uint64) *slotKeeper {
	router, ok := d.router.(grantRouter)
	if !ok || !d.options.SlotLeases {
		return nil
	}
	return &slotKeeper{
		d: d, router: router, busy: map[string]bool{},
		table: slot.New(slot.Options{Entry: d.options.Name, Incarnation: incarnation}),
	}
}

// advance applies the present servers and entries.
func (k *slotKeeper) advance(now clock.Millis) {
	if k == nil {
		return
	}
	servers := lo.FilterMap(k.d.registry.Servers(now), func(s backend.Server, _ int) (slot.Server, bool) {
		slots := lo.Ternary(k.router.CanStart(now, s.Server()), s.Slots(), 0)
		return slot.Server{Name: s.Server(), Slots: slots, Pools: s.Pools()}, s.Usable
	})
	var names []string
	if k.d.leases.valid() {
		names = lo.Map(k.d.leases.entries(), func(e lease.Entry, _ int) string { return e.Name })
	}
	k.table.SetServers(now, servers)
	k.table.SetEntries(now, names)
	k.pump(now)
}

// pump uses the offers of every pool and sends what is new to the peers.
func (k *slotKeeper) pump(now clock.Millis) {
	for name, p := range k.d.pools {
		if p.waiting.len() > 0 {
			k.pumpPool(now, name, p)
		}
	}
	k.tellDemand(now)
	for _, id := range k.table.TakeVictims() {
		if j, ok := k.d.jobs[id]; ok && j.running {
			k.d.interrupt(j, preempted)
		}
	}
	for _, m := range k.table.DueMessagesExcept(now, k.busy) {
		k.busy[m.To] = true
		k.post(m)
	}
}

func (k *slotKeeper) pumpPool(now clock.Millis, name string, p *poolState) {
	for p.waiting.len() > 0 {
		k.tellDemand(now)
		offers := k.table.Offers(now, name)
		if len(offers) == 0 {
			break
		}
		item, ok := k.d.queue.Next(now, name, nil)
		if !ok || !k.d.dispatch(now, item, offers) {
			return
		}
	}
	if len(k.granted(now, name)) < len(k.d.registry.Pool(now, name)) {
		k.d.pumpShared(now, name)
	}
}

func (k *slotKeeper) tellDemand(now clock.Millis) {
	k.table.SetDemand(now, lo.Map(k.d.queue.Waiting(), func(w admission.Demand, _ int) slot.Demand {
		return slot.Demand{
			Pool: w.Pool, Tier: w.Tier, Waiting: w.Waiting,
			Deadline: w.Deadline, UrgentAt: w.UrgentAt, StarveAt: w.StarveAt,
		}
	}))
}

// granted returns the servers of a pool that need an offer of their owner.
func (k *slotKeeper) granted(now clock.Millis, pool string) []string {
	if k == nil {
		return nil
	}
	return lo.FilterMap(k.d.registry.Pool(now, pool), func(s backend.Server, _ int) (string, bool) {
		return s.Server(), k.table.Mode(now, s.Server()) == slot.ModeGranted
	})
}

// choose returns a server among the offers, or one that is shared by counts.
func (k *slotKeeper) choose(now clock.Millis, request routing.Request, offers []string) (routing.Choice, bool) {
	if len(offers) == 0 {
		request.Exclude = append(k.granted(now, request.Pool), request.Exclude...)
		return k.d.router.Choose(now, request)
	}
	return k.router.ChooseAmong(now, request, offers)
}

func (k *slotKeeper) started(now clock.Millis, j *job) {
	if k != nil {
		resumable := !j.work.onceOnly && !j.starved
		k.table.Start(now, j.work.pool, slot.Run{ID: j.work.id, Server: j.server, Tier: j.work.class.Tier(), Resumable: resumable})
	}
}

func (k *slotKeeper) ended(now clock.Millis, id string) {
	if k != nil {
		k.table.End(now, id)
	}
}

// adopted counts a stream that another connection or entry began.
func (k *slotKeeper) adopted(id, server string) {
	if k != nil {
		k.table.Adopt(slot.Run{ID: adoptedRun(id), Server: server, Tier: class.HighestTier})
	}
}

// adoptedRun differs from the request's own identifier, because the request may
// not have ended yet at this entry.
func adoptedRun(id string) string { return "adopted:" + id }

func (k *slotKeeper) describe(now clock.Millis) []slotWire {
	if k == nil {
		return nil
	}
	return lo.Map(k.table.State(now), func(s slot.ServerState, _ int) slotWire { return slotWire(s) })
}

// receive uses a message and the slots that it offers.
func (k *slotKeeper) receive(now clock.Millis, m slot.Message) {
	if k.table.Receive(now, m) {
		k.pump(now)
	}
}

// postSlots sends a message to a peer and uses its reply. A message that is lost
// is repeated by the table's interval.
func (e *Entry) postSlots(m slot.Message) {
	e.tasks.Go(func() {
		reply, err := e.exchangeSlots(m)
		if err != nil && e.ctx.Err() == nil {
			e.options.Logger.Log(event.PeerUnreachable, zap.String("entry", m.To), zap.Error(err))
		}
		e.dispatcher.send(e.ctx, func(now clock.Millis) {
			k := e.dispatcher.slots
			delete(k.busy, m.To)
			if err == nil {
				k.table.Receive(now, reply)
			}
			k.pump(now)
		})
	})
}

func (e *Entry) exchangeSlots(m slot.Message) (slot.Message, error) {
	peer, ok := lo.Find(e.leases.entries(), func(l lease.Entry) bool { return l.Name == m.To })
	if !ok {
		return slot.Message{}, errors.Errorf("entry %q holds no lease", m.To)
	}
	body, err := slot.Encode(m)
	if err != nil {
		return slot.Message{}, err
	}
	ctx, cancel := context.WithTimeout(e.ctx, slotsTimeout.Duration())
	defer cancel()
	answer, err := e.client.Call(ctx, e.peerRequest(peer.Address, slotsPath, body))
	if err != nil {
		return slot.Message{}, err
	}
	if answer.Status != fasthttp.StatusOK {
		return slot.Message{}, errors.Errorf("status %d", answer.Status)
	}
	return slot.Decode(answer.Body)
}

// slotMessage serves POST /peer/v1/slots.
func (e *Entry) slotMessage(c fiber.Ctx) error {
	m, err := slot.Decode(c.BodyRaw())
	if err != nil {
		e.options.Logger.Log(event.MessageMalformed, zap.String("address", c.IP()), zap.Error(err))
		return invalid(outcome.ReasonInvalidRequest, "", err.Error()).write(c)
	}
	k := e.dispatcher.slots
	if k == nil || m.To != e.options.Name {
		return notFound(outcome.ReasonInvalidRequest, "to", "this entry hands out no slots to "+m.To).write(c)
	}
	reply, p := ask(e, func(now clock.Millis) slot.Message {
		k.receive(now, m)
		return k.table.Reply(now, m.From)
	})
	if p != nil {
		return p.write(c)
	}
	return sendEncoded(c)(slot.Encode(reply))
}
