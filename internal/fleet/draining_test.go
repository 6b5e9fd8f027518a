package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMayTurnNotReady guards against routers sending packets to entries that
// have ended: it covers entries of one place that are stopped one after the
// other faster than they return.
func TestMayTurnNotReady(t *testing.T) {
	const now = time.Minute
	ready := neighbour{lastHello: now - 100*time.Millisecond, ready: true, readySince: now - 10*time.Second}
	for _, c := range []struct {
		name       string
		waited     time.Duration
		neighbours []neighbour
		want       bool
	}{
		{"no neighbours", 0, nil, true},
		{"all neighbours ready", 0, []neighbour{ready, ready}, true},
		{"one of two neighbours stops", 0, []neighbour{ready, {lastHello: now - 100*time.Millisecond}}, false},
		{"one of six neighbours stops", 0, []neighbour{ready, ready, ready, ready, ready, {lastHello: now}}, true},
		{"four of six neighbours stop", 0, []neighbour{ready, ready, {lastHello: now}, {lastHello: now}, {lastHello: now}, {lastHello: now}}, false},
		{"the only neighbour sends no hello messages", 0, []neighbour{{lastHello: now - 2*time.Second, ready: true, readySince: now - 9*time.Second}}, false},
		{"a neighbour stopped long ago", 0, []neighbour{{lastHello: now - 5*time.Second}}, true},
		{"the routers have not detected the ready neighbour yet", 0, []neighbour{{lastHello: now, ready: true, readySince: now - 300*time.Millisecond}}, false},
		{"the time limit is reached", 2 * time.Second, []neighbour{{lastHello: now}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(mayTurnNotReady(now, c.waited, c.neighbours), c.want)
		})
	}
}
