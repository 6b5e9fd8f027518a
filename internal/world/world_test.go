package world_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryhook.example/internal/world"
	"hickoryhook.example/pkg/member"
)

const (
	fixedSeed    = "20261203"
	maxSkew      = 5 * time.Second
	settlePeriod = 40 * time.Second
	numSteps     = 8
)

// TestMain fixes the seed of package rapid, so that every run checks the same sequences,
// and keeps rapid from writing files about failures.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": fixedSeed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestInvariantsHoldUnderRandomChanges applies random sequences of membership changes,
// crashes and pauses. It checks after each step that no flow has two owners and that no
// invariant of world.Report is violated.
func TestInvariantsHoldUnderRandomChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := world.New(world.Config{
			Seed:        rapid.Uint64().Draw(t, "seed"),
			Skew:        time.Duration(rapid.Int64Range(0, int64(maxSkew)).Draw(t, "skew")),
			Loss:        rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "loss"),
			Duplicates:  rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "duplicates"),
			IdleTimeout: 20 * time.Second,
		})
		main := w.AddService(1, "maklerlink")
		other := w.AddService(2, "exposeserver")
		for range 3 {
			w.AddEntry()
		}
		for range 5 {
			w.AddAgent(main, member.DefaultWeight)
		}
		for range 3 {
			w.AddAgent(other, member.DefaultWeight)
		}
		w.Run(maxSkew)
		for range numSteps {
			applyRandomChange(t, w, main, other)
			w.Run(time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "interval")))
			checkInvariants(t, w)
		}
		w.Run(settlePeriod)
		checkInvariants(t, w)
	})
}

// applyRandomChange opens up to 10 flows of each service and makes one random change, or
// none.
func applyRandomChange(t *rapid.T, w *world.World, main, other *world.Service) {
	for range rapid.IntRange(0, 10).Draw(t, "flows") {
		w.OpenFlow(main)
		w.OpenFlow(other)
	}
	agents := runningAgents(w)
	a := agents[rapid.IntRange(0, len(agents)-1).Draw(t, "agent")]
	switch rapid.IntRange(0, 7).Draw(t, "change") {
	case 0:
		w.AddAgent(main, member.DefaultWeight)
	case 1:
		if canRemove(w, a) {
			a.Drain()
		}
	case 2:
		a.SetWeight(uint32(rapid.IntRange(10, 200).Draw(t, "weight")))
	case 3:
		w.AddEntry()
		killOldestEntry(w)
	case 4:
		if canRemove(w, a) {
			a.Kill(time.Second)
		}
	case 5:
		a.Pause(time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "pause")))
	case 6:
		f := w.OpenFeed(main)
		w.After(10*time.Second, f.Close)
	}
}

// canRemove reports whether the member can be drained or killed: its service must have
// more than two ready members, because a service whose members all drain refuses new
// flows, and the member itself must not be draining already.
func canRemove(w *world.World, a *world.Agent) bool {
	ready := 0
	for _, other := range runningAgents(w) {
		if other.Service() == a.Service() && !other.Draining() {
			ready++
		}
	}
	return ready > 2 && !a.Draining()
}

func killOldestEntry(w *world.World) {
	for _, e := range w.Entries() {
		if e.Alive() {
			e.Kill(500 * time.Millisecond)
			return
		}
	}
}

func runningAgents(w *world.World) []*world.Agent {
	var agents []*world.Agent
	for _, a := range w.Agents() {
		if a.Alive() {
			agents = append(agents, a)
		}
	}
	return agents
}

// checkInvariants fails the test if a flow has two owners, an invariant is violated, or an
// agent reported a conflict.
func checkInvariants(t *rapid.T, w *world.World) {
	for _, f := range w.Flows() {
		if n := f.OwnerCount(); n > 1 {
			t.Fatalf("a flow has %d owners", n)
		}
	}
	r := w.Report()
	if r.Violations() > 0 || r.Conflicts > 0 {
		t.Fatalf("invariants violated: %+v", r)
	}
}

// TestSameSeedSameReport checks that a simulation is deterministic. The other tests of
// the simulation rely on it to be reproducible.
func TestSameSeedSameReport(t *testing.T) {
	is := is.New(t)
	run := func() world.Report {
		w := world.New(world.Config{Seed: 5, Skew: time.Second, Loss: 0.05})
		s := w.AddService(1, "report-desk")
		w.AddEntry()
		w.AddEntry()
		for range 4 {
			w.AddAgent(s, member.DefaultWeight)
		}
		for range 50 {
			w.OpenFlow(s)
		}
		w.Run(5 * time.Second)
		w.Agents()[1].Drain()
		w.Run(20 * time.Second)
		return w.Report()
	}
	is.Equal(run(), run())
}
