package fleet

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/hex"
	"fmt"
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
	"hickoryhook.example/pkg/relay"
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

// newScriptedStore returns the address of a store that answers reads of a range with pages, and
// watches with events, both encoded.
func newScriptedStore(t *testing.T, page, events func() string) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body := page()
		if req.URL.Path == "/kv-watch" {
			body = events()
		}
		_, _ = w.Write([]byte(body)) // the client may have closed the connection
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// TestOddEventIsFollowed guards against an entry that stops following the operators' keys because
// of one event that cannot be read, and against one that misses what the event was about: it
// may be a request for an evacuation, or a configuration under which flows were placed.
func TestOddEventIsFollowed(t *testing.T) {
	item := func(key, value string) string {
		return fmt.Sprintf(`{"key":%q,"value":%q,"rev":8}`, key, base64.StdEncoding.EncodeToString([]byte(value)))
	}
	for _, odd := range []string{`null`, `7`, `{"key":1e400}`, `{"value":"%"}`, strings.Repeat("[", 20000) + strings.Repeat("]", 20000)} {
		t.Run(odd[:min(20, len(odd))], func(t *testing.T) {
			is := is.New(t)
			page := `{"items":[` + item(platform.ConfigKey, `{"version":7}`) + `],"as-of":7}`
			c, _ := newTestConfigSync(t, kvstandin.New(), &countingPort{})
			c.eras = newEraSignal()
			c.store = platform.NewStore(newScriptedStore(t, func() string { return page }, func() string {
				return `{"events":[` + odd + `,` + item(platform.ConfigKey, `{"version":9}`) + `],"as-of":9}`
			}))
			is.NoErr(c.watchOnce(context.Background()))
			c.director.MergeHolders(nil, 7)
			page = `{"items":[` + item(platform.ConfigKey, `{"version":9}`) + `,` + item("op/evacuate/graz-nord", "") + `],"as-of":9}`
			is.NoErr(c.watchOnce(context.Background()))
			is.Equal(c.director.Config().Version(), uint64(9))
			is.Equal(c.evacuations.message().Domains, []string{"graz-nord"})
			is.Equal(c.director.HoldersThrough(), uint64(7))
			after, _ := c.watchedUntil()
			is.Equal(after.Number, uint64(9))
		})
	}
}

// TestOddKeyIsNotMissing guards against a key of the store that cannot be read and is taken for
// one that does not exist: the list of agents, the flow holders, or a request for an evacuation.
func TestOddKeyIsNotMissing(t *testing.T) {
	is := is.New(t)
	config := `{"key":"op/config","value":"` + base64.StdEncoding.EncodeToString([]byte(`{"version":7}`)) + `"}`
	page := `{"items":[{"key":"op/evacuate/graz-nord"},` + config + `],"as-of":7}`
	c, _ := newTestConfigSync(t, kvstandin.New(), &countingPort{})
	c.store = platform.NewStore(newScriptedStore(t, func() string { return page }, func() string { return "" }))
	is.NoErr(c.read(context.Background()))
	page = `{"items":[{"key":7},` + config + `],"as-of":8}`
	is.NoErr(c.read(context.Background()))
	is.Equal(c.evacuations.message().Domains, []string{"graz-nord"})

	page = `{"items":[{"key":7},{"key":"hickoryhook/entry/10.0.0.9","value":"YQ=="}],"as-of":8}`
	r, err := c.readRegistry(context.Background(), false)
	is.NoErr(err)
	is.Equal(r.entries, []peer.Addr{{10, 0, 0, 9}})
	is.True(r.agentsUnknown)
	e := &Entry{process: c.process, director: c.director, config: c}
	e.completeHolders(context.Background(), r)
	is.True(!c.director.HoldersComplete())
}

// TestOddIDKeepsReportsReadable guards against an agent that disappears for all entries because
// of one heartbeat: an id that is not UTF-8 makes each of its reports unreadable.
func TestOddIDKeepsReportsReadable(t *testing.T) {
	is := is.New(t)
	p, _ := newLoggedProcess()
	a := &Agent{process: p}
	a.relay = relay.New(peer.Addr{10, 0, 0, 1}, peer.Service("maklerlink"), p.codec, a)
	body := heartbeatBody(nil)
	odd := heartbeat(a, "i-%ff", body)
	report, err := peer.Encode(peer.Report, a.status())
	is.NoErr(err)
	var status peer.Status
	is.NoErr(peer.DecodeMessage(report, &status))
	is.Equal(odd, http.StatusBadRequest)
	is.Equal(heartbeat(a, "i-1", body), http.StatusOK)
	is.Equal(a.status().Upstream, "i-1")
}
