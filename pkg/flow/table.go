package flow

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// shardCount is the number of shards of every Table and Cache.
const shardCount = 64

type (
	// Table maps digests to values in shards, each with its own lock. The number
	// of entries is limited: when the table is full, Put rejects new digests and
	// nothing is evicted.
	Table[V any] struct {
		shards     [shardCount]Shard[V]
		maxEntries int64
		size       atomic.Int64
	}

	// Shard is the part of a table that one lock guards. It may be used only while
	// locked: between Lock and Unlock, or inside the function passed to WithShard,
	// WithShardAt or EachShard.
	Shard[V any] struct {
		mu      sync.Mutex
		entries map[Digest]V
		table   *Table[V]
	}
)

// NewTable returns a table that holds at most maxEntries entries.
func NewTable[V any](maxEntries int) *Table[V] {
	t := &Table[V]{maxEntries: int64(maxEntries)}
	for i := range t.shards {
		t.shards[i].entries = make(map[Digest]V)
		t.shards[i].table = t
	}
	return t
}

// Len returns the number of entries.
func (t *Table[V]) Len() int { return int(t.size.Load()) }

// WithShard calls f with the shard of d, locked during the call.
func (t *Table[V]) WithShard(d Digest, f func(*Shard[V])) {
	s := t.Lock(d)
	defer s.Unlock()
	f(s)
}

// Lock locks and returns the shard of d. Its Unlock must be called after use.
func (t *Table[V]) Lock(d Digest) *Shard[V] {
	s := &t.shards[d.shard()]
	s.mu.Lock()
	return s
}

// EachShard calls f with each shard in turn, locked during the call.
func (t *Table[V]) EachShard(f func(*Shard[V])) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		f(s)
		s.mu.Unlock()
	}
}

// WithShardAt calls f with shard i modulo the number of shards, locked during the
// call.
func (t *Table[V]) WithShardAt(i int, f func(*Shard[V])) {
	s := &t.shards[i%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// NumShards returns the number of shards of every table.
func NumShards() int { return shardCount }

// Unlock unlocks a shard that Lock returned.
func (s *Shard[V]) Unlock() { s.mu.Unlock() }

// Get returns the value of d and whether it is present.
func (s *Shard[V]) Get(d Digest) (V, bool) {
	v, ok := s.entries[d]
	return v, ok
}

// Put sets the value of d and returns true. If d is new and the table is full, it
// changes nothing and returns false.
func (s *Shard[V]) Put(d Digest, v V) bool {
	if _, ok := s.entries[d]; ok {
		s.entries[d] = v
		return true
	}
	if s.table.size.Add(1) > s.table.maxEntries {
		s.table.size.Add(-1)
		return false
	}
	s.entries[d] = v
	return true
}

// Delete removes the entry of d, if any.
func (s *Shard[V]) Delete(d Digest) {
	if _, ok := s.entries[d]; !ok {
		return
	}
	delete(s.entries, d)
	s.table.size.Add(-1)
}

// Each calls f for each entry, sorted by digest, until f returns false. f may
// delete the entry that it is called with. The fixed order makes decisions
// reproducible with a fixed random seed.
func (s *Shard[V]) Each(f func(Digest, V) bool) {
	digests := slices.SortedFunc(maps.Keys(s.entries), Digest.Compare)
	for _, d := range digests {
		if !f(d, s.entries[d]) {
			return
		}
	}
}
