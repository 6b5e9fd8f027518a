package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// The messages of resets that rest on what a process believes of an upstream: an entry of that
// of the recorded agent, an agent of its own one, and an entry of those of all agents.
const (
	goneMessage   = "upstream-gone"
	endedMessage  = "reset-upstream-ended"
	nobodyMessage = "found-nobody"
)

// resetByMessage is the message of an agent whose upstream has reset a flow.
const resetByMessage = "reset-by-upstream"

// openMessages are the messages of lines that show that an upstream holds a flow.
var openMessages = []string{foundMessage, acceptedMessage, "owner-changed", resetByMessage}

type (
	// starts holds what the logs tell of the agents: their addresses, and the start of the
	// upstream that each had heard from last.
	starts struct {
		addresses map[string]string // by process
		reported  map[string][]startAt
	}

	// startAt is a start of an upstream and when its agent logged it, 0 from when the agent
	// itself started.
	startAt struct {
		at    time.Time
		start uint32
	}

	// holder is an upstream that a line is about: the start of it beside an agent. process
	// is set if the agent itself wrote the line. Fields that are not known are zero.
	holder struct {
		process, agent string
		start          uint32
	}

	// ProofCount is how many flows were reset by a proof with a cause.
	ProofCount struct {
		Proof    string
		Cause    Cause
		Flows    int
		Recalled int
		// OldestMS is the greatest age of what one of the resets rests on.
		OldestMS float64
	}
)

// starts returns what the logs tell of the agents.
func (l *Logs) starts() starts {
	s := starts{addresses: make(map[string]string), reported: make(map[string][]startAt)}
	for _, line := range l.all() {
		switch line.Message {
		case agentStartedMessage:
			s.addresses[line.Process] = line.Agent
			s.reported[line.Process] = append(s.reported[line.Process], startAt{at: line.At})
		case "upstream":
			s.reported[line.Process] = append(s.reported[line.Process], startAt{at: line.At, start: line.Start})
		}
	}
	return s
}

// holder returns the upstream that a line of an open flow, or of its reset, is about.
func (s starts) holder(line Line) holder {
	switch line.Message {
	case goneMessage:
		return holder{agent: line.Agent, start: line.Start}
	case endedMessage:
		return holder{process: line.Process, agent: s.addresses[line.Process], start: line.Start}
	case acceptedMessage, resetByMessage:
		return holder{process: line.Process, agent: s.addresses[line.Process], start: s.at(line.Process, line.At)}
	default:
		return holder{agent: line.Agent, start: line.ReportedStart}
	}
}

// at returns the start of the upstream that an agent had heard from last at a time, 0 if
// that is not known.
func (s starts) at(process string, at time.Time) uint32 {
	all := s.reported[process]
	i, _ := slices.BinarySearchFunc(all, at, func(r startAt, at time.Time) int {
		if r.at.After(at) {
			return 1
		}
		return -1
	})
	if i == 0 {
		return 0
	}
	return all[i-1].start
}

// differs reports whether two upstreams are known to be other ones, beside different agents
// or different starts beside the same one.
func (h holder) differs(other holder) bool {
	same := false
	switch {
	case h.process != "" && other.process != "":
		same = h.process == other.process
	case h.agent == "" || other.agent == "":
		return false
	default:
		same = h.agent == other.agent
	}
	return !same || h.start != 0 && other.start != 0 && h.start != other.start
}

// contradiction returns the first line after the reset of a flow that shows that another
// upstream than the one that was said to be gone holds the flow, or that any does if none was
// said to; its Message is empty if there is none. The lines of a flow that was opened again do
// not count, nor does its acceptance, which may stand before that opening by the clock of the
// agent.
func (s starts) contradiction(reset Line, after []Line) Line {
	if reset.Message != goneMessage && reset.Message != endedMessage && reset.Message != nobodyMessage {
		return Line{}
	}
	again := slices.IndexFunc(after, func(line Line) bool { return pendingCauses[line.Message] == OpeningUnanswered })
	if again >= 0 {
		after = after[:again]
	}
	for _, line := range after {
		if !slices.Contains(openMessages, line.Message) || line.Message == acceptedMessage && again >= 0 {
			continue
		}
		if reset.Message == nobodyMessage || s.holder(reset).differs(s.holder(line)) {
			return line
		}
	}
	return Line{}
}

// basis describes what the reset of a line rests on, in words that follow a colon. It is
// empty if the line has no proof, and the proof itself if it is not a known one.
func (l Line) basis() string {
	recalled := ""
	if l.Recalled {
		recalled = " (recalled)"
	}
	switch {
	case l.Proof == "":
		return ""
	case l.Message == endedMessage && l.Proof == "bounced-by-upstream":
		return fmt.Sprintf("the upstream bounced the caller's last packet, after start %d had sent a heartbeat %.0f ms after the last one of start %d", l.ReportedStart, l.AgeMS, l.Start)
	// Builds up to c9ab9af reset flows on these two alone.
	case l.Message == endedMessage && l.Proof == "other-start":
		return fmt.Sprintf("start %d of the upstream sent a heartbeat %.0f ms after the last one of start %d", l.ReportedStart, l.AgeMS, l.Start)
	case l.Message == endedMessage && l.Proof == "connection-refused":
		return "the upstream's address refused a connection, " + l.lastHeartbeat()
	case l.Message == endedMessage && l.Proof == "deregistered":
		return "the upstream deregistered, " + l.lastHeartbeat()
	case l.Proof == "returned-by-owner":
		return fmt.Sprintf("agent %s returned a packet of it %.0f ms after it had reported %s, the flow was recorded with start %d%s", l.Agent, l.AgeMS, l.reported(), l.Start, recalled)
	case l.Proof == "other-start":
		return fmt.Sprintf("agent %s reported start %d, the flow was recorded with start %d%s, %.0f ms before", l.Agent, l.ReportedStart, l.Start, recalled, l.AgeMS)
	case l.Proof == "no-upstream-runs":
		return fmt.Sprintf("agent %s reported that no upstream runs, the flow was recorded with start %d%s, %.0f ms before", l.Agent, l.Start, recalled, l.AgeMS)
	case l.Proof == "complete-search":
		return fmt.Sprintf("none of %d agents holds the flow, the flow holders are complete through configuration %d, the oldest report was %.0f ms old", l.Tried, l.Through, l.AgeMS)
	case l.Proof == "not-routed":
		return fmt.Sprintf("configuration %d has no route for it, which was verified %.0f ms before", l.Config, l.AgeMS)
	case l.Proof == "not-open":
		return "no agent had accepted the opening"
	default:
		return "proof " + l.Proof
	}
}

// reported describes the upstream that an agent has reported.
func (l Line) reported() string {
	if l.ReportedStart == 0 {
		return "that no upstream runs"
	}
	return fmt.Sprintf("start %d of its upstream", l.ReportedStart)
}

// lastHeartbeat describes the last heartbeat before the reset of a flow by an agent.
func (l Line) lastHeartbeat() string {
	if l.Start == 0 {
		return "no heartbeat had arrived"
	}
	return fmt.Sprintf("%.0f ms after the last heartbeat of start %d", l.AgeMS, l.Start)
}

// countProofs returns the outcomes with a proof by proof and cause, the most frequent first.
func countProofs(outcomes []Outcome) []ProofCount {
	type key struct {
		proof string
		cause Cause
	}
	counts := make(map[key]ProofCount)
	for _, o := range outcomes {
		if o.Line.Proof == "" {
			continue
		}
		k := key{o.Line.Proof, o.Cause}
		c := counts[k]
		c.Proof, c.Cause = k.proof, k.cause
		c.Flows++
		if o.Line.Recalled {
			c.Recalled++
		}
		c.OldestMS = max(c.OldestMS, o.Line.AgeMS)
		counts[k] = c
	}
	var out []ProofCount
	for _, c := range counts {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b ProofCount) int {
		return cmp.Or(cmp.Compare(b.Flows, a.Flows), cmp.Compare(a.Proof, b.Proof), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}
