package entry

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/stream"
)

// bytesPerToken is used to estimate the number of prompt tokens, because the router has
// no tokenizer.
const bytesPerToken = 4

// maxModelName bounds the length in bytes of model names, which the entry keeps and
// logs.
const maxModelName = 128

// chat is a validated chat request. The engine gets the fields that the router does not
// know unchanged.
type chat struct {
	fields  map[string]json.RawMessage // all request fields, by name
	model   string
	stream  bool
	prompt  string   // text of all messages
	partIDs []string // of the messages, in order
	// cannotContinue is set when the answer may contain more than the text of one
	// choice, so that it cannot be continued on another engine.
	cannotContinue bool
}

// nonTextFields are the request fields that ask for output other than plain text, which
// a transcript does not record.
var nonTextFields = []string{"tools", "functions", "logprobs", "modalities", "audio"}

// wireContinue is the request field continue_from, with which an engine continues a
// partial answer.
type wireContinue struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}

// parseChat parses and validates a chat request.
func parseChat(body []byte) (*chat, *problem) {
	c := &chat{}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, invalid(outcome.ReasonInvalidRequest, "", "the body is not a JSON object")
	}
	if err := json.Unmarshal(c.fields["model"], &c.model); err != nil || c.model == "" || len(c.model) > maxModelName {
		return nil, invalid(outcome.ReasonInvalidRequest, "model", "model must be a name")
	}
	if raw, ok := c.fields["stream"]; ok {
		if err := json.Unmarshal(raw, &c.stream); err != nil {
			return nil, invalid(outcome.ReasonInvalidRequest, "stream", "stream must be true or false")
		}
	}
	if p := c.checkNumbers(); p != nil {
		return nil, p
	}
	c.cannotContinue = c.cannotContinue || lo.SomeBy(nonTextFields, func(name string) bool { return len(c.fields[name]) > 0 })
	return c, c.readPrompt()
}

// checkNumbers validates the counts that engines would refuse, so that a bad request is
// not queued.
func (c *chat) checkNumbers() *problem {
	for _, name := range []string{"max_tokens", "max_completion_tokens", "n"} {
		raw, ok := c.fields[name]
		if !ok || string(raw) == "null" {
			continue
		}
		var n int
		if err := json.Unmarshal(raw, &n); err != nil || n < 1 {
			return invalid(outcome.ReasonInvalidRequest, name, name+" must be a positive number")
		}
		c.cannotContinue = c.cannotContinue || name == "n" && n > 1
	}
	return nil
}

// readPrompt joins the text of all messages, for the token estimate and the prefix
// hashes.
func (c *chat) readPrompt() *problem {
	var messages []struct {
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(c.fields["messages"], &messages); err != nil || len(messages) == 0 {
		return invalid(outcome.ReasonInvalidRequest, "messages", "messages must be a list with at least one message")
	}
	parts := make([]string, len(messages))
	for i, m := range messages {
		parts[i] = contentText(m.Content)
	}
	c.prompt = strings.Join(parts, "\n")
	c.partIDs = lo.Map(parts, func(text string, _ int) string { return quarantine.PartID(text) })
	return nil
}

// contentText returns the text of a message's content. For anything but plain text it
// returns the JSON form, so that equal prompts still have equal prefixes.
func contentText(raw json.RawMessage) string {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return string(raw)
	}
	return text
}

// encode returns the request body for an engine. It asks for a stream, because only a
// stream can be continued elsewhere. It asks for a whole answer only when the answer
// cannot be continued anyway and the caller does not want a stream. After a partial
// answer it asks the engine to continue the transcript.
func (c *chat) encode(priority int, t *stream.Transcript) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(c.fields)+3)
	for name, raw := range c.fields {
		fields[name] = raw
	}
	delete(fields, "continue_from")
	fields["stream"] = json.RawMessage(strconv.FormatBool(c.stream || !c.cannotContinue))
	fields["priority"] = json.RawMessage(strconv.Itoa(priority))
	if t.Position() > 0 {
		from, err := json.Marshal(wireContinue{Position: t.Position(), Text: t.Text()})
		if err != nil {
			return nil, err
		}
		fields["continue_from"] = from
	}
	return json.Marshal(fields)
}

// wireCompletion is the JSON form of an answer that is not streamed.
type wireCompletion struct {
	ID       string           `json:"id"`
	Object   string           `json:"object"`
	Created  int64            `json:"created"`
	Model    string           `json:"model"`
	Choices  []completionPart `json:"choices"`
	Usage    completionUsage  `json:"usage"`
	Position int              `json:"position"`
}

type completionPart struct {
	Index   int               `json:"index"`
	Message completionMessage `json:"message"`
	Finish  string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completion builds the answer to a request that was not streamed from a complete
// transcript.
func completion(id, model string, created int64, t *stream.Transcript) ([]byte, error) {
	return json.Marshal(wireCompletion{
		ID:      id,
		Object:  "chat.completion",
		Created: created,
		Model:   model,
		Choices: []completionPart{{
			Message: completionMessage{Role: "assistant", Content: t.Text()},
			Finish:  t.Finish(),
		}},
		Usage: completionUsage{
			PromptTokens:     t.Usage().PromptTokens,
			CompletionTokens: t.Position(),
			TotalTokens:      t.Usage().PromptTokens + t.Position(),
		},
		Position: t.Position(),
	})
}
