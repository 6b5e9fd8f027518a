package flow_test

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/flow"
)

func digest(i int) flow.Digest {
	var d flow.Digest
	binary.LittleEndian.PutUint64(d[:], uint64(i))
	return d
}

func TestFullTableRejectsNewEntriesWithoutEviction(t *testing.T) {
	is := is.New(t)
	table := flow.NewTable[int](100)
	put := func(i, v int) (ok bool) {
		table.WithShard(digest(i), func(s *flow.Shard[int]) { ok = s.Put(digest(i), v) })
		return ok
	}
	for i := range 100 {
		is.True(put(i, i))
	}
	is.True(!put(100, 0)) // full
	is.True(put(7, 70))   // a present entry can be updated
	is.Equal(table.Len(), 100)
	table.WithShard(digest(7), func(s *flow.Shard[int]) {
		v, ok := s.Get(digest(7))
		is.True(ok)
		is.Equal(v, 70)
		s.Delete(digest(7))
		s.Delete(digest(7)) // a second deletion has no effect
	})
	is.Equal(table.Len(), 99)
	is.True(put(100, 0))
}

func TestEachIteratesInDigestOrder(t *testing.T) {
	is := is.New(t)
	table := flow.NewTable[int](10000)
	for i := range 1000 {
		table.WithShard(digest(i), func(s *flow.Shard[int]) { s.Put(digest(i), i) })
	}
	seen := 0
	table.EachShard(func(s *flow.Shard[int]) {
		var last flow.Digest
		s.Each(func(d flow.Digest, _ int) bool {
			is.True(last.Compare(d) <= 0)
			last = d
			seen++
			return true
		})
	})
	is.Equal(seen, 1000)
}

func TestCacheEvictsUnusedEntries(t *testing.T) {
	is := is.New(t)
	const maxEntries = 1280 // 10 per generation of each shard
	cache := flow.NewCache[int](maxEntries)
	cache.Put(digest(0), 1)
	cache.Put(digest(64), 2) // in the same shard
	for i := 2; i < 200; i++ {
		cache.Put(digest(64*i), i)
		_, kept := cache.Get(digest(0))
		is.True(kept) // used in every iteration
	}
	_, kept := cache.Get(digest(64))
	is.True(!kept)
	is.True(cache.Len() <= maxEntries)
}

func TestDigestDependsOnEveryKeyFieldAndSecret(t *testing.T) {
	is := is.New(t)
	a := netip.MustParseAddrPort("192.0.2.1:1")
	b := netip.MustParseAddrPort("192.0.2.1:2")
	hasher := flow.NewHasher([16]byte{1})
	seen := make(map[flow.Digest]bool)
	for _, k := range []flow.Key{
		flow.NewKey(1, flow.UDP, a, b),
		flow.NewKey(2, flow.UDP, a, b),
		flow.NewKey(1, 6, a, b),
		flow.NewKey(1, flow.UDP, b, a),
		flow.NewKey(1, flow.UDP, a, a),
	} {
		seen[hasher.Digest(k)] = true
	}
	seen[flow.NewHasher([16]byte{2}).Digest(flow.NewKey(1, flow.UDP, a, b))] = true
	is.Equal(len(seen), 6)
	mapped := netip.AddrPortFrom(netip.AddrFrom16(a.Addr().As16()), a.Port())
	is.Equal(flow.NewKey(1, flow.UDP, mapped, b), flow.NewKey(1, flow.UDP, a, b))
}
