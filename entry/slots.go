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
	// slotMessageTimeout bounds one exchange of slot messages. It is short enough for several
	// attempts within slot.EntryLossTimeout, after which a silent entry counts as lost.
	slotMessageTimeout = 500 * clock.Millisecond
)

// slotLeaseRouter is implemented by routers that can choose among given servers, as slot
// leases require.
type slotLeaseRouter interface {
	CanStart(now clock.Millis, server string) bool
	ChooseAmong(now clock.Millis, request routing.Request, servers []string) (routing.Choice, bool)
}

// slotKeeper exchanges slot messages with the owners of servers, which grant slots to
// entries. Only the dispatcher's goroutine may use it. It is nil without slot leases;
// slots are then shared by counts: each entry subtracts the running requests that its
// peers report in their digests.
type slotKeeper struct {
	parent      *dispatcher
	table       *slot.Table
	router      slotLeaseRouter
	inFlight    map[string]bool // peers with a message in flight; at most one per peer
	sendMessage func(m slot.Message)
}

// newSlotKeeper returns nil when slots are shared by counts only, because
// Options.SlotLeases is off or the policy's router does not support slot leases.
func newSlotKeeper(parent *dispatcher, incarnation uint64) *slotKeeper {
	router, ok := parent.router.(slotLeaseRouter)
	if !ok || !parent.options.SlotLeases {
		return nil
	}
	return &slotKeeper{
		parent: parent, router: router, inFlight: map[string]bool{},
		table: slot.New(slot.Options{Entry: parent.options.Name, Incarnation: incarnation}),
	}
}

// refresh updates the table with the present servers and entries, and dispatches
// waiting requests.
func (k *slotKeeper) refresh(now clock.Millis) {
	if k == nil {
		return
	}
	servers := lo.FilterMap(k.parent.registry.Servers(now), func(s backend.Server, _ int) (slot.Server, bool) {
		slots := lo.Ternary(k.router.CanStart(now, s.Server()), s.Slots(), 0)
		return slot.Server{Name: s.Server(), Slots: slots, Pools: s.Pools()}, s.Usable
	})
	var names []string
	if k.parent.leases.valid() {
		names = lo.Map(k.parent.leases.entries(), func(e lease.Entry, _ int) string { return e.Name })
	}
	k.table.SetServers(now, servers)
	k.table.SetEntries(now, names)
	k.dispatchWaiting(now)
}

// dispatchWaiting assigns the waiting requests of every pool, interrupts requests whose
// slots the table needs back, and sends the messages that are due to peers.
func (k *slotKeeper) dispatchWaiting(now clock.Millis) {
	for name, p := range k.parent.pools {
		if p.waiting.len() > 0 {
			k.dispatchPool(now, name, p)
		}
	}
	k.updateDemand(now)
	for _, id := range k.table.TakeRequestsToStop() {
		if j, ok := k.parent.jobs[id]; ok && j.running {
			k.parent.interrupt(j, preempted)
		}
	}
	for _, m := range k.table.DueMessagesExcept(now, k.inFlight) {
		k.inFlight[m.To] = true
		k.sendMessage(m)
	}
}

// dispatchPool assigns the waiting requests of a pool to the slots that owners have
// offered, and then to servers that are shared by counts.
func (k *slotKeeper) dispatchPool(now clock.Millis, name string, p *poolState) {
	defer k.parent.requeueHeldBack(now)
	for p.waiting.len() > 0 {
		k.updateDemand(now)
		offers := k.table.Offers(now, name)
		if len(offers) == 0 {
			break
		}
		item, ok := k.parent.queue.Next(now, name, nil)
		if !ok || !k.parent.dispatch(now, item, offers) {
			return
		}
	}
	if len(k.grantedServers(now, name)) < len(k.parent.registry.Pool(now, name)) {
		k.parent.dispatchByCounts(now, name)
	}
}

// updateDemand tells the slot table how many requests wait, by pool and tier, and their
// deadlines.
func (k *slotKeeper) updateDemand(now clock.Millis) {
	k.table.SetDemand(now, lo.Map(k.parent.queue.Waiting(), func(w admission.Demand, _ int) slot.Demand {
		return slot.Demand{
			Pool: w.Pool, Tier: w.Tier, Waiting: w.Waiting,
			Deadline: w.Deadline, UrgentAt: w.UrgentAt, StarvesAt: w.StarvesAt,
		}
	}))
}

// grantedServers returns the servers of a pool that may be used only with an offer from
// their owner.
func (k *slotKeeper) grantedServers(now clock.Millis, pool string) []string {
	if k == nil {
		return nil
	}
	return lo.FilterMap(k.parent.registry.Pool(now, pool), func(s backend.Server, _ int) (string, bool) {
		return s.Server(), k.table.Mode(now, s.Server()) == slot.ModeGranted
	})
}

// choose selects one of the servers in offers. Without offers it selects a server that
// is shared by counts.
func (k *slotKeeper) choose(now clock.Millis, request routing.Request, offers []string) (routing.Choice, bool) {
	if len(offers) == 0 {
		request.Exclude = append(k.grantedServers(now, request.Pool), request.Exclude...)
		return k.parent.router.Choose(now, request)
	}
	return k.router.ChooseAmong(now, request, offers)
}

// started records that a job uses a slot of its server.
func (k *slotKeeper) started(now clock.Millis, j *job) {
	if k != nil {
		resumable := !j.callerRequest.onceOnly && !j.byStarvationRule
		k.table.Start(now, j.callerRequest.pool, slot.Run{ID: j.callerRequest.id, Server: j.server, Tier: j.callerRequest.class.Tier(), Resumable: resumable})
	}
}

// ended records that a request no longer uses its slot.
func (k *slotKeeper) ended(now clock.Millis, id string) {
	if k != nil {
		k.table.End(now, id)
	}
}

// resumedStream records the slot of a stream that was resumed at this entry. It is recorded
// with the highest tier and as not resumable, because this entry could not continue it
// after a preemption.
func (k *slotKeeper) resumedStream(id, server string) {
	if k != nil {
		k.table.RecordRunning(slot.Run{ID: resumedRunID(id), Server: server, Tier: class.HighestTier})
	}
}

// resumedRunID returns the table's identifier for a resumed stream. It differs from the
// request identifier, under which the first run may still be recorded at this entry.
func resumedRunID(id string) string { return "adopted:" + id }

func (k *slotKeeper) describe(now clock.Millis) []wireSlot {
	if k == nil {
		return nil
	}
	return lo.Map(k.table.State(now), func(s slot.ServerState, _ int) wireSlot { return wireSlot(s) })
}

// receive applies a message from a peer and uses the slots that it offers.
func (k *slotKeeper) receive(now clock.Millis, m slot.Message) {
	if k.table.Receive(now, m) {
		k.dispatchWaiting(now)
	}
}

// sendSlotMessage sends a message to a peer in the background and applies the reply. A
// message that is lost is not sent again here: the table sends the next one after its
// regular interval.
func (e *Entry) sendSlotMessage(m slot.Message) {
	e.tasks.Go(func() {
		reply, err := e.exchangeSlotMessage(m)
		if err != nil && e.ctx.Err() == nil {
			e.options.Logger.Log(event.PeerUnreachable, zap.String("entry", m.To), zap.Error(err))
		}
		e.dispatcher.send(e.ctx, func(now clock.Millis) {
			k := e.dispatcher.slots
			delete(k.inFlight, m.To)
			if err == nil {
				k.table.Receive(now, reply)
			}
			k.dispatchWaiting(now)
		})
	})
}

// exchangeSlotMessage sends a message to a peer and returns the reply.
func (e *Entry) exchangeSlotMessage(m slot.Message) (slot.Message, error) {
	peer, ok := lo.Find(e.leases.entries(), func(l lease.Entry) bool { return l.Name == m.To })
	if !ok {
		return slot.Message{}, errors.Errorf("entry %q holds no lease", m.To)
	}
	body, err := slot.Encode(m)
	if err != nil {
		return slot.Message{}, err
	}
	ctx, cancel := context.WithTimeout(e.ctx, slotMessageTimeout.Duration())
	defer cancel()
	answer, err := e.client.Call(ctx, e.peerRequest(peer.Address, slotsPath, body))
	if err != nil {
		return slot.Message{}, err
	}
	if answer.Status != fasthttp.StatusOK {
		return slot.Message{}, errors.Errorf("peer answered with status %d", answer.Status)
	}
	return slot.Decode(answer.Body)
}

// handleSlotMessage serves POST /peer/v1/slots.
func (e *Entry) handleSlotMessage(c fiber.Ctx) error {
	m, err := slot.Decode(c.BodyRaw())
	if err != nil {
		e.options.Logger.Log(event.MessageMalformed, zap.String("address", c.IP()), zap.Error(err))
		return invalid(outcome.ReasonInvalidRequest, "", err.Error()).write(c)
	}
	k := e.dispatcher.slots
	if k == nil || m.To != e.options.Name {
		return notFound(outcome.ReasonInvalidRequest, "to", "this entry hands out no slots to "+m.To).write(c)
	}
	reply, p := queryDispatcher(e, func(now clock.Millis) slot.Message {
		k.receive(now, m)
		return k.table.Reply(now, m.From)
	})
	if p != nil {
		return p.write(c)
	}
	return sendEncoded(c)(slot.Encode(reply))
}
