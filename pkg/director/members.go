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
	// suspectAfter is the time without a report after which an agent gets no new
	// flows and comes last in searches: three intervals of reports and a margin.
	suspectAfter = 1300 * time.Millisecond
	// evictAfter is the time without a report after which an agent is removed. A
	// restart of the agent alone takes much less.
	evictAfter = 10 * time.Second
	// registeredWait is how long to wait for the first report of a registered
	// agent. It equals evictAfter, as a silent agent may be cut off and hold flows.
	// The wait is limited because the list of agents may be outdated after a loss
	// of all power.
	registeredWait = evictAfter
	// settleTime is the time from this process's start within which the running
	// agents that know it report: one interval of reports with some slack.
	settleTime = 600 * time.Millisecond
	// pauseThreshold is a gap between ticks that shows that this process was
	// paused. The caller of Tick must tick at least twice as often.
	pauseThreshold = time.Second
	// openingChoices is the number of agents that are compared for a new flow, and
	// localChoices how many of them are of the entry's failure domain, if it has as many:
	// the first of each kind in the flow's rendezvous order.
	openingChoices = 5
	localChoices   = 3
	// sameDomainWeight is the rendezvous weight of an agent of the entry's failure domain.
	// Others have weight 1, so that searches visit them later.
	sameDomainWeight = 3
	// otherDomainFactor and otherDomainCost raise the cost of an upstream in another
	// failure domain: to be chosen it must be less loaded by a tenth and by one flow
	// for each three slots. A packet to another domain takes longer and uses the links
	// between domains.
	otherDomainFactor = 1.1
	otherDomainCost   = 0.33
	// idleDomainFactor takes the place of otherDomainFactor while one of the compared
	// upstreams of the own domain has half of its slots free, so that a flow would not
	// wait there. It bounds how much busier than the others a domain may become.
	idleDomainFactor = 2
	// runningWeight is the number of open flows that one running request counts as.
	runningWeight = 4
)

type (
	// members holds the known state of the agents.
	members struct {
		domain     string // failure domain of this entry
		mu         sync.RWMutex
		agents     map[peer.Addr]*agent
		byService  map[peer.ServiceID][]*agent
		pausedAt   time.Duration               // when this process was last paused or delayed
		registered map[peer.Addr]time.Duration // when each registered agent was first listed, nil if unknown
		departed   map[peer.Addr]departure
		heard      map[peer.Addr]heardStart // also of agents that have been removed since
		evacuated  map[string]bool          // failure domains whose agents get no new flows
	}

	// departure records an agent that has stopped for good. Reports that it sent
	// before may still arrive.
	departure struct {
		incarnation int64
		at          time.Duration
	}

	// AgentStatus is an entry's last known state of an agent, for operators. Service
	// to Slots are from the agent's last peer.Status, Upstream from the last that
	// named one for this service.
	AgentStatus struct {
		Agent         string `json:"agent"`
		Service       string `json:"service"`
		Upstream      string `json:"upstream"`
		FailureDomain string `json:"place"`
		Taking        bool   `json:"taking"`
		Failing       bool   `json:"failing"`
		Flows         int    `json:"flows"`
		Running       int    `json:"running"`
		Slots         int    `json:"slots"`
		// AgeMS is the age of the agent's last report in milliseconds.
		AgeMS int64 `json:"age-ms"`
	}

	// searchStage is one part of a search: agents that a packet visits one after
	// the other.
	searchStage struct {
		service peer.ServiceID // none: the agents use their own flow table only
		agents  []peer.Addr
	}

	// agent is the known state of one agent.
	agent struct {
		address    peer.Addr
		service    peer.ServiceID
		status     peer.Status
		reportedAt time.Duration
		pending    int  // new flows Placed at the agent since its last report
		leaving    bool // the agent has sent a goodbye since its last report
	}
)

func newMembers() *members {
	return &members{
		agents:    make(map[peer.Addr]*agent),
		byService: make(map[peer.ServiceID][]*agent),
		departed:  make(map[peer.Addr]departure),
		heard:     make(map[peer.Addr]heardStart),
	}
}

// update records an agent's report unless it is outdated. It reports whether the
// agent is new, whether its upstream may have restarted or ended since the report before, and
// whether it names another candidate than that.
func (m *members) update(now time.Duration, from peer.Addr, status peer.Status) (isNew, restarted, doubted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d, ok := m.departed[from]; ok && staleReport(status.Incarnation, d.incarnation, now-d.at) {
		return false, false, false
	}
	a, ok := m.agents[from]
	if !ok {
		a = &agent{address: from}
		m.agents[from] = a
	}
	old := a.status
	if ok && status.Incarnation != old.Incarnation && staleReport(status.Incarnation, old.Incarnation, now-a.reportedAt) {
		return false, false, false
	}
	if ok && status.Incarnation == old.Incarnation && status.Sequence <= old.Sequence {
		return false, false, false
	}
	if status.Upstream != "" {
		m.heard[from] = m.heard[from].next(now, status)
	}
	// The agent knows no upstream, as after its own restart: the last known start is kept.
	if status.Upstream == "" && old.Service == status.Service {
		status.Upstream, status.Born, status.Unconfirmed = old.Upstream, old.Born, old.Unconfirmed
	}
	moved := old.Service != status.Service
	restarted = old.Upstream != status.Upstream || old.Born != status.Born || status.Empty && !old.Empty || old.Unconfirmed && !status.Unconfirmed
	a.status, a.reportedAt, a.pending, a.leaving = status, now, 0, false
	if moved {
		a.service = peer.Service(status.Service)
		m.rebuildByService()
	}
	return !ok, restarted, status.Candidate != 0 && status.Candidate != old.Candidate
}

// staleReport reports whether a report of an incarnation is outdated: it is of
// incarnation last, which has ended, or of an earlier start of the agent. ago is the
// time since the last report or goodbye of last arrived. Incarnations are times of
// day, and the clock may jump back between two starts, so that the newer start has
// the lower number. This is assumed if ago is longer than suspectAfter.
func staleReport(incarnation, last int64, ago time.Duration) bool {
	return incarnation == last || incarnation < last && ago <= suspectAfter
}

// leave records that a known agent stops, and removes it unless it will be started
// again. It returns false if the agent is not known.
func (m *members) leave(now time.Duration, from peer.Addr, restarting bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, ok := m.agents[from]
	if !ok {
		return false
	}
	a.leaving = true
	if !restarting {
		m.departed[from] = departure{incarnation: a.status.Incarnation, at: now}
		delete(m.agents, from)
		m.rebuildByService()
	}
	return true
}

// rebuildByService rebuilds the lists of agents by service, ordered by address.
func (m *members) rebuildByService() {
	clear(m.byService)
	for _, a := range m.agents {
		m.byService[a.service] = append(m.byService[a.service], a)
	}
	for _, list := range m.byService {
		slices.SortFunc(list, func(a, b *agent) int { return slices.Compare(a.address[:], b.address[:]) })
	}
}

// setEvacuated replaces the set of evacuated failure domains.
func (m *members) setEvacuated(domains []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evacuated = make(map[string]bool, len(domains))
	for _, d := range domains {
		m.evacuated[d] = true
	}
}

// tick removes agents without a report for evictAfter, and records of departures that
// are older. After a pause of this process, which shows in the time since the last
// tick, all agents count as having just reported, as reports may have been missed.
func (m *members) tick(now, since time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if since > pauseThreshold {
		m.pausedAt = now
		for _, a := range m.agents {
			a.reportedAt = now
		}
		return
	}
	for address, d := range m.departed {
		if now-d.at > evictAfter {
			delete(m.departed, address)
		}
	}
	for address, h := range m.heard {
		if now-h.at > heardRetention {
			delete(m.heard, address)
		}
	}
	n := len(m.agents)
	for address, a := range m.agents {
		if now-a.reportedAt > evictAfter {
			delete(m.agents, address)
		}
	}
	if len(m.agents) != n {
		m.rebuildByService()
	}
}

// usable reports whether an agent has reported recently and is not about to stop.
func (m *members) usable(now time.Duration, address peer.Addr) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	a, ok := m.agents[address]
	return ok && !a.leaving && now-a.reportedAt <= suspectAfter
}

// settled reports whether the known state of the agents is complete enough to
// conclude that none of them holds a flow: this process has neither just started nor
// just been paused or delayed, the list of registered agents is known, they have
// reported, with the exceptions of registeredReported, and all known agents have reported
// recently or are in the stages of a search that all agents have returned.
func (m *members) settled(now time.Duration, returned []searchStage) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.registered == nil || now < settleTime || now-m.pausedAt < suspectAfter && m.pausedAt > 0 {
		return false
	}
	if !m.registeredReported(now) {
		return false
	}
	for _, a := range m.agents {
		if now-a.reportedAt > suspectAfter && !visits(returned, a.address) {
			return false
		}
	}
	return true
}

// oldestReport returns the age of the oldest last report of a known agent.
func (m *members) oldestReport(now time.Duration) time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	oldest := time.Duration(0)
	for _, a := range m.agents {
		oldest = max(oldest, now-a.reportedAt)
	}
	return oldest
}

// markDelayed records that this process is late in reading its datagrams.
func (m *members) markDelayed(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pausedAt = now
}

// registeredReported reports whether the registered agents have reported or sent a
// goodbye within evictAfter, except for some whose registeredWait has ended. These may
// be half of all at most: with more it is likelier that this instance is cut off.
func (m *members) registeredReported(now time.Duration) bool {
	missing := 0
	for address, since := range m.registered {
		_, reported := m.agents[address]
		_, departed := m.departed[address]
		switch {
		case reported || departed:
		case now-since < registeredWait:
			return false
		default:
			missing++
		}
	}
	return 2*missing <= len(m.registered)
}

// setRegistered replaces the list of registered agents. Agents that were listed
// before keep the start of their wait.
func (m *members) setRegistered(now time.Duration, agents []peer.Addr) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.registered
	m.registered = make(map[peer.Addr]time.Duration, len(agents))
	for _, a := range agents {
		since, ok := old[a]
		if !ok {
			since = now
		}
		m.registered[a] = since
	}
}

// registeredAgents returns the registered agents, and false if they are unknown.
func (m *members) registeredAgents() ([]peer.Addr, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Collect(maps.Keys(m.registered)), m.registered != nil
}

// reachable reports whether any agent, and at least half of the known ones, have
// reported recently: with fewer it is likelier that this instance is cut off than
// that they are gone.
func (m *members) reachable(now time.Duration) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	reported := 0
	for _, a := range m.agents {
		if now-a.reportedAt <= suspectAfter {
			reported++
		}
	}
	return reported > 0 && 2*reported >= len(m.agents)
}

// service returns an agent's service, none if the agent is unknown.
func (m *members) service(address peer.Addr) peer.ServiceID {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if a, ok := m.agents[address]; ok {
		return a.service
	}
	return peer.ServiceID{}
}

// statuses returns the last known state of each agent, ordered by the text of the
// address.
func (m *members) statuses(now time.Duration) []AgentStatus {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]AgentStatus, 0, len(m.agents))
	for _, a := range m.agents {
		out = append(out, AgentStatus{
			Agent: a.address.String(), Service: a.status.Service, Upstream: a.status.Upstream, FailureDomain: a.status.FailureDomain,
			Taking: a.status.Taking, Failing: a.status.Failing, Flows: a.status.Flows, Running: a.status.Running, Slots: a.status.Slots,
			AgeMS: (now - a.reportedAt).Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b AgentStatus) int { return cmp.Compare(a.Agent, b.Agent) })
	return out
}

// serviceNames returns the names of the agents' services.
func (m *members) serviceNames() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []string
	for _, list := range m.byService {
		out = append(out, list[0].status.Service)
	}
	return out
}

// upstreamStart returns the identifier of the start of an agent's upstream that runs, 0
// if the agent has reported that none runs. known is false if the agent or its upstream's
// start is unknown, certain is false if the report does not show that other starts have ended.
func (m *members) upstreamStart(address peer.Addr) (start uint32, known, certain bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	a, ok := m.agents[address]
	switch {
	case !ok:
		return 0, false, false
	case a.status.Empty:
		return 0, true, true
	case a.status.Upstream == "":
		return 0, false, false
	}
	return peer.StartID(a.status.Upstream, a.status.Born), true, !a.status.Unconfirmed
}

// lastHeard returns the last heartbeat that each agent has reported.
func (m *members) lastHeard() map[peer.Addr]heardStart {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return maps.Clone(m.heard)
}

// inDomains returns the known agents of failure domains, ordered by address.
func (m *members) inDomains(domains []string) []peer.Addr {
	list := m.list()
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.DeleteFunc(list, func(address peer.Addr) bool {
		a, ok := m.agents[address]
		return !ok || !slices.Contains(domains, a.status.FailureDomain)
	})
}

// reporting returns the agents that have reported recently and are not about to stop, ordered
// by address.
func (m *members) reporting(now time.Duration) []peer.Addr {
	return slices.DeleteFunc(m.list(), func(address peer.Addr) bool { return !m.usable(now, address) })
}

// list returns the known agents, ordered by address.
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
