package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/internal/settings"
	"hickoryhook.example/pkg/caller"
	"hickoryhook.example/pkg/member"
)

const (
	entryCount   = 3
	initialFlows = 80
	// laterFlows is the number of flows opened later, an equal share of them after each
	// replacement of an entry.
	laterFlows   = 60
	flowInterval = 100 * time.Millisecond
	// steadyTime is how long the flows run before and after the changes.
	steadyTime = time.Second
	// drainGrace is how long after the start of a drain new flows may still be
	// placed at the draining member.
	drainGrace = 3 * time.Second
	// maxUnanswered is how many of a flow's last datagrams may be unanswered before the
	// flow counts as broken.
	maxUnanswered = 20
	// viewSkew is about the time between the first and the last node receiving a change
	// of members.
	viewSkew = 300 * time.Millisecond
)

type (
	// Config configures Run.
	Config struct {
		// Seed seeds the random numbers.
		Seed uint64
	}

	// Result holds the counts of a run. The last four fields must be 0.
	Result struct {
		Flows             int `json:"flows"`
		Datagrams         int `json:"datagrams"`
		Answered          int `json:"answered"`
		EntriesReplaced   int `json:"entries-replaced"`
		BrokenFlows       int `json:"broken-flows"`
		MisroutedPackets  int `json:"misrouted-packets"`
		CrossAnswered     int `json:"cross-answered"`
		NewWorkAfterDrain int `json:"new-work-after-drain"`
	}

	// run is the state of one run.
	run struct {
		site    *site
		random  *rand.Rand
		flows   []*openFlow
		drained string    // name of the member that drains
		drainAt time.Time // when its drain started
	}

	// openFlow is a flow of a caller.
	openFlow struct {
		flow    *caller.Flow
		service string // name of the service
		opened  time.Time
	}
)

// Run starts the fabric, entries, agents and upstreams, opens flows, and replaces every
// entry while one upstream drains and another joins. It returns the counts of the flows.
func Run(ctx context.Context, cfg Config, log *zap.Logger) (Result, error) {
	siteCtx, stopSite := context.WithCancel(ctx)
	defer stopSite()
	s, err := newSite(siteCtx, cfg.Seed, entryCount, log)
	if err != nil {
		return Result{}, err
	}
	r := &run{site: s, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
	flowCtx, stopFlows := context.WithCancel(ctx)
	defer stopFlows()
	result, err := r.runScenario(flowCtx)
	stopFlows()
	if err != nil {
		return result, errors.Join(err, s.close())
	}
	if err := r.collectReports(&result); err != nil {
		return result, errors.Join(err, s.close())
	}
	return result, s.close()
}

// runScenario opens flows, drains a member, adds another, and replaces each entry.
func (r *run) runScenario(ctx context.Context) (Result, error) {
	var result Result
	if err := r.openFlows(ctx, initialFlows); err != nil {
		return result, err
	}
	if err := sleep(ctx, steadyTime); err != nil {
		return result, err
	}
	if err := r.drainAndJoin(ctx); err != nil {
		return result, err
	}
	for i := range entryCount {
		if err := r.replaceEntry(ctx, i); err != nil {
			return result, err
		}
		result.EntriesReplaced++
		if err := r.openFlows(ctx, laterFlows/entryCount); err != nil {
			return result, err
		}
	}
	return result, sleep(ctx, steadyTime)
}

// openFlows opens n flows to random services.
func (r *run) openFlows(ctx context.Context, n int) error {
	for range n {
		svc := &r.site.common.Services[r.random.IntN(len(r.site.common.Services))]
		token := fmt.Sprintf("flow-%d", len(r.flows)+1)
		f, err := caller.Dial(svc.VIP, token, flowInterval)
		if err != nil {
			return err
		}
		r.flows = append(r.flows, &openFlow{flow: f, service: svc.Name, opened: time.Now()})
		f.Start(ctx)
	}
	return nil
}

// drainAndJoin drains the first member of the first service, adds a member to that
// service and distributes the new view.
func (r *run) drainAndJoin(ctx context.Context) error {
	s := r.site
	svc := &s.common.Services[0]
	address, err := daemon.FreeAddress()
	if err != nil {
		return err
	}
	svc.Members[0].State = member.Draining.String()
	svc.Members = append(svc.Members, newMember(svc.Name, len(svc.Members), address))
	joined := svc.Members[len(svc.Members)-1].Name
	if err := s.startAgent(svc, joined); err != nil {
		return err
	}
	r.drained = svc.Members[0].Name
	r.drainAt = time.Now()
	s.log.Info("member draining", zap.String("member", r.drained), zap.String("joined", joined))
	return s.distributeView(ctx, svc)
}

// distributeView sets the members of a service at each node, one after the other, so
// that nodes have different views for up to viewSkew.
func (s *site) distributeView(ctx context.Context, svc *settings.Service) error {
	s.viewNumber++
	view := svc.View(s.viewNumber)
	step := viewSkew / time.Duration(len(s.agents)+len(s.entries))
	for _, a := range s.agents {
		a.SetView(view)
		if err := sleep(ctx, step); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		e.SetView(view)
		if err := sleep(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

// replaceEntry starts a new entry, removes the i-th old one from the fabric, and
// waits until that one has stopped.
func (r *run) replaceEntry(ctx context.Context, i int) error {
	s := r.site
	old := fmt.Sprintf("entry-%d", i+1)
	if err := s.startEntry(fmt.Sprintf("entry-%d", entryCount+i+1)); err != nil {
		return err
	}
	s.setFabricEntries(old)
	leaving := s.entries[old]
	err := leaving.Stop(ctx)
	delete(s.entries, old)
	return err
}

// collectReports waits for the end of the flows and adds their reports to the result. A
// flow is broken unless exactly one upstream answered it and at most maxUnanswered of its
// last datagrams are unanswered.
func (r *run) collectReports(result *Result) error {
	for _, f := range r.flows {
		report, err := f.flow.Wait()
		if err != nil {
			return err
		}
		result.Flows++
		result.Datagrams += report.Sent()
		result.Answered += report.Answered()
		result.CrossAnswered += report.CrossAnswered()
		if len(report.Upstreams()) != 1 || report.Unanswered() > maxUnanswered {
			result.BrokenFlows++
			r.site.log.Warn("broken flow",
				zap.String("flow", report.Token()),
				zap.Strings("upstreams", report.Upstreams()),
				zap.Int("unanswered", report.Unanswered()))
		}
		r.countMisplaced(f, report, result)
	}
	return nil
}

// countMisplaced counts the upstreams that answered the flow although they belong to
// another service, or had been draining for longer than drainGrace when it opened.
func (r *run) countMisplaced(f *openFlow, report caller.Report, result *Result) {
	for _, name := range report.Upstreams() {
		if !strings.HasPrefix(name, f.service+"-") {
			result.MisroutedPackets++
		}
		if name == r.drained && f.opened.After(r.drainAt.Add(drainGrace)) {
			result.NewWorkAfterDrain++
		}
	}
}

// sleep returns after d, or with an error when the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
