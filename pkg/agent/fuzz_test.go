package agent_test

import (
	"testing"
	"time"

	"hickoryhook.example/pkg/agent"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

// bytesPerPacket is the number of bytes of fuzz input that encode one packet.
const bytesPerPacket = 6

// FuzzHandle passes a core sequences of well-formed packets with arbitrary kinds,
// flags, senders, candidates and searches. The core must not panic, nor own more
// flows than the 4 that the input can encode.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{1, 0, 0, 3, 0, 0, 1, 4, 1, 0, 2, 0})
	f.Add([]byte{1, 4, 1, 3, 1, 9, 1, 1, 2, 3, 1, 0, 1, 2, 1, 3, 1, 0})
	f.Fuzz(func(t *testing.T, input []byte) {
		view := memberView(4)
		c := agent.New(self, view, start)
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

// fuzzPacket decodes a packet from bytes for the kind, flags, sender, candidates,
// flow, and search with the candidates tried.
func fuzzPacket(view *member.View, b []byte) *tunnel.Packet {
	pick := func(i byte) member.Member { return view.Members()[int(i)%view.Len()] }
	p := tunnel.NewPacket(tunnel.Kind(b[0]%8), service, pick(b[2]).ID(), self.ID())
	template := dataPacket(int(b[4]%4), entry1)
	p.SetFlow(template.Key(), template.Digest(), 0).SetEntryAddress(entry1)
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
