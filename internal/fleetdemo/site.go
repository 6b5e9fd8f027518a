// Package fleetdemo runs the platform's data path on loopback addresses: a
// stand-in of the store, entries and agents with their sockets, upstreams that
// hold flows, callers that keep flows open, and the routers between them. Run
// keeps everything in this process. Soak runs entries and agents as processes of
// their own and injects faults, SoakConfig names the kinds.
//
// # Usage
//
//	report, err := fleetdemo.Run(ctx, fleetdemo.Config{Seed: 7, Network: 90})
package fleetdemo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
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
	service           = "maklerlink"
	slots             = 2 // of each upstream, as in its heartbeats
	heartbeatInterval = 300 * time.Millisecond
	probeInterval     = 500 * time.Millisecond
	// probeFailureThreshold is the number of failed probes in a row after which
	// an entry is out of rotation.
	probeFailureThreshold = 2
	// callerHost and storeHost are the last octets of addresses. Entries and
	// upstreams are numbered from firstEntry and firstUpstream.
	callerHost = 250
	storeHost  = 251
	// portReservation is the port of storeHost that is bound while a network is in use.
	portReservation = 9400
	firstEntry      = 1
	firstUpstream   = 101
	maxNetwork      = 254 // the highest third octet
)

// The roles of the platform's processes: the verbs of `hickoryhook platform`.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

// The ports of a host, as offsets from the site's first port.
const (
	portPeers        = iota // Settings.PeerPort
	portCalls               // Settings.PeerPort + 1
	portPackets             // packets to entries and to callers
	portReady               // readiness check
	portControl             // heartbeats from the upstream to its agent
	portFromUpstream        // packets from the upstream to its agent
	portUpstream            // packets and health checks from the agent to its upstream
	portCount
)

var vip = netip.MustParseAddrPort("198.18.0.1:443")

type (
	// site is the deployment of a run: the store, the entries, the upstreams with
	// their agents, and the routers' view of the entries.
	site struct {
		network byte // third octet of the loopback addresses
		// reservation is open while the site uses its network. Processes listen on fixed
		// ports as well, so that two sites on one network would disturb each other.
		reservation net.Listener
		port        int // first port of each host
		store       *kvstandin.Store
		server      *http.Server
		log         *zap.Logger

		// startProcess starts an entry or an agent and returns the function that
		// stops it.
		startProcess func(role string, s *platform.Settings) (func() error, error)

		evacuation     evacuation
		operatorConfig operatorConfig
		// judge judges by which configuration openings were handled.
		judge configJudge
		// moves is set if the route moves between services during the run.
		moves bool
		// routes is the number of further routes in each configuration.
		routes int
		// flaps and lateHeartbeats are those of SoakConfig, heartbeats is the interval of the
		// upstreams' heartbeats.
		flaps, lateHeartbeats bool
		heartbeats            time.Duration
		// modulo makes the routers choose an entry by the remainder of the hash: if one joins
		// or leaves, nearly all flows move.
		modulo bool

		mu        sync.Mutex
		entries   []*entryHost
		upstreams []*upstream

		requests  requestLog
		openings  openings
		drains    drains
		incidents incidents
	}

	// requestLog records the requests that upstreams have run.
	requestLog struct {
		mu       sync.Mutex
		ran      map[requestID]bool
		repeated int // see Report.Repeated
	}

	// requestID identifies a request by its flow and sequence number.
	requestID struct {
		flow     segment.Flow
		sequence uint32
	}

	// entryHost is an entry with its state in the routers' health checks.
	entryHost struct {
		address      netip.Addr
		ready        bool // in rotation
		failedProbes int  // in a row
		stop         func() error
	}

	// process is an entry or an agent.
	process interface {
		Run(ctx context.Context) error
	}
)

// newSite starts the store with a configuration that routes vip to the service. The site uses
// the first network from the given one that no other site on this machine uses.
func newSite(network byte, log *zap.Logger) (*site, error) {
	s := &site{network: network, store: kvstandin.New(), log: log, heartbeats: heartbeatInterval, requests: requestLog{ran: make(map[requestID]bool)}}
	s.startProcess = s.runInProcess
	if err := s.reserveNetwork(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", s.host(storeHost).String()+":0")
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "listen for the store"), s.reservation.Close())
	}
	// The system has chosen a free port for the store. The other processes use a
	// block of portCount ports just below it, each on its own host.
	s.port = listener.Addr().(*net.TCPAddr).Port/portCount*portCount - portCount
	s.server = &http.Server{Addr: listener.Addr().String(), Handler: s.store, ReadHeaderTimeout: time.Second}
	go func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error("store server ended", zap.Error(err))
		}
	}()
	return s, s.setRoute(service, 1)
}

// reserveNetwork sets the network to the first one from the present one that is not in use.
func (s *site) reserveNetwork() error {
	for range maxNetwork {
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(s.host(storeHost), portReservation).String())
		if err == nil {
			s.reservation = listener
			return nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return errors.Wrap(err, "reserve a loopback network")
		}
		s.network = s.network%maxNetwork + 1
	}
	return errors.New("reserve a loopback network: all are in use")
}

// close stops the store and gives the network back.
func (s *site) close() error {
	return errors.Join(s.server.Close(), s.reservation.Close())
}

// host returns the loopback address with the last octet n.
func (s *site) host(n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, s.network, n}) }

// addrPort returns the address of a port of a host, given as one of the offsets
// above.
func (s *site) addrPort(host netip.Addr, offset int) netip.AddrPort {
	return netip.AddrPortFrom(host, uint16(s.port+offset))
}

// settings returns the settings of a process on a host.
func (s *site) settings(host netip.Addr) *platform.Settings {
	return &platform.Settings{
		Node: host.String(), Address: host, FailureDomain: mainDomain, Service: service,
		DatagramAddress: s.addrPort(host, portPackets), ReadyAddress: s.addrPort(host, portReady), ControlAddress: s.addrPort(host, portControl),
		OutboundAddress: s.addrPort(host, portFromUpstream), UpstreamAddress: s.addrPort(host, portUpstream),
		PeerPort: uint16(s.port + portPeers), StoreAddress: s.storeAddress(), HeartbeatInterval: s.heartbeats,
		Grace: 6 * time.Second, ConfigApply: 3 * time.Second, FlowLifetime: time.Minute, LeaseMin: time.Second,
		EvacuateWithin: evacuationBound, FirstStart: true,
	}
}

func (s *site) storeAddress() netip.AddrPort {
	return netip.MustParseAddrPort(s.server.Addr)
}

// start runs a process in a goroutine and returns a function that stops it and
// waits for its end.
func start(p process) func() error {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	return func() error {
		cancel()
		return <-done
	}
}

// runInProcess runs an entry or an agent in a goroutine of this process and
// returns the function that stops it.
func (s *site) runInProcess(role string, settings *platform.Settings) (func() error, error) {
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

// startEntry starts an entry on a host. It replaces an earlier entry of the host
// in the routers' list.
func (s *site) startEntry(host netip.Addr) (*entryHost, error) {
	stop, err := s.startProcess(roleEntry, s.settings(host))
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

// probe runs the health checks of the routers on all entries until the context
// ends.
func (s *site) probe(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval}
	for ctx.Err() == nil {
		s.mu.Lock()
		entries := slices.Clone(s.entries)
		s.mu.Unlock()
		for _, e := range entries {
			ok := s.isReady(client, e.address)
			s.mu.Lock()
			e.failedProbes++
			if ok {
				e.failedProbes, e.ready = 0, true
			}
			if e.failedProbes >= probeFailureThreshold {
				e.ready = false
			}
			s.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// isReady calls the readiness check of the entry on a host.
func (s *site) isReady(client *http.Client, host netip.Addr) bool {
	resp, err := client.Get("http://" + s.addrPort(host, portReady).String() + "/ready")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// routeFlow returns the address to which the routers send the packets of a flow:
// that of the entry in rotation that the hash of the flow selects. It returns false
// if no entry is in rotation.
func (s *site) routeFlow(flow segment.Flow) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ready []*entryHost
	var best *entryHost
	var score uint64
	for _, e := range s.entries {
		if !e.ready {
			continue
		}
		ready = append(ready, e)
		a := e.address.As4()
		if h := rendezvous.Hash(flow.Hash(), uint64(a[3])); best == nil || h > score {
			best, score = e, h
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	if s.modulo {
		best = ready[flow.Hash()%uint64(len(ready))]
	}
	return s.addrPort(best.address, portPackets), true
}

// holders returns the running upstreams that hold the flow, by the initial sequence number
// of each. Several may have accepted copies of one opening.
func (s *site) holders(flow segment.Flow) map[uint32]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := make(map[uint32]string)
	for _, u := range s.upstreams {
		if isn, id, ok := u.holds(flow); ok {
			holders[isn] = id
		}
	}
	return holders
}

// processAt returns the name of the entry or agent at an address.
func processAt(a netip.Addr) string {
	role := roleEntry
	if a.As4()[3] >= firstUpstream {
		role = roleAgent
	}
	return fmt.Sprintf("%s %s", role, a)
}

// readyEntries returns the number of entries in rotation.
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

// eachPacket calls f for each datagram, with its sender, until the socket is closed. The
// buffer is reused: f must not retain it.
func eachPacket(conn *net.UDPConn, f func(from netip.AddrPort, b []byte)) error {
	buf := make([]byte, platform.MaxPacket)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // such as an ICMP error for an earlier datagram
		}
		f(from, buf[:n])
	}
}

// recordRun records that an upstream runs a request. It reports whether one has run it before.
func (l *requestLog) recordRun(flow segment.Flow, sequence uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := requestID{flow: flow, sequence: sequence}
	again := l.ran[id]
	if again {
		l.repeated++
	}
	l.ran[id] = true
	return again
}

// repeatedRuns returns Report.Repeated.
func (l *requestLog) repeatedRuns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.repeated
}
