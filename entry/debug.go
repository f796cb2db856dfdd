package entry

import (
	"context"
	"encoding/json"
	"sort"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/attainment"
	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/slot"
)

// wireState is the JSON answer of GET /debug/state.
type wireState struct {
	Name       string          `json:"name"`
	Address    string          `json:"address"`
	Policy     Policy          `json:"policy"`
	Ready      bool            `json:"ready"`
	Stopping   bool            `json:"stopping"`
	LeaseMS    int64           `json:"lease_ms"`
	Term       uint64          `json:"term"`
	Revision   uint64          `json:"revision"`
	Inbox      int             `json:"inbox"`
	Servers    []wireServer    `json:"servers"`
	Pools      []wirePool      `json:"pools"`
	Requests   []wireRequest   `json:"requests"`
	Peers      []wirePeer      `json:"peers"`
	Slots      []wireSlot      `json:"slots,omitempty"`
	Suspects   []wireSuspect   `json:"suspects"`
	Attainment json.RawMessage `json:"attainment,omitempty"`
}

// wireServer is the state of a backend server as this entry knows it.
type wireServer struct {
	Server  string `json:"server"`
	Address string `json:"address"`
	Usable  bool   `json:"usable"`
	State   string `json:"state"`
	AgeMS   int64  `json:"age_ms"`
	Running int    `json:"running"`
	Slots   int    `json:"slots"`
	// SaysLeaving and PauseLeftMS are what the server has said in its answers.
	SaysLeaving bool  `json:"says_leaving"`
	PauseLeftMS int64 `json:"pause_left_ms"`
	// Limit is how many requests a second the server takes from all entries together, 0 if it has
	// named no limit, and LimitRate the part of it that this entry may use.
	Limit     float64 `json:"limit"`
	LimitRate float64 `json:"limit_rate"`
}

// wireSlot is the state of the slot leases of one server. It has the fields of
// slot.ServerState.
type wireSlot struct {
	Server       string    `json:"server"`
	Owner        string    `json:"owner"`
	Mode         slot.Mode `json:"mode"`
	Used         int       `json:"used"`
	UnusedOffers int       `json:"held"`
	Free         int       `json:"free"`
}

// wirePool holds the number of requests and free slots of a pool.
type wirePool struct {
	Pool    string `json:"pool"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
	Free    int    `json:"free"`
}

// wireRequest is the state of a waiting or running request.
type wireRequest struct {
	ID       string `json:"id"`
	Class    string `json:"class"`
	Pool     string `json:"pool"`
	Server   string `json:"server,omitempty"`
	Running  bool   `json:"running"`
	Position int    `json:"position"`
	AgeMS    int64  `json:"age_ms"`
}

// wirePeer describes the last digest of another entry.
type wirePeer struct {
	Entry   string `json:"entry"`
	Address string `json:"address"`
	AgeMS   int64  `json:"age_ms"`
	Streams int    `json:"streams"`
}

const (
	// maxStateRequests bounds the requests that one state answer lists.
	maxStateRequests = 1000
	// stateTimeout bounds the wait for the attainment collector's state.
	stateTimeout = 1 * clock.Second
)

// debugState serves GET /debug/state.
func (e *Entry) debugState(c fiber.Ctx) error {
	w, p := queryDispatcher(e, e.dispatcher.describe)
	if p != nil {
		return p.write(c)
	}
	view := e.leases.view.Load()
	w.Name, w.Address, w.Policy = e.options.Name, e.advertised, e.options.Policy
	w.Ready, w.Stopping = e.ready() == nil, e.stopping.Load()
	w.LeaseMS = int64(e.leases.remaining())
	w.Term, w.Revision = view.term, view.configuration.Revision()
	w.Attainment = e.describeAttainment()
	w.Suspects = e.describeSuspects()
	return c.JSON(w)
}

// describeAttainment returns the collector's state as JSON, or nil when the
// collector does not answer in time.
func (e *Entry) describeAttainment() json.RawMessage {
	ctx, cancel := context.WithTimeout(e.ctx, stateTimeout.Duration())
	defer cancel()
	state, err := e.collector.State(ctx)
	if err != nil {
		return nil
	}
	encoded, err := attainment.Encode(state)
	if err != nil {
		return nil
	}
	return encoded
}

// describe returns the dispatcher's part of the state.
func (d *dispatcher) describe(now clock.Millis) wireState {
	w := wireState{Inbox: len(d.inbox), Slots: d.slots.describe(now)}
	w.Servers = lo.Map(d.registry.Servers(now), func(s backend.Server, _ int) wireServer {
		limit := d.limiter.ServerRate(now, limitRun(s.Server(), s.Incarnation()))
		return wireServer{
			Server: s.Server(), Address: s.Address(), Usable: s.Usable, State: string(s.State()),
			AgeMS: int64(s.Age), Running: s.Load().Running, Slots: s.Slots(),
			SaysLeaving: d.withdrawals[s.Server()].Leaving(), PauseLeftMS: int64(d.withdrawals[s.Server()].PauseLeft(now)),
			Limit: limit.Limit, LimitRate: limit.Rate,
		}
	})
	for name, p := range d.pools {
		w.Pools = append(w.Pools, wirePool{
			Pool: name, Waiting: p.waiting.len(), Running: p.running.len(), Free: d.router.FreeSlots(now, name),
		})
	}
	sort.Slice(w.Pools, func(i, j int) bool { return w.Pools[i].Pool < w.Pools[j].Pool })
	for _, j := range d.jobs {
		if len(w.Requests) < maxStateRequests {
			w.Requests = append(w.Requests, j.describe(now))
		}
	}
	for name, p := range d.peers {
		w.Peers = append(w.Peers, wirePeer{Entry: name, Address: p.address, AgeMS: int64(now - p.pulledAt), Streams: len(p.streams)})
	}
	return w
}

func (j *job) describe(now clock.Millis) wireRequest {
	w := wireRequest{
		ID: j.callerRequest.id, Class: j.callerRequest.class.Name(), Pool: j.callerRequest.pool, Running: j.running,
		Position: int(j.callerRequest.producedTokens.Load()), AgeMS: int64(now - j.callerRequest.arrived),
	}
	if j.running {
		w.Server = j.server
	}
	return w
}

// wireModels is the JSON answer of GET /v1/models.
type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

type wireModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models serves GET /v1/models.
func (e *Entry) models(c fiber.Ctx) error {
	pools, p := queryDispatcher(e, func(now clock.Millis) []string { return e.dispatcher.registry.Pools(now) })
	if p != nil {
		return p.write(c)
	}
	w := wireModels{Object: "list", Data: []wireModel{}}
	for _, pool := range pools {
		if model, ok := strings.CutPrefix(pool, backend.ModelPool("")); ok {
			w.Data = append(w.Data, wireModel{ID: model, Object: "model", OwnedBy: "galenaslip"})
		}
	}
	return c.JSON(w)
}

// healthz serves GET /healthz. It always succeeds while the process runs.
func (e *Entry) healthz(c fiber.Ctx) error {
	return c.SendString("ok")
}

// readyz serves GET /readyz. It succeeds while the entry accepts new requests.
func (e *Entry) readyz(c fiber.Ctx) error {
	if p := e.ready(); p != nil {
		return p.write(c)
	}
	return c.SendString("ready")
}

// ready returns nil, or the reason why the entry accepts no new requests.
func (e *Entry) ready() *problem {
	switch {
	case e.stopping.Load():
		return notRun(outcome.ReasonStopping, "the entry is stopping")
	case !e.leases.valid():
		return noLease()
	}
	return nil
}

// wireCall is the JSON answer of GET /v1/calls/{key}.
type wireCall struct {
	Key    string          `json:"key"`
	State  string          `json:"state"`
	Answer *wireCallAnswer `json:"answer,omitempty"`
}

type wireCallAnswer struct {
	Status  int                 `json:"status"`
	Headers map[string][]string `json:"headers"`
	Body    []byte              `json:"body_base64"`
}

// lookupCall serves GET /v1/calls/{key}.
func (e *Entry) lookupCall(c fiber.Ctx) error {
	key := string([]byte(c.Params("key")))
	o, p := e.newClaimLookup(key)
	if p != nil {
		return e.reject(c, p)
	}
	ctx, cancel := o.context()
	defer cancel()
	reply := e.options.Control.Lookup(ctx, key)
	switch {
	case reply.Kind != outcome.Answered:
		return e.reject(c, unknown(outcome.ReasonControlUnavailable, "the key could not be looked up: "+reply.Message))
	case reply.Result.Reason == outcome.ReasonRequestNotFound:
		return e.reject(c, notFound(outcome.ReasonRequestNotFound, "key", "unknown key"))
	case reply.Result.Reason != outcome.ReasonNone:
		return e.reject(c, o.problemFor(reply.Result.Reason))
	}
	w := wireCall{Key: key, State: string(reply.Result.State)}
	if a := reply.Result.Answer; a.Status != 0 {
		w.Answer = &wireCallAnswer{Status: a.Status, Headers: a.Headers, Body: a.Body}
	}
	return c.JSON(w)
}
