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
	// Entry is an entry instance.
	Entry struct {
		world   *World
		core    *entry.Core
		address netip.AddrPort
		alive   bool
		inSpray bool
		traffic traffic
		numbers map[flow.ServiceID]uint64
		// The baseline's table of flows.
		local map[flow.Digest]member.ID
		views map[flow.ServiceID]*member.View
	}

	// Agent is an agent and the upstream beside it.
	Agent struct {
		world   *World
		core    *agent.Core
		service *Service
		self    member.Member
		alive   bool
		paused  bool
		waiting []func() // what arrived while the process was paused
		traffic traffic
		number  uint64
		drainAt time.Time // zero if the member is not draining
		out     agent.Output
	}
)

// AddEntry starts an entry with the true views and hands it to the fabric.
func (w *World) AddEntry() *Entry {
	e := &Entry{
		world:   w,
		address: netip.AddrPortFrom(w.newHost(), tunnelPort),
		alive:   true,
		inSpray: true,
		traffic: traffic{born: w.Now()},
		numbers: make(map[flow.ServiceID]uint64),
		local:   make(map[flow.Digest]member.ID),
		views:   make(map[flow.ServiceID]*member.View),
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

// Alive reports whether the entry runs.
func (e *Entry) Alive() bool { return e.alive }

// Kill ends the entry without warning. The fabric notices after the delay.
func (e *Entry) Kill(noticed time.Duration) {
	e.alive = false
	e.world.After(noticed, func() { e.inSpray = false })
}

// Stop takes the entry out of the fabric and ends it after the convergence
// time.
func (e *Entry) Stop(convergence time.Duration) {
	e.inSpray = false
	e.core.Drain()
	e.world.After(convergence, func() { e.alive = false })
}

func (e *Entry) up() bool { return e.alive }

func (e *Entry) setView(view *member.View) {
	if view.Number() < e.numbers[view.Service()] {
		return
	}
	e.numbers[view.Service()] = view.Number()
	e.views[view.Service()] = view
	e.core.SetView(view)
}

func (e *Entry) receive(from netip.AddrPort, p *tunnel.Packet) {
	if p.IsControl() {
		e.traffic.add(e.world.Now(), p.WireSize())
	}
	var out entry.Output
	e.core.HandleAgentPacket(from, p, &out)
	e.perform(&out)
}

// fromCaller routes a datagram that the fabric handed to this entry.
func (e *Entry) fromCaller(f *Flow, payload []byte) {
	if e.world.config.Routing == LocalTable {
		e.routeLocally(f, payload)
		return
	}
	var out entry.Output
	e.core.HandleCallerDatagram(f.service.vip, f.address, payload, &out)
	e.perform(&out)
}

func (e *Entry) perform(out *entry.Output) {
	sends := out.Sends()
	for i := range sends {
		p := sends[i].Packet()
		if p.IsControl() {
			e.traffic.add(e.world.Now(), p.WireSize())
		}
		e.world.send(e.address, sends[i].Address(), p)
	}
	answers := out.Replies()
	for i := range answers {
		e.world.answer(answers[i].Caller(), answers[i].VIP(), answers[i].Payload())
	}
}

// routeLocally is the baseline: the first packet of a flow at this entry goes
// where this entry's view hashes it, and later ones follow.
func (e *Entry) routeLocally(f *Flow, payload []byte) {
	view := e.views[f.service.id]
	key := flow.NewKey(f.service.id, flow.UDP, f.address, f.service.vip)
	d := e.world.hasher.Digest(key)
	id, ok := e.local[d]
	if !ok || view.Find(id) == nil {
		id, ok = firstReady(view, d)
		if !ok {
			return
		}
		e.local[d] = id
	}
	a := e.world.agentOf(id)
	e.world.After(e.world.delay(), func() {
		if a != nil && a.alive {
			a.serve(payload, func(answer []byte) { e.world.answer(f.address, f.service.vip, answer) })
		}
	})
}

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

// AddAgent starts an agent and its upstream and announces it as a member.
func (w *World) AddAgent(s *Service, weight uint32) *Agent {
	name := fmt.Sprintf("%s-%d", s.name, len(w.agents)+1)
	a := &Agent{
		world:   w,
		service: s,
		self:    member.New(name, netip.AddrPortFrom(w.newHost(), tunnelPort), member.WithWeight(weight)),
		alive:   true,
		traffic: traffic{born: w.Now()},
	}
	w.change(s, func() { s.members = append(s.members, a.self) })
	a.number = s.number
	a.core = agent.New(a.self, s.View(), w.Now(),
		agent.WithSlots(slots),
		agent.WithPolicy(w.config.Policy),
		agent.WithIdleTimeout(w.config.IdleTimeout),
		agent.WithSettleTime(w.config.Settle),
		agent.WithMaxFlows(w.config.MaxFlows),
		agent.WithEntries(agent.NewEntries(w.entryAddresses())),
		agent.WithRandom(w.random),
	)
	w.nodes[a.self.Address()] = a
	w.agents = append(w.agents, a)
	w.Every(w.skewed(agent.TickInterval), agent.TickInterval, a.tick)
	return a
}

func (w *World) entryAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, e := range w.entries {
		if e.alive {
			addresses = append(addresses, e.address)
		}
	}
	return addresses
}

func (w *World) agentOf(id member.ID) *Agent {
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

// Alive reports whether the agent runs.
func (a *Agent) Alive() bool { return a.alive }

// Draining reports whether the member was told to drain.
func (a *Agent) Draining() bool { return !a.drainAt.IsZero() }

// SetWeight announces a new weight of the member.
func (a *Agent) SetWeight(weight uint32) {
	a.world.change(a.service, func() { a.service.update(a.self.ID(), member.WithWeight(weight)) })
}

// Drain announces that the member takes no new flows. Once it owns none it
// leaves, and ends when the other members have settled.
func (a *Agent) Drain() {
	w := a.world
	a.drainAt = w.Now()
	w.change(a.service, func() { a.service.update(a.self.ID(), member.WithState(member.Draining)) })
	w.Every(time.Second, time.Second, func() bool {
		if !a.alive {
			return false
		}
		if !a.core.Draining() || a.core.OwnedFlows() > 0 || w.config.Routing == LocalTable && !a.unused() {
			return true
		}
		a.leave()
		return false
	})
}

// unused reports whether no open flow was ever served here (the baseline has
// no count of its own).
func (a *Agent) unused() bool {
	return !slices.ContainsFunc(a.world.flows, func(f *Flow) bool { return f.open && f.owner == a })
}

func (a *Agent) leave() {
	w := a.world
	w.change(a.service, func() { a.service.update(a.self.ID(), member.WithState(member.Leaving)) })
	left := a.service.number
	w.Every(time.Second, time.Second, func() bool {
		if !a.alive {
			return false
		}
		if w.config.Routing == HomeOwner && (a.number < left || !a.core.CanStop()) {
			return true
		}
		a.alive = false
		w.change(a.service, func() { a.service.remove(a.self.ID()) })
		return false
	})
}

// Kill ends the agent and its upstream without warning. The other nodes learn
// of it after the delay.
func (a *Agent) Kill(noticed time.Duration) {
	a.alive = false
	for _, f := range a.world.flows {
		if f.open && f.owner == a {
			f.lost = true
		}
	}
	a.world.After(noticed, func() {
		a.world.change(a.service, func() { a.service.remove(a.self.ID()) })
	})
}

// Pause freezes the agent for the duration; what arrives is handled after it.
func (a *Agent) Pause(d time.Duration) {
	a.paused = true
	a.world.After(d, func() {
		a.paused = false
		waiting := a.waiting
		a.waiting = nil
		for _, f := range waiting {
			f()
		}
	})
}

func (a *Agent) up() bool { return a.alive }

func (a *Agent) setView(view *member.View) {
	if a.paused {
		a.waiting = append(a.waiting, func() { a.setView(view) })
		return
	}
	if !a.alive || view.Number() <= a.number {
		return
	}
	a.number = view.Number()
	a.world.traceView(a, view)
	a.core.SetView(a.world.Now(), view)
}

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

func (a *Agent) receive(from netip.AddrPort, p *tunnel.Packet) {
	if a.paused {
		a.waiting = append(a.waiting, func() { a.receive(from, p) })
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
		a.serve(deliveries[i].Payload(), func(answer []byte) { a.reply(d, epoch, answer) })
	}
	a.world.counts.note(a.out.Events())
	a.out.Reset()
}

func (a *Agent) reply(d flow.Digest, epoch flow.Epoch, answer []byte) {
	if !a.alive {
		return
	}
	if a.paused {
		a.waiting = append(a.waiting, func() { a.reply(d, epoch, answer) })
		return
	}
	a.core.Reply(a.world.Now(), d, epoch, answer, &a.out)
	a.perform()
}

// serve is the upstream: it answers each datagram after a while.
func (a *Agent) serve(payload []byte, answer func([]byte)) {
	f := a.world.delivered(a, payload)
	kept := slices.Clone(payload)
	a.world.After(time.Duration(a.world.random.Int64N(int64(maxServiceTime))), func() { answer(kept) })
	if f != nil && f.feed && !f.pushing {
		f.startPushing(a, answer)
	}
}
