package control

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/replica"
)

// maxBody is the largest message, a snapshot with claims at their bound of
// 64 MiB, which base64 makes a third larger.
const maxBody = 128 << 20

// Options are the settings of a control process.
type Options struct {
	Name             string
	AvailabilityZone string
	Listen           string // IP:port; port 0 takes a free one
	Advertise        string // IP:port that others use; the bound address when empty
	Folder           string
	Members          []Member // every member at the first start; empty for a group of one
	Join             bool     // join an existing group through Members
	// Seeds returns addresses of members to ask for admission, besides Members. It
	// is asked again each time, as settings change.
	Seeds func() []string
	// Voters is the wanted number of voting members; membership.Voters when 0.
	Voters int
	// LostAfter is how long a voter is silent before a standby replaces it;
	// membership.LostAfter when 0.
	LostAfter clock.Millis
	// Election is the shortest election timeout; replica.DefaultElection when 0.
	Election clock.Millis
	// ServerTimeout is how long a backend server may miss its heartbeats before
	// entries are told; DefaultServerTimeout when 0.
	ServerTimeout clock.Millis
	// PrivateNetwork serves peers on any address without a token.
	PrivateNetwork  bool
	OperatorToken   string // when empty, loopback addresses need no token
	PeerToken       string
	OrdersPerMinute int // model loads that the weight store bears; DefaultOrdersPerMinute when 0
	Clock           clock.Clock
	Logger          event.Logger
	// OpenLog replaces the replicated log in tests.
	OpenLog func(options replica.Options) (Log, func(), error)
}

// Member is a member in the settings of the first start.
type Member struct {
	Name             string
	Address          string
	AvailabilityZone string
}

// Control is one running member of the control group.
type Control struct {
	options  Options
	address  string
	listener *listener
	machine  *Machine
	app      *fiber.App
	peers    *peers
	metrics  *metrics
	tokens   tokens
	log      atomic.Pointer[life]
	leader   *leader
	placer   *placer
	servers  *servers
	watchers watchers
	changed  *broadcast // a new catalog, server or leader
	stopping atomic.Bool
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
}

// New starts a member. It does not wait for the group. The returned function
// releases everything without handing leadership over.
func New(options Options) (*Control, func(), error) {
	if err := options.validate(); err != nil {
		return nil, nil, err
	}
	bound, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listening on %s", options.Listen)
	}
	listener := newListener(bound)
	c := &Control{
		options:  options,
		address:  listener.Addr().String(),
		listener: listener,
		machine:  NewMachine(),
		tokens:   tokens{operator: options.OperatorToken, peer: options.PeerToken, private: options.PrivateNetwork},
		changed:  newBroadcast(),
	}
	c.machine.onCatalog = c.changed.notify
	c.servers = newServers(c)
	if c.options.OpenLog == nil {
		c.options.OpenLog = openReplica
	}
	if c.options.Advertise == "" {
		c.options.Advertise = c.address
	}
	c.peers = newPeers(options.PeerToken)
	c.leader = newLeader(c)
	c.placer = newPlacer(c)
	c.metrics = newMetrics(c)
	c.app = c.newApp()
	if err := c.openLog(); err != nil {
		listener.closeAll()
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.start(func() { _ = c.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}) })
	c.start(func() { c.leader.run(ctx) })
	c.start(func() { c.placer.run(ctx) })
	c.start(func() { c.watch(ctx) })
	c.start(func() { c.servers.run(ctx) })
	options.Logger.Log(event.ProcessStarted, zap.String("address", c.address))
	return c, c.release, nil
}

func (o Options) validate() error {
	if !class.ValidName(o.Name) {
		return errors.Errorf("invalid name %q of a control member", o.Name)
	}
	if o.OrdersPerMinute < 0 {
		return errors.Errorf("invalid orders per minute %d: want 0 or more", o.OrdersPerMinute)
	}
	if o.Folder == "" {
		return errors.New("a control member needs a data folder")
	}
	if o.Join && len(o.Members) == 0 && o.Seeds == nil {
		return errors.New("joining a group needs the address of a member")
	}
	if !o.Join && len(o.Members) > 0 && !lo.ContainsBy(o.Members, func(m Member) bool { return m.Name == o.Name }) {
		return errors.Errorf("the members do not include this process, %q", o.Name)
	}
	return nil
}

// Address returns the address that the process is bound to.
func (c *Control) Address() string { return c.address }

// Machine returns the replicated state of this member.
func (c *Control) Machine() *Machine { return c.machine }

// Stop hands leadership over, finishes the requests in progress until ctx ends,
// and releases everything.
func (c *Control) Stop(ctx context.Context) error {
	if !c.stopping.CompareAndSwap(false, true) {
		return nil
	}
	c.options.Logger.Log(event.ProcessStopping)
	c.handOver(ctx)
	err := c.app.ShutdownWithContext(ctx)
	c.release()
	c.options.Logger.Log(event.ProcessStopped)
	return errors.Wrap(err, "stopping the control process")
}

// release may be called more than once.
func (c *Control) release() {
	c.stopping.Store(true)
	c.cancel()
	// A context that has ended does not wait for connections in use.
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.app.ShutdownWithContext(ended)
	c.listener.closeAll()
	c.tasks.Wait()
	c.log.Load().release()
	c.peers.client.CloseIdleConnections()
	c.placer.entries.client.CloseIdleConnections()
}

func (c *Control) start(task func()) {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		task()
	}()
}
