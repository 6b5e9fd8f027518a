package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// nowhere drops what leaves a director.
type nowhere struct{}

func (nowhere) ToProcess(peer.Addr, []byte)              {}
func (nowhere) ToCaller(segment.Flow, []byte)            {}
func (nowhere) Measured(director.Measure, time.Duration) {}
func (nowhere) Decided(director.Decision)                {}

// TestReturnedToARestartedEntry covers an agent that stood still with a frame
// and returns it to an entry that has started again and has no configuration.
func TestReturnedToARestartedEntry(t *testing.T) {
	flow := segment.NewFlow(vipAt(1), vipAt(2))
	for _, kind := range []peer.Kind{peer.Place, peer.Deliver, peer.Search} {
		for _, flags := range []segment.Flags{segment.Open, segment.Ack} {
			is := is.New(t)
			d := director.New(peer.Addr{10, 0, 0, 1}, platform.Packets{}, nowhere{})
			f := peer.Frame{
				Kind: peer.Returned, For: kind, Entry: peer.Addr{10, 0, 0, 1}, Service: peer.Service("maklerlink"),
				Candidates: []peer.Addr{{10, 0, 0, 2}}, Hop: 1,
				Packet: platform.Encode(segment.Head{Flow: flow, Flags: flags}, false),
			}
			is.NoErr(d.FromProcess(time.Second, peer.Addr{10, 0, 0, 2}, f.Append(nil)))
		}
	}
}
