package fleet

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histograms cover latencies from 1 µs to 30 s, the longest deadline of
	// a caller, with two significant digits; each takes 20 KB. Unit of both
	// limits: microseconds.
	shortestLatency = 1
	longestLatency  = 30_000_000
	latencyDigits   = 2

	// maxCounters bounds the counters of a process. Some are named by the text of an
	// error, which may hold numbers from the message that caused it. otherCounts is the
	// counter of the names beyond.
	maxCounters = 256
	otherCounts = "other"

	// proofCounter, and the proof of a reset, is the name of the counter of such resets.
	proofCounter = "reset-by-proof-"

	// MetricsPort is the port on which a process of the platform serves its
	// metrics, at /debug/vars. deploy/system.toml names it, too.
	MetricsPort = 9402
)

type (
	// metrics counts events and records latencies by name. The zero value is
	// ready to use. It is safe for concurrent use.
	metrics struct {
		mu        sync.Mutex
		counts    map[string]int64
		latencies map[string]*hdrhistogram.Histogram
	}

	// latency summarizes a histogram: the number of recorded latencies, and
	// quantiles and the maximum in microseconds.
	latency struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50-us"`
		P90   int64 `json:"p90-us"`
		P99   int64 `json:"p99-us"`
		Max   int64 `json:"max-us"`
	}
)

// increment adds 1 to a counter, or to otherCounts if there are maxCounters already.
func (m *metrics) increment(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts == nil {
		m.counts = make(map[string]int64)
	}
	if _, ok := m.counts[name]; !ok && len(m.counts) >= maxCounters {
		name = otherCounts
	}
	m.counts[name]++
}

// recordLatency adds a latency to a histogram, limited to its range.
func (m *metrics) recordLatency(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.latencies[name]
	if h == nil {
		if m.latencies == nil {
			m.latencies = make(map[string]*hdrhistogram.Histogram)
		}
		h = hdrhistogram.New(shortestLatency, longestLatency, latencyDigits)
		m.latencies[name] = h
	}
	us := min(max(d.Microseconds(), shortestLatency), longestLatency)
	if err := h.RecordValue(us); err != nil {
		panic(err) // out of range, which min and max exclude
	}
}

// countsSnapshot returns a copy of the counters.
func (m *metrics) countsSnapshot() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]int64, len(m.counts))
	for k, v := range m.counts {
		out[k] = v
	}
	return out
}

// latenciesSnapshot returns summaries of the histograms.
func (m *metrics) latenciesSnapshot() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]latency, len(m.latencies))
	for name, h := range m.latencies {
		out[name] = latency{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Max: h.Max(),
		}
	}
	return out
}
