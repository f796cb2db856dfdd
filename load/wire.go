package load

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/outcome"
)

type wireChat struct {
	Model     string        `json:"model"`
	Messages  []wireMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type wireMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wireChunk struct {
	Position int          `json:"position"`
	Choices  []wireChoice `json:"choices"`
	Usage    wireUsage    `json:"usage"`
	Error    *wireError   `json:"error"`
}

type wireChoice struct {
	Delta        wireMessage `json:"delta"`
	Message      wireMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type wireUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type wireError struct {
	Message string         `json:"message"`
	Code    outcome.Reason `json:"code"`
	Outcome outcome.Kind   `json:"outcome"`
}

type wireStandInFault struct {
	Kind   string  `json:"kind"`
	Factor float64 `json:"factor,omitempty"`
}

// wireState holds the fields of a stand-in's state that the checks use.
type wireState struct {
	TokensGenerated int64          `json:"generated"`
	TokensByRequest map[string]int `json:"by_request"`
	CallsByKey      map[string]int `json:"runs"`
}

func encodeChat(r Request) ([]byte, error) {
	body, err := json.Marshal(wireChat{
		Model: r.Workload.Model.Name, Stream: r.Stream, MaxTokens: r.MaxTokens,
		Messages: []wireMessage{{Role: "user", Content: r.Prompt}},
	})
	return body, errors.Wrap(err, "encoding the request")
}

// chunk is one decoded event of a streamed answer: a piece of text, an error or the end
// marker. Reports of protocol violations print
// it with its field names.
type chunk struct {
	text     string
	position int
	finished bool // a choice has a finish reason
	done     bool // the event is the end marker [DONE]
	failure  *wireError
}

// readChunk reads server-sent events up to the next one with data and decodes it. Comments
// are skipped. An event that arrived whole but cannot be decoded gives errMalformed.
func readChunk(reader *bufio.Reader) (chunk, error) {
	data := ""
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return chunk{}, errors.Wrap(err, "reading the stream")
		}
		line = strings.TrimRight(line, "\r\n")
		if value, ok := strings.CutPrefix(line, "data:"); ok {
			data += strings.TrimPrefix(value, " ")
		}
		if line == "" && data != "" {
			return decodeChunk(data)
		}
	}
}

// errMalformed reports an event that arrived whole but cannot be decoded.
var errMalformed = errors.New("malformed event")

func decodeChunk(data string) (chunk, error) {
	if data == "[DONE]" {
		return chunk{done: true}, nil
	}
	var wire wireChunk
	if err := json.Unmarshal([]byte(data), &wire); err != nil {
		return chunk{}, errors.Wrapf(errMalformed, "%v in %q", err, data)
	}
	c := chunk{position: wire.Position, failure: wire.Error}
	for _, choice := range wire.Choices {
		c.text += choice.Delta.Content
		c.finished = c.finished || choice.FinishReason != ""
	}
	return c, nil
}

// decodeUnstreamed returns the text and the token count of an answer that is not
// streamed.
func decodeUnstreamed(body []byte) (string, int, error) {
	var wire wireChunk
	if err := json.Unmarshal(body, &wire); err != nil {
		return "", 0, errors.Wrap(err, "decoding the answer")
	}
	text := ""
	for _, choice := range wire.Choices {
		text += choice.Message.Content
	}
	return text, wire.Usage.CompletionTokens, nil
}

// decodeError returns the error object of a response body, or nil when it has none.
func decodeError(body []byte) *wireError {
	var wire wireChunk
	if json.Unmarshal(body, &wire) != nil {
		return nil
	}
	return wire.Error
}

func readAll(reader io.Reader) ([]byte, error) {
	body, err := io.ReadAll(reader)
	return body, errors.Wrap(err, "reading the body")
}
