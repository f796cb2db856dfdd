package stream

// Transcript records what a streamed answer has delivered so far, so that another
// engine can continue it. It is not safe for concurrent use.
type Transcript struct {
	text         []byte
	position     int
	finishReason string
	hasNonText   bool
	usage        Usage
}

// Add appends a chunk and reports whether it is new. A chunk with text is ignored when
// its position is not above the current one, because its text was added before.
func (t *Transcript) Add(c Chunk) bool {
	t.hasNonText = t.hasNonText || c.HasNonText
	if c.Usage != (Usage{}) {
		t.usage = c.Usage
	}
	if c.Text != "" && !t.appendText(c) {
		return false
	}
	if c.Finish != "" {
		t.finishReason = c.Finish
	}
	return true
}

func (t *Transcript) appendText(c Chunk) bool {
	position := c.Position
	if position == 0 {
		position = t.position + 1 // engines that send no positions send one token per chunk
	}
	if position <= t.position {
		return false
	}
	t.position = position
	t.text = append(t.text, c.Text...)
	return true
}

// Text returns the text received so far.
func (t *Transcript) Text() string { return string(t.text) }

// Position returns the number of tokens received so far.
func (t *Transcript) Position() int { return t.position }

// Finish returns the finish reason, or an empty string while the answer is running.
func (t *Transcript) Finish() string { return t.finishReason }

// Usage returns the latest token counts that the engine sent.
func (t *Transcript) Usage() Usage { return t.usage }

// Continuable reports whether another engine can continue the answer from its text
// alone.
func (t *Transcript) Continuable() bool { return !t.hasNonText }
