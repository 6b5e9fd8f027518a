// Package explain reads the log lines that entries and agents write, and
// determines how each flow ended and why.
//
// # Usage
//
//	var l explain.Logs
//	l.Read(file)                 // once for each file, in any order
//	l.Summary().Write(os.Stdout) // flows by cause, and outages of processes
//	l.Flow(name).Write(os.Stdout)
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"hickoryhook.example/internal/daemon"
)

// maxLineBytes is the longest line that Read accepts: 100 times the longest
// that the processes write.
const maxLineBytes = 64 << 10

var errNoMessage = errors.New("log line without a message")

type (
	// Line is one log line. Fields that a line does not have are zero.
	Line struct {
		At       time.Time `json:"-"`
		Message  string    `json:"msg"`
		Process  string    `json:"node"`
		Flow     string    `json:"flow"`
		Agent    string    `json:"agent"`    // address of the agent that was chosen or answered, or has started
		Entry    string    `json:"entry"`    // address of the entry that sent a frame or that the line is about
		Upstream string    `json:"upstream"` // id
		Load     float64   `json:"load"`     // load of the chosen agent in open flows per slot
		AgeMS    float64   `json:"age-ms"`   // age of the agent's report, or duration of the search
		Config   uint64    `json:"config"`   // version
		Tried    int       `json:"tried"`    // agents that were offered the flow or queried
		Error    string    `json:"error"`
		// Proof is what a reset rests on. Start is the start of the upstream that the flow
		// was recorded with, or for an agent's line "upstream" its present one, and
		// ReportedStart the one that was reported since. Recalled is set if the record was one
		// from before the entry's start. Through is the version of the configuration through
		// which the flow holders are complete.
		Proof         string `json:"proof"`
		Start         uint32 `json:"start"`
		ReportedStart uint32 `json:"reported-start"`
		Recalled      bool   `json:"recalled"`
		Through       uint64 `json:"through"`
		// Text is the whole JSON object.
		Text string `json:"-"`
	}

	// Logs holds the log lines of any number of processes. The zero value is
	// empty and ready to use.
	Logs struct {
		lines      []Line
		sorted     bool
		unreadable int
	}
)

// Read adds the lines of one file. Text before the first brace of a line, such
// as a collector's timestamp, is ignored. Empty lines are skipped; other lines that
// are not log lines are counted and skipped. Read returns an error if r fails or a
// line exceeds maxLineBytes.
func (l *Logs) Read(r io.Reader) error {
	l.sorted = false
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		if at := bytes.IndexByte(text, '{'); at > 0 {
			text = text[at:]
		}
		if len(text) == 0 {
			continue
		}
		line, err := decodeLine(text)
		if err != nil {
			l.unreadable++
			continue
		}
		l.lines = append(l.lines, line)
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read log lines")
	}
	return nil
}

// decodeLine decodes one log line. It returns an error if the text is not a JSON object
// with a message and a time.
func decodeLine(text []byte) (Line, error) {
	var decoded struct {
		Line
		Time string `json:"ts"`
	}
	if err := json.Unmarshal(text, &decoded); err != nil {
		return Line{}, errors.Wrap(err, "decode log line")
	}
	at, err := time.Parse(daemon.TimeLayout, decoded.Time)
	if err != nil {
		return Line{}, errors.Wrap(err, "decode time of log line")
	}
	if decoded.Message == "" {
		return Line{}, errNoMessage
	}
	line := decoded.Line
	line.At, line.Text = at.UTC(), string(text)
	return line, nil
}

// all returns the lines in order of time.
func (l *Logs) all() []Line {
	if !l.sorted {
		slices.SortStableFunc(l.lines, func(a, b Line) int { return a.At.Compare(b.At) })
		l.sorted = true
	}
	return l.lines
}

// ProcessLines returns the lines of a process from a time up to another one that are not about a
// flow, in order of time: its start and end, and what it learned of other processes.
func (l *Logs) ProcessLines(process string, from, to time.Time) []Line {
	var out []Line
	for _, line := range l.all() {
		if line.Process == process && line.Flow == "" && !line.At.Before(from) && line.At.Before(to) {
			out = append(out, line)
		}
	}
	return out
}

// leftOut returns the times at which processes reported that they had left out
// lines.
func (l *Logs) leftOut() []time.Time {
	var out []time.Time
	for _, line := range l.all() {
		if line.Message == daemon.LeftOutMessage {
			out = append(out, line.At)
		}
	}
	return out
}

// byFlow returns the lines of each flow in order of time.
func (l *Logs) byFlow() map[string][]Line {
	flows := make(map[string][]Line)
	for _, line := range l.all() {
		if line.Flow != "" {
			flows[line.Flow] = append(flows[line.Flow], line)
		}
	}
	return flows
}
