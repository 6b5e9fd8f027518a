package rendezvous_test

import (
	"cmp"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/rendezvous"
)

func nodes(n int) []rendezvous.Node {
	var out []rendezvous.Node
	for i := range n {
		out = append(out, rendezvous.NewNode(uint64(i+1)*0x9e3779b97f4a7c15, uint32(50+50*(i%2))))
	}
	return out
}

// fullSort returns the identifiers of all nodes, sorted by descending score.
func fullSort(ns []rendezvous.Node, key uint64) []uint64 {
	score := func(n rendezvous.Node) float64 {
		u := (float64(rendezvous.Hash(key, n.ID())>>11) + 0.5) / (1 << 53)
		return -float64(n.Weight()) / math.Log(u)
	}
	sorted := slices.Clone(ns)
	slices.SortFunc(sorted, func(a, b rendezvous.Node) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(b.ID(), a.ID()))
	})
	var ids []uint64
	for _, n := range sorted {
		ids = append(ids, n.ID())
	}
	return ids
}

func TestTopEqualsFullSort(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{0, 1, 2, 3, 11, 100} {
		ns := nodes(size)
		table := rendezvous.New(ns)
		for key := range uint64(200) {
			var got [4]uint64
			n := table.Top(key*7919, got[:])
			is.Equal(n, min(size, 4))
			is.True(slices.Equal(got[:n], fullSort(ns, key*7919)[:n]))
			is.Equal(table.Top(key*7919, nil), 0)
		}
	}
}

func TestShareOfKeysIsProportionalToWeight(t *testing.T) {
	is := is.New(t)
	ns := nodes(8)
	table := rendezvous.New(ns)
	const keys = 60000
	heavy := 0
	for key := range uint64(keys) {
		var first [1]uint64
		table.Top(rendezvous.Hash(key, 1), first[:])
		i := slices.IndexFunc(ns, func(n rendezvous.Node) bool { return n.ID() == first[0] })
		if ns[i].Weight() == 100 {
			heavy++
		}
	}
	share := float64(heavy) / keys
	is.True(math.Abs(share-2.0/3) < 0.01) // heavy nodes have two thirds of the total weight
}

func TestRemovalMovesOnlyKeysOfRemovedNode(t *testing.T) {
	is := is.New(t)
	ns := nodes(7)
	before := rendezvous.New(ns)
	after := rendezvous.New(ns[1:])
	for key := range uint64(5000) {
		var a, b [2]uint64
		before.Top(rendezvous.Hash(key, 3), a[:])
		after.Top(rendezvous.Hash(key, 3), b[:])
		if a[0] == ns[0].ID() {
			is.Equal(b[0], a[1]) // the second member becomes first
			continue
		}
		is.Equal(a[0], b[0])
	}
}

func TestTopDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	table := rendezvous.New(nodes(11))
	var dst [3]uint64
	is.Equal(testing.AllocsPerRun(100, func() { table.Top(42, dst[:]) }), 0.0)
}
