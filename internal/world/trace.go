package world

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
	"hickoryhook.example/pkg/tunnel/tunnelpb"
)

// tracef writes a trace line if f is the traced flow.
func (w *World) tracef(f *Flow, format string, args ...any) {
	if w.config.Trace == nil || f.token != w.config.TraceFlow {
		return
	}
	fmt.Fprintf(w.config.Trace, "%s %s\n", w.Now().Format("04:05.000"), fmt.Sprintf(format, args...))
}

// tracePacket writes a trace line for a packet that belongs to the traced flow. event
// is "sent" or "lost".
func (w *World) tracePacket(event string, from, to netip.AddrPort, p *tunnel.Packet) {
	if w.config.Trace == nil {
		return
	}
	f := w.byToken[w.config.TraceFlow]
	if f == nil {
		return
	}
	if p.Kind() == tunnel.Register {
		w.traceRegister(f, event, from, to, p)
		return
	}
	if f.address != p.Key().Caller() {
		return
	}
	var candidates []string
	for _, c := range p.Candidates() {
		candidates = append(candidates, w.nameOf(c.Address()))
	}
	w.tracef(f, "%s %s %s>%s hops=%d placed=%v decided=%v not-found=%v search=%v candidates=%v",
		event, p.Kind(), w.nameOf(from), w.nameOf(to), p.Hops(),
		p.HasFlags(tunnel.FlagPlaced), p.HasFlags(tunnel.FlagDecided), p.HasFlags(tunnel.FlagNotFound), p.HasFlags(tunnel.FlagSearch), candidates)
}

// traceRegister writes a trace line for each registration of flow f in a Register
// packet.
func (w *World) traceRegister(f *Flow, event string, from, to netip.AddrPort, p *tunnel.Packet) {
	var body tunnelpb.RegisterBatch
	if err := proto.Unmarshal(p.Payload(), &body); err != nil {
		w.tracef(f, "%s register %s>%s: %v", event, w.nameOf(from), w.nameOf(to), err)
		return
	}
	d := w.hasher.Digest(flow.NewKey(f.service.id, flow.UDP, f.address, f.service.vip))
	for _, item := range body.GetRegistrations() {
		if flow.Digest(item.GetDigest()) == d {
			w.tracef(f, "%s register %s>%s closed=%v", event, w.nameOf(from), w.nameOf(to), item.GetClosed())
		}
	}
}

// nameOf returns the agent's name, or the IP address of another node.
func (w *World) nameOf(address netip.AddrPort) string {
	if a, ok := w.nodes[address].(*Agent); ok {
		return a.Name()
	}
	return address.Addr().String()
}

// traceView writes the homes of the traced flow in the view that an agent is about to
// apply, and whether the agent is draining before it does.
func (w *World) traceView(a *Agent, view *member.View) {
	f := w.byToken[w.config.TraceFlow]
	if w.config.Trace == nil || f == nil || f.service != a.service {
		return
	}
	d := w.hasher.Digest(flow.NewKey(f.service.id, flow.UDP, f.address, f.service.vip))
	var order [member.HomesPerFlow]member.ID
	var names []string
	for _, id := range order[:view.Top(d, order[:])] {
		names = append(names, view.Find(id).Name())
	}
	w.tracef(f, "view %d at %s, homes=%v, draining=%v", view.Number(), a.Name(), names, a.core.Draining())
}
