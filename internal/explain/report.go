package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	timeLayout = "15:04:05.000"
	// outageMargin is how long before and after a flow's lines an outage may have
	// to do with it: more than the routers need to notice an entry's end.
	outageMargin = 2 * time.Second
)

type (
	// Summary counts flows by what became of them.
	Summary struct {
		Flows      int
		Causes     []CauseCount
		Outages    []Outage
		Unreadable int
	}

	// CauseCount is how many flows ended by a cause, and the first of them.
	CauseCount struct {
		Cause Cause
		Flows int
		First Outcome
	}

	// FlowReport is what the logs know of one flow.
	FlowReport struct {
		Outcome Outcome
		Lines   []Line
		Outages []Outage
	}
)

// Summary returns the flows of the logs by cause, the most frequent first.
func (l *Logs) Summary() Summary {
	flows, leftOut := l.byFlow(), l.leftOut()
	counts := make(map[Cause]*CauseCount)
	for _, flow := range slices.Sorted(maps.Keys(flows)) {
		v := determineOutcome(flow, flows[flow], leftOut)
		if v.Cause == "" {
			continue
		}
		c := counts[v.Cause]
		if c == nil {
			c = &CauseCount{Cause: v.Cause, First: v}
			counts[v.Cause] = c
		}
		c.Flows++
		if v.At.Before(c.First.At) {
			c.First = v
		}
	}
	s := Summary{Flows: len(flows), Outages: l.outages(), Unreadable: l.unreadable}
	for _, c := range counts {
		s.Causes = append(s.Causes, *c)
	}
	slices.SortFunc(s.Causes, func(a, b CauseCount) int {
		return cmp.Or(cmp.Compare(b.Flows, a.Flows), cmp.Compare(a.Cause, b.Cause))
	})
	return s
}

// Flow returns what the logs know of a flow, named as in the lines. Without
// lines it has none.
func (l *Logs) Flow(name string) FlowReport {
	lines := l.byFlow()[name]
	s := FlowReport{Outcome: determineOutcome(name, lines, l.leftOut()), Lines: lines}
	if len(lines) > 0 {
		s.Outages = overlapping(l.outages(), lines[0].At.Add(-outageMargin), lines[len(lines)-1].At.Add(outageMargin))
	}
	return s
}

// Write prints a summary.
func (s Summary) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	bad := 0
	for _, c := range s.Causes {
		bad += c.Flows
	}
	fmt.Fprintf(t, "%d flows, %d with a bad end; %d lines could not be read\n", s.Flows, bad, s.Unreadable)
	if bad > 0 {
		fmt.Fprintf(t, "\ncause\tflows\tfirst\tat\tflow\n")
	}
	for _, c := range s.Causes {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\n", c.Cause, c.Flows, c.First.At.Format(timeLayout), c.First.Line.Process, c.First.Flow)
	}
	writeOutages(t, s.Outages)
	return t.Flush()
}

// Write prints the story of a flow.
func (s FlowReport) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, line := range s.Lines {
		fmt.Fprintln(t, line.Text)
	}
	switch {
	case len(s.Lines) == 0:
		fmt.Fprintf(t, "no line about flow %s: its packets reached no entry, or lines were left out\n", s.Outcome.Flow)
	case s.Outcome.Cause == "":
		fmt.Fprintf(t, "nothing went wrong that the lines tell of\n")
	default:
		fmt.Fprintf(t, "cause: %s at %s, told by %s\n", s.Outcome.Cause, s.Outcome.At.Format(timeLayout), s.Outcome.Line.Process)
	}
	writeOutages(t, s.Outages)
	return t.Flush()
}

// writeOutages prints outages; errors show when the writer is flushed.
func writeOutages(w io.Writer, outages []Outage) {
	if len(outages) == 0 {
		return
	}
	fmt.Fprintf(w, "\nout\tfrom\tto\thow\n")
	for _, o := range outages {
		to := "-"
		if !o.To.IsZero() {
			to = o.To.Format(timeLayout)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", o.Process, o.From.Format(timeLayout), to, o.Kind)
	}
}
