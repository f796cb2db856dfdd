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

// Timeouts and intervals of the client.
const (
	// DefaultTryTimeout bounds one request to one member, so that a connection
	// without responses is given up well before a lease of 3 s ends.
	DefaultTryTimeout = 800 * clock.Millisecond
	// DefaultCallTimeout bounds one call including all its tries. It is long enough for
	// an election.
	DefaultCallTimeout = 5 * clock.Second
	// retryPause is the delay between two tries. It keeps a client from flooding a
	// group that has no leader.
	retryPause = 50 * clock.Millisecond
)

// maxClientAnswer is the largest accepted response in bytes. The largest
// response in use is the history of 1,000 configuration changes.
const maxClientAnswer = 16 << 20

// ClientOptions configure a Client.
type ClientOptions struct {
	Addresses   []string // host:port of every control member
	Token       string   // bearer token; none is sent when empty
	Clock       clock.Clock
	TryTimeout  clock.Millis // timeout of one try; DefaultTryTimeout when 0
	CallTimeout clock.Millis // timeout of one call with all its tries; DefaultCallTimeout when 0
}

// Client calls the control group. It prefers the member that answered last and
// tries the others when that one fails. Every call may be sent more than once: a
// change carries an idempotency key, and a claim call carries the ID of its
// attempt. A repeated call therefore gets the answer of the first one. Client is
// safe for concurrent use.
type Client struct {
	options   ClientOptions
	http      *fasthttp.Client
	preferred atomic.Uint64 // index of the preferred address, modulo the number of addresses
}

// Reply is the result of a call. Kind is Answered when the group has answered,
// NotRun when the call certainly had no effect, and Unknown when it may have
// taken effect or may still do so. Status is the HTTP status, or 0 without a
// response.
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

// NewClient returns a client and a function that closes its idle connections.
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

// NewAttemptID returns a random ID for a new attempt at a once-only call.
func NewAttemptID() string { return uuid.NewString() }

// NewIdempotencyKey returns a new idempotency key, a version 7 UUID.
func NewIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

// Configuration returns the current configuration.
func (c *Client) Configuration(ctx context.Context) (configuration.Configuration, Reply) {
	reply := c.call(ctx, call{path: pathConfiguration, readOnly: true})
	return decodeReply(reply, configuration.Decode)
}

// Change proposes a configuration change that is based on the given revision. A
// caller that repeats a change after an unknown reply must pass the same
// idempotency key.
func (c *Client) Change(ctx context.Context, baseRevision uint64, change configuration.Change, idempotencyKey string) ChangeReply {
	body, err := encodeChangeRequest(change, baseRevision)
	if err != nil {
		return ChangeReply{Reply: invalidReply(err)}
	}
	reply := c.call(ctx, call{method: fasthttp.MethodPost, path: pathChanges, body: body, idempotencyKey: idempotencyKey})
	answer, reply := decodeReply(reply, configuration.DecodeAnswer)
	return ChangeReply{Reply: reply, Answer: answer}
}

// History returns the retained accepted changes, oldest first.
func (c *Client) History(ctx context.Context) ([]configuration.Record, Reply) {
	reply := c.call(ctx, call{path: pathHistory, readOnly: true})
	return decodeReply(reply, configuration.DecodeHistory)
}

// Diff returns the differences between two revisions of the configuration.
func (c *Client) Diff(ctx context.Context, from, to uint64) ([]configuration.Difference, Reply) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}, "to": {strconv.FormatUint(to, 10)}}
	reply := c.call(ctx, call{path: pathDiff + "?" + query.Encode(), readOnly: true})
	return decodeReply(reply, configuration.DecodeDifferences)
}

// Renew asks for a configuration lease. Each try carries the same renewal, so
// the lease.Holder must measure the lease from a time before the first try.
func (c *Client) Renew(ctx context.Context, renewal lease.Renewal) (lease.Grant, Reply) {
	body, err := lease.EncodeRenewal(renewal)
	if err != nil {
		return lease.Grant{}, invalidReply(err)
	}
	reply := c.call(ctx, call{method: fasthttp.MethodPost, path: pathRenew, body: body, readOnly: true})
	return decodeReply(reply, lease.DecodeGrant)
}

// Acquire claims the key of a once-only call for an attempt.
func (c *Client) Acquire(ctx context.Context, key, bodyHash string, attempt claim.Attempt) ClaimReply {
	return c.claim(ctx, pathAcquire, wireClaimRequest{Key: key, BodyHash: bodyHash}, attempt)
}

// MarkSent marks a claim as sent. The caller may write the first byte of the call to
// a server only when the reply is Answered and the result is owned and in state
// sent.
func (c *Client) MarkSent(ctx context.Context, key string, attempt claim.Attempt) ClaimReply {
	return c.claim(ctx, pathMarkSent, wireClaimRequest{Key: key}, attempt)
}

// EndAttempt records the outcome of an attempt: answered, not run or unknown. The
// answer is stored only for the state claim.Answered.
func (c *Client) EndAttempt(ctx context.Context, key string, attempt claim.Attempt, state claim.State, answer claim.Answer) ClaimReply {
	request := wireClaimRequest{Key: key, State: state}
	if state == claim.Answered {
		request.Answer = &wireClaimAnswer{Status: answer.Status, Headers: answer.Headers, Body: answer.Body}
	}
	return c.claim(ctx, pathEndAttempt, request, attempt)
}

// Lookup returns the state of a claim.
func (c *Client) Lookup(ctx context.Context, key string) ClaimReply {
	return c.sendClaim(ctx, pathLookup, wireClaimRequest{Key: key}, true)
}

// claim sends a claim request on behalf of an attempt.
func (c *Client) claim(ctx context.Context, path string, request wireClaimRequest, attempt claim.Attempt) ClaimReply {
	request.Entry, request.Incarnation, request.Attempt = attempt.Entry, attempt.Incarnation, attempt.ID
	return c.sendClaim(ctx, path, request, false)
}

// sendClaim sends a claim request and decodes the result.
func (c *Client) sendClaim(ctx context.Context, path string, request wireClaimRequest, readOnly bool) ClaimReply {
	body, err := json.Marshal(request)
	if err != nil {
		return ClaimReply{Reply: invalidReply(err)}
	}
	reply := c.call(ctx, call{method: fasthttp.MethodPost, path: path, body: body, readOnly: readOnly})
	result, reply := decodeReply(reply, claim.DecodeResult)
	return ClaimReply{Reply: reply, Result: result}
}

// Members returns the term, leader and members of the control group as JSON.
func (c *Client) Members(ctx context.Context) ([]byte, Reply) {
	reply := c.call(ctx, call{path: pathMembers, readOnly: true})
	return reply.body, reply
}

// RemoveMember removes the member with the given identity from the group and returns
// the remaining members as JSON.
func (c *Client) RemoveMember(ctx context.Context, identity string) ([]byte, Reply) {
	body, err := json.Marshal(wireMember{Identity: identity})
	if err != nil {
		return nil, invalidReply(err)
	}
	reply := c.call(ctx, call{method: fasthttp.MethodPost, path: pathRemove, body: body})
	return reply.body, reply
}

// invalidReply returns the reply to a call that was not sent because it cannot be
// encoded.
func invalidReply(err error) Reply {
	return Reply{Kind: outcome.NotRun, Reason: outcome.ReasonInvalidRequest, Message: err.Error()}
}

// decodeReply decodes the body of an answered call. A rejected configuration
// change counts as answered too, because its body is a configuration answer and
// not an error object.
func decodeReply[T any](reply Reply, decode func([]byte) (T, error)) (T, Reply) {
	var zero T
	if reply.Kind != outcome.Answered {
		return zero, reply
	}
	value, err := decode(reply.body)
	if err != nil {
		reply.Kind, reply.Message = outcome.Unknown, err.Error()
		return zero, reply
	}
	return value, reply
}

// withEarlierTries turns NotRun into Unknown if uncertain is set, which means that
// an earlier try of the same call may have taken effect.
func (r Reply) withEarlierTries(uncertain bool) Reply {
	if uncertain && r.Kind == outcome.NotRun {
		r.Kind = outcome.Unknown
	}
	return r
}

// call is one request to the control group.
type call struct {
	method         string // HTTP method; GET when empty
	path           string
	body           []byte
	idempotencyKey string
	readOnly       bool // the call changes nothing, so without an answer it counts as NotRun
}

// call tries the members in turn until one answers or the timeout of the whole
// call has passed.
func (c *Client) call(ctx context.Context, request call) Reply {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout.Duration())
	defer cancel()
	lastReply := Reply{Kind: outcome.NotRun, Reason: outcome.ReasonControlUnavailable, Message: "no control member was tried"}
	uncertain := false
	deadline := c.options.Clock.Now() + c.options.CallTimeout
	for ctx.Err() == nil {
		timeout := max(1, min(c.options.TryTimeout, deadline-c.options.Clock.Now()))
		position := c.preferred.Load()
		reply, final := c.try(request, timeout, c.options.Addresses[position%uint64(len(c.options.Addresses))])
		if final {
			return reply.withEarlierTries(uncertain && !request.readOnly)
		}
		lastReply, uncertain = reply, uncertain || reply.Kind == outcome.Unknown
		c.preferred.CompareAndSwap(position, position+1)
		c.options.Clock.Sleep(ctx, retryPause)
	}
	if request.readOnly {
		lastReply.Kind = outcome.NotRun
	}
	return lastReply.withEarlierTries(uncertain && !request.readOnly)
}

// try sends the request to one member and reports whether the reply is final. It
// is not final when another member, or the same one later, may still answer.
func (c *Client) try(request call, timeout clock.Millis, address string) (Reply, bool) {
	req, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(response)
	req.SetRequestURI("http://" + address + request.path)
	req.Header.SetMethod(request.method)
	req.Header.SetContentType(fiber.MIMEApplicationJSON)
	setToken(&req.Header, c.options.Token)
	if request.idempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, request.idempotencyKey)
	}
	req.SetBodyRaw(request.body)
	if err := c.http.DoTimeout(req, response, timeout.Duration()); err != nil {
		// The other idle connections may be broken in the same way.
		c.http.CloseIdleConnections()
		kind := outcome.Unknown
		if neverSent(err) {
			kind = outcome.NotRun
		}
		return Reply{Kind: kind, Reason: outcome.ReasonControlUnavailable, Message: err.Error()}, false
	}
	return readReply(response)
}

// readReply converts a response into a reply and reports whether it is final. A
// JSON body without an error outcome is an answer at any status, such as a
// rejected change with status 409. An error with a 5xx status is not final.
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
