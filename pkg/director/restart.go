package director

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

const (
	// maxAbsence is how long packets are held for an agent that restarts: until its callers
	// have sent their third copies, 200 ms, 600 ms and 1.4 s after the first packets. Later,
	// a held packet is of no use to them.
	maxAbsence = 1400 * time.Millisecond
	// maxHeldBytes bounds the packets that are held for all agents together.
	maxHeldBytes = 1 << 20
)

type (
	// absences holds the packets for agents that have announced their restart. While an agent
	// is away, its flows can be served by no other one, and a packet that is sent to it is
	// lost until its caller sends a copy.
	absences struct {
		count   atomic.Int32 // of byAgent, read without the lock
		mu      sync.Mutex
		byAgent map[peer.Addr]*absence
		bytes   int // of the packets that are held
	}

	// absence is the time between two processes of an agent.
	absence struct {
		since   time.Duration
		packets []heldPacket // in the order of arrival
	}

	heldPacket struct {
		flow     segment.Flow
		sequence uint32
		length   uint16
		flags    segment.Flags
		packet   []byte
	}
)

// begin begins an absence of an agent.
func (a *absences) begin(now time.Duration, agent peer.Addr) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byAgent == nil {
		a.byAgent = make(map[peer.Addr]*absence)
	}
	if a.byAgent[agent] == nil {
		a.byAgent[agent] = &absence{since: now}
		a.count.Add(1)
	}
}

// hold keeps a copy of a packet for an agent that is absent, unless the same packet is held
// already. It returns false if the agent is not absent or there is no room for the packet.
func (a *absences) hold(agent peer.Addr, h segment.Header, packet []byte) bool {
	if a.count.Load() == 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.byAgent[agent]
	if x == nil {
		return false
	}
	for _, p := range x.packets {
		if p.flow == h.Flow && p.sequence == h.Sequence && p.length == h.Length && p.flags == h.Flags {
			return true
		}
	}
	if a.bytes+len(packet) > maxHeldBytes {
		return false
	}
	a.bytes += len(packet)
	x.packets = append(x.packets, heldPacket{
		flow: h.Flow, sequence: h.Sequence, length: h.Length, flags: h.Flags, packet: append([]byte(nil), packet...),
	})
	return true
}

// end ends the absence of an agent, if there is one, and returns its packets, see newestFirst.
func (a *absences) end(agent peer.Addr) []heldPacket {
	if a.count.Load() == 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.byAgent[agent]
	if x == nil {
		return nil
	}
	delete(a.byAgent, agent)
	a.count.Add(-1)
	for _, p := range x.packets {
		a.bytes -= len(p.packet)
	}
	return newestFirst(x.packets)
}

// overdue returns the agents that have been absent for maxAbsence. They are sorted, so that
// simulated runs are reproducible.
func (a *absences) overdue(now time.Duration) []peer.Addr {
	if a.count.Load() == 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []peer.Addr
	for agent, x := range a.byAgent {
		if now-x.since >= maxAbsence {
			out = append(out, agent)
		}
	}
	slices.SortFunc(out, func(a, b peer.Addr) int { return slices.Compare(a[:], b[:]) })
	return out
}

// newestFirst orders packets by the flow that began to wait last, and those of one flow by
// their arrival. The upstream gets the requests of its whole absence at once and serves them
// one after the other: those that have waited longest have mostly missed their callers'
// target, and would make the others miss theirs.
func newestFirst(packets []heldPacket) []heldPacket {
	began := make(map[segment.Flow]int, len(packets))
	for i, p := range packets {
		if _, ok := began[p.flow]; !ok {
			began[p.flow] = i
		}
	}
	slices.SortStableFunc(packets, func(a, b heldPacket) int { return began[b.flow] - began[a.flow] })
	return packets
}

// deliverHeld sends the packets that were held for an agent.
func (d *Director) deliverHeld(agent peer.Addr, packets []heldPacket) {
	if len(packets) == 0 {
		return
	}
	delivered := 0
	for _, p := range packets {
		if d.deliverHeldPacket(p) {
			delivered++
		}
	}
	d.port.RecordDecision(Decision{Event: HeldDelivered, Flow: packets[0].flow, Agent: agent, Tried: delivered})
}

// deliverHeldPacket sends a packet to the present owner of its flow. A packet whose flow has
// been removed, has ended with its upstream or is being searched for is dropped: its caller
// sends it again.
func (d *Director) deliverHeldPacket(p heldPacket) bool {
	s := d.lock(p.flow)
	defer s.mu.Unlock()
	rec := s.flows[p.flow]
	if rec == nil || rec.gone != nil || rec.searching {
		return false
	}
	d.deliver(s, rec, p.packet)
	return true
}
