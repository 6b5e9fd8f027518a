package fleetsim_test

import (
	"testing"

	"hickoryhook.example/internal/fleetsim"
)

// TestEveryRunWithTwoDepartures is the model check of the routing decisions:
// two entries, three upstreams, one flow.
func TestEveryRunWithTwoDepartures(t *testing.T) {
	e := fleetsim.Explore(2)
	if len(e.Violations) > 0 {
		t.Error(e)
	}
	// A run has at least a point for each of six moments and the opening.
	if e.Runs < 1000 {
		t.Errorf("only %d runs", e.Runs)
	}
	t.Log(e)
}

// TestRunsThatBroke plays the runs with three departures that have broken a
// promise: flows that an upstream had taken before its first heartbeat were
// reset by that.
func TestRunsThatBroke(t *testing.T) {
	for _, run := range [][]fleetsim.Departure{
		{{6, 8}, {8, 7}, {11, 11}},
		{{6, 8}, {9, 7}, {11, 11}},
	} {
		if broken := fleetsim.Replay(run); broken != "" {
			t.Error(broken)
		}
	}
}
