package fleetdemo

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConfigJudge plays the scripts in testdata/config, each of which names the failures that the
// judge must report. A line is a time in milliseconds and one of
//
//	ack VERSION PORT=SERVICE...        the store acknowledges a configuration
//	begin|end|disturb|start MACHINE    a disturbance of a machine, or the start of its process
//	run PORT SERVICE SENT ENTRY AGENT  an upstream takes an opening that was sent at a time
//	refuse PORT SENT ENTRY             an entry resets it
//	fail TEXT                          the first failure that was not named yet has the text
func TestConfigJudge(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join("testdata", "config", "*.txt"))
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(path)
			is.NoErr(err)
			p := judgePlay{judge: &configJudge{}, begin: time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)}
			for line := range strings.Lines(string(text)) {
				if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
					is.NoErr(p.play(line))
				}
			}
			failures, _ := p.judge.result()
			is.Equal(len(failures), p.named) // failures that the script does not name
		})
	}
}

// judgePlay is a script that is played.
type judgePlay struct {
	judge *configJudge
	begin time.Time
	named int // failures
}

func (p *judgePlay) at(ms string) time.Time {
	d, err := time.ParseDuration(ms + "ms")
	if err != nil {
		panic(err)
	}
	return p.begin.Add(d)
}

// judgeMachine returns the address of a machine in a script: "store", "upstream" or its last octet.
func judgeMachine(name string) netip.Addr {
	switch name {
	case "store":
		return storeMachine
	case "upstream":
		return anyUpstream
	}
	return netip.MustParseAddr("127.0.1." + name)
}

func judgeVIP(port string) netip.AddrPort { return netip.MustParseAddrPort("198.18.0.1:" + port) }

// play plays one line.
func (p *judgePlay) play(line string) error {
	words := strings.Fields(line)
	now := p.at(words[0])
	switch words[1] {
	case "ack":
		routes := make(map[netip.AddrPort]string)
		for _, w := range words[3:] {
			port, service, _ := strings.Cut(w, "=")
			routes[judgeVIP(port)] = service
		}
		var version uint64
		if _, err := fmt.Sscan(words[2], &version); err != nil {
			return err
		}
		p.judge.announce(version, routes)
		p.judge.acknowledge(now)
	case "begin":
		p.judge.beginDisturbance(judgeMachine(words[2]))
	case "end":
		p.judge.endDisturbance(judgeMachine(words[2]), now)
	case "disturb":
		p.judge.disturb(judgeMachine(words[2]), now)
	case "start":
		p.judge.startProcess(judgeMachine(words[2]), now)
	case "run":
		o := opening{vip: judgeVIP(words[2]), sent: p.at(words[4]), entry: judgeMachine(words[5]), name: "f"}
		p.judge.handled(o, words[3], judgeMachine(words[6]), now)
	case "refuse":
		p.judge.refused(opening{vip: judgeVIP(words[2]), sent: p.at(words[3]), entry: judgeMachine(words[4]), name: "f"}, now)
	case "fail":
		failures, _ := p.judge.result()
		want := strings.Join(words[2:], " ")
		if p.named == len(failures) || !strings.Contains(failures[p.named].text, want) {
			return fmt.Errorf("want a failure %q, have %v", want, failures)
		}
		p.named++
	default:
		return fmt.Errorf("unknown line %q", line)
	}
	return nil
}
