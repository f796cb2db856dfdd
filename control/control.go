package control

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/replica"
)

// maxBody is the largest request or response body in bytes. The largest messages
// are a log entry with a command of replica.MaxCommandBytes, which base64 makes a
// third larger, and the list of 12,000 servers. Snapshots are sent in parts.
const maxBody = 16 << 20

// Options are the settings of a control process.
type Options struct {
	Name             string
	AvailabilityZone string
	Listen           string   // IP:port to listen on; port 0 picks a free port
	Advertise        string   // IP:port that other processes connect to; the bound address when empty
	Folder           string   // folder of the process's data
	Members          []Member // all members at the first start; empty for a group of one
	Join             bool     // join an existing group through Members or Seeds
	// Seeds returns addresses of further members to send join requests to. It is
	// called before each round of join requests, because settings change.
	Seeds func() []string
	// Voters is the wanted number of voting members; membership.Voters when 0.
	Voters int
	// VoterTimeout is how long a voter may be silent before a standby replaces it;
	// membership.VoterTimeout when 0.
	VoterTimeout clock.Millis
	// ElectionTimeout is the minimum election timeout; replica.DefaultElectionTimeout when 0.
	ElectionTimeout clock.Millis
	// ServerTimeout is how long a backend server may send no heartbeat before it is
	// reported to entries as silent; DefaultServerTimeout when 0.
	ServerTimeout clock.Millis
	// EntryLease is the duration of the leases of entries that watch, see propagation.Bounds.
	// Acknowledgements do not wait for entries when it is 0.
	EntryLease clock.Millis
	// ApplyTime is how long an entry may use an older catalog after a newer one was acknowledged.
	ApplyTime clock.Millis
	// DrainTime is how long a server may get requests after its leaving was acknowledged.
	DrainTime clock.Millis
	// Format decodes the catalog, and ServerOrders carries out orders for backend servers. Servers
	// are ordered only if both are set, and Duties.
	Format       catalog.Format
	ServerOrders ServerOrders
	// PrivateNetwork turns the token checks off: every request from any address is
	// accepted.
	PrivateNetwork      bool
	OperatorToken       string // when empty, operators are served on loopback addresses only, without a token
	PeerToken           string // when empty, peers are served on loopback addresses only, without a token
	ModelLoadsPerMinute int    // maximum rate of model loads from the weight store; DefaultModelLoadsPerMinute when 0
	// Duties are the calls that one member at a time makes; none when nil.
	Duties *DutyOptions
	Clock  clock.Clock
	Logger event.Logger
	// OpenLog opens the replicated log and returns its release function. Tests set
	// it; the real log is opened when nil.
	OpenLog func(options replica.Options) (Log, func(), error)
}

// Member is a control member as listed in the settings of the first start.
type Member struct {
	Name             string
	Address          string
	AvailabilityZone string
}

// Control is one running member of the control group.
type Control struct {
	options             Options
	address             string
	listener            *listener
	machine             *Machine
	app                 *fiber.App
	peerClient          *peerClient
	metrics             *metrics
	tokens              tokens
	log                 atomic.Pointer[releasableLog]
	leaderTasks         *leaderTasks
	placementController *placementController
	capacityController  *capacityController
	serverRegistry      *serverRegistry
	watchingEntries     watchingEntries
	propagation         *changePropagation
	quarantine          *quarantine.Quarantine
	streams             *continuation.Records // of streams that entries have begun
	streamFile          *streamFile           // keeps these records on disk
	runID               string                // identifies this process
	limits              *ratelimit.Limits
	shares              *limitShares
	compressor          documentCompressor
	delegate            *delegate
	forwarder           *announcementForwarder
	duties              *duties         // nil if this member makes no such calls
	usage               *usageReports   // nil if this member reports no usage
	changed             *changeNotifier // notified when the answers to watches have changed
	reported            *changeNotifier // notified when an entry has reported what it knows
	refusalLog          *event.Limiter  // for servers that are left out as invalid
	stopping            atomic.Bool
	cancel              context.CancelFunc
	tasks               sync.WaitGroup
}

// New starts a control member. It does not wait until the group has a leader.
// The returned function stops the member at once, without transferring
// leadership; see Stop for a graceful stop.
func New(options Options) (*Control, func(), error) {
	if err := options.validate(); err != nil {
		return nil, nil, err
	}
	tcpListener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listening on %s", options.Listen)
	}
	listener := newListener(tcpListener)
	c := &Control{
		options:  options,
		address:  listener.Addr().String(),
		listener: listener,
		machine:  NewMachine(),
		tokens:   tokens{operator: options.OperatorToken, peer: options.PeerToken, privateNetwork: options.PrivateNetwork},
		changed:  newChangeNotifier(),
		reported: newChangeNotifier(),

		refusalLog: event.NewLimiter(options.Logger, refusalLogInterval),

		propagation: newChangePropagation(options.EntryLease), quarantine: quarantine.New(quarantine.Options{Entry: options.Name}),
	}
	c.machine.onCatalogChange = c.changed.notify
	quarantineFile := newQuarantineFile(c)
	quarantineFile.load()
	c.streams, c.runID = continuation.NewRecords(maxStreamRecords), uuid.NewString()[:8]
	c.streamFile = newStreamFile(c)
	c.streamFile.load()
	c.limits, c.shares = ratelimit.NewLimits(), newLimitShares(c)
	c.serverRegistry = newServerRegistry(c)
	if c.options.OpenLog == nil {
		c.options.OpenLog = openReplicatedLog
	}
	if c.options.Advertise == "" {
		c.options.Advertise = c.address
	}
	c.peerClient = newPeerClient(options.PeerToken)
	c.leaderTasks = newLeaderTasks(c)
	c.placementController = newPlacementController(c)
	c.duties, c.usage = newDuties(c), newUsageReports(c)
	c.capacityController = newCapacityController(c)
	c.delegate = newDelegate(c)
	c.forwarder = newAnnouncementForwarder(c)
	c.metrics = newMetrics(c)
	c.app = c.newApp()
	if err := c.openLogOrWait(); err != nil {
		listener.closeAll()
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.startTask(func() { _ = c.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}) })
	c.startTask(func() { c.leaderTasks.run(ctx) })
	c.startTask(func() { c.placementController.run(ctx) })
	if options.Format != nil && options.ServerOrders != nil && options.Duties != nil {
		c.startTask(func() { c.capacityController.run(ctx) })
	}
	c.startTask(func() { c.maintainMembership(ctx) })
	c.startTask(func() { c.serverRegistry.run(ctx) })
	c.startTask(func() { c.maintainVersions(ctx) })
	c.startTask(func() { quarantineFile.run(ctx) })
	c.startTask(func() { c.streamFile.run(ctx) })
	c.startTask(func() { c.delegate.run(ctx) })
	c.startTask(func() { c.forwarder.run(ctx) })
	c.startTask(func() { c.duties.run(ctx) })
	c.startTask(func() { c.usage.run(ctx) })
	options.Logger.Log(event.ProcessStarted, zap.String("address", c.address))
	return c, c.release, nil
}

func (o Options) validate() error {
	if !class.ValidName(o.Name) {
		return errors.Errorf("invalid name %q of a control member", o.Name)
	}
	if o.ModelLoadsPerMinute < 0 {
		return errors.Errorf("invalid orders per minute %d: want 0 or more", o.ModelLoadsPerMinute)
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

// Address returns the IP:port that the process listens on.
func (c *Control) Address() string { return c.address }

// Machine returns the state machine of this member.
func (c *Control) Machine() *Machine { return c.machine }

// Stop transfers leadership to another member, waits for the requests in
// progress until ctx ends, and then releases all resources.
func (c *Control) Stop(ctx context.Context) error {
	if !c.stopping.CompareAndSwap(false, true) {
		return nil
	}
	c.options.Logger.Log(event.ProcessStopping)
	c.transferLeadership(ctx)
	err := c.app.ShutdownWithContext(ctx)
	c.release()
	c.options.Logger.Log(event.ProcessStopped)
	return errors.Wrap(err, "stopping the control process")
}

// release stops all tasks and closes all connections and the log without waiting
// for requests in progress. It may be called more than once.
func (c *Control) release() {
	c.stopping.Store(true)
	c.cancel()
	// With a canceled context, the shutdown does not wait for connections in use.
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.app.ShutdownWithContext(canceled)
	c.listener.closeAll()
	c.tasks.Wait()
	c.log.Load().release()
	c.peerClient.httpClient.CloseIdleConnections()
	c.placementController.entryClient.httpClient.CloseIdleConnections()
}

// startTask runs a task in a goroutine that release waits for.
func (c *Control) startTask(task func()) {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		task()
	}()
}
