package control

import (
	"context"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
)

// Timeouts of a watcher.
const (
	// longPollWait is how long the leader waits for changes before it answers a
	// watch. Each granted response renews the entry's lease, so this sets how
	// often the lease is renewed.
	longPollWait = 200 * clock.Millisecond
	// watchTimeoutMargin is added to longPollWait to get the timeout of a watch
	// request.
	watchTimeoutMargin = 500 * clock.Millisecond
	// watchRetryPause is the delay before the next watch after a failure. It keeps
	// an entry from flooding a group that has no leader.
	watchRetryPause = 50 * clock.Millisecond
)

// WatcherOptions configure a Watcher.
type WatcherOptions struct {
	Entry  string
	Token  string
	Seeds  func() []string // returns the addresses of control members from the settings
	Clock  clock.Clock
	Logger event.Logger
	// Update is called with each response that renewed the entry's lease, and with
	// the time at which its request was sent. It is called from the goroutine of Run.
	Update func(sentAt clock.Millis, response WatchResponse)
	// Report returns the loads and demands of this entry for the other entries. It
	// is called from the goroutine of Run before each request.
	Report func() ([]ServerLoad, []ServiceDemand)
}

// Watcher watches the control group for an entry: it sends one watch request
// after another to the leader. It is not safe for concurrent use.
type Watcher struct {
	options         WatcherOptions
	peerClient      *peerClient
	memberAddresses []string     // addresses of the control members from the latest response
	leaderAddress   string       // address of the leader; empty when unknown
	memberIndex     int          // index of the next member to ask, modulo the number of known members
	request         WatchRequest // the next request
	confirmedLeader string       // address that sent the latest granted response; empty after a failure
}

// NewWatcher returns a watcher. It sends nothing until Run is called.
func NewWatcher(options WatcherOptions) *Watcher {
	return &Watcher{options: options, peerClient: newPeerClient(options.Token), request: WatchRequest{Entry: options.Entry, MaxWait: longPollWait}}
}

// Run sends watch requests until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.poll() {
			w.options.Clock.Sleep(ctx, watchRetryPause)
		}
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
		w.logLeaderLost(address, err)
		w.leaderAddress = ""
		return false
	case len(response.Members) > 0:
		w.memberAddresses = response.Members
	}
	if !response.Granted {
		w.leaderAddress = response.Leader
		return response.Leader != "" && response.Leader != address
	}
	w.logLeaderFound(address, response)
	w.leaderAddress = address
	w.options.Update(sentAt, response)
	w.request.Epoch, w.request.Position = response.Epoch, response.Position
	w.request.Revision = max(w.request.Revision, response.Revision)
	return true
}

// address returns the leader's address if known, and otherwise that of the next
// control member in turn. It returns an empty string when no member is known.
func (w *Watcher) address() string {
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
	w.request.Loads, w.request.Demands = w.options.Report()
	data, err := encodeWatch(w.request)
	if err != nil {
		return WatchResponse{}, err
	}
	status, body, err := w.peerClient.exchange(fasthttp.MethodPost, address, pathWatch, data, w.request.MaxWait+watchTimeoutMargin)
	if err != nil {
		return WatchResponse{}, err
	}
	if status != fiber.StatusOK {
		return WatchResponse{}, errors.Errorf("watching %s: status %d", address, status)
	}
	return decodeWatchResponse(body)
}

// logLeaderLost logs that the watch of a member failed. It logs this only once, until a
// leader with a valid leader lease answers again (see WatchResponse.Granted).
func (w *Watcher) logLeaderLost(address string, err error) {
	if w.confirmedLeader == "" {
		return
	}
	w.confirmedLeader = ""
	w.options.Logger.Log(event.LeaderUnreachable, zap.String("address", address), zap.Error(err))
}

// logLeaderFound logs the address of the leader that sent the response. The caller has
// checked that this leader held the leader lease (see WatchResponse.Granted). Nothing is
// logged if the previous such response came from the same address and no watch has
// failed since.
func (w *Watcher) logLeaderFound(address string, response WatchResponse) {
	if w.confirmedLeader == address {
		return
	}
	w.confirmedLeader = address
	w.options.Logger.Log(event.LeaderReachable, zap.String("address", address), zap.Uint64("term", response.Term),
		zap.Uint64("revision", response.Revision))
}
