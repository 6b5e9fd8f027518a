package fleet_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/fleet"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// TestEntryWithFullLinkRefusesOpenings runs an entry whose settings give a slow link, and an
// agent. While an upload uses the link, the next one is reset and reaches no upstream. It
// guards against settings that are not passed on to the decisions.
func TestEntryWithFullLinkRefusesOpenings(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, 88)
	s.putConfig(1, vipText)
	agent, err := fleet.NewAgent(s.settings(2), zap.NewNop())
	is.NoErr(err)
	s.start(agent)
	settings := s.settings(1)
	settings.LinkRate = 2000 // bytes a second
	entry, err := fleet.NewEntry(settings, zap.NewNop())
	is.NoErr(err)
	s.start(entry)
	s.sendHeartbeat("ready", 1)
	s.eventually("the entry is ready", s.ready)
	receiver, _ := s.openFlow(vipText, 2001)
	is.Equal(receiver, "upstream")

	flow := segment.NewFlow(netip.AddrPortFrom(netip.MustParseAddr(s.ip(3)), 2001), netip.AddrPortFrom(netip.MustParseAddr(vipText), vipPort))
	data := platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Ack, Acknowledged: 1, Length: 1200}, false)
	port := 2001
	s.eventually("an upload is refused", func() bool {
		port++ // an admitted opening is not refused later
		for range 8 {
			if _, err := s.caller.WriteToUDP(data, &net.UDPAddr{IP: net.ParseIP(s.ip(1)), Port: s.port + 2}); err != nil {
				t.Fatal(err)
			}
		}
		receiver, flags := s.openFlow(vipText, port)
		return receiver == "caller" && flags == 1
	})
	link, _ := s.gauge(1, "link").(map[string]any)
	is.Equal(link["bytes-per-s"], 2000.0)
	is.True(link["refused"].(map[string]any)[vipText+":443"] != nil)
	is.True(s.ready())
}
