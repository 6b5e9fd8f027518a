package agent

import (
	"net/netip"
	"sync/atomic"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// DropWrongService packets are for a service or member other than this.
	DropWrongService DropReason = iota
	// DropUnexpectedKind packets are of a kind that agents do not receive.
	DropUnexpectedKind
	// DropMalformed packets have a payload that cannot be decoded.
	DropMalformed
	// DropHopLimit packets were forwarded too often.
	DropHopLimit
	// DropNoAddress packets are for a member with no known address.
	DropNoAddress
	// DropNoHome packets carry no candidates.
	DropNoHome
	// DropRefused packets would open a flow that no member may take.
	DropRefused
	// DropTableFull packets would open a flow beyond the table's bound.
	DropTableFull
	// DropLateReply datagrams are answers to a flow that has ended.
	DropLateReply
	// DropNoEntry replies found no live entry.
	DropNoEntry

	dropReasons
)

const (
	// Opened flows were placed at this member.
	Opened EventKind = iota
	// Passed flows were placed by this home at another member.
	Passed
	// Refused flows found no member that may take them.
	Refused
	// Ended flows were closed after the idle timeout.
	Ended
	// Unresponsive reports a member that searches no longer wait for.
	Unresponsive
	// Conflict reports a flow that two members own.
	Conflict
)

type (
	// DropReason tells why a packet was dropped.
	DropReason uint8

	// EventKind is the type of a routing or placement decision.
	EventKind uint8

	// Event is a decision to be logged. There is one for each flow, not for
	// each packet.
	Event struct {
		kind   EventKind
		digest flow.Digest
		key    flow.Key
		member member.ID
		work   float64
		others int
	}

	// Delivery is a datagram for the upstream.
	Delivery struct {
		digest  flow.Digest
		epoch   flow.Epoch
		key     flow.Key
		payload []byte
	}

	// ClosedFlow names a flow whose resources at the upstream are to be released.
	ClosedFlow struct {
		digest flow.Digest
		epoch  flow.Epoch
	}

	// Output collects what a Core decided. Payloads alias the packets given to
	// the Core until Reset.
	Output struct {
		sends      []tunnel.OutgoingPacket
		deliveries []Delivery
		closings   []ClosedFlow
		events     []Event
	}

	// Stats counts what a core did. All counters only grow.
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
		drops           [dropReasons]atomic.Int64
	}

	// StatsSnapshot is a copy of Stats for reports. Control is in bytes.
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

// String returns the reason in kebab case.
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

// String returns the kind in kebab case.
func (k EventKind) String() string {
	names := [...]string{"opened", "passed", "refused", "ended", "unresponsive", "conflict"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Kind returns the type of the decision.
func (e Event) Kind() EventKind { return e.kind }

// Digest returns the flow decided on.
func (e Event) Digest() flow.Digest { return e.digest }

// Key returns the addresses of the flow.
func (e Event) Key() flow.Key { return e.key }

// Member returns the member that the decision names.
func (e Event) Member() member.ID { return e.member }

// Work returns the work per slot that decided a placement.
func (e Event) Work() float64 { return e.work }

// CandidateCount returns how many members the choice was between.
func (e Event) CandidateCount() int { return e.others }

// Digest returns the flow of the datagram.
func (d *Delivery) Digest() flow.Digest { return d.digest }

// Epoch returns the epoch of the flow.
func (d *Delivery) Epoch() flow.Epoch { return d.epoch }

// Key returns the addresses of the flow.
func (d *Delivery) Key() flow.Key { return d.key }

// Payload returns the caller's datagram.
func (d *Delivery) Payload() []byte { return d.payload }

// Digest returns the flow that ended.
func (c ClosedFlow) Digest() flow.Digest { return c.digest }

// Epoch returns the epoch of the flow that ended.
func (c ClosedFlow) Epoch() flow.Epoch { return c.epoch }

// Sends returns the packets to send.
func (o *Output) Sends() []tunnel.OutgoingPacket { return o.sends }

// Deliveries returns the datagrams for the upstream.
func (o *Output) Deliveries() []Delivery { return o.deliveries }

// ClosedFlows returns the flows to release at the upstream.
func (o *Output) ClosedFlows() []ClosedFlow { return o.closings }

// Events returns the decisions to log.
func (o *Output) Events() []Event { return o.events }

// Reset empties the output and keeps its memory.
func (o *Output) Reset() {
	o.sends = o.sends[:0]
	o.deliveries = o.deliveries[:0]
	o.closings = o.closings[:0]
	o.events = o.events[:0]
}

func (o *Output) send(address netip.AddrPort, p *tunnel.Packet) {
	o.sends = append(o.sends, tunnel.NewOutgoingPacket(address, p))
}

func (o *Output) event(e Event) { o.events = append(o.events, e) }

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
	for r := range dropReasons {
		snap.Drops[r.String()] = s.drops[r].Load()
	}
	return snap
}

func (c *Core) drop(reason DropReason) {
	c.stats.drops[reason].Add(1)
}
