package director

import (
	"slices"
	"sync"

	"hickoryhook.example/pkg/peer"
)

// minRestartedTogether is the least number of agents that show a loss of power together, see
// restoredStarts.
const minRestartedTogether = 3

type (
	// startReport is a start of an upstream that its agent has reported, 0 if none runs.
	startReport struct {
		start   uint32
		certain bool           // it shows that other starts have ended
		service peer.ServiceID // of the agent
	}

	// startReports are the reports by agent.
	startReports map[peer.Addr]startReport

	// restoredStarts holds the starts of upstreams that restored flows name, by agent. After a loss of power,
	// all agents report other starts at once. None is certain yet: each may rest on a late heartbeat of an
	// ended start. But late heartbeats do not come first at most of the agents at the same time.
	restoredStarts struct {
		mu      sync.Mutex
		byAgent map[peer.Addr][]uint32
		checked map[peer.Addr]uint32 // starts that takeRestartedTogether has returned
	}
)

// add records the start that a restored flow names.
func (r *restoredStarts) add(agent peer.Addr, start uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byAgent == nil {
		r.byAgent, r.checked = make(map[peer.Addr][]uint32), make(map[peer.Addr]uint32)
	}
	if !slices.Contains(r.byAgent[agent], start) {
		r.byAgent[agent] = append(r.byAgent[agent], start)
		delete(r.checked, agent)
	}
}

// forgetChecked lets takeRestartedTogether return each start once more.
func (r *restoredStarts) forgetChecked() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.checked)
}

// takeRestartedTogether adds to reports those agents that report another start than the restored flows
// name, which is not certain to run, if these are more than half of the agents of restored flows and at
// least minRestartedTogether. Each start is returned once.
func (r *restoredStarts) takeRestartedTogether(m *members, reports startReports) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byAgent) < minRestartedTogether {
		return
	}
	other := make(startReports)
	for agent, starts := range r.byAgent {
		if start, known, certain := m.upstreamStart(agent); known && !certain && !slices.Contains(starts, start) {
			other[agent] = startReport{start, true, m.service(agent)}
		}
	}
	if len(other) < minRestartedTogether || 2*len(other) <= len(r.byAgent) {
		return
	}
	for agent, report := range other {
		if r.checked[agent] != report.start {
			r.checked[agent], reports[agent] = report.start, report
		}
	}
}
