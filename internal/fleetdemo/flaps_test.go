package fleetdemo

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// newFlappingUpstream returns an upstream without an agent that runs, of a soak with flaps. Its
// health checks are stopped at the end of the test.
func newFlappingUpstream(t *testing.T) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	u := &upstream{
		site: &site{log: zap.NewNop(), flaps: true}, name: "u-0", id: "u-0", settings: &platform.Settings{UpstreamAddress: address},
		flows: make(map[segment.Flow]*heldFlow), wake: make(chan struct{}, 1), random: rand.New(rand.NewPCG(1, 1)),
	}
	if err := u.health.start(address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := u.health.stop(); err != nil {
			t.Error(err)
		}
	})
	return u
}

// TestRestartOfFlappingUpstream covers what an agent sees of a restart: connections are refused
// meanwhile, the new start has an id of its own, takes no packets before its first heartbeat, and
// has no flow of the last one.
func TestRestartOfFlappingUpstream(t *testing.T) {
	is := is.New(t)
	u := newFlappingUpstream(t)
	flow := segment.NewFlow(netip.MustParseAddrPort("100.64.0.7:1025"), vip)
	u.flows[flow] = &heldFlow{isn: 7}
	u.delayed = []delayedPacket{{packet: []byte{1}}}
	opening := segment.NewFlow(netip.MustParseAddrPort("100.64.0.7:1026"), vip)
	answers := func() int {
		answer, err := u.handlePacket(platform.EncodePacket(segment.Header{Flow: opening, Flags: segment.Open, Sequence: 1}, false))
		is.NoErr(err)
		return min(len(answer), 1)
	}
	var requests []string
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var body struct{ Seq int }
		is.NoErr(json.NewDecoder(r.Body).Decode(&body))
		requests = append(requests, fmt.Sprintf("%s %s seq %d, %d answers", r.Method, r.URL.Path, body.Seq, answers()))
	}))
	t.Cleanup(agent.Close)
	u.settings.ControlAddress = netip.MustParseAddrPort(agent.Listener.Addr().String())
	dial := func() error {
		conn, err := net.Dial("tcp4", u.settings.UpstreamAddress.String())
		if err != nil {
			return err
		}
		return conn.Close()
	}
	is.NoErr(dial())
	done := make(chan struct{})
	go func() { defer close(done); u.restart(200*time.Millisecond, 0) }()
	for {
		_, _, held := u.holds(flow)
		if !held {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, _, due := u.nextHeartbeat()
	is.True(!due)
	for !errors.Is(dial(), syscall.ECONNREFUSED) {
		time.Sleep(time.Millisecond)
	}
	<-done
	is.NoErr(dial())
	is.Equal(requests, []string{"PUT /instances/u-0-1 seq 1, 0 answers"})
	id, body, due := u.nextHeartbeat()
	is.True(due)
	is.Equal(id, "u-0-1")
	is.True(strings.Contains(body, `"seq":2,`))
	is.True(strings.Contains(body, `"born":0`)) // not reported
	is.Equal(answers(), 1)
	is.Equal(len(u.latePackets(time.Now())), 0)
}

// TestAnswerToOpeningIsRepeated covers an opening whose caller goes on with another upstream:
// the answer is repeated after 0.2 s, 0.4 s and so on up to 1.6 s, eight times, and then the
// flow is dropped. That of a flow which its caller has acknowledged is not repeated.
func TestAnswerToOpeningIsRepeated(t *testing.T) {
	is := is.New(t)
	u := newFlappingUpstream(t)
	begin := time.Now()
	flow := segment.NewFlow(netip.MustParseAddrPort("100.64.0.7:1025"), vip)
	u.flows[flow] = &heldFlow{isn: 7, repeatAt: begin.Add(answerRepeat)}
	u.flows[segment.NewFlow(netip.MustParseAddrPort("100.64.0.7:1026"), vip)] = &heldFlow{open: true}
	var times []time.Duration
	for at := time.Duration(0); at < time.Minute; at += answerRepeat / 2 {
		for _, b := range u.latePackets(begin.Add(at)) {
			h, err := platform.DecodeFromUpstream(b)
			is.NoErr(err)
			is.True(h.Has(segment.Open | segment.Ack))
			is.Equal(h.Sequence, uint32(7))
			times = append(times, at)
		}
	}
	const ms = time.Millisecond
	is.Equal(times, []time.Duration{200 * ms, 600 * ms, 1400 * ms, 3000 * ms, 4600 * ms, 6200 * ms, 7800 * ms, 9400 * ms})
	is.Equal(u.flowCount(), 1)
}

// TestSlowUpstreamAnswersLate covers the answers of a slow upstream, which another one may
// overtake.
func TestSlowUpstreamAnswersLate(t *testing.T) {
	is := is.New(t)
	u := newFlappingUpstream(t)
	is.True(!u.delayPacket([]byte{1}))
	u.setDelay(300 * time.Millisecond)
	is.True(u.delayPacket([]byte{2}))
	is.Equal(len(u.latePackets(time.Now())), 0)
	is.Equal(u.latePackets(time.Now().Add(300*time.Millisecond)), [][]byte{{2}})
	is.Equal(len(u.latePackets(time.Now().Add(time.Second))), 0)
}
