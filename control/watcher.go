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

// Times of a watcher.
const (
	// watchWait is how long the leader holds an answer without news. It sets how
	// often a lease is renewed.
	watchWait = 200 * clock.Millisecond
	// watchSlack is how much later an answer may come.
	watchSlack = 500 * clock.Millisecond
	// watchPause keeps an entry from flooding a group without a leader.
	watchPause = 50 * clock.Millisecond
)

// WatcherOptions are the settings of a Watcher.
type WatcherOptions struct {
	Entry  string
	Token  string
	Seeds  func() []string // addresses of control members from the settings
	Clock  clock.Clock
	Logger event.Logger
	// Update gets each granted answer with the time at which its question was sent.
	Update func(sent clock.Millis, news WatchResponse)
	// Report returns what the other entries need to know of this one.
	Report func() ([]ServerLoad, []ServiceDemand)
}

// Watcher asks the leader of the control group for news, again and again.
type Watcher struct {
	options WatcherOptions
	peers   *peers
	members []string // from the newest answer
	leader  string
	turn    int
	watch   WatchRequest
	granted string // address of the newest granted answer; empty after a failure
}

// NewWatcher returns a watcher; Run does the work.
func NewWatcher(options WatcherOptions) *Watcher {
	return &Watcher{options: options, peers: newPeers(options.Token), watch: WatchRequest{Entry: options.Entry, MaxWait: watchWait}}
}

// Run asks until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.ask() {
			w.options.Clock.Sleep(ctx, watchPause)
		}
	}
	w.peers.client.CloseIdleConnections()
}

// ask asks one member and reports whether the next question can follow at once.
func (w *Watcher) ask() bool {
	address := w.address()
	if address == "" {
		return false
	}
	sent := w.options.Clock.Now()
	news, err := w.exchange(address)
	switch {
	case err != nil:
		w.lose(address, err)
		w.leader = ""
		return false
	case len(news.Members) > 0:
		w.members = news.Members
	}
	if !news.Granted {
		w.leader = news.Leader
		return news.Leader != "" && news.Leader != address
	}
	w.regain(address, news)
	w.leader = address
	w.options.Update(sent, news)
	w.watch.Epoch, w.watch.Position = news.Epoch, news.Position
	w.watch.Revision = max(w.watch.Revision, news.Revision)
	return true
}

// address returns the leader's address, or that of the next member in turn.
func (w *Watcher) address() string {
	if w.leader != "" {
		return w.leader
	}
	known := lo.Uniq(append(w.options.Seeds(), w.members...))
	if len(known) == 0 {
		return ""
	}
	w.turn++
	return known[w.turn%len(known)]
}

func (w *Watcher) exchange(address string) (WatchResponse, error) {
	w.watch.Loads, w.watch.Demands = w.options.Report()
	data, err := encodeWatch(w.watch)
	if err != nil {
		return WatchResponse{}, err
	}
	status, body, err := w.peers.exchange(fasthttp.MethodPost, address, pathWatch, data, w.watch.MaxWait+watchSlack)
	if err != nil {
		return WatchResponse{}, err
	}
	if status != fiber.StatusOK {
		return WatchResponse{}, errors.Errorf("watching %s: status %d", address, status)
	}
	return decodeNews(body)
}

func (w *Watcher) lose(address string, err error) {
	if w.granted == "" {
		return
	}
	w.granted = ""
	w.options.Logger.Log(event.LeaderUnreachable, zap.String("address", address), zap.Error(err))
}

func (w *Watcher) regain(address string, news WatchResponse) {
	if w.granted == address {
		return
	}
	w.granted = address
	w.options.Logger.Log(event.LeaderReachable, zap.String("address", address), zap.Uint64("term", news.Term),
		zap.Uint64("revision", news.Revision))
}
