package caller

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/stream"
)

const (
	dialTimeout = time.Second
	maxEvent    = 1 << 20
)

// Caller sends requests to entries as a user of the router does. It never repeats
// a request by itself.
type Caller struct {
	http *fasthttp.Client
}

// New returns a caller.
func New() *Caller {
	return &Caller{http: &fasthttp.Client{
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			return fasthttp.DialTimeout(address, dialTimeout)
		},
	}}
}

// Request is one request.
type Request struct {
	// Entry is the address of the entry or of the load balancer.
	Entry string
	// Class and Workspace are sent in the headers of the same names.
	Class, Workspace string
	Method, Path     string
	// Key is the idempotency key; empty for calls that need none.
	Key  string
	Body []byte
}

// Reply is what a request ended with.
type Reply struct {
	Outcome outcome.Kind
	Status  int
	// Text is the answer's text, or the error's message.
	Text string
}

type chatBody struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat returns a model request with one message.
func Chat(entry, class, workspace, model, prompt string, streamed bool) (Request, error) {
	body, err := json.Marshal(chatBody{
		Model:    model,
		Stream:   streamed,
		Messages: []chatMessage{{Role: "user", Content: prompt}},
	})
	return Request{
		Entry: entry, Class: class, Workspace: workspace,
		Method: http.MethodPost, Path: "/v1/chat/completions", Body: body,
	}, errors.Wrap(err, "cannot encode chat request")
}

// Stream sends a streamed model request and returns its whole text.
func (c *Caller) Stream(r Request) (Reply, error) {
	return c.do(r, readStream)
}

// Unstreamed sends a model request whose answer is not streamed.
func (c *Caller) Unstreamed(r Request) (Reply, error) {
	return c.do(r, readWhole)
}

// Call sends a service request and returns the body of the answer.
func (c *Caller) Call(r Request) (Reply, error) {
	return c.do(r, func(body io.Reader) (string, error) {
		text, err := io.ReadAll(body)
		return string(text), errors.Wrap(err, "cannot read answer")
	})
}

func (c *Caller) do(r Request, read func(io.Reader) (string, error)) (Reply, error) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	q.SetRequestURI("http://" + r.Entry + r.Path)
	q.Header.SetMethod(r.Method)
	q.Header.Set("X-Galenaslip-Class", r.Class)
	q.Header.Set("X-Galenaslip-Workspace", r.Workspace)
	if r.Key != "" {
		q.Header.Set("Idempotency-Key", r.Key)
	}
	q.SetBody(r.Body)
	if err := c.http.Do(q, p); err != nil {
		return Reply{Outcome: outcome.Unknown}, errors.Wrap(err, "no answer")
	}
	if p.StatusCode() >= http.StatusBadRequest {
		return refusal(p)
	}
	text, err := read(p.BodyStream())
	if err != nil {
		return Reply{Outcome: outcome.Unknown, Status: p.StatusCode()}, err
	}
	return Reply{Outcome: outcome.Answered, Status: p.StatusCode(), Text: text}, nil
}

func refusal(p *fasthttp.Response) (Reply, error) {
	var wire struct {
		Error struct {
			Message string       `json:"message"`
			Outcome outcome.Kind `json:"outcome"`
		} `json:"error"`
	}
	body, err := io.ReadAll(p.BodyStream())
	if err != nil {
		return Reply{Outcome: outcome.Unknown}, errors.Wrap(err, "cannot read error")
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return Reply{Outcome: outcome.Unknown}, errors.Wrapf(err, "status %d without an error object", p.StatusCode())
	}
	return Reply{Outcome: wire.Error.Outcome, Status: p.StatusCode(), Text: wire.Error.Message}, nil
}

// readStream collects a streamed answer. An answer without the final event is an
// error, never a short answer.
func readStream(body io.Reader) (string, error) {
	reader := stream.NewReader(body, maxEvent)
	var transcript stream.Transcript
	for {
		e, err := reader.Next()
		switch {
		case err != nil:
			return "", errors.Wrap(err, "stream ended before its final event")
		case e.Comment:
			continue
		case e.Name == "error":
			return "", errors.Errorf("stream ended with an error: %s", e.Data)
		case string(e.Data) == stream.Done:
			return transcript.Text(), nil
		}
		chunk, err := stream.ParseChunk(e.Data)
		if err != nil {
			return "", errors.Wrap(err, "cannot decode chunk")
		}
		transcript.Add(chunk)
	}
}

func readWhole(body io.Reader) (string, error) {
	var wire struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(body).Decode(&wire); err != nil {
		return "", errors.Wrap(err, "cannot decode answer")
	}
	if len(wire.Choices) != 1 {
		return "", errors.Errorf("answer has %d choices, want 1", len(wire.Choices))
	}
	return wire.Choices[0].Message.Content, nil
}
