package fleet

import (
	"bytes"
	"context"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/internal/kvstandin"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

var repetition = regexp.MustCompile(`([\[\]])\*(\d+)`)

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

// expandJSON replaces each X*N in a value by N times X, for a bracket X, and \xff by the byte.
func expandJSON(text string) []byte {
	text = repetition.ReplaceAllStringFunc(text, func(s string) string {
		n, _ := strconv.Atoi(s[2:]) // digits only
		return strings.Repeat(s[:1], n)
	})
	return []byte(strings.ReplaceAll(text, `\xff`, "\xff"))
}

// formatHolders returns flow holders as in "198.18.0.1:443=a,b 198.18.0.2:80=c".
func formatHolders(holders map[netip.AddrPort][]string) string {
	var parts []string
	for vip, services := range holders {
		parts = append(parts, vip.String()+"="+strings.Join(services, ","))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
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

// TestOddEntryInFlowHolders guards against a record of flow holders that is lost as a whole
// because of one entry that cannot be used, and against one that proves resets without it. It
// must not keep the entry unsettled for good either: flows end, and then it is written again.
func TestOddEntryInFlowHolders(t *testing.T) {
	for _, row := range readTable(t, "flow-holders.txt") {
		t.Run(row[0], func(t *testing.T) {
			is := is.New(t)
			through, err := strconv.ParseUint(row[3], 10, 64)
			is.NoErr(err)
			c, _ := newTestConfigSync(t, kvstandin.New(), &countingPort{})
			e := &Entry{process: c.process, director: c.director, config: c}
			is.NoErr(c.apply([]byte(`{"version":7}`), "test", 0))
			var r registry
			e.addRegistryItem(&r, platform.Item{Key: holdersKey, Value: expandJSON(row[1])})
			e.completeHolders(context.Background(), r)
			is.Equal(formatHolders(c.director.Holders()), row[2])
			is.Equal(c.director.HoldersThrough(), through)
			is.Equal(c.director.HoldersComplete(), through == 7)
			for now := time.Duration(0); now < 80*time.Second; now += time.Second {
				c.director.Tick(now, 100*time.Millisecond)
			}
			is.True(c.director.HoldersComplete())
		})
	}
}

// TestUnreadableHoldersAreNoFirstStart guards against resets of living flows by entries that
// restart together: a record in the store whose value cannot be read is not a missing one.
func TestUnreadableHoldersAreNoFirstStart(t *testing.T) {
	for _, key := range []string{holdersKey, oldHoldersKey} {
		is := is.New(t)
		c, _ := newTestConfigSync(t, kvstandin.New(), &countingPort{})
		e := &Entry{process: c.process, director: c.director, config: c}
		is.NoErr(c.apply([]byte(`{"version":7}`), "test", 0))
		var r registry
		e.addRegistryItem(&r, platform.Item{Key: key})
		e.completeHolders(context.Background(), r)
		is.True(!c.director.HoldersComplete())
	}
}

// TestOddEntryInRegistrations guards against registrations of another entry that are lost as a
// whole because of one part that cannot be used, and against those that prove resets without it.
func TestOddEntryInRegistrations(t *testing.T) {
	for _, row := range readTable(t, "registrations.txt") {
		t.Run(row[0], func(t *testing.T) {
			is := is.New(t)
			through, err := strconv.ParseUint(row[4], 10, 64)
			is.NoErr(err)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				body := expandJSON(row[1])
				if req.URL.Path == configPath {
					body = []byte(`{"version":5}`)
				}
				_, err := w.Write(body)
				is.NoErr(err)
			}))
			defer server.Close()
			address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
			c, _ := newTestConfigSync(t, kvstandin.New(), &countingPort{})
			c.settings = &platform.Settings{PeerPort: address.Port() - 1}
			e := &Entry{process: c.process, director: c.director, config: c}
			registered, complete := e.fetchRegistrationsFrom(peer.NewAddr(address.Addr()))
			var agents []string
			for _, a := range registered {
				agents = append(agents, a.String())
			}
			is.Equal(strings.Join(agents, " "), row[2])
			is.Equal(formatHolders(c.director.Holders()), row[3])
			is.Equal(c.director.HoldersThrough(), through)
			is.Equal(complete, row[5] == "yes")
		})
	}
}

// TestOddEntryInSavedFlows guards against saved flows that are lost as a whole because of one
// group that cannot be used, or because the part before them cannot be read: after a loss of
// power their callers would wait in vain.
func TestOddEntryInSavedFlows(t *testing.T) {
	const (
		good  = "85 46c6120001bb01 440a000002 09 03 4a644000079c410000004d"
		added = "81 85 46c6120001bb01 440a000002 09 03 4a644000079c420000004d"
	)
	for _, row := range readTable(t, "saved-flows.txt") {
		t.Run(row[0], func(t *testing.T) {
			is := is.New(t)
			want, err := strconv.Atoi(row[2])
			is.NoErr(err)
			store := kvstandin.New()
			c, _ := newTestConfigSync(t, store, &countingPort{})
			e := &Entry{process: c.process, director: c.director, config: c}
			store.Set(flowsKey(e.self, wholePart), parseHex(t, strings.ReplaceAll(row[1], "good", good)))
			store.Set(flowsKey(e.self, addedPart), parseHex(t, added))
			_ = e.restoreFlows(context.Background()) // reports what cannot be read
			is.Equal(e.director.Flows(), want+1)
		})
	}
}
