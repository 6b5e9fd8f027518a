package fleet_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"hickoryhook.example/internal/fleet"
	"hickoryhook.example/internal/kvstandin"
	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

const (
	// waitTimeout bounds a wait for something that usually takes milliseconds.
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	vipText      = "198.18.0.1"
	vipPort      = 443
)

// testSite is an installation on loopback addresses of one test: a stand-in of
// the store, the sockets of an upstream and of a caller that the test plays,
// and the processes that the test starts.
type testSite struct {
	t            *testing.T
	store        *kvstandin.Store
	storeAddress string
	subnet       byte
	port         int
	upstream     *net.UDPConn
	caller       *net.UDPConn
}

// newTestSite opens the sockets and starts the store. subnet is the third byte
// of the site's addresses.
func newTestSite(t *testing.T, subnet byte) *testSite {
	t.Helper()
	s := &testSite{t: t, store: kvstandin.New(), subnet: subnet}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.storeAddress = strings.TrimPrefix(server.URL, "http://")
	s.port = freePorts(t, s.ip(1))
	s.upstream = s.listen(s.ip(2), s.port+6)
	s.caller = s.listen(s.ip(3), s.port+2)
	s.listenForProbes()
	return s
}

// listenForProbes lets the upstream accept connections. Its health checks fail, so that its agent
// waits for the first heartbeat.
func (s *testSite) listenForProbes() {
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", s.ip(2), s.port+6))
	if err != nil {
		s.t.Fatal(err)
	}
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.NotFoundHandler()}}
	server.Start()
	s.t.Cleanup(server.Close)
}

func (s *testSite) ip(host byte) string { return fmt.Sprintf("127.0.%d.%d", s.subnet, host) }

func (s *testSite) listen(ip string, port int) *net.UDPConn {
	s.t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// freePorts returns the first of ten consecutive ports that are likely free.
func freePorts(t *testing.T, ip string) int {
	t.Helper()
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port/10*10 - 10
}

// settings returns the settings of a process on a host.
func (s *testSite) settings(host byte) *platform.Settings {
	s.t.Helper()
	at := func(offset int) string { return fmt.Sprintf("%s:%d", s.ip(host), s.port+offset) }
	b, err := json.Marshal(map[string]any{
		"node-name": fmt.Sprintf("host-%d", host), "ip": s.ip(host), "zone": "graz-nord",
		"listen":         map[string]string{"datagrams": at(2), "ready": at(3), "control": at(4), "outbound": at(5)},
		"internal-ports": []int{s.port, s.port + 1}, "seeds": []string{}, "heartbeat-ms": 770, "bootstrap": true,
		"app": at(6), "service": "maklerlink",
		"bounds":   map[string]any{"grace-s": 6, "config-apply-ms": 3000, "flow-lifetime-s": 60},
		"platform": map[string]any{"address": s.storeAddress, "ttl-min-ms": 1000},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	settings, err := platform.DecodeSettings(b)
	if err != nil {
		s.t.Fatal(err)
	}
	return settings
}

// putConfig writes a configuration to the store that routes the VIPs to the
// service of the site's upstream.
func (s *testSite) putConfig(version int, vips ...string) {
	s.t.Helper()
	s.putConfigTo("maklerlink", version, vips...)
}

// putConfigTo writes a configuration to the store that routes the VIPs to a service.
func (s *testSite) putConfigTo(service string, version int, vips ...string) {
	s.t.Helper()
	var routes []map[string]any
	for _, vip := range vips {
		routes = append(routes, map[string]any{"name": vip, "host": vip, "prefix": fmt.Sprintf("/%d/", vipPort), "service": service})
	}
	b, err := json.Marshal(map[string]any{"version": version, "routes": routes})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Set(platform.ConfigKey, b)
}

// start starts a process and returns a function that stops it and waits for its
// end.
func (s *testSite) start(p interface{ Run(context.Context) error }) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	stopped := false
	stop := func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-done; err != nil {
			s.t.Error(err)
		}
	}
	s.t.Cleanup(stop)
	return stop
}

// sendHeartbeat sends a heartbeat of the upstream until the agent acknowledges
// it.
func (s *testSite) sendHeartbeat(state string, seq int) {
	s.t.Helper()
	body := fleet.HeartbeatBody(map[string]any{"state": state, "seq": seq, "address": s.settings(2).UpstreamAddress})
	url := fmt.Sprintf("http://%s:%d/instances/i-1", s.ip(2), s.port+4)
	s.eventually("a heartbeat is acknowledged", func() bool {
		req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
		if err != nil {
			s.t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (s *testSite) ready() bool { return s.readyAt(1) }

func (s *testSite) readyAt(host byte) bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/ready", s.ip(host), s.port+3))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually waits until f returns true, and fails the test after waitTimeout.
func (s *testSite) eventually(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if f() {
			return
		}
	}
	s.t.Fatalf("not reached: %s", what)
}

// openFlow sends an opening packet until the upstream or the caller receives a
// packet of the flow. It returns which of them did, and the flags of the packet.
// The sum of a packet's two ports is the same in both directions.
func (s *testSite) openFlow(vip string, callerPort int) (string, byte) {
	s.t.Helper()
	flow := segment.NewFlow(netip.AddrPortFrom(netip.MustParseAddr(s.ip(3)), uint16(callerPort)),
		netip.AddrPortFrom(netip.MustParseAddr(vip), vipPort))
	b := platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Open}, false)
	var receiver string
	var flags byte
	s.eventually("an opening to "+vip+" is answered", func() bool {
		if _, err := s.caller.WriteToUDP(b, &net.UDPAddr{IP: net.ParseIP(s.ip(1)), Port: s.port + 2}); err != nil {
			s.t.Fatal(err)
		}
		for name, conn := range map[string]*net.UDPConn{"upstream": s.upstream, "caller": s.caller} {
			buf := make([]byte, platform.MaxPacket)
			_ = conn.SetReadDeadline(time.Now().Add(pollInterval))
			n, err := conn.Read(buf)
			if err == nil && n >= platform.HeaderSize && binary.BigEndian.Uint16(buf[12:])+binary.BigEndian.Uint16(buf[14:]) == uint16(callerPort+vipPort) {
				receiver, flags = name, buf[24]
				return true
			}
		}
		return false
	})
	return receiver, flags
}

// gauge returns a value of a process's metrics, nil if there is none.
func (s *testSite) gauge(host byte, name string) any {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/debug/vars", s.ip(host), fleet.MetricsPort))
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var vars map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return nil
	}
	return vars[name]
}

// gaugeBefore reports whether a value of a process's metrics precedes another one.
func (s *testSite) gaugeBefore(host byte, name, other string) bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/debug/vars", s.ip(host), fleet.MetricsPort))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	at := bytes.Index(page, fmt.Appendf(nil, "%q", name))
	return err == nil && at >= 0 && at < bytes.Index(page, fmt.Appendf(nil, "%q", other))
}

// TestEntryAndAgentOverLoopback runs an entry and an agent with their sockets
// against the stand-in of the store. It covers a route that is added, an upstream
// that drains, and a store that fails.
func TestEntryAndAgentOverLoopback(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, 77)
	s.putConfig(1, vipText)
	// items of another writer that cannot be decoded are skipped
	s.store.Set("hickoryhook/entry/not-an-address", []byte("x"))
	s.store.Set("hickoryhook/entry/fe80::1", nil)
	s.store.Set("hickoryhook/agents", []byte(`{"agents":7}`))
	s.store.Set("hickoryhook/of-another-version", []byte{0xff})
	agent, err := fleet.NewAgent(s.settings(2), zap.NewNop())
	is.NoErr(err)
	s.start(agent)
	entry, err := fleet.NewEntry(s.settings(1), zap.NewNop())
	is.NoErr(err)
	stopEntry := s.start(entry)

	s.sendHeartbeat("ready", 1)
	s.eventually("the entry is ready", s.ready)
	s.sendHeartbeat("ready", 2)                  // due meanwhile: without it the agent takes the upstream for ended
	is.True(s.gaugeBefore(1, "about", "agents")) // a reader may cut off what follows the agents
	is.Equal(s.gauge(1, "about").(map[string]any)["config-version"], 1.0)
	receiver, flags := s.openFlow(vipText, 2001)
	is.Equal(receiver, "upstream")
	is.Equal(flags, byte(2)) // open

	// openings to a VIP without a route are refused until it has one
	receiver, flags = s.openFlow("198.18.0.9", 2002)
	is.Equal(receiver, "caller")
	is.Equal(flags, byte(1)) // reset
	s.sendHeartbeat("ready", 3)
	s.putConfig(2, vipText, "198.18.0.9")
	s.eventually("the new route is in force", func() bool {
		receiver, _ := s.openFlow("198.18.0.9", 2003)
		return receiver == "upstream"
	})

	// a draining upstream receives no openings: the caller is refused
	s.sendHeartbeat("draining", 4)
	s.eventually("openings are refused", func() bool {
		receiver, flags := s.openFlow(vipText, 2004)
		return receiver == "caller" && flags == 1
	})

	// the entry keeps serving while the store is unavailable
	s.store.SetFault(kvstandin.Busy)
	s.sendHeartbeat("ready", 5)
	s.eventually("openings are accepted again", func() bool {
		receiver, _ := s.openFlow(vipText, 2005)
		return receiver == "upstream"
	})
	s.store.SetFault(kvstandin.Healthy)
	s.eventually("the entry is registered", func() bool {
		_, ok := s.store.Get("hickoryhook/entry/" + s.ip(1))
		return ok
	})
	stopEntry()
	_, registered := s.store.Get("hickoryhook/entry/" + s.ip(1))
	is.True(!registered) // the entry removed its registration
}

// TestEntryThatTheStoreTurnsAwayRecallsItsFlows guards against flows that stay
// lost after a power loss: the store serves the other entries but refuses calls
// of the one that restarts, which must restore its flows through another entry.
func TestEntryThatTheStoreTurnsAwayRecallsItsFlows(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, 79)
	s.putConfig(5, vipText)
	flow := segment.NewFlow(netip.MustParseAddrPort("100.64.0.7:1001"), netip.AddrPortFrom(netip.MustParseAddr(vipText), vipPort))
	written, err := fleet.EncodeFlows([]director.FlowSnapshot{{Flow: flow, Owner: peer.Addr{127, 0, 79, 2}, Start: 7, Acknowledged: 9, Proven: true}})
	is.NoErr(err)
	s.store.Set("hickoryhook-flows/"+s.ip(4), written)
	first, err := fleet.NewEntry(s.settings(1), zap.NewNop())
	is.NoErr(err)
	s.start(first)

	refusing := kvstandin.New()
	refusing.SetFault(kvstandin.Busy)
	server := httptest.NewServer(refusing)
	t.Cleanup(server.Close)
	settings := s.settings(4)
	settings.Seeds = []netip.Addr{netip.MustParseAddr(s.ip(1))}
	settings.StoreAddress = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	second, err := fleet.NewEntry(settings, zap.NewNop())
	is.NoErr(err)
	s.start(second)
	s.eventually("the second entry has restored its flow", func() bool { return s.gauge(4, "flows") == 1.0 })
}

// TestEntryStartsWithoutTheStore guards against an entry that cannot start
// while the store does not respond: it must receive the configuration and the
// agents from another entry.
func TestEntryStartsWithoutTheStore(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, 78)
	s.putConfig(5, vipText)
	agent, err := fleet.NewAgent(s.settings(2), zap.NewNop())
	is.NoErr(err)
	s.start(agent)
	first, err := fleet.NewEntry(s.settings(1), zap.NewNop())
	is.NoErr(err)
	s.start(first)
	s.sendHeartbeat("ready", 1)
	s.eventually("the first entry is ready", s.ready)

	s.store.SetFault(kvstandin.Unresponsive)
	settings := s.settings(4)
	settings.Seeds = []netip.Addr{netip.MustParseAddr(s.ip(1))}
	second, err := fleet.NewEntry(settings, zap.NewNop())
	is.NoErr(err)
	s.start(second)
	s.eventually("the second entry is ready", func() bool { return s.readyAt(4) })
	// It has received from the first one which agents and services may hold
	// flows, so it may reset flows that none of them holds.
	s.eventually("the second entry is settled", func() bool { return s.gauge(4, "settled") == true })
	s.store.SetFault(kvstandin.Healthy)
}

// TestDeletedKeysReturn covers keys of the entries that something else deletes from the
// store. An entry that started then would take an empty read for complete.
func TestDeletedKeysReturn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t, 81)
	s.putConfig(5, vipText)
	agent, err := fleet.NewAgent(s.settings(2), zap.NewNop())
	is.NoErr(err)
	s.start(agent)
	entry, err := fleet.NewEntry(s.settings(1), zap.NewNop())
	is.NoErr(err)
	s.start(entry)
	s.sendHeartbeat("ready", 1)
	keys := []string{"hickoryhook/agents", "hickoryhook/holders", "hickoryhook/flow-holders", "hickoryhook/entry/" + s.ip(1)}
	exist := func() bool {
		return !slices.ContainsFunc(keys, func(key string) bool {
			_, ok := s.store.Get(key)
			return !ok
		})
	}
	s.eventually("the keys are written", exist)
	for _, key := range keys {
		s.store.Delete(key)
	}
	s.eventually("the keys are back", exist)
}

// TestFirstLineOfProcessReportsItsStart covers the lines from which explain tells a
// planned stop from a kill: the lines of a process begin with its start.
func TestFirstLineOfProcessReportsItsStart(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, 82)
	s.putConfig(5, vipText)
	core, logged := observer.New(zap.InfoLevel)
	first := func() string {
		if lines := logged.TakeAll(); len(lines) > 1 {
			return lines[0].Message
		}
		return ""
	}
	agent, err := fleet.NewAgent(s.settings(2), zap.New(core))
	is.NoErr(err)
	s.start(agent)()
	is.Equal(first(), "agent started")
	entry, err := fleet.NewEntry(s.settings(1), zap.New(core))
	is.NoErr(err)
	s.start(entry)()
	is.Equal(first(), "entry started")
}

// TestProcessesSurviveGarbageOfStore guards against the end of a process because the store, or
// something in front of it, answers garbage: none of the tasks may end.
func TestProcessesSurviveGarbageOfStore(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, 83)
	garbage := []string{
		"\x00\xff", "null", "[]", `{"items":null,"has-more":true}`, `{"items":[{"key":""}],"has-more":true}`,
		`{"key":"op/config","value":"e30=","rev":1}`, `{"lease":0,"ttl-ms":-1}`, `{"events":[{"key":"op/config"}],"as-of":18446744073709551615}`,
		`{"items":[{"key":"hickoryhook/agents","value":"AAAA"},{"key":"hickoryhook/flow-holders","value":"AAAA"},{"key":"hickoryhook/holders","value":"AAAA"}],"has-more":true}`,
		`{"items":[{"key":"hickoryhook/entry/x","value":"AAAA"},{"key":"hickoryhook/entry/0.0.0.0"}]}`,
	}
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := calls.Add(1)
		if n%7 == 0 {
			w.Header().Set("Store-Era", "x")
		}
		w.WriteHeader([]int{200, 200, 200, 404, 410, 500}[n%6])
		_, _ = w.Write([]byte(garbage[int(n)%len(garbage)]))
	}))
	t.Cleanup(server.Close)
	s.storeAddress = strings.TrimPrefix(server.URL, "http://")
	agent, err := fleet.NewAgent(s.settings(2), zap.NewNop())
	is.NoErr(err)
	entry, err := fleet.NewEntry(s.settings(1), zap.NewNop())
	is.NoErr(err)
	stopAgent, stopEntry := s.start(agent), s.start(entry)
	s.eventually("the store has answered many calls", func() bool { return calls.Load() > 60 })
	s.sendHeartbeat("ready", 1) // the agent still serves
	stopEntry()                 // fails the test if a task has ended before
	stopAgent()
}
