package standin

import "sync"

// FaultKind is a way in which a stand-in can fail.
type FaultKind string

// The kinds of fault.
const (
	// Slow multiplies the time of each step by the factor.
	Slow FaultKind = "slow"
	// Crash closes every connection, forgets all state and refuses calls.
	Crash FaultKind = "crash"
	// Silent keeps connections open and sends nothing on any of them.
	Silent FaultKind = "silent"
	// Stall keeps only the connections silent that are open now.
	Stall FaultKind = "stall"
	// LateReports multiplies the age of load reports by the factor.
	LateReports FaultKind = "late_reports"
	// Recover ends every fault.
	Recover FaultKind = "recover"
)

// Fault is the body of POST /stand-in/fault.
type Fault struct {
	Kind   FaultKind `json:"kind"`
	Factor float64   `json:"factor"`
}

// faults is the current state of a stand-in's faults.
type faults struct {
	mu      sync.Mutex
	crashed bool
	silence chan struct{} // not nil while silent; closed on recovery
	stall   chan struct{} // closed to stall the streams that hold it
}

func newFaults() *faults {
	return &faults{stall: make(chan struct{})}
}

func (f *faults) set(kind FaultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch kind {
	case Crash:
		f.crashed = true
	case Silent:
		if f.silence == nil {
			f.silence = make(chan struct{})
		}
	case Stall:
		close(f.stall)
		f.stall = make(chan struct{})
	case Recover:
		f.crashed = false
		if f.silence != nil {
			close(f.silence)
			f.silence = nil
		}
	}
}

// mute reports whether the stand-in must not announce itself.
func (f *faults) mute() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed || f.silence != nil
}

// token returns the channel that stalls a stream that begins now.
func (f *faults) token() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stall
}

// pass blocks while the stand-in is silent or the stream is stalled. It returns
// false when the connection must end.
func (f *faults) pass(stall, closing <-chan struct{}) bool {
	select {
	case <-stall:
		<-closing
		return false
	default:
	}
	f.mu.Lock()
	silence, crashed := f.silence, f.crashed
	f.mu.Unlock()
	if crashed {
		return false
	}
	if silence == nil {
		return true
	}
	select {
	case <-silence:
		return true
	case <-closing:
		return false
	}
}
