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
	// MaxEntries and MaxUpstreams are limited by the host addresses of a site. Run,
	// which adds an upstream, can start with one fewer than MaxUpstreams.
	MaxEntries   = firstUpstream - firstEntry
	MaxUpstreams = callerHost - firstUpstream
	// startupTimeout is enough for the start of a few hundred processes.
	startupTimeout = 30 * time.Second
	drainTime      = 1500 * time.Millisecond // of the upstream that Run replaces
	stepPause      = time.Second             // before the first step of Run and after each entry
)

type (
	// Config is the configuration of a run.
	Config struct {
		// Seed is the seed of the upstreams' initial sequence numbers and, in a
		// soak, of the faults.
		Seed uint64
		// Network is the third octet of the loopback addresses. If another run on this
		// machine uses it, the next one that is free is taken.
		Network byte
		// Callers is the number of flows that are kept open.
		Callers int
		// Entries and Upstreams are the numbers of both; 0 stands for 3 entries
		// and 4 upstreams.
		Entries, Upstreams int
		// Out receives a line for each step or fault.
		Out io.Writer
		Log *zap.Logger
	}

	// Report is the result of a run as the callers measured it.
	Report struct {
		Requests int `json:"asked"`
		Answered int `json:"answered"`
		// Lost counts the requests that were not answered: their flow could not be
		// opened or was reset, or exchangeTimeout passed.
		Lost int `json:"lost"`
		// Resets counts the resets of flows.
		Resets int `json:"resets"`
		// Broken counts the resets of flows that a running upstream held.
		Broken int `json:"broken"`
		// BrokenFlows says for each of them which process reset it, and when.
		BrokenFlows []string `json:"broken-flows,omitempty"`
		// OpenedWhileEvacuated counts the flows that upstreams of an evacuated failure
		// domain accepted after the bound.
		OpenedWhileEvacuated int `json:"opened-while-evacuated"`
		// OpenedWhileDraining counts the flows that upstreams accepted later than drainBound after
		// the acknowledgement of their draining.
		OpenedWhileDraining int `json:"opened-while-draining"`
		// Repeated counts the times that an upstream ran a request that had run before. Callers
		// send each request on one flow only.
		Repeated int `json:"repeated"`
		// Judged counts the openings whose configuration was judged, Outdated those that were
		// handled by one that is too old, see configJudge.
		Judged   int `json:"judged"`
		Outdated int `json:"outdated"`
		// FirstFlow is the flow that was opened first, in the form of the logs.
		FirstFlow string `json:"first-flow"`
		// StoreCalls counts the calls to the store by the first segment of their
		// path, including refused ones.
		StoreCalls map[string]int `json:"calls-to-the-store"`
	}
)

// Run starts a site, replaces one upstream and then all entries, one after the
// other, while callers keep their flows open, and returns the callers' results.
func Run(ctx context.Context, c Config) (report Report, err error) {
	s, err := newSite(c.Network, c.Log)
	if err != nil {
		return Report{}, err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	r := newRunner(c, s)
	defer r.cleanUp()
	if err := r.start(ctx); err != nil {
		return Report{}, err
	}
	if err := r.replaceAll(ctx); err != nil {
		return Report{}, err
	}
	return r.stop()
}

// runner is the state of a run.
type runner struct {
	config     Config
	site       *site
	callers    *callers
	timeline   timeline
	upstreams  []*upstream
	cancel     context.CancelFunc
	taskErrors []chan error // receives the error of each task at its end
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

// printf writes a line to Config.Out.
func (r *runner) printf(format string, args ...any) {
	fmt.Fprintf(r.config.Out, format+"\n", args...)
}

// startTask runs a task in a goroutine. stop waits for its end.
func (r *runner) startTask(f func() error) {
	done := make(chan error, 1)
	r.taskErrors = append(r.taskErrors, done)
	go func() { done <- f() }()
}

// start starts the upstreams and the entries, waits until all entries are in
// rotation, and starts the callers.
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
	taskCtx, cancel := context.WithCancel(ctx)
	r.cancel = cancel
	r.startTask(func() error { r.site.probe(taskCtx); return nil })
	for end := time.Now().Add(startupTimeout); r.site.readyEntries() < r.config.Entries; time.Sleep(probeInterval / 5) {
		if time.Now().After(end) {
			return errors.Errorf("only %d of %d entries are ready after %s", r.site.readyEntries(), r.config.Entries, startupTimeout)
		}
	}
	r.printf("%d entries are ready, with %d upstreams", r.config.Entries, r.config.Upstreams)
	c, err := newCallers(r.site)
	if err != nil {
		return err
	}
	r.callers = c
	r.startTask(c.receive)
	r.timeline.begin = time.Now()
	upstreams := slices.Clone(r.upstreams)
	r.startTask(func() error { r.timeline.recordSamples(taskCtx, c, upstreams); return nil })
	for range r.config.Callers {
		r.startTask(func() error { return c.run(taskCtx) })
	}
	return nil
}

// replaceAll replaces one upstream and then each entry.
func (r *runner) replaceAll(ctx context.Context) error {
	if err := sleep(ctx, stepPause); err != nil {
		return err
	}
	added, err := r.site.startUpstream(r.config.Upstreams, r.config.Seed)
	if err != nil {
		return err
	}
	r.upstreams = append(r.upstreams, added)
	r.printf("upstream %s starts, %s drains and stops", added.name, r.upstreams[0].name)
	old := r.upstreams[0]
	r.upstreams = r.upstreams[1:]
	if err := old.drainAndStop(drainTime); err != nil {
		return err
	}
	for n := range r.config.Entries {
		host := r.site.host(byte(firstEntry + n))
		r.printf("entry %s is replaced", host)
		if err := r.replace(n); err != nil {
			return err
		}
		if err := sleep(ctx, stepPause); err != nil {
			return err
		}
	}
	return nil
}

// replace stops entry number n, from 0, and starts a new one on its host.
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

// stop stops the callers and the other tasks and returns the report.
func (r *runner) stop() (Report, error) {
	r.cancel()
	err := r.callers.conn.Close()
	for _, done := range r.taskErrors {
		err = errors.Join(err, <-done)
	}
	r.taskErrors = nil
	report := r.callers.report()
	report.OpenedWhileEvacuated, report.OpenedWhileDraining = r.site.openedWhileEvacuated(), r.site.openedWhileDraining()
	report.StoreCalls, report.Repeated = r.site.store.Calls(), r.site.requests.repeatedRuns()
	return report, err
}

// cleanUp cancels the tasks, stops the upstreams with their agents and the
// entries, and waits for the end of these processes.
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
				r.config.Log.Warn("process not stopped cleanly", zap.Error(err))
			}
		})
	}
	all.Wait()
}

// sleep waits for the duration d. It returns the context's error if that ends
// first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
