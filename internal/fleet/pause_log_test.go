package fleet

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
	"hickoryhook.example/platform"
)

// pause is the length of a pause of the agent.
const pause = 2 * time.Second

// TestHeartbeatsAfterPauseAreLogged guards against a reset whose cause the logs cannot tell: the
// agent was paused, and the order in which it handled the heartbeats that waited is not known.
func TestHeartbeatsAfterPauseAreLogged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	p := &process{
		settings: &platform.Settings{Service: "maklerlink", FailureDomain: "graz-nord", UpstreamAddress: upstreamAddress}, log: zap.New(core),
		self: peer.Addr{10, 0, 0, 2}, started: time.Now().Add(-time.Minute), entries: newEntrySet(agentEntryTimeout),
	}
	a := &Agent{process: p}
	a.relay = relay.New(p.self, peer.Service("maklerlink"), p.codec, a)
	messages := func() []string {
		var out []string
		for _, line := range lines.TakeAll() {
			out = append(out, line.Message)
		}
		return out
	}
	heartbeat := func(id, sequence string) {
		req := httptest.NewRequest(http.MethodPut, "/instances/"+id, strings.NewReader(heartbeatBody(map[string]any{"seq": json.Number(sequence)})))
		w := httptest.NewRecorder()
		a.controlHandler().ServeHTTP(w, req)
		is.Equal(w.Code, http.StatusOK)
	}
	a.tick()
	heartbeat("u-1", "1")
	is.Equal(messages(), []string{"upstream"})
	heartbeat("u-1", "2")
	a.tick()
	is.Equal(messages(), nil)

	a.relay.Tick(a.now() - pause) // not ticked since the pause
	heartbeat("u-2", "1")
	heartbeat("u-1", "3") // of the ended start
	a.tick()
	heartbeat("u-2", "1") // again
	claims := lines.FilterMessage("heartbeat of another start").All()
	is.Equal(messages(), []string{
		"heartbeat after a pause", "heartbeat of another start", "heartbeat after a pause", "agent was paused",
		"heartbeat after a pause", "heartbeat of another start",
	})
	is.Equal(claims[1].ContextMap(), map[string]any{
		"upstream": "u-2", "sequence": uint64(1), "start": peer.StartID("u-2", 0), "present": "u-1", "present-sequence": uint64(3),
	})
	heartbeat("u-1", "5")
	heartbeat("u-1", "4") // overtaken
	ignored := lines.FilterMessage("heartbeat ignored").All()
	is.Equal(messages(), []string{"heartbeat after a pause", "heartbeat after a pause", "heartbeat ignored"})
	is.Equal(ignored[0].ContextMap(), map[string]any{
		"upstream": "u-1", "sequence": uint64(4), "start": peer.StartID("u-1", 0), "present": "u-1", "present-sequence": uint64(5),
	})
}

// TestPauseOfEntryIsLogged guards against requests that are lost while an entry gets no processor:
// its log must not look as if no packet had come.
func TestPauseOfEntryIsLogged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	e := &Entry{process: &process{log: zap.New(core)}}
	e.logPause(minLoggedPause)
	is.Equal(lines.Len(), 0)
	e.logPause(3400 * time.Millisecond)
	is.Equal(lines.Len(), 1)
	is.Equal(lines.All()[0].Message, "entry was paused")
	is.Equal(lines.All()[0].ContextMap(), map[string]any{"gap-ms": 3400 * time.Millisecond})
}
