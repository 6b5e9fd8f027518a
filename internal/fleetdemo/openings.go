package fleetdemo

import (
	"net/netip"
	"sync"
	"time"

	"hickoryhook.example/pkg/segment"
)

type (
	// openings records the copies of the openings of a run. The zero value is empty and ready to
	// use.
	openings struct {
		mu     sync.Mutex
		byFlow map[segment.Flow]*openingCopies
	}

	// openingCopies are the copies of one opening in the order in which they were sent.
	openingCopies struct {
		mu   sync.Mutex
		sent []opening
	}
)

// add adds a flow that is about to be opened.
func (o *openings) add(flow segment.Flow) *openingCopies {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byFlow == nil {
		o.byFlow = make(map[segment.Flow]*openingCopies)
	}
	copies := &openingCopies{}
	o.byFlow[flow] = copies
	return copies
}

// of returns the copies of the opening of a flow, nil if it was not added.
func (o *openings) of(flow segment.Flow) *openingCopies {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byFlow[flow]
}

// record records a copy that is about to be sent, and returns its number, 0 for the first one.
func (c *openingCopies) record(o opening) uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, o)
	return uint32(len(c.sent) - 1)
}

// copy returns the copy with a number, and false if it was not sent.
func (c *openingCopies) copy(n uint32) (opening, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n >= uint32(len(c.sent)) {
		return opening{}, false
	}
	return c.sent[n], true
}

// single returns the only copy that was sent, and false if there are several.
func (c *openingCopies) single() (opening, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sent) != 1 {
		return opening{}, false
	}
	return c.sent[0], true
}

// judgeOpening judges the copy of an opening that an upstream of a service has taken.
func (s *site) judgeOpening(h segment.Header, service string, agent netip.Addr) {
	copies := s.openings.of(h.Flow)
	if copies == nil {
		return
	}
	if o, ok := copies.copy(h.Acknowledged); ok {
		s.judge.handled(o, service, agent, time.Now())
	}
}
