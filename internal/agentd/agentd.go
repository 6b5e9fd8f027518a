// Package agentd implements the agent daemon: it provides sockets, metrics and
// logging for the routing decisions of package agent. One agent.Core makes the
// decisions for each upstream on the same instance.
//
// # Usage
//
//	d, err := agentd.New(ctx, settings, logger)
//	d.Start(ctx)
//	d.Stop(ctx) // refuses new flows, waits until open flows have ended or a timeout, then returns
package agentd

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/internal/settings"
	"hickoryhook.example/pkg/agent"
	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/placement"
	"hickoryhook.example/pkg/tunnel"
	"hickoryhook.example/pkg/upstream"
)

const (
	// numReaders is the number of goroutines that read the tunnel socket.
	numReaders = 2
	// drainPollInterval is the interval at which Stop checks whether all members can
	// stop.
	drainPollInterval = 50 * time.Millisecond
)

type (
	// Daemon is an agent process that serves one or more upstreams.
	Daemon struct {
		settings      *settings.Agent
		endpoints     map[member.ID]*endpoint // not changed after New
		entries       *agent.Entries
		socket        *daemon.Socket
		metrics       *daemon.Metrics
		log           *zap.Logger
		outputs       sync.Pool
		unknownMember atomic.Int64 // packets addressed to members that this agent does not serve
		viewNumber    uint64       // of the views that SetServices set last
		cancel        context.CancelFunc
		tickDone      chan error
	}

	// endpoint is an upstream with its decision core and its UDP sockets.
	endpoint struct {
		core    *agent.Core
		sockets *upstream.Sockets
		log     *zap.Logger
	}
)

// New opens the tunnel and metrics sockets of an agent and creates the cores of its
// upstreams. It returns an error if a socket cannot be opened or the placement policy
// is unknown. Once ctx is canceled, no sockets for new flows are opened.
func New(ctx context.Context, s *settings.Agent, log *zap.Logger) (*Daemon, error) {
	socket, err := daemon.Listen(s.TunnelAddress, s.TunnelKeys())
	if err != nil {
		return nil, err
	}
	metrics, err := daemon.NewMetrics(s.MetricsAddress)
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	d := &Daemon{
		settings:  s,
		endpoints: make(map[member.ID]*endpoint),
		entries:   agent.NewEntries(s.Entries),
		socket:    socket,
		metrics:   metrics,
		log:       log.With(zap.String("agent", s.Name)),
		outputs:   sync.Pool{New: func() any { return &agent.Output{} }},
		tickDone:  make(chan error, 1),
	}
	for i := range s.Upstreams {
		if err := d.addUpstream(ctx, &s.Upstreams[i]); err != nil {
			return nil, errors.Join(err, socket.Close())
		}
	}
	metrics.Set("agent", func() any { return d.Stats() })
	metrics.Set("tunnel-drops", func() any { return socket.Drops() })
	metrics.Set("unknown-member", func() any { return d.unknownMember.Load() })
	return d, nil
}

// addUpstream creates the endpoint of one upstream. The upstreams of an agent share
// agent.DefaultControlRate equally.
func (d *Daemon) addUpstream(ctx context.Context, u *settings.Upstream) error {
	policy, err := placement.New[placement.Estimate](d.settings.Policy)
	if err != nil {
		return err
	}
	view := d.settings.FindService(u.Service).View(d.viewNumber)
	self := view.Find(member.IDOf(u.Member))
	core := agent.New(*self, view, time.Now(),
		agent.WithPolicy(policy),
		agent.WithSlots(u.Slots),
		agent.WithMaxFlows(d.settings.MaxFlows),
		agent.WithIdleTimeout(time.Duration(d.settings.IdleTimeout)),
		agent.WithSettleTime(time.Duration(d.settings.SettleTime)),
		agent.WithWarmUp(time.Duration(d.settings.WarmUp)),
		agent.WithEntries(d.entries),
		agent.WithControlRate(agent.DefaultControlRate/len(d.settings.Upstreams)),
	)
	ep := &endpoint{core: core, log: d.log.With(zap.String("member", u.Member))}
	ep.sockets = upstream.NewSockets(ctx, u.Address, func(digest flow.Digest, epoch flow.Epoch, payload []byte) {
		out := d.outputs.Get().(*agent.Output)
		defer d.outputs.Put(out)
		core.Reply(time.Now(), digest, epoch, payload, out)
		d.perform(ep, out)
	})
	d.endpoints[core.ID()] = ep
	return nil
}

// TunnelAddress returns the address on which the agent receives packets from
// entries and other agents.
func (d *Daemon) TunnelAddress() netip.AddrPort { return d.socket.Address() }

// Stats returns the counters of each upstream, keyed by member name.
func (d *Daemon) Stats() map[string]agent.StatsSnapshot {
	stats := make(map[string]agent.StatsSnapshot)
	for _, u := range d.settings.Upstreams {
		stats[u.Member] = d.endpoints[member.IDOf(u.Member)].core.Stats().Snapshot()
	}
	return stats
}

// OwnedFlows returns the number of flows that the upstreams of this agent own.
func (d *Daemon) OwnedFlows() int {
	n := 0
	for _, ep := range d.endpoints {
		n += ep.core.OwnedFlows()
	}
	return n
}

// Reload applies the tunnel keys and the members of every service from new
// settings. A change of any other setting requires a restart.
func (d *Daemon) Reload(s *settings.Agent) {
	d.socket.SetKeys(s.TunnelKeys())
	d.SetServices(s.Services)
}

// SetServices replaces the member list of every given service.
func (d *Daemon) SetServices(services []settings.Service) {
	d.viewNumber++
	for i := range services {
		d.SetView(services[i].View(d.viewNumber))
	}
}

// SetView replaces the member list of one service.
func (d *Daemon) SetView(view *member.View) {
	for _, ep := range d.endpoints {
		if ep.core.Service() == view.Service() {
			ep.core.SetView(time.Now(), view)
		}
	}
}

// Start starts the goroutines that receive packets, call Tick and serve metrics, and
// returns. Use Stop or Close to end them.
func (d *Daemon) Start(ctx context.Context) {
	ctx, d.cancel = context.WithCancel(ctx)
	d.metrics.Start(ctx)
	d.socket.Start(ctx, numReaders, d.receive)
	go func() { d.tickDone <- d.tick(ctx) }()
}

// Stop refuses new flows, waits until every member can stop or the stop timeout
// expires, and closes the sockets. A stop timeout of 0 sets no limit. Stop ends the
// wait early if the context is canceled. A view that is set meanwhile decides anew
// whether its members refuse new flows.
func (d *Daemon) Stop(ctx context.Context) error {
	for _, ep := range d.endpoints {
		ep.core.Drain()
	}
	d.log.Info("stopping", zap.Int("open-flows", d.OwnedFlows()))
	if timeout := time.Duration(d.settings.StopTimeout); timeout > 0 {
		timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = timeoutCtx
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !d.canStop() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	d.log.Info("stopped", zap.Int("open-flows", d.OwnedFlows()))
	return d.Close()
}

func (d *Daemon) canStop() bool {
	for _, ep := range d.endpoints {
		if !ep.core.CanStop() {
			return false
		}
	}
	return true
}

// Close closes the sockets immediately, without waiting for open flows, as a
// crash would. Start must have been called.
func (d *Daemon) Close() error {
	d.cancel()
	errs := []error{<-d.tickDone, d.socket.Close()}
	for _, ep := range d.endpoints {
		errs = append(errs, ep.sockets.Close())
	}
	errs = append(errs, d.metrics.Close())
	return errors.Join(errs...)
}

// tick calls Tick of every core at agent.TickInterval, in the order of the member IDs,
// until the context ends.
func (d *Daemon) tick(ctx context.Context) error {
	ticker := time.NewTicker(agent.TickInterval)
	defer ticker.Stop()
	out := &agent.Output{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, id := range d.sortedIDs() {
				ep := d.endpoints[id]
				ep.core.Tick(now, out)
				d.perform(ep, out)
			}
		}
	}
}

func (d *Daemon) sortedIDs() []member.ID {
	ids := make([]member.ID, 0, len(d.endpoints))
	for id := range d.endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// receive passes a packet to the core of the member it is addressed to.
func (d *Daemon) receive(from netip.AddrPort, p *tunnel.Packet) {
	ep, ok := d.endpoints[p.Dest()]
	if !ok {
		d.unknownMember.Add(1)
		return
	}
	out := d.outputs.Get().(*agent.Output)
	defer d.outputs.Put(out)
	ep.core.Handle(time.Now(), from, p, out)
	d.perform(ep, out)
}

// perform sends the packets of an output, passes its datagrams to the upstream,
// closes ended flows and logs the events. Then it resets the output for reuse.
func (d *Daemon) perform(ep *endpoint, out *agent.Output) {
	d.socket.SendAll(out.Sends(), ep.log)
	deliveries := out.Deliveries()
	for i := range deliveries {
		if err := ep.sockets.Deliver(deliveries[i].Digest(), deliveries[i].Epoch(), deliveries[i].Payload()); err != nil {
			ep.log.Warn("failed to deliver datagram to upstream", zap.Error(err))
		}
	}
	for _, closed := range out.ClosedFlows() {
		if err := ep.sockets.CloseFlow(closed.Digest(), closed.Epoch()); err != nil {
			ep.log.Warn("failed to close flow socket", zap.Error(err))
		}
	}
	for _, e := range out.Events() {
		ep.log.Info(e.Kind().String(),
			zap.Stringer("flow", e.Digest()),
			zap.Uint32("service", uint32(e.Key().Service())),
			zap.Stringer("caller", e.Key().Caller()),
			zap.String("to", ep.core.View().NameOf(e.Member())),
			zap.Float64("work", e.Work()),
			zap.Int("among", e.CandidateCount()))
	}
	out.Reset()
}
