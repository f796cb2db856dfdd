package ratelimit

import (
	"cmp"
	"slices"
)

// ringSize is the number of positions on the ring.
const ringSize = 1 << 32

// Interval is a part of the ring: the positions from Begin, up to but without End. It is empty if
// End is not above Begin.
type Interval struct{ Begin, End uint64 }

// wholeRing is the interval of all positions.
var wholeRing = Interval{End: ringSize}

// IsEmpty reports whether the interval has no position.
func (i Interval) IsEmpty() bool { return i.End <= i.Begin }

// Size returns the part of the ring that the interval covers, from 0 to 1.
func (i Interval) Size() float64 {
	if i.IsEmpty() {
		return 0
	}
	return float64(i.End-i.Begin) / ringSize
}

// Intersect returns the positions that are in both intervals.
func (i Interval) Intersect(other Interval) Interval {
	return Interval{Begin: max(i.Begin, other.Begin), End: min(i.End, other.End)}
}

// hull returns the smallest interval that has all positions of both intervals.
func (i Interval) hull(other Interval) Interval {
	switch {
	case i.IsEmpty():
		return other
	case other.IsEmpty():
		return i
	}
	return Interval{Begin: min(i.Begin, other.Begin), End: max(i.End, other.End)}
}

// largestWithout returns the largest part of the interval that overlaps none of the taken ones.
func (i Interval) largestWithout(taken []Interval) Interval {
	slices.SortFunc(taken, func(a, b Interval) int { return cmp.Compare(a.Begin, b.Begin) })
	best, begin := Interval{}, i.Begin
	for _, t := range append(taken, Interval{Begin: ringSize, End: ringSize + 1}) {
		if t.IsEmpty() || t.End <= begin {
			continue
		}
		if free := (Interval{Begin: begin, End: min(t.Begin, i.End)}); !free.IsEmpty() && free.Size() > best.Size() {
			best = free
		}
		begin = t.End
	}
	return best
}

// EqualPart returns the part of the ring of one of several entries that have equal parts, in the
// order of their names. It is empty if the entry is not among them.
func EqualPart(entries []string, self string) Interval {
	names := slices.Clone(entries)
	slices.Sort(names)
	names = slices.Compact(names)
	i := uint64(slices.Index(names, self))
	if i >= uint64(len(names)) {
		return Interval{}
	}
	n := uint64(len(names))
	return Interval{Begin: i * ringSize / n, End: (i + 1) * ringSize / n}
}
