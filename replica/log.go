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

// entryLog holds the entries after base in memory.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []storage.Entry
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry, if it is still known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.base-1].Term, true
	}
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from first on, at least one if there is one, up to
// the limit in bytes. The result must not be changed.
func (l *entryLog) slice(first uint64, limit int) []storage.Entry {
	if first > l.last() {
		return nil
	}
	if first <= l.base {
		panic(errors.Errorf("replica: entry %d was dropped; the log starts after %d", first, l.base))
	}
	from := first - l.base - 1
	size, to := 0, from
	for to < uint64(len(l.entries)) && (to == from || size+len(l.entries[to].Data) <= limit) {
		size += len(l.entries[to].Data) + entryOverhead
		to++
	}
	return l.entries[from:to:to]
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	kept := index - l.base - 1
	// Later appends must not write into arrays that earlier slices share.
	l.entries = l.entries[:kept:kept]
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	rest := l.entries[index-l.base:]
	l.entries = append(make([]storage.Entry, 0, len(rest)), rest...)
	l.base, l.baseTerm = index, term
}

// reset drops all entries and continues after index.
func (l *entryLog) reset(index, term uint64) {
	l.base, l.baseTerm, l.entries = index, term, nil
}
