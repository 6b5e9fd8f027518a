package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
)

// TestFirstSettledEntryWritesAgentList covers entries that restart one after the other just
// after agents have left: the first ones wait for these agents for seconds, as the list in the
// store names them. Unless a settled entry writes the list, it keeps naming them, and after a
// loss of all power no entry can tell callers that their flows are gone.
func TestFirstSettledEntryWritesAgentList(t *testing.T) {
	self := peer.Addr{10, 0, 0, 5}
	type other struct {
		address peer.Addr
		settled bool
		heardAt time.Duration
	}
	for _, c := range []struct {
		name   string
		others []other
		writes bool
	}{
		{"alone", nil, true},
		{"the lowest has just started", []other{{peer.Addr{10, 0, 0, 1}, false, 9 * time.Second}}, true},
		{"a lower one is settled", []other{{peer.Addr{10, 0, 0, 1}, false, 9 * time.Second}, {peer.Addr{10, 0, 0, 2}, true, 9 * time.Second}}, false},
		{"a lower one was settled and has stopped", []other{{peer.Addr{10, 0, 0, 2}, true, 8 * time.Second}}, true},
		{"a higher one is settled", []other{{peer.Addr{10, 0, 0, 9}, true, 9 * time.Second}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			entries := newEntrySet(entryTimeout)
			for _, o := range c.others {
				entries.recordHello(o.heardAt, o.address, peer.HelloMessage{Incarnation: 1, Settled: o.settled})
			}
			is.New(t).Equal(!entries.hasSettledBelow(10*time.Second, self), c.writes)
		})
	}
}
