package fleetsim_test

import (
	"testing"

	"hickoryhook.example/internal/fleetsim"
)

// TestInvariantsHoldWithTwoDepartures is a model check of the routing decisions:
// it covers all runs of two entries, three upstreams and one caller with up to two
// departures.
func TestInvariantsHoldWithTwoDepartures(t *testing.T) {
	e := fleetsim.Explore(2)
	if len(e.Violations) > 0 {
		t.Error(e)
	}
	// Each run has at least seven choices: one at each of six steps and one for
	// the opening of the flow.
	if e.Runs < 1000 {
		t.Errorf("only %d runs", e.Runs)
	}
	t.Log(e)
}

// TestRunsThatBroke replays runs with three departures that violated an
// invariant: the first heartbeat of a restarted upstream reset the flows that it
// had accepted before that heartbeat.
func TestRunsThatBroke(t *testing.T) {
	for _, run := range [][]fleetsim.Departure{
		{{6, 8}, {8, 7}, {11, 11}},
		{{6, 8}, {9, 7}, {11, 11}},
	} {
		if violation := fleetsim.Replay(run); violation != "" {
			t.Error(violation)
		}
	}
}
