package agent_test

import (
	"encoding/binary"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/agent"
	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

const (
	service = 1

	// A daemon may use 32 MB and carries 8,900 of the target's 89 million
	// flows; half of the memory is for flows.
	memoryPerDaemon = 32 << 20
	flowsPerDaemon  = 8900
	bytesPerFlow    = memoryPerDaemon / 2 / flowsPerDaemon
)

var (
	start  = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	entry1 = netip.MustParseAddrPort("10.0.0.1:7000")
	entry2 = netip.MustParseAddrPort("10.0.0.2:7000")
	vip    = netip.MustParseAddrPort("192.0.2.1:443")
	hasher = flow.NewHasher([16]byte{1})
	alone  = member.New("alone", netip.MustParseAddrPort("10.1.0.1:7000"))
)

func newAlone(opts ...agent.Option) *agent.Core {
	return agent.New(alone, member.NewView(service, 1, []member.Member{alone}), start, opts...)
}

func callerAt(i int) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 11<<24|uint32(i))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 4000)
}

func data(i int, via netip.AddrPort) *tunnel.Packet {
	p := tunnel.NewPacket(tunnel.Data, service, 99, alone.ID())
	k := flow.NewKey(service, flow.UDP, callerAt(i), vip)
	p.SetFlow(k, hasher.Digest(k), 0).SetEntryAddress(via)
	p.AddCandidate(tunnel.NewCandidate(alone.ID(), alone.Address()))
	p.SetPayload([]byte("x"))
	return &p
}

func TestOpensAndAnswers(t *testing.T) {
	is := is.New(t)
	c := newAlone()
	var out agent.Output
	c.Handle(start, entry1, data(1, entry1), &out)
	is.Equal(len(out.Deliveries()), 1)
	d := out.Deliveries()[0]
	out.Reset()
	c.Reply(start, d.Digest(), d.Epoch(), []byte("y"), &out)
	is.Equal(out.Sends()[0].Address(), entry1)
	is.Equal(out.Sends()[0].Packet().Epoch(), d.Epoch())
	out.Reset()
	c.Reply(start, d.Digest(), d.Epoch()-1, []byte("late"), &out)
	is.Equal(len(out.Sends()), 0) // an answer of an earlier flow
	is.Equal(c.Stats().Snapshot().Drops["late-reply"], int64(1))
}

func TestAnswersThroughALiveEntry(t *testing.T) {
	is := is.New(t)
	c := newAlone()
	var out agent.Output
	c.Handle(start, entry1, data(1, entry1), &out)
	d := out.Deliveries()[0]
	later := start.Add(agent.DefaultEntryTimeout + time.Second)
	c.Handle(later, entry2, data(2, entry2), &out)
	out.Reset()
	c.Reply(later, d.Digest(), d.Epoch(), []byte("y"), &out)
	is.Equal(out.Sends()[0].Address(), entry2) // the flow's own entry is silent
}

func TestWrongServiceIsDropped(t *testing.T) {
	is := is.New(t)
	c := newAlone()
	var out agent.Output
	p := tunnel.NewPacket(tunnel.Data, service+1, 99, alone.ID())
	c.Handle(start, entry1, &p, &out)
	p = tunnel.NewPacket(tunnel.Data, service, 99, alone.ID()+1)
	c.Handle(start, entry1, &p, &out)
	is.Equal(len(out.Deliveries())+len(out.Sends()), 0)
	is.Equal(c.Stats().Snapshot().Drops["wrong-service"], int64(2))
}

func TestIdleFlowEnds(t *testing.T) {
	is := is.New(t)
	c := newAlone(agent.WithIdleTimeout(time.Second))
	var out agent.Output
	c.Handle(start, entry1, data(1, entry1), &out)
	is.Equal(c.OwnedFlows(), 1)
	for i := range flow.NumShards() {
		c.Tick(start.Add(2*time.Second+time.Duration(i)*agent.TickInterval), &out)
	}
	is.Equal(c.OwnedFlows(), 0)
	is.Equal(len(out.ClosedFlows()), 1)
}

func TestDrainingAndFullMembersRefuse(t *testing.T) {
	is := is.New(t)
	c := newAlone(agent.WithMaxFlows(1))
	var out agent.Output
	c.Handle(start, entry1, data(1, entry1), &out)
	c.Handle(start, entry1, data(2, entry1), &out)
	is.Equal(len(out.Deliveries()), 1)
	is.Equal(c.Stats().Snapshot().Refused, int64(1))
	c.Drain()
	c.Handle(start, entry1, data(3, entry1), &out)
	is.Equal(c.Stats().Snapshot().Refused, int64(2))
	c.Handle(start, entry1, data(1, entry1), &out)
	is.Equal(len(out.Deliveries()), 2) // an open flow goes on
}

func TestDeliveryDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	c := newAlone()
	var out agent.Output
	p := data(1, entry1)
	allocs := testing.AllocsPerRun(1000, func() {
		out.Reset()
		c.Handle(start, entry1, p, &out)
	})
	is.Equal(allocs, 0.0)
}

func TestMemoryOfAFlow(t *testing.T) {
	is := is.New(t)
	const flows = 20000
	c := newAlone(agent.WithMaxFlows(flows))
	var out agent.Output
	before := heap()
	for i := range flows {
		out.Reset()
		c.Handle(start, entry1, data(i, entry1), &out)
	}
	perFlow := (heap() - before) / flows
	t.Logf("%d bytes a flow", perFlow)
	is.Equal(c.OwnedFlows(), flows)
	is.True(perFlow < bytesPerFlow)
	runtime.KeepAlive(c)
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// FuzzRegister feeds bodies of registrations to a core.
func FuzzRegister(f *testing.F) {
	f.Add([]byte{8, 1, 18, 2, 10, 0})
	f.Fuzz(func(t *testing.T, body []byte) {
		c := newAlone()
		var out agent.Output
		for _, kind := range []tunnel.Kind{tunnel.Register, tunnel.RegisterAck} {
			p := tunnel.NewPacket(kind, service, 99, alone.ID())
			p.SetPayload(body)
			c.Handle(start, entry1, &p, &out)
		}
		if c.OwnedFlows() != 0 {
			t.Fatal("a registration made this member an owner")
		}
	})
}

// BenchmarkTick measures one tick of a member with 1,000 open flows.
func BenchmarkTick(b *testing.B) {
	c := newAlone()
	var out agent.Output
	for i := range 1000 {
		out.Reset()
		c.Handle(start, entry1, data(i, entry1), &out)
	}
	now := start
	for b.Loop() {
		now = now.Add(agent.TickInterval)
		out.Reset()
		c.Tick(now, &out)
	}
}

// BenchmarkSetView measures a change of members for a member with 1,000 open
// flows in a service of 11.
func BenchmarkSetView(b *testing.B) {
	views := [2]*member.View{memberView(10), memberView(11)}
	c := agent.New(alone, views[0], start)
	var out agent.Output
	for i := range 1000 {
		p := data(i, entry1)
		p.UpdateFlags(tunnel.FlagPlaced|tunnel.FlagDecided, 0)
		c.Handle(start, entry1, p, &out)
		out.Reset()
	}
	for i := 0; b.Loop(); i++ {
		c.SetView(start, views[(i+1)%2])
	}
}

func memberView(n int) *member.View {
	members := []member.Member{alone}
	for i := range n - 1 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(i)}), 7000)
		members = append(members, member.New(address.String(), address))
	}
	return member.NewView(service, uint64(n), members)
}
