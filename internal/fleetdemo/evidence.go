package fleetdemo

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hickoryhook.example/internal/explain"
)

// The limits of what is printed about the incidents of a run.
const (
	maxIncidents        = 5
	maxFaultLines       = 25 // that precede an incident
	maxFlowLines        = 30
	maxProcessLines     = 12
	maxProcesses        = 4 // that handled the flow
	maxOutages          = 10
	beforeIncident      = 4 * time.Second // of the lines of processes
	afterIncident       = 100 * time.Millisecond
	logFilePattern      = "*.log"
	omittedLinesMessage = "(%d earlier lines omitted)\n"
)

type (
	// incident is a flow that a soak reports: it was reset while its upstream was running, or
	// its request ran again or was lost.
	incident struct {
		at   time.Time
		flow string // as in the logs
		// process is the address of the entry or agent that is responsible, empty if unknown.
		process string
		text    string
	}

	// incidents holds the first incidents of a run. The zero value is empty and ready to use.
	incidents struct {
		mu   sync.Mutex
		list []incident
	}

	// timedFault is a fault with its time.
	timedFault struct {
		at    time.Time
		fault string
	}
)

// add adds an incident unless there are maxIncidents.
func (i *incidents) add(added incident) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.list) < maxIncidents {
		i.list = append(i.list, added)
	}
}

// first returns the first incidents.
func (i *incidents) first() []incident {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.list)
}

// writeEvidence prints of each incident the faults before it, what the logs in dir tell of the
// flow, and the lines of the processes that handled it from that time.
func writeEvidence(w io.Writer, dir string, incidents []incident, faults []timedFault) error {
	if len(incidents) == 0 {
		return nil
	}
	logs, err := readLogs(dir)
	if err != nil {
		return err
	}
	for _, i := range incidents {
		fmt.Fprintf(w, "\n%s\nfaults before it:\n", i.text)
		n, _ := slices.BinarySearchFunc(faults, i.at, func(f timedFault, at time.Time) int { return f.at.Compare(at) })
		for _, f := range last(w, faults[:n], maxFaultLines) {
			fmt.Fprintf(w, "%s %s\n", f.at.Format(timeFormat), f.fault)
		}
		fmt.Fprintln(w, "lines of the flow:")
		report := logs.Flow(i.flow)
		processes := []string{i.process}
		for _, line := range report.Lines {
			processes = append(processes, line.Process)
		}
		report.Lines = last(w, report.Lines, maxFlowLines)
		report.Outages = report.Outages[:min(len(report.Outages), maxOutages)]
		if err := report.Write(w); err != nil {
			return errors.Wrap(err, "write lines of a flow")
		}
		writeProcessLines(w, logs, processes, i.at)
	}
	return nil
}

// writeProcessLines prints the lines of the first processes that are not about a flow, around
// a time.
func writeProcessLines(w io.Writer, logs *explain.Logs, processes []string, at time.Time) {
	var written []string
	for _, p := range processes {
		if p == "" || slices.Contains(written, p) || len(written) == maxProcesses {
			continue
		}
		written = append(written, p)
		fmt.Fprintf(w, "other lines of %s:\n", p)
		for _, line := range last(w, logs.ProcessLines(p, at.Add(-beforeIncident), at.Add(afterIncident)), maxProcessLines) {
			fmt.Fprintln(w, line.Text)
		}
	}
}

// last returns the last n values and prints how many precede them.
func last[T any](w io.Writer, all []T, n int) []T {
	if len(all) <= n {
		return all
	}
	fmt.Fprintf(w, omittedLinesMessage, len(all)-n)
	return all[len(all)-n:]
}

// readLogs reads the logs of the processes in a directory.
func readLogs(dir string) (*explain.Logs, error) {
	paths, err := filepath.Glob(filepath.Join(dir, logFilePattern))
	if err != nil {
		return nil, errors.Wrap(err, "list logs")
	}
	logs := new(explain.Logs)
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		if err := errors.Join(logs.Read(file), file.Close()); err != nil {
			return nil, err
		}
	}
	return logs, nil
}
