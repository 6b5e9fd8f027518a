package agent

import (
	"cmp"
	"slices"
	"time"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
)

type (
	// registerQueue holds the queued flows of each home, oldest first. A home
	// without queued flows has no key.
	registerQueue map[member.ID][]queuedFlow

	// queuedFlow is a flow to be registered with a home, or a closed flow that the
	// home is to be notified of.
	queuedFlow struct {
		digest   flow.Digest
		queuedAt time.Time
		// epoch and closed are set for a closed flow only.
		epoch  flow.Epoch
		closed bool
	}
)

// longestQueue returns the home with the most queued flows, and false if there is
// none.
func (q registerQueue) longestQueue() (member.ID, bool) {
	var best member.ID
	for _, id := range sortedKeys(q) {
		if len(q[id]) > len(q[best]) {
			best = id
		}
	}
	return best, len(q[best]) > 0
}

// oldestQueue returns the home whose first flow was queued earliest. It returns
// false if no flow was queued at or before bound.
func (q registerQueue) oldestQueue(bound time.Time) (member.ID, bool) {
	var best member.ID
	for _, id := range sortedKeys(q) {
		if at := q[id][0].queuedAt; !at.After(bound) {
			best, bound = id, at
		}
	}
	return best, best != 0
}

// take removes and returns up to n flows queued for the home.
func (q registerQueue) take(target member.ID, n int) []queuedFlow {
	waiting := q[target]
	if n >= len(waiting) {
		delete(q, target)
		return slices.Clip(waiting)
	}
	q[target] = waiting[n:]
	return slices.Clip(waiting[:n])
}

// sortedKeys returns the keys of m in order. Iterating in a fixed order keeps
// decisions repeatable under a fixed seed.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
