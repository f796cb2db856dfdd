package promptcache

import (
	"github.com/cespare/xxhash/v2"

	"github.com/galenaslip/galenaslip/clock"
)

// Retention is how long a server is assumed to keep a part cached after its last use.
const Retention = 60 * clock.Second

// Cache identifies what one server has cached since it started. Each server gets a number of its own,
// and another one when it has started again.
type Cache uint64

// Table remembers when parts were last used at servers. It is not safe for concurrent use.
type Table struct {
	limit int
	last  Cache

	// Parts are written to recent. When it holds half of the limit, or the last rotation is Retention
	// ago, it takes the place of former, whose parts are dropped.
	recent, former map[key]clock.Millis
	rotatedAt      clock.Millis
}

type key struct {
	cache Cache
	part  uint64 // hash of the part's ID
}

// New returns a table that remembers up to limit parts, and the last limit/2 different ones for certain.
func New(limit int) *Table {
	return &Table{limit: limit, recent: map[key]clock.Millis{}}
}

// NewCache returns the number of a server that has nothing cached.
func (t *Table) NewCache() Cache {
	t.last++
	return t.last
}

// Holds reports whether a server probably has a part cached.
func (t *Table) Holds(now clock.Millis, c Cache, partID string) bool {
	k := key{cache: c, part: xxhash.Sum64String(partID)}
	usedAt, ok := t.recent[k]
	if !ok {
		usedAt, ok = t.former[k]
	}
	return ok && now-usedAt < Retention
}

// Use records that a request with the part is sent to a server, and reports whether the part was
// probably cached there before.
func (t *Table) Use(now clock.Millis, c Cache, partID string) bool {
	k := key{cache: c, part: xxhash.Sum64String(partID)}
	usedAt, ok := t.recent[k]
	if !ok {
		usedAt, ok = t.former[k]
		if len(t.recent) >= max(t.limit/2, 1) {
			t.rotate(now)
		}
	}
	t.recent[k] = now
	return ok && now-usedAt < Retention
}

// DropExpired drops parts that were not used for Retention. They are gone after twice that time at the
// latest, if it is called often.
func (t *Table) DropExpired(now clock.Millis) {
	if now-t.rotatedAt >= Retention {
		t.rotate(now)
	}
}

func (t *Table) rotate(now clock.Millis) {
	t.former, t.recent, t.rotatedAt = t.recent, map[key]clock.Millis{}, now
}

// Len returns the number of parts that are remembered. Those that were used again may count twice.
func (t *Table) Len() int { return len(t.recent) + len(t.former) }
