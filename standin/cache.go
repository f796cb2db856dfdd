package standin

import (
	"container/list"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// bytesPerBlock is the number of prompt bytes in one cache block.
const bytesPerBlock = 256

const tokensPerBlock = bytesPerBlock / bytesPerToken

// cacheEvent reports a stored or evicted block to the router.
type cacheEvent struct {
	SequenceNumber uint64 `json:"sequence"`
	Kind           string `json:"kind"`
	Hash           string `json:"hash"`
}

// prefixCache is an LRU cache of the prompt blocks of finished sequences. The caller
// synchronizes access.
type prefixCache struct {
	recency            *list.List // block hashes, most recently used first
	blocks             map[string]*list.Element
	events             []cacheEvent // events that were not announced yet
	lastSequenceNumber uint64
	lostEventInterval  uint64 // with n > 0, every n-th event is not announced; zero announces all
}

func newPrefixCache(lostEventInterval int) *prefixCache {
	return &prefixCache{recency: list.New(), blocks: map[string]*list.Element{}, lostEventInterval: uint64(lostEventInterval)}
}

// hashPrefixes returns the hashes of the prefixes of a prompt that end at a block
// boundary, shortest first.
func hashPrefixes(model, prompt string) []string {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.WriteString("\x00")
	hashes := make([]string, 0, len(prompt)/bytesPerBlock)
	for len(prompt) >= bytesPerBlock {
		_, _ = digest.WriteString(prompt[:bytesPerBlock])
		hashes = append(hashes, strconv.FormatUint(digest.Sum64(), 16))
		prompt = prompt[bytesPerBlock:]
	}
	return hashes
}

// matchedTokens returns the number of leading prompt tokens that are cached, and marks
// their blocks as used.
func (c *prefixCache) matchedTokens(hashes []string) int {
	for i, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			return i * tokensPerBlock
		}
		c.recency.MoveToFront(element)
	}
	return len(hashes) * tokensPerBlock
}

func (c *prefixCache) store(hashes []string) {
	for _, hash := range hashes {
		if _, ok := c.blocks[hash]; ok {
			continue
		}
		c.blocks[hash] = c.recency.PushFront(hash)
		c.recordEvent("stored", hash)
	}
}

// evictTo evicts the least recently used blocks until at most limit tokens are cached.
func (c *prefixCache) evictTo(limit int) {
	for c.recency.Len() > 0 && c.tokenCount() > limit {
		last := c.recency.Back()
		hash, _ := c.recency.Remove(last).(string)
		delete(c.blocks, hash)
		c.recordEvent("evicted", hash)
	}
}

func (c *prefixCache) tokenCount() int {
	return c.recency.Len() * tokensPerBlock
}

func (c *prefixCache) recordEvent(kind, hash string) {
	c.lastSequenceNumber++
	if c.lostEventInterval > 0 && c.lastSequenceNumber%c.lostEventInterval == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{SequenceNumber: c.lastSequenceNumber, Kind: kind, Hash: hash})
}

// takeEvents removes the oldest events, at most limit, and returns them.
func (c *prefixCache) takeEvents(limit int) []cacheEvent {
	n := min(limit, len(c.events))
	events := c.events[:n]
	c.events = c.events[n:]
	return events
}
