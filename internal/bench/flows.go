// Package bench implements the benchmarks and simulations of the verb bench:
// placement policies under load, flows while entries and members change, and
// the time per packet of the packet path. The first two simulate the environment
// of the production decision code with seeded random numbers; the last measures
// time, in part over loopback sockets.
//
// # Usage
//
//	result := bench.Flows(bench.DefaultFlowsConfig())
package bench

import (
	"io"
	"math/rand/v2"
	"time"

	"hickoryhook.example/internal/world"
	"hickoryhook.example/pkg/member"
)

const (
	// The flows open at random times within openingTime.
	openingTime = 5 * time.Second
	// settlePeriod is how long the flows run after the last change.
	settlePeriod = 20 * time.Second
	idleTimeout  = 20 * time.Second
	// The lifetimes of short flows are exponentially distributed.
	meanShortLifetime = 20 * time.Second
	shortFlowShare    = 0.3
	// feedShare is the share of the long flows on which the upstream pushes
	// datagrams.
	feedShare            = 0.2
	secondServiceMembers = 3
	// fabricDetectionDelay is the time until the fabric stops sending to a killed
	// entry.
	fabricDetectionDelay = 500 * time.Millisecond
	// memberDetectionDelay is the time until a killed upstream is removed from the
	// members.
	memberDetectionDelay = time.Second
	// convergenceTime is how long a stopped entry continues to forward datagrams.
	convergenceTime = 3 * time.Second
	// minReadyMembers is the number of ready upstreams of the main service at or below
	// which none is drained or killed. For drains the limit is higher with more than
	// five upstreams, see drain.
	minReadyMembers = 3
	// oldWeight is the weight of an upstream on an old machine, which has half the
	// speed.
	oldWeight = member.DefaultWeight / 2
)

type (
	// FlowsConfig configures Flows.
	FlowsConfig struct {
		Seed      uint64 `json:"seed"`
		Balancers int    `json:"balancers"` // number of entries
		Upstreams int    `json:"upstreams"` // members of the main service at the start
		Flows     int    `json:"open-flows"`
		Changes   int    `json:"changes"`
		Deaths    int    `json:"deaths"` // maximum number of upstreams to kill
		// Skew is the maximum delay until a node receives a change of members.
		Skew time.Duration `json:"-"`
		// Interval is the time between two changes.
		Interval time.Duration `json:"-"`
		// Loss is the probability that a message is lost.
		Loss    float64       `json:"loss"`
		Routing world.Routing `json:"policy"`
		// Trace and TraceFlow are passed to world.Config.
		Trace     io.Writer `json:"-"`
		TraceFlow uint64    `json:"-"`
	}

	// FlowsResult holds the results of Flows.
	FlowsResult struct {
		FlowsConfig
		SkewSeconds     float64 `json:"skew-seconds"`
		IntervalSeconds float64 `json:"interval-seconds"`
		world.Report
		// BaselineBrokenFlows is the number of flows broken with world.LocalTable
		// and the same seed.
		BaselineBrokenFlows int `json:"baseline-broken-flows"`
	}

	// flowsRun is one simulation.
	flowsRun struct {
		config  FlowsConfig
		world   *world.World
		random  *rand.Rand
		main    *world.Service
		other   *world.Service
		agents  []*world.Agent // of the main service
		entries []*world.Entry
	}
)

// DefaultFlowsConfig returns the configuration of the documented results.
func DefaultFlowsConfig() FlowsConfig {
	return FlowsConfig{
		Seed:      1,
		Balancers: 4,
		Upstreams: 7,
		Flows:     2000,
		Changes:   40,
		Skew:      2 * time.Second,
		Interval:  4 * time.Second,
		Routing:   world.HomeOwner,
	}
}

// Flows simulates flows while entries and members change, once with cfg.Routing and
// once with world.LocalTable as the baseline.
func Flows(cfg FlowsConfig) FlowsResult {
	result := FlowsResult{
		FlowsConfig:     cfg,
		SkewSeconds:     cfg.Skew.Seconds(),
		IntervalSeconds: cfg.Interval.Seconds(),
		Report:          runFlows(cfg),
	}
	baseline := cfg
	baseline.Routing = world.LocalTable
	baseline.Trace = nil
	result.BaselineBrokenFlows = runFlows(baseline).BrokenFlows
	return result
}

func runFlows(cfg FlowsConfig) world.Report {
	r := &flowsRun{
		config: cfg,
		random: rand.New(rand.NewPCG(cfg.Seed, 99)),
		world: world.New(world.Config{
			Seed:        cfg.Seed,
			Routing:     cfg.Routing,
			Skew:        cfg.Skew,
			Loss:        cfg.Loss,
			IdleTimeout: idleTimeout,
			Trace:       cfg.Trace,
			TraceFlow:   cfg.TraceFlow,
		}),
	}
	r.start()
	for range cfg.Changes {
		r.world.Run(cfg.Interval)
		r.applyChange()
	}
	r.world.Run(settlePeriod)
	return r.world.Report()
}

// start adds the services, entries and agents, and schedules the openings of flows and
// the deaths of upstreams, which are three change intervals apart.
func (r *flowsRun) start() {
	r.main = r.world.AddService(1, "maklerlink")
	r.other = r.world.AddService(2, "exposeserver")
	for range r.config.Balancers {
		r.entries = append(r.entries, r.world.AddEntry())
	}
	for i := range r.config.Upstreams {
		r.agents = append(r.agents, r.world.AddAgent(r.main, weightOf(i)))
	}
	for i := range secondServiceMembers {
		r.world.AddAgent(r.other, weightOf(i))
	}
	r.world.Run(r.config.Skew)
	for range r.config.Flows {
		delay := time.Duration(r.random.Int64N(int64(openingTime)))
		long := r.random.Float64() >= shortFlowShare
		r.world.After(delay, func() { r.openFlow(long) })
	}
	for i := range r.config.Deaths {
		r.world.After(openingTime+time.Duration(i+1)*3*r.config.Interval, r.killAgent)
	}
}

// openFlow opens a flow to a random service, in proportion to the members that the
// services have at the start. A short flow is replaced by a new short one when its
// lifetime ends; a long one stays open.
func (r *flowsRun) openFlow(long bool) {
	service := r.main
	if r.random.IntN(r.config.Upstreams+secondServiceMembers) < secondServiceMembers {
		service = r.other
	}
	if long && r.random.Float64() < feedShare {
		r.world.OpenFeed(service)
		return
	}
	f := r.world.OpenFlow(service)
	if long {
		return
	}
	lifetime := time.Duration(r.random.ExpFloat64() * float64(meanShortLifetime))
	r.world.After(lifetime, func() {
		f.Close()
		r.openFlow(false)
	})
}

// applyChange makes one random change: it adds or drains an upstream, replaces an entry
// that is killed or stopped, or changes a weight.
func (r *flowsRun) applyChange() {
	switch r.random.IntN(5) {
	case 0:
		if len(r.readyAgents()) < r.config.Upstreams+3 {
			r.agents = append(r.agents, r.world.AddAgent(r.main, weightOf(r.random.IntN(2))))
			return
		}
		r.drain()
	case 1:
		r.drain()
	case 2:
		r.replaceEntry(func(e *world.Entry) { e.Kill(fabricDetectionDelay) })
	case 3:
		r.replaceEntry(func(e *world.Entry) { e.Stop(convergenceTime) })
	default:
		ready := r.readyAgents()
		ready[r.random.IntN(len(ready))].SetWeight(uint32(25 * (1 + r.random.IntN(8))))
	}
}

// drain drains a random upstream, or adds one if no more than minReadyMembers, or two
// fewer than at the start if that is more, are ready.
func (r *flowsRun) drain() {
	ready := r.readyAgents()
	if len(ready) <= max(minReadyMembers, r.config.Upstreams-2) {
		r.agents = append(r.agents, r.world.AddAgent(r.main, weightOf(r.random.IntN(2))))
		return
	}
	ready[r.random.IntN(len(ready))].Drain()
}

// killAgent kills a random agent with its upstream, unless minReadyMembers or fewer are
// ready.
func (r *flowsRun) killAgent() {
	ready := r.readyAgents()
	if len(ready) > minReadyMembers {
		ready[r.random.IntN(len(ready))].Kill(memberDetectionDelay)
	}
}

// replaceEntry adds an entry and then calls stop with a random old one.
func (r *flowsRun) replaceEntry(stop func(*world.Entry)) {
	i := r.random.IntN(len(r.entries))
	replacement := r.world.AddEntry()
	stop(r.entries[i])
	r.entries[i] = replacement
}

// readyAgents returns the agents of the main service that are alive and not
// draining.
func (r *flowsRun) readyAgents() []*world.Agent {
	var ready []*world.Agent
	for _, a := range r.agents {
		if a.Alive() && !a.Draining() {
			ready = append(ready, a)
		}
	}
	return ready
}

// weightOf returns the weight of the i-th upstream: every other one is old.
func weightOf(i int) uint32 {
	if i%2 == 1 {
		return oldWeight
	}
	return member.DefaultWeight
}
