package entry

import (
	"context"
	"sync/atomic"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/routing"
)

const (
	// inboxSize is the capacity of the dispatcher's inbox. When it is full, new
	// requests are refused and announcements are dropped; messages about
	// accepted work wait.
	inboxSize = 4096
	// tickInterval is how often the dispatcher looks at what time alone changes.
	tickInterval = 100 * clock.Millisecond
	// retryFull is the retry time when the inbox is full.
	retryFull = 1 * clock.Second
)

// dispatcher owns queue, registry and router. Only its goroutine touches the
// fields below inbox.
type dispatcher struct {
	options   Options
	leases    *leaseKeeper
	began     clock.Millis
	inbox     chan func(now clock.Millis)
	registry  *backend.Registry
	queue     queue
	router    router
	slots     *slotKeeper // nil shares slots by counts only
	jobs      map[string]*job
	pools     map[string]*poolState
	peers     map[string]*peerState
	adopted   map[string]*adopted
	estimates *estimates
	stops     map[string]clock.Millis
	unreached map[string]announced
	// demand is what waits for models, for the lease renewal.
	demand       atomic.Pointer[[]lease.Demand]
	waitingCount atomic.Int64
	runningCount atomic.Int64
}

// job is what the dispatcher keeps of a request.
type job struct {
	work     *work
	running  bool
	server   string
	started  clock.Millis
	starved  bool
	begun    bool // was sent to a server at least once
	leaving  bool // was interrupted and will end soon
	excluded []string
}

// poolState holds the jobs of a pool.
type poolState struct {
	waiting *jobSet
	running *jobSet
	served  bool         // had a usable server at some time
	since   clock.Millis // start of the present time without a usable server
	// missed is when a request of a tier was last refused for lack of a server.
	missed map[class.Tier]clock.Millis
}

func newDispatcher(options Options, leases *leaseKeeper, epoch uint64) *dispatcher {
	registry := backend.New(backend.Options{Entry: options.Name, Epoch: epoch})
	d := &dispatcher{
		options:   options,
		leases:    leases,
		began:     options.Clock.Now(),
		inbox:     make(chan func(clock.Millis), inboxSize),
		registry:  registry,
		jobs:      map[string]*job{},
		pools:     map[string]*poolState{},
		peers:     map[string]*peerState{},
		adopted:   map[string]*adopted{},
		estimates: newEstimates(),
		stops:     map[string]clock.Millis{},
		unreached: map[string]announced{},
	}
	d.queue, d.router = newPolicy(options, registry, d.estimates)
	d.slots = newSlotKeeper(d, epoch)
	d.demand.Store(&[]lease.Demand{})
	return d
}

// run handles messages until ctx ends. The time is read after each wait.
func (d *dispatcher) run(ctx context.Context) {
	tick, release := d.options.Clock.After(tickInterval)
	defer func() { release() }()
	for {
		select {
		case handle := <-d.inbox:
			handle(d.options.Clock.Now())
		case <-tick:
			d.tick(d.options.Clock.Now())
			tick, release = d.options.Clock.After(tickInterval)
		case <-ctx.Done():
			return
		}
	}
}

// offer passes on a message that may be dropped when the inbox is full.
func (d *dispatcher) offer(handle func(now clock.Millis)) bool {
	select {
	case d.inbox <- handle:
		return true
	default:
		return false
	}
}

// send passes on a message about accepted work. It waits for room.
func (d *dispatcher) send(ctx context.Context, handle func(now clock.Millis)) {
	select {
	case d.inbox <- handle:
	case <-ctx.Done():
	}
}

// tell passes a message about accepted work to the dispatcher.
func (e *Entry) tell(f func(d *dispatcher, now clock.Millis)) {
	e.dispatcher.send(e.ctx, func(now clock.Millis) { f(e.dispatcher, now) })
}

// submit queues new work. The decision arrives at w.assigned.
func (e *Entry) submit(w *work) *problem {
	d := e.dispatcher
	if d.offer(func(now clock.Millis) { d.admit(now, w) }) {
		return nil
	}
	e.metrics.refused.Inc()
	return shed(outcome.ReasonOverloaded, "the entry is overloaded", retryFull).withStatus(503)
}

func (d *dispatcher) admit(now clock.Millis, w *work) {
	if p := d.refusal(now, w); p != nil {
		w.assigned <- assignment{refused: p}
		return
	}
	offer := d.queue.Offer(now, w.item())
	for _, item := range offer.Shed {
		d.shed(now, item)
	}
	if !offer.Accepted {
		w.assigned <- assignment{refused: refusedOffer(offer)}
		return
	}
	j := &job{work: w}
	d.jobs[w.id] = j
	d.pool(w.pool).waiting.add(j)
	d.pump(now, w.pool)
}

func (d *dispatcher) refusal(now clock.Millis, w *work) *problem {
	if _, ok := d.jobs[w.id]; ok {
		return invalid(outcome.ReasonInvalidRequest, "X-Request-Id", "a request with this identifier is running")
	}
	if d.known(now, w.pool) {
		return nil
	}
	if now-d.began < learnTime {
		return notRun(outcome.ReasonNoServer, "the entry has just started and does not know the servers yet")
	}
	return unknownPool(w.pool)
}

func refusedOffer(offer admission.Offer) *problem {
	switch offer.Reason {
	case outcome.ReasonTargetCannotBeMet:
		return shed(offer.Reason, "the target cannot be met", offer.RetryAfter)
	case outcome.ReasonShed:
		return shed(offer.Reason, "the queue is full", offer.RetryAfter)
	}
	return invalid(offer.Reason, "", "the request cannot be queued")
}

func (d *dispatcher) shed(now clock.Millis, item admission.Item) {
	j, ok := d.jobs[item.ID]
	if !ok {
		return
	}
	retryAfter := d.queue.RetryAfter(now, item)
	d.forget(j)
	j.work.assigned <- assignment{refused: shed(outcome.ReasonShed, "work of a higher tier needs the place", retryAfter)}
}

// forget drops a job from all indexes.
func (d *dispatcher) forget(j *job) {
	delete(d.jobs, j.work.id)
	p := d.pool(j.work.pool)
	p.waiting.remove(j)
	p.running.remove(j)
}

// withdraw drops work whose caller has gone. It may be queued or just assigned.
func (d *dispatcher) withdraw(now clock.Millis, w *work) {
	j, ok := d.job(w)
	if !ok {
		return
	}
	d.queue.Remove(w.id)
	d.finish(now, j, routing.Cancelled)
}

// job returns the job of work, and not that of other work with its identifier.
func (d *dispatcher) job(w *work) (*job, bool) {
	j, ok := d.jobs[w.id]
	return j, ok && j.work == w
}

// finished records the end of work.
func (d *dispatcher) finished(now clock.Millis, w *work, result routing.Result) {
	if j, ok := d.job(w); ok {
		d.finish(now, j, result)
	}
}

func (d *dispatcher) finish(now clock.Millis, j *job, result routing.Result) {
	d.slots.ended(now, j.work.id)
	if j.running {
		d.router.RecordProgress(now, j.work.id, int(j.work.produced.Load()))
		d.router.RecordFinished(now, j.work.id, result)
		if result == routing.Completed {
			d.estimates.learn(now, j.work, j.started)
		}
	}
	d.forget(j)
	d.pump(now, j.work.pool)
}

// again queues work once more after an attempt that did not complete it. The
// server is avoided when the attempt failed there.
func (d *dispatcher) again(now clock.Millis, w *work, result routing.Result) {
	j, ok := d.job(w)
	if !ok || !j.running {
		return
	}
	d.router.RecordProgress(now, w.id, int(w.produced.Load()))
	d.router.RecordFinished(now, w.id, result)
	d.slots.ended(now, w.id)
	if result == routing.Failed {
		j.excluded = append(j.excluded, j.server)
	}
	j.running, j.leaving, j.begun = false, false, true
	p := d.pool(w.pool)
	p.running.remove(j)
	p.waiting.add(j)
	d.queue.Requeue(now, w.item())
	d.pump(now, w.pool)
}

// pump hands out free slots of a pool.
func (d *dispatcher) pump(now clock.Millis, name string) {
	if d.slots != nil {
		d.slots.pump(now)
		return
	}
	d.pumpShared(now, name)
}

// pumpShared hands out the slots that are free by shared counts.
func (d *dispatcher) pumpShared(now clock.Millis, name string) {
	p := d.pool(name)
	if p.waiting.len() == 0 {
		return
	}
	peers := d.demands(now)
	for p.waiting.len() > 0 {
		free := d.router.FreeSlots(now, name)
		if free == 0 {
			d.preempt(now, name)
			return
		}
		d.queue.SetFreeSlots(name, free)
		item, ok := d.queue.Next(now, name, peers)
		if !ok {
			return
		}
		if !d.dispatch(now, item, nil) {
			return
		}
	}
}

// dispatch passes an item on, to one of the servers that offer a slot if there
// are any. It returns false when no server takes it.
func (d *dispatcher) dispatch(now clock.Millis, item admission.Item, offers []string) bool {
	j, ok := d.jobs[item.ID]
	if !ok {
		return true
	}
	if !j.begun && !d.leases.valid() {
		d.forget(j)
		j.work.assigned <- assignment{refused: noLease()}
		return true
	}
	request := j.work.request(j.excluded)
	choice, ok := d.choose(now, j, request, offers)
	if !ok {
		d.queue.Requeue(now, item)
		return false
	}
	server := choice.Server.Server()
	d.router.RecordSent(now, request, server)
	j.running, j.server, j.started, j.starved = true, server, now, item.ByStarvationRule
	d.slots.started(now, j)
	p := d.pool(item.Pool)
	p.waiting.remove(j)
	p.running.add(j)
	j.work.assigned <- assignment{server: server, address: choice.Server.Address(), priority: choice.Priority, at: now}
	return true
}

// choose falls back to the servers that failed before when there are no others.
func (d *dispatcher) choose(now clock.Millis, j *job, request routing.Request, offers []string) (routing.Choice, bool) {
	choose := d.router.Choose
	if d.slots != nil {
		choose = func(now clock.Millis, r routing.Request) (routing.Choice, bool) {
			return d.slots.choose(now, r, offers)
		}
	}
	choice, ok := choose(now, request)
	if ok || len(request.Exclude) == 0 {
		return choice, ok
	}
	j.excluded = nil
	request.Exclude = nil
	return choose(now, request)
}

// preempt takes a slot back for waiting work of a higher tier.
func (d *dispatcher) preempt(now clock.Millis, name string) {
	p := d.pool(name)
	if !p.waiting.outranks(p.running) {
		return
	}
	running := make([]admission.Running, 0, p.running.len())
	for _, j := range p.running.jobs {
		running = append(running, j.admitted())
	}
	id, ok := d.queue.Preempt(now, name, running)
	if !ok {
		return
	}
	if j, ok := d.jobs[id]; ok {
		d.interrupt(j, preempted)
	}
}

func (d *dispatcher) interrupt(j *job, reason interruption) {
	if !j.leaving {
		j.leaving = true
		j.work.stop.fire(reason)
	}
}

func (j *job) admitted() admission.Running {
	return admission.Running{
		ID:               j.work.id,
		Class:            j.work.class,
		Started:          j.started,
		ProducedTokens:   int(j.work.produced.Load()),
		Resumable:        !j.work.onceOnly,
		OnceOnly:         j.work.onceOnly,
		ByStarvationRule: j.starved,
		Server:           j.server,
	}
}
