package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
)

// Limits before the first catalog is known, and where one leaves them out.
var defaultLimits = catalog.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * clock.Second, IdleTimeout: 15 * clock.Second,
}

const (
	// balancerWait covers two missed readiness checks of the load balancer and the
	// connections that it had on the way.
	balancerWait = 2500 * clock.Millisecond
	// stopReserve is kept of the time for a stop, so that the process ends by itself.
	stopReserve  = 400 * clock.Millisecond
	stopInterval = 20 * clock.Millisecond
	sweepEvery   = 250 * clock.Millisecond
)

// Options are the settings of a Relay.
type Options struct {
	Name             string
	AvailabilityZone string
	Listen           string
	Protocol         Protocol
	Format           catalog.Format
	Clock            clock.Clock
	Logger           event.Logger
	// Lease is how long requests with keys are taken after the newest answer of
	// the control leader was asked for.
	Lease clock.Millis
	// Grace is the time that a planned stop may take.
	Grace clock.Millis
	Retry RetryLimits
}

// Relay is a running relay.
type Relay struct {
	options  Options
	clock    clock.Clock
	listener net.Listener
	fleet    *fleet
	budget   *budget
	catalog  atomic.Pointer[catalog.Catalog]
	leased   atomic.Int64 // end of the lease, clock.Millis
	stopping atomic.Bool  // not ready any more
	closing  atomic.Bool  // connections are closed between requests
	metrics  *metrics

	mu    sync.Mutex
	conns map[*callerConn]struct{}

	// What sweep, the only user, has logged.
	sweptLeased  bool
	sweptDropped uint64
}

// New starts a relay, which is not ready before the first Take. The returned
// function ends it at once.
func New(options Options) (*Relay, func(), error) {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listening on %s", options.Listen)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		options: options, clock: options.Clock, listener: listener,
		budget: newBudget(options.Retry),
		conns:  map[*callerConn]struct{}{},
	}
	r.fleet = newFleet(options.AvailabilityZone, options.Clock)
	r.catalog.Store(&catalog.Catalog{})
	r.metrics = newMetrics(r)
	r.leased.Store(-1)
	go r.accept()
	go r.clock.Every(ctx, sweepEvery, r.sweep)
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

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
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

func (r *Relay) forget(c *callerConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *Relay) each(f func(c *callerConn)) int {
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

func (r *Relay) closeAll() int { return r.each(func(c *callerConn) { _ = c.conn.Close() }) }

// Update puts news of the control leader in force. The lease counts from the time
// at which they were asked for.
func (r *Relay) Update(sent clock.Millis, news control.WatchResponse) {
	if news.Document != nil && news.Document.Revision > r.catalog.Load().Revision() {
		if !r.load(*news.Document) {
			return
		}
	}
	if r.catalog.Load().Revision() < news.Revision {
		return // the document did not come with this answer
	}
	now := r.clock.Now()
	r.fleet.take(now, news)
	r.budget.setEntries(news.EntryCount)
	r.leased.Store(int64(sent + r.options.Lease))
}

// Report returns what the other entries need to know of this relay.
func (r *Relay) Report() ([]control.ServerLoad, []control.ServiceDemand) {
	return r.fleet.loads(), r.fleet.demands()
}

func (r *Relay) load(d catalog.Document) bool {
	c, err := r.options.Format.Decode(d.Body)
	if err != nil {
		r.options.Logger.Log(event.CatalogUnreadable, zap.Uint64("revision", d.Revision), zap.Error(err))
		return false
	}
	r.catalog.Store(&c)
	r.fleet.configure(c)
	r.options.Logger.Log(event.CatalogLoaded, zap.Uint64("revision", d.Revision), zap.Int("services", c.ServiceCount()))
	return true
}

// Leased reports whether the catalog may be relied on for requests with keys.
func (r *Relay) Leased() bool { return int64(r.clock.Now()) < r.leased.Load() }

// Ready reports whether the load balancer may send new connections.
func (r *Relay) Ready() bool {
	return !r.stopping.Load() && r.Leased() && r.catalog.Load().Revision() > 0
}

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

func (r *Relay) sweep() {
	r.fleet.sweep(r.clock.Now())
	if leased := r.Leased(); leased != r.sweptLeased {
		r.sweptLeased = leased
		e := event.LeaseLost
		if leased {
			e = event.LeaseGained
		}
		r.options.Logger.Log(e, zap.Uint64("revision", r.catalog.Load().Revision()))
	}
	if dropped := r.options.Logger.DroppedLines(); dropped != r.sweptDropped {
		r.options.Logger.Log(event.LogLinesDropped, zap.Uint64("lines", dropped-r.sweptDropped))
		r.sweptDropped = dropped
	}
}

// Stop takes no new connections once the load balancer has seen that the relay is
// not ready, answers what callers have sent, and returns when no connection is
// left or the time is up.
func (r *Relay) Stop(ctx context.Context) error {
	if !r.stopping.CompareAndSwap(false, true) {
		return nil
	}
	r.options.Logger.Log(event.ProcessStopping)
	begun := r.clock.Now()
	r.clock.Sleep(ctx, min(balancerWait, r.options.Grace/2))
	r.closing.Store(true)
	for r.clock.Now()-begun < r.options.Grace-stopReserve && ctx.Err() == nil {
		if r.each((*callerConn).closeIdle) == 0 {
			break
		}
		r.clock.Sleep(ctx, stopInterval)
	}
	_ = r.listener.Close()
	r.options.Logger.Log(event.ProcessStopped, zap.Int("connections_cut", r.closeAll()))
	return nil
}
