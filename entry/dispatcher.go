package entry

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/routing"
	"github.com/galenaslip/galenaslip/withdrawal"
)

const (
	// inboxSize is the capacity of the dispatcher's inbox. When it is full, new
	// requests are refused and announcements are dropped; senders of messages about
	// accepted requests wait.
	inboxSize = 4096
	// tickInterval is how often the dispatcher checks for changes that no message
	// reports, such as servers whose announcements have become too old.
	tickInterval = 100 * clock.Millisecond
	// inboxFullRetry is the Retry-After value sent when the inbox is full.
	inboxFullRetry = 1 * clock.Second
)

// dispatcher queues requests and assigns them to backend servers. Only its goroutine
// may use the fields from registry to withdrawals; the atomic fields after them are
// read by other goroutines.
type dispatcher struct {
	options       Options
	leases        *leaseKeeper
	startedAt     clock.Millis
	inbox         chan func(now clock.Millis)
	registry      *backend.Registry
	queue         queue
	router        router
	slots         *slotKeeper               // nil when slots are shared by counts only
	jobs          map[string]*job           // by request identifier
	pools         map[string]*poolState     // by pool name
	peers         map[string]*peerState     // by entry name
	resumedStream map[string]*resumedStream // by request identifier
	estimates     *estimates
	plannedStops  map[string]clock.Millis        // when each planned server stop was first seen, by its identifier
	unreachable   map[string]announcementVersion // last announcement of each unreachable server
	withdrawals   map[string]withdrawal.State    // what servers have said about not taking requests, by name
	share         shareKeeper
	limiter       *ratelimit.Limiter // its Limits may be used by other goroutines
	heldBack      []admission.Item   // items that only servers of one version can continue, none of which is free
	// demand is the demand for each model, which the lease renewal reports.
	demand       atomic.Pointer[[]lease.Demand]
	waitingCount atomic.Int64
	runningCount atomic.Int64
	leavingCount atomic.Int64 // servers that have said in an answer that they leave
	pausedCount  atomic.Int64 // servers that have asked for a pause
}

// job is the dispatcher's record of one request: whether it waits or runs, at which
// server, and how it got its slot. callerRequest is the request itself.
type job struct {
	callerRequest    *callerRequest
	running          bool
	server           string              // server of the present or last attempt
	started          clock.Millis        // when the present or last attempt was assigned
	byStarvationRule bool                // got its slot by the starvation rule, so it is not preempted
	wasSent          bool                // was sent to a server at least once
	interrupted      bool                // the present attempt was interrupted and will end soon
	excluded         []string            // servers where an attempt failed
	origin           continuation.Origin // of the server of the present or last attempt
	begun            bool                // tokens have come from a server of origin, so the answer goes on only there
}

// poolState is the dispatcher's state of one pool.
type poolState struct {
	waiting    *jobSet
	running    *jobSet
	hadServer  bool         // whether the pool has ever had a usable server
	lastUsable clock.Millis // last time at which the pool had a usable server
	// lastRefused holds, for each tier, when a request was last refused for lack of a
	// server.
	lastRefused map[class.Tier]clock.Millis
}

func newDispatcher(options Options, leases *leaseKeeper, epoch uint64) *dispatcher {
	registry := backend.New(backend.Options{Entry: options.Name, Epoch: epoch})
	d := &dispatcher{
		options:       options,
		leases:        leases,
		startedAt:     options.Clock.Now(),
		inbox:         make(chan func(clock.Millis), inboxSize),
		registry:      registry,
		jobs:          map[string]*job{},
		pools:         map[string]*poolState{},
		peers:         map[string]*peerState{},
		resumedStream: map[string]*resumedStream{},
		estimates:     newEstimates(),
		plannedStops:  map[string]clock.Millis{},
		unreachable:   map[string]announcementVersion{},
		withdrawals:   map[string]withdrawal.State{},
		limiter:       ratelimit.NewLimiter(ratelimit.NewLimits()),
	}
	d.queue, d.router = newPolicy(options, registry, d.estimates)
	d.slots = newSlotKeeper(d, epoch)
	d.demand.Store(&[]lease.Demand{})
	return d
}

// run handles messages and ticks until ctx ends. It reads the time after each wait,
// so that handlers get the present time.
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

// trySend sends a message to the dispatcher's goroutine. It returns false when the
// inbox is full.
func (d *dispatcher) trySend(handle func(now clock.Millis)) bool {
	select {
	case d.inbox <- handle:
		return true
	default:
		return false
	}
}

// send sends a message about an accepted request to the dispatcher's goroutine. It waits
// while the inbox is full, until ctx ends.
func (d *dispatcher) send(ctx context.Context, handle func(now clock.Millis)) {
	select {
	case d.inbox <- handle:
	case <-ctx.Done():
	}
}

// runInDispatcher sends handle to the dispatcher's goroutine, which runs it later.
func (e *Entry) runInDispatcher(handle func(d *dispatcher, now clock.Millis)) {
	e.dispatcher.send(e.ctx, func(now clock.Millis) { handle(e.dispatcher, now) })
}

// submit passes a new request to the dispatcher. The decision arrives in r.assigned.
func (e *Entry) submit(r *callerRequest) *problem {
	d := e.dispatcher
	if d.trySend(func(now clock.Millis) { d.admit(now, r) }) {
		return nil
	}
	e.metrics.refusedInboxFull.Inc()
	return shed(outcome.ReasonOverloaded, "the entry is overloaded", inboxFullRetry).withStatus(503)
}

// admit queues a new request, or sends to r.assigned the reason why it cannot be queued.
func (d *dispatcher) admit(now clock.Millis, r *callerRequest) {
	if p := d.admissionProblem(now, r); p != nil {
		r.assigned <- assignment{rejection: p}
		return
	}
	offer := d.queue.Offer(now, r.item())
	for _, item := range offer.Shed {
		d.shed(now, item)
	}
	if !offer.Accepted {
		r.assigned <- assignment{rejection: offerProblem(offer)}
		return
	}
	j := &job{callerRequest: r}
	d.jobs[r.id] = j
	d.pool(r.pool).waiting.add(j)
	d.dispatchWaiting(now, r.pool)
}

// admissionProblem returns the reason why a request is refused before it reaches the
// queue, or nil.
func (d *dispatcher) admissionProblem(now clock.Millis, r *callerRequest) *problem {
	if _, ok := d.jobs[r.id]; ok {
		return invalid(outcome.ReasonInvalidRequest, "X-Request-Id", "a request with this identifier is running")
	}
	if d.poolExists(now, r.pool) {
		return nil
	}
	if now-d.startedAt < discoveryTime {
		return notRun(outcome.ReasonNoServer, "the entry has just started and does not know the servers yet")
	}
	return unknownPool(r.pool)
}

// offerProblem describes to the caller why the queue did not accept its request.
func offerProblem(offer admission.Offer) *problem {
	switch offer.Reason {
	case outcome.ReasonTargetCannotBeMet:
		return shed(offer.Reason, "the target cannot be met", offer.RetryAfter)
	case outcome.ReasonShed:
		return shed(offer.Reason, "the queue is full", offer.RetryAfter)
	}
	return invalid(offer.Reason, "", "the request cannot be queued")
}

// shed refuses a waiting request that the queue has dropped to make room for one of a
// higher tier.
func (d *dispatcher) shed(now clock.Millis, item admission.Item) {
	j, ok := d.jobs[item.ID]
	if !ok {
		return
	}
	retryAfter := d.queue.RetryAfter(now, item)
	d.dropJob(j)
	j.callerRequest.assigned <- assignment{rejection: shed(outcome.ReasonShed, "work of a higher tier needs the place", retryAfter)}
}

// dropJob removes a job from all indexes.
func (d *dispatcher) dropJob(j *job) {
	delete(d.jobs, j.callerRequest.id)
	p := d.pool(j.callerRequest.pool)
	p.waiting.remove(j)
	p.running.remove(j)
}

// withdraw drops a request whose caller has disconnected. The request may be queued or
// may just have been assigned to a server.
func (d *dispatcher) withdraw(now clock.Millis, r *callerRequest) {
	j, ok := d.job(r)
	if !ok {
		return
	}
	d.queue.Remove(r.id)
	d.finishJob(now, j, routing.Cancelled)
}

// job returns the job of this request. It does not return the job of another request
// with the same identifier.
func (d *dispatcher) job(r *callerRequest) (*job, bool) {
	j, ok := d.jobs[r.id]
	return j, ok && j.callerRequest == r
}

// finishRequest records the end of a request, if the dispatcher still knows it.
func (d *dispatcher) finishRequest(now clock.Millis, r *callerRequest, result routing.Result) {
	if j, ok := d.job(r); ok {
		d.finishJob(now, j, result)
	}
}

// finishJob releases the slot of a job, removes the job and dispatches waiting
// requests.
func (d *dispatcher) finishJob(now clock.Millis, j *job, result routing.Result) {
	d.slots.ended(now, j.callerRequest.id)
	if j.running {
		d.router.RecordProgress(now, j.callerRequest.id, int(j.callerRequest.producedTokens.Load()))
		d.router.RecordFinished(now, j.callerRequest.id, result)
		if result == routing.Completed {
			d.estimates.update(now, j.callerRequest, j.started)
		}
	}
	d.dropJob(j)
	d.dispatchWaiting(now, j.callerRequest.pool)
}

// requeue queues a request again after an attempt that did not complete it. When the
// attempt failed, its server is excluded from the next attempt.
func (d *dispatcher) requeue(now clock.Millis, r *callerRequest, result routing.Result) {
	j, ok := d.job(r)
	if !ok || !j.running {
		return
	}
	d.router.RecordProgress(now, r.id, int(r.producedTokens.Load()))
	d.router.RecordFinished(now, r.id, result)
	d.slots.ended(now, r.id)
	if result == routing.Failed {
		j.excluded = append(j.excluded, j.server)
	}
	j.running, j.interrupted, j.wasSent = false, false, true
	j.begun = j.begun || r.producedTokens.Load() > 0
	p := d.pool(r.pool)
	p.running.remove(j)
	p.waiting.add(j)
	d.queue.Requeue(now, r.item())
	d.dispatchWaiting(now, r.pool)
}

// dispatchWaiting assigns waiting requests of a pool to free slots. With slot leases
// it does so for all pools.
func (d *dispatcher) dispatchWaiting(now clock.Millis, name string) {
	if d.slots != nil {
		d.slots.dispatchWaiting(now)
		return
	}
	d.dispatchByCounts(now, name)
}

// dispatchByCounts assigns waiting requests of a pool to the slots that are free
// according to the counts that entries exchange in their digests.
func (d *dispatcher) dispatchByCounts(now clock.Millis, name string) {
	p := d.pool(name)
	if p.waiting.len() == 0 {
		return
	}
	defer d.requeueHeldBack(now)
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

// dispatch assigns a queued item to a server. When offers is not empty, only the
// servers in it are considered. It returns false, and queues the item again, when
// there is no suitable server. An item that only servers of one version can continue is
// held back instead, so that the others do not wait for it; see requeueHeldBack.
func (d *dispatcher) dispatch(now clock.Millis, item admission.Item, offers []string) bool {
	j, ok := d.jobs[item.ID]
	if !ok {
		return true
	}
	if !j.wasSent && !d.leases.valid() {
		d.dropJob(j)
		j.callerRequest.assigned <- assignment{rejection: noLease()}
		return true
	}
	unusable, _ := d.limitedServers(now, item.Pool)
	beginsAnew := j.begun && d.originGone(now, j)
	switch {
	case beginsAnew && j.callerRequest.streamed:
		d.rejectWithoutOrigin(j)
		return true
	case beginsAnew:
		j.begun = false // the caller has nothing of the answer yet
	case j.begun:
		unusable = append(unusable, d.serversOfOtherOrigins(now, j)...)
	}
	request := j.callerRequest.request(slices.Concat(j.excluded, unusable))
	choice, ok := d.choose(now, j, request, offers, unusable)
	switch {
	case !ok && j.begun:
		d.heldBack = append(d.heldBack, item)
		return true
	case !ok:
		d.queue.Requeue(now, item)
		return false
	}
	server := choice.Server.Server()
	if !j.begun {
		j.origin = continuation.Origin{Service: item.Pool, Version: choice.Server.Version()}
	}
	d.router.RecordSent(now, request, server)
	d.limiter.Take(now, limitRun(server, choice.Server.Incarnation()), item.Pool, ratelimit.Urgency{})
	j.running, j.server, j.started, j.byStarvationRule = true, server, now, item.ByStarvationRule
	d.slots.started(now, j)
	p := d.pool(item.Pool)
	p.waiting.remove(j)
	p.running.add(j)
	j.callerRequest.assigned <- assignment{
		server: server, incarnation: choice.Server.Incarnation(), address: choice.Server.Address(), version: choice.Server.Version(),
		priority: choice.Priority, assignedAt: now, beginsAnew: beginsAnew,
	}
	return true
}

// choose selects a server for a job. Servers on which the job failed before are used
// only when there are no others. Unusable servers, which the request excludes too, are not used.
func (d *dispatcher) choose(now clock.Millis, j *job, request routing.Request, offers, unusable []string) (routing.Choice, bool) {
	choose := d.router.Choose
	if d.slots != nil {
		choose = func(now clock.Millis, r routing.Request) (routing.Choice, bool) {
			return d.slots.choose(now, r, offers)
		}
	}
	choice, ok := choose(now, request)
	if ok || len(j.excluded) == 0 {
		return choice, ok
	}
	j.excluded = nil
	request.Exclude = unusable
	return choose(now, request)
}

// preempt interrupts one running request of a pool when a request of a higher tier
// waits and the queue decides that it needs the slot.
func (d *dispatcher) preempt(now clock.Millis, name string) {
	p := d.pool(name)
	if !p.waiting.outranks(p.running) {
		return
	}
	running := make([]admission.RunningRequest, 0, p.running.len())
	for _, j := range p.running.jobs {
		running = append(running, j.runningItem())
	}
	id, ok := d.queue.Preempt(now, name, running)
	if !ok {
		return
	}
	if j, ok := d.jobs[id]; ok {
		d.interrupt(j, preempted)
	}
}

// interrupt ends the running attempt of a job, once.
func (d *dispatcher) interrupt(j *job, reason interruption) {
	if !j.interrupted {
		j.interrupted = true
		j.callerRequest.interrupts.trigger(reason)
	}
}

// runningItem describes a running job to the queue, which selects one to preempt.
func (j *job) runningItem() admission.RunningRequest {
	return admission.RunningRequest{
		ID:               j.callerRequest.id,
		Class:            j.callerRequest.class,
		Started:          j.started,
		ProducedTokens:   int(j.callerRequest.producedTokens.Load()),
		Resumable:        !j.callerRequest.onceOnly,
		OnceOnly:         j.callerRequest.onceOnly,
		ByStarvationRule: j.byStarvationRule,
		Server:           j.server,
	}
}
