// Package entryd runs an entry: the sockets, metrics and logs around the
// decision core of package entry.
//
// # Usage
//
//	d, err := entryd.New(settings, logger)
//	d.Start(ctx)
//	d.Stop(ctx) // leaves the fabric, forwards, then returns
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
	readers     = 2
	maxDatagram = 9000
)

type (
	// Daemon is one entry.
	Daemon struct {
		settings *settings.Entry
		core     *entry.Core
		socket   *daemon.Socket
		metrics  *daemon.Metrics
		log      *zap.Logger
		outputs  sync.Pool

		fabric *net.UDPConn                    // nil if the entry owns the VIPs
		vips   map[netip.AddrPort]*net.UDPConn // empty if the fabric owns them
		done   []chan error
		number uint64
	}

	receiver func(b []byte, from netip.AddrPort, out *entry.Output)
)

// New opens the sockets of an entry.
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
		vips:     make(map[netip.AddrPort]*net.UDPConn),
	}
	if err := d.listen(); err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	metrics.Set("entry", func() any { return d.core.Stats().Snapshot() })
	metrics.Set("tunnel-drops", func() any { return socket.Drops() })
	d.SetServices(s.Services)
	return d, nil
}

func options(s *settings.Entry) []entry.Option {
	if s.MaxHints == 0 {
		return nil
	}
	return []entry.Option{entry.WithMaxHints(s.MaxHints)}
}

func (d *Daemon) listen() error {
	if d.settings.FabricAddress.IsValid() {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(d.settings.FabricAddress))
		if err != nil {
			return errors.Wrap(err, "fabric socket")
		}
		d.fabric = conn
		return nil
	}
	for _, svc := range d.settings.Services {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(svc.VIP))
		if err != nil {
			return errors.Wrapf(err, "service %s", svc.Name)
		}
		d.vips[svc.VIP] = conn
	}
	return nil
}

// Core returns the decision core.
func (d *Daemon) Core() *entry.Core { return d.core }

// TunnelAddress returns the address that agents send to.
func (d *Daemon) TunnelAddress() netip.AddrPort { return d.socket.Address() }

// FabricAddress returns the address that the fabric sends to.
func (d *Daemon) FabricAddress() netip.AddrPort {
	return d.fabric.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Reload takes the keys and the members of every service from new settings.
// Other settings need a new process.
func (d *Daemon) Reload(s *settings.Entry) {
	d.socket.SetKeys(s.TunnelKeys())
	d.SetServices(s.Services)
}

// SetServices replaces the members of every service.
func (d *Daemon) SetServices(services []settings.Service) {
	d.number++
	for i := range services {
		d.core.SetView(services[i].View(d.number))
	}
}

// SetView replaces the members of one service.
func (d *Daemon) SetView(view *member.View) { d.core.SetView(view) }

// Start begins to forward.
func (d *Daemon) Start(ctx context.Context) {
	d.metrics.Start(ctx)
	d.socket.Start(ctx, readers, d.fromAgent)
	if d.fabric != nil {
		for range readers {
			d.run(d.fabric, d.fromFabric)
		}
	}
	for vip, conn := range d.vips {
		d.run(conn, func(b []byte, from netip.AddrPort, out *entry.Output) {
			d.core.HandleCallerDatagram(vip, from, b, out)
		})
	}
}

// Stop answers no more heartbeats, forwards for the convergence time of the
// fabric, and closes the sockets. It ends early if the context ends.
func (d *Daemon) Stop(ctx context.Context) error {
	d.core.Drain()
	d.log.Info("stopping", zap.Duration("convergence-time", time.Duration(d.settings.ConvergenceTime)))
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(d.settings.ConvergenceTime)):
	}
	return d.Close()
}

// Close closes the sockets at once, as a crash would.
func (d *Daemon) Close() error {
	errs := []error{d.socket.Close()}
	if d.fabric != nil {
		errs = append(errs, d.fabric.Close())
	}
	for _, conn := range d.vips {
		errs = append(errs, conn.Close())
	}
	for _, done := range d.done {
		errs = append(errs, <-done)
	}
	errs = append(errs, d.metrics.Close())
	return errors.Join(errs...)
}

func (d *Daemon) run(conn *net.UDPConn, receive receiver) {
	done := make(chan error, 1)
	d.done = append(d.done, done)
	go func() { done <- d.read(conn, receive) }()
}

func (d *Daemon) read(conn *net.UDPConn, receive receiver) error {
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
		receive(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), out)
		d.perform(out)
	}
}

func (d *Daemon) fromFabric(b []byte, _ netip.AddrPort, out *entry.Output) {
	caller, vip, payload, err := fabric.Unwrap(b)
	if err != nil {
		d.log.Debug("datagram from the fabric dropped", zap.Error(err))
		return
	}
	d.core.HandleCallerDatagram(vip, caller, payload, out)
}

func (d *Daemon) fromAgent(from netip.AddrPort, p *tunnel.Packet) {
	out := d.outputs.Get().(*entry.Output)
	defer d.outputs.Put(out)
	d.core.HandleAgentPacket(from, p, out)
	d.perform(out)
}

// perform sends and logs what the core decided.
func (d *Daemon) perform(out *entry.Output) {
	d.socket.SendAll(out.Sends(), d.log)
	answers := out.Replies()
	for i := range answers {
		if err := d.answer(&answers[i]); err != nil {
			d.log.Warn("send to caller", zap.Error(err))
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

func (d *Daemon) answer(a *entry.Reply) error {
	if conn, ok := d.vips[a.VIP()]; ok {
		_, err := conn.WriteToUDPAddrPort(a.Payload(), a.Caller())
		return err
	}
	if d.fabric == nil {
		return nil
	}
	b, err := fabric.Wrap(nil, a.VIP(), a.Caller(), a.Payload())
	if err != nil {
		return err
	}
	_, err = d.fabric.WriteToUDPAddrPort(b, d.settings.FabricReplyAddress)
	return err
}
