package relay_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// newHarness returns a harness whose upstream with two slots has sent its first heartbeat.
func newHarness() *harness {
	r := &harness{}
	r.relay = relay.New(peer.Addr{10, 0, 0, 1}, peer.Service("maklerlink"), platform.PacketCodec{}, r)
	r.relay.HandleHeartbeat(0, relay.Upstream{ID: "u-1", Born: 100, Sequence: 1, Slots: 2})
	return r
}

// open sends an opening of caller n with a sequence number.
func (r *harness) open(t testing.TB, n int, sequence uint32) {
	t.Helper()
	is.New(t).NoErr(r.relay.HandleFrame(r.now, r.frame(peer.Place, nil, r.packet(n, segment.Open, sequence, 0, 0))))
}

// take returns what the relay has sent since the last call.
func (r *harness) take() string {
	out := strings.Join(r.out, "; ")
	r.out = nil
	return out
}

// TestOpeningOfLaterFlowIsAdmitted guards against an opening that is taken for a retransmission
// of the one with which an earlier caller opened a flow from the same address and port: it
// would reach an upstream that is evacuated, draining or busy.
func TestOpeningOfLaterFlowIsAdmitted(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	r.open(t, 1, 500)
	is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 4999, 501, 0)))
	is.Equal(r.take(), "upstream; owned 10.0.1.1; caller")
	r.relay.SetEvacuated(r.now, true)
	r.open(t, 1, 500)
	is.Equal(r.take(), "upstream") // a retransmission
	r.open(t, 1, 60000)
	is.Equal(r.take(), "place 10.0.0.2")
}

// TestOpeningBesideKnownFlowIsAdmitted guards against an opening that is taken for a copy of that of
// an earlier flow from the same address and port, of which the relay has not seen the opening: it
// would reach an upstream of a service to which its route does not lead any more.
func TestOpeningBesideKnownFlowIsAdmitted(t *testing.T) {
	for _, c := range []struct {
		name   string
		copies uint32
		after  time.Duration // from the first packet of the earlier flow
		want   string
	}{
		{"a copy", 1, time.Second, "upstream"},
		{"the first packet of a later flow", 0, time.Second, "place 10.0.0.2"},
		{"a copy of the opening of a later flow", 1, 1400 * time.Millisecond, "place 10.0.0.2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness()
			is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Ack, 5000, 550, 100))) // after a restart of the relay
			r.relay.SetEvacuated(r.now, true)
			r.take()
			r.now += c.after
			is.NoErr(r.relay.HandleFrame(r.now, r.frame(peer.Place, nil, r.packet(1, segment.Open, 60000, c.copies, 0))))
			is.Equal(r.take(), c.want)
		})
	}
}

// TestResetOfLaterFlowNamesItsNumbers guards against a reset that the caller ignores, as it
// names what an earlier caller with the same address and port has acknowledged.
func TestResetOfLaterFlowNamesItsNumbers(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	r.open(t, 1, 500)
	is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 4999, 501, 0)))
	is.NoErr(r.relay.HandleFrame(r.now, r.frame(peer.Deliver, nil, r.packet(1, segment.Ack, 501, 5000, 50))))
	r.open(t, 1, 60000)
	is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 899999, 60001, 0)))
	is.Equal(r.relay.Status(r.now).Running, 0) // the request of the earlier flow is given up
	r.take()
	r.relay.MarkEnded(r.now, r.now)
	is.Equal(r.take(), "reset 900000")
}

// TestLatePacketOfEarlierFlowIsNotDelivered covers a packet of an earlier caller with the same
// address and port: it does not match what the upstream has sent in the present flow, whose
// state it does not change.
func TestLatePacketOfEarlierFlowIsNotDelivered(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	r.open(t, 1, 60000)
	is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 899999999, 60001, 0)))
	r.take()
	is.NoErr(r.relay.HandleFrame(r.now, r.frame(peer.Deliver, nil, r.packet(1, segment.Ack|segment.Fin, 551, 5200, 0))))
	is.Equal(r.take(), "deliver 10.0.0.2")
	r.relay.MarkEnded(r.now, r.now)
	is.Equal(r.take(), "reset 900000000")
}

// TestBounceToLaterProcessIsDropped guards against a packet that an upstream bounces after the
// agent has restarted: the tags of both processes begin with the same number, and the tag of
// the packet is that of another flow's packet. Its frame would name that one's candidates and
// entry, and the entry could take it for a search that has visited all agents.
func TestBounceToLaterProcessIsDropped(t *testing.T) {
	is := is.New(t)
	before := newHarness()
	is.NoErr(before.relay.HandleFrame(0, before.frame(peer.Deliver, nil, before.packet(1, segment.Ack, 2, 9, 10))))
	late := before.last
	after := newHarness()
	is.NoErr(after.relay.HandleFrame(0, after.frame(peer.Search, []string{"last"}, after.packet(2, segment.Ack, 2, 9, 10))))
	after.take()
	platform.MarkBounced(late)
	is.NoErr(after.fromUpstream(late))
	is.Equal(after.take(), "")
	platform.MarkBounced(after.last)
	is.NoErr(after.fromUpstream(after.last))
	is.Equal(after.take(), "returned 10.0.1.1") // its own packet
}

// TestHeartbeatOfOtherInstanceIsIgnored guards against an upstream that reports to the agent of
// another one: the flows of that one must not be reset. The successor of an upstream that no
// longer reports is accepted.
func TestHeartbeatOfOtherInstanceIsIgnored(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	r.open(t, 1, 500)
	is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 4999, 501, 0)))
	is.NoErr(r.relay.HandleFrame(r.now, r.frame(peer.Deliver, nil, r.packet(1, segment.Ack, 501, 5000, 50))))
	r.take()
	r.now = 10 * time.Second
	is.True(!r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-1", Born: 100, Sequence: 2, Slots: 2}))
	other := relay.Upstream{ID: "u-9", Born: 5000, Age: 5 * time.Second, Sequence: 7, Slots: 4}
	is.True(!r.relay.HandleHeartbeat(r.now, other))
	is.Equal(r.take(), "")
	is.Equal(r.relay.Status(r.now).Upstream, "u-1")
	is.Equal(r.relay.Status(r.now).Slots, 2)
	r.now += 3100 * time.Millisecond
	other.Age += 3100 * time.Millisecond
	is.True(r.relay.HandleHeartbeat(r.now, other))
	is.Equal(r.take(), "question")
	is.NoErr(r.run([]string{"bounce-questions"}))
	is.Equal(r.take(), "reset 5000")
}

// failingPort panics at each packet that is delivered to the upstream while fail is set.
type failingPort struct {
	*harness
	fail bool
}

func (p *failingPort) ToUpstream(packet []byte) {
	if p.fail {
		panic("a fault")
	}
	p.harness.ToUpstream(packet)
}

// TestPanicLeavesNoLockAndNoLoad guards against an agent that hangs or counts a request for
// ever after a panic while a packet was handled.
func TestPanicLeavesNoLockAndNoLoad(t *testing.T) {
	is := is.New(t)
	p := &failingPort{harness: &harness{}, fail: true}
	p.relay = relay.New(peer.Addr{10, 0, 0, 1}, peer.Service("maklerlink"), platform.PacketCodec{}, p)
	p.relay.HandleHeartbeat(0, relay.Upstream{ID: "u-1", Born: 100, Sequence: 1, Slots: 1})
	opening := p.frame(peer.Place, nil, p.packet(1, segment.Open, 500, 0, 0))
	func() {
		defer func() { is.True(recover() != nil) }()
		_ = p.relay.HandleFrame(0, opening)
	}()
	is.Equal(p.relay.Admission(0).Busy, 0)
	held, _ := p.relay.Flows()
	is.Equal(held, 0)
	p.fail = false
	is.NoErr(p.relay.HandleFrame(0, opening))
	is.Equal(p.take(), "upstream")
}

// fuzzHarness returns a harness with an accepted flow of caller 1, an offered one of caller 2
// and a waiting opening of caller 3.
func fuzzHarness(t testing.TB) *harness {
	t.Helper()
	r := newHarness()
	r.open(t, 1, 500)
	if err := r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 4999, 501, 0)); err != nil {
		t.Fatal(err)
	}
	r.open(t, 2, 500)
	for n := 3; n < 9; n++ {
		if err := r.relay.HandleFrame(r.now, r.frame(peer.Place, []string{"forced", "patience", "300"}, r.packet(n, segment.Open, 1, 0, 0))); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// FuzzHandleFrame checks that no frame makes a relay panic, and that none leaves it with
// a wrong load.
func FuzzHandleFrame(f *testing.F) {
	r := newHarness()
	for _, kind := range []peer.Kind{peer.Place, peer.Deliver, peer.Search} {
		for n, flags := range []segment.Flags{segment.Open, segment.Ack, segment.Ack | segment.Fin, segment.Reset} {
			f.Add(r.frame(kind, nil, r.packet(1+n%3, flags, 500, 5000, 10)))
		}
	}
	f.Add((&peer.Frame{Kind: peer.Place, Forced: true, Packet: r.packet(4, segment.Open, 1, 0, 0)}).Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := fuzzHarness(t)
		for range 3 {
			_ = r.relay.HandleFrame(r.now, append([]byte(nil), b...))
			if r.last != nil {
				platform.MarkBounced(r.last)
				_ = r.fromUpstream(r.last)
			}
			r.now += 100 * time.Millisecond
		}
		checkIdle(t, r)
	})
}

// FuzzHandleUpstreamPacket checks that no packet of the upstream makes a relay panic, and that
// none leaves it with a wrong load.
func FuzzHandleUpstreamPacket(f *testing.F) {
	r := newHarness()
	for n := 1; n < 4; n++ {
		for _, flags := range []segment.Flags{segment.Open | segment.Ack, segment.Ack, segment.Ack | segment.Fin, segment.Reset} {
			f.Add(encode(caller(n), true, flags, 4999, 501, 10))
		}
		bounced := r.packet(n, segment.Ack, 501, 5000, 10)
		platform.SetTag(bounced, uint32(n))
		platform.MarkBounced(bounced)
		f.Add(bounced)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r := fuzzHarness(t)
		for range 3 {
			_, _ = r.relay.HandleUpstreamPacket(r.now, append([]byte(nil), b...))
			r.now += 100 * time.Millisecond
		}
		checkIdle(t, r)
	})
}

// checkIdle checks that nothing counts as running or waiting long after the last packet.
func checkIdle(t *testing.T, r *harness) {
	t.Helper()
	r.now += 5 * time.Minute
	r.relay.Tick(r.now)
	r.now += 5 * time.Minute
	r.relay.Tick(r.now)
	held, open := r.relay.Flows()
	if a := r.relay.Admission(r.now); held != 0 || open != 0 || a.Running != 0 || a.Busy != 0 || a.Waiting != 0 {
		t.Fatalf("%d flows, %d open, %+v", held, open, a)
	}
}
