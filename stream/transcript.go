package stream

// Transcript holds what a streamed answer has delivered so far, so that it can
// be continued from there.
type Transcript struct {
	text     []byte
	position int
	finish   string
	opaque   bool
	usage    Usage
}

// Add appends a chunk and reports whether it holds anything new. A chunk at or
// below the current position was delivered before and is dropped.
func (t *Transcript) Add(c Chunk) bool {
	t.opaque = t.opaque || c.HasNonText
	if c.Usage != (Usage{}) {
		t.usage = c.Usage
	}
	if c.Text != "" && !t.advance(c) {
		return false
	}
	if c.Finish != "" {
		t.finish = c.Finish
	}
	return true
}

func (t *Transcript) advance(c Chunk) bool {
	position := c.Position
	if position == 0 {
		position = t.position + 1 // engines without the extension send one token per chunk
	}
	if position <= t.position {
		return false
	}
	t.position = position
	t.text = append(t.text, c.Text...)
	return true
}

// Text returns the text so far.
func (t *Transcript) Text() string { return string(t.text) }

// Position returns the count of tokens so far.
func (t *Transcript) Position() int { return t.position }

// Finish returns the finish reason, or an empty string while the answer runs.
func (t *Transcript) Finish() string { return t.finish }

// Usage returns the last token counts that the engine sent.
func (t *Transcript) Usage() Usage { return t.usage }

// Continuable reports whether the text alone determines the rest of the answer.
func (t *Transcript) Continuable() bool { return !t.opaque }
