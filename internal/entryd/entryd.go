// Package entryd implements the entry daemon: it provides sockets, metrics and
// logging for the routing decisions of package entry.
//
// # Usage
//
//	d, err := entryd.New(settings, logger)
//	d.Start(ctx)
//	d.Stop(ctx) // drains, forwards for the convergence time, then returns
package entryd

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/internal/settings"
	"hickoryhook.example/pkg/entry"
	"hickoryhook.example/pkg/fabric"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// numReaders is the number of goroutines that read the tunnel socket, and of those
	// that read the fabric socket. The socket of a VIP has one.
	numReaders = 2
	// maxDatagram is the size of a receive buffer in bytes. Longer datagrams are
	// truncated.
	maxDatagram = 9000
)

type (
	// Daemon is an entry process.
	Daemon struct {
		settings *settings.Entry
		core     *entry.Core
		socket   *daemon.Socket
		metrics  *daemon.Metrics
		log      *zap.Logger
		outputs  sync.Pool

		fabricConn *net.UDPConn                    // nil if the entry listens on the VIPs itself
		vipConns   map[netip.AddrPort]*net.UDPConn // by VIP; empty if the fabric listens on the VIPs
		done       []chan error                    // one for each reader of these sockets
		viewNumber uint64                          // of the views that SetServices set last
	}

	// datagramHandler processes the datagram b received from the given address and
	// appends the resulting packets to out. It must not retain b.
	datagramHandler func(b []byte, from netip.AddrPort, out *entry.Output)
)

// New opens the sockets of an entry. It returns an error if one of them cannot be
// opened.
func New(s *settings.Entry, log *zap.Logger) (*Daemon, error) {
	socket, err := daemon.Listen(s.TunnelAddress, s.TunnelKeys())
	if err != nil {
		return nil, err
	}
	metrics, err := daemon.NewMetrics(s.MetricsAddress)
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	var services []entry.Service
	for _, svc := range s.Services {
		services = append(services, entry.NewService(svc.ID, svc.VIP))
	}
	d := &Daemon{
		settings: s,
		core:     entry.New(s.Name, socket.Address(), s.Hasher(), services, options(s)...),
		socket:   socket,
		metrics:  metrics,
		log:      log.With(zap.String("entry", s.Name)),
		outputs:  sync.Pool{New: func() any { return &entry.Output{} }},
		vipConns: make(map[netip.AddrPort]*net.UDPConn),
	}
	if err := d.listen(); err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	metrics.Set("entry", func() any { return d.core.Stats().Snapshot() })
	metrics.Set("tunnel-drops", func() any { return socket.Drops() })
	d.SetServices(s.Services)
	return d, nil
}

// options returns the options for the core that the settings ask for.
func options(s *settings.Entry) []entry.Option {
	if s.MaxHints == 0 {
		return nil
	}
	return []entry.Option{entry.WithMaxHints(s.MaxHints)}
}

// listen opens the fabric socket or, if the settings have no fabric address, one socket
// for each VIP.
func (d *Daemon) listen() error {
	if d.settings.FabricAddress.IsValid() {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(d.settings.FabricAddress))
		if err != nil {
			return errors.Wrap(err, "fabric socket")
		}
		d.fabricConn = conn
		return nil
	}
	for _, svc := range d.settings.Services {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(svc.VIP))
		if err != nil {
			return errors.Wrapf(err, "service %s", svc.Name)
		}
		d.vipConns[svc.VIP] = conn
	}
	return nil
}

// Core returns the decision core.
func (d *Daemon) Core() *entry.Core { return d.core }

// TunnelAddress returns the address on which the entry receives packets from
// agents.
func (d *Daemon) TunnelAddress() netip.AddrPort { return d.socket.Address() }

// FabricAddress returns the address on which the entry receives datagrams from the
// fabric. It panics if the settings have no fabric address.
func (d *Daemon) FabricAddress() netip.AddrPort {
	return d.fabricConn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Reload applies the tunnel keys and the members of every service from new
// settings. A change of any other setting requires a restart.
func (d *Daemon) Reload(s *settings.Entry) {
	d.socket.SetKeys(s.TunnelKeys())
	d.SetServices(s.Services)
}

// SetServices replaces the member list of every given service.
func (d *Daemon) SetServices(services []settings.Service) {
	d.viewNumber++
	for i := range services {
		d.core.SetView(services[i].View(d.viewNumber))
	}
}

// SetView replaces the member list of one service.
func (d *Daemon) SetView(view *member.View) { d.core.SetView(view) }

// Start starts the goroutines that receive datagrams and serve metrics, and returns. Use
// Stop or Close to end them: a canceled context ends only the readers of the tunnel
// socket.
func (d *Daemon) Start(ctx context.Context) {
	d.metrics.Start(ctx)
	d.socket.Start(ctx, numReaders, d.handleAgentPacket)
	if d.fabricConn != nil {
		for range numReaders {
			d.startReader(d.fabricConn, d.handleFabricDatagram)
		}
	}
	for vip, conn := range d.vipConns {
		d.startReader(conn, func(b []byte, from netip.AddrPort, out *entry.Output) {
			d.core.HandleCallerDatagram(vip, from, b, out)
		})
	}
}

// Stop stops acknowledging heartbeats, continues to forward for the convergence
// time of the fabric, and closes the sockets. It closes them early if the context
// is canceled.
func (d *Daemon) Stop(ctx context.Context) error {
	d.core.Drain()
	d.log.Info("stopping", zap.Duration("convergence-time", time.Duration(d.settings.ConvergenceTime)))
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(d.settings.ConvergenceTime)):
	}
	return d.Close()
}

// Close closes the sockets immediately, as a crash would. Start must have been called.
func (d *Daemon) Close() error {
	errs := []error{d.socket.Close()}
	if d.fabricConn != nil {
		errs = append(errs, d.fabricConn.Close())
	}
	for _, conn := range d.vipConns {
		errs = append(errs, conn.Close())
	}
	for _, done := range d.done {
		errs = append(errs, <-done)
	}
	errs = append(errs, d.metrics.Close())
	return errors.Join(errs...)
}

// startReader starts a goroutine that reads from conn until it is closed.
func (d *Daemon) startReader(conn *net.UDPConn, handle datagramHandler) {
	done := make(chan error, 1)
	d.done = append(d.done, done)
	go func() { done <- d.readLoop(conn, handle) }()
}

// readLoop passes each datagram from conn to handle and performs the resulting output,
// until conn is closed. Other read errors are ignored.
func (d *Daemon) readLoop(conn *net.UDPConn, handle datagramHandler) error {
	buf := make([]byte, maxDatagram)
	out := &entry.Output{}
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		handle(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), out)
		d.perform(out)
	}
}

// handleFabricDatagram passes a datagram to the core with the caller address and VIP from
// its PROXY header.
func (d *Daemon) handleFabricDatagram(b []byte, _ netip.AddrPort, out *entry.Output) {
	caller, vip, payload, err := fabric.Unwrap(b)
	if err != nil {
		d.log.Debug("datagram from the fabric dropped", zap.Error(err))
		return
	}
	d.core.HandleCallerDatagram(vip, caller, payload, out)
}

func (d *Daemon) handleAgentPacket(from netip.AddrPort, p *tunnel.Packet) {
	out := d.outputs.Get().(*entry.Output)
	defer d.outputs.Put(out)
	d.core.HandleAgentPacket(from, p, out)
	d.perform(out)
}

// perform sends the packets and replies of an output and logs its events. Then it
// resets the output for reuse.
func (d *Daemon) perform(out *entry.Output) {
	d.socket.SendAll(out.Sends(), d.log)
	replies := out.Replies()
	for i := range replies {
		if err := d.sendReply(&replies[i]); err != nil {
			d.log.Warn("failed to send reply to caller", zap.Error(err))
		}
	}
	for _, e := range out.Events() {
		d.log.Info(e.Kind().String(),
			zap.Stringer("flow", e.Digest()),
			zap.Uint32("service", uint32(e.Key().Service())),
			zap.Stringer("caller", e.Key().Caller()),
			zap.String("home", d.core.View(e.Key().Service()).NameOf(e.Member())))
	}
	out.Reset()
}

// sendReply sends a reply to its caller from the socket of the VIP, or through the
// fabric if the entry has no such socket. Without either, it discards the reply.
func (d *Daemon) sendReply(r *entry.Reply) error {
	if conn, ok := d.vipConns[r.VIP()]; ok {
		_, err := conn.WriteToUDPAddrPort(r.Payload(), r.Caller())
		return err
	}
	if d.fabricConn == nil {
		return nil
	}
	b, err := fabric.Wrap(nil, r.VIP(), r.Caller(), r.Payload())
	if err != nil {
		return err
	}
	_, err = d.fabricConn.WriteToUDPAddrPort(b, d.settings.FabricReplyAddress)
	return err
}
