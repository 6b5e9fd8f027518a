package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

// TestClockJumpsBackBetweenStarts covers an agent whose clock has jumped back, so
// that it restarts with a lower incarnation. Its reports must be accepted, while
// late reports of an earlier start must be ignored.
func TestClockJumpsBackBetweenStarts(t *testing.T) {
	agent := peer.Addr{10, 0, 0, 2}
	report := func(d *director.Director, at time.Duration, incarnation int64, upstream string) {
		d.HandleReport(at, agent, peer.Status{Incarnation: incarnation, Sequence: 1, Service: "maklerlink", Upstream: upstream, Taking: true, Slots: 2})
	}
	for _, c := range []struct {
		name    string
		goodbye bool
		after   time.Duration // time from the first report to the second
		second  int64
		want    string
	}{
		{"newer start", false, 400 * time.Millisecond, 2000, "u-2"},
		{"late report of an earlier start", false, 400 * time.Millisecond, 500, "u-1"},
		{"clock has jumped back", false, 1500 * time.Millisecond, 500, "u-2"},
		{"late report after a goodbye", true, 400 * time.Millisecond, 1000, ""},
		{"late report long after a goodbye", true, 3 * time.Second, 1000, ""},
		{"clock has jumped back after a goodbye", true, 1500 * time.Millisecond, 500, "u-2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := director.New(peer.Addr{10, 0, 1, 1}, platform.PacketCodec{}, nil)
			const first = time.Second
			report(d, first, 1000, "u-1")
			if c.goodbye {
				d.HandleGoodbye(first, agent, false)
			}
			report(d, first+c.after, c.second, "u-2")
			got := ""
			if statuses := d.Status(first + c.after); len(statuses) > 0 {
				got = statuses[0].Upstream
			}
			is.Equal(got, c.want)
		})
	}
}
