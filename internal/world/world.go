// Package world simulates entries, agents, upstreams and callers on a network. It
// runs the production decision cores of package entry and package agent with
// simulated network, upstreams and callers, in one goroutine and in virtual time.
//
// Every message has a random delay and may be lost; the random numbers depend only
// on the seed. Nodes receive new views at different times. The simulation checks the
// invariants that callers rely on and counts each violation: open flows keep their
// upstream, packets reach the right service, replies reach the right flow, and a
// draining upstream gets no new flows.
//
// # Usage
//
//	w := world.New(world.Config{Seed: 1, Skew: 2 * time.Second, Loss: 0.01})
//	svc := w.AddService(1, "maklerlink")
//	w.AddEntry()
//	w.AddAgent(svc, member.DefaultWeight)
//	w.OpenFlow(svc)
//	w.Run(10 * time.Second)
//	report := w.Report()
package world

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"hickoryhook.example/internal/vtime"
	"hickoryhook.example/pkg/agent"
	"hickoryhook.example/pkg/entry"
	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/placement"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// HomeOwner routes with the production decision cores.
	HomeOwner Routing = "home-owner"
	// LocalTable is the baseline for comparison: each entry selects upstreams by
	// hash and keeps its own flow table.
	LocalTable Routing = "local-table"

	// minDelay and maxDelay bound the latency of a message, in one direction.
	minDelay = 300 * time.Microsecond
	maxDelay = 900 * time.Microsecond
	// maxServiceTime bounds the time that an upstream takes to reply.
	maxServiceTime = 10 * time.Millisecond
	// maxDrainDelay is the maximum time until a draining member itself receives the
	// view in which it is draining.
	maxDrainDelay    = 3 * time.Second
	tunnelPort       = 7000
	slotsPerUpstream = 2
)

type (
	// Routing is the algorithm that routes flows.
	Routing string

	// Config holds the parameters of a simulation.
	Config struct {
		Seed    uint64
		Routing Routing
		// Skew is the maximum delay until a node receives a new view.
		Skew time.Duration
		// Loss is the probability that a message is lost.
		Loss float64
		// Duplicates is the probability that a message arrives twice.
		Duplicates float64
		// IdleTimeout, SettleTime, MaxFlows and Policy are settings of the agents, and
		// MaxHints is one of the entries.
		IdleTimeout time.Duration
		SettleTime  time.Duration
		MaxHints    int
		MaxFlows    int
		Policy      placement.Policy[placement.Estimate]
		// Trace receives a line for each packet and each delivery of the flow with the
		// number TraceFlow and for each view that an agent of its service applies, and
		// a line with the number of each flow that breaks.
		Trace     io.Writer
		TraceFlow uint64
	}

	// World is a simulated network with its nodes, services and flows. It is not
	// safe for concurrent use.
	World struct {
		*vtime.Loop
		config     Config
		random     *rand.Rand
		hasher     flow.Hasher
		services   []*Service
		entries    []*Entry
		agents     []*Agent
		flows      []*Flow
		nodes      map[netip.AddrPort]node
		partitions map[[2]netip.AddrPort]bool
		byToken    map[uint64]*Flow
		hosts      uint32
		counts     counts
	}

	// Service is a service with its current members. Nodes may still have an older
	// view of them.
	Service struct {
		id         flow.ServiceID
		name       string
		vip        netip.AddrPort
		members    []member.Member
		viewNumber uint64
	}

	// node is an entry or an agent, which receives packets from the network.
	node interface {
		receive(from netip.AddrPort, p *tunnel.Packet)
		up() bool
	}

	// controlTraffic counts the bytes of control packets that one node sends and
	// receives.
	controlTraffic struct {
		startedAt     time.Time
		totalBytes    int64
		currentSecond int64 // Unix time of the second that secondBytes counts
		secondBytes   int64
		peakRate      int64 // bytes in the busiest second so far
	}
)

// New returns a simulation without nodes. Zero values of Routing, IdleTimeout,
// SettleTime, MaxHints, MaxFlows and Policy in cfg are replaced by defaults.
func New(cfg Config) *World {
	if cfg.Routing == "" {
		cfg.Routing = HomeOwner
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = agent.DefaultIdleTimeout
	}
	if cfg.SettleTime == 0 {
		cfg.SettleTime = agent.DefaultSettleTime
	}
	if cfg.MaxHints == 0 {
		cfg.MaxHints = entry.DefaultMaxHints
	}
	if cfg.MaxFlows == 0 {
		cfg.MaxFlows = agent.DefaultMaxFlows
	}
	if cfg.Policy == nil {
		cfg.Policy = placement.NewLeastWork[placement.Estimate]()
	}
	return &World{
		Loop:       vtime.New(time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)),
		config:     cfg,
		random:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1)),
		hasher:     flow.NewHasher([16]byte{byte(cfg.Seed), 1}),
		nodes:      make(map[netip.AddrPort]node),
		partitions: make(map[[2]netip.AddrPort]bool),
		byToken:    make(map[uint64]*Flow),
	}
}

// Run advances the virtual time by d and runs all events due until then.
func (w *World) Run(d time.Duration) { w.RunUntil(w.Now().Add(d)) }

// SetLoss changes the probability that a message is lost.
func (w *World) SetLoss(p float64) { w.config.Loss = p }

// Entries returns the entries, including ended ones, in the order of their start.
func (w *World) Entries() []*Entry { return w.entries }

// Agents returns the agents, including ended ones, in the order of their start.
func (w *World) Agents() []*Agent { return w.agents }

// Flows returns the flows, including closed ones, in the order of their opening.
func (w *World) Flows() []*Flow { return w.flows }

// Random returns the random number generator of the simulation.
func (w *World) Random() *rand.Rand { return w.random }

// AddService adds a service without members. It panics if the simulation already has an
// entry.
func (w *World) AddService(id flow.ServiceID, name string) *Service {
	s := &Service{id: id, name: name, vip: netip.AddrPortFrom(w.newHost(), 443)}
	w.services = append(w.services, s)
	for _, e := range w.entries {
		e.addService(s)
	}
	return s
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }

// View returns the current members as a view.
func (s *Service) View() *member.View { return member.NewView(s.id, s.viewNumber, s.members) }

// Partition drops all messages between two addresses, in both directions.
func (w *World) Partition(a, b netip.AddrPort) {
	w.partitions[[2]netip.AddrPort{a, b}] = true
	w.partitions[[2]netip.AddrPort{b, a}] = true
}

// Heal ends the partition between two addresses.
func (w *World) Heal(a, b netip.AddrPort) {
	delete(w.partitions, [2]netip.AddrPort{a, b})
	delete(w.partitions, [2]netip.AddrPort{b, a})
}

// updateMembers calls f, which changes the current members of a service, and sends the
// new view to every entry and to the agents of the service, to each after a random delay
// below Config.Skew. For the agent of a draining member the delay is below maxDrainDelay
// if that is shorter.
func (w *World) updateMembers(s *Service, f func()) {
	f()
	s.viewNumber++
	view := s.View()
	for _, e := range w.entries {
		w.After(w.randomDelay(w.config.Skew), func() { e.setView(view) })
	}
	for _, a := range w.agents {
		if a.service != s {
			continue
		}
		bound := w.config.Skew
		if m := view.Find(a.self.ID()); m != nil && m.State() == member.Draining {
			bound = min(bound, maxDrainDelay)
		}
		w.After(w.randomDelay(bound), func() { a.setView(view) })
	}
}

func (s *Service) updateMember(id member.ID, opts ...member.Option) {
	i := slices.IndexFunc(s.members, func(m member.Member) bool { return m.ID() == id })
	if i >= 0 {
		s.members[i] = s.members[i].Apply(opts...)
	}
}

func (s *Service) removeMember(id member.ID) {
	s.members = slices.DeleteFunc(s.members, func(m member.Member) bool { return m.ID() == id })
}

// randomDelay returns a random duration in [0, bound), or 0 if bound is not positive.
func (w *World) randomDelay(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(bound)))
}

// newHost returns an unused address in 10.0.0.0/8.
func (w *World) newHost() netip.Addr {
	w.hosts++
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 10<<24|w.hosts)
	return netip.AddrFrom4(ip)
}

// send sends a copy of a packet over the network, which delays it and may lose or
// duplicate it. A partition between the two addresses drops it.
func (w *World) send(from, to netip.AddrPort, p *tunnel.Packet) {
	if w.partitions[[2]netip.AddrPort{from, to}] || w.random.Float64() < w.config.Loss {
		w.tracePacket("lost", from, to, p)
		return
	}
	w.tracePacket("sent", from, to, p)
	inFlight := *p
	inFlight.SetPayload(slices.Clone(p.Payload()))
	w.After(w.networkDelay(), func() { w.deliver(from, to, &inFlight) })
	if w.config.Duplicates > 0 && w.random.Float64() < w.config.Duplicates {
		duplicate := inFlight
		w.After(w.networkDelay(), func() { w.deliver(from, to, &duplicate) })
	}
}

// deliver passes a packet to the node with the address to, and drops it if there is no
// such node or it has ended.
func (w *World) deliver(from, to netip.AddrPort, p *tunnel.Packet) {
	n, ok := w.nodes[to]
	if ok && n.up() {
		n.receive(from, p)
	}
}

// networkDelay returns a random network latency in [minDelay, maxDelay).
func (w *World) networkDelay() time.Duration {
	return minDelay + time.Duration(w.random.Int64N(int64(maxDelay-minDelay)))
}

// add counts a control packet of the given size in bytes.
func (t *controlTraffic) add(now time.Time, bytes int) {
	second := now.Unix()
	if second != t.currentSecond {
		t.currentSecond = second
		t.secondBytes = 0
	}
	t.totalBytes += int64(bytes)
	t.secondBytes += int64(bytes)
	t.peakRate = max(t.peakRate, t.secondBytes)
}

// meanRate returns the mean rate since the node started, in bytes per second.
func (t *controlTraffic) meanRate(now time.Time) float64 {
	age := now.Sub(t.startedAt).Seconds()
	if age <= 0 {
		return 0
	}
	return float64(t.totalBytes) / age
}
