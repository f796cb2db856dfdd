package metering

import (
	"maps"
	"slices"
)

// maxPending bounds the reports that are decided and not accepted yet.
const maxPending = 1000

// Command is a change of a State. Several parts may be set.
type Command struct {
	// First is the first window to decide; earlier ones that are not decided are skipped. 0 if it does
	// not change.
	First Window
	// Kept are counts of instances that may not tell them again.
	Kept Report
	// Decided are decisions about the next windows.
	Decided []Decision
	// Accepted are windows whose report was accepted.
	Accepted []Window
}

// IsEmpty reports whether the command changes nothing.
func (c Command) IsEmpty() bool {
	return c.First == 0 && len(c.Kept) == 0 && len(c.Decided) == 0 && len(c.Accepted) == 0
}

// State is the replicated state of usage reports. The zero value is the state before the first command.
// It is not safe for concurrent use; commands are applied in the order of the log.
type State struct {
	next    Window // first window that is not decided; 0 before the first command
	pending []Decision
	kept    map[string]windows // by instance
}

// Apply applies a committed command. The first decision about a window stands: one that is not about the
// next window has no effect.
func (s *State) Apply(c Command) {
	if c.First > s.next {
		s.setNext(c.First)
	}
	for _, told := range c.Kept {
		s.keep(told)
	}
	for _, d := range c.Decided {
		if s.next > 0 && d.Window == s.next && len(s.pending) < maxPending {
			s.pending = append(s.pending, d)
			s.setNext(d.Window + 1)
		}
	}
	s.pending = slices.DeleteFunc(slices.Clone(s.pending), func(d Decision) bool { return slices.Contains(c.Accepted, d.Window) })
}

func (s *State) keep(told InstanceCounts) {
	for window, counts := range told.Windows {
		if window < s.next {
			continue
		}
		if s.kept == nil {
			s.kept = map[string]windows{}
		}
		if s.kept[told.Instance] == nil {
			s.kept[told.Instance] = windows{}
		}
		s.kept[told.Instance].merge(window, counts)
	}
}

func (s *State) setNext(window Window) {
	s.next = window
	maps.DeleteFunc(s.kept, func(_ string, w windows) bool {
		w.dropBefore(window)
		return len(w) == 0
	})
}

// Next returns the first window that is not decided, or 0 before the first command.
func (s *State) Next() Window { return s.next }

// Pending returns the decided reports that were not accepted yet, the oldest first. Do not change them.
func (s *State) Pending() []Decision { return s.pending }

// Clone returns a copy that later commands do not change.
func (s *State) Clone() State {
	clone := State{next: s.next, pending: s.pending, kept: map[string]windows{}}
	for name, kept := range s.kept {
		clone.kept[name] = windows{}
		for window, counts := range kept {
			clone.kept[name][window] = maps.Clone(counts)
		}
	}
	return clone
}
