package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a run tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begun: time.Now()}, nil
}

// now returns the time since the start of the run.
func (r *record) now() time.Duration { return time.Since(r.begun) }

// add writes a line with the time.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}
