package fleet

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

const (
	// agentHelloInterval is the least time between two hello messages with which
	// an entry replies to the reports of one agent.
	agentHelloInterval = 2 * time.Second
	// neverVerified is the age in a hello message of a configuration that was
	// never confirmed as the newest.
	neverVerified = -1
	// unsettledReadInterval is the pause between reads of the registrations
	// while the entry is not settled, for example because a registered agent has
	// not sent a report.
	unsettledReadInterval = time.Second
	// fullHelloEvery is how often a periodic hello message that requests no
	// replies lists the live entries: every 8th time, once in 3.2 s.
	fullHelloEvery = 8
	// replyHelloEvery is the same for the hello messages that reply to one agent: every
	// 4th, once in 8 s.
	replyHelloEvery = 4
	// repliesWanted is how many entries a starting entry asks at a time for what they
	// know. Their replies list all entries and agents.
	repliesWanted = 3
	// introduceInterval is the least time between two hello messages to an agent of which
	// the entry knows nothing but the address.
	introduceInterval = 200 * time.Millisecond
	// agentsOfPeerRetention is how long agents that only another entry has named count as
	// registered: until the entries have written their list to a store that lost it, and
	// stale reads return that list.
	agentsOfPeerRetention = 10 * time.Second
	// maxDecisionFields is the largest number of fields in the log line of a
	// decision.
	maxDecisionFields = 6
	// maxAgentsPerHello bounds the agents listed in the reply to an entry, so
	// that the datagram stays below 1,400 bytes.
	maxAgentsPerHello = 200
)

// Entry is a balancer process.
type Entry struct {
	*process
	director   *director.Director
	callerConn *net.UDPConn
	config     *configSync
	// flowCollector writes the flows of this entry and of others.
	flowCollector *flowCollector
	stopping      atomic.Bool // set once the entry reports not ready before it ends
	lagProbe      *lagProbe
	overload      overloadDetector // used by the tick task only
	// overloaded is set while the entry is too slow for the packets that it
	// receives.
	overloaded  atomic.Bool
	lastPacket  atomic.Int64 // now() at the last packet of a caller
	helloMu     sync.Mutex
	agentHellos map[peer.Addr]agentHello
	lastTick    time.Duration

	// The following are used by discoverProcesses only.
	registryRead   bool
	agentsOfPeer   []peer.Addr // agents named by an entry that was started before
	agentsOfPeerAt time.Duration
	// registrationMissing and agentListMissing request that the key is written again.
	registrationMissing chan struct{}
	agentListMissing    atomic.Bool

	newerEra chan struct{} // requests a check of the store's era

	putClient  *http.Client  // for calls to a collector, which the context bounds
	askOffset  atomic.Uint32 // advances by maxEntriesAsked on each call of entriesToAsk
	helloCount atomic.Uint32 // calls of sendHelloTo
}

// agentHello is the last hello message that an entry sent to an agent.
type agentHello struct {
	at    time.Duration
	count int // of hello messages to the agent so far
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
	e := &Entry{process: p, callerConn: conn, lagProbe: newLagProbe(p.peerConn, conn), agentHellos: make(map[peer.Addr]agentHello), newerEra: make(chan struct{}, 1), registrationMissing: make(chan struct{}, 1), putClient: &http.Client{}}
	e.director = director.New(p.self, p.codec, e, director.WithLifetime(s.FlowLifetime), director.WithFailureDomain(s.FailureDomain))
	e.config = newConfigSync(p, e.director, e.sendHelloToAlive)
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
		{"callers", func(context.Context) error { return e.receive(e.callerConn, e.handleCallerPacket) }},
		{"peers", func(context.Context) error { return e.receive(e.peerConn, e.handlePeerDatagram) }},
		{"tick", every(tickInterval, e.tick)},
		{"hello", e.everyWithFastStart(e.needsFastStart, reportInterval, e.sendHello)},
		{"register", e.register},
		{"discover processes", e.discoverProcesses},
		{"watch configuration", e.config.watch},
		{"fetch configuration", e.config.fetchLoop},
		{"verify configuration", e.config.verifyLoop},
		{"write holders", e.config.writeHolders},
		{"save flows", e.saveFlows},
		{"collect flows", e.flowCollector.run},
		{"write agent list", e.writeAgentList},
		{"check era of store", e.checkEra},
		e.httpTask(netip.AddrPortFrom(e.settings.Address, e.settings.PeerPort+1), e.config.handler(e.flowCollector)),
		e.metricsTask(map[string]func() any{
			"agents":         func() any { return e.director.Status(e.now()) },
			"config-version": e.configVersion,
			"flows":          func() any { return e.director.Flows() },
			"ready":          func() any { return e.ready() },
			"settled":        func() any { return e.director.Settled(e.now()) },
		}),
		e.httpTask(e.settings.ReadyAddress, readyHandler(e.ready)),
	}
	// The platform also probes an entry for readiness at its control address.
	if e.settings.ControlAddress.IsValid() {
		tasks = append(tasks, e.httpTask(e.settings.ControlAddress, readyHandler(e.ready)))
	}
	e.log.Info("entry started") // before any line of the tasks: it marks where the lines of this process begin
	ends := startTasks(taskCtx, tasks)
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
// with the fields that apply to it.
func (e *Entry) RecordDecision(d director.Decision) {
	e.metrics.increment(string(d.Event))
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
	if d.Stage != 0 {
		fields = append(fields, zap.Int("stage", d.Stage))
	}
	if d.Tried != 0 {
		fields = append(fields, zap.Int("tried", d.Tried))
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

// handleReport records the report of an agent and, at most every
// agentHelloInterval, replies with a hello message, every replyHelloEvery-th of which
// lists the live entries. The agent keeps sending reports to entries from which it
// receives hello messages, and sends them to the listed ones, too.
func (e *Entry) handleReport(from peer.Addr, b []byte) error {
	var status peer.Status
	if err := peer.DecodeMessage(b, &status); err != nil {
		return err
	}
	now := e.now()
	if e.director.HandleReport(now, from, status) {
		e.log.Info("agent heard", zap.Stringer("agent", from), zap.String("service", status.Service), zap.String("upstream", status.Upstream))
	}
	if due, withEntries := e.agentHelloDue(now, from, agentHelloInterval); due {
		e.sendMessage(peer.Hello, e.helloMessage(false, withEntries), from)
	}
	return nil
}

// agentHelloDue reports whether at least interval has passed since the last hello message to
// an agent, and whether the one that the caller then sends is to list the live entries.
func (e *Entry) agentHelloDue(now time.Duration, agent peer.Addr, interval time.Duration) (due, withEntries bool) {
	e.helloMu.Lock()
	defer e.helloMu.Unlock()
	last, ok := e.agentHellos[agent]
	if ok && now-last.at < interval {
		return false, false
	}
	e.agentHellos[agent] = agentHello{at: now, count: last.count + 1}
	return true, last.count%replyHelloEvery == 0
}

// introduce sends a hello message to the agents of a list that have not reported yet.
func (e *Entry) introduce(agents []peer.Addr) {
	now := e.now()
	known := e.director.Agents()
	var unknown []peer.Addr
	for _, a := range agents {
		if _, found := slices.BinarySearchFunc(known, a, func(x, y peer.Addr) int { return slices.Compare(x[:], y[:]) }); found {
			continue
		}
		if due, _ := e.agentHelloDue(now, a, introduceInterval); due {
			unknown = append(unknown, a)
		}
	}
	if len(unknown) > 0 {
		e.sendMessage(peer.Hello, e.helloMessage(false, true), unknown...)
	}
}

// handleHello records the hello message of another entry. It sends hello
// messages to the listed entries and agents that were unknown, replies if the message requests it, and compares the configuration versions.
func (e *Entry) handleHello(from peer.Addr, b []byte) error {
	var hello peer.HelloMessage
	if err := peer.DecodeMessage(b, &hello); err != nil {
		return err
	}
	now := e.now()
	if e.entries.recordHello(now, from, hello) {
		e.log.Info("entry heard", zap.Stringer("entry", from), zap.Uint64("config", hello.ConfigVersion))
	}
	e.sendHelloTo(e.entries.add(now, e.withoutSelf(hello.Entries)...))
	e.introduce(hello.Agents)
	if hello.WantsReply {
		reply := e.helloMessage(false, true)
		reply.Agents = e.director.Agents()
		if len(reply.Agents) > maxAgentsPerHello {
			reply.Agents = reply.Agents[:maxAgentsPerHello]
		}
		e.sendMessage(peer.Hello, reply, from)
	}
	e.requestEraCheck(hello.StoreEra)
	e.config.handleHello(from, hello)
	return nil
}

// withoutSelf returns the addresses in a list other than that of this entry.
func (e *Entry) withoutSelf(list []peer.Addr) []peer.Addr {
	var out []peer.Addr
	for _, a := range list {
		if a != e.self {
			out = append(out, a)
		}
	}
	return out
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
	e.director.HandleGoodbye(e.now(), from, goodbye.Restarting)
	e.log.Info("process stops", zap.Stringer("process", from), zap.Bool("returns", goodbye.Restarting))
	return nil
}

// helloMessage returns a hello message with the state of this entry. wantsReply
// requests a reply; withEntries includes the live entries, which most hello
// messages omit as they change rarely.
func (e *Entry) helloMessage(wantsReply, withEntries bool) peer.HelloMessage {
	now := e.now()
	hello := peer.HelloMessage{
		Incarnation: e.started.UnixMilli(), WantsReply: wantsReply, FailureDomain: e.settings.FailureDomain, Ready: e.ready(), VerifiedAgo: neverVerified,
		StoreEra: e.store.Era(),
	}
	if withEntries {
		hello.Entries = e.entries.alive(now)
	}
	if c := e.director.Config(); c != nil {
		hello.ConfigVersion = c.Version()
	}
	if ago, ok := e.director.VerifiedAgo(now); ok {
		hello.VerifiedAgo = ago.Milliseconds()
	}
	return hello
}

// sendHello sends a hello message to the known entries.
func (e *Entry) sendHello() { e.sendHelloTo(e.entries.known(e.now())) }

// sendHelloTo sends a hello message to other entries. While this entry has no configuration
// or lacks reports of agents, it requests replies from a few of them, the next ones on each
// call. Every fullHelloEvery-th other hello message lists the live entries.
func (e *Entry) sendHelloTo(entries []peer.Addr) {
	if len(entries) == 0 {
		return
	}
	if e.director.Config() == nil || !e.director.Reachable(e.now()) {
		first := int(e.askOffset.Add(repliesWanted)) % len(entries)
		rotated := slices.Concat(entries[first:], entries[:first])
		asked := rotated[:min(repliesWanted, len(rotated))]
		e.sendMessage(peer.Hello, e.helloMessage(true, true), asked...)
		entries = rotated[len(asked):]
	}
	withEntries := e.helloCount.Add(1)%fullHelloEvery == 0
	e.sendMessage(peer.Hello, e.helloMessage(false, withEntries), entries...)
}

// configVersion returns the version of the configuration in force, nil before
// the first.
func (e *Entry) configVersion() any {
	if c := e.director.Config(); c != nil {
		return c.Version()
	}
	return nil
}

// sendHelloToAlive sends a hello message to the live entries.
func (e *Entry) sendHelloToAlive() {
	e.sendMessage(peer.Hello, e.helloMessage(false, false), e.entries.alive(e.now())...)
}

// tick runs the periodic work of the director and the overload check. The
// director is given the time since the last tick, so that it can discount a
// pause of this process.
func (e *Entry) tick() {
	now := e.now()
	since := now - e.lastTick
	e.lastTick = now
	e.director.Tick(now, since)
	e.checkOverload(now)
}

// needsFastStart reports whether the entry is not ready, or was started less than
// a quarter of fastStartPeriod ago.
func (e *Entry) needsFastStart() bool { return !e.ready() || e.now() < fastStartPeriod/4 }

// discoverProcesses reads the registrations in the store: at the start, every
// unsettledReadInterval while the entry is not settled, and every
// discoverInterval after that. When the store does not answer, it requests the registrations from other entries
// unless it has them, and reads again after retryDelay.
func (e *Entry) discoverProcesses(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := discoverInterval
		if err := e.discoverOnce(ctx); err != nil {
			e.log.Warn("registrations not read", daemon.Err(err))
			e.fetchRegistrations()
			pause = retryDelay
		} else if !e.director.Settled(e.now()) {
			pause = unsettledReadInterval
		}
		sleep(ctx, pause)
	}
	return nil
}

// restoreMissing requests new writes of the keys that the store no longer has. If a stale
// read lacks a recent write, that is repeated in vain.
func (e *Entry) restoreMissing(r registry) {
	if !slices.Contains(r.entries, e.self) {
		select {
		case e.registrationMissing <- struct{}{}:
		default: // a write is pending
		}
	}
	if r.agents == nil {
		e.agentListMissing.Store(true)
	}
	if r.holders == nil {
		e.config.requestHoldersWrite()
	}
}

// discoverOnce reads the registrations once and sends hello messages to new
// entries. The first read must not be stale; it also merges the flow holders
// and sends hello messages to the registered agents. As the store may have come back from
// an older copy, it is completed from an entry that was started before.
func (e *Entry) discoverOnce(ctx context.Context) error {
	first := !e.registryRead
	r, err := e.readRegistry(ctx, !first)
	if err != nil {
		return err
	}
	e.registryRead = true
	if first {
		e.config.mergeHolders(r.holders)
	}
	if !first {
		e.restoreMissing(r)
	}
	e.sendHelloTo(e.entries.add(e.now(), e.withoutSelf(r.entries)...))
	if first {
		e.introduce(r.agents)
		sleep(ctx, peerAnswerTime-e.now())
		e.agentsOfPeer, e.agentsOfPeerAt = e.fetchFromEarlierEntry(), e.now()
	}
	if e.now()-e.agentsOfPeerAt < agentsOfPeerRetention {
		r.agents = append(r.agents, e.agentsOfPeer...)
	}
	e.director.SetRegistered(e.now(), r.agents)
	return nil
}
