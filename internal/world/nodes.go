package world

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"hickoryhook.example/pkg/agent"
	"hickoryhook.example/pkg/entry"
	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

type (
	// Entry is a simulated entry process.
	Entry struct {
		world       *World
		core        *entry.Core
		address     netip.AddrPort
		alive       bool
		inRotation  bool // the fabric sends callers' datagrams to the entry
		traffic     controlTraffic
		viewNumbers map[flow.ServiceID]uint64
		// localTable is the flow table of the baseline (LocalTable).
		localTable map[flow.Digest]member.ID
		views      map[flow.ServiceID]*member.View
	}

	// Agent is a simulated agent and the upstream on the same instance.
	Agent struct {
		world      *World
		core       *agent.Core
		service    *Service
		self       member.Member
		alive      bool
		paused     bool
		pending    []func() // events deferred while the process is paused
		traffic    controlTraffic
		viewNumber uint64
		drainAt    time.Time // when Drain was called, or zero
		out        agent.Output
	}
)

// AddEntry starts an entry that has the current view of every service, and adds it to
// the entries that receive datagrams from the fabric.
func (w *World) AddEntry() *Entry {
	e := &Entry{
		world:       w,
		address:     netip.AddrPortFrom(w.newHost(), tunnelPort),
		alive:       true,
		inRotation:  true,
		traffic:     controlTraffic{startedAt: w.Now()},
		viewNumbers: make(map[flow.ServiceID]uint64),
		localTable:  make(map[flow.Digest]member.ID),
		views:       make(map[flow.ServiceID]*member.View),
	}
	var services []entry.Service
	for _, s := range w.services {
		services = append(services, entry.NewService(s.id, s.vip))
	}
	name := fmt.Sprintf("entry-%d", len(w.entries)+1)
	e.core = entry.New(name, e.address, w.hasher, services, entry.WithMaxHints(w.config.MaxHints))
	for _, s := range w.services {
		e.setView(s.View())
	}
	w.nodes[e.address] = e
	w.entries = append(w.entries, e)
	return e
}

func (e *Entry) addService(*Service) {
	panic("world: add services before entries")
}

// Address returns the address of the entry's tunnel socket.
func (e *Entry) Address() netip.AddrPort { return e.address }

// Alive reports whether the entry is running.
func (e *Entry) Alive() bool { return e.alive }

// Kill terminates the entry without draining. The fabric stops sending to it after
// detectionDelay.
func (e *Entry) Kill(detectionDelay time.Duration) {
	e.alive = false
	e.world.After(detectionDelay, func() { e.inRotation = false })
}

// Stop drains the entry: the fabric no longer sends to it, and it terminates after the
// convergence time of the fabric.
func (e *Entry) Stop(convergence time.Duration) {
	e.inRotation = false
	e.core.Drain()
	e.world.After(convergence, func() { e.alive = false })
}

func (e *Entry) up() bool { return e.alive }

// setView applies a view, unless the entry already has a newer one.
func (e *Entry) setView(view *member.View) {
	if view.Number() < e.viewNumbers[view.Service()] {
		return
	}
	e.viewNumbers[view.Service()] = view.Number()
	e.views[view.Service()] = view
	e.core.SetView(view)
}

// receive processes a packet of an agent.
func (e *Entry) receive(from netip.AddrPort, p *tunnel.Packet) {
	if p.IsControl() {
		e.traffic.add(e.world.Now(), p.WireSize())
	}
	var out entry.Output
	e.core.HandleAgentPacket(from, p, &out)
	e.perform(&out)
}

// handleCallerDatagram routes a datagram that the fabric sent to this entry.
func (e *Entry) handleCallerDatagram(f *Flow, payload []byte) {
	if e.world.config.Routing == LocalTable {
		e.routeByLocalTable(f, payload)
		return
	}
	var out entry.Output
	e.core.HandleCallerDatagram(f.service.vip, f.address, payload, &out)
	e.perform(&out)
}

// perform sends the packets of an output to the agents and its replies to the callers.
func (e *Entry) perform(out *entry.Output) {
	sends := out.Sends()
	for i := range sends {
		p := sends[i].Packet()
		if p.IsControl() {
			e.traffic.add(e.world.Now(), p.WireSize())
		}
		e.world.send(e.address, sends[i].Address(), p)
	}
	replies := out.Replies()
	for i := range replies {
		e.world.deliverReply(replies[i].Caller(), replies[i].VIP(), replies[i].Payload())
	}
}

// routeByLocalTable implements the baseline LocalTable: the first packet of a flow
// that this entry receives goes to the first ready member in the flow's rendezvous
// order, and is dropped if there is none. Later packets follow it while that member is
// in the entry's view. Unlike other packets, those between entry and agent are never
// lost or duplicated here, pass partitions and are served by a paused agent, and replies
// go to the caller without passing an entry.
func (e *Entry) routeByLocalTable(f *Flow, payload []byte) {
	view := e.views[f.service.id]
	key := flow.NewKey(f.service.id, flow.UDP, f.address, f.service.vip)
	d := e.world.hasher.Digest(key)
	id, ok := e.localTable[d]
	if !ok || view.Find(id) == nil {
		id, ok = firstReady(view, d)
		if !ok {
			return
		}
		e.localTable[d] = id
	}
	a := e.world.agentByID(id)
	e.world.After(e.world.networkDelay(), func() {
		if a != nil && a.alive {
			a.serve(payload, func(reply []byte) { e.world.deliverReply(f.address, f.service.vip, reply) })
		}
	})
}

// firstReady returns the first ready member among the first eight in the flow's
// rendezvous order.
func firstReady(view *member.View, d flow.Digest) (member.ID, bool) {
	var order [8]member.ID
	n := view.Top(d, order[:])
	for _, id := range order[:n] {
		if view.Find(id).State() == member.Ready {
			return id, true
		}
	}
	return 0, false
}

// AddAgent starts an agent with its upstream and adds it to the members of the service.
// The agent starts with the view that contains it and the addresses of the running entries.
func (w *World) AddAgent(s *Service, weight uint32) *Agent {
	name := fmt.Sprintf("%s-%d", s.name, len(w.agents)+1)
	a := &Agent{
		world:   w,
		service: s,
		self:    member.New(name, netip.AddrPortFrom(w.newHost(), tunnelPort), member.WithWeight(weight)),
		alive:   true,
		traffic: controlTraffic{startedAt: w.Now()},
	}
	w.updateMembers(s, func() { s.members = append(s.members, a.self) })
	a.viewNumber = s.viewNumber
	a.core = agent.New(a.self, s.View(), w.Now(),
		agent.WithSlots(slotsPerUpstream),
		agent.WithPolicy(w.config.Policy),
		agent.WithIdleTimeout(w.config.IdleTimeout),
		agent.WithSettleTime(w.config.SettleTime),
		agent.WithMaxFlows(w.config.MaxFlows),
		agent.WithEntries(agent.NewEntries(w.entryAddresses())),
		agent.WithRandom(w.random),
	)
	w.nodes[a.self.Address()] = a
	w.agents = append(w.agents, a)
	w.Every(w.randomDelay(agent.TickInterval), agent.TickInterval, a.tick)
	return a
}

// entryAddresses returns the addresses of the running entries.
func (w *World) entryAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, e := range w.entries {
		if e.alive {
			addresses = append(addresses, e.address)
		}
	}
	return addresses
}

func (w *World) agentByID(id member.ID) *Agent {
	i := slices.IndexFunc(w.agents, func(a *Agent) bool { return a.self.ID() == id })
	if i < 0 {
		return nil
	}
	return w.agents[i]
}

// Name returns the name of the member.
func (a *Agent) Name() string { return a.self.Name() }

// Service returns the service of the member.
func (a *Agent) Service() *Service { return a.service }

// Address returns the address of the agent.
func (a *Agent) Address() netip.AddrPort { return a.self.Address() }

// Core returns the decision core.
func (a *Agent) Core() *agent.Core { return a.core }

// Alive reports whether the agent is running.
func (a *Agent) Alive() bool { return a.alive }

// Draining reports whether Drain was called, even if the agent does not have the new
// view yet.
func (a *Agent) Draining() bool { return !a.drainAt.IsZero() }

// SetWeight changes the weight of the member.
func (a *Agent) SetWeight(weight uint32) {
	a.world.updateMembers(a.service, func() { a.service.updateMember(a.self.ID(), member.WithWeight(weight)) })
}

// Drain sets the member's state to Draining, so that it gets no new flows. Once the agent
// has that view and owns no flows, the member becomes Leaving, and the agent terminates when
// its core reports that it can stop. Both conditions are checked every second.
func (a *Agent) Drain() {
	w := a.world
	a.drainAt = w.Now()
	w.updateMembers(a.service, func() { a.service.updateMember(a.self.ID(), member.WithState(member.Draining)) })
	w.Every(time.Second, time.Second, func() bool {
		if !a.alive {
			return false
		}
		if !a.core.Draining() || a.core.OwnedFlows() > 0 || w.config.Routing == LocalTable && !a.hasNoOpenFlows() {
			return true
		}
		a.leave()
		return false
	})
}

// hasNoOpenFlows reports whether no open flow has this agent as its owner. It is used for
// the baseline, whose flows bypass the core and are not among its owned flows.
func (a *Agent) hasNoOpenFlows() bool {
	return !slices.ContainsFunc(a.world.flows, func(f *Flow) bool { return f.open && f.owner == a })
}

// leave sets the member's state to Leaving and terminates the agent once it has that
// view and its core can stop, which is checked every second. In the baseline the agent
// terminates at the first check.
func (a *Agent) leave() {
	w := a.world
	w.updateMembers(a.service, func() { a.service.updateMember(a.self.ID(), member.WithState(member.Leaving)) })
	leavingViewNumber := a.service.viewNumber
	w.Every(time.Second, time.Second, func() bool {
		if !a.alive {
			return false
		}
		if w.config.Routing == HomeOwner && (a.viewNumber < leavingViewNumber || !a.core.CanStop()) {
			return true
		}
		a.alive = false
		w.updateMembers(a.service, func() { a.service.removeMember(a.self.ID()) })
		return false
	})
}

// Kill terminates the agent and its upstream without draining, so that the open flows
// of the upstream count as lost with it and not as broken. The member is removed
// from the service after detectionDelay.
func (a *Agent) Kill(detectionDelay time.Duration) {
	a.alive = false
	for _, f := range a.world.flows {
		if f.open && f.owner == a {
			f.ownerKilled = true
		}
	}
	a.world.After(detectionDelay, func() {
		a.world.updateMembers(a.service, func() { a.service.removeMember(a.self.ID()) })
	})
}

// Pause suspends the agent process for the duration d. Packets, views and replies that
// arrive meanwhile are processed afterwards; ticks due meanwhile are skipped.
func (a *Agent) Pause(d time.Duration) {
	a.paused = true
	a.world.After(d, func() {
		a.paused = false
		pending := a.pending
		a.pending = nil
		for _, f := range pending {
			f()
		}
	})
}

func (a *Agent) up() bool { return a.alive }

// setView applies a view, unless the agent has ended or has this view or a newer one.
func (a *Agent) setView(view *member.View) {
	if a.paused {
		a.pending = append(a.pending, func() { a.setView(view) })
		return
	}
	if !a.alive || view.Number() <= a.viewNumber {
		return
	}
	a.viewNumber = view.Number()
	a.world.traceView(a, view)
	a.core.SetView(a.world.Now(), view)
}

// tick calls Tick of the core. It returns false once the agent has ended.
func (a *Agent) tick() bool {
	if !a.alive {
		return false
	}
	if !a.paused {
		a.core.Tick(a.world.Now(), &a.out)
		a.perform()
	}
	return true
}

// receive processes a packet of an entry or another agent. A data packet that another
// agent has forwarded counts as one extra hop.
func (a *Agent) receive(from netip.AddrPort, p *tunnel.Packet) {
	if a.paused {
		a.pending = append(a.pending, func() { a.receive(from, p) })
		return
	}
	if p.IsControl() {
		a.traffic.add(a.world.Now(), p.WireSize())
	}
	if p.Kind() == tunnel.Data {
		a.world.counts.extraHops += int64(min(p.Hops(), 1))
	}
	a.core.Handle(a.world.Now(), from, p, &a.out)
	a.perform()
}

// perform sends the packets of the core's output, passes its datagrams to the upstream
// and counts its events.
func (a *Agent) perform() {
	sends := a.out.Sends()
	for i := range sends {
		p := sends[i].Packet()
		if p.IsControl() {
			a.traffic.add(a.world.Now(), p.WireSize())
		}
		a.world.send(a.self.Address(), sends[i].Address(), p)
	}
	deliveries := a.out.Deliveries()
	for i := range deliveries {
		d, epoch := deliveries[i].Digest(), deliveries[i].Epoch()
		a.serve(deliveries[i].Payload(), func(reply []byte) { a.reply(d, epoch, reply) })
	}
	a.world.counts.countEvents(a.out.Events())
	a.out.Reset()
}

// reply passes a datagram that the upstream sent on a flow to the core.
func (a *Agent) reply(d flow.Digest, epoch flow.Epoch, payload []byte) {
	if !a.alive {
		return
	}
	if a.paused {
		a.pending = append(a.pending, func() { a.reply(d, epoch, payload) })
		return
	}
	a.core.Reply(a.world.Now(), d, epoch, payload, &a.out)
	a.perform()
}

// serve simulates the upstream: it passes each datagram back to reply after a random time
// below maxServiceTime. The first datagram of a feed starts its push datagrams.
func (a *Agent) serve(payload []byte, reply func([]byte)) {
	f := a.world.recordDelivery(a, payload)
	echo := slices.Clone(payload)
	a.world.After(time.Duration(a.world.random.Int64N(int64(maxServiceTime))), func() { reply(echo) })
	if f != nil && f.feed && !f.pushing {
		f.startPushing(a, reply)
	}
}
