package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/fleet"
	"hickoryhook.example/pkg/peer"
)

// TestAgentsThatCannotBeReadAreAwaited guards against resets of living flows by an entry that
// starts while no other one is running: an agent whose entry in the list cannot be read must
// not be taken for none. Once it has been awaited like a silent one, the list is written again.
func TestAgentsThatCannotBeReadAreAwaited(t *testing.T) {
	for _, c := range []struct {
		name   string
		subnet byte
		list   []byte
	}{
		{"one entry", 60, []byte{0x82, 0x44, 127, 0, 60, 2, 0x44, 0, 0, 0, 0}},
		{"all", 61, []byte(`{"agents":7}`)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTestSite(t, c.subnet)
			s.putConfig(7, vipText)
			s.store.Set("hickoryhook/agents", c.list)
			s.store.Set("hickoryhook/flow-holders", fmt.Appendf(nil, `{"through":7,"holders":{"%s:%d":["maklerlink"]}}`, vipText, vipPort))
			agent, err := fleet.NewAgent(s.settings(2), zap.NewNop())
			is.NoErr(err)
			s.start(agent)
			s.startEntry(1)
			s.sendHeartbeat("ready", 1)
			s.eventually("the agent is known", func() bool { return s.readyAt(1) })
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				is.Equal(s.gauge(1, "settled"), false)
			}
			s.eventually("the entry is settled", func() bool { return s.gauge(1, "settled") == true })
			s.eventually("the list is written again", func() bool {
				var agents []peer.Addr
				value, _ := s.store.Get("hickoryhook/agents")
				return cbor.Unmarshal(value, &agents) == nil && len(agents) == 1 && agents[0] == peer.Addr{127, 0, s.subnet, 2}
			})
		})
	}
}
