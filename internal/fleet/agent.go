package fleet

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
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
	// maxHeartbeatBytes bounds the body of a heartbeat.
	maxHeartbeatBytes = 64 << 10
	// overdueIntervals is how many heartbeat intervals may pass without a
	// heartbeat before the agent probes whether its upstream still accepts
	// connections.
	overdueIntervals = 1.4
	// probeTimeout bounds a probe of the upstream, which runs on the same
	// instance.
	probeTimeout = 200 * time.Millisecond
	// assumedSlots is the number of slots assumed for an upstream until its
	// first heartbeat.
	assumedSlots = 1
	// maxLeavingPause bounds the time between two probes of an upstream that has deregistered
	// and still accepts connections. It doubles from tickInterval on.
	maxLeavingPause = time.Second
	// closeDelay is the pause of a stopping agent before it closes its sockets,
	// so that its last packets and messages are sent first.
	closeDelay = 20 * time.Millisecond
	// minHeartbeatInterval is the shortest heartbeat interval in the settings of an agent.
	minHeartbeatInterval = 10 * time.Millisecond
	// discoveryInterval is how often an agent without a live entry reads the
	// entries from the store.
	discoveryInterval = time.Second
)

// probePause spaces the probes of an upstream that has deregistered.
type probePause struct {
	next  time.Duration // when the next probe is due
	pause time.Duration // after the last one
}

// Agent is the process beside an upstream. It delivers the packets of callers
// to the upstream, sends the upstream's packets to the callers, and reports the
// upstream's state to the entries.
type Agent struct {
	*process
	relay         *relay.Relay
	upstreamConn  *net.UDPConn
	sequence      atomic.Uint64 // number of the last report
	lastHeartbeat atomic.Int64  // now() at the last heartbeat; 0 before the first
	upstreamEnded atomic.Bool   // checkOverdueUpstream found that the upstream has ended; reset by a heartbeat
	stopping      atomic.Bool
	evacuations   *evacuations
	leavingProbes probePause // used by checkLeavingUpstream only

	// Used by handleHello only.
	coldRate        float64 // openings a second while the upstream is cold, 0 without a limit
	coldRateVersion uint64  // version of the configuration that coldRate is of
}

// NewAgent returns an agent whose sockets are open. It returns an error if the
// settings lack a value that an agent needs, or if a socket cannot be opened.
func NewAgent(s *platform.Settings, log *zap.Logger, options ...Option) (*Agent, error) {
	if !s.UpstreamAddress.IsValid() || !s.OutboundAddress.IsValid() || !s.ControlAddress.IsValid() || s.Service == "" {
		return nil, errors.New("settings: an agent needs app, service, listen.outbound and listen.control")
	}
	if s.HeartbeatInterval < minHeartbeatInterval {
		return nil, errors.Errorf("settings: an agent needs heartbeat-ms of at least %d", minHeartbeatInterval.Milliseconds())
	}
	p, err := newProcess(s, log, options...)
	if err != nil {
		return nil, err
	}
	p.entries = newEntrySet(agentEntryTimeout)
	conn, err := listen(s.OutboundAddress)
	if err != nil {
		return nil, err
	}
	a := &Agent{process: p, upstreamConn: conn}
	a.relay = relay.New(p.self, peer.Service(s.Service), p.codec, a, relay.WithLifetime(s.FlowLifetime), relay.WithColdBounds(s.ColdOverage, s.ColdSlack), relay.WithHeartbeatInterval(s.HeartbeatInterval))
	a.evacuations = newEvacuations(p, a.followEvacuation, func(domain string) bool { return domain == s.FailureDomain })
	return a, nil
}

// Run runs the agent until the context is canceled or a task ends, and then
// stops it gracefully. It returns the errors of its tasks.
func (a *Agent) Run(ctx context.Context) error {
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a.entries.add(a.now(), a.seeds()...)
	controlCtx, stopControl := context.WithCancel(taskCtx)
	defer stopControl()
	control := a.httpTask(a.settings.ControlAddress, a.controlHandler())
	controlEnded := make(chan struct{})
	tasks := []task{
		{"peers", func(context.Context) error { return a.receive("peers", a.peerConn, a.handlePeerDatagram) }},
		{"upstream", func(context.Context) error { return a.receive("upstream", a.upstreamConn, a.handleUpstreamPacket) }},
		{"tick", every(tickInterval, a.tick)},
		{"report", a.everyWithFastStart(a.needsFastStart, reportInterval, a.report)},
		{"check upstream", every(a.settings.HeartbeatInterval/4, a.checkOverdueUpstream)},
		{"check leaving upstream", every(tickInterval, a.checkLeavingUpstream)},
		{"discover entries", a.discoverEntries},
		a.metricsTask(map[string]func() any{
			"status":     func() any { return a.relay.Status(a.now()) },
			"admission":  func() any { return a.relay.Admission(a.now()) },
			"evacuation": a.evacuations.state,
			"flows":      func() any { held, _ := a.relay.Flows(); return held },
		}),
		{control.name, func(context.Context) error {
			defer close(controlEnded)
			return control.run(controlCtx)
		}},
		a.httpTask(a.settings.ReadyAddress, readyHandler(func() bool { return true })),
	}
	// Before any line of the tasks: it marks where the lines of this process begin.
	a.log.Info("agent started", zap.Stringer("agent", a.self), zap.String("service", a.settings.Service), zap.String("build", daemon.Revision()))
	ends := a.startTasks(taskCtx, tasks)
	a.probeUpstreamAtStart()
	a.report()
	var failure error
	running := len(tasks)
	select {
	case <-ctx.Done():
	case failure = <-ends:
		running--
	}
	stopControl()
	<-controlEnded // a deregistration that was accepted decides about the goodbye message
	a.stop()
	cancel()
	for range running {
		failure = errors.Join(failure, <-ends)
	}
	a.log.Info("agent stopped", daemon.Err(failure))
	return failure
}

// stop sends goodbye messages to the entries, resets the flows of an upstream that has
// deregistered and ended, returns the openings that wait, and closes the sockets. Unless the
// upstream has deregistered, the goodbye message announces that the agent will be restarted.
func (a *Agent) stop() {
	a.stopping.Store(true)
	a.sendMessage(peer.Goodbye, peer.GoodbyeMessage{Restarting: !a.relay.Deregistered()}, a.entries.known(a.now())...)
	if a.relay.Deregistered() {
		a.probeEnd()
	}
	a.relay.Stop(a.now())
	time.Sleep(closeDelay)
	if err := errors.Join(a.peerConn.Close(), a.upstreamConn.Close()); err != nil {
		a.log.Warn("sockets not closed", daemon.Err(err))
	}
}

// seeds returns the addresses of entries in the settings.
func (a *Agent) seeds() []peer.Addr { return peerAddrs(a.settings.Seeds) }

// peerAddrs converts addresses to those of the peer protocol.
func peerAddrs(in []netip.Addr) []peer.Addr {
	var out []peer.Addr
	for _, s := range in {
		out = append(out, peer.NewAddr(s))
	}
	return out
}

// ToUpstream implements relay.Port. It sends a packet to the upstream.
func (a *Agent) ToUpstream(packet []byte) {
	a.write(a.upstreamConn, a.settings.UpstreamAddress, packet)
}

// RecordLatency implements relay.Port. It records a latency.
func (a *Agent) RecordLatency(m relay.Measure, d time.Duration) {
	a.metrics.recordLatency(string(m), d)
}

// RecordDecision implements relay.Port. It counts and logs a decision. f is the
// frame that it concerns, nil if there is none.
func (a *Agent) RecordDecision(event relay.Event, flow segment.Flow, f *peer.Frame) {
	a.metrics.increment(string(event))
	fields := []zap.Field{zap.Stringer("flow", flow)}
	if f != nil {
		fields = append(fields, zap.Stringer("entry", f.Entry), zap.Int("hop", f.Hop), zap.Int("candidates", len(f.Candidates)))
	}
	if event == relay.Delayed {
		fields = append(fields, zap.Duration("patience-ms", f.Patience), zap.Uint8("priority", f.Priority))
	}
	a.log.Info(string(event), fields...)
}

// RecordReset implements relay.Port. It counts and logs the reset of a flow whose upstream
// has ended, with what it rests on.
func (a *Agent) RecordReset(flow segment.Flow, why relay.Reset) {
	a.metrics.increment(string(relay.ResetUpstreamEnded))
	a.metrics.increment(proofCounter + string(why.Proof))
	fields := []zap.Field{zap.Stringer("flow", flow), zap.String("proof", string(why.Proof)), zap.Uint32("start", why.Start)}
	if why.Reported != 0 {
		fields = append(fields, zap.Uint32("reported-start", why.Reported))
	}
	if why.Start != 0 {
		fields = append(fields, zap.Duration("age-ms", why.Age))
	}
	a.log.Info(string(relay.ResetUpstreamEnded), fields...)
}

// RecordClaim implements relay.Port. It counts and logs a heartbeat of another start than the
// present one that does not take its place.
func (a *Agent) RecordClaim(c relay.Claim) {
	message := "heartbeat of another start"
	if c.Late {
		message = "heartbeat ignored"
	}
	a.metrics.increment(strings.ReplaceAll(message, " ", "-"))
	a.log.Info(message, zap.String("upstream", c.Upstream.ID), zap.Uint64("sequence", c.Upstream.Sequence), zap.Uint32("start", c.Start),
		zap.String("present", c.PresentID), zap.Uint64("present-sequence", c.PresentSequence))
}

// RecordStart implements relay.Port. It logs the state of the upstream.
func (a *Agent) RecordStart(u relay.Upstream, start uint32, evidence relay.Succession) {
	a.log.Info("upstream", zap.String("upstream", u.ID), zap.Int64("born", u.Born), zap.Bool("draining", u.Draining),
		zap.Uint64("sequence", u.Sequence), zap.Duration("cold", u.ColdFor), zap.Uint32("start", start), zap.String("evidence", string(evidence)))
}

// handlePeerDatagram handles a datagram of an entry or of another agent.
func (a *Agent) handlePeerDatagram(from netip.AddrPort, b []byte) error {
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
		return a.handleHello(peer.NewAddr(from.Addr()), b)
	case peer.Goodbye:
		a.entries.markStopped(peer.NewAddr(from.Addr()))
		return nil
	default:
		return peer.ErrInvalidFrame
	}
}

// handleHello records the hello message of an entry. It reports at once to the
// sender, if it is new, and to the listed entries that were unknown. The message may begin
// or end the evacuation of the agent's failure domain, and change the rate at which a cold
// upstream is offered openings.
func (a *Agent) handleHello(from peer.Addr, b []byte) error {
	var hello peer.HelloMessage
	if err := peer.DecodeMessage(b, &hello); err != nil {
		return err
	}
	isNew := a.entries.recordHello(a.now(), from, hello)
	added := a.entries.add(a.now(), hello.Entries...)
	if isNew {
		a.log.Info("entry heard", zap.Stringer("entry", from))
		added = append(added, from)
	}
	a.evacuations.handleMessage(a.now(), from, hello.Evacuation)
	a.followColdRate(hello)
	a.reportTo(added...)
	return nil
}

// handleUpstreamPacket passes a packet of the upstream to the relay, and reports
// to the entries at once if the relay has just ejected the upstream.
func (a *Agent) handleUpstreamPacket(_ netip.AddrPort, b []byte) error {
	reportNow, err := a.relay.HandleUpstreamPacket(a.now(), b)
	if reportNow {
		a.report()
	}
	return err
}

// status returns the next status report of this agent.
func (a *Agent) status() peer.Status {
	st := a.relay.Status(a.now())
	st.Incarnation = a.started.UnixMilli()
	st.Sequence = a.sequence.Add(1)
	st.Service = a.settings.Service
	st.FailureDomain = a.settings.FailureDomain
	return st
}

// report sends the state of the upstream to all known entries.
func (a *Agent) report() { a.reportTo(a.entries.known(a.now())...) }

// needsFastStart reports whether the entries may not have received a report of
// this agent yet: less than a quarter of fastStartPeriod after its start, or while
// no entry is alive.
func (a *Agent) needsFastStart() bool {
	now := a.now()
	return now < fastStartPeriod/4 || len(a.entries.alive(now)) == 0
}

// reportTo sends the state of the upstream to the given entries. It sends
// nothing once the agent is stopping.
func (a *Agent) reportTo(entries ...peer.Addr) {
	if len(entries) == 0 || a.stopping.Load() {
		return
	}
	a.sendMessage(peer.Report, a.status(), entries...)
}

// controlHandler serves the upstream's HTTP calls: its heartbeats and the call
// that it makes before it stops.
func (a *Agent) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.HeartbeatPattern, a.handleHeartbeat)
	mux.HandleFunc(platform.DeregisterPattern, a.handleDeregistration)
	return mux
}

// handleHeartbeat passes a heartbeat of the upstream to the relay, and reports
// to the entries at once if the upstream's state changed. It rejects with 400 a
// heartbeat that cannot be decoded or is not from the agent's upstream.
func (a *Agent) handleHeartbeat(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxHeartbeatBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h, err := platform.DecodeHeartbeat(req.PathValue("id"), body)
	if err == nil {
		err = h.CheckFrom(a.settings.Service, a.settings.UpstreamAddress, a.settings.FailureDomain)
	}
	if err != nil {
		a.rejectHeartbeat(w, req.PathValue("id"), err)
		return
	}
	now := a.now()
	start := peer.StartID(h.ID, h.Born)
	if !a.relay.Fresh(now) {
		a.log.Info("heartbeat after a pause", zap.String("upstream", h.ID), zap.Uint64("sequence", h.Sequence), zap.Uint32("start", start))
	}
	u := relay.Upstream{
		ID: h.ID, Born: h.Born, Sequence: h.Sequence, Slots: h.Slots, Draining: h.Draining, ColdFor: h.ColdFor, Age: age(h.Born, time.Now()),
		Refused: a.relay.Vacant() && a.upstreamRefuses(),
	}
	changed := a.relay.HandleHeartbeat(now, u)
	present, sequence := a.relay.LastHeartbeat()
	if present == h.ID && sequence == h.Sequence {
		a.lastHeartbeat.Store(int64(now))
		a.upstreamEnded.Store(false)
	}
	if changed {
		a.report()
	}
	writeJSON(w, struct{}{})
}

// rejectHeartbeat logs and counts a heartbeat of another writer, with the field that shows it.
func (a *Agent) rejectHeartbeat(w http.ResponseWriter, id string, err error) {
	field := ""
	if heartbeatErr := (*platform.HeartbeatError)(nil); errors.As(err, &heartbeatErr) {
		field = heartbeatErr.Field
	}
	a.metrics.increment("bad-heartbeats")
	a.metrics.increment("bad-heartbeats-" + field)
	a.log.Warn("heartbeat rejected", zap.String("upstream", id), zap.String("field", field), daemon.Err(err))
	http.Error(w, err.Error(), http.StatusBadRequest)
}

// tick lets the relay expire what is old, and logs a pause of this process.
func (a *Agent) tick() {
	if gap := a.relay.Tick(a.now()); gap > 0 {
		a.log.Info("agent was paused", zap.Duration("gap-ms", gap))
	}
}

// age returns the time since an upstream started, given in Unix milliseconds by
// the clock of the instance that it shares with the agent. It is 0 if the start
// is unknown or, after the clock was set back, in the future.
func age(born int64, now time.Time) time.Duration {
	if born == 0 {
		return 0
	}
	return max(0, now.Sub(time.UnixMilli(born)))
}

// handleDeregistration handles the call that the upstream makes before it
// stops.
func (a *Agent) handleDeregistration(w http.ResponseWriter, req *http.Request) {
	a.relay.HandleDeregistration(a.now(), req.PathValue("id"))
	a.log.Info("upstream leaves", zap.String("upstream", req.PathValue("id")))
	a.report()
	writeJSON(w, struct{}{})
}

// checkOverdueUpstream probes an upstream whose heartbeat is overdue. A refused
// connection proves that its process has ended.
func (a *Agent) checkOverdueUpstream() {
	last := time.Duration(a.lastHeartbeat.Load())
	if last == 0 || a.upstreamEnded.Load() || a.now()-last < time.Duration(overdueIntervals*float64(a.settings.HeartbeatInterval)) {
		return
	}
	if a.probeEnd() {
		a.log.Warn("upstream ended", zap.Duration("since-heartbeat", a.now()-last))
		a.report()
	}
}

// checkLeavingUpstream probes an upstream that has deregistered, until a refused connection proves
// that its process has ended. The deregistration alone does not: it may be late.
func (a *Agent) checkLeavingUpstream() {
	now := a.now()
	if !a.relay.Leaving(now) {
		a.leavingProbes = probePause{}
		return
	}
	if !a.leavingProbes.due(now) {
		return
	}
	if a.probeEnd() {
		a.log.Info("upstream ended", zap.Bool("deregistered", true))
		a.report()
	}
}

// probeEnd probes the upstream, and marks it as ended if the connection is refused. It reports
// whether the end was not yet known.
func (a *Agent) probeEnd() bool {
	probed := a.now()
	listening, known := a.upstreamListens()
	if !known || listening || !a.relay.MarkEnded(a.now(), probed) {
		return false
	}
	a.upstreamEnded.Store(true)
	return true
}

// upstreamRefuses reports whether the upstream's address refuses connections, so that no process
// listens there.
func (a *Agent) upstreamRefuses() bool {
	listening, known := a.upstreamListens()
	return known && !listening
}

// due reports whether the next probe is due, and if so doubles the pause after it.
func (p *probePause) due(now time.Duration) bool {
	if now < p.next {
		return false
	}
	p.pause = min(max(2*p.pause, tickInterval), maxLeavingPause)
	p.next = now + p.pause
	return true
}

// probeUpstreamAtStart checks an upstream that may have been started before the
// agent, so that the agent need not wait for the upstream's next heartbeat. It
// marks the upstream as ended if no process listens at its address, and assumes
// that it is ready if its health check succeeds, both only if no heartbeat has
// arrived by then.
func (a *Agent) probeUpstreamAtStart() {
	probed := a.now()
	listening, known := a.upstreamListens()
	if known && !listening && a.lastHeartbeat.Load() == 0 && a.relay.MarkEnded(a.now(), probed) {
		a.log.Info("upstream not listening yet")
	}
	if !known || !listening {
		return
	}
	client := &http.Client{Timeout: probeTimeout}
	resp, err := client.Get("http://" + a.settings.UpstreamAddress.String() + platform.HealthPath)
	if err != nil {
		a.log.Info("health check of upstream failed", daemon.Err(err))
		return
	}
	if err := resp.Body.Close(); err != nil {
		a.log.Info("health check response not closed", daemon.Err(err))
	}
	if resp.StatusCode == http.StatusOK && a.lastHeartbeat.Load() == 0 {
		a.relay.AssumeReady(assumedSlots)
	}
	a.log.Info("health check of upstream", zap.Int("status", resp.StatusCode))
}

// upstreamListens reports whether the upstream accepts connections. known is
// false if the probe was inconclusive, such as after a timeout.
func (a *Agent) upstreamListens() (listening, known bool) {
	conn, err := net.DialTimeout("tcp4", a.settings.UpstreamAddress.String(), probeTimeout)
	if err != nil {
		return false, platform.IsConnectionRefused(err)
	}
	if err := conn.Close(); err != nil {
		a.log.Info("connection not closed", daemon.Err(err))
	}
	return true, true
}

// discoverEntries reads the entries from the store every discoveryInterval
// while no entry is alive, and reports to those that were unknown.
func (a *Agent) discoverEntries(ctx context.Context) error {
	return every(discoveryInterval, func() {
		if len(a.entries.alive(a.now())) > 0 {
			return
		}
		r, err := a.readRegistry(ctx, true)
		if err != nil {
			a.log.Warn("entries not read from the store", daemon.Err(err))
			return
		}
		a.reportTo(a.entries.add(a.now(), r.entries...)...)
	})(ctx)
}

// writeJSON writes v as the JSON body of a response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return // the client has closed the connection
	}
}

// readyHandler serves the readiness probe: 200 while ready returns true, 503
// otherwise.
func readyHandler(ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPattern, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
