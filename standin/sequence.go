package standin

import (
	"strings"

	"github.com/galenaslip/galenaslip/clock"
)

// state is the state of a sequence.
type state string

const (
	stateWaiting   state = "waiting"
	stateRunning   state = "running"
	stateFinished  state = "finished"
	stateCancelled state = "cancelled"
)

// bytesPerToken is the prompt's token count estimate.
const bytesPerToken = 4

// sequence is one request in the engine. The batch's lock protects it.
type sequence struct {
	id       string
	model    string
	priority int
	prompt   string
	prefix   []string
	answer   []string
	finish   string
	produced int
	start    int // position at which this engine began
	state    state
	arrived  clock.Millis
	readers  int
	left     clock.Millis // when the last reader went
	held     int          // tokens in KV memory
	pending  int          // prompt tokens that are not computed yet
	changed  chan struct{}
}

func (s *sequence) contextTokens() int {
	return len(s.prompt)/bytesPerToken + 1 + s.produced
}

// largest returns the KV memory that the whole answer needs.
func (s *sequence) largest() int {
	return len(s.prompt)/bytesPerToken + 1 + len(s.answer)
}

func (s *sequence) live() bool {
	return s.state == stateWaiting || s.state == stateRunning
}

// notify wakes every reader.
func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sequence) text(position int) string {
	return strings.Join(s.answer[:position], "")
}
