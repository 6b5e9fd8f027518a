package director

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/rendezvous"
)

const (
	// suspectAfter is the silence after which an agent gets no new flows:
	// three of its reports.
	suspectAfter = 1300 * time.Millisecond
	// forgetAfter is the silence after which an agent is taken as gone. A
	// restart of the agent alone is over well before.
	forgetAfter = 10 * time.Second
	// settleAfter is how long after this process's start the living agents that
	// know it have surely reported: an interval of reports and some slack.
	settleAfter = 600 * time.Millisecond
	// pauseAfter is a gap between ticks that shows that this process stood
	// still. The shell ticks more often by a factor of two.
	pauseAfter = time.Second
	// openingChoices is how many agents a new flow is compared over, the
	// first in its rendezvous order.
	openingChoices = 5
	// coldPenalty is how much slower a cold upstream is.
	coldPenalty = 1.6
	// nearWeight is how much likelier an agent of the entry's place is among
	// the choices of a flow than another.
	nearWeight = 3
	// awayFactor and awayCost are what an upstream of another place must be
	// less loaded by: a tenth and one flow for each three slots. A far way costs
	// half a millisecond a packet and the bytes between places.
	awayFactor = 1.1
	awayCost   = 0.33
	// runningWeight is how many open flows one running request counts as.
	runningWeight = 4
)

type (
	// members holds what is known of the agents.
	members struct {
		place     string // of this entry
		mu        sync.RWMutex
		agents    map[peer.Addr]*agent
		byService map[peer.ServiceID][]*agent
		pausedAt  time.Duration          // when this process last stood still
		expected  map[peer.Addr]struct{} // registered agents, nil if not known
		departed  map[peer.Addr]departure
	}

	// departure is the end of an agent that said goodbye for good. Its last
	// reports may arrive after it.
	departure struct {
		incarnation int64
		at          time.Duration
	}

	// AgentStatus is what an entry knows of an agent, for operators.
	AgentStatus struct {
		Agent    string `json:"agent"`
		Service  string `json:"service"`
		Upstream string `json:"upstream"`
		Place    string `json:"place"`
		Taking   bool   `json:"taking"`
		Flows    int    `json:"flows"`
		Running  int    `json:"running"`
		Slots    int    `json:"slots"`
		// AgeMS is the age of the agent's last report in milliseconds.
		AgeMS int64 `json:"age-ms"`
	}

	// leg is a part of a search: agents to ask one after the other.
	leg struct {
		service peer.ServiceID // 0: answer from memory alone
		agents  []peer.Addr
	}

	agent struct {
		address peer.Addr
		service peer.ServiceID
		status  peer.Status
		heard   time.Duration
		pending int // flows sent since the last report
		leaving bool
	}
)

func newMembers() *members {
	return &members{
		agents:    make(map[peer.Addr]*agent),
		byService: make(map[peer.ServiceID][]*agent),
		departed:  make(map[peer.Addr]departure),
	}
}

// report takes in an agent's report. It reports whether the agent is new, and
// whether it may have a start of its upstream that was not known before.
func (m *members) report(now time.Duration, from peer.Addr, status peer.Status) (isNew, restarted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d, ok := m.departed[from]; ok && status.Incarnation <= d.incarnation {
		return false, false
	}
	a, ok := m.agents[from]
	if !ok {
		a = &agent{address: from}
		m.agents[from] = a
	}
	old := a.status
	if ok && (status.Incarnation < old.Incarnation || status.Incarnation == old.Incarnation && status.Sequence <= old.Sequence) {
		return false, false
	}
	if status.Upstream == "" && old.Service == status.Service {
		status.Upstream, status.Born = old.Upstream, old.Born
	}
	restarted = old.Upstream != status.Upstream || old.Born != status.Born || status.Empty && !old.Empty
	a.status, a.heard, a.pending, a.leaving = status, now, 0, false
	service := peer.Service(status.Service)
	if a.service != service {
		a.service = service
		m.rebuild()
	}
	return !ok, restarted
}

func (m *members) goodbye(now time.Duration, from peer.Addr, returns bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, ok := m.agents[from]
	if !ok {
		return
	}
	a.leaving = true
	if !returns {
		m.departed[from] = departure{incarnation: a.status.Incarnation, at: now}
		delete(m.agents, from)
		m.rebuild()
	}
}

func (m *members) rebuild() {
	clear(m.byService)
	for _, a := range m.agents {
		m.byService[a.service] = append(m.byService[a.service], a)
	}
	for _, list := range m.byService {
		slices.SortFunc(list, func(a, b *agent) int { return slices.Compare(a.address[:], b.address[:]) })
	}
}

// tick forgets agents that have been silent for long.
func (m *members) tick(now, since time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if since > pauseAfter {
		m.pausedAt = now
		for _, a := range m.agents {
			a.heard = now
		}
		return
	}
	for address, d := range m.departed {
		if now-d.at > forgetAfter {
			delete(m.departed, address)
		}
	}
	n := len(m.agents)
	for address, a := range m.agents {
		if now-a.heard > forgetAfter {
			delete(m.agents, address)
		}
	}
	if len(m.agents) != n {
		m.rebuild()
	}
}

// usable reports whether an agent is heard.
func (m *members) usable(now time.Duration, address peer.Addr) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	a, ok := m.agents[address]
	return ok && !a.leaving && now-a.heard <= suspectAfter
}

// settled reports whether what is known of the agents is complete enough to
// say that none of them holds a flow: all that are registered are known, and
// all are heard.
func (m *members) settled(now time.Duration) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.expected == nil || now < settleAfter || now-m.pausedAt < suspectAfter && m.pausedAt > 0 {
		return false
	}
	for address := range m.expected {
		if _, ok := m.agents[address]; ok {
			continue
		}
		if _, ok := m.departed[address]; !ok {
			return false
		}
	}
	for _, a := range m.agents {
		if !a.status.Empty && now-a.heard > suspectAfter {
			return false
		}
	}
	return true
}

// expect takes in which agents are registered.
func (m *members) expect(agents []peer.Addr) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expected = make(map[peer.Addr]struct{}, len(agents))
	for _, a := range agents {
		m.expected[a] = struct{}{}
	}
}

// reachable reports whether at least half of the agents are heard: with fewer
// it is likelier that this instance is cut off than that they are gone.
func (m *members) reachable(now time.Duration) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	heard := 0
	for _, a := range m.agents {
		if now-a.heard <= suspectAfter {
			heard++
		}
	}
	return heard > 0 && 2*heard >= len(m.agents)
}

func (m *members) service(address peer.Addr) peer.ServiceID {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if a, ok := m.agents[address]; ok {
		return a.service
	}
	return 0
}

// statuses returns what is known of each agent, ordered by address.
func (m *members) statuses(now time.Duration) []AgentStatus {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]AgentStatus, 0, len(m.agents))
	for _, a := range m.agents {
		out = append(out, AgentStatus{
			Agent: a.address.String(), Service: a.status.Service, Upstream: a.status.Upstream, Place: a.status.Place,
			Taking: a.status.Taking, Flows: a.status.Flows, Running: a.status.Running, Slots: a.status.Slots,
			AgeMS: (now - a.heard).Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b AgentStatus) int { return cmp.Compare(a.Agent, b.Agent) })
	return out
}

// start returns the start of an agent's upstream, 0 if it is not known, and
// whether the agent has said that it has none.
func (m *members) start(address peer.Addr) (start uint32, empty bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	a, ok := m.agents[address]
	if !ok || a.status.Upstream == "" {
		return 0, ok && a.status.Empty
	}
	return peer.StartOf(a.status.Upstream, a.status.Born), a.status.Empty
}

func (m *members) list() []peer.Addr {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]peer.Addr, 0, len(m.agents))
	for address := range m.agents {
		out = append(out, address)
	}
	slices.SortFunc(out, func(a, b peer.Addr) int { return slices.Compare(a[:], b[:]) })
	return out
}

// forOpening returns the agents to offer a new flow to, best first, and the
// load and the age of the report of the first.
func (m *members) forOpening(now time.Duration, service peer.ServiceID, hash uint64) ([]peer.Addr, float64, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var able []*agent
	for _, a := range m.byService[service] {
		if a.status.Taking && !a.leaving && now-a.heard <= suspectAfter {
			able = append(able, a)
		}
	}
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
