package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// outcomes plays a series: "a" is an answer, "f" a failure, each 10 ms after
// the last; "." lets 500 ms pass.
func outcomes(j *judge, now time.Duration, series string) time.Duration {
	for _, o := range series {
		switch o {
		case 'a':
			now += 10 * time.Millisecond
			j.succeeded(now)
		case 'f':
			now += 10 * time.Millisecond
			j.failed(now)
		case '.':
			now += 500 * time.Millisecond
		}
	}
	return now
}

// TestJudge names the patterns of upstreams that fail.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name    string
		series  string
		failing bool
		takes   bool
	}{
		{"healthy", "aaaaaaaaaaaaaaaaaaaaaaaa", false, true},
		{"overloaded: one in twenty", "aaaaaaaaaaaaaaaaaaafaaaaaaaaaaaaaaaaaaaf", false, true},
		{"down, resets everything", "aaaaaaaaaaffff", true, false},
		{"grey: four in ten", "afaafafaaf", true, false},
		{"ejected for a second", "ffff.", true, false},
		{"on trial after it", "ffff..", false, true},
		{"fails its trial: ejected for two seconds", "ffff..Tf..", true, false},
		{"fails its trial, two seconds later", "ffff..Tf....", false, true},
		{"fails by turns: ejected for longer", "ffff..Taaaaaffff..", true, false},
		{"passes its trial", "ffff..Taaaaa", false, true},
		{"failed long ago: ejected for a second", "ffff..Taaaaa" + "................................" + "ffff..", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var j judge
			now := time.Second
			for _, part := range splitTrials(c.series) {
				if part == "T" {
					is.True(j.takes(now))
					continue
				}
				now = outcomes(&j, now, part)
			}
			is.Equal(j.failing(now), c.failing)
			is.Equal(j.takes(now), c.takes)
		})
	}
}

// splitTrials cuts a series at its "T", each of which takes a new flow.
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

// TestTrialTakesFewFlows covers an upstream that has been ejected: it is tried
// with one flow at a time.
func TestTrialTakesFewFlows(t *testing.T) {
	is := is.New(t)
	var j judge
	now := outcomes(&j, time.Second, "ffff..")
	taken := 0
	for range 100 {
		now += 10 * time.Millisecond
		if j.takes(now) {
			taken++
		}
	}
	is.Equal(taken, 5) // one each 200 ms of the second
}
