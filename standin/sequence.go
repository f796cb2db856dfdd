package standin

import (
	"strings"

	"github.com/galenaslip/galenaslip/clock"
)

// state is the processing state of a sequence.
type state string

const (
	stateWaiting   state = "waiting"
	stateRunning   state = "running"
	stateFinished  state = "finished"
	stateCancelled state = "cancelled"
)

// bytesPerToken is the assumed number of prompt bytes per token.
const bytesPerToken = 4

// sequence is the generation of the answer to one request. The lock of the batch
// protects it.
type sequence struct {
	id               string
	model            string
	priority         int
	prompt           string
	blockHashes      []string // hashes of the prompt's cache blocks
	answerTokens     []string // tokens of the whole answer
	finish           string   // finish reason of the complete answer
	producedTokens   int      // tokens of the answer so far, including those before startPosition
	startPosition    int      // position in the answer from which this engine generates
	state            state
	arrivedAt        clock.Millis
	readers          int           // number of connections that are reading the answer
	readerLeft       clock.Millis  // when the last reader left or the generation ended, whichever came last
	kvTokens         int           // tokens in KV memory
	uncomputedTokens int           // prompt tokens that are not computed yet
	changed          chan struct{} // closed at the next change
}

// contextTokens returns the number of tokens of the prompt and of the answer so far.
func (s *sequence) contextTokens() int {
	return len(s.prompt)/bytesPerToken + 1 + s.producedTokens
}

// maxContextTokens returns the number of KV memory tokens that the complete answer
// needs.
func (s *sequence) maxContextTokens() int {
	return len(s.prompt)/bytesPerToken + 1 + len(s.answerTokens)
}

func (s *sequence) isLive() bool {
	return s.state == stateWaiting || s.state == stateRunning
}

// notifyReaders wakes all readers of the sequence.
func (s *sequence) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// textUpTo returns the text of the answer before the given token position.
func (s *sequence) textUpTo(position int) string {
	return strings.Join(s.answerTokens[:position], "")
}
