package director

import (
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

const (
	// resetRepeats is how often the reset of a flow that is gone is sent again, and
	// resetRepeatDelay the time until the first repetition; it doubles with each. After a
	// loss of power the links are full for some hundred milliseconds, and a caller that
	// misses the reset loses its next request if that must not be repeated.
	resetRepeats     = 3
	resetRepeatDelay = 200 * time.Millisecond
)

// goneFlow is the state of a flow whose upstream has restarted or ended. It stays in the
// cache for the idle timeout, so that a packet of it is reset without a search.
type goneFlow struct {
	why          Decision // of the resets
	acknowledged uint32   // the caller's last acknowledgement number
	repeats      int      // left
	repeatAt     time.Duration
	delay        time.Duration // from repeatAt to the repetition after it
}

// markGone records that the upstream that held a flow has restarted or ended, and resets the
// flow, whose caller has acknowledged what that upstream has sent. reported is the start of the
// upstream that its agent has reported, 0 if none runs, age that of the proof.
func (d *Director) markGone(now time.Duration, s *shard, flow segment.Flow, rec *flowRecord, proof Proof, reported uint32, age time.Duration) {
	why := Decision{
		Event: UpstreamGone, Proof: proof, Agent: rec.owner, Start: rec.startID, Reported: reported, Restored: rec.restored, Age: age,
	}
	rec.question = question{}
	rec.owner, rec.startID, rec.open, rec.searching, rec.lastSeen = peer.Addr{}, 0, false, false, now
	rec.gone = &goneFlow{
		why: why, acknowledged: rec.acknowledged,
		repeats: resetRepeats, repeatAt: now + resetRepeatDelay, delay: 2 * resetRepeatDelay,
	}
	if d.link != nil {
		d.link.Ended(&rec.link)
	}
	s.resets = append(s.resets, flow)
	d.reset(segment.Header{Flow: flow, Acknowledged: rec.acknowledged}, why)
}

// resetGone resets a flow that is gone in reply to a packet of it, other than a reset.
func (d *Director) resetGone(rec *flowRecord, h segment.Header) {
	rec.gone.repeats = 0
	if !h.Has(segment.Reset) {
		d.reset(h, rec.gone.why)
	}
}

// repeatResets sends the resets of the shard's flows that are due again.
func (d *Director) repeatResets(now time.Duration, s *shard) {
	s.resets = slices.DeleteFunc(s.resets, func(flow segment.Flow) bool {
		rec := s.flows[flow]
		if rec == nil || rec.gone == nil || rec.gone.repeats == 0 {
			return true
		}
		if now >= rec.gone.repeatAt {
			d.port.ToCaller(flow, d.codec.Reset(flow, rec.acknowledged))
			rec.gone.repeats--
			rec.gone.repeatAt += rec.gone.delay
			rec.gone.delay *= 2
		}
		return false
	})
}
