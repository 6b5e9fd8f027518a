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
		id         string
		settings   *platform.Settings
		conn       *net.UDPConn
		health     *http.Server
		random     *rand.Rand // of initial sequence numbers
		stopAgent  func() error
		cancel     context.CancelFunc // ends the heartbeats
		taskErrors []chan error       // receives the error of each task at its end
		draining   chan struct{}      // closed when the upstream begins to drain

		mu         sync.Mutex
		flows      map[segment.Flow]*heldFlow
		terminated bool  // ended for good
		born       int64 // start time in Unix milliseconds
		heartbeats int   // since that start
		down       bool  // crashed: neither answers packets nor sends heartbeats, but passes health checks
		failing    bool  // resets each flow at its next request
	}

	// heldFlow is the state of a flow at an upstream: its own initial and next
	// sequence numbers, the next one of the caller, and the last response.
	heldFlow struct {
		// open is set once the caller has acknowledged isn. Until then the caller may go on
		// with another upstream that has accepted the same opening.
		open                  bool
		isn, nextSeq, wantSeq uint32
		last                  []byte
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
	listener, err := net.Listen("tcp4", settings.UpstreamAddress.String())
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "listen for the upstream's health checks"), conn.Close())
	}
	stopAgent, err := s.startProcess(roleAgent, settings)
	if err != nil {
		return nil, errors.Join(err, conn.Close(), listener.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	u := &upstream{
		site: s, id: fmt.Sprintf("u-%d", n), settings: settings, conn: conn, cancel: cancel,
		health: &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})},
		random: rand.New(rand.NewPCG(seed, uint64(n))), draining: make(chan struct{}), flows: make(map[segment.Flow]*heldFlow), born: time.Now().UnixMilli(),
	}
	u.stopAgent = stopAgent
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	u.startTask(func() error { return u.serve() })
	u.startTask(func() error { return u.sendHeartbeats(ctx) })
	u.startTask(func() error {
		if err := u.health.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve the upstream's health checks")
		}
		return nil
	})
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
	close(u.draining)
	time.Sleep(after)
	return u.stop()
}

// stop deregisters the upstream, ends it and stops its agent.
func (u *upstream) stop() error {
	u.callAgent(http.MethodDelete, "")
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
	err := errors.Join(u.conn.Close(), u.health.Close())
	for _, done := range u.taskErrors {
		err = errors.Join(err, <-done)
	}
	return err
}

// holds reports whether the upstream runs and holds the flow, and returns its initial
// sequence number of the flow and its id.
func (u *upstream) holds(flow segment.Flow) (isn uint32, id string, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[flow]
	if u.terminated || f == nil {
		return 0, "", false
	}
	return f.isn, u.id, true
}

// flowCount returns the number of flows that the upstream holds.
func (u *upstream) flowCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.flows)
}

// sendHeartbeats sends a heartbeat to the agent every heartbeatInterval, and at
// once when draining begins, until the context ends.
func (u *upstream) sendHeartbeats(ctx context.Context) error {
	for ctx.Err() == nil {
		state := "ready"
		draining := u.draining
		if u.isDraining() {
			state, draining = "draining", nil
		}
		if body, up := u.nextHeartbeat(state); up {
			u.callAgent(http.MethodPut, body)
		}
		select {
		case <-ctx.Done():
		case <-draining:
		case <-time.After(heartbeatInterval):
		}
	}
	return nil
}

// nextHeartbeat returns the JSON body of the next heartbeat with a state, and
// false while the upstream is down.
func (u *upstream) nextHeartbeat(state string) (string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heartbeats++
	return fmt.Sprintf(`{"service":%q,"slots":%d,"state":%q,"cold-remaining-ms":0,"seq":%d,"born":%d}`,
		u.settings.Service, slots, state, u.heartbeats, u.born), !u.down
}

// crash drops the upstream's flows and starts it again, with the same id, after
// the time down. It returns after the restart.
func (u *upstream) crash(down time.Duration) {
	u.mu.Lock()
	u.down, u.flows = true, make(map[segment.Flow]*heldFlow)
	u.mu.Unlock()
	time.Sleep(down)
	u.mu.Lock()
	defer u.mu.Unlock()
	// An overlapping crash may have ended before this one, and the upstream may
	// have accepted flows since. This restart drops them as well.
	u.flows = make(map[segment.Flow]*heldFlow)
	u.down, u.born, u.heartbeats = false, time.Now().UnixMilli(), 0
}

// fail makes the upstream reset each of its flows at the next request, for the
// given time.
func (u *upstream) fail(d time.Duration) {
	u.setFailing(true)
	time.Sleep(d)
	u.setFailing(false)
}

func (u *upstream) setFailing(failing bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failing = failing
}

// callAgent sends an HTTP request to the agent's path for this upstream: PUT for a
// heartbeat, DELETE to deregister it.
func (u *upstream) callAgent(method, body string) {
	req, err := http.NewRequest(method, "http://"+u.settings.ControlAddress.String()+"/instances/"+u.id, strings.NewReader(body))
	if err != nil {
		u.site.log.Error("request to the agent not created", zap.Error(err))
		return
	}
	client := &http.Client{Timeout: heartbeatInterval}
	resp, err := client.Do(req)
	if err != nil {
		return // the agent may be restarting; the next heartbeat repeats the state
	}
	if err := resp.Body.Close(); err != nil {
		u.site.log.Error("response of the agent not closed", zap.Error(err))
	}
}

// serve handles packets until the socket is closed.
func (u *upstream) serve() error {
	return eachPacket(u.conn, func(_ netip.AddrPort, b []byte) {
		response, err := u.handlePacket(b)
		if err != nil || response == nil {
			return // malformed, or without a response
		}
		if _, err := u.conn.WriteToUDPAddrPort(response, u.settings.OutboundAddress); err != nil && !errors.Is(err, net.ErrClosed) {
			u.site.log.Error("upstream's response not sent", zap.Error(err))
		}
	})
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
	case u.down:
		return nil, nil
	case u.failing && owned && h.Length > 0:
		delete(u.flows, h.Flow)
		return u.packet(h.Flow, segment.Reset, f.nextSeq, 0, 0), nil
	case h.Opens() && f == nil:
		f = &heldFlow{isn: u.random.Uint32(), wantSeq: h.Sequence + 1}
		f.nextSeq = f.isn + 1
		u.flows[h.Flow] = f
		u.site.checkOpening(u.settings.FailureDomain)
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
		u.site.log.Error("request ran again", zap.String("upstream", u.id), zap.Stringer("flow", h.Flow))
	}
	f.open = true
	f.wantSeq += uint32(h.Length)
	flags := segment.Ack
	if u.isDraining() {
		delete(u.flows, h.Flow)
		flags |= segment.Fin // the caller opens its next flow at another upstream
	}
	f.last = u.packet(h.Flow, flags, f.nextSeq, f.wantSeq, responseBytes)
	f.nextSeq += responseBytes
	return f.last, nil
}

func (u *upstream) isDraining() bool {
	select {
	case <-u.draining:
		return true
	default:
		return false
	}
}

// packet returns an encoded packet of the upstream.
func (u *upstream) packet(flow segment.Flow, flags segment.Flags, seq, ack uint32, length uint16) []byte {
	return platform.EncodePacket(segment.Header{Flow: flow, Flags: flags, Sequence: seq, Acknowledged: ack, Length: length}, true)
}
