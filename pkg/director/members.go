package director

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"hickoryhook.example/pkg/peer"
)

const (
	// suspectAfter is the silence after which an agent gets no new flows:
	// three of its reports.
	suspectAfter = 1300 * time.Millisecond
	// forgetAfter is the silence after which an agent is taken as gone. A
	// restart of the agent alone is over well before.
	forgetAfter = 10 * time.Second
	// unheardAfter is how long a registered agent that has not been heard yet is
	// waited for: until a silent one is forgotten, as it may be cut off and hold
	// flows. A list of agents may be old when all power was lost.
	unheardAfter = forgetAfter
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
		pausedAt  time.Duration               // when this process last stood still or was late
		expected  map[peer.Addr]time.Duration // registered agents and since when they are known to be, nil if not known
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
		Failing  bool   `json:"failing"`
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
	if d, ok := m.departed[from]; ok && late(status.Incarnation, d.incarnation, now-d.at) {
		return false, false
	}
	a, ok := m.agents[from]
	if !ok {
		a = &agent{address: from}
		m.agents[from] = a
	}
	old := a.status
	if ok && status.Incarnation != old.Incarnation && late(status.Incarnation, old.Incarnation, now-a.heard) {
		return false, false
	}
	if ok && status.Incarnation == old.Incarnation && status.Sequence <= old.Sequence {
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

// late reports whether a report is of an incarnation that had ended when another
// was last heard, some time ago. Incarnations are times of day, and that may
// jump back between two starts: then the lower number is the newer start, which
// shows in that the other has fallen silent.
func late(incarnation, last int64, ago time.Duration) bool {
	return incarnation == last || incarnation < last && ago <= suspectAfter
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
	if !m.expectedHeard(now) {
		return false
	}
	for _, a := range m.agents {
		if !a.status.Empty && now-a.heard > suspectAfter {
			return false
		}
	}
	return true
}

func (m *members) delayed(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pausedAt = now
}

// expectedHeard reports whether the registered agents have been heard, but for
// some that have been waited for in vain. Those may be half of all at most: with
// more it is likelier that this instance is cut off.
func (m *members) expectedHeard(now time.Duration) bool {
	missing := 0
	for address, since := range m.expected {
		_, heard := m.agents[address]
		_, departed := m.departed[address]
		switch {
		case heard || departed:
		case now-since < unheardAfter:
			return false
		default:
			missing++
		}
	}
	return 2*missing <= len(m.expected)
}

// expect takes in which agents are registered.
func (m *members) expect(now time.Duration, agents []peer.Addr) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.expected
	m.expected = make(map[peer.Addr]time.Duration, len(agents))
	for _, a := range agents {
		since, ok := old[a]
		if !ok {
			since = now
		}
		m.expected[a] = since
	}
}

// expects returns the registered agents, and false if they are not known.
func (m *members) expects() ([]peer.Addr, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Collect(maps.Keys(m.expected)), m.expected != nil
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
			Taking: a.status.Taking, Failing: a.status.Failing, Flows: a.status.Flows, Running: a.status.Running, Slots: a.status.Slots,
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
	return peer.StartID(a.status.Upstream, a.status.Born), a.status.Empty
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
