package fleet

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

const (
	// maxHeartbeat bounds the body of a heartbeat. Unit: bytes.
	maxHeartbeat = 64 << 10
	// overdue is how many heartbeat intervals without a heartbeat make the
	// agent look whether its upstream still listens.
	overdue = 1.4
	// lookTimeout bounds that look, on the same instance.
	lookTimeout = 200 * time.Millisecond
	// assumedSlots stands in for an upstream's slots until its first heartbeat.
	assumedSlots = 1
	// farewellPause is how long an agent that stops keeps the order: its last
	// packets and messages leave before its sockets close.
	farewellPause = 20 * time.Millisecond
	// lonelyAfter is how long an agent may hear no entry before it asks the
	// store for them.
	lonelyAfter = time.Second
)

// Agent is the process beside an upstream.
type Agent struct {
	*process
	relay    *relay.Relay
	upstream *net.UDPConn
	sequence atomic.Uint64
	lastBeat atomic.Int64 // steady time of the last heartbeat
	ended    atomic.Bool
	stopping atomic.Bool
}

// NewAgent opens the sockets of an agent.
func NewAgent(s *platform.Settings, log *zap.Logger, options ...Option) (*Agent, error) {
	if !s.UpstreamAddress.IsValid() || !s.OutboundAddress.IsValid() || !s.ControlAddress.IsValid() || s.Service == "" {
		return nil, errors.New("settings: an agent needs app, service, listen.outbound and listen.control")
	}
	p, err := newProcess(s, log, options...)
	if err != nil {
		return nil, err
	}
	conn, err := listen(s.OutboundAddress)
	if err != nil {
		return nil, err
	}
	a := &Agent{process: p, upstream: conn}
	a.relay = relay.New(p.self, peer.Service(s.Service), p.codec, a, relay.WithLifetime(s.FlowLifetime))
	return a, nil
}

// Run serves until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a.entries.add(a.now(), a.seeds()...)
	tasks := []task{
		{"peers", func(context.Context) error { return a.receive(a.peers, a.fromProcess) }},
		{"upstream", func(context.Context) error { return a.receive(a.upstream, a.fromUpstream) }},
		{"tick", every(tickEvery, func() { a.relay.Tick(a.now()) })},
		{"report", a.hurried(a.hurry, reportEvery, a.report)},
		{"look", every(a.settings.Heartbeat/4, a.look)},
		{"find entries", a.findEntries},
		a.publish(map[string]func() any{
			"status": func() any { return a.relay.Status(a.now()) },
			"flows":  func() any { held, _ := a.relay.Flows(); return held },
		}),
		a.serve(a.settings.ControlAddress, a.control()),
		a.serve(a.settings.ReadyAddress, readyHandler(func() bool { return true })),
	}
	ends := runAll(work, tasks)
	a.log.Info("agent started", zap.String("service", a.settings.Service))
	a.firstLook()
	a.report()
	var failure error
	running := len(tasks)
	select {
	case <-ctx.Done():
	case failure = <-ends:
		running--
	}
	a.stop()
	cancel()
	for range running {
		failure = errors.Join(failure, <-ends)
	}
	a.log.Info("agent stopped", daemon.Err(failure))
	return failure
}

func (a *Agent) stop() {
	a.stopping.Store(true)
	a.relay.Stop()
	a.message(peer.Goodbye, peer.GoodbyeMessage{Restarting: !a.relay.Deregistered()}, a.entries.known(a.now())...)
	time.Sleep(farewellPause)
	if err := errors.Join(a.peers.Close(), a.upstream.Close()); err != nil {
		a.log.Warn("sockets not closed", daemon.Err(err))
	}
}

func (a *Agent) seeds() []peer.Addr { return addrs(a.settings.Seeds) }

func addrs(in []netip.Addr) []peer.Addr {
	var out []peer.Addr
	for _, s := range in {
		out = append(out, peer.NewAddr(s))
	}
	return out
}

// ToUpstream implements relay.Port.
func (a *Agent) ToUpstream(packet []byte) { a.write(a.upstream, a.settings.UpstreamAddress, packet) }

// RecordLatency implements relay.Port.
func (a *Agent) RecordLatency(m relay.Measure, d time.Duration) { a.counts.measure(string(m), d) }

// RecordDecision implements relay.Port.
func (a *Agent) RecordDecision(event relay.Event, flow segment.Flow, f *peer.Frame) {
	a.counts.add(string(event))
	fields := []zap.Field{zap.Stringer("flow", flow)}
	if f != nil {
		fields = append(fields, zap.Stringer("entry", f.Entry), zap.Int("hop", f.Hop), zap.Int("candidates", len(f.Candidates)))
	}
	a.log.Info(string(event), fields...)
}

func (a *Agent) fromProcess(from netip.AddrPort, b []byte) error {
	kind, err := peer.KindOf(b)
	if err != nil {
		return err
	}
	switch kind {
	case peer.Place, peer.Deliver, peer.Search:
		return a.relay.HandleFrame(a.now(), b)
	case peer.OwnerQuery:
		return a.relay.HandleOwnerQuery(peer.NewAddr(from.Addr()), b)
	case peer.Hello:
		return a.greeted(peer.NewAddr(from.Addr()), b)
	case peer.Goodbye:
		a.entries.remove(peer.NewAddr(from.Addr()))
		return nil
	default:
		return peer.ErrInvalidFrame
	}
}

func (a *Agent) greeted(from peer.Addr, b []byte) error {
	var g peer.HelloMessage
	if err := peer.DecodeMessage(b, &g); err != nil {
		return err
	}
	isNew := a.entries.heard(a.now(), from, g)
	fresh := a.entries.add(a.now(), g.Entries...)
	if isNew {
		a.log.Info("entry heard", zap.Stringer("entry", from))
		fresh = append(fresh, from)
	}
	a.reportTo(fresh...)
	return nil
}

func (a *Agent) fromUpstream(_ netip.AddrPort, b []byte) error {
	news, err := a.relay.HandleUpstreamPacket(a.now(), b)
	if news {
		a.report()
	}
	return err
}

func (a *Agent) status() peer.Status {
	st := a.relay.Status(a.now())
	st.Incarnation = a.started.UnixMilli()
	st.Sequence = a.sequence.Add(1)
	st.Service = a.settings.Service
	st.Place = a.settings.Place
	return st
}

// report tells the entries how the upstream does.
func (a *Agent) report() { a.reportTo(a.entries.known(a.now())...) }

// hurry reports whether the entries may not have heard the agent yet: in the
// first moments of either.
func (a *Agent) hurry() bool {
	now := a.now()
	return now < hurryFor/4 || len(a.entries.alive(now)) == 0
}

// reportTo reports to some entries; after the farewell it is silent.
func (a *Agent) reportTo(entries ...peer.Addr) {
	if len(entries) == 0 || a.stopping.Load() {
		return
	}
	a.message(peer.Report, a.status(), entries...)
}

// control serves the upstream's heartbeats.
func (a *Agent) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.HeartbeatPattern, a.heartbeat)
	mux.HandleFunc(platform.DeregisterPattern, a.leave)
	return mux
}

func (a *Agent) heartbeat(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxHeartbeat))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h, err := platform.DecodeHeartbeat(req.PathValue("id"), body)
	if err == nil && h.Service != a.settings.Service {
		err = errors.Errorf("heartbeat of service %q", h.Service)
	}
	if err != nil {
		a.counts.add("bad-heartbeats")
		a.log.Warn("heartbeat not accepted", zap.String("upstream", req.PathValue("id")), daemon.Err(err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := a.now()
	a.lastBeat.Store(int64(now))
	a.ended.Store(false)
	changed := a.relay.HandleHeartbeat(now, relay.Upstream{
		ID: h.ID, Born: h.Born, Sequence: h.Sequence, Slots: h.Slots, Draining: h.Draining, ColdFor: h.ColdFor, Age: age(h.Born, time.Now()),
	})
	if changed {
		a.log.Info("upstream", zap.String("upstream", h.ID), zap.Int64("born", h.Born), zap.Bool("draining", h.Draining),
			zap.Uint64("sequence", h.Sequence), zap.Duration("cold", h.ColdFor))
		a.report()
	}
	writeJSON(w, struct{}{})
}

// age returns how long ago an upstream was born, in Unix milliseconds, by the
// clock that the agent shares with it; 0 if it does not say.
func age(born int64, now time.Time) time.Duration {
	if born == 0 {
		return 0
	}
	return max(0, now.Sub(time.UnixMilli(born)))
}

func (a *Agent) leave(w http.ResponseWriter, req *http.Request) {
	a.relay.HandleDeregistration(a.now(), req.PathValue("id"))
	a.log.Info("upstream leaves", zap.String("upstream", req.PathValue("id")))
	a.report()
	writeJSON(w, struct{}{})
}

// look checks whether an upstream that is late with its heartbeats still
// listens: a refused connection proves that its process is gone.
func (a *Agent) look() {
	last := time.Duration(a.lastBeat.Load())
	if last == 0 || a.ended.Load() || a.now()-last < time.Duration(overdue*float64(a.settings.Heartbeat)) {
		return
	}
	if listens, known := a.listens(); known && !listens && a.relay.MarkEnded() {
		a.ended.Store(true)
		a.log.Warn("upstream ended", zap.Duration("since-heartbeat", a.now()-last))
		a.report()
	}
}

// firstLook asks an upstream that was there before the agent whether it
// serves, instead of waiting for its next heartbeat.
func (a *Agent) firstLook() {
	listens, known := a.listens()
	if known && !listens && a.lastBeat.Load() == 0 && a.relay.MarkEnded() {
		a.log.Info("no upstream yet")
	}
	if !known || !listens {
		return
	}
	client := &http.Client{Timeout: lookTimeout}
	resp, err := client.Get("http://" + a.settings.UpstreamAddress.String() + platform.HealthPath)
	if err != nil {
		a.log.Info("upstream not asked", daemon.Err(err))
		return
	}
	if err := resp.Body.Close(); err != nil {
		a.log.Info("upstream not asked", daemon.Err(err))
	}
	if resp.StatusCode == http.StatusOK && a.lastBeat.Load() == 0 {
		a.relay.AssumeReady(assumedSlots)
	}
	a.log.Info("upstream asked", zap.Int("status", resp.StatusCode))
}

// listens reports whether the upstream accepts connections, if that can be
// known.
func (a *Agent) listens() (listens, known bool) {
	conn, err := net.DialTimeout("tcp4", a.settings.UpstreamAddress.String(), lookTimeout)
	if err != nil {
		return false, platform.IsRefused(err)
	}
	if err := conn.Close(); err != nil {
		a.log.Info("connection not closed", daemon.Err(err))
	}
	return true, true
}

// findEntries asks the store for entries at the start and whenever none has
// been heard for a while.
func (a *Agent) findEntries(ctx context.Context) error {
	return every(lonelyAfter, func() {
		if len(a.entries.alive(a.now())) > 0 {
			return
		}
		r, err := a.readRegistry(ctx, true)
		if err != nil {
			a.log.Warn("entries not read", daemon.Err(err))
			return
		}
		a.reportTo(a.entries.add(a.now(), r.entries...)...)
	})(ctx)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return // the caller has gone
	}
}

func readyHandler(ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPattern, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
