package admission_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/admission"
)

// script holds the queue and the load of an upstream under test, and the results of the
// commands since the last check.
type script struct {
	now   time.Duration
	queue *admission.Queue[string]
	load  admission.Load
	out   []string
}

// TestScripts runs testdata/*.txt. A line is a command, or "> " and the results of the
// commands since the last such line, "-" for a command without one.
//
//	queue MAX SHARE                 a new queue
//	add NAME PRIORITY MILLISECONDS  an opening waits until that time
//	next COUNT | pass PRIORITY | unreachable | expired
//	slots N | wait MILLISECONDS
//	rounds N MILLISECONDS PRIORITY  N times the slots answer their requests after that time,
//	                                and as many others begin
//	begin PRIORITY COUNT | end PRIORITY COUNT | room PRIORITY
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(file)
			is.NoErr(err)
			var s script
			for n, line := range strings.Split(string(text), "\n") {
				words := strings.Fields(line)
				if len(words) == 0 || words[0] == "#" {
					continue
				}
				if words[0] == ">" {
					if got, want := strings.Join(s.out, " "), strings.Join(words[1:], " "); got != want {
						t.Fatalf("line %d: got %q, want %q", n+1, got, want)
					}
					s.out = nil
					continue
				}
				is.NoErr(s.run(words))
			}
		})
	}
}

// run executes one command.
func (s *script) run(words []string) error {
	number := func(i int) int {
		n, err := strconv.Atoi(words[i])
		if err != nil {
			panic(err)
		}
		return n
	}
	switch words[0] {
	case "queue":
		s.queue = admission.NewQueue[string](number(1), admission.WithShare(number(2)))
	case "add":
		terms := admission.Terms{Priority: uint8(number(2)), Until: time.Duration(number(3)) * ms}
		displaced, ok := s.queue.Add(words[1], terms)
		for _, name := range displaced {
			s.out = append(s.out, "displaced", name)
		}
		if !ok {
			s.out = append(s.out, "full")
		}
	case "next":
		for range number(1) {
			name, ok := s.queue.Next()
			if !ok {
				name = "-"
			}
			s.out = append(s.out, name)
		}
	case "pass":
		s.out = append(s.out, map[bool]string{true: "pass", false: "due"}[s.queue.Pass(uint8(number(1)))])
	case "unreachable":
		wait := func(priority uint8, n int) time.Duration { return s.load.WaitFor(s.now, priority, n) }
		names := s.queue.Unreachable(s.now, wait)
		if len(names) == 0 {
			names = []string{"-"}
		}
		s.out = append(s.out, names...)
	case "rounds":
		for range number(1) {
			s.now += time.Duration(number(2)) * ms
			for range s.load.Slots() {
				s.load.End(s.now, uint8(number(3)), true)
				s.load.Begin(s.now, nil, uint8(number(3)))
			}
		}
	case "expired":
		s.out = append(s.out, s.queue.Expired(s.now)...)
	case "slots":
		s.load.SetSlots(s.now, number(1))
	case "wait":
		s.now += time.Duration(number(1)) * ms
	case "begin":
		for range number(2) {
			s.load.Begin(s.now, nil, uint8(number(1)))
		}
	case "end":
		for range number(2) {
			s.load.End(s.now, uint8(number(1)), true)
		}
	case "room":
		s.out = append(s.out, map[bool]string{true: "room", false: "no-room"}[s.load.HasRoomFor(s.now, uint8(number(1)))])
	default:
		return fmt.Errorf("unknown command %q", words[0])
	}
	return nil
}
