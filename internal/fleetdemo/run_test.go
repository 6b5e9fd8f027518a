package fleetdemo_test

import (
	"context"
	"io"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/fleetdemo"
)

// TestNothingIsLostInAPlannedReplacement runs the real processes' sockets on
// loopback while an upstream and all entries are replaced.
func TestNothingIsLostInAPlannedReplacement(t *testing.T) {
	is := is.New(t)
	report, err := fleetdemo.Run(context.Background(), fleetdemo.Config{
		Seed: 3, Network: 91, Callers: 20, Out: io.Discard, Log: zap.NewNop(),
	})
	is.NoErr(err)
	is.Equal(report.Lost, 0)
	is.Equal(report.Answered, report.Asked)
	is.True(report.Asked > 100)
}
