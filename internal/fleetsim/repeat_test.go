package fleetsim_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/internal/fleetsim"
)

// TestRunsRepeat covers that a seed gives the same decisions each time.
func TestRunsRepeat(t *testing.T) {
	is := is.New(t)
	var first, second bytes.Buffer
	fleetsim.RunRandom(30, fleetsim.WithTrace(&first))
	fleetsim.RunRandom(30, fleetsim.WithTrace(&second))
	is.True(first.Len() > 0)
	is.True(bytes.Equal(first.Bytes(), second.Bytes()))
}
