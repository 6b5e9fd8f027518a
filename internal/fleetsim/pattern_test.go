package fleetsim_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/internal/fleetsim"
)

// patternSeeds is the number of seeds for each pattern.
const patternSeeds = 4

// overloadPatterns ask for more than all upstreams serve, for seconds. The bound then
// drops long requests, whose length no balancer knows; see docs/design/load.md.
var overloadPatterns = []string{"burst-at-high-load", "full-queue", "low-priority-burst", "unequal-work", "urgent-burst"}

// playPattern returns the sums of the results of a pattern by kind.
func playPattern(t *testing.T, name string, options ...fleetsim.Option) map[string]*fleetsim.KindResult {
	t.Helper()
	p, err := fleetsim.LoadPattern(name)
	if err != nil {
		t.Fatal(err)
	}
	sums := make(map[string]*fleetsim.KindResult)
	for seed := range uint64(patternSeeds) {
		r := p.Run(seed+1, options...)
		if r.Violations > 0 {
			t.Errorf("%s seed %d: %d invariants were violated", name, seed+1, r.Violations)
		}
		for _, k := range r.Kinds {
			if sums[k.Kind] == nil {
				sums[k.Kind] = &fleetsim.KindResult{}
			}
			sums[k.Kind].Add(k)
		}
	}
	return sums
}

// TestPatternsReachTheirBound compares each pattern with what a scheduler could answer
// that knows all arrivals: at least 95% of that must be answered, and 90% of what it could
// answer within the targets. docs/design/load.md names these targets.
func TestPatternsReachTheirBound(t *testing.T) {
	for _, name := range fleetsim.PatternNames() {
		if !slices.Contains(overloadPatterns, name) {
			checkBound(t, name)
		}
	}
}

// TestOverloadPatternsReachTheirBound checks the same targets for the patterns that
// overload all upstreams for seconds.
func TestOverloadPatternsReachTheirBound(t *testing.T) {
	for _, name := range overloadPatterns {
		checkBound(t, name)
	}
}

// checkBound checks the targets of TestPatternsReachTheirBound for a pattern.
func checkBound(t *testing.T, name string) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		sums := playPattern(t, name)
		bound := sums["watch"].Bound // of the kinds that share the service feed
		answered, inAim := 0, 0
		for _, kind := range []string{"watch", "finding"} {
			answered += sums[kind].InAim + sums[kind].Late
			inAim += sums[kind].InAim
		}
		is.True(bound.Answered > 0)
		is.True(float64(answered) >= 0.95*float64(bound.Answered))
		is.True(float64(inAim) >= 0.90*float64(bound.InAim))
	})
}

// TestEarlyRefusalAnswersMoreInAim plays a burst of each of two routes: of all requests,
// more are answered within their targets if those that cannot be reached are returned.
func TestEarlyRefusalAnswersMoreInAim(t *testing.T) {
	for _, name := range []string{"low-priority-burst", "urgent-burst"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			share := func(options ...fleetsim.Option) float64 {
				asked, inAim := 0, 0
				for _, r := range playPattern(t, name, options...) {
					asked += r.Asked
					inAim += r.InAim
				}
				return float64(inAim) / float64(asked)
			}
			with, without := share(), share(fleetsim.WithoutMechanism(fleetsim.MechanismEarlyRefusal))
			if with <= without {
				t.Errorf("a share of %.3f in aim, %.3f without the mechanism", with, without)
			}
		})
	}
}

// TestMechanismsServeCallersBetter plays the load that a mechanism is meant for with and
// without it: fewer requests of the kind may be lost with it.
func TestMechanismsServeCallersBetter(t *testing.T) {
	for _, c := range []struct{ pattern, mechanism, kind string }{
		{"return-after-power-loss", fleetsim.MechanismWaiting, "watch"},
		{"burst", fleetsim.MechanismWaiting, "watch"},
		{"overflow-after-power-loss", fleetsim.MechanismOverflow, "watch"},
		{"burst", fleetsim.MechanismPriority, "finding"},
		{"low-priority-burst", fleetsim.MechanismUrgentRoom, "finding"},
		{"burst-at-high-load", fleetsim.MechanismUrgentRoom, "finding"},
		{"urgent-burst", fleetsim.MechanismShare, "watch"},
		{"full-queue", fleetsim.MechanismDisplacement, "finding"},
		{"return-after-power-loss", fleetsim.MechanismSnapshots, "finding"},
		{"return-with-full-links", fleetsim.MechanismRepeatedResets, "finding"},
	} {
		t.Run(c.pattern+" "+c.mechanism, func(t *testing.T) {
			t.Parallel()
			lost := func(options ...fleetsim.Option) int {
				r := playPattern(t, c.pattern, options...)[c.kind]
				return r.Failed + r.Refused
			}
			with, without := lost(), lost(fleetsim.WithoutMechanism(c.mechanism))
			if with >= without {
				t.Errorf("%d of the kind %s are lost, %d without the mechanism", with, c.kind, without)
			}
		})
	}
}

// TestPatternIsChecked covers patterns that cannot be simulated.
func TestPatternIsChecked(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		`{`,
		`{"entries": 1, "duration-ms": 1, "services": [], "kinds": []}`,
		`{"entries": 1, "duration-ms": 1, "services": [{"name": "a"}], "kinds": [{"name": "k"}]}`,
	} {
		_, err := fleetsim.DecodePattern([]byte(text))
		is.True(err != nil)
	}
	_, err := fleetsim.LoadPattern("no-such-pattern")
	is.True(err != nil)
}
