// Package world runs the real decision cores of entries and agents against
// small fakes of the network, the upstreams and the callers, in one goroutine
// and in virtual time.
//
// Every message takes a seeded delay and may be lost. Views reach nodes one by
// one. The world watches the promises that the system makes to callers, and
// counts each breach.
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
	// HomeOwner routes with the real cores.
	HomeOwner Routing = "home-owner"
	// LocalTable is the baseline: each entry hashes and keeps its own table.
	LocalTable Routing = "local-table"

	minDelay = 300 * time.Microsecond
	maxDelay = 900 * time.Microsecond
	// maxServiceTime bounds how long an upstream takes to answer.
	maxServiceTime = 10 * time.Millisecond
	// maxDrainDelay is how long a drain may take to reach the member itself.
	maxDrainDelay = 3 * time.Second
	tunnelPort    = 7000
	slots         = 2
)

type (
	// Routing names a way to route flows.
	Routing string

	// Config holds the choices of a world.
	Config struct {
		Seed    uint64
		Routing Routing
		// Skew bounds how much later one node learns of a view than another.
		Skew time.Duration
		// Loss is the probability that a message is lost.
		Loss float64
		// Duplicates is the probability that a message arrives twice.
		Duplicates  float64
		IdleTimeout time.Duration
		Settle      time.Duration
		MaxHints    int
		MaxFlows    int
		Policy      placement.Policy[placement.Estimate]
		// Trace receives a line for each packet of the flow TraceFlow, and the
		// numbers of the flows that break.
		Trace     io.Writer
		TraceFlow uint64
	}

	// World is the network and everything attached to it.
	World struct {
		*vtime.Loop
		config   Config
		random   *rand.Rand
		hasher   flow.Hasher
		services []*Service
		entries  []*Entry
		agents   []*Agent
		flows    []*Flow
		nodes    map[netip.AddrPort]node
		cut      map[[2]netip.AddrPort]bool
		byToken  map[uint64]*Flow
		hosts    uint32
		counts   counts
	}

	// Service is a service and the members that it truly has.
	Service struct {
		id      flow.ServiceID
		name    string
		vip     netip.AddrPort
		members []member.Member
		number  uint64
	}

	// node receives packets from the network.
	node interface {
		receive(from netip.AddrPort, p *tunnel.Packet)
		up() bool
	}

	// traffic counts the control bytes of one node.
	traffic struct {
		born   time.Time
		total  int64
		second int64 // index of the second being counted
		inIt   int64
		peak   int64
	}
)

// New returns an empty world.
func New(cfg Config) *World {
	if cfg.Routing == "" {
		cfg.Routing = HomeOwner
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = agent.DefaultIdleTimeout
	}
	if cfg.Settle == 0 {
		cfg.Settle = agent.DefaultSettleTime
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
		Loop:    vtime.New(time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)),
		config:  cfg,
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1)),
		hasher:  flow.NewHasher([16]byte{byte(cfg.Seed), 1}),
		nodes:   make(map[netip.AddrPort]node),
		cut:     make(map[[2]netip.AddrPort]bool),
		byToken: make(map[uint64]*Flow),
	}
}

// Run lets the given time pass.
func (w *World) Run(d time.Duration) { w.RunUntil(w.Now().Add(d)) }

// SetLoss changes the probability that a message is lost.
func (w *World) SetLoss(p float64) { w.config.Loss = p }

// Entries returns the entries in the order of their start.
func (w *World) Entries() []*Entry { return w.entries }

// Agents returns the agents in the order of their start.
func (w *World) Agents() []*Agent { return w.agents }

// Flows returns the flows in the order of their opening.
func (w *World) Flows() []*Flow { return w.flows }

// Random returns the world's source of randomness.
func (w *World) Random() *rand.Rand { return w.random }

// AddService adds a service without members.
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

// View returns the true members as a view.
func (s *Service) View() *member.View { return member.NewView(s.id, s.number, s.members) }

// Cut stops all messages between two addresses, in both directions.
func (w *World) Cut(a, b netip.AddrPort) {
	w.cut[[2]netip.AddrPort{a, b}] = true
	w.cut[[2]netip.AddrPort{b, a}] = true
}

// Mend undoes Cut.
func (w *World) Mend(a, b netip.AddrPort) {
	delete(w.cut, [2]netip.AddrPort{a, b})
	delete(w.cut, [2]netip.AddrPort{b, a})
}

// change applies f to the true members of a service and tells every node.
func (w *World) change(s *Service, f func()) {
	f()
	s.number++
	view := s.View()
	for _, e := range w.entries {
		w.After(w.skewed(w.config.Skew), func() { e.setView(view) })
	}
	for _, a := range w.agents {
		if a.service != s {
			continue
		}
		bound := w.config.Skew
		if m := view.Find(a.self.ID()); m != nil && m.State() == member.Draining {
			bound = min(bound, maxDrainDelay)
		}
		w.After(w.skewed(bound), func() { a.setView(view) })
	}
}

func (s *Service) update(id member.ID, opts ...member.Option) {
	i := slices.IndexFunc(s.members, func(m member.Member) bool { return m.ID() == id })
	if i >= 0 {
		s.members[i] = s.members[i].Apply(opts...)
	}
}

func (s *Service) remove(id member.ID) {
	s.members = slices.DeleteFunc(s.members, func(m member.Member) bool { return m.ID() == id })
}

func (w *World) skewed(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(bound)))
}

func (w *World) newHost() netip.Addr {
	w.hosts++
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 10<<24|w.hosts)
	return netip.AddrFrom4(ip)
}

// send carries a packet over the network.
func (w *World) send(from, to netip.AddrPort, p *tunnel.Packet) {
	if w.cut[[2]netip.AddrPort{from, to}] || w.random.Float64() < w.config.Loss {
		w.tracePacket("lost", from, to, p)
		return
	}
	w.tracePacket("sent", from, to, p)
	carried := *p
	carried.SetPayload(slices.Clone(p.Payload()))
	w.After(w.delay(), func() { w.arrive(from, to, &carried) })
	if w.config.Duplicates > 0 && w.random.Float64() < w.config.Duplicates {
		again := carried
		w.After(w.delay(), func() { w.arrive(from, to, &again) })
	}
}

func (w *World) arrive(from, to netip.AddrPort, p *tunnel.Packet) {
	n, ok := w.nodes[to]
	if ok && n.up() {
		n.receive(from, p)
	}
}

func (w *World) delay() time.Duration {
	return minDelay + time.Duration(w.random.Int64N(int64(maxDelay-minDelay)))
}

// add counts bytes of control traffic.
func (t *traffic) add(now time.Time, bytes int) {
	second := now.Unix()
	if second != t.second {
		t.second = second
		t.inIt = 0
	}
	t.total += int64(bytes)
	t.inIt += int64(bytes)
	t.peak = max(t.peak, t.inIt)
}

// mean returns the bytes a second since the node was started.
func (t *traffic) mean(now time.Time) float64 {
	age := now.Sub(t.born).Seconds()
	if age <= 0 {
		return 0
	}
	return float64(t.total) / age
}
