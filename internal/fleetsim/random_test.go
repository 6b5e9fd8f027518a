package fleetsim_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/internal/fleetsim"
)

// randomSeeds is how many random runs each test run plays.
const randomSeeds = 40

// TestPromisesUnderRandomDisturbances plays fixed seeds; `hickoryhook bench
// fleet` plays others.
func TestPromisesUnderRandomDisturbances(t *testing.T) {
	for seed := uint64(1); seed <= randomSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := fleetsim.RunRandom(seed)
			for _, promise := range fleetsim.Invariants() {
				if r.Counts[promise] != 0 {
					t.Errorf("%s is %d after\n%s\n%v", promise, r.Counts[promise], strings.Join(r.Steps, "\n"), r.Counts)
				}
			}
			is.Equal(r.LostAfterSettling, 0) // nothing is lost once all has settled
			is.True(r.Counts["served"] > 1000)
		})
	}
}

// TestSeedsThatFailed covers instances that lost power between their upstream's
// end and their agent's, where the simulated agent was stopped though the upstream
// was back (5141, 5264), and entries that started while an instance was cut off and
// took it for gone after 1.3 s (6302, 6307).
func TestSeedsThatFailed(t *testing.T) {
	for _, seed := range []uint64{5141, 5264, 6302, 6307} {
		r := fleetsim.RunRandom(seed)
		for _, promise := range fleetsim.Invariants() {
			if r.Counts[promise] != 0 {
				t.Errorf("seed %d: %s is %d", seed, promise, r.Counts[promise])
			}
		}
	}
}
