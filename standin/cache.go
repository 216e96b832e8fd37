package standin

import (
	"container/list"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// CacheEvent reports that a block was stored in the prefix cache or, if Stored is
// false, removed from it. A gap in the sequence numbers means that an event was lost.
type CacheEvent struct {
	Sequence uint64
	Hash     uint64
	Stored   bool
	At       time.Time
}

// maxKeptEvents is the maximum number of events that are kept for clients.
const maxKeptEvents = 4096

// prefixCache is a least-recently-used cache of prompt blocks, keyed by hash.
type prefixCache struct {
	capacity  int
	eventLoss float64
	random    *rand.Rand
	lru       *list.List
	blocks    map[uint64]*list.Element
	sequence  uint64
	events    []CacheEvent
}

func newPrefixCache(s ModelSettings, random *rand.Rand) *prefixCache {
	return &prefixCache{capacity: s.CacheBlocks, eventLoss: s.EventLoss, random: random, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// cachedBlocks returns the number of leading blocks of the prefix that are cached.
func (c *prefixCache) cachedBlocks(prefix []uint64) int {
	for i, hash := range prefix {
		element, ok := c.blocks[hash]
		if !ok {
			return i
		}
		c.lru.MoveToFront(element)
	}
	return len(prefix)
}

// store adds the blocks of the prefix and evicts the least recently used blocks
// beyond the capacity.
func (c *prefixCache) store(now time.Time, prefix []uint64) {
	for _, hash := range prefix {
		if element, ok := c.blocks[hash]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.lru.PushFront(hash)
		c.recordEvent(now, hash, true)
	}
	for c.lru.Len() > c.capacity {
		hash := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, hash)
		c.recordEvent(now, hash, false)
	}
}

func (c *prefixCache) recordEvent(now time.Time, hash uint64, stored bool) {
	c.sequence++
	if c.random.Float64() < c.eventLoss {
		return
	}
	c.events = append(c.events, CacheEvent{c.sequence, hash, stored, now})
	c.events = c.events[max(0, len(c.events)-maxKeptEvents):]
}

// publishedEvents returns the events up to the time latest with sequence numbers
// above after.
func (c *prefixCache) publishedEvents(latest time.Time, after uint64) []CacheEvent {
	var events []CacheEvent
	for _, e := range c.events {
		if e.Sequence > after && !e.At.After(latest) {
			events = append(events, e)
		}
	}
	return events
}

// bytesPerToken is the assumed length of a token in a prompt.
const bytesPerToken = 4

// prefixHashes returns the hashes of a prompt's leading complete blocks. Each hash
// covers its block and all previous ones.
func prefixHashes(prompt string, blockTokens int) []uint64 {
	var hashes []uint64
	sum := fnv.New64a()
	for size := blockTokens * bytesPerToken; len(prompt) >= size; prompt = prompt[size:] {
		sum.Write([]byte(prompt[:size]))
		hashes = append(hashes, sum.Sum64())
	}
	return hashes
}
