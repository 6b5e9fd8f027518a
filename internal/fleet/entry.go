package fleet

import (
	"context"
	"net"
	"net/netip"
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
	// greetAgentEvery is how often an entry answers an agent's reports.
	greetAgentEvery = 2 * time.Second
	// neverVerified says in a greeting that the configuration was never known
	// to be the newest.
	neverVerified = -1
	// unsettledPause is the pause between reads of the registrations while
	// some registered agents have not been heard.
	unsettledPause = time.Second
	// fullGreeting is which greeting in a row names the known entries: one in
	// 3.2 s.
	fullGreeting = 8
	// decisionFields is how many fields the log line of a decision has at most.
	decisionFields = 6
	// agentsAtOnce bounds the agents that one answer to an entry lists; the
	// datagram stays below 1,400 bytes.
	agentsAtOnce = 200
)

// Entry is a balancer.
type Entry struct {
	*process
	director *director.Director
	callers  *net.UDPConn
	config   *configSync
	stopping atomic.Bool
	lag      *lagProbe
	overload overload // of the task that ticks
	// overloaded says that the entry is too slow for what it gets.
	overloaded atomic.Bool
	lastPkt    atomic.Int64
	greetMu    sync.Mutex
	greetAt    map[peer.Addr]time.Duration
	lastTick   time.Duration

	registryRead bool // of the task that finds processes
	askedFrom    atomic.Uint32
	greetings    atomic.Uint32
}

// NewEntry opens the sockets of an entry.
func NewEntry(s *platform.Settings, log *zap.Logger, options ...Option) (*Entry, error) {
	p, err := newProcess(s, log, options...)
	if err != nil {
		return nil, err
	}
	conn, err := listen(s.DatagramAddress)
	if err != nil {
		return nil, err
	}
	e := &Entry{process: p, callers: conn, lag: newLagProbe(p.peers, conn), greetAt: make(map[peer.Addr]time.Duration)}
	e.director = director.New(p.self, p.codec, e, director.WithLifetime(s.FlowLifetime), director.WithPlace(s.Place))
	e.config = newConfigSync(p, e.director, e.greetAlive)
	return e, nil
}

// Run serves until the context ends, waits until the routers have let go, and
// ends.
func (e *Entry) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.entries.add(e.now(), e.otherSeeds()...)
	tasks := []task{
		{"callers", func(context.Context) error { return e.receive(e.callers, e.fromCaller) }},
		{"peers", func(context.Context) error { return e.receive(e.peers, e.fromProcess) }},
		{"tick", every(tickEvery, e.tick)},
		{"greet", e.hurried(e.hurry, reportEvery, e.greet)},
		{"register", e.register},
		{"find processes", e.findProcesses},
		{"watch configuration", e.config.watch},
		{"fetch configuration", e.config.fetchLoop},
		{"verify configuration", e.config.verifyLoop},
		{"write holders", e.config.writeHolders},
		{"remember flows", e.remember},
		{"list agents", e.listAgents},
		e.serve(netip.AddrPortFrom(e.settings.Address, e.settings.PeerPort+1), e.config.handler()),
		e.publish(map[string]func() any{
			"agents":         func() any { return e.director.Status(e.now()) },
			"config-version": e.configVersion,
			"flows":          func() any { return e.director.Flows() },
			"ready":          func() any { return e.ready() },
			"settled":        func() any { return e.director.Settled(e.now()) },
		}),
		e.serve(e.settings.ReadyAddress, readyHandler(e.ready)),
	}
	if e.settings.ControlAddress.IsValid() {
		tasks = append(tasks, e.serve(e.settings.ControlAddress, readyHandler(e.ready)))
	}
	ends := runAll(work, tasks)
	e.log.Info("entry started")
	e.message(peer.Hello, e.greeting(true, true), e.entries.known(e.now())...)
	var failure error
	running := len(tasks)
	select {
	case <-ctx.Done():
		e.leave()
	case failure = <-ends:
		running--
	}
	e.message(peer.Goodbye, peer.GoodbyeMessage{}, append(e.entries.known(e.now()), e.director.Agents()...)...)
	cancel()
	failure = errors.Join(failure, e.callers.Close(), e.peers.Close())
	for range running {
		failure = errors.Join(failure, <-ends)
	}
	e.log.Info("entry stopped", daemon.Err(failure))
	return failure
}

// leave serves on until no router sends packets any more.
func (e *Entry) leave() {
	told := e.now()
	e.log.Info("entry stops", zap.Int("flows", e.director.Flows()))
	for !mayLeave(e.now(), e.now()-told, e.entries.neighbours(e.settings.Place)) {
		time.Sleep(tickEvery)
	}
	begin := e.now()
	e.stopping.Store(true)
	e.greet()
	e.log.Info("entry not ready", zap.Duration("waited", begin-told))
	for {
		time.Sleep(tickEvery)
		now := e.now()
		quiet := now - time.Duration(e.lastPkt.Load())
		if now-begin >= leaveAfter && quiet >= quietFor || now-told >= e.settings.Grace-leaveMargin {
			return
		}
	}
}

// ready reports whether the entry can serve callers.
func (e *Entry) ready() bool {
	return !e.stopping.Load() && !e.overloaded.Load() && e.director.Config() != nil && e.director.Reachable(e.now())
}

func (e *Entry) otherSeeds() []peer.Addr {
	var out []peer.Addr
	for _, a := range addrs(e.settings.Seeds) {
		if a != e.self {
			out = append(out, a)
		}
	}
	return out
}

// RecordLatency implements director.Port.
func (e *Entry) RecordLatency(m director.Measure, d time.Duration) { e.counts.measure(string(m), d) }

// RecordDecision implements director.Port. Fields that a decision does not rest on are
// left out.
func (e *Entry) RecordDecision(d director.Decision) {
	e.counts.add(string(d.Event))
	fields := make([]zap.Field, 0, decisionFields)
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
	if d.Tried != 0 {
		fields = append(fields, zap.Int("tried", d.Tried))
	}
	e.log.Info(string(d.Event), fields...)
}

func (e *Entry) fromCaller(from netip.AddrPort, b []byte) error {
	now := e.now()
	if e.lag.received(now, from, b) {
		return nil
	}
	e.lastPkt.Store(int64(now))
	return e.director.HandleCallerPacket(now, b)
}

func (e *Entry) fromProcess(from netip.AddrPort, b []byte) error {
	kind, err := peer.KindOf(b)
	if err != nil {
		return err
	}
	sender := peer.NewAddr(from.Addr())
	switch kind {
	case peer.Report:
		return e.reported(sender, b)
	case peer.Hello:
		return e.greeted(sender, b)
	case peer.Goodbye:
		return e.goodbye(sender, b)
	default:
		return e.director.HandleAgentDatagram(e.now(), sender, b)
	}
}

func (e *Entry) reported(from peer.Addr, b []byte) error {
	var st peer.Status
	if err := peer.DecodeMessage(b, &st); err != nil {
		return err
	}
	now := e.now()
	if e.director.HandleReport(now, from, st) {
		e.log.Info("agent heard", zap.Stringer("agent", from), zap.String("service", st.Service), zap.String("upstream", st.Upstream))
	}
	e.greetMu.Lock()
	at, ok := e.greetAt[from]
	due := !ok || now-at >= greetAgentEvery
	if due {
		e.greetAt[from] = now
	}
	e.greetMu.Unlock()
	if due {
		e.message(peer.Hello, e.greeting(false, true), from)
	}
	return nil
}

func (e *Entry) greeted(from peer.Addr, b []byte) error {
	var g peer.HelloMessage
	if err := peer.DecodeMessage(b, &g); err != nil {
		return err
	}
	now := e.now()
	if e.entries.heard(now, from, g) {
		e.log.Info("entry heard", zap.Stringer("entry", from), zap.Uint64("config", g.ConfigVersion))
	}
	if fresh := e.entries.add(now, e.notSelf(g.Entries)...); len(fresh) > 0 {
		e.message(peer.Hello, e.greeting(true, true), fresh...)
	}
	if len(g.Agents) > 0 {
		e.message(peer.Hello, e.greeting(false, true), g.Agents...)
	}
	if g.WantsReply {
		answer := e.greeting(false, true)
		answer.Agents = e.director.Agents()
		if len(answer.Agents) > agentsAtOnce {
			answer.Agents = answer.Agents[:agentsAtOnce]
		}
		e.message(peer.Hello, answer, from)
	}
	e.config.peerHas(from, g)
	return nil
}

func (e *Entry) notSelf(list []peer.Addr) []peer.Addr {
	var out []peer.Addr
	for _, a := range list {
		if a != e.self {
			out = append(out, a)
		}
	}
	return out
}

func (e *Entry) goodbye(from peer.Addr, b []byte) error {
	var f peer.GoodbyeMessage
	if err := peer.DecodeMessage(b, &f); err != nil {
		return err
	}
	e.entries.remove(from)
	e.director.HandleGoodbye(e.now(), from, f.Restarting)
	e.log.Info("process stops", zap.Stringer("process", from), zap.Bool("returns", f.Restarting))
	return nil
}

// greeting returns what the entry tells of itself. The entries that it knows
// are left out of most greetings: they change rarely.
func (e *Entry) greeting(asks, entries bool) peer.HelloMessage {
	now := e.now()
	g := peer.HelloMessage{
		Incarnation: e.started.UnixMilli(), WantsReply: asks, Place: e.settings.Place, Ready: e.ready(), VerifiedAgo: neverVerified,
	}
	if entries {
		g.Entries = e.entries.alive(now)
	}
	if c := e.director.Config(); c != nil {
		g.ConfigVersion = c.Version()
	}
	if ago, ok := e.director.VerifiedAgo(now); ok {
		g.VerifiedAgo = ago.Milliseconds()
	}
	return g
}

// greet greets the other entries, now and then with all that are known.
func (e *Entry) greet() {
	asks := e.director.Config() == nil || !e.director.Reachable(e.now())
	full := asks || e.greetings.Add(1)%fullGreeting == 0
	e.message(peer.Hello, e.greeting(asks, full), e.entries.known(e.now())...)
}

func (e *Entry) configVersion() any {
	if c := e.director.Config(); c != nil {
		return c.Version()
	}
	return nil
}

// greetAlive greets the entries that are alive.
func (e *Entry) greetAlive() {
	e.message(peer.Hello, e.greeting(false, false), e.entries.alive(e.now())...)
}

func (e *Entry) tick() {
	now := e.now()
	since := now - e.lastTick
	e.lastTick = now
	e.director.Tick(now, since)
	e.watchLoad(now)
}

// hurry reports whether the entry cannot serve yet.
func (e *Entry) hurry() bool { return !e.ready() || e.now() < hurryFor/4 }

// findProcesses reads the registrations: at the start, often while registered
// agents have not been heard, and then rarely, as processes announce
// themselves.
func (e *Entry) findProcesses(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := registerFor
		if err := e.findOnce(ctx); err != nil {
			e.log.Warn("registrations not read", daemon.Err(err))
			e.askEntries()
			pause = retryPause
		} else if !e.director.Settled(e.now()) {
			pause = unsettledPause
		}
		sleep(ctx, pause)
	}
	return nil
}

func (e *Entry) findOnce(ctx context.Context) error {
	first := !e.registryRead
	r, err := e.readRegistry(ctx, !first)
	if err != nil {
		return err
	}
	e.registryRead = true
	if first {
		e.config.takeHolders(r.holders)
	}
	e.director.SetRegistered(e.now(), r.agents)
	fresh := e.entries.add(e.now(), e.notSelf(r.entries)...)
	e.message(peer.Hello, e.greeting(true, true), fresh...)
	if first {
		e.message(peer.Hello, e.greeting(false, true), r.agents...)
	}
	return nil
}
