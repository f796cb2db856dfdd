package stream

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Chunk is one part of a streamed chat answer.
type Chunk struct {
	ID       string
	Model    string
	Role     string
	Text     string
	Finish   string // finish reason; empty while the answer is running
	Position int    // number of answer tokens up to and including this chunk; zero if the engine does not send it
	// HasNonText is set when the chunk contains anything except text of the first choice,
	// such as a tool call. Such an answer cannot be continued from its text alone.
	HasNonText bool
	Usage      Usage
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

type chunkWire struct {
	ID       string       `json:"id"`
	Object   string       `json:"object"`
	Created  int64        `json:"created"`
	Model    string       `json:"model"`
	Choices  []choiceWire `json:"choices"`
	Position int          `json:"position,omitempty"`
	Usage    *usageWire   `json:"usage,omitempty"`
}

type choiceWire struct {
	Index  int       `json:"index"`
	Delta  deltaWire `json:"delta"`
	Finish *string   `json:"finish_reason"`
}

type deltaWire struct {
	Role      string          `json:"role,omitempty"`
	Content   string          `json:"content,omitempty"`
	ToolCalls json.RawMessage `json:"tool_calls,omitempty"`
}

type usageWire struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ParseChunk decodes the data of one event of a chat stream. Data with neither choices nor usage
// is no chunk: some engines send an error in place of one.
func ParseChunk(data []byte) (Chunk, error) {
	var wire chunkWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return Chunk{}, errors.Wrap(err, "decode chunk")
	}
	if wire.Choices == nil && wire.Usage == nil {
		return Chunk{}, errors.New("event has neither choices nor usage")
	}
	c := Chunk{ID: wire.ID, Model: wire.Model, Position: wire.Position}
	if wire.Usage != nil {
		c.Usage = Usage{PromptTokens: wire.Usage.PromptTokens, CompletionTokens: wire.Usage.CompletionTokens}
	}
	for _, choice := range wire.Choices {
		c = c.withChoice(choice)
	}
	return c, nil
}

// withChoice returns the chunk with the content of one choice added.
func (c Chunk) withChoice(choice choiceWire) Chunk {
	if choice.Index != 0 || len(choice.Delta.ToolCalls) > 0 {
		c.HasNonText = true
		return c
	}
	c.Role = choice.Delta.Role
	c.Text = choice.Delta.Content
	if choice.Finish != nil {
		c.Finish = *choice.Finish
	}
	return c
}

// AppendChunk appends the chunk's JSON to b.
func AppendChunk(b []byte, c Chunk) []byte {
	wire := chunkWire{ID: c.ID, Object: "chat.completion.chunk", Model: c.Model, Position: c.Position}
	choice := choiceWire{Delta: deltaWire{Role: c.Role, Content: c.Text}}
	if c.Finish != "" {
		choice.Finish = &c.Finish
	}
	wire.Choices = []choiceWire{choice}
	if c.Usage != (Usage{}) {
		wire.Usage = &usageWire{
			PromptTokens:     c.Usage.PromptTokens,
			CompletionTokens: c.Usage.CompletionTokens,
			TotalTokens:      c.Usage.PromptTokens + c.Usage.CompletionTokens,
		}
	}
	encoded, err := json.Marshal(wire)
	if err != nil {
		panic(errors.Wrap(err, "encode chunk"))
	}
	return append(b, encoded...)
}
