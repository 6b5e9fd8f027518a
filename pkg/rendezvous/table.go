// Package rendezvous orders the members of a service for a key by weighted
// rendezvous hashing (highest random weight).
//
// Processes that hold the same members compute the same order without exchanging
// messages. When a member joins or leaves, only the keys for which it is first
// change their first member. The score of a member for a key is -weight/ln(u),
// where u in (0,1) is derived from a hash of the pair, so that each member is
// first for a share of the keys proportional to its weight.
//
// # Usage
//
//	table := rendezvous.New([]rendezvous.Node{rendezvous.NewNode(7, 100), rendezvous.NewNode(9, 50)})
//	var order [3]uint64
//	n := table.Top(key, order[:]) // order[0] has the highest score
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

	// Multipliers of the finalizer of SplitMix64.
	hashMultiplier1 = 0xbf58476d1ce4e5b9
	hashMultiplier2 = 0x94d049bb133111eb
	// mantissaBits is the precision of a float64, in bits.
	mantissaBits = 53
)

type (
	// Node is the identifier and the weight of a member.
	Node struct {
		id     uint64
		weight uint32
	}

	// Table holds the members of one service, grouped by weight. Within a group
	// the order of the scores is that of the hashes, so the logarithm is computed
	// only for the first members of each group.
	Table struct {
		groups []weightGroup
		size   int
	}

	// weightGroup holds the members of equal weight.
	weightGroup struct {
		weight float64
		ids    []uint64
	}

	// scoredNode is a member and its weighted score for a key.
	scoredNode struct {
		id    uint64
		score float64
	}

	// hashedNode is a member and its unweighted hash for a key.
	hashedNode struct {
		id   uint64
		hash uint64
	}
)

// NewNode returns a node. A node of weight 0 is left out of every order.
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

// add adds a node. Nodes must be added in the order of their weights.
func (t *Table) add(n Node) {
	last := len(t.groups) - 1
	if last < 0 || t.groups[last].weight != float64(n.weight) {
		t.groups = append(t.groups, weightGroup{weight: float64(n.weight)})
		last++
	}
	t.groups[last].ids = append(t.groups[last].ids, n.id)
	t.size++
}

// Len returns the number of members with a weight above 0.
func (t *Table) Len() int { return t.size }

// Top writes the identifiers of the members with the highest scores for key into
// dst, highest first, and returns the number written: the minimum of len(dst), Len
// and MaxTop.
func (t *Table) Top(key uint64, dst []uint64) int {
	want := min(len(dst), t.size, MaxTop)
	if want == 0 {
		return 0
	}
	var best [MaxTop]scoredNode
	found := 0
	for i := range t.groups {
		found = t.groups[i].merge(key, best[:want], found)
	}
	for i := range found {
		dst[i] = best[i].id
	}
	return found
}

// merge inserts the members of the group with the highest hashes into best, whose
// first found entries are sorted by score, and returns the new number of entries.
func (g *weightGroup) merge(key uint64, best []scoredNode, found int) int {
	var local [MaxTop]hashedNode
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
		local[at] = hashedNode{id: id, hash: hash}
	}
	for _, r := range local[:n] {
		found = insert(best, found, scoredNode{id: r.id, score: score(r.hash, g.weight)})
	}
	return found
}

// insert inserts s into best, whose first found entries are sorted by score, and
// returns the new number of entries. If best is full, s replaces the last entry or,
// if it does not rank before that one, is left out.
func insert(best []scoredNode, found int, s scoredNode) int {
	if found == len(best) {
		if found == 0 || !ranksBefore(s, best[found-1]) {
			return found
		}
		found--
	}
	at := found
	for at > 0 && ranksBefore(s, best[at-1]) {
		best[at] = best[at-1]
		at--
	}
	best[at] = s
	return found + 1
}

// ranksBefore reports whether a has the higher score than b; the higher identifier
// breaks ties.
func ranksBefore(a, b scoredNode) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.id > b.id
}

// score maps the hash to u in (0,1) and returns -weight/ln(u).
//
// FIXME: if the first 53 bits of the hash are all 1, u is rounded to 1 and the score is
// -Inf instead of the highest.
func score(hash uint64, weight float64) float64 {
	u := (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -weight / math.Log(u)
}

// Score returns the weighted score of a node for a key. Top orders members by
// descending score.
func Score(key uint64, n Node) float64 { return score(Hash(key, n.id), float64(n.weight)) }

// Hash returns the unweighted hash of a key and a member's identifier. It does not
// depend on the other members, so processes with different views of the membership
// compute the same value.
func Hash(key, id uint64) uint64 {
	x := key ^ (id * hashMultiplier1)
	x ^= x >> 30
	x *= hashMultiplier1
	x ^= x >> 27
	x *= hashMultiplier2
	x ^= x >> 31
	return x
}
