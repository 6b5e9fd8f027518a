package relay_test

import (
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// TestFlowOfMoreThan4GiB guards against the end of a flow once both of its sequence numbers have
// passed the end of their range. The caller's packets reach the upstream all the while, and the
// caller of another upstream that answered the same opening is never taken for it.
func TestFlowOfMoreThan4GiB(t *testing.T) {
	is := is.New(t)
	const (
		total   = 9 << 29 // 4.5 GiB
		step    = maxData // bytes of a packet
		otherAt = 1 << 30
	)
	r := newHarness()
	flow := caller(1)
	r.open(t, 1, 1)
	first := uint32(4_000_000_000)
	is.NoErr(r.fromUpstream(encode(flow, true, segment.Open|segment.Ack, first, 2, 0)))
	r.take()
	for sent := uint64(0); sent < total; sent += step {
		offset := first + 1 + uint32(sent)
		is.NoErr(r.fromUpstream(encode(flow, true, segment.Ack, offset, 2+uint32(sent), step)))
		if sent/step%1000 != 0 {
			r.out = nil
			continue
		}
		r.out = nil
		packet := encode(flow, false, segment.Ack, 2+uint32(sent), offset+step, 1000)
		is.NoErr(r.relay.HandleFrame(r.now, r.frame(peer.Deliver, nil, packet)))
		is.Equal(r.out, []string{"upstream"})
		r.out = nil
		packet = encode(flow, false, segment.Ack, 2+uint32(sent), offset+step+otherAt, 1000)
		is.NoErr(r.relay.HandleFrame(r.now, r.frame(peer.Deliver, nil, packet)))
		is.Equal(r.out, []string{"deliver 10.0.0.2"})
		r.out = nil
	}
}
