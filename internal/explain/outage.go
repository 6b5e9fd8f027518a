package explain

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Outage is a period in which a process did not run or could not reach the store.
type Outage struct {
	Process string
	// From is the time of the process's last line before it ended, or of the line
	// that reports the loss of the store.
	From time.Time
	// To is zero if the end is not in the logs.
	To time.Time
	// Kind is Killed, Stopped or WithoutStore.
	Kind string
}

const (
	// Killed: the process started again without having logged its stop.
	Killed = "killed"
	// Stopped: the process logged its stop, whether it was told to stop or one of
	// its tasks had ended.
	Stopped = "stopped"
	// WithoutStore: the process could not read or watch the configuration in the
	// store.
	WithoutStore = "without the store"

	agentStartedMessage = "agent started"
)

// outages returns the outages in the logs, in order of time. It omits the end of a
// process that neither logged its stop nor started again, and a loss of the store
// during which the process started again.
func (l *Logs) outages() []Outage {
	var out []Outage
	last := make(map[string]Line)
	storeLostAt := make(map[string]time.Time)
	for _, line := range l.all() {
		previous, known := last[line.Process]
		last[line.Process] = line
		switch {
		case isStart(line):
			delete(storeLostAt, line.Process)
			if !known {
				continue
			}
			kind := Killed
			if isStop(previous) {
				kind = Stopped
			}
			out = append(out, Outage{Process: line.Process, From: previous.At, To: line.At, Kind: kind})
		case line.Message == "store does not answer":
			if _, lost := storeLostAt[line.Process]; !lost {
				storeLostAt[line.Process] = line.At
			}
		case line.Message == "store answers again":
			if from, lost := storeLostAt[line.Process]; lost {
				out = append(out, Outage{Process: line.Process, From: from, To: line.At, Kind: WithoutStore})
				delete(storeLostAt, line.Process)
			}
		}
	}
	for process, line := range last {
		if isStop(line) {
			out = append(out, Outage{Process: process, From: line.At, Kind: Stopped})
		}
	}
	for process, from := range storeLostAt {
		out = append(out, Outage{Process: process, From: from, Kind: WithoutStore})
	}
	slices.SortFunc(out, func(a, b Outage) int {
		return cmp.Or(a.From.Compare(b.From), strings.Compare(a.Process, b.Process), strings.Compare(a.Kind, b.Kind))
	})
	return out
}

// isStart and isStop report whether a process logs the line when it has started
// or stopped.
func isStart(l Line) bool { return l.Message == "entry started" || l.Message == agentStartedMessage }
func isStop(l Line) bool  { return l.Message == "entry stopped" || l.Message == "agent stopped" }

// overlapping returns the outages that overlap the time between from and to.
func overlapping(all []Outage, from, to time.Time) []Outage {
	var out []Outage
	for _, o := range all {
		if o.From.Before(to) && (o.To.IsZero() || o.To.After(from)) {
			out = append(out, o)
		}
	}
	return out
}
