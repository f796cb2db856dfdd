package control

import "sync"

// changeNotifier wakes every goroutine that waits for the next change. It is
// safe for concurrent use.
type changeNotifier struct {
	mu     sync.Mutex
	signal chan struct{} // closed and replaced at each change
}

func newChangeNotifier() *changeNotifier { return &changeNotifier{signal: make(chan struct{})} }

// nextChange returns a channel that is closed at the next change.
func (n *changeNotifier) nextChange() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.signal
}

// notify wakes all current waiters.
func (n *changeNotifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.signal)
	n.signal = make(chan struct{})
}
