package fleet

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/pkg/capacity"
	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

const (
	// maxDecisionFields is the largest number of fields in the log line of a
	// decision.
	maxDecisionFields = 11
	// minLoggedPause is the time between two ticks from which the entry logs that it was paused,
	// as by a suspended or overloaded machine.
	minLoggedPause = 500 * time.Millisecond
)

// Entry is a balancer process.
type Entry struct {
	*process
	director   *director.Director
	callerConn *net.UDPConn
	config     *configSync
	// flowCollector writes the flows of this entry and of others.
	flowCollector *flowCollector
	link          *linkUse    // nil if the settings do not give the link's rate
	stopping      atomic.Bool // set once the entry reports not ready before it ends
	lagProbe      *lagProbe
	overload      overloadDetector // used by the tick task only
	// overloaded is set while the entry is too slow for the packets that it
	// receives.
	overloaded  atomic.Bool
	lastPacket  atomic.Int64 // now() at the last packet of a caller
	agentHellos *agentHellos
	coldRates   coldRates // that the agents were told last
	lastTick    time.Duration

	discovery discovery // used by discoverProcesses only
	// registrationMissing and agentListMissing request that the key is written again.
	registrationMissing chan struct{}
	agentListMissing    atomic.Bool

	newerEra chan struct{} // requests a check of the store's era

	putClient  *http.Client  // for calls to a collector, which the context bounds
	askOffset  atomic.Uint32 // advances by maxEntriesAsked on each call of entriesToAsk
	helloCount atomic.Uint32 // calls of sendHelloTo
}

// NewEntry returns an entry whose sockets are open. It returns an error if one
// cannot be opened.
func NewEntry(s *platform.Settings, log *zap.Logger, options ...Option) (*Entry, error) {
	p, err := newProcess(s, log, options...)
	if err != nil {
		return nil, err
	}
	conn, err := listen(s.DatagramAddress)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		process: p, callerConn: conn, lagProbe: newLagProbe(p.peerConn, conn), agentHellos: newAgentHellos(),
		newerEra: make(chan struct{}, 1), registrationMissing: make(chan struct{}, 1), putClient: &http.Client{},
	}
	directorOptions := []director.Option{director.WithLifetime(s.FlowLifetime), director.WithFailureDomain(s.FailureDomain)}
	if s.LinkRate > 0 {
		e.link = &linkUse{Link: capacity.New(s.LinkRate)}
		directorOptions = append(directorOptions, director.WithLink(e.link))
	}
	e.director = director.New(p.self, p.codec, e, directorOptions...)
	e.config = newConfigSync(p, e.director, e.announceConfig, e.announceEvacuation)
	e.flowCollector = newFlowCollector(p)
	p.onNewEra = e.config.handleNewEra
	return e, nil
}

// Run runs the entry until the context is canceled or a task ends. If the
// context is canceled, it drains the entry before it stops the tasks. It returns
// the errors of its tasks.
func (e *Entry) Run(ctx context.Context) error {
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.entries.add(e.now(), e.otherSeeds()...)
	tasks := []task{
		{"callers", func(context.Context) error { return e.receive("callers", e.callerConn, e.handleCallerPacket) }},
		{"peers", func(context.Context) error { return e.receive("peers", e.peerConn, e.handlePeerDatagram) }},
		{"tick", every(tickInterval, e.tick)},
		{"hello", e.everyWithFastStart(e.needsFastStart, reportInterval, e.sendHello)},
		{"register", e.register},
		{"discover processes", e.discoverProcesses},
		{"watch configuration", e.config.watch},
		{"fetch configuration", e.config.fetchLoop},
		{"verify configuration", e.config.verifyLoop},
		{"confirm configuration", e.config.confirmLoop},
		{"write holders", e.config.writeHolders},
		{"save flows", e.saveFlows},
		{"collect flows", e.flowCollector.run},
		{"write agent list", e.writeAgentList},
		{"check era of store", e.checkEra},
		e.httpTask(netip.AddrPortFrom(e.settings.Address, e.settings.PeerPort+1), e.config.handler(e.flowCollector)),
		e.metricsTask(map[string]func() any{
			"about":          func() any { return e.about() },
			"agents":         func() any { return e.director.Status(e.now()) },
			"config-version": e.configVersion,
			"evacuation":     e.config.evacuations.state,
			"flows":          func() any { return e.director.Flows() },
			"holders": func() any {
				return map[string]any{"complete": e.director.HoldersComplete(), "through": e.director.HoldersThrough()}
			},
			"link":    e.linkStatus,
			"ready":   func() any { return e.ready() },
			"settled": func() any { return e.director.Settled(e.now()) },
		}),
		e.httpTask(e.settings.ReadyAddress, readyHandler(e.ready)),
	}
	// The platform also probes an entry for readiness at its control address.
	if e.settings.ControlAddress.IsValid() {
		tasks = append(tasks, e.httpTask(e.settings.ControlAddress, readyHandler(e.ready)))
	}
	e.log.Info("entry started", zap.String("build", daemon.Revision())) // before any line of the tasks: it marks where the lines of this process begin
	ends := e.startTasks(taskCtx, tasks)
	e.sendHello()
	var failure error
	running := len(tasks)
	select {
	case <-ctx.Done():
		e.drain()
	case failure = <-ends:
		running--
	}
	e.sendMessage(peer.Goodbye, peer.GoodbyeMessage{}, append(e.entries.known(e.now()), e.director.Agents()...)...)
	cancel()
	failure = errors.Join(failure, e.callerConn.Close(), e.peerConn.Close())
	for range running {
		failure = errors.Join(failure, <-ends)
	}
	e.log.Info("entry stopped", daemon.Err(failure))
	return failure
}

// drain keeps serving until the routers have stopped sending packets to this
// entry. It stays ready until mayTurnNotReady allows it to report not ready,
// and then waits for minNotReady to pass and for packets to cease, or until only
// graceMargin of the grace time is left.
func (e *Entry) drain() {
	requestedAt := e.now()
	e.log.Info("entry stops", zap.Int("flows", e.director.Flows()))
	for !mayTurnNotReady(e.now(), e.now()-requestedAt, e.entries.neighbours(e.settings.FailureDomain)) {
		time.Sleep(tickInterval)
	}
	notReadyAt := e.now()
	e.stopping.Store(true)
	e.sendHello()
	e.log.Info("entry not ready", zap.Duration("waited", notReadyAt-requestedAt))
	for {
		time.Sleep(tickInterval)
		now := e.now()
		silence := now - time.Duration(e.lastPacket.Load())
		if now-notReadyAt >= minNotReady && silence >= quietPeriod || now-requestedAt >= e.settings.Grace-graceMargin {
			return
		}
	}
}

// ready reports whether the entry can serve callers: it is neither stopping nor
// overloaded, has a configuration, and receives reports from enough agents.
func (e *Entry) ready() bool {
	return !e.stopping.Load() && !e.overloaded.Load() && e.director.Config() != nil && e.director.Reachable(e.now())
}

// otherSeeds returns the entries in the settings except this one.
func (e *Entry) otherSeeds() []peer.Addr {
	var out []peer.Addr
	for _, a := range peerAddrs(e.settings.Seeds) {
		if a != e.self {
			out = append(out, a)
		}
	}
	return out
}

// RecordLatency implements director.Port. It records a latency.
func (e *Entry) RecordLatency(m director.Measure, d time.Duration) {
	e.metrics.recordLatency(string(m), d)
}

// RecordDecision implements director.Port. It counts a decision and logs it
// with the fields that apply to it. It requests what the decision waits for.
func (e *Entry) RecordDecision(d director.Decision) {
	e.metrics.increment(string(d.Event))
	if d.Event == director.OwnerUnverified {
		e.config.requestConfirmation()
	}
	fields := make([]zap.Field, 0, maxDecisionFields)
	fields = append(fields, zap.Stringer("flow", d.Flow))
	if d.Agent != (peer.Addr{}) {
		fields = append(fields, zap.Stringer("agent", d.Agent))
	}
	if d.Event == director.Placed {
		fields = append(fields, zap.Float64("load", d.Load))
	}
	if d.Age != 0 {
		fields = append(fields, zap.Duration("age-ms", d.Age))
	}
	if d.Version != 0 {
		fields = append(fields, zap.Uint64("config", d.Version))
	}
	if d.VerifiedBy != (peer.Addr{}) {
		fields = append(fields, zap.Duration("verified-ms", d.VerifiedAgo), zap.Stringer("verified-by", d.VerifiedBy))
	}
	if d.Stage != 0 {
		fields = append(fields, zap.Int("stage", d.Stage))
	}
	if d.Tried != 0 {
		fields = append(fields, zap.Int("tried", d.Tried))
	}
	if d.Proof != "" {
		e.metrics.increment(proofCounter + string(d.Proof))
		fields = append(fields, zap.String("proof", string(d.Proof)))
	}
	if d.Previous != (peer.Addr{}) {
		fields = append(fields, zap.Stringer("previous-agent", d.Previous))
	}
	switch {
	case d.Event == director.OwnerFound:
		fields = append(fields, zap.Uint32("reported-start", d.Reported))
	case d.Start != 0 || d.Reported != 0:
		fields = append(fields, zap.Uint32("start", d.Start), zap.Uint32("reported-start", d.Reported), zap.Bool("recalled", d.Restored))
	}
	if d.Through != 0 {
		fields = append(fields, zap.Uint64("through", d.Through))
	}
	if d.Link.Refused {
		fields = append(fields, zap.Duration("link-needs-ms", d.Link.Delay), zap.Int("expected-bytes", d.Link.Expected))
	}
	e.log.Info(string(d.Event), fields...)
}

// handleCallerPacket handles a datagram on the callers' socket: a lag probe of
// this process or a packet of a caller.
func (e *Entry) handleCallerPacket(from netip.AddrPort, b []byte) error {
	now := e.now()
	if e.lagProbe.handleProbe(now, from, b) {
		return nil
	}
	e.lastPacket.Store(int64(now))
	return e.director.HandleCallerPacket(now, b)
}

// handlePeerDatagram handles a datagram of an agent or of another entry.
func (e *Entry) handlePeerDatagram(from netip.AddrPort, b []byte) error {
	kind, err := peer.KindOf(b)
	if err != nil {
		return err
	}
	sender := peer.NewAddr(from.Addr())
	switch kind {
	case peer.Report:
		return e.handleReport(sender, b)
	case peer.Hello:
		return e.handleHello(sender, b)
	case peer.Goodbye:
		return e.handleGoodbye(sender, b)
	default:
		return e.director.HandleAgentDatagram(e.now(), sender, b)
	}
}

// handleGoodbye handles the goodbye message of an entry or an agent: it marks the
// sender as stopped if it is a known entry, and passes the message to the director,
// which ignores a sender that is not a known agent.
func (e *Entry) handleGoodbye(from peer.Addr, b []byte) error {
	var goodbye peer.GoodbyeMessage
	if err := peer.DecodeMessage(b, &goodbye); err != nil {
		return err
	}
	e.entries.markStopped(from)
	e.agentHellos.forget(from)
	e.director.HandleGoodbye(e.now(), from, goodbye.Restarting)
	e.log.Info("process stops", zap.Stringer("process", from), zap.Bool("returns", goodbye.Restarting))
	return nil
}

// aboutEntry is the head of an entry's metrics.
type aboutEntry struct {
	ConfigVersion any    `json:"config-version"`
	NewestHeard   uint64 `json:"newest-heard"` // version that another entry has named, 0 if none has
	VerifiedMS    int64  `json:"verified-ms"`  // since the version in force was known to be the newest
	Ready         bool   `json:"ready"`
	Settled       bool   `json:"settled"`
}

// about returns what is looked at first. It comes first in the metrics, as their readers may cut them
// off: the list of agents alone takes many kilobytes.
func (e *Entry) about() aboutEntry {
	a := aboutEntry{ConfigVersion: e.configVersion(), NewestHeard: e.config.newestNamed(), VerifiedMS: neverVerified, Ready: e.ready(), Settled: e.director.Settled(e.now())}
	if ago, ok := e.director.VerifiedAgo(e.now()); ok {
		a.VerifiedMS = ago.Milliseconds()
	}
	return a
}

// configVersion returns the version of the configuration in force, nil before
// the first.
func (e *Entry) configVersion() any {
	if c := e.director.Config(); c != nil {
		return c.Version()
	}
	return nil
}

// tick runs the periodic work of the director and the overload check. The
// director is given the time since the last tick, so that it can discount a
// pause of this process.
func (e *Entry) tick() {
	now := e.now()
	since := now - e.lastTick
	if e.lastTick > 0 {
		e.logPause(since)
	}
	e.lastTick = now
	e.director.Tick(now, since)
	e.checkLink(now)
	e.checkOverload(now)
}

// logPause logs a pause of this process, if the time since the last tick shows one.
func (e *Entry) logPause(since time.Duration) {
	if since > minLoggedPause {
		e.log.Info("entry was paused", zap.Duration("gap-ms", since))
	}
}

// needsFastStart reports whether the entry is not ready, or was started less than
// a quarter of fastStartPeriod ago.
func (e *Entry) needsFastStart() bool { return !e.ready() || e.now() < fastStartPeriod/4 }
