package fleet

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/platform"
)

// readTable returns the lines of a file in testdata, split into their columns.
func readTable(t *testing.T, name string) [][]string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	var rows [][]string
	for line := range strings.Lines(string(b)) {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		columns := strings.Split(line, "|")
		for i := range columns {
			columns[i] = strings.TrimSpace(columns[i])
		}
		rows = append(rows, columns)
	}
	return rows
}

// parseHex parses a value in hexadecimal with repetitions, as in "82 81*9 00".
func parseHex(t *testing.T, text string) []byte {
	t.Helper()
	value := []byte{}
	for _, word := range strings.Fields(text) {
		digits, times, repeated := strings.Cut(word, "*")
		n := 1
		b, err := hex.DecodeString(digits)
		if err == nil && repeated {
			n, err = strconv.Atoi(times)
		}
		if err != nil {
			t.Fatal(text, err)
		}
		value = append(value, bytes.Repeat(b, n)...)
	}
	return value
}

// TestOddEntryInListOfAgents guards against a list of agents that is lost as a whole because of
// one entry that cannot be used, and against one that seems complete without that entry.
func TestOddEntryInListOfAgents(t *testing.T) {
	for _, row := range readTable(t, "agent-lists.txt") {
		t.Run(row[0], func(t *testing.T) {
			is := is.New(t)
			p, _ := newLoggedProcess()
			var r registry
			p.addRegistryItem(&r, platform.Item{Key: agentsKey, Value: parseHex(t, row[1])})
			var agents []string
			for _, a := range r.agents {
				agents = append(agents, a.String())
			}
			is.Equal(strings.Join(agents, " "), row[2])
			is.Equal(r.agentsUnknown, row[3] != "0")
		})
	}
}
