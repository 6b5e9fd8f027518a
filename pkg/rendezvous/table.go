// Package rendezvous orders the members of a service for a key by weighted
// rendezvous hashing (highest random weight).
//
// Every node that holds the same members computes the same order without any
// exchange of messages. A member that joins or leaves moves only the keys
// that it wins or held. The score of a member for a key is -weight/ln(u),
// where u in (0,1) is a hash of the pair, so that each member comes first for
// a share of the keys in proportion to its weight.
//
// # Usage
//
//	table := rendezvous.New([]rendezvous.Node{rendezvous.NewNode(7, 100), rendezvous.NewNode(9, 50)})
//	var order [3]uint64
//	n := table.Top(key, order[:]) // order[0] is the first choice
//
// A Table is immutable and safe for concurrent use. Top does not allocate.
package rendezvous

import (
	"cmp"
	"math"
	"slices"
)

const (
	// MaxTop is the largest number of members that one call of Top returns.
	MaxTop = 8

	hashMultiplier1 = 0xbf58476d1ce4e5b9
	hashMultiplier2 = 0x94d049bb133111eb
	mantissaBits    = 53
)

type (
	// Node is one member as the hash sees it: an identifier and a weight.
	Node struct {
		id     uint64
		weight uint32
	}

	// Table holds the members of one service, grouped by weight. Within a
	// group the raw hashes decide, so the logarithm is computed only for the
	// best of each group.
	Table struct {
		groups []group
		size   int
	}

	group struct {
		weight float64
		ids    []uint64
	}

	scored struct {
		id    uint64
		score float64
	}

	ranked struct {
		id   uint64
		hash uint64
	}
)

// NewNode returns a node. A weight of 0 keeps the node out of every order.
func NewNode(id uint64, weight uint32) Node {
	return Node{id: id, weight: weight}
}

// ID returns the identifier of the node.
func (n Node) ID() uint64 { return n.id }

// Weight returns the relative weight of the node.
func (n Node) Weight() uint32 { return n.weight }

// New builds a table. The order of nodes does not matter.
func New(nodes []Node) *Table {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.id, b.id))
	})
	t := &Table{}
	for _, n := range sorted {
		if n.weight == 0 {
			continue
		}
		t.add(n)
	}
	return t
}

func (t *Table) add(n Node) {
	last := len(t.groups) - 1
	if last < 0 || t.groups[last].weight != float64(n.weight) {
		t.groups = append(t.groups, group{weight: float64(n.weight)})
		last++
	}
	t.groups[last].ids = append(t.groups[last].ids, n.id)
	t.size++
}

// Len returns the number of members with a weight above 0.
func (t *Table) Len() int { return t.size }

// Top writes the identifiers of the best members for key into dst, best
// first, and returns how many it wrote: the least of len(dst), Len and MaxTop.
func (t *Table) Top(key uint64, dst []uint64) int {
	want := min(len(dst), t.size, MaxTop)
	var best [MaxTop]scored
	found := 0
	for i := range t.groups {
		found = t.groups[i].merge(key, best[:want], found)
	}
	for i := range found {
		dst[i] = best[i].id
	}
	return found
}

// merge inserts the best members of the group into the sorted list best,
// which holds found entries, and returns the new number of entries.
func (g *group) merge(key uint64, best []scored, found int) int {
	var local [MaxTop]ranked
	n := 0
	for _, id := range g.ids {
		hash := Hash(key, id)
		if n == len(best) && hash <= local[n-1].hash {
			continue
		}
		if n < len(best) {
			n++
		}
		at := n - 1
		for at > 0 && local[at-1].hash < hash {
			local[at] = local[at-1]
			at--
		}
		local[at] = ranked{id: id, hash: hash}
	}
	for _, r := range local[:n] {
		found = insert(best, found, scored{id: r.id, score: score(r.hash, g.weight)})
	}
	return found
}

func insert(best []scored, found int, s scored) int {
	if found == len(best) {
		if found == 0 || !before(s, best[found-1]) {
			return found
		}
		found--
	}
	at := found
	for at > 0 && before(s, best[at-1]) {
		best[at] = best[at-1]
		at--
	}
	best[at] = s
	return found + 1
}

func before(a, b scored) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.id > b.id
}

func score(hash uint64, weight float64) float64 {
	u := (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -weight / math.Log(u)
}

// Score returns the weighted score of a node for a key; the highest comes first.
func Score(key uint64, n Node) float64 { return score(Hash(key, n.id), float64(n.weight)) }

// Hash returns the unweighted hash of a key and a member. It depends on no
// view, so two nodes with different members still agree on it.
func Hash(key, id uint64) uint64 {
	x := key ^ (id * hashMultiplier1)
	x ^= x >> 30
	x *= hashMultiplier1
	x ^= x >> 27
	x *= hashMultiplier2
	x ^= x >> 31
	return x
}
