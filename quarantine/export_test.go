package quarantine

// Judgements returns how often all parts were judged together.
func (q *Quarantine) Judgements() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.judged.number
}

// Running returns the number of checks that are running.
func (e *EndChecks) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}
