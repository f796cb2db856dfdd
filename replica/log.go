package replica

import (
	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/storage"
)

// Kinds of log entries.
const (
	entryCommand    uint8 = 0
	entryMembership uint8 = 1
)

// entryLog keeps the log entries after baseIndex in memory.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []storage.Entry
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index. It reports false if the entry is no longer
// in memory or doesn't exist yet.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].Term, true
	}
}

// matches reports whether the log has an entry with this index and term.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// entriesFrom returns entries from index first on, up to limitBytes but at least one if
// there is one. The caller must not modify the result.
func (l *entryLog) entriesFrom(first uint64, limitBytes int) []storage.Entry {
	if first > l.last() {
		return nil
	}
	if first <= l.baseIndex {
		panic(errors.Errorf("replica: entry %d was dropped; the log starts after %d", first, l.baseIndex))
	}
	from := first - l.baseIndex - 1
	size, to := 0, from
	for to < uint64(len(l.entries)) && (to == from || size+len(l.entries[to].Data) <= limitBytes) {
		size += len(l.entries[to].Data) + entryOverhead
		to++
	}
	return l.entries[from:to:to]
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	kept := index - l.baseIndex - 1
	// The limited capacity makes later appends copy the array, which slices that were
	// returned earlier still share.
	l.entries = l.entries[:kept:kept]
}

// removable returns up to which index entries may be removed so that the newest ones up to the given
// index stay: at most as many as given, and with at most the given size.
func (l *entryLog) removable(index, kept uint64, keptBytes int) uint64 {
	size := 0
	for removable := index; ; removable-- {
		if removable <= l.baseIndex || index-removable >= kept {
			return removable
		}
		size += len(l.entries[removable-l.baseIndex-1].Data) + entryOverhead
		if size > keptBytes {
			return removable
		}
	}
}

// compact removes the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	rest := l.entries[index-l.baseIndex:]
	l.entries = append(make([]storage.Entry, 0, len(rest)), rest...)
	l.baseIndex, l.baseTerm = index, term
}

// reset removes all entries; the next entry will follow index.
func (l *entryLog) reset(index, term uint64) {
	l.baseIndex, l.baseTerm, l.entries = index, term, nil
}
