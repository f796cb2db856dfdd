package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/memory"
	"github.com/galenaslip/galenaslip/stream"
)

// Stream is a streamed answer of an engine. It is not safe for concurrent use.
type Stream struct {
	exchange *exchange
	reader   *stream.Reader
}

// Chat sends a chat request, with stream set in the body, and returns the streamed
// answer. id is the request id.
func (c *Client) Chat(ctx context.Context, address, id string, body []byte, hooks Hooks) (*Stream, error) {
	return c.stream(ctx, chatRequest(address, id, body, hooks))
}

// ChatUnstreamed sends a chat request and returns the body of an answer that is not streamed.
// No byte arrives while the engine generates such an answer, so readTimeout has to cover
// the whole generation.
func (c *Client) ChatUnstreamed(
	ctx context.Context, address, id string, body []byte, readTimeout clock.Millis, hooks Hooks,
) ([]byte, error) {
	r := chatRequest(address, id, body, hooks)
	r.ReadTimeout = readTimeout
	answer, err := c.Call(ctx, r)
	if err == nil && answer.Status != fasthttp.StatusOK {
		return nil, &Failure{Kind: Refused, Address: address, Status: answer.Status, Body: answer.Body}
	}
	return answer.Body, err
}

func chatRequest(address, id string, body []byte, hooks Hooks) Request {
	return Request{
		Method:  fasthttp.MethodPost,
		Address: address,
		Path:    "/v1/chat/completions",
		Headers: []Header{
			{Name: HeaderRequestID, Value: id},
			{Name: fasthttp.HeaderContentType, Value: "application/json"},
		},
		Body:  body,
		Hooks: hooks,
	}
}

// Resume reads an answer of an earlier request from a token position, out of the
// engine's buffer. readTimeout is the longest time without a byte up to the response
// header; zero selects Options.ReadTimeout.
func (c *Client) Resume(ctx context.Context, address, id string, position int, readTimeout clock.Millis) (*Stream, error) {
	return c.stream(ctx, Request{
		Method:        fasthttp.MethodGet,
		Address:       address,
		Path:          "/v1/requests/" + url.PathEscape(id) + "/stream?position=" + strconv.Itoa(position),
		NewConnection: true, // like the lost connection, pooled ones to this engine may be silent
		ReadTimeout:   readTimeout,
	})
}

func (c *Client) stream(ctx context.Context, r Request) (*Stream, error) {
	e, failure := c.open(ctx, r)
	if failure != nil {
		return nil, failure
	}
	if status := e.response.StatusCode(); status != fasthttp.StatusOK {
		defer e.close()
		return nil, refusedFailure(e, status)
	}
	e.conn.readTimeout.Store(int64(c.options.ReadTimeout))
	reader := stream.NewReader(e.response.BodyStream(), c.options.MaxEventBytes).WithBudget(e.memory.Of(e.source))
	return &Stream{exchange: e, reader: reader}, nil
}

// refusedFailure returns the Failure for a response with an error status. A text that is too long is
// left out, but a response that breaks off is none.
func refusedFailure(e *exchange, status int) *Failure {
	body, failure := e.readBody(maxRefusalBytes)
	if failure != nil && failure.Kind != Malformed {
		return failure
	}
	return &Failure{
		Kind:    Refused,
		Address: e.address,
		Status:  status,
		Body:    body,
		NotRun:  e.statesNotRun(),
	}
}

// Next returns the next event or comment. Its data is valid until the next call. io.EOF
// means that the response body is complete. Whether the answer is complete depends on
// the events: the last one of a complete answer has stream.Done as its data.
func (s *Stream) Next() (stream.Event, error) {
	e, err := s.reader.Next()
	switch {
	case err == nil:
		return e, nil
	case errors.Is(err, io.EOF):
		s.exchange.bodyRead = true
		return e, io.EOF
	case errors.Is(err, stream.ErrEventTooLarge), errors.Is(err, memory.ErrNoMemory):
		return e, &Failure{Kind: Malformed, Address: s.exchange.address, Cause: err}
	}
	return e, classifyError(s.exchange.address, s.exchange.conn, err)
}

// Finish reads to the end of the body after the event with stream.Done, so that Close
// can reuse the connection.
func (s *Stream) Finish() {
	_, _ = s.Next()
}

// Close returns the connection to the pool, or closes it if it cannot be reused.
func (s *Stream) Close() {
	s.exchange.close()
}

// Cancel makes the engine stop a request. It returns the position of the last token
// that the engine generated.
func (c *Client) Cancel(ctx context.Context, address, id string) (int, error) {
	answer, err := c.Call(ctx, Request{
		Method:  fasthttp.MethodPost,
		Address: address,
		Path:    "/v1/requests/" + url.PathEscape(id) + "/cancel",
	})
	if err != nil {
		return 0, err
	}
	if answer.Status != fasthttp.StatusOK {
		return 0, &Failure{Kind: Refused, Address: address, Status: answer.Status, Body: answer.Body}
	}
	var body struct {
		Position int `json:"position"`
	}
	if err := json.Unmarshal(answer.Body, &body); err != nil {
		return 0, &Failure{Kind: Malformed, Address: address, Cause: err}
	}
	return body.Position, nil
}
