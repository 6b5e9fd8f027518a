package fleetdemo

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReportPageShowsLossesAndFaults covers the page of a run in which half of the
// requests in the second sample were lost after a fault.
func TestReportPageShowsLossesAndFaults(t *testing.T) {
	is := is.New(t)
	line := timeline{
		samples: []sample{
			{at: time.Second, counts: Report{Answered: 100}, flows: []int{10, 5}},
			{at: 2 * time.Second, counts: Report{Answered: 150, Lost: 50}, flows: []int{0, 20}},
		},
		marks: []faultMark{{at: 1500 * time.Millisecond, fault: "SIGKILL <agent>"}},
	}
	var out strings.Builder
	is.NoErr(line.writeReport(&out, "Soak, seed 7", Report{Requests: 200, Answered: 150, Lost: 50}, errors.New("seed 7: 2 flows reset")))
	page := out.String()
	is.True(strings.Contains(page, `points="480.0,0.0 960.0,120.0 "`)) // all, then half
	is.True(strings.Contains(page, `points="480.0,180.0 960.0,0.0 "`)) // 5 and 20 of at most 20
	is.True(strings.Contains(page, "seed 7: 2 flows reset"))
	is.True(strings.Contains(page, "SIGKILL &lt;agent&gt;"))
	is.True(!strings.Contains(page, "http")) // no external resources

	d := xml.NewDecoder(strings.NewReader(page))
	d.Strict, d.AutoClose, d.Entity = false, []string{"meta"}, xml.HTMLEntity
	for {
		_, err := d.Token()
		if err == io.EOF {
			break
		}
		is.NoErr(err) // the page is well formed
	}
	is.True((&timeline{}).writeReport(io.Discard, "", Report{}, nil) != nil)
}

// TestPauseOfTheSoakIsNamed guards against a failed run whose processes got no processor for a
// time: its output must not look as if nothing had happened before.
func TestPauseOfTheSoakIsNamed(t *testing.T) {
	is := is.New(t)
	line := timeline{begin: time.Now()}
	line.recordDelay(maxSampleDelay)
	is.Equal(len(line.faults()), 0)
	line.recordDelay(1250 * time.Millisecond)
	is.Equal(line.faults()[0].fault, "the soak itself was paused, for up to 1.25s")
}
