// Package affinity decides which model engines get the requests with a shared part of prompts, and
// from which other engine the chosen one copies what it lacks. Entries that know the same servers
// decide alike without telling each other. The package needs no network.
package affinity

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the rank of a server, given by the hash of its name, for a prompt part (rendezvous
// hashing). The server with the highest rank is preferred, so that a server that is lost or comes back
// changes the order of the others for no part.
func Rank(partID string, server uint64) uint64 { return mix(xxhash.Sum64String(partID) ^ server) }

// mix spreads the bits of x (the output function of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Preferred returns up to n servers for a prompt part, the preferred one first.
func Preferred[S any](partID string, servers []S, n int, hash func(S) uint64) []S {
	type ranked struct {
		server S
		rank   uint64
	}
	best := make([]ranked, 0, n+1)
	part := xxhash.Sum64String(partID)
	for _, s := range servers {
		r := ranked{s, mix(part ^ hash(s))}
		if len(best) == n && r.rank <= best[n-1].rank {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
		best = slices.Insert(best, i, r)
		best = best[:min(len(best), n)]
	}
	out := make([]S, len(best))
	for i, r := range best {
		out[i] = r.server
	}
	return out
}
