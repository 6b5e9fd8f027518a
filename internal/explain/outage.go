package explain

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Outage is a time in which a process did not run, or did without the store.
type Outage struct {
	Process string
	From    time.Time
	// To is zero if the end is not in the logs.
	To   time.Time
	Kind string
}

const (
	// Killed: the next line is that of a new start.
	Killed = "killed"
	// Stopped: the process ended as it was told to.
	Stopped = "stopped"
	// WithoutStore: the store did not answer.
	WithoutStore = "without the store"
)

// outages returns the outages in the logs, in order of time.
func (l *Logs) outages() []Outage {
	var out []Outage
	last := make(map[string]Line)
	storeLost := make(map[string]time.Time)
	for _, line := range l.all() {
		before, known := last[line.Process]
		last[line.Process] = line
		switch {
		case isStart(line):
			delete(storeLost, line.Process)
			if !known {
				continue
			}
			how := Killed
			if isStop(before) {
				how = Stopped
			}
			out = append(out, Outage{Process: line.Process, From: before.At, To: line.At, Kind: how})
		case line.Message == "store does not answer":
			if _, lost := storeLost[line.Process]; !lost {
				storeLost[line.Process] = line.At
			}
		case line.Message == "store answers again":
			if from, lost := storeLost[line.Process]; lost {
				out = append(out, Outage{Process: line.Process, From: from, To: line.At, Kind: WithoutStore})
				delete(storeLost, line.Process)
			}
		}
	}
	for process, line := range last {
		if isStop(line) {
			out = append(out, Outage{Process: process, From: line.At, Kind: Stopped})
		}
	}
	for process, from := range storeLost {
		out = append(out, Outage{Process: process, From: from, Kind: WithoutStore})
	}
	slices.SortFunc(out, func(a, b Outage) int {
		return cmp.Or(a.From.Compare(b.From), strings.Compare(a.Process, b.Process), strings.Compare(a.Kind, b.Kind))
	})
	return out
}

func isStart(l Line) bool { return l.Message == "entry started" || l.Message == "agent started" }
func isStop(l Line) bool  { return l.Message == "entry stopped" || l.Message == "agent stopped" }

// overlapping returns the outages that were on between two moments.
func overlapping(all []Outage, from, to time.Time) []Outage {
	var out []Outage
	for _, o := range all {
		if o.From.Before(to) && (o.To.IsZero() || o.To.After(from)) {
			out = append(out, o)
		}
	}
	return out
}
