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
	maxPeers = 4096

	// heardResolution is how exactly the time of a peer's last packet is kept.
	heardResolution = 100 * time.Millisecond
	// recently is how long after its last packet a member counts as alive.
	recently = 2 * time.Second
	// probeAfter is how long a search waits for a member before it is probed,
	// and the pause between probes.
	probeAfter = 200 * time.Millisecond
	// silentAfter is how long a member may leave probes unanswered before
	// searches pass it over.
	silentAfter = 2 * time.Second
)

type (
	// peerTable keeps what packets tell of members: their addresses, also of
	// those that the current view does not have yet, and which of them do not
	// answer.
	peerTable struct {
		mu    sync.RWMutex
		peers map[member.ID]peer
	}

	peer struct {
		address netip.AddrPort
		silent  bool
		// synced is the fingerprint of the view under which the peer has
		// registered all of its flows; 0 while it has not.
		synced uint64
		// expectedAt is when a packet was sent that the peer may answer; zero
		// once it was heard.
		expectedAt time.Time
		probedAt   time.Time
		heardAt    time.Time
	}
)

func newPeerTable() *peerTable {
	return &peerTable{peers: make(map[member.ID]peer)}
}

func (t *peerTable) learn(id member.ID, address netip.AddrPort) {
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

func (t *peerTable) address(id member.ID) (netip.AddrPort, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p, ok := t.peers[id]
	return p.address, ok && p.address.IsValid()
}

func (t *peerTable) unresponsive(id member.ID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.peers[id].silent
}

// setSynced notes whether the peer has registered its flows under a view.
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

func (t *peerTable) isSynced(id member.ID, view uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.peers[id].synced == view
}

// silentFor returns how long ago the member was last heard.
func (t *peerTable) silentFor(now time.Time, id member.ID) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return now.Sub(t.peers[id].heardAt)
}

// expect notes that a search waits for the member, unless it was heard lately.
func (t *peerTable) expect(now time.Time, id member.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[id]
	if !ok || p.silent || !p.expectedAt.IsZero() || now.Sub(p.heardAt) < recently {
		return
	}
	p.expectedAt = now
	t.peers[id] = p
}

// heard notes that the member is alive.
func (t *peerTable) heard(now time.Time, id member.ID) {
	t.mu.RLock()
	p, ok := t.peers[id]
	t.mu.RUnlock()
	if !ok || now.Sub(p.heardAt) < heardResolution && !p.silent && p.expectedAt.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p = t.peers[id]
	p.heardAt = now
	p.silent = false
	p.expectedAt = time.Time{}
	t.peers[id] = p
}

// overdue returns the members that searches wait for and that are to be probed
// now, and those that have not answered their probes for too long, which
// become unresponsive.
func (t *peerTable) overdue(now time.Time) (probe, silent []member.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		switch {
		case p.expectedAt.IsZero() || now.Sub(p.expectedAt) < probeAfter:
			continue
		case now.Sub(p.expectedAt) >= silentAfter:
			p.silent = true
			p.expectedAt = time.Time{}
			silent = append(silent, id)
		case now.Sub(p.probedAt) >= probeAfter:
			p.probedAt = now
			probe = append(probe, id)
		}
		t.peers[id] = p
	}
	slices.Sort(probe)
	slices.Sort(silent)
	return probe, silent
}

// hear notes what every packet tells: the sender is alive, its address, and its
// load. The address matters while the current view does not have the sender.
func (c *Core) hear(now time.Time, from netip.AddrPort, p *tunnel.Packet) {
	switch {
	case p.Kind() == tunnel.HeartbeatAck && p.EntryAddress().IsValid(), p.Kind() == tunnel.Data && p.Hops() == 0:
		c.entries.heard(p.EntryAddress(), now.UnixNano())
	default:
		work, capacity := p.Load()
		c.board.Report(now, p.Sender(), work, capacity)
		c.peers.learn(p.Sender(), from)
		c.peers.heard(now, p.Sender())
	}
}

// tickProbes sends heartbeats to members that searches wait for.
func (c *Core) tickProbes(now time.Time, out *Output) {
	probe, silent := c.peers.overdue(now)
	for _, id := range probe {
		p := c.newPacket(tunnel.Heartbeat, id)
		c.send(now, &p, out)
	}
	for _, id := range silent {
		out.event(Event{kind: Unresponsive, member: id})
	}
}

func (c *Core) answerProbe(now time.Time, p *tunnel.Packet, out *Output) {
	ack := c.newPacket(tunnel.HeartbeatAck, p.Sender())
	c.send(now, &ack, out)
}
