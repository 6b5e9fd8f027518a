package fleetdemo

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/segment"
)

// TestRequestLogCountsRepeatedRuns covers the check of the soak that no request runs twice.
func TestRequestLogCountsRepeatedRuns(t *testing.T) {
	is := is.New(t)
	l := requestLog{ran: make(map[requestID]bool)}
	flow := segment.NewFlow(netip.MustParseAddrPort("100.64.0.7:1025"), netip.MustParseAddrPort("198.18.0.1:443"))
	is.True(!l.recordRun(flow, 1))
	is.True(!l.recordRun(flow, 101))
	is.Equal(l.repeatedRuns(), 0)
	is.True(l.recordRun(flow, 1))
	is.Equal(l.repeatedRuns(), 1)
}
