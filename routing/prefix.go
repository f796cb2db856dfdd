package routing

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/backend"
)

const (
	// maxPrefixes bounds the prefixes in the index. Most have one holder.
	maxPrefixes = 1 << 16
	// maxHolders bounds the servers remembered for a prefix. With 4, a prefix that
	// every request shares kept all of them on the few servers remembered.
	maxHolders = 32
)

// cacheState is what is known of the order of a server's cache events.
type cacheState struct {
	generation uint64 // raised when all that is known becomes invalid
	sequence   uint64
	synced     bool
}

func (c *cacheState) invalidate() { c.generation++ }

func (c *cacheState) restart() {
	c.invalidate()
	c.sequence, c.synced = 0, false
}

// holder is a server that probably has a prefix. It is void when the server's
// generation has moved on.
type holder struct {
	server     *server
	generation uint64
}

func (h holder) valid() bool { return h.server.cache.generation == h.generation }

func (s *server) holder() holder { return holder{server: s, generation: s.cache.generation} }

// prefixIndex finds the servers that probably hold a prefix.
type prefixIndex struct {
	byHash *simplelru.LRU[uint64, []holder]
}

func newPrefixIndex() *prefixIndex {
	lru, err := simplelru.NewLRU[uint64, []holder](maxPrefixes, nil)
	if err != nil {
		panic(errors.Wrap(err, "prefix index"))
	}
	return &prefixIndex{byHash: lru}
}

// apply adds a cache event. After a gap nothing that was known is trusted.
func (x *prefixIndex) apply(s *server, e backend.CacheEvent) {
	c := &s.cache
	if c.synced && e.Sequence <= c.sequence {
		return
	}
	if c.synced && e.Sequence != c.sequence+1 {
		c.invalidate()
	}
	c.sequence, c.synced = e.Sequence, true
	switch e.Kind {
	case backend.PrefixStored:
		x.add(s, []uint64{e.Hash})
	case backend.PrefixEvicted:
		x.remove(s, e.Hash)
	case backend.CacheCleared:
		c.invalidate()
	}
}

func (x *prefixIndex) add(s *server, prefixes []uint64) {
	for _, hash := range prefixes {
		old, _ := x.byHash.Get(hash)
		if slices.Contains(old, s.holder()) {
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(old), func(h holder) bool { return !h.valid() })
		if len(kept) == maxHolders {
			kept = kept[1:]
		}
		x.byHash.Add(hash, append(kept, s.holder()))
	}
}

// remove drops a server, and holders that have become void, from a prefix.
func (x *prefixIndex) remove(s *server, hash uint64) {
	old, ok := x.byHash.Peek(hash)
	if !ok {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(old), func(h holder) bool { return h.server == s || !h.valid() })
	if len(kept) == 0 {
		x.byHash.Remove(hash)
		return
	}
	x.byHash.Add(hash, kept)
}

// holders returns up to limit servers that may hold the longest prefixes, longest
// first. Among the holders of one prefix it starts at a random one, so that a
// prefix shared by many requests uses all of them.
func (x *prefixIndex) holders(random uint64, prefixes []uint64, limit int, wanted func(*server) bool) []*server {
	var found []*server
	for i := len(prefixes) - 1; i >= 0; i-- {
		list, _ := x.byHash.Get(prefixes[i])
		for k := range list {
			h := list[(int(random%uint64(len(list)))+k)%len(list)]
			if !h.valid() || slices.Contains(found, h.server) || !wanted(h.server) {
				continue
			}
			found = append(found, h.server)
			if len(found) == limit {
				return found
			}
		}
	}
	return found
}

// longest returns the number of leading prefixes that a server probably holds.
func (x *prefixIndex) longest(s *server, prefixes []uint64) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		list, _ := x.byHash.Peek(prefixes[i])
		if slices.Contains(list, s.holder()) {
			return i + 1
		}
	}
	return 0
}
