package agent

import (
	"net/netip"
	"sync/atomic"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// DropWrongService counts packets for another service or member.
	DropWrongService DropReason = iota
	// DropUnexpectedKind counts packets of a kind that agents do not receive.
	DropUnexpectedKind
	// DropMalformed counts packets whose payload cannot be decoded or encoded.
	DropMalformed
	// DropHopLimit counts packets that were forwarded maxHops times.
	DropHopLimit
	// DropNoAddress counts packets to a member whose address is unknown.
	DropNoAddress
	// DropNoHome counts datagrams without candidates, and thus without a home.
	DropNoHome
	// DropRefused counts datagrams of new flows that no member may open.
	DropRefused
	// DropTableFull counts datagrams that need a record when the table is full.
	DropTableFull
	// DropLateReply counts replies of a flow that this member does not own, or of
	// another epoch than the owned flow's.
	DropLateReply
	// DropNoEntry counts replies for which no entry is known.
	DropNoEntry

	dropReasonCount // number of drop reasons
)

const (
	// Opened reports that this member opened a flow.
	Opened EventKind = iota
	// Passed reports that this member sent a new flow to another member, to be opened
	// there or sent on to the next candidate.
	Passed
	// Refused reports a new flow that no member may open.
	Refused
	// Ended reports that a flow was closed after the idle timeout.
	Ended
	// Unresponsive reports a member that did not answer probes. Searches and
	// placements skip it until a packet from it arrives.
	Unresponsive
	// Conflict reports that another member registered a flow that this one owns.
	Conflict
)

type (
	// DropReason is the reason for which a packet was dropped.
	DropReason uint8

	// EventKind is the type of a routing or placement decision.
	EventKind uint8

	// Event is a decision to be logged. A datagram that is routed by a valid record
	// emits none.
	Event struct {
		kind           EventKind
		digest         flow.Digest
		key            flow.Key
		member         member.ID
		work           float64
		candidateCount int
	}

	// Delivery is a caller's datagram for the upstream.
	Delivery struct {
		digest  flow.Digest
		epoch   flow.Epoch
		key     flow.Key
		payload []byte
	}

	// ClosedFlow identifies a flow whose resources at the upstream are to be
	// released.
	ClosedFlow struct {
		digest flow.Digest
		epoch  flow.Epoch
	}

	// Output collects the actions that a Core has decided on. Until Reset, its
	// payloads alias those of the packets and replies passed to the Core.
	Output struct {
		sends       []tunnel.OutgoingPacket
		deliveries  []Delivery
		closedFlows []ClosedFlow
		events      []Event
	}

	// Stats holds the counters of a core. They never decrease.
	Stats struct {
		delivered       atomic.Int64
		forwarded       atomic.Int64
		opened          atomic.Int64
		passed          atomic.Int64
		refused         atomic.Int64
		conflicts       atomic.Int64
		searches        atomic.Int64
		controlSent     atomic.Int64
		controlReceived atomic.Int64
		drops           [dropReasonCount]atomic.Int64
	}

	// StatsSnapshot is a copy of Stats for reports. The control counters are in
	// bytes.
	StatsSnapshot struct {
		Delivered       int64            `json:"delivered"`
		Forwarded       int64            `json:"forwarded"`
		Opened          int64            `json:"opened"`
		Passed          int64            `json:"passed"`
		Refused         int64            `json:"refused"`
		Conflicts       int64            `json:"conflicts"`
		Searches        int64            `json:"searches"`
		ControlSent     int64            `json:"control-bytes-sent"`
		ControlReceived int64            `json:"control-bytes-received"`
		Drops           map[string]int64 `json:"drops"`
	}
)

// String returns the reason in kebab case, or "unknown".
func (r DropReason) String() string {
	names := [...]string{
		"wrong-service", "unexpected-kind", "malformed-body", "hop-limit", "no-address", "no-home",
		"refused", "table-full", "late-reply", "no-entry",
	}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// String returns the kind in kebab case, or "unknown".
func (k EventKind) String() string {
	names := [...]string{"opened", "passed", "refused", "ended", "unresponsive", "conflict"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Kind returns the type of the decision.
func (e Event) Kind() EventKind { return e.kind }

// Digest returns the digest of the flow. It is zero for Unresponsive.
func (e Event) Digest() flow.Digest { return e.digest }

// Key returns the addresses of the flow. It is zero for Unresponsive.
func (e Event) Key() flow.Key { return e.key }

// Member returns the member that the event is about: the one that a flow was sent
// to, that owns a conflicting flow or that is unresponsive; otherwise this one.
func (e Event) Member() member.ID { return e.member }

// Work returns the work per unit of capacity of the member that opened the flow or
// that the flow was sent to, in requests per slot of nominal speed. It is set for
// Opened and Passed.
func (e Event) Work() float64 { return e.work }

// CandidateCount returns the number of candidates of the placement. It is set for
// Opened and Passed.
func (e Event) CandidateCount() int { return e.candidateCount }

// Digest returns the digest of the datagram's flow.
func (d *Delivery) Digest() flow.Digest { return d.digest }

// Epoch returns the epoch of the flow.
func (d *Delivery) Epoch() flow.Epoch { return d.epoch }

// Key returns the addresses of the flow.
func (d *Delivery) Key() flow.Key { return d.key }

// Payload returns the caller's datagram.
func (d *Delivery) Payload() []byte { return d.payload }

// Digest returns the digest of the closed flow.
func (c ClosedFlow) Digest() flow.Digest { return c.digest }

// Epoch returns the epoch of the closed flow.
func (c ClosedFlow) Epoch() flow.Epoch { return c.epoch }

// Sends returns the packets to send.
func (o *Output) Sends() []tunnel.OutgoingPacket { return o.sends }

// Deliveries returns the datagrams for the upstream.
func (o *Output) Deliveries() []Delivery { return o.deliveries }

// ClosedFlows returns the flows to release at the upstream.
func (o *Output) ClosedFlows() []ClosedFlow { return o.closedFlows }

// Events returns the decisions to log.
func (o *Output) Events() []Event { return o.events }

// Reset empties the output and keeps its memory for reuse.
func (o *Output) Reset() {
	o.sends = o.sends[:0]
	o.deliveries = o.deliveries[:0]
	o.closedFlows = o.closedFlows[:0]
	o.events = o.events[:0]
}

func (o *Output) send(address netip.AddrPort, p *tunnel.Packet) {
	o.sends = append(o.sends, tunnel.NewOutgoingPacket(address, p))
}

func (o *Output) addEvent(e Event) { o.events = append(o.events, e) }

// Snapshot returns a copy of the counters.
func (s *Stats) Snapshot() StatsSnapshot {
	snap := StatsSnapshot{
		Delivered:       s.delivered.Load(),
		Forwarded:       s.forwarded.Load(),
		Opened:          s.opened.Load(),
		Passed:          s.passed.Load(),
		Refused:         s.refused.Load(),
		Conflicts:       s.conflicts.Load(),
		Searches:        s.searches.Load(),
		ControlSent:     s.controlSent.Load(),
		ControlReceived: s.controlReceived.Load(),
		Drops:           make(map[string]int64),
	}
	for r := range dropReasonCount {
		snap.Drops[r.String()] = s.drops[r].Load()
	}
	return snap
}

func (c *Core) drop(reason DropReason) {
	c.stats.drops[reason].Add(1)
}
