package entry

import "sync"

// interruption is why an attempt ends before its answer does.
type interruption string

const (
	notInterrupted interruption = ""
	// preempted means that work of a higher tier needs the slot.
	preempted interruption = "preempted"
	// serverStops means that the server's planned stop is near its deadline.
	serverStops interruption = "server_stops"
	// detached means that another entry has taken the stream over.
	detached interruption = "detached"
)

// interrupter passes an interruption from the dispatcher to the attempt that
// runs, or to the next one when none does.
type interrupter struct {
	mu      sync.Mutex
	reason  interruption
	handler func(reason interruption)
}

// fire interrupts. Only the first reason counts.
func (i *interrupter) fire(reason interruption) {
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

// arm sets what an interruption does to the attempt that begins.
func (i *interrupter) arm(handler func(reason interruption)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.handler = handler
	if i.reason != notInterrupted {
		go handler(i.reason)
	}
}

// disarm ends the attempt and returns the reason if it was interrupted.
func (i *interrupter) disarm() interruption {
	i.mu.Lock()
	defer i.mu.Unlock()
	reason := i.reason
	i.reason, i.handler = notInterrupted, nil
	return reason
}
