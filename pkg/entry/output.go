package entry

import (
	"net/netip"
	"sync/atomic"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// DropUnknownVIP datagrams are for an address of no service.
	DropUnknownVIP DropReason = iota
	// DropNoMembers datagrams are for a service without members.
	DropNoMembers
	// DropWrongService replies name a service that is not that of their
	// address, or a digest that is not that of their addresses.
	DropWrongService
	// DropLateReply replies belong to an earlier flow with the same addresses.
	DropLateReply
	// DropUnexpectedKind packets are of a kind that entries do not receive.
	DropUnexpectedKind

	dropReasons
)

// Routed is the decision to send the first datagrams of a flow to its home.
const Routed EventKind = 0

type (
	// DropReason tells why a datagram was dropped.
	DropReason uint8

	// EventKind is the type of a routing decision.
	EventKind uint8

	// Event is a routing decision to be logged.
	Event struct {
		kind   EventKind
		digest flow.Digest
		key    flow.Key
		member member.ID
	}

	// Reply is a datagram for a caller, to be sent from the VIP.
	Reply struct {
		vip     netip.AddrPort
		caller  netip.AddrPort
		payload []byte
	}

	// Output collects what a Core decided. Payloads alias what was given to
	// the Core until Reset.
	Output struct {
		sends   []tunnel.OutgoingPacket
		answers []Reply
		events  []Event
	}

	// Stats counts what a core did. All counters only grow.
	Stats struct {
		routed          atomic.Int64
		replied         atomic.Int64
		controlSent     atomic.Int64
		controlReceived atomic.Int64
		drops           [dropReasons]atomic.Int64
	}

	// StatsSnapshot is a copy of Stats for reports. Control is in bytes.
	StatsSnapshot struct {
		Routed          int64            `json:"routed"`
		Replied         int64            `json:"replied"`
		ControlSent     int64            `json:"control-bytes-sent"`
		ControlReceived int64            `json:"control-bytes-received"`
		Drops           map[string]int64 `json:"drops"`
	}
)

// String returns the reason in kebab case.
func (r DropReason) String() string {
	names := [...]string{"unknown-vip", "no-members", "wrong-service", "late-reply", "unexpected-kind"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// String returns the kind in kebab case.
func (k EventKind) String() string { return "routed" }

// Kind returns the type of the decision.
func (e Event) Kind() EventKind { return e.kind }

// Digest returns the flow decided on.
func (e Event) Digest() flow.Digest { return e.digest }

// Key returns the addresses of the flow.
func (e Event) Key() flow.Key { return e.key }

// Member returns the member that the decision names.
func (e Event) Member() member.ID { return e.member }

// VIP returns the address that the answer leaves from.
func (a *Reply) VIP() netip.AddrPort { return a.vip }

// Caller returns the address that the answer goes to.
func (a *Reply) Caller() netip.AddrPort { return a.caller }

// Payload returns the upstream's datagram.
func (a *Reply) Payload() []byte { return a.payload }

// Sends returns the packets for agents.
func (o *Output) Sends() []tunnel.OutgoingPacket { return o.sends }

// Replies returns the datagrams for callers.
func (o *Output) Replies() []Reply { return o.answers }

// Events returns the decisions to log.
func (o *Output) Events() []Event { return o.events }

// Reset empties the output and keeps its memory.
func (o *Output) Reset() {
	o.sends = o.sends[:0]
	o.answers = o.answers[:0]
	o.events = o.events[:0]
}

// next appends a packet and returns it, so that it is filled in place.
func (o *Output) next(address netip.AddrPort, p tunnel.Packet) *tunnel.Packet {
	o.sends = append(o.sends, tunnel.NewOutgoingPacket(address, &p))
	return o.sends[len(o.sends)-1].Packet()
}

func (o *Output) event(e Event) { o.events = append(o.events, e) }

// Snapshot returns a copy of the counters.
func (s *Stats) Snapshot() StatsSnapshot {
	snap := StatsSnapshot{
		Routed:          s.routed.Load(),
		Replied:         s.replied.Load(),
		ControlSent:     s.controlSent.Load(),
		ControlReceived: s.controlReceived.Load(),
		Drops:           make(map[string]int64),
	}
	for r := range dropReasons {
		snap.Drops[r.String()] = s.drops[r].Load()
	}
	return snap
}

func (c *Core) drop(reason DropReason) { c.stats.drops[reason].Add(1) }
