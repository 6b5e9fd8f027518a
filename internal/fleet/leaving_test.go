package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMayLeave covers entries of one place that are stopped one after the
// other faster than they return.
func TestMayLeave(t *testing.T) {
	const now = time.Minute
	ready := neighbour{lastGreeting: now - 100*time.Millisecond, ready: true, readySince: now - 10*time.Second}
	for _, c := range []struct {
		name       string
		waited     time.Duration
		neighbours []neighbour
		want       bool
	}{
		{"alone in its place", 0, nil, true},
		{"neighbours ready", 0, []neighbour{ready, ready}, true},
		{"one of two neighbours stops", 0, []neighbour{ready, {lastGreeting: now - 100*time.Millisecond}}, false},
		{"one of six neighbours stops", 0, []neighbour{ready, ready, ready, ready, ready, {lastGreeting: now}}, true},
		{"four of six neighbours stop", 0, []neighbour{ready, ready, {lastGreeting: now}, {lastGreeting: now}, {lastGreeting: now}, {lastGreeting: now}}, false},
		{"a neighbour has fallen silent", 0, []neighbour{{lastGreeting: now - 2*time.Second, ready: true, readySince: now - 9*time.Second}}, false},
		{"a neighbour is gone for long", 0, []neighbour{{lastGreeting: now - 5*time.Second}}, true},
		{"the routers have not seen the neighbour yet", 0, []neighbour{{lastGreeting: now, ready: true, readySince: now - 300*time.Millisecond}}, false},
		{"the routers must have let go soon", 2 * time.Second, []neighbour{{lastGreeting: now}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(mayTurnNotReady(now, c.waited, c.neighbours), c.want)
		})
	}
}
