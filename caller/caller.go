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
	dialTimeout   = time.Second
	maxEventBytes = 1 << 20
)

// Caller sends requests to entries as a client application does. It never retries a
// request. It is safe for concurrent use.
type Caller struct {
	http *fasthttp.Client
}

// New returns a caller that makes one attempt per request.
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

// Request is one request to an entry.
type Request struct {
	// Entry is the address of an entry or of the load balancer.
	Entry string
	// Class and Workspace are sent in the X-Galenaslip-Class and X-Galenaslip-Workspace
	// headers.
	Class, Workspace string
	Method, Path     string
	// Key is the idempotency key. It is empty for calls that need none.
	Key  string
	Body []byte
}

// Reply is the result of a request.
type Reply struct {
	Outcome outcome.Kind
	Status  int
	// Text is the text or body of the answer, or the message of the error.
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

// Chat returns a model request with a single user message.
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

// ChatStreamed sends a streamed model request and returns the complete text of the answer.
func (c *Caller) ChatStreamed(r Request) (Reply, error) {
	return c.do(r, readStream)
}

// ChatUnstreamed sends a model request and returns the text of an answer that is not streamed.
func (c *Caller) ChatUnstreamed(r Request) (Reply, error) {
	return c.do(r, readUnstreamed)
}

// Call sends a service request and returns the body of the response.
func (c *Caller) Call(r Request) (Reply, error) {
	return c.do(r, func(body io.Reader) (string, error) {
		text, err := io.ReadAll(body)
		return string(text), errors.Wrap(err, "cannot read answer")
	})
}

func (c *Caller) do(r Request, read func(io.Reader) (string, error)) (Reply, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + r.Entry + r.Path)
	request.Header.SetMethod(r.Method)
	request.Header.Set("X-Galenaslip-Class", r.Class)
	request.Header.Set("X-Galenaslip-Workspace", r.Workspace)
	if r.Key != "" {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	request.SetBody(r.Body)
	if err := c.http.Do(request, response); err != nil {
		return Reply{Outcome: outcome.Unknown}, errors.Wrap(err, "cannot get a response")
	}
	if response.StatusCode() >= http.StatusBadRequest {
		return errorReply(response)
	}
	text, err := read(response.BodyStream())
	if err != nil {
		return Reply{Outcome: outcome.Unknown, Status: response.StatusCode()}, err
	}
	return Reply{Outcome: outcome.Answered, Status: response.StatusCode(), Text: text}, nil
}

// errorReply returns the reply for a response with an error status.
func errorReply(response *fasthttp.Response) (Reply, error) {
	var wire struct {
		Error struct {
			Message string       `json:"message"`
			Outcome outcome.Kind `json:"outcome"`
		} `json:"error"`
	}
	body, err := io.ReadAll(response.BodyStream())
	if err != nil {
		return Reply{Outcome: outcome.Unknown}, errors.Wrap(err, "cannot read error")
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return Reply{Outcome: outcome.Unknown}, errors.Wrapf(err, "status %d without an error object", response.StatusCode())
	}
	return Reply{Outcome: wire.Error.Outcome, Status: response.StatusCode(), Text: wire.Error.Message}, nil
}

// readStream returns the text of a streamed answer. It returns an error, not a partial
// text, when the stream ends without its final event.
func readStream(body io.Reader) (string, error) {
	reader := stream.NewReader(body, maxEventBytes)
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

func readUnstreamed(body io.Reader) (string, error) {
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
