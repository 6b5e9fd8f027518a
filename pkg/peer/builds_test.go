package peer_test

import (
	"encoding/hex"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// messagesOfBuilds returns the datagrams in testdata/builds by build and name. Each file holds
// what one build encodes that has been in service.
func messagesOfBuilds(tb testing.TB) map[string]map[string][]byte {
	tb.Helper()
	files, err := filepath.Glob("testdata/builds/*.txt")
	if err != nil || len(files) == 0 {
		tb.Fatal("no builds", err)
	}
	out := make(map[string]map[string][]byte)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			tb.Fatal(err)
		}
		messages := make(map[string][]byte)
		for line := range strings.Lines(string(text)) {
			if name, encoded, ok := strings.Cut(strings.TrimSpace(line), " "); ok && name != "#" {
				if messages[name], err = hex.DecodeString(encoded); err != nil {
					tb.Fatal(file, name, err)
				}
			}
		}
		out[strings.TrimSuffix(filepath.Base(file), ".txt")] = messages
	}
	return out
}

// TestMessagesOfOlderBuilds guards against a change that keeps this build from understanding
// the processes of an older one, beside which it runs during an upgrade or a rollback.
func TestMessagesOfOlderBuilds(t *testing.T) {
	flow := segment.NewFlow(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))
	for build, messages := range messagesOfBuilds(t) {
		t.Run(build, func(t *testing.T) {
			is := is.New(t)
			var f peer.Frame
			is.NoErr(f.Decode(messages["frame"]))
			is.Equal(f.Kind, peer.Place)
			is.Equal(f.Service, peer.Service("maklerlink"))
			is.Equal(f.Candidates, []peer.Addr{{10, 1, 0, 40}, {10, 2, 0, 41}})
			is.True(f.Forced && f.Best == 1 && f.BestLoad == 12 && f.Stage == 3)
			is.True(f.Patience == 0 || f.Patience == 496*time.Millisecond) // 0: the build does not wait
			is.Equal(string(f.Packet), "packet")

			var o peer.OwnerMessage
			is.NoErr(o.Decode(messages["owned"]))
			is.Equal(o, peer.OwnerMessage{Kind: peer.Owned, Flow: flow, Start: peer.StartID("i-1", 5)})

			var st peer.Status
			is.NoErr(peer.DecodeMessage(messages["report"], &st))
			st.Failing, st.ServiceTime = false, 0 // not known to the first build
			is.Equal(st, peer.Status{
				Incarnation: 1700000000000, Sequence: 7, Service: "maklerlink", Upstream: "i-1", Born: 5, Taking: true,
				Slots: 4, ColdFor: 1500, Flows: 12, Running: 3, FailureDomain: "graz-nord",
			})

			var h peer.HelloMessage
			is.NoErr(peer.DecodeMessage(messages["hello"], &h))
			h.StoreEra, h.Evacuation, h.ColdRates = 0, nil, nil // known to later builds only
			is.Equal(h, peer.HelloMessage{
				Incarnation: 1700000000001, ConfigVersion: 25, VerifiedAgo: 300, Entries: []peer.Addr{{10, 1, 0, 11}},
				Agents: []peer.Addr{{10, 1, 0, 40}}, FailureDomain: "graz-nord", Ready: true, WantsReply: true,
			})

			var g peer.GoodbyeMessage
			is.NoErr(peer.DecodeMessage(messages["goodbye"], &g))
			is.True(g.Restarting)
		})
	}
}
