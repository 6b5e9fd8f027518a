package entry

import (
	"net/netip"
	"sync/atomic"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// DropUnknownVIP counts datagrams to an address that is no service's VIP.
	DropUnknownVIP DropReason = iota
	// DropNoMembers counts datagrams to a service that has no view or no
	// members that can own flows.
	DropNoMembers
	// DropWrongService counts replies whose service does not match their VIP or
	// whose digest does not match their addresses.
	DropWrongService
	// DropLateReply counts replies of an earlier flow with the same addresses.
	DropLateReply
	// DropUnexpectedKind counts packets of a kind that entries do not accept.
	DropUnexpectedKind

	dropReasonCount
)

// Routed means that a datagram was sent to the home of its flow because the entry
// had no hint of the owner, as for the first datagrams of a flow.
const Routed EventKind = 0

type (
	// DropReason is the reason for which a datagram was dropped.
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

	// Reply is an upstream's datagram to be sent from the VIP to a caller.
	Reply struct {
		vip     netip.AddrPort
		caller  netip.AddrPort
		payload []byte
	}

	// Output collects the packets, replies and events that a Core produces.
	// Their payloads alias the buffers passed to the Core, so those buffers must
	// not be reused before Reset.
	Output struct {
		sends   []tunnel.OutgoingPacket
		replies []Reply
		events  []Event
	}

	// Stats holds the counters of a Core. They never decrease.
	Stats struct {
		routed          atomic.Int64
		replied         atomic.Int64
		controlSent     atomic.Int64
		controlReceived atomic.Int64
		drops           [dropReasonCount]atomic.Int64
	}

	// StatsSnapshot is a copy of Stats for reports. ControlSent and
	// ControlReceived are in bytes.
	StatsSnapshot struct {
		Routed          int64            `json:"routed"`
		Replied         int64            `json:"replied"`
		ControlSent     int64            `json:"control-bytes-sent"`
		ControlReceived int64            `json:"control-bytes-received"`
		Drops           map[string]int64 `json:"drops"`
	}
)

// String returns the reason in kebab case, or "unknown".
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

// Digest returns the digest of the flow.
func (e Event) Digest() flow.Digest { return e.digest }

// Key returns the addresses of the flow.
func (e Event) Key() flow.Key { return e.key }

// Member returns the member to which the datagram was routed.
func (e Event) Member() member.ID { return e.member }

// VIP returns the source address of the reply.
func (r *Reply) VIP() netip.AddrPort { return r.vip }

// Caller returns the destination address of the reply.
func (r *Reply) Caller() netip.AddrPort { return r.caller }

// Payload returns the datagram of the upstream.
func (r *Reply) Payload() []byte { return r.payload }

// Sends returns the packets to send to agents.
func (o *Output) Sends() []tunnel.OutgoingPacket { return o.sends }

// Replies returns the datagrams to send to callers.
func (o *Output) Replies() []Reply { return o.replies }

// Events returns the routing decisions to log.
func (o *Output) Events() []Event { return o.events }

// Reset empties the output and keeps the allocated slices.
func (o *Output) Reset() {
	o.sends = o.sends[:0]
	o.replies = o.replies[:0]
	o.events = o.events[:0]
}

// appendPacket appends a packet to be sent to address and returns a pointer to
// the stored copy, so that its remaining fields can be set in place.
func (o *Output) appendPacket(address netip.AddrPort, p tunnel.Packet) *tunnel.Packet {
	o.sends = append(o.sends, tunnel.NewOutgoingPacket(address, &p))
	return o.sends[len(o.sends)-1].Packet()
}

func (o *Output) addEvent(e Event) { o.events = append(o.events, e) }

// Snapshot returns a copy of the counters.
func (s *Stats) Snapshot() StatsSnapshot {
	snap := StatsSnapshot{
		Routed:          s.routed.Load(),
		Replied:         s.replied.Load(),
		ControlSent:     s.controlSent.Load(),
		ControlReceived: s.controlReceived.Load(),
		Drops:           make(map[string]int64),
	}
	for r := range dropReasonCount {
		snap.Drops[r.String()] = s.drops[r].Load()
	}
	return snap
}

func (c *Core) countDrop(reason DropReason) { c.stats.drops[reason].Add(1) }
