package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

// TestSettledWithAnOldList covers an entry that starts after the loss of all
// power with a list that names agents which have gone before: it waits for them
// for a while, and then takes flows for dead that nobody holds.
func TestSettledWithAnOldList(t *testing.T) {
	agent := func(n int) peer.Addr { return peer.Addr{10, 0, 0, byte(n)} }
	for _, c := range []struct {
		name   string
		listed int
		heard  int
		at     time.Duration
		want   bool
	}{
		{"all heard", 4, 4, 700 * time.Millisecond, true},
		{"one still to come", 4, 3, 700 * time.Millisecond, false},
		{"one has gone before", 4, 3, 2500 * time.Millisecond, true},
		{"half have gone before", 4, 2, 2500 * time.Millisecond, true},
		{"cut off from most", 4, 1, 2500 * time.Millisecond, false},
		{"cut off from all", 4, 0, 2500 * time.Millisecond, false},
		{"first start", 0, 0, 700 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := director.New(peer.Addr{10, 0, 1, 1}, platform.Packets{}, nil)
			d.MergeHolders(nil)
			var listed []peer.Addr
			for n := range c.listed {
				listed = append(listed, agent(n))
			}
			d.Expect(10*time.Millisecond, listed)
			d.Expect(100*time.Millisecond, listed) // read again
			for n := range c.heard {
				d.Report(c.at-100*time.Millisecond, agent(n), peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink"})
			}
			is.Equal(d.Settled(c.at), c.want)
		})
	}
}
