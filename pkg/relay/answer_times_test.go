package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAnswerTimes covers an upstream that rejects each request at once although its health
// check succeeds, among loads that must not be taken for one. A load is a list of times in
// milliseconds that is repeated.
func TestAnswerTimes(t *testing.T) {
	feed, page := netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.2:443")
	usual := []int{30, 55, 90, 40, 25, 110, 60, 20}
	for _, c := range []struct {
		name          string
		vip           netip.AddrPort
		before, after []int
		answers       int // of the load after
		failed        int // of them
	}{
		{"rejects all at once", feed, usual, []int{1}, 40, 31},
		{"serves as before", feed, usual, usual, 400, 0},
		{"a third of the requests are cheap", feed, []int{60, 50, 2}, []int{60, 50, 2}, 400, 0},
		{"nine cheap requests in a row", feed, usual, []int{2, 2, 2, 2, 2, 2, 2, 2, 2, 60}, 100, 0},
		{"twice as fast, as with a warm cache", feed, usual, []int{15, 27, 45, 20, 12, 55, 30, 10}, 400, 0},
		{"another route with short work", page, usual, []int{5, 4, 6}, 400, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var a answerTimes
			for i := range 200 {
				is.True(!a.record(feed, time.Duration(c.before[i%len(c.before)])*time.Millisecond))
			}
			failed := 0
			for i := range c.answers {
				if a.record(c.vip, time.Duration(c.after[i%len(c.after)])*time.Millisecond) {
					failed++
				}
			}
			is.Equal(failed, c.failed)
			is.True(!a.record(feed, 55*time.Millisecond)) // one usual answer ends the series
		})
	}
}

// TestUsualAnswerTimeFollowsLastingChange guards against an upstream that is held for failing
// for good because it has become faster.
func TestUsualAnswerTimeFollowsLastingChange(t *testing.T) {
	is := is.New(t)
	vip := netip.MustParseAddrPort("198.18.0.1:443")
	var a answerTimes
	for range 1000 {
		a.record(vip, 55*time.Millisecond)
	}
	for range 3 * answerMemory {
		a.record(vip, 5*time.Millisecond)
	}
	is.True(!a.record(vip, 5*time.Millisecond))
}
