package explain

import (
	"slices"
	"time"
)

// Cause is the reason why a flow could not be opened or was ended other than by
// a regular close.
type Cause string

// The causes.
const (
	// UpstreamEnded: the agent detected that its upstream left, ended or restarted.
	UpstreamEnded Cause = "upstream-ended"
	// UpstreamRestarted: an entry received a report of another start of the
	// upstream, or of its end.
	UpstreamRestarted Cause = "upstream-restarted"
	// FlowLost: a packet arrived for a flow that no upstream holds.
	FlowLost Cause = "flow-held-by-nobody"
	// ResetByUpstream: the upstream reset the flow.
	ResetByUpstream Cause = "reset-by-upstream"
	// UpstreamsBusy: no upstream accepted the opening.
	UpstreamsBusy Cause = "upstreams-busy"
	// NoUpstream: no upstream of the service was known, or the route has no service
	// with a weight.
	NoUpstream Cause = "no-upstream-known"
	// UpstreamsEvacuated: the upstreams of the service are in evacuated failure domains.
	UpstreamsEvacuated Cause = "upstreams-evacuated"
	// LinkFull: the entry refused the opening, as its link could not carry the flow in time.
	LinkFull Cause = "link-full"
	// NoRoute: the configuration has no route for the VIP.
	NoRoute Cause = "no-route"
	// SearchUncertain: a search found no upstream that holds the flow but could not
	// rule out that there is one, for example because not all agents whose upstream
	// may hold it answered.
	SearchUncertain Cause = "search-uncertain"
	// SearchUnanswered: a search was started and its result was not logged.
	SearchUnanswered Cause = "search-unanswered"
	// OpeningUnanswered: an opening was sent to an agent and no acceptance was
	// logged.
	OpeningUnanswered Cause = "opening-unanswered"
	// LinesLeftOut: a search or an opening has no logged result, or the search an
	// uncertain one, but lines of that time were left out of the logs.
	LinesLeftOut Cause = "unknown-lines-left-out"
)

// leftOutWindow is how long before the message "lines left out" the missing
// lines may have been written: the period of the sampling, and as long again
// for a delayed writer.
const leftOutWindow = 2 * time.Second

// Outcome is how a flow ended.
type Outcome struct {
	Flow  string
	Cause Cause // empty if the flow did not fail
	At    time.Time
	// Line is the log line that shows the cause.
	Line Line
	// Contradiction is a later line that shows the flow open although it was reset as
	// that of an upstream that is gone, or of none. Its Message is empty if there is none.
	Contradiction Line
}

// resetCauses maps the messages of decisions after which the caller was reset to
// their causes.
var resetCauses = map[string]Cause{
	goneMessage:           UpstreamRestarted,
	endedMessage:          UpstreamEnded,
	resetByMessage:        ResetByUpstream,
	nobodyMessage:         FlowLost,
	"no-taker":            UpstreamsBusy,
	"upstreams-evacuated": UpstreamsEvacuated,
	"link-full":           LinkFull,
	"no-route":            NoRoute,
	"route-dropped":       NoRoute,
}

// pendingCauses maps the messages of decisions that another decision must
// complete to the causes that apply if none does.
var pendingCauses = map[string]Cause{
	"searched":                SearchUnanswered,
	"searched-all":            SearchUnanswered,
	"found-nobody-uncertain":  SearchUncertain,
	"found-nobody-unverified": SearchUncertain,
	"placed":                  OpeningUnanswered,
	"placed-again":            OpeningUnanswered,
}

// The messages of decisions that complete a pending one.
const (
	foundMessage    = "found"
	acceptedMessage = "taken"
	// refusedMessage withdraws an earlier acceptedMessage of the same process.
	refusedMessage = "refused-by-upstream"
)

// determineOutcome returns how a flow ended. The first reset decides, as the
// caller gives up the flow then. Without one, the last pending decision does,
// if it was not completed. leftOut holds the times, in order, at which
// processes reported that they had left out lines.
func determineOutcome(flow string, lines []Line, leftOut []time.Time, agents starts) Outcome {
	outcome := outcomeFromLines(flow, lines, agents)
	if pendingCauses[outcome.Line.Message] != "" && anyBetween(leftOut, outcome.At, outcome.At.Add(leftOutWindow)) {
		outcome.Cause = LinesLeftOut
	}
	return outcome
}

// anyBetween reports whether one of the times, which are in order, lies within
// [from, to).
func anyBetween(times []time.Time, from, to time.Time) bool {
	i, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	return i < len(times) && times[i].Before(to)
}

// outcomeFromLines returns the outcome of a flow as its lines show it, without
// regard to lines that were left out. Entries log openings and agents log their
// acceptance, so that the order of these lines depends on two clocks: a caller opens
// a flow once, and one acceptance answers the opening wherever its line stands.
func outcomeFromLines(flow string, lines []Line, agents starts) Outcome {
	outcome := Outcome{Flow: flow}
	opened := isAccepted(lines)
	for i, line := range lines {
		if cause, ok := resetCauses[line.Message]; ok {
			if cause == UpstreamsBusy && line.Tried == 0 {
				cause = NoUpstream
			}
			outcome = Outcome{Flow: flow, Cause: cause, At: line.At, Line: line}
			outcome.Contradiction = agents.contradiction(line, lines[i+1:])
			return outcome
		}
		cause, pending := pendingCauses[line.Message]
		switch {
		case pending && cause == OpeningUnanswered && opened:
		case pending:
			outcome.Cause, outcome.At, outcome.Line = cause, line.At, line
		case line.Message == foundMessage, line.Message == acceptedMessage:
			outcome = Outcome{Flow: flow}
		}
	}
	return outcome
}

// isAccepted reports whether an agent has offered the flow to its upstream, and the
// upstream has not refused it afterwards.
func isAccepted(lines []Line) bool {
	accepting := make(map[string]bool) // by process
	for _, line := range lines {
		switch line.Message {
		case acceptedMessage:
			accepting[line.Process] = true
		case refusedMessage:
			delete(accepting, line.Process)
		}
	}
	return len(accepting) > 0
}
