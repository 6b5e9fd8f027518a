package demo_test

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/demo"
)

func TestEntryReplacementAndDrainBreakNoFlow(t *testing.T) {
	is := is.New(t)
	r, err := demo.Run(t.Context(), demo.Config{Seed: 7}, zap.NewNop())
	is.NoErr(err)
	is.True(r.Flows > 0)
	is.Equal(r.EntriesReplaced, 3)
	is.Equal(r.BrokenFlows, 0)
	is.Equal(r.MisroutedPackets, 0)
	is.Equal(r.CrossAnswered, 0)
	is.Equal(r.NewWorkAfterDrain, 0)
}
