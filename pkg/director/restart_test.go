package director_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// TestRestartScripts plays the scripts in testdata/restart: agents restart while their flows
// are in use. It guards against packets that are lost at an agent that is away, sent twice or
// out of order, or kept for one that does not return. A script says:
//
//	at 1500            the time in milliseconds
//	agent 1 starts     agent 1 reports for the first time since its start
//	agent 1 restarts   agent 1 says that it will be started again
//	agent 1 owns a b   agent 1 announces that its upstream holds the flows a and b
//	caller a 7         the caller of flow a sends data with sequence number 7
//	tick
//	sent 1:a7 1:b3     the frames since the last such line: agent, flow, sequence number
//	visits a 1 2       the agents that the search for flow a visits first, in any order
func TestRestartScripts(t *testing.T) {
	eachScript(t, "restart", func(t *testing.T) func(line string, fields []string) { return newRestartPlayer(t).play })
}

// eachScript plays the scripts in a directory of testdata, each with a player of its own, which
// gets the lines that are neither empty nor comments.
func eachScript(t *testing.T, dir string, newPlayer func(*testing.T) (play func(line string, fields []string))) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", dir, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			b, err := os.ReadFile(file)
			is.New(t).NoErr(err)
			play := newPlayer(t)
			for n, line := range strings.Split(string(b), "\n") {
				if fields := strings.Fields(line); len(fields) > 0 && fields[0] != "#" {
					play(fmt.Sprintf("line %d: %s", n+1, line), fields)
				}
			}
		})
	}
}

// restartPlayer plays one script.
type restartPlayer struct {
	t      *testing.T
	port   *framePort
	d      *director.Director
	now    time.Duration
	starts map[string]int64
}

func newRestartPlayer(t *testing.T) *restartPlayer {
	port := &framePort{recordingPort: recordingPort{new([]peer.Addr)}}
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, port)
	d.MergeHolders(nil, 1)
	d.SetConfig(route.New(1, []route.Route{{VIP: vipAt(2), Shares: []route.Share{{Service: feedService, Weight: 1}}, Timeout: 2 * time.Second}}))
	return &restartPlayer{t: t, port: port, d: d, starts: make(map[string]int64)}
}

func (p *restartPlayer) play(line string, f []string) {
	p.t.Helper()
	is := is.New(p.t)
	switch f[0] {
	case "at":
		ms, err := strconv.Atoi(f[1])
		is.NoErr(err)
		p.now = time.Duration(ms) * time.Millisecond
	case "agent":
		p.playAgent(line, f[1], f[2], f[3:])
	case "caller":
		n, err := strconv.ParseUint(f[2], 10, 32)
		is.NoErr(err)
		h := segment.Header{Flow: namedFlow(f[1]), Flags: segment.Ack, Sequence: uint32(n), Acknowledged: 1}
		is.NoErr(p.d.HandleCallerPacket(p.now, platform.EncodePacket(h, false)))
	case "tick":
		p.d.Tick(p.now, 100*time.Millisecond)
	case "sent":
		if got := p.takeSent(); got != strings.Join(f[1:], " ") {
			p.t.Fatalf("%s: got %q", line, got)
		}
	case "visits":
		candidates := p.port.last().Candidates
		for _, agent := range f[2:] {
			if !strings.Contains(fmt.Sprint(candidates), agentAt(agent).String()) || len(candidates) != len(f)-2 {
				p.t.Fatalf("%s: got %v", line, candidates)
			}
		}
		p.port.frames = nil
	default:
		p.t.Fatalf("%s: unknown", line)
	}
}

func (p *restartPlayer) playAgent(line, agent, verb string, flows []string) {
	p.t.Helper()
	switch verb {
	case "starts":
		p.starts[agent]++
		p.d.HandleReport(p.now, agentAt(agent), peer.Status{
			Incarnation: p.starts[agent], Sequence: 1, Service: feedService, Upstream: "u" + agent, Born: 5, Taking: true, Slots: 4,
		})
	case "restarts":
		p.d.HandleGoodbye(p.now, agentAt(agent), true)
	case "owns":
		for _, name := range flows {
			m := peer.OwnerMessage{Kind: peer.Owned, Flow: namedFlow(name), Start: peer.StartID("u"+agent, 5)}
			if err := p.d.HandleAgentDatagram(p.now, agentAt(agent), m.Append(nil)); err != nil {
				p.t.Fatal(line, err)
			}
		}
	default:
		p.t.Fatalf("%s: unknown", line)
	}
}

// takeSent returns the frames since the last call.
func (p *restartPlayer) takeSent() string {
	var out []string
	for _, f := range p.port.frames {
		h, err := platform.PacketCodec{}.FromCaller(f.Packet)
		if err != nil {
			p.t.Fatal(err)
		}
		out = append(out, fmt.Sprintf("%d:%c%d", f.Candidates[0][3], 'a'+rune(h.Flow.Caller().Port()-1), h.Sequence))
	}
	p.port.frames = nil
	return strings.Join(out, " ")
}

// namedFlow returns the flow with the name, a letter.
func namedFlow(name string) segment.Flow {
	return segment.NewFlow(netipPort(vipAt(1), uint16(name[0]-'a'+1)), vipAt(2))
}

// agentAt returns the address of an agent, given by its number.
func agentAt(number string) peer.Addr { return peer.Addr{10, 0, 1, number[0] - '0'} }
