package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// TestOpeningWhoseCopiesWentElsewhereIsNotReset covers an opening that waits in vain while
// the routers move its flow: the caller's copy, 200 ms later, reaches another entry, where an
// upstream may accept it. A reset from this entry would hit an open flow.
func TestOpeningWhoseCopiesWentElsewhereIsNotReset(t *testing.T) {
	const second = 600 * time.Millisecond // the caller's second copy
	for _, c := range []struct {
		name     string
		copies   []uint32 // that reach this entry
		returned time.Duration
		resets   int
	}{
		{"before the first copy is due", nil, 200 * time.Millisecond, 1},
		{"first copy missing", nil, 250 * time.Millisecond, 0},
		{"first copy here", []uint32{1}, 250 * time.Millisecond, 1},
		{"second copy missing", []uint32{1}, second + 50*time.Millisecond, 0},
		{"all copies here", []uint32{1, 2}, second + 50*time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			port := &framePort{recordingPort: recordingPort{new([]peer.Addr)}}
			d := newBusySite(port, route.Share{Service: feedService, Weight: 1})
			h := segment.Header{Flow: segment.NewFlow(vipAt(1), vipAt(2)), Flags: segment.Open, Sequence: 7}
			is.NoErr(d.HandleCallerPacket(time.Second, platform.EncodePacket(h, false)))
			port.returnLast(t, d, 0, 20) // to the agent where it waits
			waiting := port.last()
			for _, n := range c.copies {
				h.Acknowledged = n
				is.NoErr(d.HandleCallerPacket(time.Second+200*time.Millisecond<<(n-1), platform.EncodePacket(h, false)))
			}
			waiting.OriginalKind, waiting.Kind, waiting.Hop = waiting.Kind, peer.Returned, len(waiting.Candidates)
			is.NoErr(d.HandleAgentDatagram(time.Second+c.returned, waiting.Candidates[0], waiting.Append(nil)))
			is.Equal(port.resets, c.resets)
			is.Equal(d.Flows(), 0)
		})
	}
}
