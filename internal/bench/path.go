package bench

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"hickoryhook.example/pkg/agent"
	"hickoryhook.example/pkg/entry"
	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

const (
	pathPayload  = 200
	pathMembers  = 11
	maxSenders   = 64
	serviceID    = 1
	benchPort    = 7000
	benchVIPPort = 443
)

type (
	// PathRow is the cost of one step for one packet.
	PathRow struct {
		Step        string  `json:"step"`
		Nanoseconds float64 `json:"ns-per-packet"`
		PerSecond   float64 `json:"packets-per-second"`
		// Allocations are those of the step, or of the whole process for round
		// trips.
		Allocations float64 `json:"allocs-per-packet"`
		// ToRelay is the time relative to a plain UDP relay in the same run.
		ToRelay float64 `json:"ratio-to-relay"`
	}

	// PathResult holds the cost of the steps of the packet path.
	PathResult struct {
		Payload int       `json:"payload-bytes"`
		Members int       `json:"members"`
		Rows    []PathRow `json:"rows"`
	}

	// pathSite is an entry and an agent that own every flow between them.
	pathSite struct {
		entry  *entry.Core
		agent  *agent.Core
		sealer *tunnel.Sealer
		opener *tunnel.Opener
		vip    netip.AddrPort
		now    time.Time
	}
)

// Path measures the steps of the packet path on one core, each against a plain
// UDP relay over loopback sockets in the same run.
func Path() (PathResult, error) {
	result := PathResult{Payload: pathPayload, Members: pathMembers}
	relay, err := measureRelay()
	if err != nil {
		return result, err
	}
	result.add("udp-relay", relay, relay)
	for _, members := range []int{pathMembers, 100, 1000} {
		s := newPathSite(members, 0)
		result.add(fmt.Sprintf("entry-route-%d", members), testing.Benchmark(s.routeByOrder), relay)
	}
	s := newPathSite(pathMembers, entry.DefaultMaxHints)
	result.add("entry-route-hinted", testing.Benchmark(s.routeByHint), relay)
	result.add("entry-seal", testing.Benchmark(s.seal), relay)
	result.add("agent-open", testing.Benchmark(s.open), relay)
	result.add("agent-deliver", testing.Benchmark(s.deliver), relay)
	result.add("agent-reply", testing.Benchmark(s.reply), relay)
	whole, err := measureWhole()
	if err != nil {
		return result, err
	}
	result.add("entry-and-agent-over-sockets", whole, relay)
	return result, nil
}

func (r *PathResult) add(step string, b, relay testing.BenchmarkResult) {
	ns := float64(b.T.Nanoseconds()) / float64(b.N)
	relayed := float64(relay.T.Nanoseconds()) / float64(relay.N)
	r.Rows = append(r.Rows, PathRow{
		Step:        step,
		Nanoseconds: ns,
		PerSecond:   float64(time.Second) / ns,
		Allocations: float64(b.MemAllocs) / float64(b.N),
		ToRelay:     ns / relayed,
	})
}

// newPathSite makes a service with the given number of members, of which the
// first has an agent.
func newPathSite(members, hints int) *pathSite {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	var list []member.Member
	for i := range members {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), benchPort)
		list = append(list, member.New(fmt.Sprintf("upstream-%d", i), address))
	}
	view := member.NewView(serviceID, 1, list)
	alone := member.NewView(serviceID, 1, list[:1])
	vip := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, 1}), benchVIPPort)
	keys := tunnel.NewKeys(tunnel.NewKey(1, [tunnel.SecretBytes]byte{1}))
	s := &pathSite{
		entry:  entry.New("entry-1", netip.AddrPortFrom(vip.Addr(), benchPort), flow.NewHasher([16]byte{2}), []entry.Service{entry.NewService(serviceID, vip)}, entry.WithMaxHints(hints)),
		agent:  agent.New(list[0], alone, now),
		sealer: tunnel.NewSealer(keys, 1),
		opener: tunnel.NewOpener(keys, maxSenders),
		vip:    vip,
		now:    now,
	}
	s.entry.SetView(view)
	return s
}

func callerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 40000)
}

// routeByOrder routes packets of flows that the entry has no hint for.
func (s *pathSite) routeByOrder(b *testing.B) {
	var out entry.Output
	payload := make([]byte, pathPayload)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		out.Reset()
		s.entry.HandleCallerDatagram(s.vip, callerAddress(i), payload, &out)
	}
}

// routeByHint routes packets of one flow whose owner the entry has learned.
func (s *pathSite) routeByHint(b *testing.B) {
	var out entry.Output
	payload := make([]byte, pathPayload)
	s.entry.HandleCallerDatagram(s.vip, callerAddress(1), payload, &out)
	p := out.Sends()[0].Packet()
	reply := tunnel.NewPacket(tunnel.Reply, serviceID, p.Dest(), 0)
	reply.SetFlow(p.Key(), p.Digest(), 1)
	s.entry.HandleAgentPacket(out.Sends()[0].Address(), &reply, &out)
	b.ReportAllocs()
	for b.Loop() {
		out.Reset()
		s.entry.HandleCallerDatagram(s.vip, callerAddress(1), payload, &out)
	}
}

// packet returns a packet of a flow that the site's agent owns.
func (s *pathSite) packet() *tunnel.Packet {
	var out entry.Output
	s.entry.HandleCallerDatagram(s.vip, callerAddress(1), make([]byte, pathPayload), &out)
	routed := out.Sends()[0].Packet()
	p := tunnel.NewPacket(tunnel.Data, serviceID, s.entry.ID(), s.agent.ID())
	p.SetFlow(routed.Key(), routed.Digest(), 0)
	p.SetEntryAddress(routed.EntryAddress())
	p.AddCandidate(tunnel.NewCandidate(s.agent.ID(), out.Sends()[0].Address()))
	p.SetPayload(routed.Payload())
	return &p
}

func (s *pathSite) seal(b *testing.B) {
	p := s.packet()
	buf := make([]byte, 0, tunnel.MaxDatagram)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.sealer.Seal(buf, p); err != nil {
			b.Fatal(err)
		}
	}
}

// open seals and opens a packet, as replays are refused.
func (s *pathSite) open(b *testing.B) {
	p := s.packet()
	buf := make([]byte, 0, tunnel.MaxDatagram)
	var opened tunnel.Packet
	b.ReportAllocs()
	for b.Loop() {
		sealed, err := s.sealer.Seal(buf, p)
		if err != nil {
			b.Fatal(err)
		}
		if err := s.opener.Open(sealed, &opened); err != nil {
			b.Fatal(err)
		}
	}
}

func (s *pathSite) deliver(b *testing.B) {
	p := s.packet()
	var out agent.Output
	b.ReportAllocs()
	for b.Loop() {
		out.Reset()
		s.agent.Handle(s.now, p.EntryAddress(), p, &out)
	}
}

func (s *pathSite) reply(b *testing.B) {
	p := s.packet()
	var out agent.Output
	s.agent.Handle(s.now, p.EntryAddress(), p, &out)
	epoch := out.Deliveries()[0].Epoch()
	payload := make([]byte, pathPayload)
	b.ReportAllocs()
	for b.Loop() {
		out.Reset()
		s.agent.Reply(s.now, p.Digest(), epoch, payload, &out)
	}
}
