package world

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"hickoryhook.example/pkg/agent"
	"hickoryhook.example/pkg/flow"
)

const (
	// maxUnanswered is the maximum number of consecutive datagrams of a caller that
	// may remain unanswered before the flow counts as broken. A burst counts as one.
	maxUnanswered = 10
	// sendInterval is the time between two datagrams of a caller.
	sendInterval = time.Second
	// openingBurst is the number of datagrams that a caller sends at the same time
	// until one of them has reached an upstream. They may arrive out of order.
	openingBurst = 3
	// keepAliveInterval is the time between two datagrams of a feed's caller.
	keepAliveInterval = 5 * time.Second
	// pushInterval is the time between two datagrams of a feed's upstream.
	pushInterval = time.Second
	// feedStallTimeout is the time without datagrams from the upstream after which a
	// feed counts as broken.
	feedStallTimeout = 15 * time.Second
	// drainGrace is the time after the start of a drain during which flows may still
	// be opened and placed on the draining upstream. It is as long as maxDrainDelay,
	// after which the draining member itself has the view.
	drainGrace = 3 * time.Second

	// tokenBytes is the size of the token at the start of each datagram.
	tokenBytes   = 8
	payloadBytes = 64
	callerPort   = 40000
)

type (
	// Flow is one flow of a caller. In a feed the upstream also sends datagrams that are
	// not replies.
	Flow struct {
		world       *World
		service     *Service
		address     netip.AddrPort
		token       uint64 // number of the flow, which each of its datagrams carries
		open        bool
		feed        bool // the upstream pushes datagrams; the caller sends only keep-alives
		pushing     bool // the upstream has started to push
		openedAt    time.Time
		owner       *Agent
		ownerKilled bool
		broken      bool
		unanswered  int
		lastReplyAt time.Time
	}

	// counts holds the violations and costs recorded by the simulation.
	counts struct {
		flows             int
		placed            int
		delivered         int64
		answered          int64
		extraHops         int64
		broken            int
		lostWithUpstream  int
		misrouted         int
		crossAnswered     int
		newWorkAfterDrain int
		events            [8]int // by agent.EventKind
	}
)

// OpenFlow opens a flow of a new caller that sends a datagram every second.
func (w *World) OpenFlow(s *Service) *Flow {
	return w.openFlow(s, false, netip.AddrPortFrom(w.newHost(), callerPort))
}

// OpenFeed opens a flow of a new caller whose upstream pushes datagrams.
func (w *World) OpenFeed(s *Service) *Flow {
	return w.openFlow(s, true, netip.AddrPortFrom(w.newHost(), callerPort))
}

// Reopen opens a new flow with the same caller address and service as an earlier one.
func (w *World) Reopen(earlier *Flow) *Flow {
	return w.openFlow(earlier.service, earlier.feed, earlier.address)
}

func (w *World) openFlow(s *Service, feed bool, address netip.AddrPort) *Flow {
	w.counts.flows++
	f := &Flow{
		world:       w,
		service:     s,
		address:     address,
		token:       uint64(w.counts.flows),
		open:        true,
		feed:        feed,
		openedAt:    w.Now(),
		lastReplyAt: w.Now(),
	}
	w.flows = append(w.flows, f)
	w.byToken[f.token] = f
	w.After(w.randomDelay(sendInterval), f.sendLoop)
	return f
}

// Close makes the caller stop using the flow. The agents are not notified.
func (f *Flow) Close() { f.open = false }

// Open reports whether the caller still uses the flow.
func (f *Flow) Open() bool { return f.open }

// OwnerCount returns the number of running agents that own the flow.
func (f *Flow) OwnerCount() int {
	d := f.world.hasher.Digest(flow.NewKey(f.service.id, flow.UDP, f.address, f.service.vip))
	n := 0
	for _, a := range f.world.agents {
		if a.alive && a.core.Owns(d) {
			n++
		}
	}
	return n
}

// Broken reports whether the flow was interrupted or changed its upstream although
// its owner was not killed.
func (f *Flow) Broken() bool { return f.broken }

// Owner returns the agent of the first upstream of the flow's service that received a
// datagram of the flow, or nil if there is none yet.
func (f *Flow) Owner() *Agent { return f.owner }

// sendLoop sends datagrams until the flow ends. The caller of a feed sends at
// keepAliveInterval once it has received a reply.
func (f *Flow) sendLoop() {
	if !f.send() {
		return
	}
	interval := sendInterval
	if f.feed && f.lastReplyAt.After(f.openedAt) {
		interval = keepAliveInterval
	}
	f.world.After(interval, f.sendLoop)
}

// send sends a datagram, or openingBurst of them until the flow has an owner. It
// returns false if the flow has ended, and records a failure and ends the flow if
// too many datagrams are unanswered or a feed has stalled.
func (f *Flow) send() bool {
	if !f.open {
		return false
	}
	w := f.world
	f.unanswered++
	stalled := f.feed && w.Now().Sub(f.lastReplyAt) > feedStallTimeout
	if f.unanswered > maxUnanswered || stalled {
		f.recordFailure()
		return false
	}
	burst := 1
	if f.owner == nil {
		burst = openingBurst
	}
	for range burst {
		f.sendDatagram()
	}
	return true
}

// sendDatagram sends one datagram through the fabric to an entry.
func (f *Flow) sendDatagram() {
	w := f.world
	e := w.pickEntry()
	if e == nil || w.random.Float64() < w.config.Loss {
		return
	}
	payload := make([]byte, payloadBytes)
	binary.BigEndian.PutUint64(payload, f.token)
	w.After(w.networkDelay(), func() {
		if e.alive {
			e.handleCallerDatagram(f, payload)
		}
	})
}

// pickEntry returns the entry to which the fabric forwards the next datagram, or nil
// if there is none.
func (w *World) pickEntry() *Entry {
	var choices []*Entry
	for _, e := range w.entries {
		if e.inRotation {
			choices = append(choices, e)
		}
	}
	if len(choices) == 0 {
		return nil
	}
	return choices[w.random.IntN(len(choices))]
}

// recordFailure closes a flow that no longer works for its caller. It counts the flow
// as lost if its owner was killed, otherwise as broken.
func (f *Flow) recordFailure() {
	if f.broken || !f.open {
		return
	}
	f.open = false
	if f.ownerKilled {
		f.world.counts.lostWithUpstream++
		return
	}
	f.broken = true
	if w := f.world; w.config.Trace != nil {
		fmt.Fprintf(w.config.Trace, "%s flow %d broken, unanswered=%d feed=%v\n", w.Now().Format("04:05.000"), f.token, f.unanswered, f.feed)
	}
	f.world.counts.broken++
}

// recordDelivery checks a datagram that has reached an upstream and returns its flow.
// The agent of the first upstream of the right service that receives a datagram of the
// flow becomes its owner.
func (w *World) recordDelivery(a *Agent, payload []byte) *Flow {
	w.counts.delivered++
	f := w.byToken[binary.BigEndian.Uint64(payload[:tokenBytes])]
	w.tracef(f, "delivered at %s", a.Name())
	switch {
	case f.service != a.service:
		w.counts.misrouted++
	case f.owner == nil:
		f.owner = a
		w.counts.placed++
		if a.Draining() && f.openedAt.After(a.drainAt.Add(drainGrace)) {
			w.counts.newWorkAfterDrain++
		}
	case f.owner != a:
		f.recordFailure()
	}
	return f
}

// deliverReply sends an upstream's datagram to a caller and counts it as cross-answered
// if the caller or VIP is not that of the flow in its token, or if that flow has ended and
// an open one uses the same caller address and service.
func (w *World) deliverReply(caller, vip netip.AddrPort, payload []byte) {
	if w.random.Float64() < w.config.Loss {
		return
	}
	token := binary.BigEndian.Uint64(payload[:tokenBytes])
	f := w.byToken[token]
	w.After(w.networkDelay(), func() {
		if f.address != caller || f.service.vip != vip {
			w.counts.crossAnswered++
			return
		}
		if !f.open && w.addressReused(f) {
			w.counts.crossAnswered++
			return
		}
		w.counts.answered++
		f.unanswered = 0
		f.lastReplyAt = w.Now()
	})
}

// addressReused reports whether another open flow has the caller address and service
// of f.
func (w *World) addressReused(f *Flow) bool {
	for _, other := range w.flows {
		if other != f && other.open && other.address == f.address && other.service == f.service {
			return true
		}
	}
	return false
}

// startPushing makes the upstream of a feed send a datagram every pushInterval.
func (f *Flow) startPushing(a *Agent, reply func([]byte)) {
	f.pushing = true
	payload := make([]byte, payloadBytes)
	binary.BigEndian.PutUint64(payload, f.token)
	f.world.Every(pushInterval, pushInterval, func() bool {
		if !f.open || !a.alive {
			return false
		}
		reply(payload)
		return true
	})
}

func (c *counts) countEvents(events []agent.Event) {
	for _, e := range events {
		c.events[e.Kind()]++
	}
}
