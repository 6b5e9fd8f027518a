package director

import (
	"cmp"
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/rendezvous"
)

// The ranks of agents in a search, in the order in which it visits them.
const (
	reportedRank searchRank = iota
	// emptyRank is that of agents without an upstream, see peer.Status.Empty.
	emptyRank
	// silentRank is that of agents that have announced a restart or have not reported for
	// suspectAfter: a search that visits an agent while it is away ends there.
	silentRank
	silentEmptyRank
	endOfRanks
)

// searchRank orders the agents that a search visits.
type searchRank int

// openingCandidates returns up to openingChoices agents to offer a new flow to, the
// one with the lowest cost first, and the load of that agent and the age of its
// report. It counts the flow as pending at that agent.
func (m *members) openingCandidates(now time.Duration, service peer.ServiceID, hash uint64) ([]peer.Addr, float64, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	agents := m.accepting(now, service)
	if len(agents) == 0 {
		return nil, 0, 0
	}
	usual := usualServiceTime(agents)
	m.sortByRendezvous(agents, hash)
	choices := m.compared(agents)
	m.sortByCost(now, choices, usual)
	first := choices[0]
	load, age := first.load(now), now-first.reportedAt
	first.pending++
	return addresses(choices), load, age
}

// sortByCost sorts agents by their cost, the lowest first. usual is their usual service time.
func (m *members) sortByCost(now time.Duration, agents []*agent, usual float64) {
	factor := otherDomainFactor
	if slices.ContainsFunc(agents, func(a *agent) bool { return m.local(a) && a.halfFree() }) {
		factor = idleDomainFactor
	}
	slices.SortStableFunc(agents, func(a, b *agent) int {
		return cmp.Compare(m.cost(now, a, usual, factor), m.cost(now, b, usual, factor))
	})
}

// compared returns up to openingChoices of the agents, which are in the rendezvous order of a
// flow: localChoices of the entry's failure domain, and others of all domains.
func (m *members) compared(agents []*agent) []*agent {
	n := min(openingChoices, len(agents))
	choices := make([]*agent, 0, n)
	for _, a := range agents {
		if m.local(a) && len(choices) < localChoices {
			choices = append(choices, a)
		}
	}
	for _, a := range agents {
		if len(choices) < n && !slices.Contains(choices, a) {
			choices = append(choices, a)
		}
	}
	return choices
}

// local reports whether an agent is of the entry's failure domain.
func (m *members) local(a *agent) bool { return a.status.FailureDomain == m.domain }

// accepting returns the agents of a service that accept new flows and are not in an
// evacuated failure domain. Those whose upstreams fail are excluded unless fewer than half
// would remain: then it is likelier that the failures have another cause, and the rest
// could not carry the load.
func (m *members) accepting(now time.Duration, service peer.ServiceID) []*agent {
	var out, failing []*agent
	for _, a := range m.byService[service] {
		switch {
		case !a.status.Taking || a.leaving || now-a.reportedAt > suspectAfter || m.evacuated[a.status.FailureDomain]:
		case a.status.Failing:
			failing = append(failing, a)
		default:
			out = append(out, a)
		}
	}
	if len(out) < len(failing) {
		out = append(out, failing...)
	}
	return out
}

// anyEvacuated reports whether an agent of a service has reported recently, is not about to
// stop, and is in an evacuated failure domain.
func (m *members) anyEvacuated(now time.Duration, service peer.ServiceID) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.ContainsFunc(m.byService[service], func(a *agent) bool {
		return !a.leaving && now-a.reportedAt <= suspectAfter && m.evacuated[a.status.FailureDomain]
	})
}

// untried returns up to peer.MaxCandidates agents of a service that are not among
// those tried, have reported recently, are not about to stop and are not in an evacuated
// failure domain. It includes those whose last report does not allow new flows.
func (m *members) untried(now time.Duration, service peer.ServiceID, tried []peer.Addr) []peer.Addr {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []peer.Addr
	for _, a := range m.byService[service] {
		if a.leaving || now-a.reportedAt > suspectAfter || m.evacuated[a.status.FailureDomain] {
			continue
		}
		if !slices.Contains(tried, a.address) && len(out) < peer.MaxCandidates {
			out = append(out, a.address)
		}
	}
	return out
}

// searchStages returns the stages of a search: the agents of each of the services,
// which may hold the flow, and then, unless the list of these services is complete,
// all other agents, which check their own flow tables without offering the packet to
// their upstreams. The agents of each searchRank follow in the same order.
func (m *members) searchStages(now time.Duration, services []peer.ServiceID, complete bool, hash uint64) []searchStage {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var stages []searchStage
	for rank := reportedRank; rank < endOfRanks; rank++ {
		for _, service := range services {
			stages = m.appendStages(stages, service, ofRank(now, m.byService[service], rank), hash)
		}
		if !complete {
			stages = m.appendStages(stages, peer.ServiceID{}, ofRank(now, m.ofOtherServices(services), rank), hash)
		}
	}
	return stages
}

// ofOtherServices returns the agents of all services except the given ones.
func (m *members) ofOtherServices(services []peer.ServiceID) []*agent {
	var rest []*agent
	for service, list := range m.byService {
		if !slices.Contains(services, service) {
			rest = append(rest, list...)
		}
	}
	return rest
}

// searchRank returns the rank of an agent in searches. No agent is left out: an upstream that
// did not run at the last report may have started since, and accepted the flow.
func (a *agent) searchRank(now time.Duration) searchRank {
	silent := a.leaving || now-a.reportedAt > suspectAfter
	switch {
	case silent && a.status.Empty:
		return silentEmptyRank
	case silent:
		return silentRank
	case a.status.Empty:
		return emptyRank
	}
	return reportedRank
}

// ofRank returns those of the agents that have a rank.
func ofRank(now time.Duration, agents []*agent, rank searchRank) []*agent {
	var out []*agent
	for _, a := range agents {
		if a.searchRank(now) == rank {
			out = append(out, a)
		}
	}
	return out
}

// stagesCover reports whether stages contain every known agent of the services. They lack an
// agent that has been added since they were planned.
func (m *members) stagesCover(stages []searchStage, services []peer.ServiceID) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	covered := make(map[peer.Addr]bool, len(m.agents))
	for _, stage := range stages {
		for _, a := range stage.agents {
			covered[a] = true
		}
	}
	for _, service := range services {
		for _, a := range m.byService[service] {
			if !covered[a.address] {
				return false
			}
		}
	}
	return true
}

// visits reports whether an agent is in one of the stages.
func visits(stages []searchStage, agent peer.Addr) bool {
	return slices.ContainsFunc(stages, func(s searchStage) bool { return slices.Contains(s.agents, agent) })
}

// appendStages appends the agents to the stages, in the rendezvous order of the
// flow and with at most peer.MaxCandidates in each stage.
func (m *members) appendStages(stages []searchStage, service peer.ServiceID, agents []*agent, hash uint64) []searchStage {
	m.sortByRendezvous(agents, hash)
	for part := range slices.Chunk(agents, peer.MaxCandidates) {
		stages = append(stages, searchStage{service: service, agents: addresses(part)})
	}
	return stages
}

// addresses returns the addresses of the first peer.MaxCandidates agents, or of all if
// they are fewer.
func addresses(list []*agent) []peer.Addr {
	n := min(len(list), peer.MaxCandidates)
	out := make([]peer.Addr, n)
	for i := range out {
		out[i] = list[i].address
	}
	return out
}

// sortByRendezvous sorts agents into the rendezvous order of a flow, in which those
// of the entry's failure domain have a higher weight.
func (m *members) sortByRendezvous(list []*agent, hash uint64) {
	score := func(a *agent) float64 {
		weight := uint32(1)
		if m.local(a) {
			weight = sameDomainWeight
		}
		return rendezvous.Score(hash, rendezvous.NewNode(a.address.ID(), weight))
	}
	slices.SortFunc(list, func(a, b *agent) int { return cmp.Compare(score(b), score(a)) })
}

// usualServiceTime returns the mean service time of those of the agents that report one,
// in microseconds, 0 if none does.
func usualServiceTime(agents []*agent) float64 {
	sum, n := 0.0, 0
	for _, a := range agents {
		if a.status.ServiceTime > 0 {
			sum += float64(a.status.ServiceTime)
			n++
		}
	}
	return sum / float64(max(1, n))
}

// cost returns an agent's load, raised for an upstream that is slower than usual and, by the
// factor and by otherDomainCost, for an agent of another failure domain.
func (m *members) cost(now time.Duration, a *agent, usual, otherDomain float64) float64 {
	load := a.load(now)
	if usual > 0 && a.status.ServiceTime > 0 {
		load *= float64(a.status.ServiceTime) / usual
	}
	if m.local(a) {
		return load
	}
	return load*otherDomain + otherDomainCost
}

// halfFree reports whether at most half of the upstream's slots were in use at the last
// report. Flows that were placed since count as requests.
func (a *agent) halfFree() bool { return 2*(a.status.Running+a.pending) <= a.status.Slots }

// load returns the agent's load in open flows per slot of its upstream. It includes
// the pending flows, and counts each running request as runningWeight flows. A cold
// upstream counts as having one more flow.
func (a *agent) load(now time.Duration) float64 {
	work := float64(a.status.Flows+a.pending) + runningWeight*float64(a.status.Running)
	if a.status.Cold() > now-a.reportedAt {
		work++
	}
	return work / float64(max(1, a.status.Slots))
}
