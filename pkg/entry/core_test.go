package entry_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/entry"
	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

const service = 1

var (
	self   = netip.MustParseAddrPort("10.0.0.1:7000")
	vip    = netip.MustParseAddrPort("192.0.2.1:443")
	caller = netip.MustParseAddrPort("192.0.2.7:4000")
	hasher = flow.NewHasher([16]byte{1})
)

// view returns a view of n members, the first of them in the given states and the
// others ready.
func view(n int, states ...member.State) *member.View {
	var members []member.Member
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
		m := member.New(fmt.Sprintf("m-%d", i), address)
		if i < len(states) {
			m = m.Apply(member.WithState(states[i]))
		}
		members = append(members, m)
	}
	return member.NewView(service, 1, members)
}

func newCore(v *member.View) *entry.Core {
	c := entry.New("entry-1", self, hasher, []entry.Service{entry.NewService(service, vip)})
	if v != nil {
		c.SetView(v)
	}
	return c
}

// route passes a datagram of caller to c and returns the packet that c sends, or nil.
func route(c *entry.Core) *tunnel.Packet {
	var out entry.Output
	c.HandleCallerDatagram(vip, caller, []byte("x"), &out)
	if len(out.Sends()) == 0 {
		return nil
	}
	return out.Sends()[0].Packet()
}

// reply passes a Reply packet of the flow to c and returns the number of datagrams
// that c sends to callers.
func reply(c *entry.Core, sender member.ID, epoch flow.Epoch, key flow.Key) int {
	p := tunnel.NewPacket(tunnel.Reply, key.Service(), sender, 0)
	p.SetFlow(key, hasher.Digest(key), epoch)
	var out entry.Output
	c.HandleAgentPacket(self, &p, &out)
	return len(out.Replies())
}

func TestRoutesToHomeUntilOwnerIsKnown(t *testing.T) {
	is := is.New(t)
	v := view(11)
	c := newCore(v)
	key := flow.NewKey(service, flow.UDP, caller, vip)
	var order [3]member.ID
	v.Top(hasher.Digest(key), order[:])
	is.Equal(route(c).Dest(), order[0])
	is.Equal(reply(c, order[2], 5, key), 1)
	is.Equal(route(c).Dest(), order[2])
	is.Equal(route(c).Candidates()[0].ID(), order[0]) // the home stays first
	c.SetView(v.Without(order[2]))
	is.Equal(route(c).Dest(), order[0]) // the hinted owner is no longer in the view
}

func TestCandidatesAfterHomeAreReady(t *testing.T) {
	is := is.New(t)
	states := []member.State{member.Draining, member.Suspect, member.Draining, member.Draining, member.Draining}
	v := view(7, states...)
	p := route(newCore(v))
	for _, cand := range p.Candidates()[1:] {
		is.Equal(v.Find(cand.ID()).State(), member.Ready)
	}
	is.True(len(p.Candidates()) >= 2)
}

func TestDropsRepliesOfEarlierFlowAndWrongService(t *testing.T) {
	is := is.New(t)
	c := newCore(view(3))
	key := flow.NewKey(service, flow.UDP, caller, vip)
	is.Equal(reply(c, 5, 10, key), 1)
	is.Equal(reply(c, 5, 9, key), 0) // an earlier flow with the same addresses
	is.Equal(reply(c, 5, 11, key), 1)
	is.Equal(reply(c, 5, 12, flow.NewKey(2, flow.UDP, caller, vip)), 0) // the VIP belongs to another service
	drops := c.Stats().Snapshot().Drops
	is.Equal(drops["late-reply"], int64(1))
	is.Equal(drops["wrong-service"], int64(1))
}

func TestCountsDropsByReason(t *testing.T) {
	is := is.New(t)
	c := newCore(nil)
	is.Equal(route(c), nil)
	var out entry.Output
	c.HandleCallerDatagram(caller, caller, nil, &out)
	is.Equal(len(out.Sends()), 0)
	p := tunnel.NewPacket(tunnel.Register, service, 1, 0)
	c.HandleAgentPacket(self, &p, &out)
	drops := c.Stats().Snapshot().Drops
	is.Equal(drops["no-members"], int64(1))
	is.Equal(drops["unknown-vip"], int64(1))
	is.Equal(drops["unexpected-kind"], int64(1))
}

func TestDrainingEntryDoesNotAcknowledgeHeartbeats(t *testing.T) {
	is := is.New(t)
	c := newCore(view(3))
	p := tunnel.NewPacket(tunnel.Heartbeat, service, 1, 0)
	var out entry.Output
	c.HandleAgentPacket(self, &p, &out)
	is.Equal(len(out.Sends()), 1)
	c.Drain()
	out.Reset()
	c.HandleAgentPacket(self, &p, &out)
	is.Equal(len(out.Sends()), 0)
}

func TestHandleCallerDatagramDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	c := newCore(view(11))
	var out entry.Output
	payload := []byte("x")
	allocs := testing.AllocsPerRun(1000, func() {
		out.Reset()
		c.HandleCallerDatagram(vip, caller, payload, &out)
	})
	is.Equal(allocs, 0.0)
}
