package evacuation_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/evacuation"
)

// TestScripts plays the scripts in testdata. A script says what several processes learn:
//
//	at 1500                 the time in milliseconds
//	x reads 2/100 a b       process x reads the domains a and b at era 2, revision 100
//	x tells y               y receives the message of x
//	x saves, x repeats to y y receives the message that x would have sent at "saves"
//	x has a b               the domains in force at x
//	x is unaware            x knows no set
//	x ended a               the domains that the last change of x took back
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			b, err := os.ReadFile(file)
			is.New(t).NoErr(err)
			p := player{t: t, processes: make(map[string]*process)}
			for n, line := range strings.Split(string(b), "\n") {
				if fields := strings.Fields(line); len(fields) > 0 && fields[0] != "#" {
					p.play(n+1, fields)
				}
			}
		})
	}
}

type (
	// player plays one script.
	player struct {
		t         *testing.T
		now       time.Duration
		processes map[string]*process
	}

	process struct {
		*evacuation.Tracker
		last  evacuation.Change
		saved evacuation.Tracker
	}
)

// process returns the process with a name, which starts when it is first named.
func (p *player) process(name string) *process {
	if p.processes[name] == nil {
		p.processes[name] = &process{Tracker: evacuation.New()}
	}
	return p.processes[name]
}

func (p *player) play(line int, f []string) {
	p.t.Helper()
	if f[0] == "at" {
		ms, err := strconv.Atoi(f[1])
		if err != nil {
			p.t.Fatal(line, err)
		}
		p.now = time.Duration(ms) * time.Millisecond
		return
	}
	x := p.process(f[0])
	switch f[1] {
	case "reads":
		era, revision, _ := strings.Cut(f[2], "/")
		x.last = x.HandleRead(p.now, p.number(line, era), p.number(line, revision), f[3:])
	case "tells":
		p.send(line, x.Tracker, f[2])
	case "saves":
		x.saved = *x.Tracker
	case "repeats":
		p.send(line, &x.saved, f[3])
	case "has":
		p.compare(line, x.InForce(), f[2:])
	case "ended":
		p.compare(line, x.last.TakenBack, f[2:])
	case "is":
		if x.Known() {
			p.t.Fatalf("line %d: %s knows a set", line, f[0])
		}
	default:
		p.t.Fatalf("line %d: unknown %q", line, f[1])
	}
}

func (p *player) send(line int, from *evacuation.Tracker, to string) {
	p.t.Helper()
	m, known := from.Message()
	if !known {
		p.t.Fatalf("line %d: the sender knows no set", line)
	}
	x := p.process(to)
	x.last = x.HandleMessage(p.now, m)
}

func (p *player) number(line int, text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		p.t.Fatal(line, err)
	}
	return n
}

func (p *player) compare(line int, got, want []string) {
	p.t.Helper()
	if strings.Join(got, " ") != strings.Join(want, " ") {
		p.t.Fatalf("line %d: got %q, want %q", line, got, want)
	}
}
