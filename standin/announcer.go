package standin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
)

// announceTimeout bounds the exchange of one announcement with an entry.
const announceTimeout = 1 * time.Second

// maxCacheEvents bounds the number of cache events in one announcement.
const maxCacheEvents = 256

type announcementWire struct {
	Server           string       `json:"server"`
	Incarnation      uint64       `json:"incarnation"`
	SequenceNumber   uint64       `json:"sequence"`
	State            string       `json:"state"`
	Kind             string       `json:"kind"`
	Address          string       `json:"address"`
	AvailabilityZone string       `json:"availability_zone"`
	Version          string       `json:"version,omitempty"`
	Models           []string     `json:"models"`
	Services         []string     `json:"services"`
	Slots            int          `json:"slots"`
	ChecksFencing    bool         `json:"checks_fencing"`
	Challenge        string       `json:"challenge"`
	Load             loadWire     `json:"load"`
	CacheEvents      []cacheEvent `json:"cache_events"`
}

type loadWire struct {
	AgeMS           int64   `json:"age_ms"`
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
	KVUsed          int     `json:"kv_used"`
	KVTotal         int     `json:"kv_total"`
	TokensPerSecond float64 `json:"tokens_per_second"`
}

type acceptanceWire struct {
	Accepted   bool   `json:"accepted"`
	Challenge  string `json:"challenge"`
	IntervalMS int64  `json:"interval_ms"`
	Reason     string `json:"reason"`
}

// announcer sends the announcements of a stand-in to its entries in turn, as if a load
// balancer distributed them. It is safe for concurrent use.
type announcer struct {
	options            Announce
	clock              clock.Clock
	client             *fasthttp.Client
	describe           func() announcementWire // the current state, without sequence number and challenge
	mu                 sync.Mutex
	lastSequenceNumber uint64
	nextEntry          int
	challenges         map[string]string // by entry: the value that it sent last; the next announcement must return it
	leaving            bool              // the announced state is "leaving"
	isSuppressed       func() bool       // reports whether a fault suppresses the announcements
}

func newAnnouncer(options Announce, c clock.Clock, isSuppressed func() bool, describe func() announcementWire) *announcer {
	return &announcer{
		options:      options,
		clock:        c,
		client:       &fasthttp.Client{ReadTimeout: announceTimeout, WriteTimeout: announceTimeout},
		describe:     describe,
		challenges:   map[string]string{},
		isSuppressed: isSuppressed,
	}
}

// run announces at each interval until ctx ends.
func (a *announcer) run(ctx context.Context) {
	if len(a.options.Entries) == 0 {
		return
	}
	for {
		if !a.isSuppressed() {
			a.announce()
		}
		if !a.clock.Sleep(ctx, a.options.Interval) {
			return
		}
	}
}

// announceDeparture announces the state "leaving" to every entry.
func (a *announcer) announceDeparture() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	for range a.options.Entries {
		a.announce()
	}
}

// announce sends an announcement to the next entry that accepts it.
func (a *announcer) announce() {
	a.mu.Lock()
	defer a.mu.Unlock()
	wire := a.describe()
	if a.leaving {
		wire.State = "leaving"
	}
	for range a.options.Entries {
		entry := a.options.Entries[a.nextEntry%len(a.options.Entries)]
		a.nextEntry++
		if a.sendWithRetry(entry, wire) {
			return
		}
	}
}

// sendWithRetry sends an announcement and reports whether the entry accepted it. Each
// answer carries a new challenge. If the entry refused the announcement, for example
// because the challenge was too old, it is sent once more with the new one.
func (a *announcer) sendWithRetry(entry string, wire announcementWire) bool {
	for range 2 {
		a.lastSequenceNumber++
		wire.SequenceNumber = a.lastSequenceNumber
		wire.Challenge = a.challenges[entry]
		answer, err := a.post(entry, wire)
		if err != nil {
			return false
		}
		a.challenges[entry] = answer.Challenge
		if answer.Accepted {
			return true
		}
	}
	return false
}

func (a *announcer) post(entry string, wire announcementWire) (acceptanceWire, error) {
	var answer acceptanceWire
	body, err := json.Marshal(wire)
	if err != nil {
		return answer, errors.Wrap(err, "encode announcement")
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + entry + "/v1/announcements")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	if a.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+a.options.Token)
	}
	request.SetBody(body)
	if err := a.client.DoTimeout(request, response, announceTimeout); err != nil {
		return answer, errors.Wrapf(err, "announce to %s", entry)
	}
	return answer, errors.Wrap(json.Unmarshal(response.Body(), &answer), "decode answer")
}
