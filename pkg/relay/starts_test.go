package relay_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
	"hickoryhook.example/pkg/segment"
)

const (
	// startsInterval is the interval between the living upstream's heartbeats.
	startsInterval = time.Second
	// startsSettle is the time from the last odd message after which the relay must know the living
	// upstream: two of its heartbeats, and the silence of another start.
	startsSettle = 3 * startsInterval
	// longSilence is a silence after which one heartbeat of another start is enough.
	longSilence = 3 * time.Second
	livingID    = "u-2"
	livingBorn  = 2000
	livingSlots = 3
	// firstSequence is the number of its first heartbeat: odd messages have lower and higher ones.
	firstSequence = 20
)

// living is an upstream that reports to a relay, while odd messages arrive.
type living struct {
	*harness
	withBorn       bool
	draining, cold bool
	sequence       uint64
	next           time.Duration // when its next heartbeat is due
	refused        bool          // its address refuses connections
	known          bool          // the relay has had a heartbeat of it
	settled        bool          // the relay was certain of it when the messages came
}

// rows returns the lines of a table in testdata/starts: names and what stands after them.
func rows(t *testing.T, name string) [][2]string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "starts", name))
	if err != nil {
		t.Fatal(err)
	}
	var out [][2]string
	for line := range strings.Lines(string(text)) {
		if name, rest, found := strings.Cut(line, "|"); found && line[0] != '#' {
			out = append(out, [2]string{strings.TrimSpace(name), strings.TrimSpace(rest)})
		}
	}
	return out
}

// report sends the upstream's next heartbeat.
func (l *living) report() {
	l.sequence++
	u := relay.Upstream{ID: livingID, Sequence: l.sequence, Slots: livingSlots, Draining: l.draining}
	if l.withBorn {
		u.Born = livingBorn
	}
	if l.cold {
		u.ColdFor = time.Minute
	}
	l.relay.HandleHeartbeat(l.now, u)
	l.known, l.next = true, l.now+startsInterval
}

// pass lets time pass, in which the upstream reports. check is called after each step.
func (l *living) pass(d time.Duration, check func()) {
	for end := l.now + d; l.now < end; check() {
		l.advance(min(tickInterval, end-l.now))
		if l.now >= l.next {
			l.report()
		}
	}
}

// prepare brings the upstream to a moment of moments.txt. It holds flows, of which two are open.
func (l *living) prepare(t *testing.T, moment string) {
	t.Helper()
	words := strings.Fields(moment)
	l.draining, l.cold = slices.Contains(words, "draining"), slices.Contains(words, "cold")
	l.start()
	l.advance(time.Second)
	if slices.Contains(words, "earlier") {
		l.relay.HandleHeartbeat(l.now, relay.Upstream{ID: "u-1", Born: l.born(1000), Sequence: 7, Slots: 2})
		l.advance(4 * time.Second)
	}
	reports := number(words, 1)
	l.next = l.now + startsInterval
	for range reports {
		l.report()
		l.pass(startsInterval-tickInterval, func() {})
	}
	for n := 1; n <= 2 && reports > 0; n++ {
		if err := l.fromUpstream(encode(caller(n), true, segment.Open|segment.Ack, uint32(1000*n), 2, 0)); err != nil {
			t.Fatal(err)
		}
		l.established(t, n)
	}
	switch {
	case slices.Contains(words, "agent-restarted"):
		l.start()
		l.known = false
		l.advance(tickInterval)
	case slices.Contains(words, "paused"):
		l.now += 2 * longSilence
	}
	l.settled = reports > 3 && l.known
	l.take()
}

// established sends a packet of caller n that belongs to its open flow.
func (l *living) established(t *testing.T, n int) {
	t.Helper()
	is.New(t).NoErr(l.relay.HandleFrame(l.now, l.frame(peer.Deliver, nil, l.packet(n, segment.Ack, 2, uint32(1000*n+1), 50))))
}

// born returns a time of start, 0 in a run without such times.
func (l *living) born(n int64) int64 {
	if !l.withBorn {
		return 0
	}
	return n
}

// send lets a message of claims.txt arrive.
func (l *living) send(t *testing.T, message string, check func()) {
	t.Helper()
	words := strings.Fields(message)
	value := func(name string, missing int) int {
		if i := slices.Index(words, name); i > 0 {
			return number(words, i+1)
		}
		return missing
	}
	switch words[0] {
	case "wait":
		l.pass(time.Duration(number(words, 1))*time.Millisecond, check)
	case "deregister":
		l.relay.HandleDeregistration(l.now, words[1])
	case "heartbeat":
		var sequence uint64
		if _, err := fmt.Sscan(strings.TrimPrefix(words[2], "+"), &sequence); err != nil {
			t.Fatal(message, err)
		}
		if words[2][0] == '+' {
			sequence += l.sequence
		}
		l.relay.HandleHeartbeat(l.now, relay.Upstream{
			ID: words[1], Sequence: sequence, Slots: value("slots", 2), Draining: slices.Contains(words, "draining"),
			Born: l.born(int64(value("born", livingBorn))), Age: time.Duration(value("age", 0)) * time.Millisecond,
			ColdFor: time.Duration(value("cold", 0)) * time.Millisecond, Refused: l.refused,
		})
	default:
		t.Fatal("unknown message ", message)
	}
	check()
}

// check fails the test if the relay contradicts what the living upstream has said, or has reset one
// of its flows.
func (l *living) check(t *testing.T) {
	t.Helper()
	if out := l.take(); strings.Contains(out, "reset") {
		t.Fatalf("a flow was reset: %s", out)
	}
	s := l.relay.Status(l.now)
	if l.known && l.draining && s.Taking {
		t.Fatalf("openings while the upstream drains: %+v", s)
	}
	if l.known && l.cold && s.Cold() < 50*time.Second {
		t.Fatalf("cold for %v, the upstream said more: %+v", s.Cold(), s)
	}
	if l.settled && (s.Upstream != livingID || s.Born != l.born(livingBorn) || s.Slots != livingSlots || s.Taking == l.draining || s.Unconfirmed) {
		t.Fatalf("not the living upstream's state: %+v", s)
	}
}

// TestOddHeartbeatsChangeNothing guards against openings at a draining or cold upstream, and resets of
// flows that it holds, by heartbeats of ended starts and of other writers: the living upstream's state
// is what it last said, and nothing is reset that it holds.
func TestOddHeartbeatsChangeNothing(t *testing.T) {
	for _, moment := range rows(t, "moments.txt") {
		for _, claim := range rows(t, "claims.txt") {
			for _, withBorn := range []bool{false, true} {
				if !withBorn && strings.Contains(claim[0], "only born") {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/born %t", moment[0], claim[0], withBorn), func(t *testing.T) {
					l := &living{harness: &harness{}, withBorn: withBorn, sequence: firstSequence - 1}
					l.prepare(t, moment[1])
					check := func() { l.check(t) }
					check()
					for message := range strings.SplitSeq(claim[1], ";") {
						l.send(t, message, check)
					}
					l.pass(startsSettle, check)
					l.settled = true
					l.pass(3*startsInterval, check)
					is.New(t).Equal(l.relay.Status(l.now).Candidate, uint32(0))
				})
			}
		}
	}
}

// TestLateHeartbeatAfterEndIsNotUsed guards against openings that are lost as no process listens: a
// late heartbeat comes after the upstream has left or crashed, and its address refuses connections.
func TestLateHeartbeatAfterEndIsNotUsed(t *testing.T) {
	for _, deregistered := range []bool{false, true} {
		for _, claim := range append(rows(t, "claims.txt"), [2]string{"its own last heartbeat", "heartbeat u-2 +1"}) {
			if strings.Contains(claim[1], "wait") { // a start that goes on reporting is used
				continue
			}
			t.Run(fmt.Sprintf("deregistered %t/%s", deregistered, claim[0]), func(t *testing.T) {
				is := is.New(t)
				l := &living{harness: &harness{}, sequence: firstSequence - 1}
				l.prepare(t, "reports 5")
				if deregistered {
					l.relay.HandleDeregistration(l.now, livingID)
					l.advance(2 * tickInterval)
				}
				l.relay.MarkEnded(l.now, l.now)
				l.refused = true
				for message := range strings.SplitSeq(claim[1], ";") {
					l.send(t, message, func() { is.True(!l.relay.Status(l.now).Taking) })
				}
				for range 50 {
					l.advance(tickInterval)
					is.True(!l.relay.Status(l.now).Taking)
				}
			})
		}
	}
}

// TestNextStartIsUsed guards against a true restart that takes effect too late. The upstream crashes,
// and its next start reports after a time: its flows are asked for at once, and its state counts
// within two of its heartbeats, also if one of the ended start comes late.
func TestNextStartIsUsed(t *testing.T) {
	for down := tickInterval; down <= 4*startsInterval; down += tickInterval {
		for _, withBorn := range []bool{false, true} {
			for _, late := range []bool{false, true} {
				t.Run(fmt.Sprintf("down %v/born %t/late heartbeat %t", down, withBorn, late), func(t *testing.T) {
					is := is.New(t)
					l := &living{harness: &harness{}, withBorn: withBorn, sequence: firstSequence - 1}
					l.prepare(t, "reports 5")
					l.advance(down)
					first := l.now
					for n := uint64(1); ; n++ {
						l.relay.HandleHeartbeat(l.now, relay.Upstream{ID: "u-3", Born: l.born(3000), Sequence: n, Slots: 4, Draining: true})
						if n == 1 {
							is.Equal(strings.Count(l.take(), "question"), 2)
						}
						s := l.relay.Status(l.now)
						if s.Upstream == "u-3" && s.Slots == 4 && !s.Taking {
							break
						}
						is.Equal(s.Candidate, peer.StartID("u-3", l.born(3000)))
						l.advance(startsInterval / 2)
						if n == 1 && late {
							l.sequence++
							l.relay.HandleHeartbeat(l.now, relay.Upstream{ID: livingID, Born: l.born(livingBorn), Sequence: l.sequence, Slots: 2})
						}
						l.advance(startsInterval / 2)
					}
					is.True(l.now-first <= 2*startsInterval)
					if out := l.take(); strings.Contains(out, "reset") {
						t.Fatal(out) // the upstream has not returned the questions yet
					}
					is.NoErr(l.run([]string{"bounce-questions"}))
					is.Equal(strings.Count(l.take(), "reset"), 2)
				})
			}
		}
	}
}

// TestReturnedPacketsShowNextStart guards against a true restart that takes effect only when the ended
// start has been silent for a time, although the upstream has returned the packets of all its flows.
// One that it still holds shows that the present start runs, and flows that were opened after its last
// heartbeat show nothing: another one may have ended with them since.
func TestReturnedPacketsShowNextStart(t *testing.T) {
	for _, c := range []struct {
		reported bool // after the flows were opened
		returned int
		want     bool
	}{{true, 2, true}, {true, 1, false}, {false, 2, false}} {
		is := is.New(t)
		l := &living{harness: &harness{}, withBorn: true, sequence: firstSequence - 1}
		l.prepare(t, "reports 5")
		if c.reported {
			l.report()
		}
		l.take()
		l.advance(tickInterval)
		l.relay.HandleHeartbeat(l.now, relay.Upstream{ID: "u-3", Born: 3000, Sequence: 1, Slots: 4})
		is.Equal(l.relay.Status(l.now).Upstream, livingID)
		l.asked = l.asked[:c.returned]
		is.NoErr(l.run([]string{"bounce-questions"}))
		is.Equal(l.relay.Status(l.now).Upstream == "u-3", c.want)
	}
}

// TestUncertainStartIsNoEvidence guards against resets of restored flows that are held: an agent that has
// just started hears heartbeats of an ended start first, after a flow was opened. They must not show that
// the flow was open at that start: entries would save it as one of it.
func TestUncertainStartIsNoEvidence(t *testing.T) {
	is := is.New(t)
	l := &living{harness: &harness{}, sequence: firstSequence - 1}
	l.start()
	l.advance(tickInterval)
	l.next = l.now + startsInterval
	is.NoErr(l.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 1000, 2, 0)))
	l.established(t, 1)
	for n := 2; n <= 4; n++ {
		l.send(t, fmt.Sprintf("heartbeat u-1 %d born 1000", n), func() {})
		is.Equal(l.relay.Status(l.now).Heartbeat, uint64(2))
		l.pass(4*tickInterval, func() {})
	}
	l.pass(6*startsInterval, func() {})
	s := l.relay.Status(l.now)
	is.Equal(s.Upstream, livingID)
	is.True(s.Heartbeat > uint64(l.owned.Heartbeat)) // the living one's are, once it is certain
}

// TestSilentStartIsNotReplacedByOneHeartbeat guards against openings at a draining upstream: some of its
// heartbeats are lost, and meanwhile a late one of another start arrives.
func TestSilentStartIsNotReplacedByOneHeartbeat(t *testing.T) {
	is := is.New(t)
	l := &living{harness: &harness{}, sequence: firstSequence - 1}
	l.prepare(t, "reports 5 draining")
	l.advance(startsInterval)
	l.send(t, "heartbeat u-9 1", func() { l.check(t) })
	for range 8 {
		l.advance(tickInterval)
		l.check(t)
	}
	l.report()
	l.pass(3*startsInterval, func() { l.check(t) })
	is.Equal(l.relay.Status(l.now).Candidate, uint32(0))
}

// TestUseAfterDeregistrationIsProbed guards against openings that are lost as no process listens: a late
// heartbeat comes right after the upstream has deregistered, before it exits.
func TestUseAfterDeregistrationIsProbed(t *testing.T) {
	is := is.New(t)
	l := &living{harness: &harness{}, sequence: firstSequence - 1}
	l.prepare(t, "reports 5")
	l.relay.HandleDeregistration(l.now, livingID)
	l.send(t, "heartbeat u-9 1", func() {})
	l.advance(2 * tickInterval)
	is.True(l.relay.Leaving(l.now))
	l.relay.MarkEnded(l.now, l.now)
	is.True(!l.relay.Status(l.now).Taking)
	l.send(t, "heartbeat u-9 2", func() {})
	is.True(!l.relay.Leaving(l.now)) // it runs
}

// TestLateHeartbeatAfterRestartIsUnconfirmed guards against resets of restored flows by entries: an agent
// that was restarted gets a late heartbeat of an ended start first, and reports that start.
func TestLateHeartbeatAfterRestartIsUnconfirmed(t *testing.T) {
	for _, claim := range []string{"heartbeat u-1 8 born 1000", "heartbeat u-1 8 born 1000; wait 400; heartbeat u-1 9 born 1000; wait 400; heartbeat u-1 10 born 1000"} {
		for _, withBorn := range []bool{false, true} {
			is := is.New(t)
			l := &living{harness: &harness{}, withBorn: withBorn, sequence: firstSequence - 1}
			l.prepare(t, "reports 5 agent-restarted")
			check := func() {
				s := l.relay.Status(l.now)
				is.True(s.Upstream != "u-1" || s.Unconfirmed)
			}
			for message := range strings.SplitSeq(claim, ";") {
				l.send(t, message, check)
			}
			l.pass(6*startsInterval, check)
			s := l.relay.Status(l.now)
			is.Equal(s.Upstream, livingID)
			is.True(!s.Unconfirmed)
		}
	}
}

// TestLargeStepsAreLearned guards against an upstream whose heartbeats all seem to be another writer's, as
// it numbers them in large steps.
func TestLargeStepsAreLearned(t *testing.T) {
	is := is.New(t)
	l := &living{harness: &harness{}}
	l.start()
	l.advance(time.Second)
	for n := uint64(1); n <= 8; n++ {
		l.relay.HandleHeartbeat(l.now, relay.Upstream{ID: livingID, Sequence: 5000 * n, Slots: 2, Draining: n == 8})
		status := l.relay.Status(l.now)
		is.Equal(status.Taking, n < 8)
		is.True(n < 4 || status.Heartbeat == 5000*n)
		l.advance(startsInterval)
	}
}

// TestNextStartIsColdDespiteLateHeartbeat guards against too many openings at a cold upstream: after its
// first heartbeat, a late one of the start before it arrives.
func TestNextStartIsColdDespiteLateHeartbeat(t *testing.T) {
	is := is.New(t)
	l := &living{harness: &harness{}, sequence: firstSequence - 1}
	l.prepare(t, "reports 5")
	for n := 1; n <= 6; n++ {
		l.send(t, fmt.Sprintf("heartbeat u-3 %d cold 60000", n), func() {})
		for step := range 10 {
			l.advance(tickInterval)
			if n <= 2 && step == 4 {
				l.report()
			}
			status := l.relay.Status(l.now)
			is.True(status.Cold() > 50*time.Second)
		}
	}
	is.Equal(l.relay.Status(l.now).Upstream, "u-3")
}

// TestQuickReturnAfterDeregistrationIsUsed guards against an upstream that gets no openings after a planned
// restart: its next start reports before the agent has found that the one that drained has exited.
func TestQuickReturnAfterDeregistrationIsUsed(t *testing.T) {
	is := is.New(t)
	l := &living{harness: &harness{}, sequence: firstSequence - 1}
	l.prepare(t, "reports 5 draining")
	l.relay.HandleDeregistration(l.now, livingID)
	l.advance(tickInterval)
	l.send(t, "heartbeat u-3 1", func() {})
	is.True(l.relay.Status(l.now).Taking)
}
