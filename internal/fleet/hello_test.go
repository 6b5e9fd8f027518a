package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
)

// testAddrs returns n addresses in order.
func testAddrs(n int) []peer.Addr {
	out := make([]peer.Addr, n)
	for i := range out {
		out[i] = peer.Addr{10, 0, byte(i >> 8), byte(i)}
	}
	return out
}

// TestHelloMessagesAfterReturnOfAllPower answers the return of 59 entries and 136 agents at
// once: each entry gets lists of all agents from many others, while its link has to carry
// the callers' packets. It must not send a hello message to each agent for each list.
func TestHelloMessagesAfterReturnOfAllPower(t *testing.T) {
	is := is.New(t)
	const lists = 58
	agents := testAddrs(136)
	reported := agents[:100]
	h := newAgentHellos()
	sent := 0
	for i := range lists {
		sent += len(h.takeSilent(time.Duration(i)*time.Millisecond, agents, reported))
	}
	is.Equal(sent, len(agents)-len(reported))
	// An agent that missed the message gets another one.
	is.Equal(h.takeSilent(introduceInterval, agents, reported), agents[100:])
}

func TestRepliesToAgentListEntriesRarely(t *testing.T) {
	is := is.New(t)
	h := newAgentHellos()
	agent := testAddrs(1)[0]
	listed := 0
	for now := time.Duration(0); now < 32*time.Second; now += reportInterval {
		if _, withEntries := h.take(now, agent, agentHelloInterval); withEntries {
			listed++
		}
	}
	is.Equal(listed, 4)
	h.forget(agent)
	_, withEntries := h.take(32*time.Second, agent, agentHelloInterval)
	is.True(withEntries) // the first reply after its return
}

// TestRestartedAgentIsGreetedAtOnce guards against a restarted agent that knows nothing of an
// evacuation or of the limit of a cold upstream until the usual interval has passed.
func TestRestartedAgentIsGreetedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newAgentHellos()
	agent := testAddrs(1)[0]
	due := func(now time.Duration, incarnation int64) bool {
		due, _ := h.takeReport(now, agent, incarnation)
		return due
	}
	is.True(due(time.Second, 7))
	is.True(!due(1400*time.Millisecond, 7))
	is.True(due(1500*time.Millisecond, 8))
	is.True(!due(1900*time.Millisecond, 8))
}

// TestStartingEntryAsksFewOthersAtATime covers an entry of a large fleet: the replies of all
// others at once would fill its link.
func TestStartingEntryAsksFewOthersAtATime(t *testing.T) {
	for _, n := range []int{0, 1, 2, repliesWanted, 10, 58} {
		is := is.New(t)
		entries := testAddrs(n)
		seen := make(map[peer.Addr]bool)
		for round := range n {
			asked, rest := chooseAsked(entries, round)
			is.Equal(len(asked), min(n, repliesWanted))
			all := append(slices.Clone(asked), rest...)
			slices.SortFunc(all, compareAddr)
			is.Equal(all, entries) // each gets one message
			for _, a := range asked {
				seen[a] = true
			}
		}
		is.Equal(len(seen), n) // all are asked in turn
	}
}
