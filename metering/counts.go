package metering

import (
	"maps"

	"github.com/galenaslip/galenaslip/clock"
)

// Window is the number of a window of time. Window k begins at k times the length of windows after the
// Unix epoch.
type Window int64

// windowAt returns the window of a Unix time.
func windowAt(unix, length clock.Millis) Window {
	w := Window(unix / length)
	if unix%length < 0 {
		w--
	}
	return w
}

// end returns the Unix time at which a window ends.
func (w Window) end(length clock.Millis) clock.Millis { return clock.Millis(w+1) * length }

// Counts are numbers of requests by workspace.
type Counts map[string]uint64

// raise raises the counts to those of another version of them. The newer version of a count is the
// higher one.
func (c Counts) raise(other Counts) {
	for workspace, n := range other {
		c[workspace] = max(c[workspace], n)
	}
}

// lacks reports whether another version of the counts has a higher one.
func (c Counts) lacks(other Counts) bool {
	for workspace, n := range other {
		if n > c[workspace] {
			return true
		}
	}
	return false
}

// windows are the counts of one instance.
type windows map[Window]Counts

// merge raises the counts of a window to those of another version of them.
func (w windows) merge(window Window, counts Counts) {
	if w[window] == nil {
		w[window] = Counts{}
	}
	w[window].raise(counts)
}

// dropBefore removes the windows before the given one.
func (w windows) dropBefore(window Window) {
	maps.DeleteFunc(w, func(k Window, _ Counts) bool { return k < window })
}

// InstanceCounts is what one process of an entry has counted, or a part of it: totals of the process's
// whole time, so that a repeated or late version changes nothing.
type InstanceCounts struct {
	Instance string
	UpTo     clock.Millis // Unix time up to which the totals are complete
	Windows  map[Window]Counts
}

// Report is what one process tells another one.
type Report []InstanceCounts

// Decision is the content of the report of a window.
type Decision struct {
	Window Window
	Counts Counts
}

// Total returns the number of requests of all workspaces.
func (c Counts) Total() uint64 {
	sum := uint64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}
