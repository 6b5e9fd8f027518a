package director

import (
	"cmp"
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/rendezvous"
)

// forOpening returns the agents to offer a new flow to, best first, and the
// load and the age of the report of the first.
func (m *members) forOpening(now time.Duration, service peer.ServiceID, hash uint64) ([]peer.Addr, float64, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	able := m.able(now, service)
	if len(able) == 0 {
		return nil, 0, 0
	}
	m.byHash(able, hash)
	choices := able[:min(openingChoices, len(able))]
	slices.SortStableFunc(choices, func(a, b *agent) int { return cmp.Compare(m.cost(now, a), m.cost(now, b)) })
	first := choices[0]
	load, age := first.load(now), now-first.heard
	first.pending++
	return addresses(choices), load, age
}

// able returns the agents of a service that take new flows. Those whose
// upstreams fail are left out, unless that leaves less than half: then it is
// likelier that something else is wrong, and the rest could not carry the load.
func (m *members) able(now time.Duration, service peer.ServiceID) []*agent {
	var able, failing []*agent
	for _, a := range m.byService[service] {
		switch {
		case !a.status.Taking || a.leaving || now-a.heard > suspectAfter:
		case a.status.Failing:
			failing = append(failing, a)
		default:
			able = append(able, a)
		}
	}
	if len(able) < len(failing) {
		able = append(able, failing...)
	}
	return able
}

// others returns the agents of a service that are not on a list and might take
// a new flow all the same.
func (m *members) others(now time.Duration, service peer.ServiceID, tried []peer.Addr) []peer.Addr {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []peer.Addr
	for _, a := range m.byService[service] {
		if !slices.Contains(tried, a.address) && !a.leaving && now-a.heard <= suspectAfter && len(out) < peer.MaxCandidates {
			out = append(out, a.address)
		}
	}
	return out
}

// plan returns the legs of a search: the agents of each service that may hold
// the flow and then, unless these services are all, the other agents, which
// answer from what they remember and do not touch their upstream. Agents that
// have fallen silent come last, as a packet may end at them.
func (m *members) plan(now time.Duration, services []peer.ServiceID, all bool, hash uint64) []leg {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var legs []leg
	for _, silent := range []bool{false, true} {
		for _, service := range services {
			legs = m.appendLegs(legs, service, ableToHold(now, m.byService[service], silent), hash)
		}
		if !all {
			legs = m.appendLegs(legs, 0, ableToHold(now, m.without(services), silent), hash)
		}
	}
	return legs
}

// without returns the agents of all other services.
func (m *members) without(services []peer.ServiceID) []*agent {
	var rest []*agent
	for service, list := range m.byService {
		if !slices.Contains(services, service) {
			rest = append(rest, list...)
		}
	}
	return rest
}

// ableToHold returns the agents that may hold flows and are, or are not, silent.
func ableToHold(now time.Duration, agents []*agent, silent bool) []*agent {
	var out []*agent
	for _, a := range agents {
		if !a.status.Empty && (now-a.heard > suspectAfter) == silent {
			out = append(out, a)
		}
	}
	return out
}

// covered reports whether a plan has asked every agent of some services that
// is known now.
func (m *members) covered(plan []leg, services []peer.ServiceID) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	asked := make(map[peer.Addr]bool, len(m.agents))
	for _, l := range plan {
		for _, a := range l.agents {
			asked[a] = true
		}
	}
	for _, service := range services {
		for _, a := range m.byService[service] {
			if !a.status.Empty && !asked[a.address] {
				return false
			}
		}
	}
	return true
}

func (m *members) appendLegs(legs []leg, service peer.ServiceID, agents []*agent, hash uint64) []leg {
	m.byHash(agents, hash)
	for part := range slices.Chunk(agents, peer.MaxCandidates) {
		legs = append(legs, leg{service: service, agents: addresses(part)})
	}
	return legs
}

func addresses(list []*agent) []peer.Addr {
	n := min(len(list), peer.MaxCandidates)
	out := make([]peer.Addr, n)
	for i := range out {
		out[i] = list[i].address
	}
	return out
}

// byHash sorts agents into the rendezvous order of a flow, in which those of
// the entry's place come first more often.
func (m *members) byHash(list []*agent, hash uint64) {
	score := func(a *agent) float64 {
		weight := uint32(1)
		if a.status.Place == m.place {
			weight = nearWeight
		}
		return rendezvous.Score(hash, rendezvous.NewNode(a.address.ID(), weight))
	}
	slices.SortFunc(list, func(a, b *agent) int { return cmp.Compare(score(b), score(a)) })
}

// cost is an agent's load, and for one of another place what the way there
// costs.
func (m *members) cost(now time.Duration, a *agent) float64 {
	load := a.load(now)
	if a.status.Place == m.place {
		return load
	}
	return load*awayFactor + awayCost
}

// load returns the agent's work for each slot of its upstream.
func (a *agent) load(now time.Duration) float64 {
	work := float64(a.status.Flows+a.pending) + runningWeight*float64(a.status.Running)
	if a.status.Cold() > now-a.heard {
		work = (work + 1) * coldPenalty
	}
	return work / float64(max(1, a.status.Slots))
}
