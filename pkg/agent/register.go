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
	// registerShare is the share of the control rate that registrations may
	// take. The rest is for load reports, heartbeats and answers.
	registerShare    = 0.7
	registerInterval = 200 * time.Millisecond
	registerRetry    = 500 * time.Millisecond
	registerMaxRetry = 8 * time.Second
	registerMaxShift = 4
	// registerGather is how long new flows wait to share a packet.
	registerGather = 400 * time.Millisecond
	// maxQueued bounds the flows that wait for one home in one queue.
	maxQueued = 4096
	// maxBatch is the number of registrations in one packet.
	maxBatch = 32
	// maxBatchesInFlight bounds the unanswered batches.
	maxBatchesInFlight = 64
)

type (
	// registrar sends registrations in paced batches until they are answered.
	// It keeps one queue for each home, so that a batch fills a packet.
	registrar struct {
		mu sync.Mutex
		// urgent holds flows that were just opened, bulk those whose homes
		// have changed, closed those that have ended.
		urgent   registerQueue
		bulk     registerQueue
		closed   registerQueue
		rescans  map[member.ID]*rescan
		inFlight []*batch
		number   uint64
		flushAt  time.Time
	}

	batch struct {
		number   uint64
		target   member.ID
		items    []*tunnelpb.Registration
		attempts int
		retryAt  time.Time
	}
)

// queueRegistration registers a new flow with its homes as soon as the control
// rate allows. The member that placed the flow here knows of it already.
func (c *Core) queueRegistration(now time.Time, d flow.Digest, placedBy member.ID) {
	c.queueFor(queued{digest: d, at: now}, c.register.urgent, placedBy)
}

// queueRefresh registers a flow anew.
func (c *Core) queueRefresh(now time.Time, d flow.Digest) {
	c.queueFor(queued{digest: d, at: now}, c.register.bulk, 0)
}

// queueClosed tells the homes that the flow has ended, if there is room: they
// would forget it by themselves.
func (c *Core) queueClosed(now time.Time, d flow.Digest, epoch flow.Epoch) {
	c.queueFor(queued{digest: d, at: now, epoch: epoch, closed: true}, c.register.closed, 0)
}

// queueFor queues the item for the homes of its flow, but for one that knows.
func (c *Core) queueFor(item queued, queue registerQueue, knows member.ID) {
	var homes [member.HomesPerFlow]member.ID
	n := c.registerTargets(c.state.Load().history.Current(), item.digest, homes[:])
	c.register.mu.Lock()
	defer c.register.mu.Unlock()
	for _, id := range homes[:n] {
		if id != knows {
			c.register.add(queue, id, item)
		}
	}
}

// registerTargets writes the members that must know of a flow owned here: the
// tracked homes ahead of this member in the order of the view.
func (c *Core) registerTargets(view *member.View, d flow.Digest, dst []member.ID) int {
	n := view.Top(d, dst[:member.HomesPerFlow])
	if self := slices.Index(dst[:n], c.id); self >= 0 {
		return self
	}
	return n
}

// requeueChanged registers each owned flow with the homes that it has in one
// view and had not in the other.
func (c *Core) requeueChanged(now time.Time, before, after *member.View) {
	c.flows.EachShard(func(s *shard) {
		s.Each(func(d flow.Digest, rec record) bool {
			if rec.kind == recordOwned {
				c.requeue(now, before, after, d)
			}
			return true
		})
	})
}

func (c *Core) requeue(now time.Time, before, after *member.View, d flow.Digest) {
	var a, b [member.HomesPerFlow]member.ID
	n := c.registerTargets(before, d, a[:])
	m := c.registerTargets(after, d, b[:])
	c.register.mu.Lock()
	defer c.register.mu.Unlock()
	for _, id := range b[:m] {
		if !slices.Contains(a[:n], id) || incarnation(before, id) != incarnation(after, id) {
			c.register.add(c.register.bulk, id, queued{digest: d, at: now})
		}
	}
}

func incarnation(v *member.View, id member.ID) uint64 {
	m := v.Find(id)
	if m == nil {
		return 0
	}
	return m.Incarnation()
}

// tickRegistrations sends due batches, as far as the control rate allows.
func (c *Core) tickRegistrations(now time.Time, out *Output) {
	r := &c.register
	r.mu.Lock()
	due := !now.Before(r.flushAt)
	if due {
		r.flushAt = now.Add(registerInterval)
	}
	r.mu.Unlock()
	if !due {
		return
	}
	c.retryBatches(now, out)
	c.tickRescans(now)
	c.flushRegistrations(now, out)
}

// flushRegistrations sends batches, new flows first, while the rate allows.
func (c *Core) flushRegistrations(now time.Time, out *Output) {
	for c.pace.available(now) > 0 {
		target, items, ok := c.takeQueue(now, c.pace.isFull(now))
		if !ok {
			return
		}
		var registrations []*tunnelpb.Registration
		for _, item := range items {
			if r, ok := c.registration(now, target, item); ok {
				registrations = append(registrations, r)
			}
		}
		if len(registrations) > 0 {
			c.startBatch(now, target, registrations, out)
		}
	}
}

// takeQueue takes up to a packet of what waits for one home.
func (c *Core) takeQueue(now time.Time, spare bool) (member.ID, []queued, bool) {
	r := &c.register
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.inFlight) >= maxBatchesInFlight {
		return 0, nil, false
	}
	target, ok := r.nextTarget(now, spare)
	if !ok {
		return 0, nil, false
	}
	items := r.urgent.take(target, maxBatch)
	items = append(items, r.bulk.take(target, maxBatch-len(items))...)
	items = append(items, r.closed.take(target, maxBatch-len(items))...)
	return target, items, true
}

// nextTarget returns the home to tell next: of the new flows the one that has
// waited longest, then the one with most to be told.
func (r *registrar) nextTarget(now time.Time, spare bool) (member.ID, bool) {
	if target, ok := r.urgent.oldest(now.Add(-registerGather)); ok {
		return target, true
	}
	if target, ok := r.bulk.longest(); ok {
		return target, true
	}
	if !spare {
		return 0, false
	}
	return r.closed.longest()
}

// registration returns what to tell the target of a queued flow. It reports
// false if there is nothing to tell any more.
func (c *Core) registration(now time.Time, target member.ID, item queued) (*tunnelpb.Registration, bool) {
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
	rec.own.registered = now.UnixNano()
	return &tunnelpb.Registration{Digest: d[:], Epoch: uint64(rec.own.epoch)}, true
}

func (c *Core) startBatch(now time.Time, target member.ID, items []*tunnelpb.Registration, out *Output) {
	r := &c.register
	r.mu.Lock()
	r.number++
	b := &batch{number: r.number, target: target, items: items}
	r.inFlight = append(r.inFlight, b)
	r.mu.Unlock()
	c.sendBatch(now, b, out)
}

func (c *Core) sendBatch(now time.Time, b *batch, out *Output) {
	b.retryAt = now.Add(min(registerRetry<<min(b.attempts, registerMaxShift), registerMaxRetry))
	b.attempts++
	body, err := proto.Marshal(&tunnelpb.RegisterBatch{Number: b.number, Registrations: b.items})
	if err != nil {
		c.drop(DropMalformed)
		return
	}
	p := c.newPacket(tunnel.Register, b.target)
	p.SetPayload(body)
	c.pace.spend(p.WireSize())
	c.send(now, &p, out)
}

// isSynced reports whether the peer knows of every flow that is owned here and
// that it is a home of.
func (c *Core) isSynced(peer member.ID) bool {
	r := &c.register
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.urgent[peer])+len(r.bulk[peer]) > 0 || r.rescans[peer] != nil {
		return false
	}
	return !slices.ContainsFunc(r.inFlight, func(b *batch) bool { return b.target == peer })
}

// retryBatches repeats unanswered batches until they are answered or their
// target leaves.
func (c *Core) retryBatches(now time.Time, out *Output) {
	for _, b := range c.dueBatches(now) {
		if c.pace.available(now) <= 0 {
			return
		}
		c.sendBatch(now, b, out)
	}
}

func (c *Core) dueBatches(now time.Time) []*batch {
	r := &c.register
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

// handleRegister notes the owners of flows that this member is a home of.
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
		if !c.noteOwner(now, p.Sender(), item, out) {
			return // no answer: the owner tries again
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

// noteOwner reports false if the table is full.
func (c *Core) noteOwner(now time.Time, owner member.ID, item *tunnelpb.Registration, out *Output) bool {
	d := flow.Digest(item.GetDigest())
	epoch := flow.Epoch(item.GetEpoch())
	next := record{kind: recordRegistered, owner: owner, epoch: epoch, seen: now.UnixNano()}
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
		out.event(Event{kind: Conflict, digest: d, key: rec.own.key, member: owner})
		return true
	case ok && rec.epoch > epoch:
		return true
	}
	return s.Put(d, next)
}

func (c *Core) handleRegisterAck(p *tunnel.Packet) {
	var body tunnelpb.RegisterAnswer
	if err := proto.Unmarshal(p.Payload(), &body); err != nil {
		c.drop(DropMalformed)
		return
	}
	r := &c.register
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight = slices.DeleteFunc(r.inFlight, func(b *batch) bool {
		return b.number == body.GetNumber() && b.target == p.Sender()
	})
}
