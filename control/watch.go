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
	// maxWatchWait is the longest time that a watch waits for changes, whatever the
	// entry asks for.
	maxWatchWait = 2 * clock.Second
	// entryTimeout is how long an entry counts as watching after its latest watch.
	entryTimeout = 2 * clock.Second
)

// WatchRequest is a long-poll request of an entry for the changes since its last
// response. It also reports the entry's load and demand.
type WatchRequest struct {
	Entry    string
	Revision uint64          // revision of the entry's catalog
	Epoch    uint64          // epoch of the server list that Position refers to
	Position uint64          // position in the server list up to which the entry knows all changes
	MaxWait  clock.Millis    // how long the leader may wait for changes before it answers
	Loads    []ServerLoad    // this entry's requests in progress, one ServerLoad for each server
	Demands  []ServiceDemand // demand at this entry, one ServiceDemand for each service
}

// ServiceDemand is the number of prompt tokens in recent requests to the engines of a
// service.
type ServiceDemand struct {
	Service           string
	LongPromptTokens  int // prompt tokens of requests with long prompts
	ShortPromptTokens int // prompt tokens of all other requests
}

// ServerLoad is the load that entries have placed on a backend server.
type ServerLoad struct {
	Server              string
	Requests            int // requests in progress
	PendingPromptTokens int // prompt tokens that the server has not processed yet
	DecodeCost          int // cost of generating the output, converted to prompt tokens
}

// WatchResponse is the response to a watch. Only a granted response confirms that the
// catalog with its revision is the newest one. Without a grant only Term,
// Members and Leader are set.
type WatchResponse struct {
	Granted    bool   // whether the member led and held the leader lease after it had read the catalog
	Leader     string // address of the leader if another member leads
	Term       uint64
	Revision   uint64            // newest revision of the catalog
	Document   *catalog.Document // newest catalog document; nil unless newer than the entry's
	Epoch      uint64            // epoch of the server list; positions of other epochs are invalid
	Position   uint64            // position in the server list after these changes
	Servers    []roster.Record   // servers that changed since the entry's position
	EntryCount int               // number of entries that watch
	Members    []string          // addresses of the control members
	Loads      []ServerLoad      // total load of all other entries, one ServerLoad for each server
	Demands    []ServiceDemand   // total demand of all other entries, one ServiceDemand for each service
}

// answerWatch records the entry's report and returns the response once there is
// a change for the entry, or when the wait time has passed. A response without
// a grant is returned at once.
func (c *Control) answerWatch(watch WatchRequest) WatchResponse {
	c.watchingEntries.update(c.options.Clock.Now(), watch)
	timeout, release := c.options.Clock.After(min(watch.MaxWait, maxWatchWait))
	defer release()
	for {
		changed := c.changed.nextChange()
		watchResponse := c.watchResponse(watch)
		if !watchResponse.Granted || watchResponse.Document != nil || len(watchResponse.Servers) > 0 || watchResponse.Epoch != watch.Epoch {
			return watchResponse
		}
		select {
		case <-changed:
		case <-timeout:
			return c.watchResponse(watch)
		}
	}
}

// watchResponse builds the response to a watch. It reads the catalog first and
// checks the leader lease afterwards, so that the catalog in a granted response
// was the newest one when it was read.
func (c *Control) watchResponse(watch WatchRequest) WatchResponse {
	document := c.machine.Catalog()
	status := c.log.Load().Status()
	watchResponse := WatchResponse{Term: status.Term, Members: lo.Map(status.Members, func(m replica.Member, _ int) string { return m.Address })}
	if status.Role != replica.Leader || status.LeaseRemaining <= 0 {
		if status.Leader != c.options.Advertise {
			watchResponse.Leader = status.Leader
		}
		return watchResponse
	}
	c.serverRegistry.receive(status.Term, nil)
	watchResponse.Granted, watchResponse.Revision = true, document.Revision
	if document.Revision > watch.Revision {
		watchResponse.Document = &document
	}
	watchResponse.Servers, watchResponse.Epoch, watchResponse.Position = c.serverRegistry.changesSince(watch.Epoch, watch.Position)
	watchResponse.EntryCount, watchResponse.Loads, watchResponse.Demands = c.watchingEntries.totalsExcept(c.options.Clock.Now(), watch.Entry)
	return watchResponse
}

func (c *Control) postWatch(f fiber.Ctx) error {
	watch, err := decodeWatch(f.Body())
	if err != nil {
		return invalidError(fiber.StatusBadRequest, err)
	}
	return respond(f)(encodeWatchResponse(c.answerWatch(watch)))
}

// wireWatch is the JSON form of WatchRequest.
type wireWatch struct {
	Entry    string       `json:"entry"`
	Revision uint64       `json:"revision"`
	Epoch    uint64       `json:"epoch"`
	Position uint64       `json:"position"`
	MaxWait  clock.Millis `json:"wait_ms"`
	Loads    []wireLoad   `json:"loads,omitempty"`
	Demands  []wireDemand `json:"demands,omitempty"`
}

// wireDemand is the JSON form of ServiceDemand.
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

// wireLoad is the JSON form of ServerLoad. Its keys are short, because it is sent
// several times a second.
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

// wireWatchResponse is the JSON form of WatchResponse.
type wireWatchResponse struct {
	Granted    bool          `json:"granted"`
	Leader     string        `json:"leader,omitempty"`
	Term       uint64        `json:"term"`
	Revision   uint64        `json:"revision"`
	Document   *wireDocument `json:"document,omitempty"`
	Epoch      uint64        `json:"epoch"`
	Position   uint64        `json:"position"`
	Servers    []wireServer  `json:"servers,omitempty"`
	EntryCount int           `json:"entries"`
	Members    []string      `json:"members"`
	Loads      []wireLoad    `json:"loads,omitempty"`
	Demands    []wireDemand  `json:"demands,omitempty"`
}

func encodeWatch(watch WatchRequest) ([]byte, error) {
	data, err := json.Marshal(wireWatch{
		Entry: watch.Entry, Revision: watch.Revision, Epoch: watch.Epoch, Position: watch.Position, MaxWait: watch.MaxWait,
		Loads: toWireLoads(watch.Loads), Demands: toWireDemands(watch.Demands),
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

func encodeWatchResponse(response WatchResponse) ([]byte, error) {
	w := wireWatchResponse{
		Granted: response.Granted, Leader: response.Leader, Term: response.Term, Revision: response.Revision, Epoch: response.Epoch, Position: response.Position,
		EntryCount: response.EntryCount, Members: response.Members, Loads: toWireLoads(response.Loads), Demands: toWireDemands(response.Demands),
		Document: (*wireDocument)(response.Document),
		Servers:  lo.Map(response.Servers, func(r roster.Record, _ int) wireServer { return toWireServer(r) }),
	}
	data, err := json.Marshal(w)
	return data, errors.WithStack(err)
}

func decodeWatchResponse(data []byte) (WatchResponse, error) {
	var w wireWatchResponse
	if err := json.Unmarshal(data, &w); err != nil {
		return WatchResponse{}, errors.Wrap(err, "decoding the answer to a watch")
	}
	return WatchResponse{
		Granted: w.Granted, Leader: w.Leader, Term: w.Term, Revision: w.Revision, Epoch: w.Epoch, Position: w.Position,
		EntryCount: w.EntryCount, Members: w.Members, Loads: fromWireLoads(w.Loads),
		Demands:  fromWireDemands(w.Demands),
		Document: (*catalog.Document)(w.Document),
		Servers:  lo.Map(w.Servers, func(s wireServer, _ int) roster.Record { return s.toRecord() }),
	}, nil
}
