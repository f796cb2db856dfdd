package relay

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/forecast"
	"github.com/galenaslip/galenaslip/memory"
	"github.com/galenaslip/galenaslip/metering"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/retry"
)

// defaultLimits apply until the first catalog is loaded and where a catalog sets no
// limit.
var defaultLimits = catalog.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * clock.Second, IdleTimeout: 15 * clock.Second,
}

const (
	// loadBalancerWait is how long a stopping relay still accepts connections. It covers
	// two failed readiness checks of the load balancer and the connections that are
	// being opened meanwhile.
	loadBalancerWait = 2500 * clock.Millisecond
	// stopTimeReserve is the part of the grace period that Stop leaves unused, so that the
	// process exits by itself in time.
	stopTimeReserve = 400 * clock.Millisecond
	// stopInterval is the time between two checks of the connections during a stop, and
	// the pause after a connection could not be accepted.
	stopInterval = 20 * clock.Millisecond
	// denialFreshness is how recently the leader must have confirmed the catalog for a request
	// to be denied by it: a newer one may have the route or the key.
	denialFreshness = 1500 * clock.Millisecond
	// defaultMessageMemory is the default of Options.MessageMemory.
	defaultMessageMemory = 64 << 20
	// periodicCheckInterval is the time between two calls of runPeriodicChecks.
	periodicCheckInterval = 250 * clock.Millisecond
	// retryRefusalLogInterval is the shortest time between two log lines about retries that the
	// budget refuses.
	retryRefusalLogInterval = 1 * clock.Second
)

// Options are the settings of a Relay.
type Options struct {
	Name             string
	AvailabilityZone string
	Listen           string // address to listen on, host:port
	Protocol         Protocol
	Format           catalog.Format
	Clock            clock.Clock
	Logger           event.Logger
	// Lease is how long requests with API keys are accepted after the control leader has
	// confirmed that the catalog is the newest one.
	Lease clock.Millis
	// Grace is the longest time that a planned stop may take.
	Grace clock.Millis
	Retry retry.Limits
	// Quarantine holds what all relays know about parts of prompts that end servers; an empty
	// one is used when nil.
	Quarantine *quarantine.Quarantine
	// Limits holds the limits that servers have named to any relay; an empty set is used when nil.
	Limits *ratelimit.Limits
	// StreamOrigins holds the origins of streams; when nil, the relay knows those of its own streams
	// alone.
	StreamOrigins StreamOrigins
	// Usage counts the requests of workspaces that servers began to run; they are not counted when nil.
	Usage *metering.Book
	// MessageMemory bounds the memory of all messages that are held at the same time, in bytes;
	// defaultMessageMemory when 0.
	MessageMemory int
}

// Relay is a running relay. Its exported methods are safe for concurrent use.
type Relay struct {
	options  Options
	clock    clock.Clock
	listener net.Listener
	fleet    *fleet
	budget   *retry.SharedBudget
	// retryRefusals logs retries that the budget refuses.
	retryRefusals *event.Limiter
	// unknownLoads logs load reports of servers whose form is not known in full.
	unknownLoads *event.Limiter
	catalog      atomic.Pointer[catalog.Catalog]
	leaseEnd     atomic.Int64 // end of the lease, in clock.Millis
	stopping     atomic.Bool  // a planned stop has begun, so the relay is not ready
	stopAt       atomic.Int64 // when a planned stop ends at the latest, in clock.Millis; 0 before a stop
	closing      atomic.Bool  // callers' connections are closed once they are idle
	metrics      *metrics

	durations *forecast.Durations // of requests that were answered

	quarantine    *quarantine.Quarantine
	limiter       *ratelimit.Limiter
	origins       StreamOrigins
	versions      versionTable
	messageMemory *memory.Pool  // for requests and responses
	callers       memory.Source // of requests
	acceptEnded   chan struct{} // closed when no more connections are accepted

	mu    sync.Mutex // guards conns
	conns map[*callerConn]struct{}

	// Values that runPeriodicChecks has logged last. Only runPeriodicChecks uses them.
	loggedLeased     bool
	loggedDropped    uint64
	loggedQuarantine []quarantine.Key
}

// New starts a relay, which is not ready before the first call of Update. The returned
// function ends it at once and cuts all connections.
func New(options Options) (*Relay, func(), error) {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listening on %s", options.Listen)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		options: options, clock: options.Clock, listener: listener,
		budget: retry.NewSharedBudget(options.Retry), retryRefusals: event.NewLimiter(options.Logger, retryRefusalLogInterval),
		unknownLoads: event.NewLimiter(options.Logger, unknownLoadLogInterval),
		conns:        map[*callerConn]struct{}{}, acceptEnded: make(chan struct{}),
		quarantine: options.Quarantine,
	}
	if r.quarantine == nil {
		r.quarantine = quarantine.New(quarantine.Options{Entry: options.Name})
	}
	r.messageMemory = memory.NewPool(lo.CoalesceOrEmpty(options.MessageMemory, defaultMessageMemory))
	if options.Limits == nil {
		options.Limits = ratelimit.NewLimits()
	}
	r.limiter = ratelimit.NewLimiter(options.Limits)
	r.origins = options.StreamOrigins
	if r.origins == nil {
		r.origins = &ownOrigins{relay: r, records: continuation.NewRecords(maxOwnStreams)}
	}
	r.fleet = newFleet(options.AvailabilityZone, options.Clock, options.Logger, r.limiter, r.origins)
	r.catalog.Store(&catalog.Catalog{})
	r.metrics, r.durations = newMetrics(r), forecast.NewDurations()
	r.leaseEnd.Store(-1)
	go r.accept()
	go r.clock.Every(ctx, periodicCheckInterval, r.runPeriodicChecks)
	options.Logger.Log(event.ProcessStarted, zap.String("address", listener.Addr().String()))
	return r, func() {
		cancel()
		r.closing.Store(true)
		_ = listener.Close()
		r.closeAll()
		r.fleet.close()
	}, nil
}

// Address returns the address that the relay is bound to.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// accept serves new connections until the listener is closed. It closes the listener itself at the
// end of drainBacklog: connections that were opened to a listener that accepts no more would be
// reset once it is closed, with the requests that they carry.
func (r *Relay) accept() {
	defer close(r.acceptEnded)
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			_ = r.listener.Close()
			return
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.options.Logger.Log(event.AcceptFailed, zap.Error(err))
			r.clock.Sleep(context.Background(), stopInterval)
			continue
		}
		c := newCallerConn(r, conn)
		r.mu.Lock()
		r.conns[c] = struct{}{}
		r.mu.Unlock()
		go c.serve()
	}
}

func (r *Relay) removeConn(c *callerConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// forEachConn calls f for each caller's connection and returns their number. It does
// not hold the lock while f runs.
func (r *Relay) forEachConn(f func(c *callerConn)) int {
	r.mu.Lock()
	conns := make([]*callerConn, 0, len(r.conns))
	for c := range r.conns {
		conns = append(conns, c)
	}
	r.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
	return len(conns)
}

func (r *Relay) closeAll() int { return r.forEachConn(func(c *callerConn) { _ = c.conn.Close() }) }

// Update applies an update from the control group, and reports whether it could. The lease
// begins at confirmedAfter: the leader has confirmed later that the update was the newest.
func (r *Relay) Update(confirmedAfter clock.Millis, update control.WatchResponse) bool {
	if update.Document != nil && update.Document.Revision > r.catalog.Load().Revision() {
		if !r.loadCatalog(*update.Document) {
			return false
		}
	}
	if r.catalog.Load().Revision() < update.Revision {
		return false // the update lacks the document of the newest revision
	}
	now := r.clock.Now()
	r.metrics.serversRefused.Add(float64(update.Refused.Count))
	r.fleet.applyUpdate(now, update)
	leaseEnd := confirmedAfter + r.options.Lease
	r.leaseEnd.Store(int64(leaseEnd))
	r.setShare(now, update.Share, leaseEnd)
	r.versions.update(confirmedAfter, update.Versions)
	return true
}

// Report returns what control and the other entries need to know of this relay.
func (r *Relay) Report() control.Report {
	return control.Report{Loads: r.fleet.loads(), Demands: r.fleet.demands(), Share: r.shareReport()}
}

// loadCatalog puts a document in force and reports whether it could be decoded.
func (r *Relay) loadCatalog(d catalog.Document) bool {
	c, err := r.options.Format.Decode(d.Body)
	if err != nil {
		r.options.Logger.Log(event.CatalogUnreadable, zap.Uint64("revision", d.Revision), zap.Error(err))
		return false
	}
	r.catalog.Store(&c)
	r.fleet.setCatalog(c)
	r.metrics.dropFormer(c)
	r.options.Logger.Log(event.CatalogLoaded, zap.Uint64("revision", d.Revision), zap.Int("services", c.ServiceCount()), zap.Bool("needs_keys", c.NeedsKeys()))
	return true
}

// Leased reports whether the lease is valid, so that the catalog is recent enough
// for requests with API keys.
func (r *Relay) Leased() bool { return int64(r.clock.Now()) < r.leaseEnd.Load() }

// mayDeny reports whether the catalog is recent enough to tell a caller that a route or a
// key does not exist.
func (r *Relay) mayDeny() bool {
	return int64(r.clock.Now()+r.options.Lease-denialFreshness) < r.leaseEnd.Load()
}

// Ready reports whether the load balancer may open new connections to the relay.
func (r *Relay) Ready() bool {
	return !r.stopping.Load() && r.Leased() && r.catalog.Load().Revision() > 0
}

// limits returns the limits of the catalog, completed by defaultLimits.
func (r *Relay) limits() catalog.Limits {
	l := r.catalog.Load().Limits()
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultLimits.HeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultLimits.BodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultLimits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultLimits.IdleTimeout
	}
	return l
}

// runPeriodicChecks checks the servers, and logs changes of the lease and the number of
// dropped log lines.
func (r *Relay) runPeriodicChecks() {
	r.fleet.runPeriodicChecks(r.clock.Now())
	r.quarantine.SetServerCounts(r.fleet.serverCounts())
	if leased := r.Leased(); leased != r.loggedLeased {
		r.loggedLeased = leased
		e := event.LeaseLost
		if leased {
			e = event.LeaseGained
		}
		r.options.Logger.Log(e, zap.Uint64("revision", r.catalog.Load().Revision()))
	}
	r.logQuarantine()
	if dropped := r.options.Logger.DroppedLines(); dropped != r.loggedDropped {
		r.options.Logger.Log(event.LogLinesDropped, zap.Uint64("lines", dropped-r.loggedDropped))
		r.loggedDropped = dropped
	}
}

// Stop performs a planned stop. It makes Ready return false and waits until the load
// balancer has noticed; then it closes each connection as soon as its requests are
// done. It returns when no connection is left or the grace period has nearly passed,
// and cuts the remaining connections. Calls after the first one do nothing.
func (r *Relay) Stop(ctx context.Context) error {
	if !r.stopping.CompareAndSwap(false, true) {
		return nil
	}
	r.options.Logger.Log(event.ProcessStopping)
	deadline := r.clock.Now() + r.options.Grace - stopTimeReserve
	r.stopAt.Store(int64(deadline))
	r.clock.Sleep(ctx, min(loadBalancerWait, r.options.Grace/2))
	r.closing.Store(true)
	r.closeConns(ctx, deadline)
	r.drainBacklog()
	r.closeConns(ctx, deadline)
	r.options.Logger.Log(event.ProcessStopped, zap.Int("connections_cut", r.closeAll()))
	return nil
}

// outlastsStop reports whether a new request of a route with the given deadline may last beyond the
// end of a planned stop, which would cut it. While the load balancer still sends requests, those are
// refused that would outlast the stop if they lasted as long as another one of the route has lately;
// after that, all whose deadline is later than the stop.
func (r *Relay) outlastsStop(route string, deadline clock.Millis) bool {
	stopAt := clock.Millis(r.stopAt.Load())
	if stopAt == 0 || deadline <= stopAt {
		return false
	}
	now := r.clock.Now()
	return r.closing.Load() || now+r.durations.Longest(now, route) > stopAt
}

// closeConns closes each connection as soon as it is idle. It returns when none is left, or
// at the deadline.
func (r *Relay) closeConns(ctx context.Context, deadline clock.Millis) {
	for r.clock.Now() < deadline && ctx.Err() == nil {
		if r.forEachConn((*callerConn).closeIfIdle) == 0 {
			return
		}
		r.clock.Sleep(ctx, stopInterval)
	}
}

// drainBacklog accepts the connections that wait in the listener's backlog, and closes the listener.
// Later ones are refused, so that callers know that nothing was run.
func (r *Relay) drainBacklog() {
	if tcp, ok := r.listener.(*net.TCPListener); ok {
		_ = tcp.SetDeadline(r.clock.Deadline(stopInterval))
		<-r.acceptEnded
	}
}
