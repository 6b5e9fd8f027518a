package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
)

// TestAgentKeepsEntryAliveBetweenHellos covers an agent with one entry, which sends a
// hello message every agentHelloInterval. The agent read the store and reported as to a
// new entry in each interval while the entry was running.
func TestAgentKeepsEntryAliveBetweenHellos(t *testing.T) {
	is := is.New(t)
	entry := peer.Addr{10, 0, 0, 1}
	hello := peer.HelloMessage{Incarnation: 1}
	entries := newEntrySet(agentEntryTimeout)
	is.True(entries.recordHello(0, entry, hello))
	for at := agentHelloInterval; at < time.Minute; at += agentHelloInterval {
		is.Equal(entries.alive(at-time.Millisecond), []peer.Addr{entry})
		is.True(!entries.recordHello(at, entry, hello))
	}
	is.Equal(len(entries.alive(2*time.Minute)), 0)
}
