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
	// streamSilence is the longest silence of a stream that has begun; entries send a comment
	// every second.
	streamSilence = 5 * clock.Second
	// queueSilence bounds the wait for the first byte. It is longer than any wait in
	// the queue of an overloaded site, so that the tool itself does not abandon work
	// that is then wasted.
	queueSilence = 180 * clock.Second
	// attempts bounds how often a caller connects again after it lost its
	// connection; the delay doubles from firstDelay.
	attempts   = 6
	firstDelay = 100 * clock.Millisecond
	// statusInProgress is the answer to a key whose call still runs.
	statusInProgress = 425
)

// Names of headers of the caller API.
const (
	headerClass        = "X-Galenaslip-Class"
	headerWorkspace    = "X-Galenaslip-Workspace"
	headerRefuseIfLate = "X-Galenaslip-Refuse-If-Late"
	headerKey          = "Idempotency-Key"
	headerRequestID    = "X-Request-Id"
)

// result is what the caller of one request has seen.
type result struct {
	request Request
	id, key string
	// lost is set when the caller ran out of attempts without a final outcome.
	lost                   bool
	outcome                outcome.Kind
	reason                 outcome.Reason
	status                 int
	firstToken, completion clock.Millis
	delivered              int
	text                   string
	reconnects             int
	faults                 []string // breaches of the protocol
}

// caller performs one request as a careful client: when it loses a connection it
// resumes the stream, or sends idempotent work or the same key again.
type caller struct {
	result
	clock       clock.Clock
	connections *connections
	targets     []string
	started     clock.Millis
	finals      int
}

// newCaller counts latencies from the planned arrival, so that a tool that falls
// behind does not hide waits.
func newCaller(r *runner, request Request) *caller {
	c := &caller{
		result:      result{request: request, id: fmt.Sprintf("%s-%d", r.run, request.Number)},
		clock:       r.options.Clock,
		connections: r.connections,
		targets:     r.scenario.Targets,
		started:     r.started + request.At,
	}
	if request.Workload.Call.SendsKey {
		c.key = uuid.Must(uuid.NewV7()).String()
	}
	return c
}

// perform sends the request until it has a final outcome or no attempt is left.
func (c *caller) perform(ctx context.Context) result {
	delay := firstDelay
	for attempt := range attempts {
		target := c.targets[(c.request.Number+attempt)%len(c.targets)]
		if c.attempt(ctx, target) {
			break
		}
		c.reconnects++
		if !c.clock.Sleep(ctx, delay) {
			break
		}
		delay *= 2
	}
	if c.finals == 0 {
		c.lost = true
		c.outcome = outcome.Unknown
		c.completion = c.clock.Now() - c.started
	}
	return c.result
}

// final records a final outcome. More than one is a breach.
func (c *caller) final(kind outcome.Kind, reason outcome.Reason) {
	c.finals++
	if c.finals > 1 {
		c.faultf("final outcome %s after %s", kind, c.outcome)
		return
	}
	c.outcome, c.reason = kind, reason
	c.completion = c.clock.Now() - c.started
}

func (c *caller) faultf(format string, arguments ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, arguments...))
}

// attempt makes one exchange, and reports whether the outcome is final.
func (c *caller) attempt(ctx context.Context, target string) bool {
	conn, err := c.connections.dial(ctx, target, queueSilence)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	release := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer release()
	request, err := c.build(target)
	if err != nil {
		c.faultf("%v", err)
		return true
	}
	response, err := conn.exchange(request)
	if err != nil {
		return false
	}
	// A request may wait in the queue for long without a byte. Only a stream that
	// has begun sends comments.
	if c.request.Stream {
		conn.silence = streamSilence
	}
	return c.receive(response)
}

func (c *caller) build(target string) (*fasthttp.Request, error) {
	r := &fasthttp.Request{}
	r.Header.SetHost(target)
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
	return r, c.address(r)
}

// address sets method, path and body.
func (c *caller) address(r *fasthttp.Request) error {
	call := c.request.Workload.Call
	switch {
	case !c.request.Workload.IsModel():
		r.Header.SetMethod(call.Method)
		r.SetRequestURI("/v1/services/" + call.Service + call.Path)
		r.SetBodyString(c.request.Body)
	case c.delivered > 0:
		r.Header.SetMethod(fasthttp.MethodGet)
		r.SetRequestURI("/v1/streams/" + c.id + "?position=" + strconv.Itoa(c.delivered))
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

// receive reads a response, and reports whether the outcome is final.
func (c *caller) receive(response *fasthttp.Response) bool {
	c.status = response.StatusCode()
	if echoed := string(response.Header.Peek(headerRequestID)); echoed != c.id {
		c.faultf("request id: got %q, want %q", echoed, c.id)
	}
	body := bodyOf(response)
	if c.status >= fasthttp.StatusBadRequest {
		return c.receiveError(body)
	}
	if c.request.Stream {
		return c.receiveStream(bufio.NewReader(body))
	}
	return c.receiveWhole(body)
}

func (c *caller) receiveError(body io.Reader) bool {
	content, err := readAll(body)
	if err != nil {
		return false
	}
	// A key that is in progress gets its answer later.
	if c.status == statusInProgress && c.key != "" {
		return false
	}
	e := decodeError(content)
	if e == nil {
		// An answer without the error object comes from the service itself.
		c.text = string(content)
		c.final(outcome.Answered, outcome.ReasonNone)
		return true
	}
	c.failed(e)
	return true
}

func (c *caller) failed(e *wireError) {
	if e.Outcome != outcome.NotRun && e.Outcome != outcome.Unknown {
		c.faultf("outcome of an error: got %q", e.Outcome)
	}
	if e.Outcome == outcome.NotRun && c.delivered > 0 {
		c.faultf("not run after %d tokens", c.delivered)
	}
	c.final(e.Outcome, e.Code)
}

func (c *caller) receiveWhole(body io.Reader) bool {
	content, err := readAll(body)
	if err != nil {
		return false
	}
	c.firstToken = c.clock.Now() - c.started
	c.text = string(content)
	if c.request.Workload.IsModel() {
		c.text, c.delivered, err = decodeWhole(content)
	}
	if err != nil {
		c.faultf("%v", err)
	}
	c.final(outcome.Answered, outcome.ReasonNone)
	return true
}

// receiveStream reads until the connection ends, because nothing may follow the
// final event.
func (c *caller) receiveStream(reader *bufio.Reader) bool {
	finished := false
	for {
		next, err := readChunk(reader)
		switch {
		case errors.Is(err, errMalformed):
			c.faultf("%v", err)
			return c.finals > 0
		case err != nil:
			return c.finals > 0
		case c.finals > 0:
			c.faultf("event after the final one: %+v", next)
		}
		switch {
		case next.failure != nil:
			c.failed(next.failure)
		case next.done:
			c.ended(finished)
		default:
			finished = next.finished
			c.deliver(next)
		}
	}
}

// ended records the end of a complete stream.
func (c *caller) ended(finished bool) {
	if !finished {
		c.faultf("end marker without a finish reason")
	}
	c.final(outcome.Answered, outcome.ReasonNone)
}

func (c *caller) deliver(next chunk) {
	if next.text == "" {
		return
	}
	if c.delivered == 0 {
		c.firstToken = c.clock.Now() - c.started
	}
	if next.position <= c.delivered {
		c.faultf("position: got %d after %d", next.position, c.delivered)
	}
	c.delivered = max(c.delivered, next.position)
	c.text += next.text
}

// measured returns the latency that the target of the class is measured to.
func (r result) measured() clock.Millis {
	if r.request.Workload.Class.Measure() == class.FirstToken {
		return r.firstToken
	}
	return r.completion
}
