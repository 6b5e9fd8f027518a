// Package fleet runs entries and agents on the platform: sockets, calls and
// timers around the decisions of pkg/director and pkg/relay.
//
// # Usage
//
//	settings, err := platform.ReadSettings()
//	entry, err := fleet.NewEntry(settings, log)
//	err = entry.Run(ctx) // until the context ends, then stops gracefully
package fleet

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

const (
	// reportEvery is the interval of agents' reports and entries' greetings.
	reportEvery = 400 * time.Millisecond
	// tickEvery is the interval of expiry and of checks for pauses.
	tickEvery = 100 * time.Millisecond
	// entryLost is the silence after which an entry is not counted as alive:
	// three greetings.
	entryLost = 1300 * time.Millisecond
	// entryForgotten is the silence after which an entry is no longer greeted.
	// Longer than any cut or stop that an entry returns from at its address.
	entryForgotten = time.Minute
	// socketBuffer is asked of the kernel for datagrams; it holds 20 ms of a
	// link at 1,000 Mbit/s.
	socketBuffer = 2 << 20
	// headerTimeout bounds how long a caller of our HTTP servers may take.
	headerTimeout = 2 * time.Second
	// storeTimeout bounds a call to the store: 4 ms is usual, 60 times as
	// long when it is slow.
	storeTimeout = time.Second
	// hurryEvery and hurryFor are for the start of a process, when the others
	// may be starting, too: greetings and reports go out faster.
	hurryEvery = 50 * time.Millisecond
	hurryFor   = 2 * time.Second
)

type (
	// process is what entries and agents share.
	process struct {
		settings *platform.Settings
		log      *zap.Logger
		self     peer.Addr
		started  time.Time
		peers    *net.UDPConn
		store    *platform.Store
		entries  *entrySet
		codec    platform.PacketCodec
		counts   metrics
		gauges   map[string]func() any
	}

	// Option changes what NewEntry and NewAgent return.
	Option func(*process)

	// entrySet holds the entries that a process knows.
	entrySet struct {
		mu     sync.Mutex
		byAddr map[peer.Addr]*entryInfo
	}

	entryInfo struct {
		heard       time.Duration
		added       time.Duration
		everHeard   bool
		incarnation int64
		place       string
		ready       bool
		readySince  time.Duration
	}

	// task is a goroutine with a name. Its end is reported on a channel.
	task struct {
		name string
		run  func(ctx context.Context) error
	}
)

// WithGauge publishes a value with the process's metrics.
func WithGauge(name string, f func() any) Option {
	return func(p *process) { p.gauges[name] = f }
}

func newProcess(s *platform.Settings, log *zap.Logger, options ...Option) (*process, error) {
	p := &process{
		settings: s,
		log:      log,
		self:     peer.NewAddr(s.Address),
		started:  time.Now(),
		store:    platform.NewStore(s.StoreAddress),
		entries:  &entrySet{byAddr: make(map[peer.Addr]*entryInfo)},
		gauges:   make(map[string]func() any),
	}
	for _, o := range options {
		o(p)
	}
	conn, err := listen(netip.AddrPortFrom(s.Address, s.PeerPort))
	if err != nil {
		return nil, err
	}
	p.peers = conn
	return p, nil
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	if err := errors.Join(conn.SetReadBuffer(socketBuffer), conn.SetWriteBuffer(socketBuffer)); err != nil {
		return nil, errors.Join(errors.Wrapf(err, "listen on %s", address), conn.Close())
	}
	return conn, nil
}

// Reload takes in the addresses of entries in changed settings. Other fields
// hold for the lifetime of a process.
func (p *process) Reload(s *platform.Settings) {
	for _, a := range addrs(s.Seeds) {
		if a != p.self {
			p.entries.add(p.now(), a)
		}
	}
}

// rank returns how many living entries have a lower address. What one entry
// does for all is done by the lowest; two that both think so do the same.
func (p *process) rank() int {
	n := 0
	for _, a := range p.entries.alive(p.now()) {
		if slices.Compare(a[:], p.self[:]) < 0 {
			n++
		}
	}
	return n
}

// now returns the time on the steady clock since the start of the process.
func (p *process) now() time.Duration { return time.Since(p.started) }

// ToProcess implements the ports of the decision cores.
func (p *process) ToProcess(to peer.Addr, datagram []byte) {
	p.write(p.peers, netip.AddrPortFrom(to.Addr(), p.settings.PeerPort), datagram)
}

// ToCaller implements the ports of the decision cores.
func (p *process) ToCaller(flow segment.Flow, packet []byte) {
	p.write(p.peers, netip.AddrPortFrom(flow.Caller().Addr(), p.settings.DatagramAddress.Port()), packet)
}

func (p *process) write(conn *net.UDPConn, to netip.AddrPort, b []byte) {
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		p.counts.add("send-errors")
		p.log.Warn("datagram not sent", zap.Stringer("to", to), daemon.Err(err))
	}
}

// message sends a message to processes.
func (p *process) message(kind peer.Kind, m any, to ...peer.Addr) {
	b, err := peer.Encode(kind, m)
	if err != nil {
		p.log.Error("message not encoded", daemon.Err(err))
		return
	}
	for _, a := range to {
		if a != p.self {
			p.ToProcess(a, b)
		}
	}
}

// receive reads datagrams until the socket is closed.
func (p *process) receive(conn *net.UDPConn, handle func(from netip.AddrPort, b []byte) error) error {
	buf := make([]byte, peer.MaxFrame+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			p.counts.add("receive-errors")
			p.log.Warn("datagram not read", daemon.Err(err))
			continue
		}
		if err := handle(from, buf[:n]); err != nil {
			p.counts.add("dropped: " + err.Error())
		}
	}
}

// serve answers HTTP calls until the context ends.
func (p *process) serve(address netip.AddrPort, handler http.Handler) task {
	return task{name: "http " + address.String(), run: func(ctx context.Context) error {
		listener, err := net.Listen("tcp4", address.String())
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	}}
}

// every calls f at an interval until the context ends.
func every(interval time.Duration, f func()) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				f()
			}
		}
	}
}

// hurried calls f at the short interval at the start of the process, while
// needed, and then at the long one, until the context ends.
func (p *process) hurried(needed func() bool, interval time.Duration, f func()) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		last := time.Duration(0)
		for ctx.Err() == nil && p.now() < hurryFor {
			if now := p.now(); needed() || now-last >= interval {
				last = now
				f()
			}
			sleep(ctx, hurryEvery)
		}
		return every(interval, f)(ctx)
	}
}

// publish serves the process's metrics until the context ends.
func (p *process) publish(gauges map[string]func() any) task {
	return task{name: "metrics", run: func(ctx context.Context) error {
		server, err := daemon.NewMetrics(netip.AddrPortFrom(p.settings.Address, MetricsPort))
		if err != nil {
			return err
		}
		server.Set("counts", p.counts.countsSnapshot)
		server.Set("latencies", p.counts.latenciesSnapshot)
		server.Set("uptime-ms", func() any { return p.now().Milliseconds() })
		for name, f := range gauges {
			server.Set(name, f)
		}
		for name, f := range p.gauges {
			server.Set(name, f)
		}
		server.Start(ctx)
		<-ctx.Done()
		return server.Close()
	}}
}

// runAll starts tasks and returns a channel on which each reports its end.
func runAll(ctx context.Context, tasks []task) <-chan error {
	ends := make(chan error, len(tasks))
	for _, t := range tasks {
		go func() {
			err := t.run(ctx)
			if err != nil {
				err = errors.Wrap(err, t.name)
			}
			ends <- err
		}()
	}
	return ends
}

// add notes entries that may exist and returns those that are new.
func (s *entrySet) add(now time.Duration, addresses ...peer.Addr) []peer.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh []peer.Addr
	for _, a := range addresses {
		if _, ok := s.byAddr[a]; !ok {
			s.byAddr[a] = &entryInfo{added: now}
			fresh = append(fresh, a)
		}
	}
	return fresh
}

// heard takes in a greeting.
func (s *entrySet) heard(now time.Duration, from peer.Addr, g peer.HelloMessage) (isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.byAddr[from]
	if !ok {
		e = &entryInfo{added: now}
		s.byAddr[from] = e
	}
	isNew = !e.everHeard || now-e.heard > entryLost || e.incarnation != g.Incarnation
	if g.Ready && !e.ready {
		e.readySince = now
	}
	e.heard, e.everHeard, e.incarnation = now, true, g.Incarnation
	e.place, e.ready = g.Place, g.Ready
	return isNew
}

func (s *entrySet) remove(a peer.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.byAddr[a]; ok {
		e.everHeard, e.ready = false, false
	}
}

// known returns the entries that are worth a message, and forgets the others.
func (s *entrySet) known(now time.Duration) []peer.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []peer.Addr
	for a, e := range s.byAddr {
		if now-max(e.heard, e.added) > entryForgotten {
			delete(s.byAddr, a)
			continue
		}
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b peer.Addr) int { return slices.Compare(a[:], b[:]) })
	return out
}

// alive returns the entries that were heard a moment ago.
func (s *entrySet) alive(now time.Duration) []peer.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []peer.Addr
	for a, e := range s.byAddr {
		if e.everHeard && now-e.heard <= entryLost {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b peer.Addr) int { return slices.Compare(a[:], b[:]) })
	return out
}

// neighbours returns what is known of the other entries of a place.
func (s *entrySet) neighbours(place string) []neighbour {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []neighbour
	for _, e := range s.byAddr {
		if e.place == place {
			out = append(out, neighbour{heard: e.heard, ready: e.everHeard && e.ready, readySince: e.readySince})
		}
	}
	return out
}
