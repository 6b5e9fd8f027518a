package fleetdemo

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"hickoryhook.example/pkg/segment"
)

const (
	// drainBound is the time from the acknowledgement of a heartbeat that says that an upstream is
	// draining, after which it must get no openings, the shortest of the platform's sites.
	drainBound = 3 * time.Second
	// maxOddPause bounds the time between two odd heartbeats, maxOddInRow their number in a row
	// and maxOddGap the time between two of a row.
	maxOddPause = 500 * time.Millisecond
	maxOddInRow = 3
	maxOddGap   = 300 * time.Millisecond
	// maxDrainPause bounds the time between two planned restarts, of which each drains for
	// drainBound and up to maxLongerDrain.
	maxDrainPause  = 2 * time.Second
	maxLongerDrain = 3 * time.Second
	// farSequence is how far the numbers of odd heartbeats are ahead of the upstream's.
	farSequence = 1000000
)

// oddKinds are the odd heartbeats, by the words that describe them.
var oddKinds = []struct {
	text   string
	change func(b *oddHeartbeat, random *rand.Rand)
}{
	{"of an unknown start", func(b *oddHeartbeat, random *rand.Rand) {
		b.id = fmt.Sprintf("odd-%d", random.IntN(1000))
		b.fields["seq"] = random.IntN(3)
	}},
	{"of an unknown start with a high number", func(b *oddHeartbeat, random *rand.Rand) {
		b.id = fmt.Sprintf("odd-%d", random.IntN(1000))
		b.fields["seq"] = b.sequence + random.IntN(farSequence)
	}},
	{"of an earlier start", func(b *oddHeartbeat, random *rand.Rand) {
		b.id = fmt.Sprintf("%s-%d", b.name, random.IntN(max(1, b.starts)))
		b.fields["seq"], b.fields["born"] = b.sequence+random.IntN(8), b.born-1000
	}},
	{"of the present start with number 0", func(b *oddHeartbeat, _ *rand.Rand) { b.fields["seq"] = 0 }},
	{"of the present start with a number that was passed", func(b *oddHeartbeat, _ *rand.Rand) {
		b.fields["seq"] = max(0, b.sequence-3)
	}},
	{"of the present start with a far higher number", func(b *oddHeartbeat, _ *rand.Rand) {
		b.fields["seq"] = b.sequence + farSequence
	}},
	{"without a field", func(b *oddHeartbeat, random *rand.Rand) {
		names := []string{"service", "address", "zone", "version", "slots", "state", "cold-remaining-ms", "seq"}
		delete(b.fields, names[random.IntN(len(names))])
	}},
	{"of another address", func(b *oddHeartbeat, _ *rand.Rand) { b.fields["address"] = "127.0.0.1:1" }},
	{"with another type of a field", func(b *oddHeartbeat, random *rand.Rand) {
		names := []string{"address", "zone", "slots", "state", "cold-remaining-ms", "seq"}
		b.fields[names[random.IntN(len(names))]] = []int{7}
	}},
}

type (
	// oddHeartbeat is a heartbeat for the agent of an upstream that this one has not sent.
	oddHeartbeat struct {
		name, id string // of the upstream, of the start
		starts   int
		sequence int // of the upstream's last heartbeat
		born     int64
		fields   map[string]any
	}

	// drains counts the openings that upstreams took later than drainBound after the
	// acknowledgement of their draining. The zero value is ready to use.
	drains struct {
		mu     sync.Mutex
		opened int
	}
)

// oddHeartbeat returns a heartbeat like the upstream's next one, in one of the two states.
func (u *upstream) oddHeartbeat(random *rand.Rand) *oddHeartbeat {
	u.mu.Lock()
	defer u.mu.Unlock()
	b := &oddHeartbeat{name: u.name, id: u.id, starts: u.starts, sequence: u.heartbeats, born: u.born}
	b.fields = map[string]any{
		"service": u.settings.Service, "address": u.settings.UpstreamAddress, "zone": u.settings.FailureDomain, "version": "v1", "slots": slots,
		"state": []string{"ready", "ready", "draining"}[random.IntN(3)], "cold-remaining-ms": 0, "seq": u.heartbeats + 1, "born": u.born,
	}
	if u.site.flaps {
		b.born, b.fields["born"] = 1000, 0
	}
	return b
}

// sendOddUntil sends odd heartbeats to the agents of upstreams, some in a row, and at times a
// deregistration of a start that does not run.
func (k *soak) sendOddUntil(end time.Time, random *rand.Rand) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Int64N(int64(maxOddPause))))
		u := k.upstreams[random.IntN(len(k.upstreams))]
		kind := oddKinds[random.IntN(len(oddKinds))]
		b := u.oddHeartbeat(random)
		kind.change(b, random)
		if b.id != u.currentID() && random.IntN(4) == 0 {
			k.announceFault(fmt.Sprintf("the agent of upstream %s gets a deregistration of %s", u.name, b.id))
			u.callAgent(http.MethodDelete, b.id, "")
			continue
		}
		row, gap := 1+random.IntN(maxOddInRow), time.Duration(random.Int64N(int64(maxOddGap)))
		k.announceFault(fmt.Sprintf("the agent of upstream %s gets %d heartbeats of %s, %s, one every %s", u.name, row, b.id, kind.text, gap))
		for range row {
			body, err := json.Marshal(b.fields)
			if err != nil {
				panic(err) // the fields of the table can be encoded
			}
			u.callAgent(http.MethodPut, b.id, string(body))
			if n, ok := b.fields["seq"].(int); ok && n > 0 {
				b.fields["seq"] = n + 1
			}
			time.Sleep(gap)
		}
	}
}

// drainUntil lets upstreams drain for longer than drainBound, one after the other, and start again.
func (k *soak) drainUntil(end time.Time, random *rand.Rand) {
	below := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	for time.Now().Add(drainBound).Before(end) {
		time.Sleep(below(maxDrainPause))
		u := k.upstreams[random.IntN(len(k.upstreams))]
		drain, down := drainBound+below(maxLongerDrain), below(maxFaultTime)
		k.announceFault(fmt.Sprintf("upstream %s drains for %s and is back after %s", u.name, drain, down))
		u.leave(drain, down, 0)
	}
}

// judgeDraining counts an opening that a draining upstream has taken too late, if its agent and the
// entry of the opening were calm. drainAcked is when the draining was acknowledged, zero if it was not.
func (s *site) judgeDraining(h segment.Header, id string, agent netip.Addr, drainAcked time.Time) {
	copies := s.openings.of(h.Flow)
	if drainAcked.IsZero() || copies == nil {
		return
	}
	o, ok := copies.copy(h.Acknowledged)
	if !ok || o.sent.Sub(drainAcked) <= drainBound || !s.judge.calm(o.sent, agent, o.entry, soakMachine) {
		return
	}
	s.drains.mu.Lock()
	s.drains.opened++
	s.drains.mu.Unlock()
	s.incidents.add(incident{time.Now(), o.name, agent.String(), fmt.Sprintf("upstream %s took the opening of flow %s, sent at %s, %s after its draining was acknowledged",
		id, o.name, o.sent.Format(timeFormat), o.sent.Sub(drainAcked).Round(time.Millisecond))})
}

// openedWhileDraining returns Report.OpenedWhileDraining.
func (s *site) openedWhileDraining() int {
	s.drains.mu.Lock()
	defer s.drains.mu.Unlock()
	return s.drains.opened
}
