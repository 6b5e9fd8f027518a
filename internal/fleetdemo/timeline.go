package fleetdemo

import (
	"context"
	"fmt"
	"html/template"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// sampleInterval is the time between the samples of a report.
	sampleInterval = 500 * time.Millisecond
	// maxSampleDelay is the delay of a sample from which the report names a pause of the run
	// itself, with its upstreams and callers: the machine is overloaded or was suspended.
	maxSampleDelay = 500 * time.Millisecond
)

// The size of a plot in pixels.
const (
	plotWidth  = 960
	plotHeight = 240
)

type (
	// timeline collects the samples and faults of a run for its report.
	timeline struct {
		mu      sync.Mutex
		begin   time.Time
		samples []sample
		marks   []faultMark
		onPause func() // is called after a pause of this process, nil if nobody needs to know
	}

	// sample is the state of a run at one moment.
	sample struct {
		at     time.Duration // since the start of the run
		counts Report        // since the start of the run
		flows  []int         // of each upstream
	}

	// faultMark is a fault with its time since the start of the run.
	faultMark struct {
		at    time.Duration
		fault string
	}

	// page is the data of the report's template.
	page struct {
		Title      string
		Width      int
		Height     int
		Served     string // points of the polyline of the share of requests answered
		Marks      []plotMark
		Flows      []plotLine
		Counts     Report
		Verdict    string
		FlowsLimit int // top of the plot of flows
	}

	plotMark struct {
		X     float64
		At    string
		Fault string
	}

	plotLine struct {
		Points string
		Color  string
		Name   string
	}
)

var colors = []string{"#1f77b4", "#ff7f0e", "#2ca02c", "#d62728", "#9467bd", "#8c564b", "#e377c2", "#7f7f7f", "#bcbd22", "#17becf"}

// addFault adds a fault that begins now.
func (t *timeline) addFault(fault string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.marks = append(t.marks, faultMark{at: time.Since(t.begin), fault: fault})
}

// faults returns the faults with their times, in order.
func (t *timeline) faults() []timedFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []timedFault
	for _, m := range t.marks {
		out = append(out, timedFault{t.begin.Add(m.at), m.fault})
	}
	return out
}

// recordDelay records a pause of this process if a sample is later than maxSampleDelay.
func (t *timeline) recordDelay(d time.Duration) {
	if d > maxSampleDelay {
		t.addFault(fmt.Sprintf("the soak itself was paused, for up to %s", d))
		if t.onPause != nil {
			t.onPause()
		}
	}
}

// recordSamples adds a sample every sampleInterval until the context ends.
func (t *timeline) recordSamples(ctx context.Context, c *callers, upstreams []*upstream) {
	for last := time.Now(); sleep(ctx, sampleInterval) == nil; last = time.Now() {
		t.recordDelay(time.Since(last) - sampleInterval)
		s := sample{counts: c.report()}
		for _, u := range upstreams {
			s.flows = append(s.flows, u.flowCount())
		}
		t.mu.Lock()
		s.at = time.Since(t.begin)
		t.samples = append(t.samples, s)
		t.mu.Unlock()
	}
}

// writeReport writes an HTML page without external resources: the share of
// requests answered over time with the faults, and the flows of each upstream.
// failure is the error of the run, nil if it passed. It returns an error if there
// is no sample.
func (t *timeline) writeReport(w io.Writer, title string, counts Report, failure error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := page{Title: title, Width: plotWidth, Height: plotHeight, Counts: counts, Verdict: "all promises were kept"}
	if failure != nil {
		p.Verdict = failure.Error()
	}
	if len(t.samples) == 0 {
		return errors.New("report: the run was too short for a sample")
	}
	span := t.samples[len(t.samples)-1].at
	x := func(at time.Duration) float64 { return plotWidth * at.Seconds() / span.Seconds() }
	p.Served = t.servedPoints(x)
	for _, m := range t.marks {
		p.Marks = append(p.Marks, plotMark{X: x(m.at), At: fmt.Sprintf("%.1f s", m.at.Seconds()), Fault: m.fault})
	}
	p.Flows, p.FlowsLimit = t.flows(x)
	return reportPage.Execute(w, p)
}

// servedPoints returns the points of the share of requests answered in each
// sample interval, 1 if none ended in it. x converts a time since the start of
// the run to pixels.
func (t *timeline) servedPoints(x func(time.Duration) float64) string {
	var points strings.Builder
	var last Report
	for _, s := range t.samples {
		answered, lost := s.counts.Answered-last.Answered, s.counts.Lost-last.Lost
		last = s.counts
		share := 1.0
		if answered+lost > 0 {
			share = float64(answered) / float64(answered+lost)
		}
		fmt.Fprintf(&points, "%.1f,%.1f ", x(s.at), plotHeight*(1-share))
	}
	return points.String()
}

// flows returns the plot line of each upstream, and the largest number of flows
// of an upstream, at least 1. x is as for servedPoints.
func (t *timeline) flows(x func(time.Duration) float64) ([]plotLine, int) {
	maxFlows := 1
	for _, s := range t.samples {
		for _, n := range s.flows {
			maxFlows = max(maxFlows, n)
		}
	}
	lines := make([]plotLine, len(t.samples[0].flows))
	for u := range lines {
		var points strings.Builder
		for _, s := range t.samples {
			fmt.Fprintf(&points, "%.1f,%.1f ", x(s.at), plotHeight*(1-float64(s.flows[u])/float64(maxFlows)))
		}
		lines[u] = plotLine{Points: points.String(), Color: colors[u%len(colors)], Name: fmt.Sprintf("u-%d", u)}
	}
	return lines, maxFlows
}

var reportPage = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em}svg{border:1px solid #ccc}td,th{padding:0 1em 0 0;text-align:left}</style></head><body>
<h1>{{.Title}}</h1>
<p><strong>{{.Verdict}}</strong></p>
<p>{{.Counts.Requests}} requests, {{.Counts.Answered}} answered, {{.Counts.Lost}} lost; {{.Counts.Resets}} flows reset, {{.Counts.Broken}} of them with a living upstream.</p>
<h2>Share of requests answered, 0 to 1, and faults</h2>
<svg width="{{.Width}}" height="{{.Height}}">
{{- $h := .Height}}{{range .Marks}}
<line x1="{{.X}}" x2="{{.X}}" y1="0" y2="{{$h}}" stroke="#f3b0b0"><title>{{.At}} {{.Fault}}</title></line>{{end}}
<polyline points="{{.Served}}" fill="none" stroke="#1f77b4" stroke-width="2"/></svg>
<h2>Flows at each upstream, 0 to {{.FlowsLimit}}</h2>
<svg width="{{.Width}}" height="{{.Height}}">{{range .Flows}}
<polyline points="{{.Points}}" fill="none" stroke="{{.Color}}"><title>{{.Name}}</title></polyline>{{end}}</svg>
<h2>Faults</h2>
<table><tr><th>time</th><th>fault</th></tr>{{range .Marks}}
<tr><td>{{.At}}</td><td>{{.Fault}}</td></tr>{{end}}</table>
</body></html>
`))
