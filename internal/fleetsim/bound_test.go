package fleetsim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/internal/fleetsim"
)

// TestBound checks the bound on arrivals for which the best schedule is known.
func TestBound(t *testing.T) {
	const ms = time.Millisecond
	safe := &fleetsim.Kind{Target: 30 * ms, Timeout: 100 * ms, Repeatable: true}
	unsafe := &fleetsim.Kind{Target: 30 * ms, Timeout: 100 * ms}
	at := func(k *fleetsim.Kind, times ...time.Duration) []*fleetsim.Request {
		var out []*fleetsim.Request
		for _, t := range times {
			out = append(out, &fleetsim.Request{Kind: k, At: t, Work: 20 * ms, OnOpenFlow: true})
		}
		return out
	}
	outage := []fleetsim.Outage{{From: 100 * ms, To: 200 * ms}}
	for _, c := range []struct {
		name     string
		capacity fleetsim.Capacity
		requests []*fleetsim.Request
		want     fleetsim.Bound
	}{
		{"a slot for each", fleetsim.Capacity{Slots: 2}, at(safe, 0, 0), fleetsim.Bound{Answered: 2, InAim: 2, InAimFirst: 2, AnsweredThen: 2}},
		{"one after the other", fleetsim.Capacity{Slots: 1}, at(safe, 0, 0, 0), fleetsim.Bound{Answered: 3, InAim: 1, InAimFirst: 1, AnsweredThen: 3}},
		{"more than the slot serves in time", fleetsim.Capacity{Slots: 1}, at(safe, 0, 0, 0, 0, 0, 0, 0), fleetsim.Bound{Answered: 5, InAim: 1, InAimFirst: 1, AnsweredThen: 5}},
		{"sent in an outage", fleetsim.Capacity{Slots: 1, Outages: outage}, at(safe, 150*ms), fleetsim.Bound{Answered: 1, AnsweredThen: 1}},
		{"gives up in an outage", fleetsim.Capacity{Slots: 1, Outages: outage}, at(safe, 101*ms), fleetsim.Bound{}},
		{"runs when the outage begins", fleetsim.Capacity{Slots: 1, Outages: outage}, at(safe, 90*ms, 190*ms), fleetsim.Bound{Answered: 1, InAim: 1, InAimFirst: 1, AnsweredThen: 1}},
		{"sent on a lost flow, not repeatable", fleetsim.Capacity{Slots: 1, Outages: outage}, at(unsafe, 150*ms), fleetsim.Bound{}},
		{"cold after an outage", fleetsim.Capacity{Slots: 1, Outages: outage, Cold: time.Second, ColdFactor: 2}, at(safe, 250*ms), fleetsim.Bound{Answered: 1, AnsweredThen: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(fleetsim.NewBound(c.requests, c.capacity), c.want)
		})
	}
}
