package standin

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatWire struct {
	Model        string        `json:"model"`
	Messages     []Message     `json:"messages"`
	Stream       bool          `json:"stream"`
	MaxTokens    int           `json:"max_tokens"`
	Priority     int           `json:"priority"`
	ContinueFrom *continueWire `json:"continue_from"`
}

type continueWire struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}

type orderWire struct {
	OrderID      string `json:"order_id"`
	FencingToken uint64 `json:"fencing_token"`
	Kind         string `json:"kind"`
	Model        string `json:"model"`
	Role         string `json:"role"`
}

type completionWire struct {
	ID       string             `json:"id"`
	Object   string             `json:"object"`
	Model    string             `json:"model"`
	Choices  []completionChoice `json:"choices"`
	Usage    completionUsage    `json:"usage"`
	Position int                `json:"position"`
}

type completionChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type completionUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// JoinMessages returns the prompt that consists of the contents of the messages, joined by
// newlines.
func JoinMessages(messages ...Message) string {
	parts := make([]string, len(messages))
	for i, m := range messages {
		parts[i] = m.Content
	}
	return strings.Join(parts, "\n")
}

// sequence returns a sequence that generates the answer to the request.
func (w chatWire) sequence(id string) (*sequence, error) {
	prompt := JoinMessages(w.Messages...)
	s := &sequence{
		id:           id,
		model:        w.Model,
		priority:     w.Priority,
		prompt:       prompt,
		blockHashes:  hashPrefixes(w.Model, prompt),
		answerTokens: AnswerTokens(w.Model, prompt),
		finish:       "stop",
	}
	if w.MaxTokens > 0 && w.MaxTokens < len(s.answerTokens) {
		s.answerTokens = s.answerTokens[:w.MaxTokens]
		s.finish = "length"
	}
	return s, s.continueFrom(w.ContinueFrom)
}

// continueFrom sets the position after which the answer continues. It returns an error
// when the text so far is not the beginning of the answer.
func (s *sequence) continueFrom(from *continueWire) error {
	if from == nil {
		return nil
	}
	if from.Position < 0 || from.Position > len(s.answerTokens) || s.textUpTo(from.Position) != from.Text {
		return errors.Errorf("continue_from at position %d does not match the answer", from.Position)
	}
	s.startPosition = from.Position
	s.producedTokens = from.Position
	if s.producedTokens == len(s.answerTokens) {
		s.producedTokens-- // generate the last token again, so that a step finishes the sequence
	}
	return nil
}

func decode(body []byte, into any) error {
	return errors.Wrap(json.Unmarshal(body, into), "decode request")
}
