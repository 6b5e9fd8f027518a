// Package fleet runs entries and agents on the platform: the sockets, HTTP
// calls and timers around the decisions of pkg/director and pkg/relay.
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
	"hickoryhook.example/internal/transfer"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

const (
	// reportInterval is the interval of agents' reports and entries' hello
	// messages.
	reportInterval = 400 * time.Millisecond
	// tickInterval is the interval of expiry in the director and the relay, of the
	// director's checks for pauses of this process, and of overload checks.
	tickInterval = 100 * time.Millisecond
	// entryTimeout is the time without a hello message after which an entry no
	// longer counts as alive for another one: three intervals of hello messages and a margin.
	entryTimeout = 1300 * time.Millisecond
	// agentEntryTimeout is entryTimeout of an agent, to which an entry sends a hello
	// message every agentHelloInterval only: two of these and a margin.
	agentEntryTimeout = 2*agentHelloInterval + 300*time.Millisecond
	// entryRetention is the time without a hello message after which an entry is
	// dropped and no longer receives messages. It is longer than any network
	// partition or stop after which an entry returns under the same address.
	entryRetention = time.Minute
	// maxEntries bounds the entries that a process knows: a hello message may list
	// addresses at which there is none, and each gets messages for entryRetention.
	maxEntries = 4096
	// socketBufferBytes is the buffer size requested from the kernel for each
	// direction of a UDP socket; it holds 20 ms of a link at 1,000 Mbit/s.
	socketBufferBytes = 2 << 20
	// headerTimeout bounds how long a client of the process's HTTP servers may
	// take to send its headers.
	headerTimeout = 2 * time.Second
	// httpStopTimeout bounds the time for which a process that ends answers the HTTP calls
	// that it has accepted: heartbeats, probes and calls of other entries, all of which
	// usually take less than a millisecond.
	httpStopTimeout = 100 * time.Millisecond
	// readTimeout bounds how long it may take to send a whole call, and idleTimeout how
	// long it may leave a connection unused: each holds a file descriptor. A call's answer
	// must not take longer than readTimeout.
	readTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a call to the process's HTTP servers.
	maxHeaderBytes = 16 << 10
	// receiveRetryDelay is the pause after a failed read of a socket.
	receiveRetryDelay = time.Millisecond
	// storeTimeout bounds the calls to the store of one operation, except a watch
	// and the last call of an entry. Of a read whose response may be large and of an
	// HTTP call to another entry it bounds the time without progress. A
	// call to the store usually takes 4 ms, and 60 times as long when it is slow.
	storeTimeout = time.Second
	// fastStartInterval is the interval of hello messages and reports at the
	// start of a process, for at most fastStartPeriod. The other processes may be
	// starting, too, and miss the first messages.
	fastStartInterval = 50 * time.Millisecond
	fastStartPeriod   = 2 * time.Second
)

type (
	// process is the common part of an entry and an agent.
	process struct {
		settings *platform.Settings
		log      *zap.Logger
		self     peer.Addr
		started  time.Time    // its Unix milliseconds are the incarnation in messages
		peerConn *net.UDPConn // socket for datagrams between processes
		store    *platform.Store
		eras     *eraSignal     // of the store
		lane     *transfer.Lane // of large responses to this process
		onNewEra func()         // called when a new era begins, before the tasks are woken
		entries  *entrySet
		codec    platform.PacketCodec
		metrics  metrics
		panics   panicLog
		gauges   map[string]func() any // of WithGauge
	}

	// Option configures a process that NewEntry or NewAgent returns.
	Option func(*process)

	// entrySet holds the other entries that a process knows.
	entrySet struct {
		mu      sync.Mutex
		timeout time.Duration // without a hello message after which an entry is not alive
		byAddr  map[peer.Addr]*entryInfo
	}

	// entryInfo is the state of another entry. Times are those of process.now.
	entryInfo struct {
		lastHello   time.Duration // 0 before the first
		added       time.Duration // when the address became known
		active      bool          // a hello message has arrived since the last goodbye message
		stopped     bool          // the incarnation has sent a goodbye message
		incarnation int64
		domain      string // failure domain
		ready       bool
		settled     bool          // see peer.HelloMessage.Settled
		readySince  time.Duration // when ready last became true; 0 if it never did
	}

	// task is a named function that runs in its own goroutine until the context
	// ends or, if it reads from a socket, until the socket is closed.
	task struct {
		name string
		run  func(ctx context.Context) error
	}
)

// WithGauge publishes the value that f returns with the metrics of the process.
func WithGauge(name string, f func() any) Option {
	return func(p *process) { p.gauges[name] = f }
}

// newProcess returns a process whose socket for messages and frames between
// processes is open.
func newProcess(s *platform.Settings, log *zap.Logger, options ...Option) (*process, error) {
	p := &process{
		settings: s,
		log:      log,
		self:     peer.NewAddr(s.Address),
		started:  time.Now(),
		eras:     newEraSignal(),
		lane:     transfer.NewLane(),
		onNewEra: func() {},
		entries:  newEntrySet(entryTimeout),
		gauges:   make(map[string]func() any),
	}
	p.store = platform.NewStore(s.StoreAddress, platform.WithNewEra(p.handleNewEra), platform.WithTransport(transfer.New(transfer.WithLane(p.lane))))
	for _, o := range options {
		o(p)
	}
	conn, err := listen(netip.AddrPortFrom(s.Address, s.PeerPort))
	if err != nil {
		return nil, err
	}
	p.peerConn = conn
	return p, nil
}

// listen opens a UDP socket with buffers of socketBufferBytes.
func listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	if err := errors.Join(conn.SetReadBuffer(socketBufferBytes), conn.SetWriteBuffer(socketBufferBytes)); err != nil {
		return nil, errors.Join(errors.Wrapf(err, "set buffers of socket %s", address), conn.Close())
	}
	return conn, nil
}

// Reload adds the seeds of changed settings to the known entries. Changes of
// other settings need a restart.
func (p *process) Reload(s *platform.Settings) {
	for _, a := range peerAddrs(s.Seeds) {
		if a != p.self {
			p.entries.add(p.now(), a)
		}
	}
}

// rank returns how many live entries have a lower address than this process.
// Work that one entry does on behalf of all is done by the entry of rank 0. Two
// entries that both have rank 0 for a while do the same work.
func (p *process) rank() int {
	n := 0
	for _, a := range p.entries.alive(p.now()) {
		if slices.Compare(a[:], p.self[:]) < 0 {
			n++
		}
	}
	return n
}

// now returns the time since the start of the process on the monotonic clock.
func (p *process) now() time.Duration { return time.Since(p.started) }

// ToProcess implements director.Port and relay.Port. It sends a datagram to
// another process.
func (p *process) ToProcess(to peer.Addr, datagram []byte) {
	p.write(p.peerConn, netip.AddrPortFrom(to.Addr(), p.settings.PeerPort), datagram)
}

// ToCaller implements director.Port and relay.Port. It sends a packet to the
// caller of a flow. All callers receive on the port of DatagramAddress; the
// caller's port in the flow is only a field of the packet's header.
func (p *process) ToCaller(flow segment.Flow, packet []byte) {
	p.write(p.peerConn, netip.AddrPortFrom(flow.Caller().Addr(), p.settings.DatagramAddress.Port()), packet)
}

// write sends a datagram, and counts and logs a failure.
func (p *process) write(conn *net.UDPConn, to netip.AddrPort, b []byte) {
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		p.metrics.increment("send-errors")
		p.log.Warn("datagram not sent", zap.Stringer("to", to), daemon.Err(err))
	}
}

// sendMessage encodes a message and sends it to processes other than this one.
func (p *process) sendMessage(kind peer.Kind, m any, to ...peer.Addr) {
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

// receive passes the datagrams of the socket with the given name to handle until it is
// closed. It counts those that handle rejects by the text of the error. handle must not
// retain b, which the next datagram overwrites.
func (p *process) receive(name string, conn *net.UDPConn, handle func(from netip.AddrPort, b []byte) error) error {
	buf := make([]byte, peer.MaxFrame+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			p.metrics.increment("receive-errors")
			p.log.Warn("datagram not read", daemon.Err(err))
			time.Sleep(receiveRetryDelay)
			continue
		}
		if err := p.handleDatagram(name, from, buf[:n], handle); err != nil {
			p.metrics.increment("dropped: " + err.Error())
		}
	}
}

// httpTask returns a task that serves HTTP on an address, see serveHTTP.
func (p *process) httpTask(address netip.AddrPort, handler http.Handler) task {
	return task{name: "http " + address.String(), run: func(ctx context.Context) error {
		listener, err := net.Listen("tcp4", address.String())
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		listener = daemon.KeepAccepting(listener, func(err error) {
			p.metrics.increment("accept-errors")
			p.log.Warn("connection not accepted", daemon.Err(err))
		})
		server := &http.Server{
			Handler: p.recoverHTTP(handler), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		}
		return serveHTTP(ctx, server, listener)
	}}
}

// serveHTTP serves HTTP until the context ends, and then answers the calls that the server
// has accepted, for at most httpStopTimeout.
func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return ignoreClosed(err)
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), httpStopTimeout)
	defer cancel()
	var err error
	if server.Shutdown(stopCtx) != nil {
		err = server.Close()
	}
	return errors.Join(err, ignoreClosed(<-served))
}

// ignoreClosed returns the error with which an HTTP server has ended, nil if it was closed.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// every returns a function that calls f at an interval, for the first time after
// one interval, until the context ends.
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

// everyWithFastStart is like every, but during fastStartPeriod after the start
// of the process it calls f every fastStartInterval while needed returns true,
// and at the interval otherwise.
func (p *process) everyWithFastStart(needed func() bool, interval time.Duration, f func()) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		last := time.Duration(0)
		for ctx.Err() == nil && p.now() < fastStartPeriod {
			if now := p.now(); needed() || now-last >= interval {
				last = now
				f()
			}
			sleep(ctx, fastStartInterval)
		}
		return every(interval, f)(ctx)
	}
}

// metricsTask returns a task that serves the metrics of the process, with the
// given gauges and those of WithGauge.
func (p *process) metricsTask(gauges map[string]func() any) task {
	return task{name: "metrics", run: func(ctx context.Context) error {
		server, err := daemon.NewMetrics(netip.AddrPortFrom(p.settings.Address, MetricsPort))
		if err != nil {
			return err
		}
		server.Set("counts", p.metrics.countsSnapshot)
		server.Set("latencies", p.metrics.latenciesSnapshot)
		server.Set("build", func() any { return daemon.Revision() })
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

// startTasks starts the tasks and returns a channel that receives the result of
// each when it ends.
func (p *process) startTasks(ctx context.Context, tasks []task) <-chan error {
	ends := make(chan error, len(tasks))
	for _, t := range tasks {
		go func() {
			err := p.runTask(func() error { return t.run(ctx) })
			if err != nil {
				err = errors.Wrap(err, t.name)
			}
			ends <- err
		}()
	}
	return ends
}

// newEntrySet returns an empty set whose entries are alive for timeout after their last
// hello message.
func newEntrySet(timeout time.Duration) *entrySet {
	return &entrySet{timeout: timeout, byAddr: make(map[peer.Addr]*entryInfo)}
}

// add adds addresses of entries that may exist and returns those that were
// unknown. It leaves out those beyond maxEntries and addresses that no process can have.
func (s *entrySet) add(now time.Duration, addresses ...peer.Addr) []peer.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	var added []peer.Addr
	for _, a := range addresses {
		if _, ok := s.byAddr[a]; !ok && isUnicast(a) && len(s.byAddr) < maxEntries {
			s.byAddr[a] = &entryInfo{added: now}
			added = append(added, a)
		}
	}
	return added
}

// recordHello records a hello message, unless its incarnation has sent a goodbye message: it
// was late then. It reports whether the sender is new: it was not alive before, or has been
// restarted.
func (s *entrySet) recordHello(now time.Duration, from peer.Addr, hello peer.HelloMessage) (isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.byAddr[from]
	if !ok {
		e = &entryInfo{added: now}
		s.byAddr[from] = e
	}
	if e.stopped && e.incarnation == hello.Incarnation {
		return false
	}
	isNew = !e.active || now-e.lastHello > s.timeout || e.incarnation != hello.Incarnation
	if hello.Ready && !e.ready {
		e.readySince = now
	}
	e.lastHello, e.active, e.stopped, e.incarnation = now, true, false, hello.Incarnation
	e.domain, e.ready, e.settled = hello.FailureDomain, hello.Ready, hello.Settled
	return isNew
}

// markStopped marks an entry as stopped until the first hello message of its next start. It
// ignores the address of a process that is not a known entry.
func (s *entrySet) markStopped(a peer.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.byAddr[a]; ok {
		e.stopped = e.stopped || e.active
		e.active, e.ready = false, false
	}
}

// known returns the entries to which messages are sent, in order of address. It
// drops those whose last hello message, or addition if there was none, is older
// than entryRetention.
func (s *entrySet) known(now time.Duration) []peer.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []peer.Addr
	for a, e := range s.byAddr {
		if now-max(e.lastHello, e.added) > entryRetention {
			delete(s.byAddr, a)
			continue
		}
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b peer.Addr) int { return slices.Compare(a[:], b[:]) })
	return out
}

// alive returns the entries that sent a hello message within the timeout and no
// goodbye message since, in order of address.
func (s *entrySet) alive(now time.Duration) []peer.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []peer.Addr
	for a, e := range s.byAddr {
		if e.active && now-e.lastHello <= s.timeout {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b peer.Addr) int { return slices.Compare(a[:], b[:]) })
	return out
}

// hasSettledBelow reports whether a live entry with a lower address than self is settled.
func (s *entrySet) hasSettledBelow(now time.Duration, self peer.Addr) bool {
	alive := s.alive(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(alive, func(a peer.Addr) bool {
		e, ok := s.byAddr[a]
		return ok && e.settled && slices.Compare(a[:], self[:]) < 0
	})
}

// aliveIn returns the live entries of a failure domain, in order of address.
func (s *entrySet) aliveIn(now time.Duration, domain string) []peer.Addr {
	alive := s.alive(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(alive, func(a peer.Addr) bool {
		e, ok := s.byAddr[a]
		return !ok || e.domain != domain
	})
}

// domainCount returns the number of failure domains of the live entries and of own.
func (s *entrySet) domainCount(now time.Duration, own string) int {
	alive := s.alive(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	domains := map[string]bool{own: true}
	for _, a := range alive {
		if e, ok := s.byAddr[a]; ok {
			domains[e.domain] = true
		}
	}
	return len(domains)
}

// neighbours returns the state of the other entries of a failure domain.
func (s *entrySet) neighbours(domain string) []neighbour {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []neighbour
	for _, e := range s.byAddr {
		if e.domain == domain {
			out = append(out, neighbour{lastHello: e.lastHello, ready: e.active && e.ready, readySince: e.readySince})
		}
	}
	return out
}

// startedBefore returns the live entries that were started before a time of day, by their
// own clocks, in order of address.
func (s *entrySet) startedBefore(now time.Duration, at time.Time) []peer.Addr {
	alive := s.alive(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(alive, func(a peer.Addr) bool {
		e, ok := s.byAddr[a]
		return !ok || e.incarnation >= at.UnixMilli()
	})
}
