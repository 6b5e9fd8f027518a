package fleetsim_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/internal/fleetsim"
)

// TestSameSeedGivesSameDecisions covers that two runs with the same seed write
// the same trace.
func TestSameSeedGivesSameDecisions(t *testing.T) {
	is := is.New(t)
	var first, second bytes.Buffer
	fleetsim.RunRandom(30, fleetsim.WithTrace(&first))
	fleetsim.RunRandom(30, fleetsim.WithTrace(&second))
	is.True(first.Len() > 0)
	is.True(bytes.Equal(first.Bytes(), second.Bytes()))
}
