package standin

import (
	"container/list"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// CacheEvent says that a block came into the prefix cache or left it. A gap
// in the sequence numbers is an event that was lost.
type CacheEvent struct {
	Sequence uint64
	Hash     uint64
	Stored   bool
	At       time.Time
}

// keepEvents bounds the events that can still be read.
const keepEvents = 4096

// prefixCache holds the least recently used prompt blocks, by hash.
type prefixCache struct {
	capacity int
	loss     float64
	random   *rand.Rand
	recent   *list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []CacheEvent
}

func newPrefixCache(s ModelSettings, random *rand.Rand) *prefixCache {
	return &prefixCache{capacity: s.CacheBlocks, loss: s.EventLoss, random: random, recent: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookUp returns how many leading blocks are cached.
func (c *prefixCache) lookUp(prefix []uint64) int {
	for i, hash := range prefix {
		element, ok := c.blocks[hash]
		if !ok {
			return i
		}
		c.recent.MoveToFront(element)
	}
	return len(prefix)
}

func (c *prefixCache) store(now time.Time, prefix []uint64) {
	for _, hash := range prefix {
		if element, ok := c.blocks[hash]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.recent.PushFront(hash)
		c.note(now, hash, true)
	}
	for c.recent.Len() > c.capacity {
		hash := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, hash)
		c.note(now, hash, false)
	}
}

func (c *prefixCache) note(now time.Time, hash uint64, stored bool) {
	c.sequence++
	if c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, CacheEvent{c.sequence, hash, stored, now})
	c.events = c.events[max(0, len(c.events)-keepEvents):]
}

func (c *prefixCache) published(until time.Time, after uint64) []CacheEvent {
	var events []CacheEvent
	for _, e := range c.events {
		if e.Sequence > after && !e.At.After(until) {
			events = append(events, e)
		}
	}
	return events
}

// bytesPerToken is the length of a prompt's token.
const bytesPerToken = 4

// prefixHashes returns the hashes of a prompt's leading whole blocks.
func prefixHashes(prompt string, blockTokens int) []uint64 {
	var hashes []uint64
	sum := fnv.New64a()
	for size := blockTokens * bytesPerToken; len(prompt) >= size; prompt = prompt[size:] {
		sum.Write([]byte(prompt[:size]))
		hashes = append(hashes, sum.Sum64())
	}
	return hashes
}
