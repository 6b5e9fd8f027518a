package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// recordSeries records a series of outcomes: "a" is an answer and "f" a failure,
// each 10 ms after the last; "." advances the time by 500 ms. It returns the new
// time.
func recordSeries(d *outlierDetector, now time.Duration, series string) time.Duration {
	for _, o := range series {
		switch o {
		case 'a':
			now += 10 * time.Millisecond
			d.recordSuccess(now)
		case 'f':
			now += 10 * time.Millisecond
			d.recordFailure(now)
		case '.':
			now += 500 * time.Millisecond
		}
	}
	return now
}

// TestOutlierDetector covers series of outcomes with and without an ejection. In
// a series "T" offers the upstream a new flow, which must be allowed.
func TestOutlierDetector(t *testing.T) {
	for _, c := range []struct {
		name       string
		series     string
		ejected    bool
		allowsFlow bool
	}{
		{"healthy", "aaaaaaaaaaaaaaaaaaaaaaaa", false, true},
		{"overloaded: one failure in twenty", "aaaaaaaaaaaaaaaaaaafaaaaaaaaaaaaaaaaaaaf", false, true},
		{"down: every request fails", "aaaaaaaaaaffff", true, false},
		{"partial failure: four in ten", "afaafafaaf", true, false},
		{"ejected for one second", "ffff.", true, false},
		{"on trial after the ejection", "ffff..", false, true},
		{"fails its trial: ejected for two seconds", "ffff..Tf..", true, false},
		{"fails its trial: on trial again two seconds later", "ffff..Tf....", false, true},
		{"fails intermittently: ejected for longer", "ffff..Taaaaaffff..", true, false},
		{"passes its trial", "ffff..Taaaaa", false, true},
		{"last ejection long ago: ejected for one second", "ffff..Taaaaa" + "................................" + "ffff..", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var d outlierDetector
			now := time.Second
			for _, part := range splitTrials(c.series) {
				if part == "T" {
					is.True(d.allowFlow(now))
					continue
				}
				now = recordSeries(&d, now, part)
			}
			is.Equal(d.isEjected(now), c.ejected)
			is.Equal(d.allowFlow(now), c.allowsFlow)
		})
	}
}

// splitTrials splits a series at each "T", which becomes a part of its own.
func splitTrials(series string) []string {
	var parts []string
	begin := 0
	for i, o := range series {
		if o == 'T' {
			parts = append(parts, series[begin:i], "T")
			begin = i + 1
		}
	}
	return append(parts, series[begin:])
}

// TestTrialLimitsNewFlows checks that an upstream on trial is offered one new
// flow per trialInterval, so that few flows are lost if it still fails.
func TestTrialLimitsNewFlows(t *testing.T) {
	is := is.New(t)
	var d outlierDetector
	now := recordSeries(&d, time.Second, "ffff..")
	allowed := 0
	for range 100 {
		now += 10 * time.Millisecond
		if d.allowFlow(now) {
			allowed++
		}
	}
	is.Equal(allowed, 5) // one per 200 ms of the second
}
