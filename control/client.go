package control

import (
	"context"
	"encoding/json"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/outcome"
)

// Times of the client.
const (
	// DefaultTryTimeout bounds one try, so that a connection that went silent is
	// noticed well before a lease of 3 s ends.
	DefaultTryTimeout = 800 * clock.Millisecond
	// DefaultCallTimeout bounds one call with all its tries. It covers an election.
	DefaultCallTimeout = 5 * clock.Second
	// retryPause keeps a client from flooding a group without a leader.
	retryPause = 50 * clock.Millisecond
)

// maxClientAnswer bounds an answer; the history of 1,000 changes is the largest.
const maxClientAnswer = 16 << 20

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	Addresses   []string // of every control member
	Token       string
	Clock       clock.Clock
	TryTimeout  clock.Millis // DefaultTryTimeout when 0
	CallTimeout clock.Millis // DefaultCallTimeout when 0
}

// Client calls the control group. It remembers which member answered last and
// tries the others when that one fails. Every call may be sent more than once;
// changes carry an idempotency key and claims the name of the attempt, so a
// repetition gets the first answer. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	http    *fasthttp.Client
	next    atomic.Uint64 // position of the preferred address
}

// Reply says how a call ended. Kind is Answered when the group has answered,
// NotRun when the call certainly had no effect, and Unknown when it may have
// taken effect or may still do so.
type Reply struct {
	Kind    outcome.Kind
	Status  int
	Reason  outcome.Reason
	Message string
	body    []byte
}

// ChangeReply is the reply to a configuration change.
type ChangeReply struct {
	Reply
	Answer configuration.Answer
}

// ClaimReply is the reply to a claim call.
type ClaimReply struct {
	Reply
	Result claim.Result
}

// NewClient returns a client and a function that closes its connections.
func NewClient(options ClientOptions) (*Client, func(), error) {
	if len(options.Addresses) == 0 {
		return nil, nil, errors.New("a control client needs the address of a control member")
	}
	if options.TryTimeout == 0 {
		options.TryTimeout = DefaultTryTimeout
	}
	if options.CallTimeout == 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	c := &Client{options: options, http: newHTTPClient(maxClientAnswer)}
	return c, c.http.CloseIdleConnections, nil
}

// NewAttemptID returns the name of a new attempt at an at-most-once call.
func NewAttemptID() string { return uuid.NewString() }

// NewIdempotencyKey returns a new idempotency key for a change.
func NewIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

// Configuration returns the current configuration.
func (c *Client) Configuration(ctx context.Context) (configuration.Configuration, Reply) {
	reply := c.call(ctx, call{path: pathConfiguration, readOnly: true})
	return decodeReply(reply, configuration.Decode)
}

// Change proposes a change to the revision base. A caller that repeats a change
// after an unknown reply passes the same key.
func (c *Client) Change(ctx context.Context, base uint64, change configuration.Change, key string) ChangeReply {
	body, err := encodeChangeRequest(change, base)
	if err != nil {
		return ChangeReply{Reply: refused(err)}
	}
	reply := c.call(ctx, call{method: fasthttp.MethodPost, path: pathChanges, body: body, key: key})
	answer, reply := decodeReply(reply, configuration.DecodeAnswer)
	return ChangeReply{Reply: reply, Answer: answer}
}

// History returns the retained accepted changes, oldest first.
func (c *Client) History(ctx context.Context) ([]configuration.Record, Reply) {
	reply := c.call(ctx, call{path: pathHistory, readOnly: true})
	return decodeReply(reply, configuration.DecodeHistory)
}

// Diff returns what changed between two revisions.
func (c *Client) Diff(ctx context.Context, from, to uint64) ([]configuration.Difference, Reply) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}, "to": {strconv.FormatUint(to, 10)}}
	reply := c.call(ctx, call{path: pathDiff + "?" + query.Encode(), readOnly: true})
	return decodeReply(reply, configuration.DecodeDifferences)
}

// Renew asks for a configuration lease. Each try carries the same renewal, so the
// holder measures the lease from before the first one.
func (c *Client) Renew(ctx context.Context, r lease.Renewal) (lease.Grant, Reply) {
	body, err := lease.EncodeRenewal(r)
	if err != nil {
		return lease.Grant{}, refused(err)
	}
	reply := c.call(ctx, call{method: fasthttp.MethodPost, path: pathRenew, body: body, readOnly: true})
	return decodeReply(reply, lease.DecodeGrant)
}

// Acquire claims a key for an attempt.
func (c *Client) Acquire(ctx context.Context, key, bodyHash string, attempt claim.Attempt) ClaimReply {
	return c.claim(ctx, pathAcquire, wireClaim{Key: key, BodyHash: bodyHash}, attempt)
}

// MarkSent marks a claim as sent. The caller may write the first byte only when the
// reply is Answered and its result owned and in state sent.
func (c *Client) MarkSent(ctx context.Context, key string, attempt claim.Attempt) ClaimReply {
	return c.claim(ctx, pathSend, wireClaim{Key: key}, attempt)
}

// Settle records how an attempt ended.
func (c *Client) Settle(ctx context.Context, key string, attempt claim.Attempt, state claim.State, a claim.Answer) ClaimReply {
	w := wireClaim{Key: key, State: state}
	if state == claim.Answered {
		w.Answer = &wireReply{Status: a.Status, Headers: a.Headers, Body: a.Body}
	}
	return c.claim(ctx, pathSettle, w, attempt)
}

// Lookup returns the state of a claim.
func (c *Client) Lookup(ctx context.Context, key string) ClaimReply {
	return c.claimCall(ctx, pathLookup, wireClaim{Key: key}, true)
}

func (c *Client) claim(ctx context.Context, path string, w wireClaim, a claim.Attempt) ClaimReply {
	w.Entry, w.Incarnation, w.Attempt = a.Entry, a.Incarnation, a.ID
	return c.claimCall(ctx, path, w, false)
}

func (c *Client) claimCall(ctx context.Context, path string, w wireClaim, readOnly bool) ClaimReply {
	body, err := json.Marshal(w)
	if err != nil {
		return ClaimReply{Reply: refused(err)}
	}
	reply := c.call(ctx, call{method: fasthttp.MethodPost, path: path, body: body, readOnly: readOnly})
	result, reply := decodeReply(reply, claim.DecodeResult)
	return ClaimReply{Reply: reply, Result: result}
}

// Members returns the group as JSON.
func (c *Client) Members(ctx context.Context) ([]byte, Reply) {
	reply := c.call(ctx, call{path: pathMembers, readOnly: true})
	return reply.body, reply
}

// RemoveMember removes the member with the given identity.
func (c *Client) RemoveMember(ctx context.Context, identity string) ([]byte, Reply) {
	body, err := json.Marshal(wireMember{Identity: identity})
	if err != nil {
		return nil, refused(err)
	}
	reply := c.call(ctx, call{method: fasthttp.MethodPost, path: pathRemove, body: body})
	return reply.body, reply
}

func refused(err error) Reply {
	return Reply{Kind: outcome.NotRun, Reason: outcome.ReasonInvalidRequest, Message: err.Error()}
}

// decodeReply decodes the body of an answered call. A change that was refused is
// answered too: its body is an answer and not an error.
func decodeReply[T any](reply Reply, decode func([]byte) (T, error)) (T, Reply) {
	var none T
	if reply.Kind != outcome.Answered {
		return none, reply
	}
	value, err := decode(reply.body)
	if err != nil {
		reply.Kind, reply.Message = outcome.Unknown, err.Error()
		return none, reply
	}
	return value, reply
}

// after corrects a reply of a call that may have taken effect in an earlier try.
func (r Reply) after(uncertain bool) Reply {
	if uncertain && r.Kind == outcome.NotRun {
		r.Kind = outcome.Unknown
	}
	return r
}

// call is one request to the group.
type call struct {
	method   string
	path     string
	body     []byte
	key      string
	readOnly bool // the call has no effect, so it is never unknown
}

// call tries the members in turn until one answers or the budget is spent.
func (c *Client) call(ctx context.Context, request call) Reply {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout.Duration())
	defer cancel()
	last := Reply{Kind: outcome.NotRun, Reason: outcome.ReasonControlUnavailable, Message: "no control member was tried"}
	uncertain := false
	end := c.options.Clock.Now() + c.options.CallTimeout
	for ctx.Err() == nil {
		timeout := max(1, min(c.options.TryTimeout, end-c.options.Clock.Now()))
		position := c.next.Load()
		reply, final := c.try(request, timeout, c.options.Addresses[position%uint64(len(c.options.Addresses))])
		if final {
			return reply.after(uncertain && !request.readOnly)
		}
		last, uncertain = reply, uncertain || reply.Kind == outcome.Unknown
		c.next.CompareAndSwap(position, position+1)
		c.options.Clock.Sleep(ctx, retryPause)
	}
	if request.readOnly {
		last.Kind = outcome.NotRun
	}
	return last.after(uncertain && !request.readOnly)
}

// try sends the request to one member. It is final unless another member, or the
// same one later, may answer.
func (c *Client) try(request call, timeout clock.Millis, address string) (Reply, bool) {
	req, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(response)
	req.SetRequestURI("http://" + address + request.path)
	req.Header.SetMethod(request.method)
	req.Header.SetContentType(fiber.MIMEApplicationJSON)
	setToken(&req.Header, c.options.Token)
	if request.key != "" {
		req.Header.Set(headerKey, request.key)
	}
	req.SetBodyRaw(request.body)
	if err := c.http.DoTimeout(req, response, timeout.Duration()); err != nil {
		// The other connections to this member may be silent as well.
		c.http.CloseIdleConnections()
		kind := outcome.Unknown
		if neverSent(err) {
			kind = outcome.NotRun
		}
		return Reply{Kind: kind, Reason: outcome.ReasonControlUnavailable, Message: err.Error()}, false
	}
	return readReply(response)
}

func readReply(response *fasthttp.Response) (Reply, bool) {
	status, body := response.StatusCode(), slices.Clone(response.Body())
	var w wireError
	if err := json.Unmarshal(body, &w); status < fiber.StatusBadRequest || (err == nil && w.Error.Outcome == "") {
		return Reply{Kind: outcome.Answered, Status: status, body: body}, true
	}
	reply := Reply{Kind: w.Error.Outcome, Status: status, Reason: w.Error.Code, Message: w.Error.Message}
	if reply.Kind != outcome.NotRun {
		reply.Kind = outcome.Unknown
	}
	return reply, status < fiber.StatusInternalServerError
}
