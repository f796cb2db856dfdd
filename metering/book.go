package metering

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/gossip"
)

const (
	// maxWindows is the number of windows that a book keeps of an instance. The oldest give way.
	maxWindows = 64
	// idleTime is how long an instance that counts nothing and is silent is remembered.
	idleTime = 1 * clock.Minute
)

// Book holds the counts of instances: at an entry its own ones, at a control member those that entries
// have told. It implements gossip.Records. It is safe for concurrent use.
type Book struct {
	length clock.Millis // of windows
	own    string       // instance that Count counts for; "" at a member

	mu        sync.Mutex
	position  gossip.Position
	instances map[string]*instance
	undecided Window // first window that is not known to be decided
	offset    clock.Millis
	hasTime   bool
	wall      func() clock.Millis
}

// instance is what is known of one instance.
type instance struct {
	upTo    clock.Millis
	toldAt  clock.Millis // when the newest report of it came, in monotonic time
	windows windows
	changed map[Window]map[string]uint64 // number of the newest change of each count
	touched uint64                       // number of the newest change of upTo
}

// NewBook returns an empty book for windows of the given length. Without own, it counts nothing itself.
// wall returns the time of day, which is used until SetTime is called.
func NewBook(length clock.Millis, own string, wall func() clock.Millis) *Book {
	return &Book{
		length: length, own: own, wall: wall, instances: map[string]*instance{},
		position: gossip.Position{Instance: rand.Uint64() | 1},
	}
}

// SetTime sets the Unix time that control has told. Until then the process's own time of day is used.
func (b *Book) SetTime(now, unix clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.offset, b.hasTime = unix-now, true
}

// Unix returns the Unix time by the latest SetTime, and whether there was any.
func (b *Book) Unix(now clock.Millis) (clock.Millis, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unix(now), b.hasTime
}

// unix is Unix for callers that hold the lock.
func (b *Book) unix(now clock.Millis) clock.Millis {
	if !b.hasTime {
		return b.wall()
	}
	return now + b.offset
}

// Count counts a request of a workspace that has begun to run, and returns the window that it is counted
// in: the first one that is not decided if its own one is.
func (b *Book) Count(now clock.Millis, workspace string) Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.instance(b.own)
	window := max(windowAt(b.unix(now), b.length), b.undecided)
	b.raise(i, window, Counts{workspace: i.windows[window][workspace] + 1})
	return window
}

// instance returns the instance with a name. The caller holds the lock.
func (b *Book) instance(name string) *instance {
	i := b.instances[name]
	if i == nil {
		i = &instance{windows: windows{}, changed: map[Window]map[string]uint64{}}
		b.instances[name] = i
	}
	return i
}

// raise raises counts of an instance. The caller holds the lock.
func (b *Book) raise(i *instance, window Window, counts Counts) {
	known := i.windows[window]
	for workspace, n := range counts {
		if n <= known[workspace] {
			continue
		}
		b.position.Number++
		i.windows.merge(window, Counts{workspace: n})
		if i.changed[window] == nil {
			i.changed[window] = map[string]uint64{}
		}
		i.changed[window][workspace] = b.position.Number
	}
	if len(i.windows) > maxWindows {
		oldest := slices.Min(slices.Collect(maps.Keys(i.windows)))
		delete(i.windows, oldest)
		delete(i.changed, oldest)
	}
}

// Report returns the counts that changed after a position, and the position that they lead to. Of
// instances without such counts it tells how far they have counted.
func (b *Book) Report(now clock.Millis, since gossip.Position) (Report, gossip.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.own != "" {
		i := b.instance(b.own)
		i.upTo, i.toldAt = b.unix(now), now
		b.position.Number++
		i.touched = b.position.Number
	}
	known := b.position.Known(since)
	var report Report
	for name, i := range b.instances {
		if i.touched <= known {
			continue
		}
		told := InstanceCounts{Instance: name, UpTo: i.upTo, Windows: map[Window]Counts{}}
		for window, changes := range i.changed {
			for workspace, number := range changes {
				if number > known {
					windows(told.Windows).merge(window, Counts{workspace: i.windows[window][workspace]})
				}
			}
		}
		report = append(report, told)
	}
	return report, b.position
}

// Position returns the position of the newest change.
func (b *Book) Position() gossip.Position {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.position
}

// Merge takes over what another process has told. Windows that are decided, or that are far from the
// present, are left out.
func (b *Book) Merge(now clock.Millis, report Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, told := range report {
		if told.Instance == b.own {
			continue
		}
		i := b.instance(told.Instance)
		i.toldAt, i.upTo = now, max(i.upTo, told.UpTo)
		b.position.Number++
		i.touched = b.position.Number
		for window, counts := range told.Windows {
			if window >= b.undecided {
				b.raise(i, window, counts)
			}
		}
	}
}

// SetUndecided drops the windows before the first one that is not decided.
func (b *Book) SetUndecided(now clock.Millis, window Window) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if window <= b.undecided {
		return
	}
	b.undecided = window
	for name, i := range b.instances {
		i.windows.dropBefore(window)
		maps.DeleteFunc(i.changed, func(w Window, _ map[string]uint64) bool { return w < window })
		if len(i.windows) == 0 && now-i.toldAt > idleTime {
			delete(b.instances, name)
		}
	}
}

// view returns the instances as a planner needs them. Their counts are copies.
func (b *Book) view() map[string]instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := make(map[string]instance, len(b.instances))
	for name, i := range b.instances {
		copied := instance{upTo: i.upTo, toldAt: i.toldAt, windows: windows{}}
		for window, counts := range i.windows {
			copied.windows[window] = maps.Clone(counts)
		}
		view[name] = copied
	}
	return view
}

// InstanceState describes an instance in the state dump.
type InstanceState struct {
	Instance  string       `json:"instance"`
	UpTo      clock.Millis `json:"up_to_ms"` // Unix time
	SilentFor clock.Millis `json:"silent_ms"`
	Windows   int          `json:"windows"` // that it has counts of and that are not decided
}

// State returns the instances for the state dump, ordered by name.
func (b *Book) State(now clock.Millis) []InstanceState {
	b.mu.Lock()
	defer b.mu.Unlock()
	states := []InstanceState{}
	for _, name := range slices.Sorted(maps.Keys(b.instances)) {
		i := b.instances[name]
		states = append(states, InstanceState{Instance: name, UpTo: i.upTo, SilentFor: now - i.toldAt, Windows: len(i.windows)})
	}
	return states
}
