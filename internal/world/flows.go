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
	// brokenAfter is how many datagrams in a row a caller of an open flow may
	// send without an answer before the flow counts as broken.
	brokenAfter = 10
	// sendInterval is the pause between the datagrams of a caller.
	sendInterval = time.Second
	// openingBurst is how many datagrams a caller sends at once until the first
	// of them has arrived. They overtake each other.
	openingBurst = 3
	// keepAliveInterval is the pause between the datagrams of a feed's caller.
	keepAliveInterval = 5 * time.Second
	// pushInterval is the pause between the datagrams of a feed's upstream.
	pushInterval = time.Second
	// stalledAfter is how long a feed may bring nothing.
	stalledAfter = 15 * time.Second
	// drainGrace is how long after a drain a new flow may still be placed.
	drainGrace = 3 * time.Second

	tokenBytes   = 8
	payloadBytes = 64
	callerPort   = 40000
)

type (
	// Flow is one flow of a caller.
	Flow struct {
		world      *World
		service    *Service
		address    netip.AddrPort
		token      uint64
		open       bool
		feed       bool // the upstream pushes; the caller mostly listens
		pushing    bool
		openedAt   time.Time
		owner      *Agent
		lost       bool // the owner was killed
		broken     bool
		unanswered int
		heardAt    time.Time
	}

	// counts are the breaches and costs that the world has seen.
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
		events            [8]int
	}
)

// OpenFlow opens a flow of a new caller that sends a datagram each second.
func (w *World) OpenFlow(s *Service) *Flow {
	return w.openFlow(s, false, netip.AddrPortFrom(w.newHost(), callerPort))
}

// OpenFeed opens a flow of a new caller whose upstream pushes datagrams.
func (w *World) OpenFeed(s *Service) *Flow {
	return w.openFlow(s, true, netip.AddrPortFrom(w.newHost(), callerPort))
}

// Reopen opens a new flow with the addresses of an earlier one.
func (w *World) Reopen(earlier *Flow) *Flow {
	return w.openFlow(earlier.service, earlier.feed, earlier.address)
}

func (w *World) openFlow(s *Service, feed bool, address netip.AddrPort) *Flow {
	w.counts.flows++
	f := &Flow{
		world:    w,
		service:  s,
		address:  address,
		token:    uint64(w.counts.flows),
		open:     true,
		feed:     feed,
		openedAt: w.Now(),
		heardAt:  w.Now(),
	}
	w.flows = append(w.flows, f)
	w.byToken[f.token] = f
	w.After(w.skewed(sendInterval), f.run)
	return f
}

// Close ends the flow at the caller.
func (f *Flow) Close() { f.open = false }

// Open reports whether the caller uses the flow.
func (f *Flow) Open() bool { return f.open }

// Owners returns how many running agents own the flow.
func (f *Flow) Owners() int {
	d := f.world.hasher.Digest(flow.NewKey(f.service.id, flow.UDP, f.address, f.service.vip))
	n := 0
	for _, a := range f.world.agents {
		if a.alive && a.core.Owns(d) {
			n++
		}
	}
	return n
}

// Broken reports whether the flow's promise was broken.
func (f *Flow) Broken() bool { return f.broken }

// Owner returns the agent that the flow was first delivered at, or nil.
func (f *Flow) Owner() *Agent { return f.owner }

// run sends datagrams until the flow ends. The caller of a feed sends rarely
// once it has an answer.
func (f *Flow) run() {
	if !f.send() {
		return
	}
	interval := sendInterval
	if f.feed && f.heardAt.After(f.openedAt) {
		interval = keepAliveInterval
	}
	f.world.After(interval, f.run)
}

// send sends one datagram. It reports false if the flow has ended.
func (f *Flow) send() bool {
	if !f.open {
		return false
	}
	w := f.world
	f.unanswered++
	stalled := f.feed && w.Now().Sub(f.heardAt) > stalledAfter
	if f.unanswered > brokenAfter || stalled {
		f.fail()
		return false
	}
	burst := 1
	if f.owner == nil {
		burst = openingBurst
	}
	for range burst {
		f.sendOne()
	}
	return true
}

// sendOne hands a datagram to the fabric.
func (f *Flow) sendOne() {
	w := f.world
	e := w.spray()
	if e == nil || w.random.Float64() < w.config.Loss {
		return
	}
	payload := make([]byte, payloadBytes)
	binary.BigEndian.PutUint64(payload, f.token)
	w.After(w.delay(), func() {
		if e.alive {
			e.fromCaller(f, payload)
		}
	})
}

// spray returns the entry that the fabric hands the next packet to.
func (w *World) spray() *Entry {
	var choices []*Entry
	for _, e := range w.entries {
		if e.inSpray {
			choices = append(choices, e)
		}
	}
	if len(choices) == 0 {
		return nil
	}
	return choices[w.random.IntN(len(choices))]
}

// fail notes that the flow is of no more use to its caller.
func (f *Flow) fail() {
	if f.broken || !f.open {
		return
	}
	f.open = false
	if f.lost {
		f.world.counts.lostWithUpstream++
		return
	}
	f.broken = true
	if w := f.world; w.config.Trace != nil {
		fmt.Fprintf(w.config.Trace, "%s flow %d broken, unanswered=%d feed=%v\n", w.Now().Format("04:05.000"), f.token, f.unanswered, f.feed)
	}
	f.world.counts.broken++
}

// delivered checks what reaches an upstream.
func (w *World) delivered(a *Agent, payload []byte) *Flow {
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
		f.fail()
	}
	return f
}

// answer carries an upstream's datagram from an entry to a caller.
func (w *World) answer(caller, vip netip.AddrPort, payload []byte) {
	if w.random.Float64() < w.config.Loss {
		return
	}
	token := binary.BigEndian.Uint64(payload[:tokenBytes])
	f := w.byToken[token]
	w.After(w.delay(), func() {
		if f.address != caller || f.service.vip != vip {
			w.counts.crossAnswered++
			return
		}
		if !f.open && w.reused(f) {
			w.counts.crossAnswered++
			return
		}
		w.counts.answered++
		f.unanswered = 0
		f.heardAt = w.Now()
	})
}

// reused reports whether a later flow has the addresses of f.
func (w *World) reused(f *Flow) bool {
	for _, other := range w.flows {
		if other != f && other.open && other.address == f.address && other.service == f.service {
			return true
		}
	}
	return false
}

// startPushing makes the upstream send without being asked.
func (f *Flow) startPushing(a *Agent, answer func([]byte)) {
	f.pushing = true
	payload := make([]byte, payloadBytes)
	binary.BigEndian.PutUint64(payload, f.token)
	f.world.Every(pushInterval, pushInterval, func() bool {
		if !f.open || !a.alive {
			return false
		}
		answer(payload)
		return true
	})
}

func (c *counts) note(events []agent.Event) {
	for _, e := range events {
		c.events[e.Kind()]++
	}
}
