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

	// An agent may use 32 MB and carries 8,900 of the 89 million flows that the
	// system is designed for. Half of the memory is for flows.
	memoryPerAgent = 32 << 20
	flowsPerAgent  = 8900
	bytesPerFlow   = memoryPerAgent / 2 / flowsPerAgent
)

var (
	start  = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	entry1 = netip.MustParseAddrPort("10.0.0.1:7000")
	entry2 = netip.MustParseAddrPort("10.0.0.2:7000")
	vip    = netip.MustParseAddrPort("192.0.2.1:443")
	hasher = flow.NewHasher([16]byte{1})
	self   = member.New("alone", netip.MustParseAddrPort("10.1.0.1:7000"))
)

func newCore(opts ...agent.Option) *agent.Core {
	return agent.New(self, member.NewView(service, 1, []member.Member{self}), start, opts...)
}

func callerAt(i int) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 11<<24|uint32(i))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 4000)
}

// dataPacket returns a datagram of caller i, received by the entry, whose only
// candidate is self.
func dataPacket(i int, entry netip.AddrPort) *tunnel.Packet {
	p := tunnel.NewPacket(tunnel.Data, service, 99, self.ID())
	k := flow.NewKey(service, flow.UDP, callerAt(i), vip)
	p.SetFlow(k, hasher.Digest(k), 0).SetEntryAddress(entry)
	p.AddCandidate(tunnel.NewCandidate(self.ID(), self.Address()))
	p.SetPayload([]byte("x"))
	return &p
}

func TestReplyIsSentThroughEntryUnlessOfEarlierEpoch(t *testing.T) {
	is := is.New(t)
	c := newCore()
	var out agent.Output
	c.Handle(start, entry1, dataPacket(1, entry1), &out)
	is.Equal(len(out.Deliveries()), 1)
	d := out.Deliveries()[0]
	out.Reset()
	c.Reply(start, d.Digest(), d.Epoch(), []byte("y"), &out)
	is.Equal(out.Sends()[0].Address(), entry1)
	is.Equal(out.Sends()[0].Packet().Epoch(), d.Epoch())
	out.Reset()
	c.Reply(start, d.Digest(), d.Epoch()-1, []byte("late"), &out)
	is.Equal(len(out.Sends()), 0) // a reply of an earlier epoch
	is.Equal(c.Stats().Snapshot().Drops["late-reply"], int64(1))
}

// TestReturnedSearchWithoutRecordPlacesFlow covers the datagram of a search that
// returns to its initiator after the record of the search has expired. The flow must
// be opened; its datagrams were dropped, as the record was taken for one with owner 0.
func TestReturnedSearchWithoutRecordPlacesFlow(t *testing.T) {
	is := is.New(t)
	c := newCore()
	p := dataPacket(1, entry1)
	p.UpdateFlags(tunnel.FlagSearch, 0).StartSearch(self.ID())
	var out agent.Output
	c.Handle(start, entry1, p, &out)
	c.Handle(start, entry1, dataPacket(1, entry1), &out)
	is.Equal(len(out.Deliveries()), 2)
}

func TestReplyIsSentThroughAnotherEntryAfterTimeout(t *testing.T) {
	is := is.New(t)
	c := newCore()
	var out agent.Output
	c.Handle(start, entry1, dataPacket(1, entry1), &out)
	d := out.Deliveries()[0]
	later := start.Add(agent.DefaultEntryTimeout + time.Second)
	c.Handle(later, entry2, dataPacket(2, entry2), &out)
	out.Reset()
	c.Reply(later, d.Digest(), d.Epoch(), []byte("y"), &out)
	is.Equal(out.Sends()[0].Address(), entry2) // the flow's own entry has timed out
}

func TestPacketsForWrongServiceOrMemberAreDropped(t *testing.T) {
	is := is.New(t)
	c := newCore()
	var out agent.Output
	p := tunnel.NewPacket(tunnel.Data, service+1, 99, self.ID())
	c.Handle(start, entry1, &p, &out)
	p = tunnel.NewPacket(tunnel.Data, service, 99, self.ID()+1)
	c.Handle(start, entry1, &p, &out)
	is.Equal(len(out.Deliveries())+len(out.Sends()), 0)
	is.Equal(c.Stats().Snapshot().Drops["wrong-service"], int64(2))
}

func TestIdleFlowIsClosed(t *testing.T) {
	is := is.New(t)
	c := newCore(agent.WithIdleTimeout(time.Second))
	var out agent.Output
	c.Handle(start, entry1, dataPacket(1, entry1), &out)
	is.Equal(c.OwnedFlows(), 1)
	for i := range flow.NumShards() {
		c.Tick(start.Add(2*time.Second+time.Duration(i)*agent.TickInterval), &out)
	}
	is.Equal(c.OwnedFlows(), 0)
	is.Equal(len(out.ClosedFlows()), 1)
}

func TestDrainingAndFullMembersRefuseNewFlows(t *testing.T) {
	is := is.New(t)
	c := newCore(agent.WithMaxFlows(1))
	var out agent.Output
	c.Handle(start, entry1, dataPacket(1, entry1), &out)
	c.Handle(start, entry1, dataPacket(2, entry1), &out)
	is.Equal(len(out.Deliveries()), 1)
	is.Equal(c.Stats().Snapshot().Refused, int64(1))
	c.Drain()
	c.Handle(start, entry1, dataPacket(3, entry1), &out)
	is.Equal(c.Stats().Snapshot().Refused, int64(2))
	c.Handle(start, entry1, dataPacket(1, entry1), &out)
	is.Equal(len(out.Deliveries()), 2) // packets of an open flow are still delivered
}

func TestDeliveryDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	c := newCore()
	var out agent.Output
	p := dataPacket(1, entry1)
	allocs := testing.AllocsPerRun(1000, func() {
		out.Reset()
		c.Handle(start, entry1, p, &out)
	})
	is.Equal(allocs, 0.0)
}

func TestMemoryOfAFlow(t *testing.T) {
	is := is.New(t)
	const flows = 20000
	c := newCore(agent.WithMaxFlows(flows))
	var out agent.Output
	before := heapBytes()
	for i := range flows {
		out.Reset()
		c.Handle(start, entry1, dataPacket(i, entry1), &out)
	}
	perFlow := (heapBytes() - before) / flows
	t.Logf("%d bytes a flow", perFlow)
	is.Equal(c.OwnedFlows(), flows)
	is.True(perFlow < bytesPerFlow)
	runtime.KeepAlive(c)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// FuzzRegister passes arbitrary payloads of Register and RegisterAck packets to a
// core, which must not become the owner of a flow by them.
func FuzzRegister(f *testing.F) {
	f.Add([]byte{8, 1, 18, 2, 10, 0})
	f.Fuzz(func(t *testing.T, body []byte) {
		c := newCore()
		var out agent.Output
		for _, kind := range []tunnel.Kind{tunnel.Register, tunnel.RegisterAck} {
			p := tunnel.NewPacket(kind, service, 99, self.ID())
			p.SetPayload(body)
			c.Handle(start, entry1, &p, &out)
		}
		if c.OwnedFlows() != 0 {
			t.Fatal("a registration made this member an owner")
		}
	})
}

// BenchmarkTick measures Tick for a member with 1,000 open flows.
func BenchmarkTick(b *testing.B) {
	c := newCore()
	var out agent.Output
	for i := range 1000 {
		out.Reset()
		c.Handle(start, entry1, dataPacket(i, entry1), &out)
	}
	now := start
	for b.Loop() {
		now = now.Add(agent.TickInterval)
		out.Reset()
		c.Tick(now, &out)
	}
}

// BenchmarkSetView measures SetView for a member with 1,000 open flows, where the
// service alternates between 10 and 11 members.
func BenchmarkSetView(b *testing.B) {
	views := [2]*member.View{memberView(10), memberView(11)}
	c := agent.New(self, views[0], start)
	var out agent.Output
	for i := range 1000 {
		p := dataPacket(i, entry1)
		p.UpdateFlags(tunnel.FlagPlaced|tunnel.FlagDecided, 0)
		c.Handle(start, entry1, p, &out)
		out.Reset()
	}
	for i := 0; b.Loop(); i++ {
		c.SetView(start, views[(i+1)%2])
	}
}

// memberView returns a view of n members, self among them.
func memberView(n int) *member.View {
	members := []member.Member{self}
	for i := range n - 1 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(i)}), 7000)
		members = append(members, member.New(address.String(), address))
	}
	return member.NewView(service, uint64(n), members)
}
