package fleetdemo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	defaultEntries   = 3
	defaultUpstreams = 4
	// MaxEntries and MostUpstreams are what the addresses leave room for.
	MaxEntries   = firstUpstream - firstEntry
	MaxUpstreams = callerHost - firstUpstream
	// startup bounds the start of a few hundred processes.
	startup  = 30 * time.Second
	drainFor = 1500 * time.Millisecond
	pause    = time.Second
)

type (
	// Config holds the choices of a run.
	Config struct {
		// Seed fixes what is random in the upstreams.
		Seed uint64
		// Network is the third number of the loopback addresses.
		Network byte
		// Callers is how many flows are kept open.
		Callers int
		// Entries and Upstreams are how many of them run; 0 is 3 and 4.
		Entries, Upstreams int
		// Out receives a line for each step.
		Out io.Writer
		Log *zap.Logger
	}

	// Report is what the callers saw.
	Report struct {
		Requests int `json:"asked"`
		Answered int `json:"answered"`
		Lost     int `json:"lost"`
		Resets   int `json:"resets"`
		// Broken counts resets of flows that a living upstream held.
		Broken int `json:"broken"`
		// FirstFlow is the first flow that a caller opened, as the logs name it.
		FirstFlow  string         `json:"first-flow"`
		StoreCalls map[string]int `json:"calls-to-the-store"`
	}
)

// Run starts a site, replaces one upstream and all entries one after the other
// while callers keep their flows open, and reports what the callers saw.
func Run(ctx context.Context, c Config) (Report, error) {
	s, err := newSite(c.Network, c.Log)
	if err != nil {
		return Report{}, err
	}
	defer s.server.Close()
	r := newRunner(c, s)
	defer r.cleanUp()
	if err := r.start(ctx); err != nil {
		return Report{}, err
	}
	if err := r.steps(ctx); err != nil {
		return Report{}, err
	}
	return r.stop()
}

// runner holds what a run has started.
type runner struct {
	config    Config
	site      *site
	callers   *callers
	timeline  timeline
	upstreams []*upstream
	cancel    context.CancelFunc
	ends      []chan error
}

func newRunner(c Config, s *site) *runner {
	if c.Entries == 0 {
		c.Entries = defaultEntries
	}
	if c.Upstreams == 0 {
		c.Upstreams = defaultUpstreams
	}
	return &runner{config: c, site: s}
}

func (r *runner) say(format string, args ...any) {
	fmt.Fprintf(r.config.Out, format+"\n", args...)
}

func (r *runner) goes(f func() error) {
	done := make(chan error, 1)
	r.ends = append(r.ends, done)
	go func() { done <- f() }()
}

func (r *runner) start(ctx context.Context) error {
	for n := range r.config.Upstreams {
		u, err := r.site.startUpstream(n, r.config.Seed)
		if err != nil {
			return err
		}
		r.upstreams = append(r.upstreams, u)
	}
	for n := range r.config.Entries {
		if _, err := r.site.startEntry(r.site.host(byte(firstEntry + n))); err != nil {
			return err
		}
	}
	work, cancel := context.WithCancel(ctx)
	r.cancel = cancel
	r.goes(func() error { r.site.probe(work); return nil })
	for end := time.Now().Add(startup); r.site.readyEntries() < r.config.Entries; time.Sleep(probeEvery / 5) {
		if time.Now().After(end) {
			return errors.Errorf("%d of %d entries are ready after %s", r.site.readyEntries(), r.config.Entries, startup)
		}
	}
	r.say("%d entries are ready before %d upstreams", r.config.Entries, r.config.Upstreams)
	c, err := newCallers(r.site)
	if err != nil {
		return err
	}
	r.callers = c
	r.goes(c.receive)
	r.timeline.begin = time.Now()
	upstreams := slices.Clone(r.upstreams)
	r.goes(func() error { r.timeline.watch(work, c, upstreams); return nil })
	for range r.config.Callers {
		r.goes(func() error { return c.run(work) })
	}
	return nil
}

// steps replaces an upstream and the entries.
func (r *runner) steps(ctx context.Context) error {
	if err := sleep(ctx, pause); err != nil {
		return err
	}
	fresh, err := r.site.startUpstream(r.config.Upstreams, r.config.Seed)
	if err != nil {
		return err
	}
	r.upstreams = append(r.upstreams, fresh)
	r.say("upstream %s joins, %s drains and leaves", fresh.id, r.upstreams[0].id)
	old := r.upstreams[0]
	r.upstreams = r.upstreams[1:]
	if err := old.leave(drainFor); err != nil {
		return err
	}
	for n := range r.config.Entries {
		host := r.site.host(byte(firstEntry + n))
		r.say("entry %s is replaced", host)
		if err := r.replace(n); err != nil {
			return err
		}
		if err := sleep(ctx, pause); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) replace(n int) error {
	host := r.site.host(byte(firstEntry + n))
	r.site.mu.Lock()
	var stop func() error
	for _, e := range r.site.entries {
		if e.address == host {
			stop = e.stop
		}
	}
	r.site.mu.Unlock()
	if err := stop(); err != nil {
		return err
	}
	_, err := r.site.startEntry(host)
	return err
}

// stop ends the callers and reports.
func (r *runner) stop() (Report, error) {
	r.cancel()
	err := r.callers.conn.Close()
	for _, done := range r.ends {
		err = errors.Join(err, <-done)
	}
	r.ends = nil
	report := r.callers.seen()
	report.StoreCalls = r.site.store.Calls()
	return report, err
}

// cleanUp ends what still runs.
func (r *runner) cleanUp() {
	if r.cancel != nil {
		r.cancel()
	}
	var stops []func() error
	for _, u := range r.upstreams {
		stops = append(stops, u.stop)
	}
	for _, e := range r.site.entries {
		stops = append(stops, e.stop)
	}
	var all sync.WaitGroup
	for _, stop := range stops {
		all.Go(func() {
			if err := stop(); err != nil {
				r.config.Log.Warn("not stopped", zap.Error(err))
			}
		})
	}
	all.Wait()
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
