package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
)

// TestAnnouncementWithoutNumberKeepsConfirmedOwner guards against a flow whose packets go to a wrong agent:
// one that knows the flow from a late packet of a crashed upstream alone announces it, without a
// number, although the caller goes on with the recorded owner.
func TestAnnouncementWithoutNumberKeepsConfirmedOwner(t *testing.T) {
	is := is.New(t)
	s := newAskSite(t, acknowledgement(upstreamSequence))
	is.NoErr(s.HandleAgentDatagram(2*time.Second, s.place.Candidates[1], peer.OwnerMessage{
		Kind: peer.Owned, Flow: s.flow, Start: peer.StartID("u", 7), Heartbeat: 1, HeartbeatKnown: true,
	}.Append(nil)))
	s.port.frames = nil
	s.caller(t, 2100*time.Millisecond, acknowledgement(upstreamSequence))
	is.Equal(s.port.frames[0].Candidates[0], s.owner)
}
