package relay_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
	"hickoryhook.example/pkg/segment"
)

const (
	lifetimeHeartbeat = 770 * time.Millisecond
	// lastLifetime is the number of the upstream's start that lives in the end.
	lastLifetime = 3
)

// lateMessage is a message of an ended start of the upstream.
type lateMessage struct {
	lifetime   int
	deregister bool
}

// heartbeatOf returns a heartbeat of a start of the upstream.
func heartbeatOf(lifetime int, sequence uint64, withBorn bool) relay.Upstream {
	u := relay.Upstream{ID: fmt.Sprintf("u-%d", lifetime), Sequence: sequence, Slots: 1 + lifetime}
	if withBorn {
		u.Born = int64(1000 * lifetime)
	}
	return u
}

// statusWithoutFlows returns the status of the upstream without the number of active flows,
// which changes with the time since their callers' last packets, and without the other start that
// may have replaced the present one.
func statusWithoutFlows(r *harness) peer.Status {
	status := r.relay.Status(r.now)
	status.Flows, status.Candidate = 0, 0
	return status
}

// permutations calls f with each order of the messages.
func permutations(messages []lateMessage, f func([]lateMessage)) {
	var extend func(chosen []lateMessage, used int)
	extend = func(chosen []lateMessage, used int) {
		if len(chosen) == len(messages) {
			f(chosen)
			return
		}
		for i, m := range messages {
			if used&(1<<i) == 0 {
				extend(append(chosen[:len(chosen):len(chosen)], m), used|1<<i)
			}
		}
	}
	extend(nil, 0)
}

// TestLateMessagesOfEndedStarts guards against resets of a living upstream's flows by late and
// repeated heartbeats and deregistrations of the two starts before it, in any order, also if
// upstreams do not send the time of their start. Nothing of the present start may change.
func TestLateMessagesOfEndedStarts(t *testing.T) {
	messages := []lateMessage{{1, false}, {1, true}, {2, false}, {2, true}}
	for _, withBorn := range []bool{false, true} {
		t.Run(fmt.Sprintf("born %t", withBorn), func(t *testing.T) {
			permutations(messages, func(order []lateMessage) {
				is := is.New(t)
				r := &harness{}
				r.start()
				for lifetime := 1; lifetime <= lastLifetime; lifetime++ {
					r.relay.HandleHeartbeat(r.now, heartbeatOf(lifetime, 5, withBorn))
					r.advance(2 * lifetimeHeartbeat)
				}
				last := heartbeatOf(lastLifetime, 6, withBorn)
				r.relay.HandleHeartbeat(r.now, last)
				r.open(t, 1, 1)
				is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 1000, 2, 0)))
				r.take()
				r.relay.Tick(r.now)
				want := statusWithoutFlows(r)
				for i, m := range append(order, order...) { // each message comes twice
					if m.deregister {
						r.relay.HandleDeregistration(r.now, heartbeatOf(m.lifetime, 0, withBorn).ID)
					} else {
						r.relay.HandleHeartbeat(r.now, heartbeatOf(m.lifetime, uint64(6+i), withBorn))
					}
					r.relay.Tick(r.now)
					is.Equal(statusWithoutFlows(r), want)
					r.advance(lifetimeHeartbeat)
					last.Sequence++
					want.Heartbeat = last.Sequence
					r.relay.HandleHeartbeat(r.now, last)
				}
				if out := r.take(); strings.Contains(out, "reset") {
					t.Fatalf("order %v: %s", order, out)
				}
			})
		})
	}
}
