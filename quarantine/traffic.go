package quarantine

import lru "github.com/hashicorp/golang-lru/v2"

const (
	// trafficWindow is the number of requests to a service after which older ones count half.
	trafficWindow = 512
	// minTraffic is the number of requests from which shares are known.
	minTraffic = 16
	// commonShare is the share of the requests to a service from which a part is common: it is at
	// every server that ends, so that waiting there says nothing about it.
	commonShare = 0.25
	// maxTrafficParts bounds the parts that are counted.
	maxTrafficParts = 1024
)

// partTraffic counts how many of the recent requests to a service have each part.
type partTraffic struct {
	requests int
	parts    *lru.Cache[Key, int]
}

func newPartTraffic() *partTraffic {
	parts, err := lru.New[Key, int](maxTrafficParts)
	if err != nil {
		panic(err) // cannot happen: the size is positive
	}
	return &partTraffic{parts: parts}
}

// add counts a request with the given parts.
func (t *partTraffic) add(keys []Key) {
	if t.requests >= trafficWindow {
		t.halve()
	}
	t.requests++
	for _, key := range keys {
		count, ok := t.parts.Get(key)
		if !ok {
			key = key.clone()
		}
		t.parts.Add(key, count+1)
	}
}

// halve halves all counts, so that recent requests count most.
func (t *partTraffic) halve() {
	t.requests /= 2
	for _, key := range t.parts.Keys() {
		count, _ := t.parts.Peek(key)
		if count /= 2; count == 0 {
			t.parts.Remove(key)
			continue
		}
		t.parts.Add(key, count)
	}
}

// isRare reports whether a part is known to be in few requests.
func (t *partTraffic) isRare(key Key) bool {
	count, _ := t.parts.Peek(key)
	return t.requests >= minTraffic && float64(count) < commonShare*float64(t.requests)
}
