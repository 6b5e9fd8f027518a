package agent

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
	"hickoryhook.example/pkg/tunnel/tunnelpb"
)

const (
	// registerShare is the share of the control rate for registrations. The rest
	// is for load reports, heartbeats and acknowledgments; the last two are not
	// limited to it.
	registerShare = 0.7
	// registerInterval is the interval at which registrations are sent. Retries
	// back off from minRetryInterval, doubled up to maxRetryShift times, to
	// maxRetryInterval.
	registerInterval = 200 * time.Millisecond
	minRetryInterval = 500 * time.Millisecond
	maxRetryInterval = 8 * time.Second
	maxRetryShift    = 4
	// registerDelay is how long a new flow waits for others to share its packet.
	registerDelay = 400 * time.Millisecond
	// maxQueued is the maximum number of flows queued for one home in one queue.
	maxQueued = 4096
	// maxBatch is the maximum number of registrations in one packet.
	maxBatch = 32
	// maxBatchesInFlight is the maximum number of unacknowledged batches.
	maxBatchesInFlight = 64
)

type (
	// registrar holds the registrations to send. They are sent in rate-limited
	// batches, which are repeated until acknowledged or until the home has left.
	// Queues are kept per home, so that a batch fills a packet.
	registrar struct {
		mu sync.Mutex
		// opened holds new flows; existing holds flows whose homes have changed or
		// whose registration is to be refreshed; closed holds closed flows.
		opened     registerQueue
		existing   registerQueue
		closed     registerQueue
		rescans    map[member.ID]*rescan
		inFlight   []*batch
		lastNumber uint64 // number of the latest batch
		nextSend   time.Time
	}

	// batch is a set of registrations sent to one home in one packet.
	batch struct {
		number   uint64
		target   member.ID
		items    []*tunnelpb.Registration
		attempts int
		retryAt  time.Time
	}
)

// queueRegistration queues a new flow for registration with its homes, ahead of
// existing flows. The member that sent the flow here to be opened, placedBy, has
// a record of it already and is left out; 0 if there is none.
func (c *Core) queueRegistration(now time.Time, d flow.Digest, placedBy member.ID) {
	c.queueForHomes(queuedFlow{digest: d, queuedAt: now}, c.registrar.opened, placedBy)
}

// queueRefresh queues a flow to be registered again with its homes.
func (c *Core) queueRefresh(now time.Time, d flow.Digest) {
	c.queueForHomes(queuedFlow{digest: d, queuedAt: now}, c.registrar.existing, 0)
}

// queueClosed queues a notice to the homes that the flow is closed. The notice is
// left out when the queue is full, as the homes' records expire.
func (c *Core) queueClosed(now time.Time, d flow.Digest, epoch flow.Epoch) {
	c.queueForHomes(queuedFlow{digest: d, queuedAt: now, epoch: epoch, closed: true}, c.registrar.closed, 0)
}

// queueForHomes queues the item for each home that its flow must be registered
// with, other than the member given by except (0 for none).
func (c *Core) queueForHomes(item queuedFlow, queue registerQueue, except member.ID) {
	var homes [member.HomesPerFlow]member.ID
	n := c.registerTargets(c.state.Load().history.Current(), item.digest, homes[:])
	c.registrar.mu.Lock()
	defer c.registrar.mu.Unlock()
	for _, id := range homes[:n] {
		if id != except {
			c.registrar.add(queue, id, item)
		}
	}
}

// registerTargets writes to dst the members that a flow owned here is registered
// with, and returns their number: of the first member.HomesPerFlow members in
// the flow's order under the view, those ahead of this member.
func (c *Core) registerTargets(view *member.View, d flow.Digest, dst []member.ID) int {
	n := view.Top(d, dst[:member.HomesPerFlow])
	if self := slices.Index(dst[:n], c.id); self >= 0 {
		return self
	}
	return n
}

// queueAllNewHomes queues each owned flow for registration with the homes that it
// has under the view after and not under the view before, or that have restarted.
func (c *Core) queueAllNewHomes(now time.Time, before, after *member.View) {
	c.flows.EachShard(func(s *shard) {
		s.Each(func(d flow.Digest, rec record) bool {
			if rec.kind == recordOwned {
				c.queueNewHomes(now, before, after, d)
			}
			return true
		})
	})
}

// queueNewHomes queues one flow for the homes that it has only under the view after
// the change, or that have restarted (their incarnation differs).
func (c *Core) queueNewHomes(now time.Time, before, after *member.View, d flow.Digest) {
	var a, b [member.HomesPerFlow]member.ID
	n := c.registerTargets(before, d, a[:])
	m := c.registerTargets(after, d, b[:])
	c.registrar.mu.Lock()
	defer c.registrar.mu.Unlock()
	for _, id := range b[:m] {
		if !slices.Contains(a[:n], id) || incarnation(before, id) != incarnation(after, id) {
			c.registrar.add(c.registrar.existing, id, queuedFlow{digest: d, queuedAt: now})
		}
	}
}

// incarnation returns the incarnation of a member in a view, 0 if it is absent.
func incarnation(v *member.View, id member.ID) uint64 {
	m := v.Find(id)
	if m == nil {
		return 0
	}
	return m.Incarnation()
}

// sendRegistrations sends due batches every registerInterval, as far as the control
// rate allows: retries first, then new batches.
func (c *Core) sendRegistrations(now time.Time, out *Output) {
	r := &c.registrar
	r.mu.Lock()
	due := !now.Before(r.nextSend)
	if due {
		r.nextSend = now.Add(registerInterval)
	}
	r.mu.Unlock()
	if !due {
		return
	}
	c.retryBatches(now, out)
	c.runRescans(now)
	c.sendNewBatches(now, out)
}

// sendNewBatches sends batches of queued flows, new flows first, while the control
// rate allows.
func (c *Core) sendNewBatches(now time.Time, out *Output) {
	for c.limiter.available(now) > 0 {
		target, items, ok := c.takeQueued(now, c.limiter.hasSpareRate(now))
		if !ok {
			return
		}
		var registrations []*tunnelpb.Registration
		for _, item := range items {
			if r, ok := c.newRegistration(now, target, item); ok {
				registrations = append(registrations, r)
			}
		}
		if len(registrations) > 0 {
			c.startBatch(now, target, registrations, out)
		}
	}
}

// takeQueued selects a home and removes up to maxBatch flows from its queues. It
// returns false if nothing is to be sent or too many batches are in flight. With
// includeClosed, a home for which only closed flows are queued may be selected.
func (c *Core) takeQueued(now time.Time, includeClosed bool) (member.ID, []queuedFlow, bool) {
	r := &c.registrar
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.inFlight) >= maxBatchesInFlight {
		return 0, nil, false
	}
	target, ok := r.nextTarget(now, includeClosed)
	if !ok {
		return 0, nil, false
	}
	items := r.opened.take(target, maxBatch)
	items = append(items, r.existing.take(target, maxBatch-len(items))...)
	items = append(items, r.closed.take(target, maxBatch-len(items))...)
	return target, items, true
}

// nextTarget returns the home that the next batch is for: the one whose oldest new
// flow has waited longest, and at least registerDelay; otherwise the one with
// the most existing flows or, with includeClosed, the most closed flows. r.mu must be
// held.
func (r *registrar) nextTarget(now time.Time, includeClosed bool) (member.ID, bool) {
	if target, ok := r.opened.oldestQueue(now.Add(-registerDelay)); ok {
		return target, true
	}
	if target, ok := r.existing.longestQueue(); ok {
		return target, true
	}
	if !includeClosed {
		return 0, false
	}
	return r.closed.longestQueue()
}

// newRegistration returns the registration to send to the target for a queued flow.
// It returns false if an open flow is no longer owned here or the target is no
// longer one of its homes.
func (c *Core) newRegistration(now time.Time, target member.ID, item queuedFlow) (*tunnelpb.Registration, bool) {
	d := item.digest
	if item.closed {
		return &tunnelpb.Registration{Digest: d[:], Epoch: uint64(item.epoch), Closed: true}, true
	}
	var homes [member.HomesPerFlow]member.ID
	n := c.registerTargets(c.state.Load().history.Current(), d, homes[:])
	if !slices.Contains(homes[:n], target) {
		return nil, false
	}
	s := c.flows.Lock(d)
	defer s.Unlock()
	rec, ok := s.Get(d)
	if !ok || rec.kind != recordOwned {
		return nil, false
	}
	rec.own.registeredAt = now.UnixNano()
	return &tunnelpb.Registration{Digest: d[:], Epoch: uint64(rec.own.epoch)}, true
}

// startBatch sends the registrations as a new batch, and keeps it for retries.
func (c *Core) startBatch(now time.Time, target member.ID, items []*tunnelpb.Registration, out *Output) {
	r := &c.registrar
	r.mu.Lock()
	r.lastNumber++
	b := &batch{number: r.lastNumber, target: target, items: items}
	r.inFlight = append(r.inFlight, b)
	r.mu.Unlock()
	c.sendBatch(now, b, out)
}

// sendBatch sends a batch and schedules its retry with exponential backoff.
func (c *Core) sendBatch(now time.Time, b *batch, out *Output) {
	b.retryAt = now.Add(min(minRetryInterval<<min(b.attempts, maxRetryShift), maxRetryInterval))
	b.attempts++
	body, err := proto.Marshal(&tunnelpb.RegisterBatch{Number: b.number, Registrations: b.items})
	if err != nil {
		c.drop(DropMalformed)
		return
	}
	p := c.newPacket(tunnel.Register, b.target)
	p.SetPayload(body)
	c.limiter.spend(p.WireSize())
	c.send(now, &p, out)
}

// hasRegisteredAll reports whether the peer has acknowledged the registration of
// every flow that is owned here and must be registered with it (see registerTargets):
// no such flow is queued or left to a rescan, and no batch to the peer is in flight.
// A flow that the peer sent here to be opened counts as registered.
func (c *Core) hasRegisteredAll(peer member.ID) bool {
	r := &c.registrar
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.opened[peer])+len(r.existing[peer]) > 0 || r.rescans[peer] != nil {
		return false
	}
	return !slices.ContainsFunc(r.inFlight, func(b *batch) bool { return b.target == peer })
}

// retryBatches sends the batches that are due for a retry again, while the control
// rate allows.
func (c *Core) retryBatches(now time.Time, out *Output) {
	for _, b := range c.dueBatches(now) {
		if c.limiter.available(now) <= 0 {
			return
		}
		c.sendBatch(now, b, out)
	}
}

// dueBatches returns the unacknowledged batches that are due for a retry. It
// discards batches to members that have left.
func (c *Core) dueBatches(now time.Time) []*batch {
	r := &c.registrar
	st := c.state.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight = slices.DeleteFunc(r.inFlight, func(b *batch) bool {
		return st.hasDeparted(b.target)
	})
	var due []*batch
	for _, b := range r.inFlight {
		if !now.Before(b.retryAt) {
			due = append(due, b)
		}
	}
	return due
}

// handleRegister stores the registrations in a packet from an owner and
// acknowledges them. If a registration is malformed or the table is full, it stops
// and sends no acknowledgment.
func (c *Core) handleRegister(now time.Time, p *tunnel.Packet, out *Output) {
	var body tunnelpb.RegisterBatch
	if err := proto.Unmarshal(p.Payload(), &body); err != nil {
		c.drop(DropMalformed)
		return
	}
	for _, item := range body.GetRegistrations() {
		if len(item.GetDigest()) != len(flow.Digest{}) {
			c.drop(DropMalformed)
			return
		}
		if !c.storeRegistration(now, p.Sender(), item, out) {
			return // no acknowledgment: the owner retries
		}
	}
	answer, err := proto.Marshal(&tunnelpb.RegisterAnswer{Number: body.GetNumber()})
	if err != nil {
		c.drop(DropMalformed)
		return
	}
	ack := c.newPacket(tunnel.RegisterAck, p.Sender())
	ack.SetPayload(answer)
	c.send(now, &ack, out)
}

// storeRegistration stores the owner of a flow or, if the owner has closed the flow,
// deletes the record that names this owner with the same or an older epoch. A
// registration with an older epoch than the record's is ignored. One of an open flow
// that is also owned here is counted as a conflict. It returns false if the table is
// full.
func (c *Core) storeRegistration(now time.Time, owner member.ID, item *tunnelpb.Registration, out *Output) bool {
	d := flow.Digest(item.GetDigest())
	epoch := flow.Epoch(item.GetEpoch())
	next := record{kind: recordRegistered, owner: owner, epoch: epoch, lastSeen: now.UnixNano()}
	s := c.flows.Lock(d)
	defer s.Unlock()
	rec, ok := s.Get(d)
	switch {
	case item.GetClosed():
		if ok && rec.kind != recordOwned && rec.owner == owner && rec.epoch <= epoch {
			s.Delete(d)
		}
		return true
	case ok && rec.kind == recordOwned:
		c.stats.conflicts.Add(1)
		out.addEvent(Event{kind: Conflict, digest: d, key: rec.own.key, member: owner})
		return true
	case ok && rec.epoch > epoch:
		return true
	}
	return s.Put(d, next)
}

// handleRegisterAck removes the acknowledged batch from those in flight.
func (c *Core) handleRegisterAck(p *tunnel.Packet) {
	var body tunnelpb.RegisterAnswer
	if err := proto.Unmarshal(p.Payload(), &body); err != nil {
		c.drop(DropMalformed)
		return
	}
	r := &c.registrar
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight = slices.DeleteFunc(r.inFlight, func(b *batch) bool {
		return b.number == body.GetNumber() && b.target == p.Sender()
	})
}
