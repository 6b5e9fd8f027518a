package director

import (
	"slices"
	"sync"

	"hickoryhook.example/pkg/peer"
)

// minRestartedTogether is the least number of agents that show a loss of power together, see
// restoredStarts.
const minRestartedTogether = 3

// restoredStarts holds the starts of upstreams that restored flows name, by agent. After a loss of power,
// all agents report other starts at once. None is certain yet: each may rest on a late heartbeat of an
// ended start. But late heartbeats do not come first at most of the agents at the same time.
type restoredStarts struct {
	mu      sync.Mutex
	byAgent map[peer.Addr][]uint32
}

// add records the start that a restored flow names.
func (r *restoredStarts) add(agent peer.Addr, start uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byAgent == nil {
		r.byAgent = make(map[peer.Addr][]uint32)
	}
	if !slices.Contains(r.byAgent[agent], start) {
		r.byAgent[agent] = append(r.byAgent[agent], start)
	}
}

// restartedTogether returns the agents that report another start than the restored flows name, which is not
// certain to run, if these are more than half of the agents of restored flows and at least
// minRestartedTogether; otherwise none.
func (r *restoredStarts) restartedTogether(m *members) []peer.Addr {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byAgent) < minRestartedTogether {
		return nil
	}
	var out []peer.Addr
	for agent, starts := range r.byAgent {
		if start, known, certain := m.upstreamStart(agent); known && !certain && !slices.Contains(starts, start) {
			out = append(out, agent)
		}
	}
	if len(out) < minRestartedTogether || 2*len(out) <= len(r.byAgent) {
		return nil
	}
	slices.SortFunc(out, func(a, b peer.Addr) int { return slices.Compare(a[:], b[:]) })
	return out
}
