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
	// outageMargin is how long before and after a flow's lines an outage is
	// still listed with it: more than the routers need to detect that an entry
	// has ended.
	outageMargin = 2 * time.Second
)

type (
	// Summary counts flows by the cause of their failure.
	Summary struct {
		Flows  int
		Causes []CauseCount
		Proofs []ProofCount
		// Contradicted are the flows whose reset a later line contradicts, in order of
		// time.
		Contradicted []Outcome
		Outages      []Outage
		Unreadable   int
	}

	// CauseCount is how many flows failed by a cause, and the first of them.
	CauseCount struct {
		Cause Cause
		Flows int
		First Outcome
	}

	// FlowReport is the outcome of one flow, its lines, and the outages around
	// them.
	FlowReport struct {
		Outcome Outcome
		Lines   []Line
		Outages []Outage
	}
)

// Summary returns the failed flows by cause, the most frequent cause first.
func (l *Logs) Summary() Summary {
	flows, leftOut, agents := l.byFlow(), l.leftOut(), l.starts()
	var failed, contradicted []Outcome
	counts := make(map[Cause]*CauseCount)
	for _, flow := range slices.Sorted(maps.Keys(flows)) {
		outcome := determineOutcome(flow, flows[flow], leftOut, agents)
		if outcome.Cause == "" {
			continue
		}
		failed = append(failed, outcome)
		if outcome.Contradiction.Message != "" {
			contradicted = append(contradicted, outcome)
		}
		c := counts[outcome.Cause]
		if c == nil {
			c = &CauseCount{Cause: outcome.Cause, First: outcome}
			counts[outcome.Cause] = c
		}
		c.Flows++
		if outcome.At.Before(c.First.At) {
			c.First = outcome
		}
	}
	slices.SortStableFunc(contradicted, func(a, b Outcome) int { return a.At.Compare(b.At) })
	s := Summary{Flows: len(flows), Proofs: countProofs(failed), Contradicted: contradicted, Outages: l.outages(), Unreadable: l.unreadable}
	for _, c := range counts {
		s.Causes = append(s.Causes, *c)
	}
	slices.SortFunc(s.Causes, func(a, b CauseCount) int {
		return cmp.Or(cmp.Compare(b.Flows, a.Flows), cmp.Compare(a.Cause, b.Cause))
	})
	return s
}

// Flow returns the report of a flow, given its name as in the log lines. If no
// line is about the flow, the report has no lines, cause or outages.
func (l *Logs) Flow(name string) FlowReport {
	lines := l.byFlow()[name]
	report := FlowReport{Outcome: determineOutcome(name, lines, l.leftOut(), l.starts()), Lines: lines}
	if len(lines) > 0 {
		report.Outages = overlapping(l.outages(), lines[0].At.Add(-outageMargin), lines[len(lines)-1].At.Add(outageMargin))
	}
	return report
}

// Write prints the summary.
func (s Summary) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	failed := 0
	for _, c := range s.Causes {
		failed += c.Flows
	}
	fmt.Fprintf(t, "%d flows, %d with a bad end; %d lines could not be read\n", s.Flows, failed, s.Unreadable)
	if failed > 0 {
		fmt.Fprintf(t, "\ncause\tflows\tfirst\tat\tflow\n")
	}
	for _, c := range s.Causes {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\n", c.Cause, c.Flows, c.First.At.Format(timeLayout), c.First.Line.Process, c.First.Flow)
	}
	if len(s.Proofs) > 0 {
		fmt.Fprintf(t, "\nproof\tcause\tflows\trecalled\toldest\n")
	}
	for _, p := range s.Proofs {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.0f ms\n", p.Proof, p.Cause, p.Flows, p.Recalled, p.OldestMS)
	}
	if len(s.Contradicted) > 0 {
		fmt.Fprintf(t, "\nreset although a later line shows the flow open: %d, first %s\n", len(s.Contradicted), s.Contradicted[0].Flow)
	}
	writeOutages(t, s.Outages)
	return t.Flush()
}

// Write prints the lines of the flow, its cause and the outages around it.
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
		fmt.Fprintf(t, "cause: %s at %s, told by %s", s.Outcome.Cause, s.Outcome.At.Format(timeLayout), s.Outcome.Line.Process)
		if basis := s.Outcome.Line.basis(); basis != "" {
			fmt.Fprintf(t, ": %s", basis)
		}
		fmt.Fprintln(t)
		if s.Outcome.Contradiction.Message != "" {
			fmt.Fprintf(t, "contradicted by: %s\n", s.Outcome.Contradiction.Text)
		}
	}
	writeOutages(t, s.Outages)
	return t.Flush()
}

// writeOutages prints outages. Write errors are reported when the caller
// flushes the tabwriter.
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
