package agent

import (
	"net/netip"
	"time"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/tunnel"
)

// Reply sends a datagram of the upstream to the caller of the flow, through an
// entry. Answers of a flow that has ended, or of an earlier epoch, are dropped.
func (c *Core) Reply(now time.Time, d flow.Digest, epoch flow.Epoch, payload []byte, out *Output) {
	s := c.flows.Lock(d)
	defer s.Unlock()
	rec, ok := s.Get(d)
	if !ok || rec.kind != recordOwned || rec.own.epoch != epoch {
		c.drop(DropLateReply)
		return
	}
	own := rec.own
	own.seen = now.UnixNano()
	if own.waiting {
		own.waiting = false
		c.outstanding.Add(-1)
	}
	entry, ok := c.entryFor(now, d, own)
	if !ok {
		c.drop(DropNoEntry)
		return
	}
	p := c.newPacket(tunnel.Reply, 0)
	p.SetFlow(own.key, d, epoch)
	p.SetEntryAddress(entry)
	p.SetPayload(payload)
	c.sendTo(now, entry, &p, out)
}

// entryFor returns the entry that last sent a packet of the flow, or, if that
// one is silent, another live one.
func (c *Core) entryFor(now time.Time, d flow.Digest, own *ownedFlow) (netip.AddrPort, bool) {
	since := now.Add(-c.config.entryTimeout)
	if c.entries.heardSince(own.via, since) {
		return own.via, true
	}
	other, ok := c.entries.choose(d, since)
	if ok {
		return other, true
	}
	return own.via, own.via.IsValid()
}
