package entry

import "sync"

// interruption is the reason why an attempt is ended before the answer is complete.
type interruption string

const (
	notInterrupted interruption = ""
	// preempted means that a request of a higher tier needs the slot.
	preempted interruption = "preempted"
	// serverStops means that the deadline of the server's planned stop is near.
	serverStops interruption = "server_stops"
	// streamTakenOver means that another connection, at this or another entry, has
	// taken the stream over.
	streamTakenOver interruption = "detached"
)

// interrupter passes an interruption from the dispatcher to the running attempt, or
// to the next one when none is running. It is safe for concurrent use.
type interrupter struct {
	mu      sync.Mutex
	reason  interruption // of the interruption since the last reset, or notInterrupted
	handler func(reason interruption)
}

// trigger runs the handler, if one is set, in a goroutine. Only the first call until
// the next reset has an effect.
func (i *interrupter) trigger(reason interruption) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.reason != notInterrupted {
		return
	}
	i.reason = reason
	if i.handler != nil {
		go i.handler(reason)
	}
}

// setHandler sets the function that an interruption runs. The function runs at once
// when an interruption is pending.
func (i *interrupter) setHandler(handler func(reason interruption)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.handler = handler
	if i.reason != notInterrupted {
		go handler(i.reason)
	}
}

// reset removes the handler and the pending reason. It returns that reason, or
// notInterrupted.
func (i *interrupter) reset() interruption {
	i.mu.Lock()
	defer i.mu.Unlock()
	reason := i.reason
	i.reason, i.handler = notInterrupted, nil
	return reason
}
