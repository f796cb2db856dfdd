package control

import (
	"encoding/json"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/roster"
)

const (
	// maxWatchWait bounds how long a watch is held without news.
	maxWatchWait = 2 * clock.Second
	// entryForgotten is how long an entry counts after its newest watch.
	entryForgotten = 2 * clock.Second
)

// WatchRequest is an entry's question for what has changed since its last answer.
type WatchRequest struct {
	Entry    string
	Revision uint64 // of the catalog that the entry has
	Epoch    uint64 // of the list of servers that Position belongs to
	Position uint64
	MaxWait  clock.Millis    // how long the answer may be held without news
	Loads    []ServerLoad    // what the entry has under way, by server
	Demands  []ServiceDemand // by service
}

// ServiceDemand is the work of recent requests to the engines of a service, in prompt
// tokens, for long prompts and for others.
type ServiceDemand struct {
	Service           string
	LongPromptTokens  int
	ShortPromptTokens int
}

// ServerLoad is what entries have under way at a backend server.
type ServerLoad struct {
	Server              string
	Requests            int
	PendingPromptTokens int // prompt tokens that the server has not read yet
	DecodeCost          int // what the output costs, in prompt tokens
}

// WatchResponse is the answer to a watch. Only a granted answer says that the catalog is
// the newest.
type WatchResponse struct {
	Granted    bool
	Leader     string // address, when another member leads
	Term       uint64
	Revision   uint64
	Document   *catalog.Document // when newer than the entry's
	Epoch      uint64
	Position   uint64
	Servers    []roster.Record // changed since the entry's position
	EntryCount int             // entries that watch
	Members    []string        // addresses of the control members
	Loads      []ServerLoad    // of all other entries together
	Demands    []ServiceDemand // of all other entries together
}

// answerWatch waits for news and returns them.
func (c *Control) answerWatch(w WatchRequest) WatchResponse {
	c.watchers.take(c.options.Clock.Now(), w)
	timeout, release := c.options.Clock.After(min(w.MaxWait, maxWatchWait))
	defer release()
	for {
		changed := c.changed.wait()
		news := c.news(w)
		if !news.Granted || news.Document != nil || len(news.Servers) > 0 || news.Epoch != w.Epoch {
			return news
		}
		select {
		case <-changed:
		case <-timeout:
			return c.news(w)
		}
	}
}

// news reads the state first and checks the leader lease afterwards, so that a
// granted answer was the newest when it was read.
func (c *Control) news(w WatchRequest) WatchResponse {
	document := c.machine.Catalog()
	status := c.log.Load().Status()
	news := WatchResponse{Term: status.Term, Members: lo.Map(status.Members, func(m replica.Member, _ int) string { return m.Address })}
	if status.Role != replica.Leader || status.LeaseRemaining <= 0 {
		if status.Leader != c.options.Advertise {
			news.Leader = status.Leader
		}
		return news
	}
	c.servers.take(status.Term, nil)
	news.Granted, news.Revision = true, document.Revision
	if document.Revision > w.Revision {
		news.Document = &document
	}
	news.Servers, news.Epoch, news.Position = c.servers.since(w.Epoch, w.Position)
	news.EntryCount, news.Loads, news.Demands = c.watchers.others(c.options.Clock.Now(), w.Entry)
	return news
}

func (c *Control) postWatch(f fiber.Ctx) error {
	w, err := decodeWatch(f.Body())
	if err != nil {
		return invalid(fiber.StatusBadRequest, err)
	}
	return respond(f)(encodeNews(c.answerWatch(w)))
}

type wireWatch struct {
	Entry    string       `json:"entry"`
	Revision uint64       `json:"revision"`
	Epoch    uint64       `json:"epoch"`
	Position uint64       `json:"position"`
	MaxWait  clock.Millis `json:"wait_ms"`
	Loads    []wireLoad   `json:"loads,omitempty"`
	Demands  []wireDemand `json:"demands,omitempty"`
}

type wireDemand struct {
	Service           string `json:"service"`
	LongPromptTokens  int    `json:"long"`
	ShortPromptTokens int    `json:"short"`
}

func toWireDemands(demands []ServiceDemand) []wireDemand {
	return lo.Map(demands, func(d ServiceDemand, _ int) wireDemand { return wireDemand(d) })
}

func fromWireDemands(wire []wireDemand) []ServiceDemand {
	return lo.Map(wire, func(d wireDemand, _ int) ServiceDemand { return ServiceDemand(d) })
}

// wireLoad has short names, because it is sent several times a second.
type wireLoad struct {
	Server              string `json:"s"`
	Requests            int    `json:"r"`
	PendingPromptTokens int    `json:"p,omitempty"`
	DecodeCost          int    `json:"d,omitempty"`
}

func toWireLoads(loads []ServerLoad) []wireLoad {
	return lo.Map(loads, func(l ServerLoad, _ int) wireLoad { return wireLoad(l) })
}

func fromWireLoads(wire []wireLoad) []ServerLoad {
	return lo.Map(wire, func(l wireLoad, _ int) ServerLoad { return ServerLoad(l) })
}

type wireNews struct {
	Granted  bool          `json:"granted"`
	Leader   string        `json:"leader,omitempty"`
	Term     uint64        `json:"term"`
	Revision uint64        `json:"revision"`
	Document *wireDocument `json:"document,omitempty"`
	Epoch    uint64        `json:"epoch"`
	Position uint64        `json:"position"`
	Servers  []wireServer  `json:"servers,omitempty"`
	Entries  int           `json:"entries"`
	Members  []string      `json:"members"`
	Loads    []wireLoad    `json:"loads,omitempty"`
	Demands  []wireDemand  `json:"demands,omitempty"`
}

func encodeWatch(w WatchRequest) ([]byte, error) {
	data, err := json.Marshal(wireWatch{
		Entry: w.Entry, Revision: w.Revision, Epoch: w.Epoch, Position: w.Position, MaxWait: w.MaxWait,
		Loads: toWireLoads(w.Loads), Demands: toWireDemands(w.Demands),
	})
	return data, errors.WithStack(err)
}

func decodeWatch(data []byte) (WatchRequest, error) {
	var w wireWatch
	if err := json.Unmarshal(data, &w); err != nil {
		return WatchRequest{}, errors.Wrap(err, "decoding a watch")
	}
	return WatchRequest{
		Entry: w.Entry, Revision: w.Revision, Epoch: w.Epoch, Position: w.Position, MaxWait: w.MaxWait,
		Loads: fromWireLoads(w.Loads), Demands: fromWireDemands(w.Demands),
	}, nil
}

func encodeNews(n WatchResponse) ([]byte, error) {
	w := wireNews{
		Granted: n.Granted, Leader: n.Leader, Term: n.Term, Revision: n.Revision, Epoch: n.Epoch, Position: n.Position,
		Entries: n.EntryCount, Members: n.Members, Loads: toWireLoads(n.Loads), Demands: toWireDemands(n.Demands),
		Document: (*wireDocument)(n.Document),
		Servers:  lo.Map(n.Servers, func(r roster.Record, _ int) wireServer { return toWireServer(r) }),
	}
	data, err := json.Marshal(w)
	return data, errors.WithStack(err)
}

func decodeNews(data []byte) (WatchResponse, error) {
	var w wireNews
	if err := json.Unmarshal(data, &w); err != nil {
		return WatchResponse{}, errors.Wrap(err, "decoding the answer to a watch")
	}
	return WatchResponse{
		Granted: w.Granted, Leader: w.Leader, Term: w.Term, Revision: w.Revision, Epoch: w.Epoch, Position: w.Position,
		EntryCount: w.Entries, Members: w.Members, Loads: fromWireLoads(w.Loads),
		Demands:  fromWireDemands(w.Demands),
		Document: (*catalog.Document)(w.Document),
		Servers:  lo.Map(w.Servers, func(s wireServer, _ int) roster.Record { return s.record() }),
	}, nil
}
