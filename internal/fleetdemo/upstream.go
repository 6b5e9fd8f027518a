package fleetdemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// responseBytes is the payload size of a response.
const responseBytes = 200

type (
	// upstream is a server with the agent beside it. It responds to requests
	// immediately, and bounces packets of flows that it does not hold.
	upstream struct {
		site       *site
		name       string // of all its starts
		settings   *platform.Settings
		conn       *net.UDPConn
		health     healthCheck
		random     *rand.Rand // of initial sequence numbers
		stopAgent  func() error
		cancel     context.CancelFunc // ends the heartbeats
		taskErrors []chan error       // receives the error of each task at its end
		wake       chan struct{}      // receives a value when a heartbeat is due at once
		restarts   sync.Mutex         // held during a restart

		mu         sync.Mutex
		id         string // of the present start
		starts     int
		flows      map[segment.Flow]*heldFlow
		terminated bool      // ended for good
		born       int64     // start time in Unix milliseconds
		heartbeats int       // since that start
		draining   bool      // accepts flows and ends each with its next response
		drainAcked time.Time // when its agent acknowledged that; zero before
		down       bool      // ended: neither answers packets nor sends heartbeats
		starting   bool      // takes no packets yet
		silent     time.Time // until then it sends no heartbeats
		failing    bool      // resets each flow at its next request
		// delay is the time by which its packets are late, delayed those that are not sent yet.
		delay   time.Duration
		delayed []delayedPacket
	}

	// heldFlow is the state of a flow at an upstream: its own initial and next
	// sequence numbers, the next one of the caller, and the last response.
	heldFlow struct {
		// open is set once the caller has acknowledged isn. Until then the caller may go on
		// with another upstream that has accepted the same opening.
		open                  bool
		accepted              time.Time
		isn, nextSeq, wantSeq uint32
		last                  []byte
		// Until the flow is open, the answer to the opening is repeated at this time.
		repeatAt time.Time
		repeated int
	}
)

// startUpstream starts upstream number n, from 0, and its agent.
func (s *site) startUpstream(n int, seed uint64) (*upstream, error) {
	settings := s.settings(s.host(byte(firstUpstream + n)))
	if n%2 == 1 {
		settings.FailureDomain = annexDomain
		if s.moves {
			settings.Service = otherService
		}
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.UpstreamAddress))
	if err != nil {
		return nil, errors.Wrap(err, "open the upstream's socket")
	}
	name := fmt.Sprintf("u-%d", n)
	u := &upstream{
		site: s, name: name, id: name, settings: settings, conn: conn, wake: make(chan struct{}, 1),
		random: rand.New(rand.NewPCG(seed, uint64(n))), flows: make(map[segment.Flow]*heldFlow), born: time.Now().UnixMilli(),
	}
	if err := u.health.start(settings.UpstreamAddress); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	stopAgent, err := s.startProcess(roleAgent, settings)
	if err != nil {
		return nil, errors.Join(err, conn.Close(), u.health.stop())
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel, u.stopAgent = cancel, stopAgent
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	u.startTask(func() error { return u.serve() })
	u.startTask(func() error { return u.sendHeartbeats(ctx) })
	if s.flaps {
		u.startTask(func() error { return u.sendLatePackets(ctx) })
	}
	return u, nil
}

// startTask runs a task in a goroutine. terminate waits for its end.
func (u *upstream) startTask(f func() error) {
	done := make(chan error, 1)
	u.taskErrors = append(u.taskErrors, done)
	go func() { done <- f() }()
}

// drainAndStop drains the upstream for the given time, ends it and stops its
// agent.
func (u *upstream) drainAndStop(after time.Duration) error {
	u.drain()
	time.Sleep(after)
	return u.stop()
}

// stop deregisters the upstream, ends it and stops its agent.
func (u *upstream) stop() error {
	u.callAgent(http.MethodDelete, u.currentID(), "")
	err := u.terminate()
	time.Sleep(probeInterval) // for the agent to reset the open flows
	return errors.Join(err, u.stopAgent())
}

// terminate ends the upstream without a message to its agent, which keeps
// running.
func (u *upstream) terminate() error {
	u.mu.Lock()
	u.terminated = true
	u.mu.Unlock()
	u.cancel()
	err := errors.Join(u.conn.Close(), u.health.stop())
	for _, done := range u.taskErrors {
		err = errors.Join(err, <-done)
	}
	return err
}

// holds reports whether the upstream runs and holds the flow, and returns its initial
// sequence number of the flow and its id, with the time at which it accepted the flow and a note
// if that is not open yet.
func (u *upstream) holds(flow segment.Flow) (isn uint32, id string, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[flow]
	if u.terminated || f == nil {
		return 0, "", false
	}
	id = u.id
	if !f.accepted.IsZero() {
		id += f.accepted.Format(", accepted " + timeFormat + ",")
	}
	if !f.open {
		id = strings.TrimSuffix(id, ",") + ", unacknowledged,"
	}
	return f.isn, id, true
}

// flowCount returns the number of flows that the upstream holds.
func (u *upstream) flowCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.flows)
}

// sendHeartbeats sends a heartbeat to the agent every heartbeat interval, and at
// once when draining or a new start begins, until the context ends.
func (u *upstream) sendHeartbeats(ctx context.Context) error {
	for ctx.Err() == nil {
		u.reportToAgent()
		select {
		case <-ctx.Done():
		case <-u.wake:
		case <-time.After(u.settings.HeartbeatInterval):
		}
	}
	return nil
}

// sendHeartbeat lets sendHeartbeats send one at once.
func (u *upstream) sendHeartbeat() {
	select {
	case u.wake <- struct{}{}:
	default: // one is due already
	}
}

// nextHeartbeat returns the id of the upstream and the JSON body of its next heartbeat, and
// false while it sends none. A start with an id of its own does not report its time.
func (u *upstream) nextHeartbeat() (id, body string, due bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down || time.Now().Before(u.silent) {
		return "", "", false
	}
	u.heartbeats++
	state, born := "ready", u.born
	if u.draining {
		state = "draining"
	}
	if u.site.flaps {
		born = 0
	}
	return u.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-remaining-ms":0,"seq":%d,"born":%d}`,
		u.settings.Service, u.settings.UpstreamAddress, u.settings.FailureDomain, slots, state, u.heartbeats, born), true
}

// drain makes the upstream end each flow with its next response.
func (u *upstream) drain() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	u.sendHeartbeat()
}

func (u *upstream) currentID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id
}

// crash drops the upstream's flows and starts it again after the time down, with the same id
// and without failing health checks, unless upstreams flap. It returns after the restart.
func (u *upstream) crash(down time.Duration) {
	defer u.disturb()()
	if u.site.flaps {
		u.restart(down, 0)
		return
	}
	u.mu.Lock()
	u.down, u.flows = true, make(map[segment.Flow]*heldFlow)
	u.mu.Unlock()
	time.Sleep(down)
	u.mu.Lock()
	defer u.mu.Unlock()
	// An overlapping crash may have ended before this one, and the upstream may
	// have accepted flows since. This restart drops them as well.
	u.flows = make(map[segment.Flow]*heldFlow)
	u.down, u.born, u.heartbeats, u.drainAcked = false, time.Now().UnixMilli(), 0, time.Time{}
}

// fail makes the upstream reset each of its flows at the next request, for the
// given time.
func (u *upstream) fail(d time.Duration) {
	defer u.disturb()()
	u.setFailing(true)
	time.Sleep(d)
	u.setFailing(false)
}

// disturb records that the upstreams of the site are disturbed until the returned function is
// called.
func (u *upstream) disturb() (end func()) {
	u.site.judge.beginDisturbance(anyUpstream)
	return func() { u.site.judge.endDisturbance(anyUpstream, time.Now()) }
}

func (u *upstream) setFailing(failing bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failing = failing
}

// callAgent sends an HTTP request to the agent's path for a start of the upstream: PUT for a
// heartbeat, DELETE to deregister it. It reports whether the agent has acknowledged it.
func (u *upstream) callAgent(method, id, body string) (acknowledged bool) {
	req, err := http.NewRequest(method, "http://"+u.settings.ControlAddress.String()+"/instances/"+id, strings.NewReader(body))
	if err != nil {
		u.site.log.Error("request to the agent not created", zap.Error(err))
		return false
	}
	client := &http.Client{Timeout: u.settings.HeartbeatInterval}
	resp, err := client.Do(req)
	if err != nil {
		return false // the agent may be restarting; the next heartbeat repeats the state
	}
	if err := resp.Body.Close(); err != nil {
		u.site.log.Error("response of the agent not closed", zap.Error(err))
	}
	return resp.StatusCode == http.StatusOK
}

// reportToAgent sends the upstream's heartbeat if one is due.
func (u *upstream) reportToAgent() {
	id, body, due := u.nextHeartbeat()
	if !due || !u.callAgent(http.MethodPut, id, body) || !strings.Contains(body, `"draining"`) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.id == id && u.draining && u.drainAcked.IsZero() {
		u.drainAcked = time.Now()
	}
}

// serve handles packets until the socket is closed.
func (u *upstream) serve() error {
	return eachPacket(u.conn, func(_ netip.AddrPort, b []byte) {
		response, err := u.handlePacket(b)
		if err != nil || response == nil || u.delayPacket(response) {
			return // malformed, without a response, or it is sent later
		}
		u.send(response)
	})
}

// send sends a packet to the agent.
func (u *upstream) send(packet []byte) {
	if _, err := u.conn.WriteToUDPAddrPort(packet, u.settings.OutboundAddress); err != nil && !errors.Is(err, net.ErrClosed) {
		u.site.log.Error("upstream's response not sent", zap.Error(err))
	}
}

// handlePacket handles a packet from the agent and returns the packet to send
// back, nil if there is none.
func (u *upstream) handlePacket(b []byte) ([]byte, error) {
	h, err := platform.DecodeFromCaller(b)
	if err != nil {
		return nil, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[h.Flow]
	owned := f != nil && (f.open || h.Acknowledged == f.isn+1)
	switch {
	case u.down || u.starting:
		return nil, nil
	case u.failing && owned && h.Length > 0:
		delete(u.flows, h.Flow)
		return u.packet(h.Flow, segment.Reset, f.nextSeq, 0, 0), nil
	case h.Opens() && f == nil:
		now := time.Now()
		f = &heldFlow{accepted: now, isn: u.random.Uint32(), wantSeq: h.Sequence + 1, repeatAt: now.Add(answerRepeat)}
		f.nextSeq = f.isn + 1
		u.flows[h.Flow] = f
		u.site.checkOpening(u.settings.FailureDomain)
		u.site.judgeDraining(h, u.id, u.settings.Address, u.drainAcked)
		u.site.judgeOpening(h, u.settings.Service, u.settings.Address)
		fallthrough
	case h.Opens():
		return u.packet(h.Flow, segment.Open|segment.Ack, f.isn, f.wantSeq, 0), nil
	case !owned:
		platform.MarkBounced(b)
		return b, nil
	case h.Length == 0:
		f.open = true
		return nil, nil
	case h.Sequence != f.wantSeq:
		return f.last, nil // a retransmitted request that was answered
	}
	if u.site.requests.recordRun(h.Flow, h.Sequence) {
		now := time.Now()
		u.site.incidents.add(incident{now, h.Flow.String(), u.settings.Address.String(), fmt.Sprintf("upstream %s runs a request of flow %s again at %s", u.id, h.Flow, now.Format(timeFormat))})
	}
	f.open = true
	f.wantSeq += uint32(h.Length)
	flags := segment.Ack
	if u.draining {
		delete(u.flows, h.Flow)
		flags |= segment.Fin // the caller opens its next flow at another upstream
	}
	f.last = u.packet(h.Flow, flags, f.nextSeq, f.wantSeq, responseBytes)
	f.nextSeq += responseBytes
	return f.last, nil
}

// packet returns an encoded packet of the upstream.
func (u *upstream) packet(flow segment.Flow, flags segment.Flags, seq, ack uint32, length uint16) []byte {
	return platform.EncodePacket(segment.Header{Flow: flow, Flags: flags, Sequence: seq, Acknowledged: ack, Length: length}, true)
}
