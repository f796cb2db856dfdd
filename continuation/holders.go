package continuation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// HolderCount is the number of holders that a record is told to. One may be lost, or not be
	// reached, at any time.
	HolderCount = 2
	// AskedCount is the number of holders that are asked for a record. It is larger, because a holder
	// that was added lately moves the others back by one.
	AskedCount = 3
)

// Holders returns the processes that hold the record of a stream, the first ones before the others
// (rendezvous hashing): all processes compute the same order, and one that is added or removed changes
// little.
func Holders(stream string, processes []string) []string {
	type ranked struct {
		process string
		rank    uint64
	}
	ranks := lo.Map(processes, func(p string, _ int) ranked { return ranked{p, xxhash.Sum64String(stream + "\x00" + p)} })
	slices.SortFunc(ranks, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.process, b.process)) })
	return lo.Map(ranks, func(r ranked, _ int) string { return r.process })
}
