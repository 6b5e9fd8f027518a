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

// sampleEvery is the interval of the samples that a report draws.
const sampleEvery = 500 * time.Millisecond

// The size of the drawing in pixels.
const (
	plotWidth  = 960
	plotHeight = 240
)

type (
	// timeline is what a run was like over time, for its report.
	timeline struct {
		mu      sync.Mutex
		begin   time.Time
		samples []sample
		marks   []mark
	}

	// sample is the state at a moment.
	sample struct {
		at     time.Duration
		counts Report
		flows  []int // of each upstream
	}

	// mark is a fault.
	mark struct {
		at   time.Duration
		what string
	}

	// page is what the report's template shows.
	page struct {
		Title      string
		Width      int
		Height     int
		Served     string // points of the line of the share served
		Marks      []pageMark
		Flows      []pageLine
		Counts     Report
		Verdict    string
		FlowsLimit int
	}

	pageMark struct {
		X    float64
		At   string
		What string
	}

	pageLine struct {
		Points string
		Color  string
		Name   string
	}
)

var colors = []string{"#1f77b4", "#ff7f0e", "#2ca02c", "#d62728", "#9467bd", "#8c564b", "#e377c2", "#7f7f7f", "#bcbd22", "#17becf"}

// note marks a fault.
func (t *timeline) note(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.marks = append(t.marks, mark{at: time.Since(t.begin), what: what})
}

// watch samples a run until the context ends.
func (t *timeline) watch(ctx context.Context, c *callers, upstreams []*upstream) {
	for sleep(ctx, sampleEvery) == nil {
		s := sample{counts: c.seen()}
		for _, u := range upstreams {
			s.flows = append(s.flows, u.count())
		}
		t.mu.Lock()
		s.at = time.Since(t.begin)
		t.samples = append(t.samples, s)
		t.mu.Unlock()
	}
}

// write writes a page that needs nothing else: the share served over time with
// the faults, and the flows of each upstream.
func (t *timeline) write(w io.Writer, title string, counts Report, verdict error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := page{Title: title, Width: plotWidth, Height: plotHeight, Counts: counts, Verdict: "all promises were kept"}
	if verdict != nil {
		p.Verdict = verdict.Error()
	}
	if len(t.samples) == 0 {
		return errors.New("report: the run was too short")
	}
	span := t.samples[len(t.samples)-1].at
	x := func(at time.Duration) float64 { return plotWidth * at.Seconds() / span.Seconds() }
	p.Served = t.served(x)
	for _, m := range t.marks {
		p.Marks = append(p.Marks, pageMark{X: x(m.at), At: fmt.Sprintf("%.1f s", m.at.Seconds()), What: m.what})
	}
	p.Flows, p.FlowsLimit = t.flows(x)
	return reportPage.Execute(w, p)
}

// served returns the points of the share of requests answered in each interval.
func (t *timeline) served(x func(time.Duration) float64) string {
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

// flows returns a line for each upstream, and the largest number of flows.
func (t *timeline) flows(x func(time.Duration) float64) ([]pageLine, int) {
	most := 1
	for _, s := range t.samples {
		for _, n := range s.flows {
			most = max(most, n)
		}
	}
	lines := make([]pageLine, len(t.samples[0].flows))
	for u := range lines {
		var points strings.Builder
		for _, s := range t.samples {
			fmt.Fprintf(&points, "%.1f,%.1f ", x(s.at), plotHeight*(1-float64(s.flows[u])/float64(most)))
		}
		lines[u] = pageLine{Points: points.String(), Color: colors[u%len(colors)], Name: fmt.Sprintf("u-%d", u)}
	}
	return lines, most
}

var reportPage = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em}svg{border:1px solid #ccc}td,th{padding:0 1em 0 0;text-align:left}</style></head><body>
<h1>{{.Title}}</h1>
<p><strong>{{.Verdict}}</strong></p>
<p>{{.Counts.Asked}} requests, {{.Counts.Answered}} answered, {{.Counts.Lost}} lost; {{.Counts.Resets}} flows reset, {{.Counts.Broken}} of them with a living upstream.</p>
<h2>Share of requests answered, 0 to 1, and faults</h2>
<svg width="{{.Width}}" height="{{.Height}}">
{{- $h := .Height}}{{range .Marks}}
<line x1="{{.X}}" x2="{{.X}}" y1="0" y2="{{$h}}" stroke="#f3b0b0"><title>{{.At}} {{.What}}</title></line>{{end}}
<polyline points="{{.Served}}" fill="none" stroke="#1f77b4" stroke-width="2"/></svg>
<h2>Flows at each upstream, 0 to {{.FlowsLimit}}</h2>
<svg width="{{.Width}}" height="{{.Height}}">{{range .Flows}}
<polyline points="{{.Points}}" fill="none" stroke="{{.Color}}"><title>{{.Name}}</title></polyline>{{end}}</svg>
<h2>Faults</h2>
<table><tr><th>at</th><th>what</th></tr>{{range .Marks}}
<tr><td>{{.At}}</td><td>{{.What}}</td></tr>{{end}}</table>
</body></html>
`))
