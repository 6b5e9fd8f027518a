package fleet

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/internal/kvstandin"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

// TestCollectorOfTerm covers the choice of the entry that writes the saved flows of its
// failure domain: all entries agree on it, whatever their order, and it goes round.
func TestCollectorOfTerm(t *testing.T) {
	is := is.New(t)
	entries := testAddrs(14)
	reversed := make([]peer.Addr, 0, len(entries))
	for i := range entries {
		reversed = append(reversed, entries[len(entries)-1-i])
	}
	collectors := make(map[peer.Addr]int)
	const terms = 1000
	for term := range uint64(terms) {
		first, second := chooseCollector(entries, term, 0), chooseCollector(entries, term, 1)
		is.Equal(first, chooseCollector(reversed, term, 0))
		is.True(first != second)                                   // tried next if the store does not answer the first
		is.Equal(first, chooseCollector(entries, term, 2))         // and then the first again
		is.Equal(first, chooseCollector([]peer.Addr{first}, 7, 1)) // alone
		collectors[first]++
	}
	is.Equal(len(collectors), len(entries))
	for _, n := range collectors {
		is.True(n < 2*terms/len(entries))
	}
}

// TestEntriesWriteInTurnInNewEra covers the writes with which a fleet restores what a store
// has lost: they must leave room in the store's rate, and be over within 2 s.
func TestEntriesWriteInTurnInNewEra(t *testing.T) {
	for _, c := range []struct {
		name            string
		rank            int
		writesPerSecond float64
		want            time.Duration
	}{
		{"first", 0, 400, 0},
		{"small fleet", 4, 400, 60 * time.Millisecond},
		{"59 entries", 58, 3200, 108750 * time.Microsecond},
		{"a large fleet at a slow store", 499, 400, maxEraSpread},
		{"no limit known", 58, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(eraSpread(c.rank, c.writesPerSecond), c.want)
		})
	}
}

// TestCollectorWritesFlowsOfManyEntriesAtOnce covers the calls to the store of a large fleet:
// they must not grow with the number of entries. If the store fails, each entry must know.
func TestCollectorWritesFlowsOfManyEntriesAtOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries int
		fault   kvstandin.Fault
		calls   int
	}{
		{"a domain", 14, kvstandin.Healthy, 1},
		{"more than fit into a transaction", maxTxnWrites + 8, kvstandin.Healthy, 2},
		{"the store rejects calls", 14, kvstandin.Busy, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			standIn := kvstandin.New()
			server := httptest.NewServer(standIn)
			defer server.Close()
			store := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
			collector := newFlowCollector(&process{store: store})
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- collector.run(ctx) }()

			standIn.SetFault(c.fault)
			entries := testAddrs(c.entries)
			results := make(chan error, len(entries))
			for _, e := range entries {
				go func() {
					_, err := collector.add(ctx, flowsKey(e, wholePart), []byte("flows of "+e.String()))
					results <- err
				}()
			}
			for range entries {
				is.Equal(<-results != nil, c.fault != kvstandin.Healthy)
			}
			is.Equal(standIn.Calls()["kv-txn"], c.calls)
			for _, e := range entries {
				_, found := standIn.Get(flowsPrefix + e.String())
				is.Equal(found, c.fault == kvstandin.Healthy)
			}
			cancel()
			is.NoErr(<-ended)
		})
	}
}
