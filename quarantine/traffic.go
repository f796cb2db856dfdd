package quarantine

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// trafficWindow is the number of the newest requests to a service whose parts are counted.
	trafficWindow = 512
	// maxTrafficParts bounds the parts of these requests, so that the window is shorter while prompts have very
	// many.
	maxTrafficParts = 1 << 16
	// minTraffic is the number of requests from which shares are known.
	minTraffic = 16
	// commonShare is the share of the requests to a service from which a part is common: it is at
	// every server that ends, so that waiting there says nothing about it.
	commonShare = 0.25
)

// partTraffic counts how many of the recent requests to a service have each part. Parts are kept as hashes:
// two parts with the same one would be counted together, which is too rare to matter.
type partTraffic struct {
	requests [][]uint64 // parts of each request, oldest first
	parts    int        // number of parts of all requests
	counts   map[uint64]int
}

func newPartTraffic() *partTraffic {
	return &partTraffic{counts: map[uint64]int{}}
}

// add counts a request with the given parts. A part that is in the prompt several times counts once.
func (t *partTraffic) add(keys []Key) {
	hashes := make([]uint64, len(keys))
	for i, key := range keys {
		hashes[i] = key.hash()
	}
	slices.Sort(hashes)
	hashes = slices.Compact(hashes)
	for _, hash := range hashes {
		t.counts[hash]++
	}
	t.requests = append(t.requests, hashes)
	t.parts += len(hashes)
	for len(t.requests) > trafficWindow || t.parts > maxTrafficParts && len(t.requests) > 1 {
		t.dropOldest()
	}
}

// dropOldest no longer counts the oldest request.
func (t *partTraffic) dropOldest() {
	oldest := t.requests[0]
	t.requests = t.requests[1:]
	t.parts -= len(oldest)
	for _, hash := range oldest {
		if t.counts[hash]--; t.counts[hash] == 0 {
			delete(t.counts, hash)
		}
	}
}

// count returns the number of recent requests with a part.
func (t *partTraffic) count(key Key) int { return t.counts[key.hash()] }

// isRare reports whether a part is known to be in few requests.
func (t *partTraffic) isRare(key Key) bool {
	return len(t.requests) >= minTraffic && float64(t.count(key)) < commonShare*float64(len(t.requests))
}

// hash returns a hash of the part among those of its service.
func (k Key) hash() uint64 { return xxhash.Sum64String(k.ID) }
