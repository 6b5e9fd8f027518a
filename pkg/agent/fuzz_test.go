package agent_test

import (
	"testing"
	"time"

	"hickoryhook.example/pkg/agent"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

// bytesPerPacket is how many bytes of a fuzz input describe one packet.
const bytesPerPacket = 6

// FuzzHandle feeds a core sequences of well-formed packets with any kinds,
// flags, senders, candidates and searches. It never panics, and it owns no more
// flows than the input names.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{1, 0, 0, 3, 0, 0, 1, 4, 1, 0, 2, 0})
	f.Add([]byte{1, 4, 1, 3, 1, 9, 1, 1, 2, 3, 1, 0, 1, 2, 1, 3, 1, 0})
	f.Fuzz(func(t *testing.T, input []byte) {
		view := memberView(4)
		c := agent.New(alone, view, start)
		var out agent.Output
		now := start
		for len(input) >= bytesPerPacket {
			p := fuzzPacket(view, input[:bytesPerPacket])
			input = input[bytesPerPacket:]
			now = now.Add(agent.TickInterval)
			c.Handle(now, entry1, p, &out)
			c.Tick(now, &out)
			out.Reset()
		}
		c.SetView(now, memberView(2))
		c.Tick(now.Add(time.Second), &out)
		if c.OwnedFlows() > 4 {
			t.Fatalf("owns %d flows of 4", c.OwnedFlows())
		}
	})
}

// fuzzPacket reads kind, flags, sender, number of candidates, flow, and search.
func fuzzPacket(view *member.View, b []byte) *tunnel.Packet {
	pick := func(i byte) member.Member { return view.Members()[int(i)%view.Len()] }
	p := tunnel.NewPacket(tunnel.Kind(b[0]%8), service, pick(b[2]).ID(), alone.ID())
	named := data(int(b[4]%4), entry1)
	p.SetFlow(named.Key(), named.Digest(), 0).SetEntryAddress(entry1)
	p.UpdateFlags(tunnel.Flags(b[1]), 0)
	for i := range b[3] % 4 {
		m := pick(b[3]/4 + i)
		p.AddCandidate(tunnel.NewCandidate(m.ID(), m.Address()))
		if b[5]&(1<<i) != 0 {
			p.MarkTried(int(i), float64(i), float64(b[5]/64))
		}
	}
	p.StartSearch(pick(b[5] / 8).ID())
	if b[5]&4 != 0 {
		p.AddSearchTarget(tunnel.NewCandidate(pick(b[4]/4).ID(), entry2))
	}
	p.SetPayload([]byte("x"))
	return &p
}
