package control

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/replica"
)

const (
	// onTimeShare is the age of a heartbeat up to which it is not overdue, as a share of
	// Options.ServerTimeout: a little more than one interval.
	onTimeShare = 1.0 / 3
	// heartbeatCallTimeout bounds a call for heartbeats to one member.
	heartbeatCallTimeout = 300 * clock.Millisecond
	// heartbeatMembers is the number of members that are asked in turn.
	heartbeatMembers = 3
	// maxAskedServers bounds the servers of one call.
	maxAskedServers = 4096
)

// wireHeartbeatsRequest is the body of a call for the newest heartbeats of servers.
type wireHeartbeatsRequest struct {
	Servers []string `json:"servers"`
}

// wireHeartbeat is the JSON form of continuation.Heartbeat.
type wireHeartbeat struct {
	Server  string       `json:"server"`
	Version string       `json:"version,omitempty"`
	Age     clock.Millis `json:"age_ms"`
	RunAge  clock.Millis `json:"run_age_ms,omitempty"`
}

// wireHeartbeats is the answer. Servers that the leader does not know are left out.
type wireHeartbeats struct {
	OnTime     clock.Millis    `json:"on_time_ms"`
	CompleteIn *clock.Millis   `json:"complete_in_ms"` // a leader of a former build does not tell it
	Heartbeats []wireHeartbeat `json:"heartbeats"`
}

// postHeartbeats answers with the newest heartbeats of servers that the leader has received.
func (c *Control) postHeartbeats(f fiber.Ctx) error {
	var request wireHeartbeatsRequest
	if err := json.Unmarshal(f.Body(), &request); err != nil || len(request.Servers) > maxAskedServers {
		return invalidError(fiber.StatusBadRequest, errors.Errorf("want up to %d servers", maxAskedServers))
	}
	status := c.log.Load().Status()
	if status.Role != replica.Leader || status.LeaseRemaining <= 0 {
		return notLeaderError{leader: status.Leader}
	}
	answer := wireHeartbeats{OnTime: clock.Millis(onTimeShare * float64(c.serverTimeout()))}
	heartbeats, completeIn := c.serverRegistry.heartbeats(status.Term, request.Servers)
	answer.Heartbeats, answer.CompleteIn = heartbeats, &completeIn
	if err := c.confirmLeading(status.Term); err != nil {
		return err
	}
	return respondValue(f, answer)
}

// serverTimeout returns Options.ServerTimeout or its default.
func (c *Control) serverTimeout() clock.Millis {
	return lo.CoalesceOrEmpty(c.options.ServerTimeout, DefaultServerTimeout)
}

// heartbeats returns the newest heartbeats of servers in a term, and the time until a server that is not among
// them has been silent in this term for so long that it counts as silent.
func (s *serverRegistry) heartbeats(term uint64, servers []string) ([]wireHeartbeat, clock.Millis) {
	s.receive(term, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	now, wall := s.control.options.Clock.Now(), s.control.options.Clock.Wall()
	completeIn := max(s.createdAt+s.control.serverTimeout()-now, 0)
	return lo.FilterMap(servers, func(server string, _ int) (wireHeartbeat, bool) {
		h, ok := s.registry.Heartbeat(now, server)
		runAge := continuation.RunAge(wall, h.StartedAt, h.RunKnownFor)
		return wireHeartbeat{Server: server, Version: h.Version, Age: h.Age, RunAge: runAge}, ok
	}), completeIn
}

// heartbeatCall is a call for heartbeats that several streams share.
type heartbeatCall struct {
	servers map[string]struct{}
	done    chan struct{} // closed once the fields below are set
	answer  continuation.Heartbeats
	err     error
}

// heartbeatCalls asks the leader for heartbeats, one call at a time. Requests that come meanwhile share
// the next one. It is safe for concurrent use.
type heartbeatCalls struct {
	mu      sync.Mutex
	next    *heartbeatCall // not begun yet; nil if none is wanted
	running bool
}

// join adds servers to the next call and returns it. It runs the calls if nobody does.
func (h *heartbeatCalls) join(servers []string, call func(*heartbeatCall)) *heartbeatCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.next == nil {
		h.next = &heartbeatCall{servers: map[string]struct{}{}, done: make(chan struct{})}
	}
	for _, server := range servers {
		h.next.servers[server] = struct{}{}
	}
	if !h.running {
		h.running = true
		go h.run(call)
	}
	return h.next
}

// run makes calls until none is wanted.
func (h *heartbeatCalls) run(call func(*heartbeatCall)) {
	for {
		h.mu.Lock()
		c := h.next
		h.next = nil
		h.running = c != nil
		h.mu.Unlock()
		if c == nil {
			return
		}
		call(c)
		close(c.done)
	}
}

// Heartbeats returns the newest heartbeats of servers that the control leader has received.
func (d *StreamDirectory) Heartbeats(ctx context.Context, servers []string) (continuation.Heartbeats, error) {
	c := d.heartbeatCalls.join(servers, d.callHeartbeats)
	select {
	case <-c.done:
		return c.answer, c.err
	case <-ctx.Done():
		return continuation.Heartbeats{}, ctx.Err()
	}
}

// callHeartbeats asks members in turn until one has the answer of the leader.
func (d *StreamDirectory) callHeartbeats(c *heartbeatCall) {
	data, err := json.Marshal(wireHeartbeatsRequest{Servers: lo.Keys(c.servers)})
	if err != nil {
		panic(errors.WithStack(err)) // cannot happen: strings can be encoded
	}
	c.err = errors.New("no control member is known")
	members := d.memberAddresses()
	for attempt := range min(len(members), heartbeatMembers) {
		askedAt := d.clock.Now()
		address := members[(int(d.heartbeatMember.Load())+attempt)%len(members)]
		if c.answer, c.err = d.askHeartbeats(address, data); c.err == nil {
			c.answer.AskedAt = askedAt
			return
		}
		d.heartbeatMember.Add(1) // the next call begins with another member
	}
}

// askHeartbeats asks one member.
func (d *StreamDirectory) askHeartbeats(address string, request []byte) (continuation.Heartbeats, error) {
	_, body, err := d.peerClient.exchange(fasthttp.MethodPost, address, pathHeartbeats, request, heartbeatCallTimeout)
	if err != nil {
		return continuation.Heartbeats{}, err
	}
	var answer wireHeartbeats
	if err := json.Unmarshal(body, &answer); err != nil {
		return continuation.Heartbeats{}, errors.Wrap(err, "decoding heartbeats")
	}
	byServer := lo.SliceToMap(answer.Heartbeats, func(h wireHeartbeat) (string, continuation.Heartbeat) {
		return h.Server, continuation.Heartbeat{Server: h.Server, Version: h.Version, Age: h.Age, OnTime: answer.OnTime, RunAge: h.RunAge}
	})
	return continuation.Heartbeats{ByServer: byServer, CompleteIn: lo.FromPtrOr(answer.CompleteIn, DefaultServerTimeout)}, nil
}
