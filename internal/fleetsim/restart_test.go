package fleetsim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/internal/fleetsim"
)

// TestRunningAgentIsNotStartedAgain guards against a simulated agent that loses its state without
// having been killed: a return of the power starts it while its restart is still due.
func TestRunningAgentIsNotStartedAgain(t *testing.T) {
	is := is.New(t)
	w := fleetsim.New(fleetsim.WithSeed(1))
	w.AddService("maklerlink", 1, 2)
	i := w.Instances("maklerlink")[0]
	i.RestartAgent(700 * time.Millisecond)
	i.PowerCycle(600 * time.Millisecond)
	w.Run(time.Second)
	is.Equal(i.AgentStarts(), 2)
	i.RestartAgent(700 * time.Millisecond)
	w.Run(time.Second)
	is.Equal(i.AgentStarts(), 3)
}
