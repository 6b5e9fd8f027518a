// Package fleetdemo runs the platform's path in one process on loopback: the
// stand-in of the store, entries and agents with their sockets, upstreams that
// hold flows, callers that keep them open, and routers between them.
//
// # Usage
//
//	report, err := fleetdemo.Run(ctx, fleetdemo.Config{Seed: 7, Network: 90})
package fleetdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/fleet"
	"hickoryhook.example/internal/kvstandin"
	"hickoryhook.example/pkg/rendezvous"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

const (
	service    = "maklerlink"
	slots      = 2
	beatEvery  = 300 * time.Millisecond
	probeEvery = 500 * time.Millisecond
	// misses is how many probes in a row take an entry out of rotation.
	misses = 2
	// callerHost and storeHost are the last numbers of addresses; entries and
	// upstreams count from firstEntry and firstUpstream.
	callerHost    = 250
	storeHost     = 251
	firstEntry    = 1
	firstUpstream = 101
)

// The roles of the platform's processes, as the command line has them.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

// The offsets of a host's ports from the first.
const (
	portPeers = iota
	portCalls
	portPackets
	portReady
	portControl
	portFromUpstream
	portUpstream
	ports
)

var vip = netip.MustParseAddrPort("198.18.0.1:443")

type (
	// site is everything that runs.
	site struct {
		network byte
		port    int
		store   *kvstandin.Store
		server  *http.Server
		log     *zap.Logger

		// run starts an entry or an agent and returns what stops it.
		run func(role string, s *platform.Settings) (func() error, error)

		mu        sync.Mutex
		entries   []*entryHost
		upstreams []*upstream
	}

	// entryHost is an entry and what the routers think of it.
	entryHost struct {
		address netip.Addr
		ready   bool
		missed  int
		stop    func() error
	}

	// process is an entry or an agent.
	process interface {
		Run(ctx context.Context) error
	}
)

func newSite(network byte, log *zap.Logger) (*site, error) {
	s := &site{network: network, store: kvstandin.New(), log: log}
	s.run = s.runHere
	listener, err := net.Listen("tcp4", s.host(storeHost).String()+":0")
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	// The other ports are next to one that is free.
	s.port = listener.Addr().(*net.TCPAddr).Port/ports*ports - ports
	s.server = &http.Server{Addr: listener.Addr().String(), Handler: s.store, ReadHeaderTimeout: time.Second}
	go func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error("store ended", zap.Error(err))
		}
	}()
	config, err := json.Marshal(map[string]any{"version": 1, "routes": []map[string]any{
		{"name": service, "host": vip.Addr().String(), "prefix": fmt.Sprintf("/%d/", vip.Port()), "service": service},
	}})
	if err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	s.store.Set(platform.ConfigKey, config)
	return s, nil
}

func (s *site) host(n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, s.network, n}) }

func (s *site) at(host netip.Addr, offset int) netip.AddrPort {
	return netip.AddrPortFrom(host, uint16(s.port+offset))
}

// settings returns the settings of a process on a host.
func (s *site) settings(host netip.Addr) *platform.Settings {
	return &platform.Settings{
		Node: host.String(), Address: host, Place: "loopback", Service: service,
		DatagramAddress: s.at(host, portPackets), ReadyAddress: s.at(host, portReady), ControlAddress: s.at(host, portControl),
		OutboundAddress: s.at(host, portFromUpstream), UpstreamAddress: s.at(host, portUpstream),
		PeerPort: uint16(s.port + portPeers), StoreAddress: s.storeAddress(), HeartbeatInterval: beatEvery,
		Grace: 6 * time.Second, ConfigApply: 3 * time.Second, FlowLifetime: time.Minute, LeaseMin: time.Second,
	}
}

func (s *site) storeAddress() netip.AddrPort {
	return netip.MustParseAddrPort(s.server.Addr)
}

// start runs a process and returns what stops it and waits for its end.
func start(p process) func() error {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	return func() error {
		cancel()
		return <-done
	}
}

// runHere runs a process's code in this process.
func (s *site) runHere(role string, settings *platform.Settings) (func() error, error) {
	log := s.log.With(zap.String("node", settings.Node))
	if role == roleEntry {
		e, err := fleet.NewEntry(settings, log)
		if err != nil {
			return nil, err
		}
		return start(e), nil
	}
	a, err := fleet.NewAgent(settings, log)
	if err != nil {
		return nil, err
	}
	return start(a), nil
}

func (s *site) startEntry(host netip.Addr) (*entryHost, error) {
	stop, err := s.run(roleEntry, s.settings(host))
	if err != nil {
		return nil, err
	}
	h := &entryHost{address: host, stop: stop}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = slices.DeleteFunc(s.entries, func(old *entryHost) bool { return old.address == host })
	s.entries = append(s.entries, h)
	return h, nil
}

// probe asks the entries whether they are ready until the context ends, as the
// routers do.
func (s *site) probe(ctx context.Context) {
	client := &http.Client{Timeout: probeEvery}
	for ctx.Err() == nil {
		s.mu.Lock()
		entries := slices.Clone(s.entries)
		s.mu.Unlock()
		for _, e := range entries {
			ok := s.asksReady(client, e.address)
			s.mu.Lock()
			e.missed++
			if ok {
				e.missed, e.ready = 0, true
			}
			if e.missed >= misses {
				e.ready = false
			}
			s.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeEvery):
		}
	}
}

func (s *site) asksReady(client *http.Client, host netip.Addr) bool {
	resp, err := client.Get("http://" + s.at(host, portReady).String() + "/ready")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// routed returns where the routers send the packets of a flow.
func (s *site) routed(flow segment.Flow) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *entryHost
	var score uint64
	for _, e := range s.entries {
		a := e.address.As4()
		if h := rendezvous.Hash(flow.Hash(), uint64(a[3])); e.ready && (best == nil || h > score) {
			best, score = e, h
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return s.at(best.address, portPackets), true
}

// holds reports whether the upstream whose answer the caller has chosen lives
// and holds the flow; first is that upstream's first number.
func (s *site) holds(flow segment.Flow, first uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if u.holds(flow, first) {
			return true
		}
	}
	return false
}

// readyEntries returns how many entries the routers send to.
func (s *site) readyEntries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.entries {
		if e.ready {
			n++
		}
	}
	return n
}

// eachPacket calls f for each datagram until the socket is closed. f must not
// keep it.
func eachPacket(conn *net.UDPConn, f func(b []byte)) error {
	buf := make([]byte, platform.MaxPacket)
	for {
		n, _, err := conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // such as a refused earlier datagram
		}
		f(buf[:n])
	}
}
