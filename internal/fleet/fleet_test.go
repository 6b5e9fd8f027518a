package fleet_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/fleet"
	"hickoryhook.example/internal/kvstandin"
	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

const (
	// patience bounds a wait for something that takes milliseconds; it is no
	// figure of merit.
	patience = 20 * time.Second
	poll     = 20 * time.Millisecond
	vipText  = "198.18.0.1"
	vipPort  = 443
)

// site is a store, an entry and an agent as on the platform, on loopback
// addresses of this test's own, with an upstream that the test plays.
type site struct {
	t        *testing.T
	store    *kvstandin.Store
	storeAt  string
	base     byte
	port     int
	upstream *net.UDPConn
	caller   *net.UDPConn
}

func newSite(t *testing.T, base byte) *site {
	t.Helper()
	s := &site{t: t, store: kvstandin.New(), base: base}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.storeAt = strings.TrimPrefix(server.URL, "http://")
	s.port = freePorts(t, s.ip(1))
	s.upstream = s.listen(s.ip(2), s.port+6)
	s.caller = s.listen(s.ip(3), s.port+2)
	return s
}

func (s *site) ip(host byte) string { return fmt.Sprintf("127.0.%d.%d", s.base, host) }

func (s *site) listen(ip string, port int) *net.UDPConn {
	s.t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// freePorts returns the first of ten ports that were free a moment ago.
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
func (s *site) settings(host byte) *platform.Settings {
	s.t.Helper()
	at := func(offset int) string { return fmt.Sprintf("%s:%d", s.ip(host), s.port+offset) }
	b, err := json.Marshal(map[string]any{
		"node-name": fmt.Sprintf("host-%d", host), "ip": s.ip(host), "zone": "graz-nord",
		"listen":         map[string]string{"datagrams": at(2), "ready": at(3), "control": at(4), "outbound": at(5)},
		"internal-ports": []int{s.port, s.port + 1}, "seeds": []string{}, "heartbeat-ms": 770,
		"app": at(6), "service": "maklerlink",
		"bounds":   map[string]any{"grace-s": 6, "config-apply-ms": 3000, "flow-lifetime-s": 60},
		"platform": map[string]any{"address": s.storeAt, "ttl-min-ms": 1000},
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

func (s *site) putConfig(version int, vips ...string) {
	var routes []map[string]any
	for _, vip := range vips {
		routes = append(routes, map[string]any{"name": vip, "host": vip, "prefix": fmt.Sprintf("/%d/", vipPort), "service": "maklerlink"})
	}
	b, err := json.Marshal(map[string]any{"version": version, "routes": routes})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Set(platform.ConfigKey, b)
}

// run starts a process and returns what stops it and waits for its end.
func (s *site) run(p interface{ Run(context.Context) error }) func() {
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

func (s *site) beat(state string, seq int) {
	s.t.Helper()
	body := fmt.Sprintf(`{"service":"maklerlink","slots":2,"state":%q,"cold-remaining-ms":0,"seq":%d}`, state, seq)
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

func (s *site) ready() bool { return s.readyAt(1) }

func (s *site) readyAt(host byte) bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/ready", s.ip(host), s.port+3))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *site) eventually(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(poll) {
		if f() {
			return
		}
	}
	s.t.Fatalf("not reached: %s", what)
}

// open sends an opening packet until the upstream or the caller gets one, and
// returns who got it with its flags.
func (s *site) open(vip string, callerPort int) (string, byte) {
	s.t.Helper()
	flow := segment.NewFlow(netip.AddrPortFrom(netip.MustParseAddr(s.ip(3)), uint16(callerPort)),
		netip.AddrPortFrom(netip.MustParseAddr(vip), vipPort))
	b := platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Open}, false)
	var who string
	var flags byte
	s.eventually("an opening to "+vip+" is answered", func() bool {
		if _, err := s.caller.WriteToUDP(b, &net.UDPAddr{IP: net.ParseIP(s.ip(1)), Port: s.port + 2}); err != nil {
			s.t.Fatal(err)
		}
		for name, conn := range map[string]*net.UDPConn{"upstream": s.upstream, "caller": s.caller} {
			buf := make([]byte, platform.MaxPacket)
			_ = conn.SetReadDeadline(time.Now().Add(poll))
			n, err := conn.Read(buf)
			if err == nil && n >= platform.HeaderSize && binary.BigEndian.Uint16(buf[12:])+binary.BigEndian.Uint16(buf[14:]) == uint16(callerPort+vipPort) {
				who, flags = name, buf[24]
				return true
			}
		}
		return false
	})
	return who, flags
}

// gauge returns a value of a process's metrics, nil if there is none.
func (s *site) gauge(host byte, name string) any {
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

// TestPathOnLoopback runs an entry and an agent with their sockets against the
// stand-in of the store.
func TestPathOnLoopback(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 77)
	s.putConfig(1, vipText)
	// what another writer has left names nobody and harms nobody
	s.store.Set("hickoryhook/entry/not-an-address", []byte("x"))
	s.store.Set("hickoryhook/entry/fe80::1", nil)
	s.store.Set("hickoryhook/agents", []byte(`{"agents":7}`))
	s.store.Set("hickoryhook/of-another-version", []byte{0xff})
	agent, err := fleet.NewAgent(s.settings(2), zap.NewNop())
	is.NoErr(err)
	s.run(agent)
	entry, err := fleet.NewEntry(s.settings(1), zap.NewNop())
	is.NoErr(err)
	stopEntry := s.run(entry)

	s.beat("ready", 1)
	s.eventually("the entry is ready", s.ready)
	who, flags := s.open(vipText, 2001)
	is.Equal(who, "upstream")
	is.Equal(flags, byte(2))

	// an address without a route is refused, and served once it has one
	who, flags = s.open("198.18.0.9", 2002)
	is.Equal(who, "caller")
	is.Equal(flags, byte(1))
	s.putConfig(2, vipText, "198.18.0.9")
	s.eventually("the new route is in force", func() bool {
		who, _ := s.open("198.18.0.9", 2003)
		return who == "upstream"
	})

	// a draining upstream gets no opening: the caller is refused
	s.beat("draining", 2)
	s.eventually("openings are refused", func() bool {
		who, flags := s.open(vipText, 2004)
		return who == "caller" && flags == 1
	})

	// the store goes away, and the entry serves on
	s.store.SetFault(kvstandin.Busy)
	s.beat("ready", 3)
	s.eventually("openings are taken again", func() bool {
		who, _ := s.open(vipText, 2005)
		return who == "upstream"
	})
	s.store.SetFault(kvstandin.Healthy)
	s.eventually("the entry is registered", func() bool {
		_, ok := s.store.Get("hickoryhook/entry/" + s.ip(1))
		return ok
	})
	stopEntry()
	_, registered := s.store.Get("hickoryhook/entry/" + s.ip(1))
	is.True(!registered) // it has taken its registration back
}

// TestEntryThatTheStoreTurnsAwayRecallsItsFlows covers an entry that starts after
// a loss of power while the store serves other entries and refuses this one.
func TestEntryThatTheStoreTurnsAwayRecallsItsFlows(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 79)
	s.putConfig(5, vipText)
	flow := segment.NewFlow(netip.MustParseAddrPort("100.64.0.7:1001"), netip.AddrPortFrom(netip.MustParseAddr(vipText), vipPort))
	written, err := fleet.EncodeFlows([]director.FlowSnapshot{{Flow: flow, Owner: peer.Addr{127, 0, 79, 2}, Start: 7, Acknowledged: 9}})
	is.NoErr(err)
	s.store.Set("hickoryhook-flows/"+s.ip(4), written)
	first, err := fleet.NewEntry(s.settings(1), zap.NewNop())
	is.NoErr(err)
	s.run(first)

	refusing := kvstandin.New()
	refusing.SetFault(kvstandin.Busy)
	server := httptest.NewServer(refusing)
	t.Cleanup(server.Close)
	settings := s.settings(4)
	settings.Seeds = []netip.Addr{netip.MustParseAddr(s.ip(1))}
	settings.StoreAddress = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	second, err := fleet.NewEntry(settings, zap.NewNop())
	is.NoErr(err)
	s.run(second)
	s.eventually("the second entry knows its flow", func() bool { return s.gauge(4, "flows") == 1.0 })
}

// TestEntryStartsWithoutTheStore covers an entry that is started while the store
// is silent: configuration and members come from another entry.
func TestEntryStartsWithoutTheStore(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 78)
	s.putConfig(5, vipText)
	agent, err := fleet.NewAgent(s.settings(2), zap.NewNop())
	is.NoErr(err)
	s.run(agent)
	first, err := fleet.NewEntry(s.settings(1), zap.NewNop())
	is.NoErr(err)
	s.run(first)
	s.beat("ready", 1)
	s.eventually("the first entry is ready", s.ready)

	s.store.SetFault(kvstandin.Unresponsive)
	settings := s.settings(4)
	settings.Seeds = []netip.Addr{netip.MustParseAddr(s.ip(1))}
	second, err := fleet.NewEntry(settings, zap.NewNop())
	is.NoErr(err)
	s.run(second)
	s.eventually("the second entry is ready", func() bool { return s.readyAt(4) })
	// It knows from the first one which agents and services may hold flows, so
	// that it can tell callers that their flows are gone.
	s.eventually("the second entry is settled", func() bool { return s.gauge(4, "settled") == true })
	s.store.SetFault(kvstandin.Healthy)
}
