package fleetdemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// answerBytes is the size of an upstream's answer.
const answerBytes = 200

type (
	// upstream holds flows, answers requests at once, and returns packets of
	// flows that it does not hold. The agent beside it is part of it.
	upstream struct {
		site      *site
		id        string
		settings  *platform.Settings
		conn      *net.UDPConn
		health    *http.Server
		random    *rand.Rand
		stopAgent func() error
		cancel    context.CancelFunc
		ended     []chan error
		draining  chan struct{}

		mu    sync.Mutex
		flows map[segment.Flow]*held
		gone  bool
		born  int64 // Unix milliseconds
		beats int   // of this start
		down  bool  // neither answers nor calls
		fails bool  // resets each flow with its next request
	}

	// held is a flow at an upstream.
	held struct {
		first, next, want uint32
		last              []byte
	}
)

func (s *site) startUpstream(n int, seed uint64) (*upstream, error) {
	settings := s.settings(s.host(byte(firstUpstream + n)))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.UpstreamAddress))
	if err != nil {
		return nil, errors.Wrap(err, "upstream")
	}
	listener, err := net.Listen("tcp4", settings.UpstreamAddress.String())
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "upstream"), conn.Close())
	}
	stopAgent, err := s.run(roleAgent, settings)
	if err != nil {
		return nil, errors.Join(err, conn.Close(), listener.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	u := &upstream{
		site: s, id: fmt.Sprintf("u-%d", n), settings: settings, conn: conn, cancel: cancel,
		health: &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})},
		random: rand.New(rand.NewPCG(seed, uint64(n))), draining: make(chan struct{}), flows: make(map[segment.Flow]*held), born: time.Now().UnixMilli(),
	}
	u.stopAgent = stopAgent
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	u.run(func() error { return u.serve() })
	u.run(func() error { return u.beat(ctx) })
	u.run(func() error {
		if err := u.health.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "upstream's health")
		}
		return nil
	})
	return u, nil
}

func (u *upstream) run(f func() error) {
	done := make(chan error, 1)
	u.ended = append(u.ended, done)
	go func() { done <- f() }()
}

// leave drains the upstream for a while, ends it and stops its agent.
func (u *upstream) leave(after time.Duration) error {
	close(u.draining)
	time.Sleep(after)
	return u.stop()
}

// stop ends the upstream and its agent.
func (u *upstream) stop() error {
	u.call(http.MethodDelete, "")
	err := u.end()
	time.Sleep(probeEvery) // the agent tells the callers of open flows
	return errors.Join(err, u.stopAgent())
}

// end ends the upstream alone, as a crash does.
func (u *upstream) end() error {
	u.mu.Lock()
	u.gone = true
	u.mu.Unlock()
	u.cancel()
	err := errors.Join(u.conn.Close(), u.health.Close())
	for _, done := range u.ended {
		err = errors.Join(err, <-done)
	}
	return err
}

func (u *upstream) holds(flow segment.Flow, first uint32) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[flow]
	return !u.gone && f != nil && f.first == first
}

// count returns how many flows the upstream holds.
func (u *upstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.flows)
}

// beat tells the agent how the upstream does.
func (u *upstream) beat(ctx context.Context) error {
	for ctx.Err() == nil {
		state := "ready"
		draining := u.draining
		if u.drains() {
			state, draining = "draining", nil
		}
		if body, up := u.heartbeat(state); up {
			u.call(http.MethodPut, body)
		}
		select {
		case <-ctx.Done():
		case <-draining:
		case <-time.After(beatEvery):
		}
	}
	return nil
}

// heartbeat returns the next heartbeat, and false while the upstream is down.
func (u *upstream) heartbeat(state string) (string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.beats++
	return fmt.Sprintf(`{"service":%q,"slots":%d,"state":%q,"cold-remaining-ms":0,"seq":%d,"born":%d}`,
		service, slots, state, u.beats, u.born), !u.down
}

// crash loses the upstream's flows; it starts again under its id after a while.
func (u *upstream) crash(down time.Duration) {
	u.mu.Lock()
	u.down, u.flows = true, make(map[segment.Flow]*held)
	u.mu.Unlock()
	time.Sleep(down)
	u.mu.Lock()
	defer u.mu.Unlock()
	// Another crash may have ended meanwhile; a new start holds nothing either.
	u.flows = make(map[segment.Flow]*held)
	u.down, u.born, u.beats = false, time.Now().UnixMilli(), 0
}

// fail lets the upstream reset its flows with their next request for a while.
func (u *upstream) fail(d time.Duration) {
	u.setFails(true)
	time.Sleep(d)
	u.setFails(false)
}

func (u *upstream) setFails(fails bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fails = fails
}

func (u *upstream) call(method, body string) {
	req, err := http.NewRequest(method, "http://"+u.settings.ControlAddress.String()+"/instances/"+u.id, strings.NewReader(body))
	if err != nil {
		u.site.log.Error("heartbeat", zap.Error(err))
		return
	}
	client := &http.Client{Timeout: beatEvery}
	resp, err := client.Do(req)
	if err != nil {
		return // the agent may be starting; the next one follows
	}
	if err := resp.Body.Close(); err != nil {
		u.site.log.Error("heartbeat", zap.Error(err))
	}
}

// serve answers packets until the socket is closed.
func (u *upstream) serve() error {
	return eachPacket(u.conn, func(b []byte) {
		answer, err := u.answer(b)
		if err != nil || answer == nil {
			return // malformed, or an acknowledgement
		}
		if _, err := u.conn.WriteToUDPAddrPort(answer, u.settings.OutboundAddress); err != nil && !errors.Is(err, net.ErrClosed) {
			u.site.log.Error("upstream's answer", zap.Error(err))
		}
	})
}

func (u *upstream) answer(b []byte) ([]byte, error) {
	h, err := platform.DecodeFromCaller(b)
	if err != nil {
		return nil, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[h.Flow]
	switch {
	case u.down:
		return nil, nil
	case u.fails && f != nil && h.Length > 0:
		delete(u.flows, h.Flow)
		return u.packet(h.Flow, segment.Reset, f.next, 0, 0), nil
	case h.Opens() && f == nil:
		f = &held{first: u.random.Uint32(), want: h.Sequence + 1}
		f.next = f.first + 1
		u.flows[h.Flow] = f
		fallthrough
	case h.Opens():
		return u.packet(h.Flow, segment.Open|segment.Ack, f.first, f.want, 0), nil
	case f == nil:
		platform.MarkReturned(b)
		return b, nil
	case h.Length == 0:
		return nil, nil
	case h.Sequence != f.want:
		return f.last, nil // a copy of a request that was answered
	}
	f.want += uint32(h.Length)
	flags := segment.Ack
	if u.drains() {
		delete(u.flows, h.Flow)
		flags |= segment.Fin // the caller opens its next flow elsewhere
	}
	f.last = u.packet(h.Flow, flags, f.next, f.want, answerBytes)
	f.next += answerBytes
	return f.last, nil
}

func (u *upstream) drains() bool {
	select {
	case <-u.draining:
		return true
	default:
		return false
	}
}

func (u *upstream) packet(flow segment.Flow, flags segment.Flags, seq, ack uint32, length uint16) []byte {
	return platform.EncodePacket(segment.Header{Flow: flow, Flags: flags, Sequence: seq, Acknowledged: ack, Length: length}, true)
}
