package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/admission"
)

// TestLimiterHoldsInEverySecond covers a cold upstream that is offered openings as fast as
// the limiter allows, in bursts at random times, which fixed windows or a bucket of tokens
// would let exceed the limit: no second may hold more, wherever it begins. In a long time
// nearly all of the limit must be usable.
func TestLimiterHoldsInEverySecond(t *testing.T) {
	for _, limit := range []float64{1, 4.9, 24.5} {
		is := is.New(t)
		var l admission.Limiter
		l.SetLimit(limit)
		random := rand.New(rand.NewPCG(1, 0))
		var offers []time.Duration
		for now := time.Duration(0); now < time.Minute; now += time.Duration(random.Int64N(int64(400 * ms))) {
			for l.Wait(now) == 0 {
				l.Record(now)
				offers = append(offers, now)
			}
			is.True(l.Wait(now) <= admission.LimiterWindow)
		}
		first := 0
		for i, at := range offers {
			for at-offers[first] >= time.Second {
				first++
			}
			is.True(i-first+1 <= int(limit))
		}
		is.True(float64(len(offers)) > 0.7*60*float64(int(limit)))
	}
}

// TestLimiterWithoutLimit covers services that bear any rate: nothing waits, and nothing is
// kept. A limit below one opening a second admits none.
func TestLimiterWithoutLimit(t *testing.T) {
	is := is.New(t)
	var l admission.Limiter
	l.Record(0)
	is.Equal(l.Wait(0), time.Duration(0))
	is.Equal(l.Used(0), 0)
	l.SetLimit(0.5)
	is.True(l.Wait(0) > 0)
	l.SetLimit(1)
	l.Record(0)
	is.True(l.Wait(0) > 0)
	l.SetLimit(0)
	is.Equal(l.Wait(0), time.Duration(0))
	is.Equal(l.Used(0), 0)
}
