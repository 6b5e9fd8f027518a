package agent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"hickoryhook.example/pkg/agent"
	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
	"hickoryhook.example/pkg/tunnel/tunnelpb"
)

// TestBoundedQueueRegistersEveryFlow guards against flows that are never
// registered because the queue for a home was full. A member with far more flows
// than a queue holds gets a view with a new home for most of them.
func TestBoundedQueueRegistersEveryFlow(t *testing.T) {
	is := is.New(t)
	const flows = 12000
	heavy := member.New("heavy", entry2, member.WithWeight(1000000))
	c := newCore(agent.WithControlRate(1000000))
	var out agent.Output
	for i := range flows {
		out.Reset()
		c.Handle(start, entry1, dataPacket(i, entry1), &out)
	}
	view := member.NewView(service, 2, []member.Member{self, heavy})
	c.SetView(start, view)
	registered := make(map[flow.Digest]bool)
	now := start
	for range 2000 {
		now = now.Add(agent.TickInterval)
		out.Reset()
		c.Tick(now, &out)
		acknowledgeRegistrations(t, c, now, &out, registered)
	}
	expected := 0
	for i := range flows {
		d := dataPacket(i, entry1).Digest()
		var home [1]member.ID
		view.Top(d, home[:])
		if home[0] == heavy.ID() {
			expected++
			is.True(registered[d]) // the flow was registered with its home
		}
	}
	is.True(expected > flows*9/10)
}

// acknowledgeRegistrations acts as the home: it adds the flows in the registrations
// sent to registered, and acknowledges them.
func acknowledgeRegistrations(t *testing.T, c *agent.Core, now time.Time, out *agent.Output, registered map[flow.Digest]bool) {
	var answers agent.Output
	for i := range out.Sends() {
		p := out.Sends()[i].Packet()
		if p.Kind() != tunnel.Register {
			continue
		}
		var body tunnelpb.RegisterBatch
		if err := proto.Unmarshal(p.Payload(), &body); err != nil {
			t.Fatal(err)
		}
		for _, item := range body.GetRegistrations() {
			registered[flow.Digest(item.GetDigest())] = true
		}
		answer, err := proto.Marshal(&tunnelpb.RegisterAnswer{Number: body.GetNumber()})
		if err != nil {
			t.Fatal(err)
		}
		ack := tunnel.NewPacket(tunnel.RegisterAck, service, p.Dest(), p.Sender())
		ack.SetPayload(answer)
		c.Handle(now, entry2, &ack, &answers)
	}
}
