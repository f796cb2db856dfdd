package withdrawal

import "github.com/galenaslip/galenaslip/clock"

// State is what one server has said. The zero value is that of a server that has said
// nothing. What a server says holds for the run in which it says it: a server that has
// started again takes requests. The order in which statements are added makes no difference.
type State struct {
	run      uint64 // identifies a run of the server; higher after each restart
	leaving  bool
	pauseEnd clock.Millis // the server wants no request before this time
}

// WithRun returns the state after the server was found to be in the given run. A newer run
// ends what was said in an earlier one.
func (s State) WithRun(run uint64) State {
	if run <= s.run {
		return s
	}
	return State{run: run}
}

// WithLeaving returns the state after the server has said, in the given run, that it leaves.
// It holds for the rest of the run: later statements of the run do not take it back.
func (s State) WithLeaving(run uint64) State {
	s = s.WithRun(run)
	if run == s.run {
		s.leaving = true
	}
	return s
}

// WithPause returns the state after the server has said, in the given run, that it wants no
// request before end. Of several ends the latest counts.
func (s State) WithPause(run uint64, end clock.Millis) State {
	s = s.WithRun(run)
	if run == s.run {
		s.pauseEnd = max(s.pauseEnd, end)
	}
	return s
}

// Run returns the newest run of the server that is known.
func (s State) Run() uint64 { return s.run }

// Accepts reports whether the server may get requests.
func (s State) Accepts(now clock.Millis) bool { return !s.leaving && now >= s.pauseEnd }

// Leaving reports whether the server has said that it leaves.
func (s State) Leaving() bool { return s.leaving }

// PauseLeft returns how long the server still wants no requests, or 0 if it has not asked for
// a pause.
func (s State) PauseLeft(now clock.Millis) clock.Millis { return max(s.pauseEnd-now, 0) }

// NextAcceptance returns the earliest time from which one of the servers may get requests,
// which is now or later. It returns false if all of them leave, or if there are none.
func NextAcceptance(now clock.Millis, servers []State) (clock.Millis, bool) {
	found := false
	var earliest clock.Millis
	for _, s := range servers {
		if s.leaving {
			continue
		}
		if at := now + s.PauseLeft(now); !found || at < earliest {
			found, earliest = true, at
		}
	}
	return earliest, found
}
