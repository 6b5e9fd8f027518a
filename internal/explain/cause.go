package explain

import (
	"slices"
	"time"
)

// Cause is why a flow ended without its caller's or upstream's will, or could
// not be opened.
type Cause string

// The causes.
const (
	// UpstreamEnded: the agent saw its upstream leave, end or start anew.
	UpstreamEnded Cause = "upstream-ended"
	// UpstreamRestarted: an entry heard of another start of the upstream.
	UpstreamRestarted Cause = "upstream-restarted"
	// FlowLost: a packet came for a flow that no upstream holds.
	FlowLost Cause = "flow-held-by-nobody"
	// ResetByUpstream: the upstream itself reset the flow.
	ResetByUpstream Cause = "reset-by-upstream"
	// UpstreamsBusy: no upstream took the opening.
	UpstreamsBusy Cause = "upstreams-busy"
	// NoUpstream: no upstream of the service was known.
	NoUpstream Cause = "no-upstream-known"
	// NoRoute: the configuration has no route for the address.
	NoRoute Cause = "no-route"
	// SearchUncertain: not all that may hold the flow have answered.
	SearchUncertain Cause = "search-uncertain"
	// SearchUnanswered: a search was started and nothing came of it.
	SearchUnanswered Cause = "search-unanswered"
	// OpeningUnanswered: an opening was sent to an agent and not taken.
	OpeningUnanswered Cause = "opening-unanswered"
	// LinesLeftOut: something may have been answered, but lines of that time
	// were left out of the logs.
	LinesLeftOut Cause = "unknown-lines-left-out"
)

// leftOutWindow is how long before its line the left-out lines may lie: the
// period of the sampling, and as long again for a late writer.
const leftOutWindow = 2 * time.Second

// Outcome is what became of a flow.
type Outcome struct {
	Flow  string
	Cause Cause // empty if nothing went wrong
	At    time.Time
	// Line is the line that says so.
	Line Line
}

// resetCauses are the decisions after which the caller was reset.
var resetCauses = map[string]Cause{
	"upstream-gone":        UpstreamRestarted,
	"reset-upstream-ended": UpstreamEnded,
	"reset-by-upstream":    ResetByUpstream,
	"found-nobody":         FlowLost,
	"no-taker":             UpstreamsBusy,
	"no-route":             NoRoute,
	"route-dropped":        NoRoute,
}

// pendingCauses are the decisions after which something has to follow.
var pendingCauses = map[string]Cause{
	"searched":               SearchUnanswered,
	"searched-all":           SearchUnanswered,
	"found-nobody-uncertain": SearchUncertain,
	"placed":                 OpeningUnanswered,
	"placed-again":           OpeningUnanswered,
}

// resolvingMessages are the decisions that end a wait.
var resolvingMessages = map[string]bool{"found": true, "taken": true}

// determineOutcome returns what became of a flow. The first reset counts, as the caller
// gives the flow up; without one, a wait that nothing has answered. leftOut
// holds the moments, in order, at which lines were said to be left out.
func determineOutcome(flow string, lines []Line, leftOut []time.Time) Outcome {
	v := outcomeFromLines(flow, lines)
	if pendingCauses[v.Line.Message] != "" && anyBetween(leftOut, v.At, v.At.Add(leftOutWindow)) {
		v.Cause = LinesLeftOut
	}
	return v
}

// anyBetween reports whether one of the moments, which are in order, lies between
// two others.
func anyBetween(moments []time.Time, from, to time.Time) bool {
	i, _ := slices.BinarySearchFunc(moments, from, time.Time.Compare)
	return i < len(moments) && moments[i].Before(to)
}

func outcomeFromLines(flow string, lines []Line) Outcome {
	v := Outcome{Flow: flow}
	for _, line := range lines {
		if cause, ok := resetCauses[line.Message]; ok {
			if cause == UpstreamsBusy && line.Tried == 0 {
				cause = NoUpstream
			}
			return Outcome{Flow: flow, Cause: cause, At: line.At, Line: line}
		}
		if cause, ok := pendingCauses[line.Message]; ok {
			v.Cause, v.At, v.Line = cause, line.At, line
		}
		if resolvingMessages[line.Message] {
			v = Outcome{Flow: flow}
		}
	}
	return v
}
