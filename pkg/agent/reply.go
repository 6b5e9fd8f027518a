package agent

import (
	"net/netip"
	"time"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/tunnel"
)

// Reply sends a datagram from the upstream to the caller of the flow, through an
// entry. Replies of a flow that this member does not own, or of another epoch than
// the owned flow's, are dropped, and so are those for which no entry is known.
func (c *Core) Reply(now time.Time, d flow.Digest, epoch flow.Epoch, payload []byte, out *Output) {
	s := c.flows.Lock(d)
	defer s.Unlock()
	rec, ok := s.Get(d)
	if !ok || rec.kind != recordOwned || rec.own.epoch != epoch {
		c.drop(DropLateReply)
		return
	}
	own := rec.own
	own.lastSeen = now.UnixNano()
	if own.unanswered {
		own.unanswered = false
		c.outstanding.Add(-1)
	}
	entry, ok := c.replyEntry(now, d, own)
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

// replyEntry returns the entry that sent the flow's latest packet or, if nothing was
// received from it within the entry timeout, another entry that is alive. If
// none is, it returns the flow's entry, and false only if that is unknown.
func (c *Core) replyEntry(now time.Time, d flow.Digest, own *ownedFlow) (netip.AddrPort, bool) {
	since := now.Add(-c.config.entryTimeout)
	if c.entries.aliveSince(own.entry, since) {
		return own.entry, true
	}
	other, ok := c.entries.chooseLive(d, since)
	if ok {
		return other, true
	}
	return own.entry, own.entry.IsValid()
}
