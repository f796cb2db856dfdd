package quarantine

import (
	"cmp"
	"slices"

	"github.com/samber/lo"
)

// maxBlamedParts is the number of parts of one request against which the end of a server is recorded, so that a
// server that ends under many long prompts costs the entries and what they tell each other little.
const maxBlamedParts = 16

// blamedPart is a part of a request that was lost with its server.
type blamedPart struct {
	key   Key
	depth int // position in the prompt, from 0
	trial bool
	blame blame
}

// blame is what is known of a part when a server ends under it, for the choice of those that are recorded.
type blame struct {
	group     blameGroup
	survivals int
	ends      int // servers that ended under the part before
	requests  int // recent requests with the part
}

// blameGroup orders parts by what the end of a server can tell about them.
type blameGroup uint8

const (
	// comesAgain is a part that other requests have, or under which a server has ended before.
	comesAgain blameGroup = iota
	// seenOnce is a part that no other recent request has: nothing can be learned about it unless it comes again.
	seenOnce
	// probablySound is a part that many requests survived, or that most requests have and some survived.
	probablySound
)

// compare orders those first that may have ended the server most likely.
func (b blamedPart) compare(other blamedPart) int {
	if b.trial != other.trial {
		if b.trial {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.blame.group, other.blame.group), cmp.Compare(b.blame.survivals, other.blame.survivals),
		cmp.Compare(other.blame.ends, b.blame.ends), cmp.Compare(other.blame.requests, b.blame.requests),
		cmp.Compare(other.depth, b.depth),
	)
}

// blamedParts returns the parts of a request against which the end of its server is recorded. A prompt may
// have any number of parts. If there are too many, those are left out that are sound most likely. The caller
// holds the lock.
func (q *Quarantine) blamedParts(s Subject, loss Loss) []blamedPart {
	var parts []blamedPart
	for depth, key := range s.partKeys() {
		p := blamedPart{key: key, depth: depth, trial: key == loss.Tried}
		if loss.Begun || p.trial || q.isRare(key) {
			parts = append(parts, p)
		}
	}
	if len(parts) <= maxBlamedParts {
		return parts
	}
	parts = lo.UniqBy(parts, func(p blamedPart) Key { return p.key })
	for i := range parts {
		parts[i].blame = q.blameOf(parts[i].key, s.Version)
	}
	slices.SortFunc(parts, blamedPart.compare)
	return parts[:min(len(parts), maxBlamedParts)]
}

// blameOf returns what is known of a part whose server was of a software version. The caller holds the lock.
func (q *Quarantine) blameOf(key Key, version string) blame {
	b := blame{group: comesAgain}
	b.survivals, _ = q.survived.Peek(survivedPart{key: key, version: version})
	if record, ok := q.suspects[key]; ok {
		b.survivals, b.ends = max(b.survivals, record.survivals.at(version)), len(record.ends)
	}
	if t, ok := q.traffic[key.Service]; ok {
		b.requests = t.count(key)
	}
	switch {
	case b.survivals >= maxSurvivals, b.survivals > 0 && !q.isRare(key):
		b.group = probablySound
	case b.ends == 0 && b.requests <= 1:
		b.group = seenOnce
	}
	return b
}
