package control

import (
	"context"
	"math/rand/v2"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/delegation"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/metering"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/roster"
)

// Timeouts of a watcher.
const (
	// longPollWait is how long a member waits for changes before it answers a
	// watch. Each granted response renews the entry's lease, so this sets how
	// often the lease is renewed.
	longPollWait = 200 * clock.Millisecond
	// watchTimeoutMargin is added to the longest wait to get the timeout of a watch
	// request.
	watchTimeoutMargin = 500 * clock.Millisecond
	// minRetryPause and maxRetryPause bound the delay before the next watch after a
	// failure. It doubles with each failure in a row, so that hundreds of entries do not
	// flood a group that has no leader.
	minRetryPause = 50 * clock.Millisecond
	maxRetryPause = 400 * clock.Millisecond
	// preferredRetryInterval is how long an entry stays with a member that is not its
	// preferred one before it tries the preferred one again.
	preferredRetryInterval = 5 * clock.Second
)

// WatcherOptions configure a Watcher.
type WatcherOptions struct {
	Entry            string
	AvailabilityZone string
	Token            string
	Delegate         *delegation.Member // set by a member that watches the leader for its own entries
	Seeds            func() []string    // returns the addresses of control members from the settings
	Clock            clock.Clock
	Logger           event.Logger
	// Update is called with each response that renewed the entry's lease, and with
	// the time from which the lease counts: the leader has confirmed the response later. It
	// reports whether the response was applied; otherwise the entry does not tell that it
	// knows the changes, and receives them again. It is called from the goroutine of Run.
	Update func(confirmedAfter clock.Millis, response WatchResponse) bool
	// Quarantine is exchanged with the member that is asked.
	Quarantine *quarantine.Quarantine
	// Limits are exchanged with the member that is asked.
	Limits *ratelimit.Limits
	// Usage is what is told of usage; nothing when nil.
	Usage *metering.Book
	// Report returns what the next request reports. It is called from the goroutine of Run
	// before each request.
	Report func() Report
}

// Report is what an entry or a member reports in a WatchRequest. An entry sets only the
// first three fields.
type Report struct {
	Loads        []ServerLoad
	Demands      []ServiceDemand
	Share        *ShareReport
	LoadsKept    bool   // Loads is left out, see WatchRequest
	Revision     uint64 // newest revision of the catalog that the member has itself
	EntryCount   int
	Acknowledged uint64 // see WatchRequest
	Heartbeats   []roster.Announcement
	MaxWait      clock.Millis // longPollWait when 0

	AcknowledgedRevision uint64 // see WatchRequest
}

// Watcher watches the control group for an entry: it sends one watch request
// after another to the leader, or to a member that answers on its behalf. It is not safe
// for concurrent use.
type Watcher struct {
	options         WatcherOptions
	peerClient      *peerClient
	memberAddresses []string     // addresses of the control members from the latest response
	leaderAddress   string       // address of the leader; empty when unknown
	memberIndex     int          // index of the next member to ask, modulo the number of known members
	delegates       delegates    // members that answer on behalf of the leader
	request         WatchRequest // the next request
	confirmedSource string       // address that sent the latest granted response; empty after a failure
	quarantine      gossip.Exchange[quarantine.Report]
	limits          gossip.Exchange[ratelimit.Report]
	usage           gossip.Exchange[metering.Report]
	refusalLog      *event.Limiter
	failures        int // watches that failed or were not granted since the latest granted one
}

// NewWatcher returns a watcher. It sends nothing until Run is called.
func NewWatcher(options WatcherOptions) *Watcher {
	if options.Quarantine == nil {
		options.Quarantine = quarantine.New(quarantine.Options{Entry: options.Entry})
	}
	if options.Limits == nil {
		options.Limits = ratelimit.NewLimits()
	}
	return &Watcher{
		options: options, limits: gossip.NewExchange[ratelimit.Report](options.Limits), quarantine: gossip.NewExchange[quarantine.Report](options.Quarantine), usage: gossip.NewExchange[metering.Report](options.Usage), peerClient: newPeerClient(options.Token), delegates: delegates{entry: options.Entry, zone: options.AvailabilityZone},
		refusalLog: event.NewLimiter(options.Logger, refusalLogInterval),
		request:    WatchRequest{Entry: options.Entry, AcceptsDelegation: options.Delegate == nil, AcceptsCompression: true, Delegate: options.Delegate},
	}
}

// Run sends watch requests until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.poll() {
			w.failures = 0
			continue
		}
		pause := min(minRetryPause<<min(w.failures, 8), maxRetryPause)
		w.failures++
		w.options.Clock.Sleep(ctx, pause/2+rand.N(pause/2+1))
	}
	w.peerClient.httpClient.CloseIdleConnections()
}

// poll sends one watch request and reports whether the next one may follow
// without a pause.
func (w *Watcher) poll() bool {
	address := w.address()
	if address == "" {
		return false
	}
	sentAt := w.options.Clock.Now()
	response, err := w.exchange(address)
	switch {
	case err != nil:
		w.logSourceLost(address, err)
		w.leaderAddress = ""
		w.delegates.skip(w.options.Clock.Now())
		return false
	case len(response.Members) > 0:
		w.memberAddresses = response.Members
	}
	response.Refused.log(w.options.Clock.Now(), w.refusalLog)
	w.quarantine.Apply(w.options.Clock.Now(), response.Quarantine, response.QuarantinePosition)
	w.limits.Apply(w.options.Clock.Now(), response.Limits, response.LimitsPosition)
	w.applyUsage(response)
	if !response.Granted || response.Epoch < w.request.Epoch {
		w.leaderAddress = response.Leader
		w.delegates.skip(w.options.Clock.Now())
		return response.Leader != "" && response.Leader != address
	}
	return w.applyResponse(sentAt, address, response)
}

// applyUsage applies what a response says about usage.
func (w *Watcher) applyUsage(response WatchResponse) {
	if w.options.Usage == nil {
		return
	}
	now := w.options.Clock.Now()
	w.usage.Apply(now, nil, response.UsagePosition)
	if response.UnixTime > 0 {
		w.options.Usage.SetTime(now, response.UnixTime)
		w.options.Usage.SetUndecided(now, response.UsageNext)
	}
}

// applyResponse applies a granted response and reports whether it was applied.
func (w *Watcher) applyResponse(sentAt clock.Millis, address string, response WatchResponse) bool {
	w.logSourceFound(address, response)
	w.leaderAddress = lo.CoalesceOrEmpty(response.Leader, address)
	if !w.options.Update(sentAt-response.ConfirmationAge, response) {
		return false
	}
	if response.Epoch != w.request.Epoch {
		w.request.Epoch, w.request.Position = response.Epoch, 0
	}
	// A member that is behind another one must not make the entry receive changes again.
	w.request.Position = max(w.request.Position, response.Position)
	w.request.Revision = max(w.request.Revision, response.Revision)
	if response.Versions != nil {
		w.request.VersionsKnown = response.Versions.Revision()
	}
	if w.options.Delegate == nil {
		w.delegates.set(w.options.Clock.Now(), response.Delegates)
	}
	return true
}

// address returns the address of the member to ask: a delegate if there are any, otherwise
// the leader if known, and otherwise the next control member in turn. It returns an empty
// string when no member is known.
func (w *Watcher) address() string {
	if address := w.delegates.address(w.options.Clock.Now()); address != "" {
		return address
	}
	if w.options.Delegate != nil {
		// A member knows the leader from the replicated log.
		return lo.FirstOrEmpty(w.options.Seeds())
	}
	if w.leaderAddress != "" {
		return w.leaderAddress
	}
	candidates := lo.Uniq(append(w.options.Seeds(), w.memberAddresses...))
	if len(candidates) == 0 {
		return ""
	}
	w.memberIndex++
	return candidates[w.memberIndex%len(candidates)]
}

// exchange sends a watch request to an address and returns the response.
func (w *Watcher) exchange(address string) (WatchResponse, error) {
	report := w.options.Report()
	request := w.request
	request.Loads, request.Demands, request.Heartbeats = report.Loads, report.Demands, report.Heartbeats
	request.LoadsKept, request.Share = report.LoadsKept, report.Share
	request.EntryCount, request.Acknowledged, request.AcknowledgedRevision = report.EntryCount, report.Acknowledged, report.AcknowledgedRevision
	request.Revision = max(request.Revision, report.Revision)
	request.MaxWait = lo.Ternary(report.MaxWait > 0, report.MaxWait, longPollWait)
	request.Quarantine, request.QuarantineKnown = w.quarantine.Next(w.options.Clock.Now())
	request.Limits, request.LimitsKnown = w.limits.Next(w.options.Clock.Now())
	if w.options.Usage != nil {
		request.Usage, _ = w.usage.Next(w.options.Clock.Now())
		request.CountsUsage, request.TimeOfDay = true, w.options.Clock.Wall()
	}
	data, err := encodeWatch(request)
	if err != nil {
		return WatchResponse{}, err
	}
	status, body, err := w.peerClient.exchange(fasthttp.MethodPost, address, pathWatch, data, request.MaxWait+watchTimeoutMargin)
	if err != nil {
		return WatchResponse{}, err
	}
	if status != fiber.StatusOK {
		return WatchResponse{}, errors.Errorf("watching %s: status %d", address, status)
	}
	return decodeWatchResponse(body)
}

// logSourceLost logs that the watch of a member failed. It logs this only once, until a
// member answers again with a grant (see WatchResponse.Granted).
func (w *Watcher) logSourceLost(address string, err error) {
	if w.confirmedSource == "" {
		return
	}
	w.confirmedSource = ""
	w.options.Logger.Log(event.LeaderUnreachable, zap.String("address", address), zap.Error(err))
}

// logSourceFound logs the address of the member that sent the granted response. Nothing is
// logged if the previous such response came from the same address and no watch has
// failed since.
func (w *Watcher) logSourceFound(address string, response WatchResponse) {
	if w.confirmedSource == address {
		return
	}
	found := lo.Ternary(response.Leader == "", event.LeaderReachable, event.DelegateChanged)
	w.confirmedSource = address
	w.options.Logger.Log(found, zap.String("address", address), zap.Uint64("term", response.Term), zap.Uint64("revision", response.Revision))
}

// delegates are the members that answer an entry on behalf of the leader, in the order of
// the entry's preference.
type delegates struct {
	entry, zone string
	members     []delegation.Member
	index       int          // the member that is asked; all of them have failed when it is len(members)
	movedAt     clock.Millis // when the entry last turned to another member than the first
}

// set replaces the members. The entry stays with the member that it asks.
func (d *delegates) set(now clock.Millis, members []delegation.Member) {
	asked, isAsked := lo.Nth(d.members, d.index)
	if len(members) != len(d.members) || !lo.Every(d.members, members) {
		d.members = delegation.Preferred(d.entry, d.zone, members)
		d.index, d.movedAt = 0, now
		if i := lo.IndexOf(d.members, asked); isAsked == nil && i > 0 {
			d.index = i
		}
	}
	if d.index >= len(d.members) {
		d.index, d.movedAt = 0, now
	}
}

// address returns the address of the member that is asked, or an empty string if there is
// none. After preferredRetryInterval it is the first one again.
func (d *delegates) address(now clock.Millis) string {
	if d.index >= len(d.members) {
		return ""
	}
	if d.index > 0 && now-d.movedAt > preferredRetryInterval {
		d.index, d.movedAt = 0, now
	}
	return d.members[d.index].Address
}

// skip turns to the next member after a failure.
func (d *delegates) skip(now clock.Millis) {
	if d.index < len(d.members) {
		d.index, d.movedAt = d.index+1, now
	}
}
