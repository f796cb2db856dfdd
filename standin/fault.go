package standin

import "sync"

// FaultKind is a way in which a stand-in can fail.
type FaultKind string

// Kinds of faults.
const (
	// Slow multiplies the duration of each step by Factor.
	Slow FaultKind = "slow"
	// Crash closes all connections and discards an engine's sequences and cache. Until
	// Recover, each call gets its connection closed, and nothing is announced.
	Crash FaultKind = "crash"
	// Silent keeps connections open and sends nothing on them.
	Silent FaultKind = "silent"
	// Stall sends nothing more on the streams that are open now. Later ones work.
	Stall FaultKind = "stall"
	// LateReports multiplies the age of the announced load values by Factor.
	LateReports FaultKind = "late_reports"
	// SaysLeaving adds to each answer that the server leaves. It goes on with its announcements.
	SaysLeaving FaultKind = "says_leaving"
	// Refuse refuses each call as not run and asks for a pause of Factor seconds.
	Refuse FaultKind = "refuse"
	// Limit adds to each answer that the server takes Factor requests a second.
	Limit FaultKind = "limit"
	// Recover ends every fault.
	Recover FaultKind = "recover"
)

// Fault is the body of POST /stand-in/fault. Factor applies to Slow,
// LateReports, Refuse and Limit.
type Fault struct {
	Kind   FaultKind `json:"kind"`
	Factor float64   `json:"factor"`
}

// faults holds the active faults of a stand-in. It is safe for concurrent use.
type faults struct {
	mu      sync.Mutex
	crashed bool
	leaving bool          // answers say that the server leaves
	limit   float64       // requests a second that answers name; 0 if they name none
	pause   float64       // seconds of the pause that refusals ask for; 0 if calls are not refused
	refused int           // calls refused because of pause
	silence chan struct{} // non-nil while silent; closed on recovery
	stall   chan struct{} // closed by Stall and then replaced; a stream keeps the channel that was current when it started
}

func newFaults() *faults {
	return &faults{stall: make(chan struct{})}
}

func (f *faults) apply(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch fault.Kind {
	case SaysLeaving:
		f.leaving = true
	case Limit:
		f.limit = fault.Factor
	case Refuse:
		f.pause = fault.Factor
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
		f.crashed, f.leaving, f.pause, f.limit = false, false, 0, 0
		if f.silence != nil {
			close(f.silence)
			f.silence = nil
		}
	}
}

// suppressesAnnouncements reports whether an active fault suppresses announcements.
func (f *faults) suppressesAnnouncements() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed || f.silence != nil
}

// namedLimit returns the requests a second that answers name as the server's limit, or 0 if they
// name none.
func (f *faults) namedLimit() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limit
}

// saysLeaving reports whether answers say that the server leaves.
func (f *faults) saysLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

// refuse counts a call that is refused and returns the pause to ask for in seconds, or 0 if
// calls are not refused.
func (f *faults) refuse() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pause > 0 {
		f.refused++
	}
	return f.pause
}

// refusedCalls returns the number of calls that were refused to ask for a pause.
func (f *faults) refusedCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// stallSignal returns the channel that is closed to stall a stream that starts now.
func (f *faults) stallSignal() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stall
}

// waitWhileSilent blocks while the stand-in is silent or the stream is stalled. It
// returns false when the connection must be closed. stall is nil for calls that are not
// streams.
func (f *faults) waitWhileSilent(stall, closing <-chan struct{}) bool {
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
