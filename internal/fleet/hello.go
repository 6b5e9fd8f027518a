package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"hickoryhook.example/pkg/peer"
)

const (
	// agentHelloInterval is the least time between two hello messages with which
	// an entry replies to the reports of one agent.
	agentHelloInterval = 2 * time.Second
	// neverVerified is the age in a hello message of a configuration that was
	// never confirmed as the newest.
	neverVerified = -1
	// fullHelloEvery is how often a periodic hello message that requests no
	// replies lists the live entries: every 8th time, once in 3.2 s.
	fullHelloEvery = 8
	// replyHelloEvery is the same for the hello messages that reply to one agent: every
	// 4th, once in 8 s.
	replyHelloEvery = 4
	// repliesWanted is how many entries a starting entry asks at a time for what they
	// know. Their replies list all entries and agents.
	repliesWanted = 3
	// introduceInterval is the least time between two hello messages to an agent that does
	// not report.
	introduceInterval = 200 * time.Millisecond
	// maxAgentsPerHello bounds the agents listed in the reply to an entry, so
	// that the datagram stays below 1,400 bytes.
	maxAgentsPerHello = 200
	// maxAgentHellos is the number of records of hello messages above which those older
	// than agentHelloRetention are removed.
	maxAgentHellos      = 16 << 10
	agentHelloRetention = 10 * time.Second
)

type (
	// agentHellos records the hello messages that an entry has sent to agents.
	agentHellos struct {
		mu   sync.Mutex
		last map[peer.Addr]agentHello
	}

	// agentHello is the last hello message to an agent.
	agentHello struct {
		at          time.Duration
		count       int   // of hello messages to the agent so far
		incarnation int64 // of the agent, 0 if not known
	}
)

func newAgentHellos() *agentHellos { return &agentHellos{last: make(map[peer.Addr]agentHello)} }

// take reports whether at least interval has passed since the last hello message to an
// agent. Then the caller must send one, which lists the live entries if withEntries is true.
// It reports false for a new agent while there are too many, as lists of agents may name
// addresses at which there is none.
func (h *agentHellos) take(now time.Duration, agent peer.Addr, interval time.Duration) (due, withEntries bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.takeLocked(now, agent, interval)
}

// takeLocked is take with h.mu held.
func (h *agentHellos) takeLocked(now time.Duration, agent peer.Addr, interval time.Duration) (due, withEntries bool) {
	last, ok := h.last[agent]
	if ok && now-last.at < interval {
		return false, false
	}
	if !ok && len(h.last) >= maxAgentHellos {
		maps.DeleteFunc(h.last, func(_ peer.Addr, last agentHello) bool { return now-last.at > agentHelloRetention })
		if len(h.last) >= maxAgentHellos {
			return false, false
		}
	}
	h.last[agent] = agentHello{at: now, count: last.count + 1}
	return true, last.count%replyHelloEvery == 0
}

// takeReport is take for the reply to a report of an incarnation of the agent. An agent that
// was restarted gets a reply at once: it knows neither the evacuated failure domains nor how
// many openings a cold upstream bears.
func (h *agentHellos) takeReport(now time.Duration, agent peer.Addr, incarnation int64) (due, withEntries bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if last := h.last[agent]; last.incarnation != 0 && last.incarnation != incarnation {
		delete(h.last, agent)
	}
	if due, withEntries = h.takeLocked(now, agent, agentHelloInterval); due {
		last := h.last[agent]
		last.incarnation = incarnation
		h.last[agent] = last
	}
	return due, withEntries
}

// takeSilent returns those of the listed agents to which a hello message must be sent, as they
// are not among the reporting ones, which are ordered by address.
func (h *agentHellos) takeSilent(now time.Duration, listed, reporting []peer.Addr) []peer.Addr {
	var out []peer.Addr
	for _, a := range listed {
		if _, found := slices.BinarySearchFunc(reporting, a, compareAddr); found {
			continue
		}
		if due, _ := h.take(now, a, introduceInterval); due {
			out = append(out, a)
		}
	}
	return out
}

// forget removes the record of an agent that has stopped.
func (h *agentHellos) forget(agent peer.Addr) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.last, agent)
}

func compareAddr(a, b peer.Addr) int { return slices.Compare(a[:], b[:]) }

// chooseAsked splits entries into the repliesWanted that are asked for what they know and
// the rest. Consecutive values of round ask all entries in turn.
func chooseAsked(entries []peer.Addr, round int) (asked, rest []peer.Addr) {
	if len(entries) == 0 {
		return nil, nil
	}
	first := round * repliesWanted % len(entries)
	rotated := slices.Concat(entries[first:], entries[:first])
	n := min(repliesWanted, len(rotated))
	return rotated[:n], rotated[n:]
}

// handleReport records the report of an agent and, at most every
// agentHelloInterval, replies with a hello message, every replyHelloEvery-th of which
// lists the live entries. The agent keeps sending reports to entries from which it
// receives hello messages, and sends them to the listed ones, too.
func (e *Entry) handleReport(from peer.Addr, b []byte) error {
	var status peer.Status
	if err := peer.DecodeMessage(b, &status); err != nil {
		return err
	}
	now := e.now()
	if e.director.HandleReport(now, from, status) {
		e.log.Info("agent heard", zap.Stringer("agent", from), zap.String("service", status.Service), zap.String("upstream", status.Upstream))
		e.config.logSharedIdentifiers()
	}
	if due, withEntries := e.agentHellos.takeReport(now, from, status.Incarnation); due {
		e.sendMessage(peer.Hello, e.helloToAgents(withEntries), from)
	}
	return nil
}

// handleHello records the hello message of another entry. It sends hello messages to the
// listed entries and agents that were unknown, replies if the message requests it, and
// compares the eras of the store and the configuration versions.
func (e *Entry) handleHello(from peer.Addr, b []byte) error {
	var hello peer.HelloMessage
	if err := peer.DecodeMessage(b, &hello); err != nil {
		return err
	}
	now := e.now()
	if e.entries.recordHello(now, from, hello) {
		e.log.Info("entry heard", zap.Stringer("entry", from), zap.Uint64("config", hello.ConfigVersion))
	}
	e.sendHelloTo(e.entries.add(now, e.withoutSelf(hello.Entries)...))
	e.introduce(hello.Agents)
	if hello.WantsReply {
		reply := e.helloMessage(false, true)
		reply.Agents = e.director.Agents()
		if len(reply.Agents) > maxAgentsPerHello {
			reply.Agents = reply.Agents[:maxAgentsPerHello]
		}
		e.sendMessage(peer.Hello, reply, from)
	}
	e.requestEraCheck(hello.StoreEra)
	e.config.handleHello(from, hello)
	return nil
}

// withoutSelf returns the addresses in a list other than that of this entry.
func (e *Entry) withoutSelf(list []peer.Addr) []peer.Addr {
	var out []peer.Addr
	for _, a := range list {
		if a != e.self {
			out = append(out, a)
		}
	}
	return out
}

// helloMessage returns a hello message with the state of this entry. wantsReply
// requests a reply; withEntries includes the live entries, which most hello
// messages omit as they change rarely.
func (e *Entry) helloMessage(wantsReply, withEntries bool) peer.HelloMessage {
	now := e.now()
	hello := peer.HelloMessage{
		Incarnation: e.started.UnixMilli(), WantsReply: wantsReply, FailureDomain: e.settings.FailureDomain,
		Ready: e.ready(), Settled: e.director.AgentsSettled(e.now()),
	}
	e.config.describe(now, &hello)
	if withEntries {
		hello.Entries = e.entries.alive(now)
	}
	return hello
}

// helloToAgents returns a hello message for agents. withEntries includes the live entries.
func (e *Entry) helloToAgents(withEntries bool) peer.HelloMessage {
	hello := e.helloMessage(false, withEntries)
	if c := e.director.Config(); c != nil {
		hello.ColdRates = c.ColdRates()
	}
	return hello
}

// sendHello sends a hello message to the known entries. While agents may be unknown or silent,
// it also sends one to the registered and the known agents that do not report: the one before
// may be lost, and an agent that was restarted may not have heard of this entry. Until an agent
// knows this entry, searches from here miss its flows.
func (e *Entry) sendHello() {
	now := e.now()
	e.sendHelloTo(e.entries.known(now))
	if registered, _ := e.director.Registered(); !e.director.AgentsSettled(now) {
		e.introduce(append(registered, e.director.Agents()...))
	}
}

// sendHelloToAlive sends a hello message to the live entries.
func (e *Entry) sendHelloToAlive() {
	e.sendMessage(peer.Hello, e.helloMessage(false, false), e.entries.alive(e.now())...)
}

// sendHelloTo sends a hello message to other entries. While this entry has no configuration
// or lacks reports of agents, it requests replies from a few of them, the next ones on each
// call. Every fullHelloEvery-th other hello message lists the live entries.
func (e *Entry) sendHelloTo(entries []peer.Addr) {
	if len(entries) == 0 {
		return
	}
	round := int(e.helloCount.Add(1))
	if e.director.Config() == nil || !e.director.Reachable(e.now()) {
		var asked []peer.Addr
		asked, entries = chooseAsked(entries, round)
		e.sendMessage(peer.Hello, e.helloMessage(true, true), asked...)
	}
	e.sendMessage(peer.Hello, e.helloMessage(false, round%fullHelloEvery == 0), entries...)
}

// introduce sends a hello message to the agents of a list that have not reported recently.
func (e *Entry) introduce(agents []peer.Addr) {
	now := e.now()
	silent := e.agentHellos.takeSilent(now, agents, e.director.ReportingAgents(now))
	if len(silent) > 0 {
		e.sendMessage(peer.Hello, e.helloToAgents(true), silent...)
	}
}
