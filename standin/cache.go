package standin

import (
	"container/list"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// prefixBlock is the number of prompt bytes that one cache block covers.
const prefixBlock = 256

const blockTokens = prefixBlock / bytesPerToken

// cacheEvent tells the routers about a stored or removed block.
type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Hash     string `json:"hash"`
}

// prefixCache holds the blocks of past prompts, least recently used last.
type prefixCache struct {
	order    *list.List
	blocks   map[string]*list.Element
	events   []cacheEvent
	sequence uint64
	gap      uint64 // every gap-th event is lost; zero loses none
}

func newPrefixCache(gap int) *prefixCache {
	return &prefixCache{order: list.New(), blocks: map[string]*list.Element{}, gap: uint64(gap)}
}

// prefixes names the whole-block prefixes of a prompt, shortest first.
func prefixes(model, prompt string) []string {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.WriteString("\x00")
	names := make([]string, 0, len(prompt)/prefixBlock)
	for len(prompt) >= prefixBlock {
		_, _ = digest.WriteString(prompt[:prefixBlock])
		names = append(names, strconv.FormatUint(digest.Sum64(), 16))
		prompt = prompt[prefixBlock:]
	}
	return names
}

// match returns the number of leading tokens that are cached.
func (c *prefixCache) match(names []string) int {
	for i, name := range names {
		element, ok := c.blocks[name]
		if !ok {
			return i * blockTokens
		}
		c.order.MoveToFront(element)
	}
	return len(names) * blockTokens
}

func (c *prefixCache) store(names []string) {
	for _, name := range names {
		if _, ok := c.blocks[name]; ok {
			continue
		}
		c.blocks[name] = c.order.PushFront(name)
		c.record("stored", name)
	}
}

// shrink evicts blocks until at most limit tokens are cached.
func (c *prefixCache) shrink(limit int) {
	for c.order.Len() > 0 && c.tokens() > limit {
		last := c.order.Back()
		name, _ := c.order.Remove(last).(string)
		delete(c.blocks, name)
		c.record("evicted", name)
	}
}

func (c *prefixCache) tokens() int {
	return c.order.Len() * blockTokens
}

func (c *prefixCache) record(kind, name string) {
	c.sequence++
	if c.gap > 0 && c.sequence%c.gap == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Sequence: c.sequence, Kind: kind, Hash: name})
}

// drain returns the events since the last call, at most limit of them.
func (c *prefixCache) drain(limit int) []cacheEvent {
	n := min(limit, len(c.events))
	events := c.events[:n]
	c.events = c.events[n:]
	return events
}
