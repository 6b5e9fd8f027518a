package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMayLeave covers entries of one place that are stopped one after the
// other faster than they return.
func TestMayLeave(t *testing.T) {
	const (
		now   = time.Minute
		grace = 6 * time.Second
	)
	ready := neighbour{heard: now - 100*time.Millisecond, ready: true, readySince: now - 10*time.Second}
	for _, c := range []struct {
		name       string
		waited     time.Duration
		neighbours []neighbour
		want       bool
	}{
		{"alone in its place", 0, nil, true},
		{"neighbours ready", 0, []neighbour{ready, ready}, true},
		{"a neighbour stops", 0, []neighbour{ready, {heard: now - 100*time.Millisecond}}, false},
		{"a neighbour has fallen silent", 0, []neighbour{{heard: now - 2*time.Second, ready: true, readySince: now - 9*time.Second}}, false},
		{"a neighbour is gone for long", 0, []neighbour{{heard: now - 5*time.Second}}, true},
		{"the routers have not seen the neighbour yet", 0, []neighbour{{heard: now, ready: true, readySince: now - 300*time.Millisecond}}, false},
		{"the grace time runs out", 3800 * time.Millisecond, []neighbour{{heard: now}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(mayLeave(now, c.waited, grace, c.neighbours), c.want)
		})
	}
}
