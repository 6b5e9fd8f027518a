package flow

import "sync"

type (
	// Cache maps digests to values and approximates least-recently-used eviction.
	// Each shard keeps two generations: an entry that is not used while one
	// generation fills is evicted. It is safe for concurrent use.
	Cache[V any] struct {
		shards         [shardCount]cacheShard[V]
		generationSize int // a shard starts a new generation when its current one has more entries
	}

	cacheShard[V any] struct {
		mu       sync.Mutex
		current  map[Digest]V
		previous map[Digest]V
	}
)

// NewCache returns a cache that holds at most about maxEntries entries, but at
// least two per shard.
func NewCache[V any](maxEntries int) *Cache[V] {
	c := &Cache[V]{generationSize: max(1, maxEntries/(2*shardCount))}
	for i := range c.shards {
		c.shards[i].current = make(map[Digest]V)
	}
	return c
}

// Get returns the value of d and whether it is present. An entry of the previous
// generation moves to the current one.
func (c *Cache[V]) Get(d Digest) (V, bool) {
	s := &c.shards[d.shard()]
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.current[d]; ok {
		return v, true
	}
	v, ok := s.previous[d]
	if ok {
		c.putLocked(s, d, v)
	}
	return v, ok
}

// Put sets the value of d.
func (c *Cache[V]) Put(d Digest, v V) {
	s := &c.shards[d.shard()]
	s.mu.Lock()
	defer s.mu.Unlock()
	c.putLocked(s, d, v)
}

// Delete removes the entry of d, if any.
func (c *Cache[V]) Delete(d Digest) {
	s := &c.shards[d.shard()]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.current, d)
	delete(s.previous, d)
}

// Len returns the number of entries.
func (c *Cache[V]) Len() int {
	n := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		n += len(s.current) + len(s.previous)
		s.mu.Unlock()
	}
	return n
}

// putLocked sets the value of d in the current generation and starts a new
// generation when that one has more than generationSize entries. s.mu must be held.
func (c *Cache[V]) putLocked(s *cacheShard[V], d Digest, v V) {
	delete(s.previous, d)
	s.current[d] = v
	if len(s.current) <= c.generationSize {
		return
	}
	s.previous = s.current
	s.current = make(map[Digest]V, c.generationSize)
}
