package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

const (
	// streamReadTimeout is the longest time without a byte on a stream that has begun.
	// Entries send a comment every second.
	streamReadTimeout = 5 * clock.Second
	// firstByteTimeout bounds the wait for the first byte. It is longer than any wait
	// in the queue of an overloaded site: a load generator that gave up earlier would
	// itself cause wasted work.
	firstByteTimeout = 180 * clock.Second
	// maxAttempts bounds how often a caller connects for one request. The delay between
	// attempts starts at initialRetryDelay and doubles each time.
	maxAttempts       = 6
	initialRetryDelay = 100 * clock.Millisecond
	// statusCallInProgress is the HTTP status for an idempotency key whose call is
	// still running.
	statusCallInProgress = 425
)

// Names of headers of the caller API.
const (
	headerClass        = "X-Galenaslip-Class"
	headerWorkspace    = "X-Galenaslip-Workspace"
	headerRefuseIfLate = "X-Galenaslip-Refuse-If-Late"
	headerKey          = "Idempotency-Key"
	headerRequestID    = "X-Request-Id"
)

// result is what the caller of one request observed. id is the request id, key the
// idempotency key, which is empty for requests without one. Latencies count from the
// planned arrival.
type result struct {
	request Request
	id, key string
	// noFinalOutcome is set when the caller used up its attempts without a final
	// outcome.
	noFinalOutcome                       bool
	outcome                              outcome.Kind
	reason                               outcome.Reason
	status                               int
	firstTokenLatency, completionLatency clock.Millis
	tokensDelivered                      int
	text                                 string
	reconnects                           int
	protocolViolations                   []string // descriptions of violations of the caller API
}

// caller sends one request as a careful client does: after a lost connection it resumes
// the stream, or sends idempotent work or the same idempotency key again.
type caller struct {
	result
	clock         clock.Clock
	connections   *connections
	entries       []string
	startedAt     clock.Millis // planned time of sending; latencies count from it
	finalOutcomes int          // number of final outcomes received so far; more than one is a violation
}

// newCaller returns a caller for one request. Latencies count from the planned time of sending,
// so that delays of the load generator itself are not hidden.
func newCaller(r *runner, request Request) *caller {
	c := &caller{
		result:      result{request: request, id: fmt.Sprintf("%s-%d", r.runID, request.Number)},
		clock:       r.options.Clock,
		connections: r.connections,
		entries:     r.scenario.EntryAddresses,
		startedAt:   r.startedAt + request.At,
	}
	if request.Workload.Call.SendsKey {
		c.key = uuid.Must(uuid.NewV7()).String()
	}
	return c
}

// perform sends the request until it has a final outcome or all attempts are used up.
func (c *caller) perform(ctx context.Context) result {
	delay := initialRetryDelay
	for attempt := range maxAttempts {
		entry := c.entries[(c.request.Number+attempt)%len(c.entries)]
		if c.attempt(ctx, entry) {
			break
		}
		c.reconnects++
		if !c.clock.Sleep(ctx, delay) {
			break
		}
		delay *= 2
	}
	if c.finalOutcomes == 0 {
		c.noFinalOutcome = true
		c.outcome = outcome.Unknown
		c.completionLatency = c.clock.Now() - c.startedAt
	}
	return c.result
}

// recordOutcome records a final outcome. A second one violates the caller API.
func (c *caller) recordOutcome(kind outcome.Kind, reason outcome.Reason) {
	c.finalOutcomes++
	if c.finalOutcomes > 1 {
		c.addViolationf("final outcome %s after %s", kind, c.outcome)
		return
	}
	c.outcome, c.reason = kind, reason
	c.completionLatency = c.clock.Now() - c.startedAt
}

func (c *caller) addViolationf(format string, arguments ...any) {
	c.protocolViolations = append(c.protocolViolations, fmt.Sprintf(format, arguments...))
}

// attempt makes one HTTP exchange with an entry and reports whether no further attempt
// is needed.
func (c *caller) attempt(ctx context.Context, entry string) bool {
	conn, err := c.connections.dial(ctx, entry, firstByteTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	stopWatching := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stopWatching()
	request, err := c.buildRequest(entry)
	if err != nil {
		c.addViolationf("%v", err)
		return true
	}
	response, err := conn.exchange(request)
	if err != nil {
		return false
	}
	// While a request is queued, the entry may send nothing for a long time. It sends
	// comments only once the stream has begun, so the short timeout applies from here.
	if c.request.Stream {
		conn.readTimeout = streamReadTimeout
	}
	return c.receive(response)
}

func (c *caller) buildRequest(entry string) (*fasthttp.Request, error) {
	r := &fasthttp.Request{}
	r.Header.SetHost(entry)
	r.Header.SetConnectionClose()
	r.Header.Set(headerClass, c.request.Workload.Class.Name())
	r.Header.Set(headerWorkspace, c.request.Workspace)
	r.Header.Set(headerRequestID, c.id)
	if c.request.Workload.RefuseIfLate {
		r.Header.Set(headerRefuseIfLate, "true")
	}
	if c.key != "" {
		r.Header.Set(headerKey, c.key)
	}
	return r, c.fillRequest(r)
}

// fillRequest sets the method, path, content type and body. Once tokens were delivered,
// it asks to resume the stream at that position.
func (c *caller) fillRequest(r *fasthttp.Request) error {
	call := c.request.Workload.Call
	switch {
	case !c.request.Workload.IsModel():
		r.Header.SetMethod(call.Method)
		r.SetRequestURI("/v1/services/" + call.Service + call.Path)
		r.SetBodyString(c.request.Body)
	case c.tokensDelivered > 0:
		r.Header.SetMethod(fasthttp.MethodGet)
		r.SetRequestURI("/v1/streams/" + c.id + "?position=" + strconv.Itoa(c.tokensDelivered))
	default:
		body, err := encodeChat(c.request)
		if err != nil {
			return err
		}
		r.Header.SetMethod(fasthttp.MethodPost)
		r.SetRequestURI("/v1/chat/completions")
		r.SetBody(body)
	}
	if len(r.Body()) > 0 {
		r.Header.SetContentType("application/json")
	}
	return nil
}

// receive reads a response and reports whether no further attempt is needed.
func (c *caller) receive(response *fasthttp.Response) bool {
	c.status = response.StatusCode()
	if echoed := string(response.Header.Peek(headerRequestID)); echoed != c.id {
		c.addViolationf("request id: got %q, want %q", echoed, c.id)
	}
	body := responseBody(response)
	if c.status >= fasthttp.StatusBadRequest {
		return c.receiveError(body)
	}
	if c.request.Stream {
		return c.receiveStream(bufio.NewReader(body))
	}
	return c.receiveUnstreamed(body)
}

func (c *caller) receiveError(body io.Reader) bool {
	content, err := readAll(body)
	if err != nil {
		return false
	}
	// The call with this key is still running; a later attempt gets its answer.
	if c.status == statusCallInProgress && c.key != "" {
		return false
	}
	e := decodeError(content)
	if e == nil {
		// A response without the router's error object comes from the service itself.
		c.text = string(content)
		c.recordOutcome(outcome.Answered, outcome.ReasonNone)
		return true
	}
	c.recordError(e)
	return true
}

// recordError records the outcome that an error object states. It must be "not run",
// which is allowed only before the first token, or "unknown".
func (c *caller) recordError(e *wireError) {
	if e.Outcome != outcome.NotRun && e.Outcome != outcome.Unknown {
		c.addViolationf("outcome of an error: got %q", e.Outcome)
	}
	if e.Outcome == outcome.NotRun && c.tokensDelivered > 0 {
		c.addViolationf("not run after %d tokens", c.tokensDelivered)
	}
	c.recordOutcome(e.Outcome, e.Code)
}

func (c *caller) receiveUnstreamed(body io.Reader) bool {
	content, err := readAll(body)
	if err != nil {
		return false
	}
	c.firstTokenLatency = c.clock.Now() - c.startedAt
	c.text = string(content)
	if c.request.Workload.IsModel() {
		c.text, c.tokensDelivered, err = decodeUnstreamed(content)
	}
	if err != nil {
		c.addViolationf("%v", err)
	}
	c.recordOutcome(outcome.Answered, outcome.ReasonNone)
	return true
}

// receiveStream reads a streamed answer and reports whether it had a final outcome, so
// that no further attempt is needed. It reads until the connection ends, to detect
// events after the final one.
func (c *caller) receiveStream(reader *bufio.Reader) bool {
	finished := false
	for {
		next, err := readChunk(reader)
		switch {
		case errors.Is(err, errMalformed):
			c.addViolationf("%v", err)
			return c.finalOutcomes > 0
		case err != nil:
			return c.finalOutcomes > 0
		case c.finalOutcomes > 0:
			c.addViolationf("event after the final one: %+v", next)
		}
		switch {
		case next.failure != nil:
			c.recordError(next.failure)
		case next.done:
			c.recordStreamEnd(finished)
		default:
			finished = next.finished
			c.recordChunk(next)
		}
	}
}

// recordStreamEnd records the outcome of a stream that ended with the end marker.
func (c *caller) recordStreamEnd(finished bool) {
	if !finished {
		c.addViolationf("end marker without a finish reason")
	}
	c.recordOutcome(outcome.Answered, outcome.ReasonNone)
}

// recordChunk adds the text of an event to the answer and checks that its position
// increases.
func (c *caller) recordChunk(next chunk) {
	if next.text == "" {
		return
	}
	if c.tokensDelivered == 0 {
		c.firstTokenLatency = c.clock.Now() - c.startedAt
	}
	if next.position <= c.tokensDelivered {
		c.addViolationf("position: got %d after %d", next.position, c.tokensDelivered)
	}
	c.tokensDelivered = max(c.tokensDelivered, next.position)
	c.text += next.text
}

// measuredLatency returns the latency that the class's target applies to: the time to
// the first token or to completion.
func (r result) measuredLatency() clock.Millis {
	if r.request.Workload.Class.Measure() == class.FirstToken {
		return r.firstTokenLatency
	}
	return r.completionLatency
}
