package metering

import (
	"maps"
	"slices"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// borderTime is by how much counting must be past the end of a window. Times of entries differ by the
	// delays of messages, and requests are counted while a report is made.
	borderTime = 300 * clock.Millisecond
	// silentTime is how long an instance tells nothing before its counts are kept in the log.
	silentTime = 1 * clock.Second
	// waitShare is the part of the time until a report is due in which silent instances are waited for. The
	// rest is for a change of leader, and for a receiver that does not answer.
	waitShare = 3
	// maxDecided is the number of windows that are decided in one command.
	maxDecided = 100
	// maxCatchUp is how many windows are caught up.
	maxCatchUp = 1000
)

// Planner finds what the leader proposes. It is not safe for concurrent use.
type Planner struct {
	Length   clock.Millis // of windows
	Lateness clock.Millis // when a report is due, after the end of its window
}

// Plan returns the next command for a state. unix is the time now, and collectedSince when this process
// began to collect counts: instances that have ended their window before may be unknown to it.
// skipped is the number of windows that are given up.
func (p Planner) Plan(now, unix, collectedSince clock.Millis, s *State, b *Book) (c Command, skipped int64) {
	current := windowAt(unix, p.Length)
	if s.next == 0 {
		return Command{First: current}, 0
	}
	if oldest := current - maxCatchUp; s.next < oldest {
		return Command{First: oldest}, int64(oldest - s.next)
	}
	instances := b.view()
	c.Kept = keep(now, s, instances)
	for window := s.next; len(c.Decided) < maxDecided && len(s.pending)+len(c.Decided) < maxPending; window++ {
		if !p.isComplete(now, unix, collectedSince, window, instances) {
			break
		}
		c.Decided = append(c.Decided, Decision{Window: window, Counts: total(window, s, instances)})
	}
	return c, 0
}

// isComplete reports whether a window can be decided: all instances have counted past its end, or no more
// time is left to wait for them.
func (p Planner) isComplete(now, unix, collectedSince clock.Millis, window Window, instances map[string]instance) bool {
	past := window.end(p.Length) + borderTime
	switch {
	case unix < past:
		return false
	case unix >= window.end(p.Length)+p.Lateness/waitShare:
		return true
	case collectedSince > past:
		return false
	}
	for _, i := range instances {
		if i.upTo < past && now-i.toldAt < p.Lateness {
			return false
		}
	}
	return true
}

// keep returns the counts of silent instances that are not in the state.
func keep(now clock.Millis, s *State, instances map[string]instance) Report {
	var kept Report
	for _, name := range slices.Sorted(maps.Keys(instances)) {
		i := instances[name]
		if now-i.toldAt < silentTime {
			continue
		}
		missing := InstanceCounts{Instance: name, UpTo: i.upTo, Windows: map[Window]Counts{}}
		for window, counts := range i.windows {
			if window >= s.next && s.kept[name][window].lacks(counts) {
				missing.Windows[window] = counts
			}
		}
		if len(missing.Windows) > 0 {
			kept = append(kept, missing)
		}
	}
	return kept
}

// total returns the sum of the counts of all instances in a window.
func total(window Window, s *State, instances map[string]instance) Counts {
	byInstance := map[string]Counts{}
	add := func(name string, counts Counts) {
		if byInstance[name] == nil {
			byInstance[name] = Counts{}
		}
		byInstance[name].raise(counts)
	}
	for name, kept := range s.kept {
		add(name, kept[window])
	}
	for name, i := range instances {
		add(name, i.windows[window])
	}
	sum := Counts{}
	for _, counts := range byInstance {
		for workspace, n := range counts {
			sum[workspace] += n
		}
	}
	return sum
}
