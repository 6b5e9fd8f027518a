package agent

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// maxPeers bounds the table; further peers are ignored.
	maxPeers = 4096

	// aliveResolution is the resolution of the time of a peer's last packet. It
	// avoids taking the write lock for each packet.
	aliveResolution = 100 * time.Millisecond
	// aliveTimeout is the time after its last packet for which a member is
	// assumed to be alive, without a probe.
	aliveTimeout = 2 * time.Second
	// probeInterval is the time without a packet from an awaited member before
	// the first probe, and the interval between probes.
	probeInterval = 200 * time.Millisecond
	// unresponsiveAfter is the time without a packet from an awaited member after
	// which it is unresponsive, and searches and placements skip it.
	unresponsiveAfter = 2 * time.Second
)

type (
	// peerTable holds the state of other members as derived from packets: the
	// address, also of members that the current view does not have yet, and
	// whether they respond.
	peerTable struct {
		mu    sync.RWMutex
		peers map[member.ID]peer
	}

	// peer is the state of one member.
	peer struct {
		address      netip.AddrPort
		unresponsive bool
		// synced is the fingerprint of the view under which the peer has
		// registered with this member all flows that it must; 0 if it has not.
		synced uint64
		// awaitedSince is when a datagram of a placement or a search was first sent to
		// the peer after no packet had arrived from it for aliveTimeout; zero if no
		// packet is awaited.
		awaitedSince time.Time
		probedAt     time.Time
		lastPacketAt time.Time // accurate to aliveResolution
	}
)

func newPeerTable() *peerTable {
	return &peerTable{peers: make(map[member.ID]peer)}
}

// setAddress stores the address of a member. An invalid address is ignored, and
// so is a new member when the table is full.
func (t *peerTable) setAddress(id member.ID, address netip.AddrPort) {
	if !address.IsValid() {
		return
	}
	t.mu.RLock()
	known, ok := t.peers[id]
	t.mu.RUnlock()
	if ok && known.address == address {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok || len(t.peers) < maxPeers {
		known.address = address
		t.peers[id] = known
	}
}

// address returns the last known address of a member.
func (t *peerTable) address(id member.ID) (netip.AddrPort, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p, ok := t.peers[id]
	return p.address, ok && p.address.IsValid()
}

// isUnresponsive reports whether the member has not answered probes and has sent
// no packet since.
func (t *peerTable) isUnresponsive(id member.ID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.peers[id].unresponsive
}

// setSynced stores whether the peer has registered its flows under the view with
// the given fingerprint.
func (t *peerTable) setSynced(id member.ID, view uint64, synced bool) {
	if !synced {
		view = 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[id]
	if !ok || p.synced == view {
		return
	}
	p.synced = view
	t.peers[id] = p
}

// isSynced reports whether the peer has registered its flows under the view.
func (t *peerTable) isSynced(id member.ID, view uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.peers[id].synced == view
}

// sinceLastPacket returns the time since the last packet from the member, or the
// longest time.Duration if there was none.
func (t *peerTable) sinceLastPacket(now time.Time, id member.ID) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return now.Sub(t.peers[id].lastPacketAt)
}

// awaitPacket starts the timeouts for probing the member and declaring it
// unresponsive, unless they run already, the member sent a packet within
// aliveTimeout, or it is unresponsive or unknown.
func (t *peerTable) awaitPacket(now time.Time, id member.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[id]
	if !ok || p.unresponsive || !p.awaitedSince.IsZero() || now.Sub(p.lastPacketAt) < aliveTimeout {
		return
	}
	p.awaitedSince = now
	t.peers[id] = p
}

// markAlive records that a packet from the member arrived, and stops the timeouts
// that awaitPacket started.
func (t *peerTable) markAlive(now time.Time, id member.ID) {
	t.mu.RLock()
	p, ok := t.peers[id]
	t.mu.RUnlock()
	if !ok || now.Sub(p.lastPacketAt) < aliveResolution && !p.unresponsive && p.awaitedSince.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p = t.peers[id]
	p.lastPacketAt = now
	p.unresponsive = false
	p.awaitedSince = time.Time{}
	t.peers[id] = p
}

// overdue returns the awaited members that are to be probed now, and those that
// become unresponsive because unresponsiveAfter has passed. Both are sorted by ID.
func (t *peerTable) overdue(now time.Time) (probe, unresponsive []member.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		switch {
		case p.awaitedSince.IsZero() || now.Sub(p.awaitedSince) < probeInterval:
			continue
		case now.Sub(p.awaitedSince) >= unresponsiveAfter:
			p.unresponsive = true
			p.awaitedSince = time.Time{}
			unresponsive = append(unresponsive, id)
		case now.Sub(p.probedAt) >= probeInterval:
			p.probedAt = now
			probe = append(probe, id)
		}
		t.peers[id] = p
	}
	slices.Sort(probe)
	slices.Sort(unresponsive)
	return probe, unresponsive
}

// updateSender records from any packet that its sender is alive and, if the sender
// is a member, its address and load. The address is used while no view in use has
// the sender.
func (c *Core) updateSender(now time.Time, from netip.AddrPort, p *tunnel.Packet) {
	switch {
	case p.Kind() == tunnel.HeartbeatAck && p.EntryAddress().IsValid(), p.Kind() == tunnel.Data && p.Hops() == 0:
		c.entries.markAlive(p.EntryAddress(), now.UnixNano())
	default:
		work, capacity := p.Load()
		c.loads.Update(now, p.Sender(), work, capacity)
		c.peers.setAddress(p.Sender(), from)
		c.peers.markAlive(now, p.Sender())
	}
}

// sendProbes sends a heartbeat to each awaited member that is due for a probe, and
// emits an event for each member that has become unresponsive.
func (c *Core) sendProbes(now time.Time, out *Output) {
	probe, unresponsive := c.peers.overdue(now)
	for _, id := range probe {
		p := c.newPacket(tunnel.Heartbeat, id)
		c.send(now, &p, out)
	}
	for _, id := range unresponsive {
		out.addEvent(Event{kind: Unresponsive, member: id})
	}
}

// answerProbe replies to another member's heartbeat.
func (c *Core) answerProbe(now time.Time, p *tunnel.Packet, out *Output) {
	ack := c.newPacket(tunnel.HeartbeatAck, p.Sender())
	c.send(now, &ack, out)
}
