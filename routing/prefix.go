package routing

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/backend"
)

const (
	// maxPrefixes bounds the number of prefixes in the index. Most of them are cached by
	// one server.
	maxPrefixes = 1 << 16
	// maxServersPerPrefix bounds the number of servers stored for a prefix. With 4, a
	// prefix shared by all requests kept all of them on the few servers stored.
	maxServersPerPrefix = 32
)

// cacheState tracks a server's stream of cache events, to detect gaps.
type cacheState struct {
	generation  uint64 // incremented to invalidate all that is known of the cache
	sequence    uint64 // number of the last event
	hasSequence bool   // set after the first event since the server started
}

// invalidate makes every cacheRef to the cache invalid.
func (c *cacheState) invalidate() { c.generation++ }

// restart resets the state after the server has restarted, which empties its cache and
// numbers its events anew, or after the server was dropped.
func (c *cacheState) restart() {
	c.invalidate()
	c.sequence, c.hasSequence = 0, false
}

// cacheRef refers to the cache of a server that probably contains a prefix. It becomes
// invalid when the generation of that cache changes.
type cacheRef struct {
	server     *server
	generation uint64
}

func (c cacheRef) valid() bool { return c.server.cache.generation == c.generation }

func (s *server) cacheRef() cacheRef { return cacheRef{server: s, generation: s.cache.generation} }

// prefixIndex finds the servers whose cache probably contains a prefix. It evicts
// the least recently used prefixes.
type prefixIndex struct {
	byHash *simplelru.LRU[uint64, []cacheRef]
}

func newPrefixIndex() *prefixIndex {
	lru, err := simplelru.NewLRU[uint64, []cacheRef](maxPrefixes, nil)
	if err != nil {
		panic(errors.Wrap(err, "prefix index"))
	}
	return &prefixIndex{byHash: lru}
}

// apply processes a cache event. Old events are ignored; a gap in the sequence
// invalidates everything known of the server's cache.
func (x *prefixIndex) apply(s *server, e backend.CacheEvent) {
	c := &s.cache
	if c.hasSequence && e.Sequence <= c.sequence {
		return
	}
	if c.hasSequence && e.Sequence != c.sequence+1 {
		c.invalidate()
	}
	c.sequence, c.hasSequence = e.Sequence, true
	switch e.Kind {
	case backend.PrefixStored:
		x.add(s, []uint64{e.Hash})
	case backend.PrefixEvicted:
		x.remove(s, e.Hash)
	case backend.CacheCleared:
		c.invalidate()
	}
}

// add records that the cache of a server contains prefixes. A prefix keeps at most
// maxServersPerPrefix servers; the oldest one is removed first.
func (x *prefixIndex) add(s *server, prefixes []uint64) {
	for _, hash := range prefixes {
		old, _ := x.byHash.Get(hash)
		if slices.Contains(old, s.cacheRef()) {
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(old), func(ref cacheRef) bool { return !ref.valid() })
		if len(kept) == maxServersPerPrefix {
			kept = kept[1:]
		}
		x.byHash.Add(hash, append(kept, s.cacheRef()))
	}
}

// remove removes a server and all invalid references from a prefix.
func (x *prefixIndex) remove(s *server, hash uint64) {
	old, ok := x.byHash.Peek(hash)
	if !ok {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(old), func(ref cacheRef) bool { return ref.server == s || !ref.valid() })
	if len(kept) == 0 {
		x.byHash.Remove(hash)
		return
	}
	x.byHash.Add(hash, kept)
}

// cachingServers returns up to limit eligible servers whose caches probably contain the
// longest prefixes, longest first. Among the servers with the same prefix it starts at
// a random one, so that requests that share the prefix are spread over all of them.
func (x *prefixIndex) cachingServers(random uint64, prefixes []uint64, limit int, eligible func(*server) bool) []*server {
	var found []*server
	for i := len(prefixes) - 1; i >= 0; i-- {
		list, _ := x.byHash.Get(prefixes[i])
		for k := range list {
			ref := list[(int(random%uint64(len(list)))+k)%len(list)]
			if !ref.valid() || slices.Contains(found, ref.server) || !eligible(ref.server) {
				continue
			}
			found = append(found, ref.server)
			if len(found) == limit {
				return found
			}
		}
	}
	return found
}

// longest returns the number of the longest prefix, counted from 1, that the
// server's cache probably contains, or 0.
func (x *prefixIndex) longest(s *server, prefixes []uint64) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		list, _ := x.byHash.Peek(prefixes[i])
		if slices.Contains(list, s.cacheRef()) {
			return i + 1
		}
	}
	return 0
}
