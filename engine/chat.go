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
	"github.com/galenaslip/galenaslip/stream"
)

// Stream is a running answer of an engine. It has one reader.
type Stream struct {
	exchange *exchange
	reader   *stream.Reader
}

// Chat starts an answer. The body is a chat request with stream set.
func (c *Client) Chat(ctx context.Context, address, id string, body []byte, beforeWrite func() error) (*Stream, error) {
	return c.stream(ctx, chatRequest(address, id, body, beforeWrite))
}

// ChatUnstreamed returns the body of an answer that is not streamed. The engine may stay
// silent for longer than on a stream.
func (c *Client) ChatUnstreamed(
	ctx context.Context, address, id string, body []byte, silence clock.Millis, beforeWrite func() error,
) ([]byte, error) {
	r := chatRequest(address, id, body, beforeWrite)
	r.Silence = silence
	answer, err := c.Call(ctx, r)
	if err == nil && answer.Status != fasthttp.StatusOK {
		return nil, &Failure{Kind: Refused, Address: address, Status: answer.Status, Body: answer.Body}
	}
	return answer.Body, err
}

func chatRequest(address, id string, body []byte, beforeWrite func() error) Request {
	return Request{
		Method:  fasthttp.MethodPost,
		Address: address,
		Path:    "/v1/chat/completions",
		Headers: []Header{
			{Name: HeaderRequestID, Value: id},
			{Name: fasthttp.HeaderContentType, Value: "application/json"},
		},
		Body:        body,
		BeforeWrite: beforeWrite,
	}
}

// Resume reads on from a position in the engine's buffer.
func (c *Client) Resume(ctx context.Context, address, id string, position int, silence clock.Millis) (*Stream, error) {
	return c.stream(ctx, Request{
		Method:        fasthttp.MethodGet,
		Address:       address,
		Path:          "/v1/requests/" + url.PathEscape(id) + "/stream?position=" + strconv.Itoa(position),
		NewConnection: true, // the former connection may be one of several that went silent
		Silence:       silence,
	})
}

func (c *Client) stream(ctx context.Context, r Request) (*Stream, error) {
	e, failure := c.open(ctx, r)
	if failure != nil {
		return nil, failure
	}
	if status := e.response.StatusCode(); status != fasthttp.StatusOK {
		defer e.close()
		return nil, refusal(e, status)
	}
	e.conn.silence.Store(int64(c.options.Silence))
	return &Stream{exchange: e, reader: stream.NewReader(e.response.BodyStream(), c.options.MaxEventBytes)}, nil
}

func refusal(e *exchange, status int) *Failure {
	body, failure := e.read()
	if failure != nil {
		return failure
	}
	return &Failure{
		Kind:    Refused,
		Address: e.address,
		Status:  status,
		Body:    body,
		NotRun:  saysNotRun(e.response),
	}
}

// Next returns the next event or comment; its data is valid until the next
// call. io.EOF means that the body ended properly, which a complete answer does
// only after the done event.
func (s *Stream) Next() (stream.Event, error) {
	e, err := s.reader.Next()
	switch {
	case err == nil:
		return e, nil
	case errors.Is(err, io.EOF):
		s.exchange.complete = true
		return e, io.EOF
	case errors.Is(err, stream.ErrEventTooLarge):
		return e, &Failure{Kind: Malformed, Address: s.exchange.address, Cause: err}
	}
	return e, broken(s.exchange.address, s.exchange.conn, err)
}

// Finish reads the end of the body after the done event, so that the connection
// can be used again.
func (s *Stream) Finish() {
	_, _ = s.Next()
}

// Close releases the connection.
func (s *Stream) Close() {
	s.exchange.close()
}

// Cancel stops a request and returns the engine's final position.
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
