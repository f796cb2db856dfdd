package relay

import (
	"strconv"
	"sync"
)

// counters count what the relay has done, for metrics and the state dump.
type counters struct {
	mu       sync.Mutex
	refusals map[string]uint64 // by reason
	answers  map[string]uint64 // by status
	cuts     uint64
}

func (c *counters) refused(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusals == nil {
		c.refusals = map[string]uint64{}
	}
	c.refusals[reason]++
}

func (c *counters) answered(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers == nil {
		c.answers = map[string]uint64{}
	}
	c.answers[strconv.Itoa(status)]++
}

func (c *counters) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts++
}
