package flow

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

const shardCount = 64

type (
	// Table maps digests to values in shards, each under its own lock. It
	// never holds more than its bound: Put refuses, nothing is evicted.
	Table[V any] struct {
		shards [shardCount]Shard[V]
		bound  int64
		size   atomic.Int64
	}

	// Shard is the part of a table that one lock guards. It is valid only
	// inside the function given to With or EachShard.
	Shard[V any] struct {
		mu      sync.Mutex
		entries map[Digest]V
		table   *Table[V]
	}
)

// NewTable returns a table that holds at most bound entries.
func NewTable[V any](bound int) *Table[V] {
	t := &Table[V]{bound: int64(bound)}
	for i := range t.shards {
		t.shards[i].entries = make(map[Digest]V)
		t.shards[i].table = t
	}
	return t
}

// Len returns the number of entries.
func (t *Table[V]) Len() int { return int(t.size.Load()) }

// WithShard calls f with the shard of d locked.
func (t *Table[V]) WithShard(d Digest, f func(*Shard[V])) {
	s := t.Lock(d)
	defer s.Unlock()
	f(s)
}

// Lock locks and returns the shard of d. The caller must call Unlock.
func (t *Table[V]) Lock(d Digest) *Shard[V] {
	s := &t.shards[d.shard()]
	s.mu.Lock()
	return s
}

// EachShard calls f with each shard locked in turn.
func (t *Table[V]) EachShard(f func(*Shard[V])) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		f(s)
		s.mu.Unlock()
	}
}

// WithShardAt calls f with shard i, taken modulo the number of shards, locked.
func (t *Table[V]) WithShardAt(i int, f func(*Shard[V])) {
	s := &t.shards[i%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// NumShards returns the number of shards of every table.
func NumShards() int { return shardCount }

// Unlock releases a shard that Lock returned.
func (s *Shard[V]) Unlock() { s.mu.Unlock() }

// Get returns the value of d.
func (s *Shard[V]) Get(d Digest) (V, bool) {
	v, ok := s.entries[d]
	return v, ok
}

// Put sets the value of d. It reports false, and changes nothing, if d is new
// and the table is full.
func (s *Shard[V]) Put(d Digest, v V) bool {
	if _, ok := s.entries[d]; ok {
		s.entries[d] = v
		return true
	}
	if s.table.size.Add(1) > s.table.bound {
		s.table.size.Add(-1)
		return false
	}
	s.entries[d] = v
	return true
}

// Delete removes d.
func (s *Shard[V]) Delete(d Digest) {
	if _, ok := s.entries[d]; !ok {
		return
	}
	delete(s.entries, d)
	s.table.size.Add(-1)
}

// Each calls f for each entry, in the order of the digests, until f returns
// false. f may delete the entry that it is called with. The fixed order keeps
// decisions repeatable under a fixed seed.
func (s *Shard[V]) Each(f func(Digest, V) bool) {
	digests := slices.SortedFunc(maps.Keys(s.entries), Digest.Compare)
	for _, d := range digests {
		if !f(d, s.entries[d]) {
			return
		}
	}
}
