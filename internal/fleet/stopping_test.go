package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/kvstandin"
	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/platform"
)

// testWait bounds a wait for something that usually takes milliseconds.
const testWait = 10 * time.Second

// newTestProcess returns a process without sockets that was started a minute ago, and its
// store behind the handler that wrap returns.
func newTestProcess(t *testing.T, wrap func(http.Handler) http.Handler) (*process, *kvstandin.Store) {
	t.Helper()
	standIn := kvstandin.New()
	server := httptest.NewServer(wrap(standIn))
	t.Cleanup(server.Close)
	p := &process{
		settings: &platform.Settings{}, log: zap.NewNop(), self: peer.Addr{10, 0, 0, 2}, started: time.Now().Add(-time.Minute),
		eras: newEraSignal(), entries: newEntrySet(entryTimeout),
		store: platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))),
	}
	return p, standIn
}

// TestRegistrationKeepsItsLease covers a store that loses the response to the write of a
// registration. The write may be applied later, so its lease must be renewed: otherwise its
// end deletes the key of an entry that runs.
func TestRegistrationKeepsItsLease(t *testing.T) {
	is := is.New(t)
	fails := true
	p, standIn := newTestProcess(t, func(store http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if fails && strings.HasSuffix(req.URL.Path, "/kv-txn") {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			store.ServeHTTP(w, req)
		})
	})
	var r registration
	is.True(p.renew(context.Background(), &r) != nil)
	lease := r.lease
	is.True(lease != platform.Lease{})
	fails = false
	is.NoErr(p.renew(context.Background(), &r))
	is.Equal(r.lease, lease)
	is.Equal(standIn.Calls()["kv-lease"], 1)
	_, found := standIn.Get(entryPrefix + p.self.String())
	is.True(found)
	is.NoErr(p.renew(context.Background(), &r))
	is.Equal(standIn.Calls()["kv-txn"], 1) // a registration that is written is not written again
}

// TestEntryDoesNotReturnByLateHello covers a hello message that arrives after the goodbye
// message of its sender: the entry would count as alive for 1.3 s and do its work for all.
func TestEntryDoesNotReturnByLateHello(t *testing.T) {
	is := is.New(t)
	entries, entry := newEntrySet(entryTimeout), peer.Addr{10, 0, 0, 1}
	entries.recordHello(time.Second, entry, peer.HelloMessage{Incarnation: 5})
	entries.markStopped(entry)
	entries.markStopped(entry) // duplicated
	is.True(!entries.recordHello(time.Second, entry, peer.HelloMessage{Incarnation: 5}))
	is.Equal(len(entries.alive(time.Second)), 0)
	is.True(entries.recordHello(time.Second, entry, peer.HelloMessage{Incarnation: 6})) // its next start
	is.Equal(entries.alive(time.Second), []peer.Addr{entry})
}

// TestCollectorDropsOutdatedFlows covers a collector that is paused: when it resumes, the
// entries whose flows it holds have written newer ones through another collector, which the
// old ones must not replace.
func TestCollectorDropsOutdatedFlows(t *testing.T) {
	is := is.New(t)
	p, standIn := newTestProcess(t, func(store http.Handler) http.Handler { return store })
	c, entry := newFlowCollector(p), peer.Addr{10, 0, 0, 3}
	c.batch = &flowBatch{begun: time.Now().Add(-time.Minute), values: map[string][]byte{flowsKey(entry, wholePart): []byte("old")}, written: make(chan struct{})}
	batch := c.batch
	c.started <- struct{}{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.run(ctx) }()
	<-batch.written
	is.Equal(batch.err, errBatchOutdated)
	is.Equal(standIn.Calls()["kv-txn"], 0)
	cancel()
	is.NoErr(<-ended)
}

// newCompleteConfigSync returns a configSync of an entry that knows the agents, none, and all
// flow holders through version 1.
func newCompleteConfigSync(t *testing.T) (*configSync, *kvstandin.Store) {
	t.Helper()
	p, standIn := newTestProcess(t, func(store http.Handler) http.Handler { return store })
	d := director.New(p.self, p.codec, nil)
	d.MergeHolders(nil, 1)
	d.SetRegistered(0, nil)
	return newConfigSync(p, d, func() {}, func([]string) {}), standIn
}

// TestOutdatedEntryKeepsRecord guards against an entry of rank 0 that was paused or cut off from
// the store, and replaces a record of flow holders that covers newer versions than its own.
func TestOutdatedEntryKeepsRecord(t *testing.T) {
	is := is.New(t)
	c, standIn := newCompleteConfigSync(t)
	c.putInForce(route.New(1, nil), nil, "test", 0)
	c.requestHoldersWrite()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.writeHolders(ctx) }()
	time.Sleep(2 * holdersWriteInterval)
	is.Equal(standIn.Calls()["kv-txn"], 0) // the configuration was not verified
	found := false
	for end := time.Now().Add(testWait); !found && time.Now().Before(end); time.Sleep(reportInterval) {
		c.director.MarkVerified(c.now())
		_, found = standIn.Get(holdersKey)
	}
	is.True(found)
	cancel()
	is.NoErr(<-ended)
}

// TestNextEntryWritesHolders covers an entry of rank 0 that ends before it has written flow
// holders. The next one has dropped the request, and must write them when it has rank 0: with
// an incomplete record a starting entry resets flows that upstreams hold.
func TestNextEntryWritesHolders(t *testing.T) {
	is := is.New(t)
	c, standIn := newCompleteConfigSync(t)
	first := peer.Addr{10, 0, 0, 1}
	c.entries.recordHello(c.now(), first, peer.HelloMessage{Incarnation: 1})
	vip := netip.MustParseAddrPort("198.18.0.1:443")
	c.putInForce(route.New(1, []route.Route{{VIP: vip, Shares: []route.Share{{Service: "maklerlink", Weight: 1}}}}), nil, "test", 0)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.writeHolders(ctx) }()
	time.Sleep(2 * reportInterval)
	is.Equal(len(c.holdersPending), 0)
	_, found := standIn.Get(holdersKey)
	is.True(!found) // while another entry has rank 0
	for end := time.Now().Add(testWait); !found && time.Now().Before(end); time.Sleep(reportInterval) {
		c.director.MarkVerified(c.now())   // as an entry does that reads the configuration each second
		_, found = standIn.Get(holdersKey) // the first one has been silent for entryTimeout
	}
	is.True(found)
	time.Sleep(3 * holdersWriteInterval)
	is.Equal(standIn.Calls()["kv-txn"], 1) // once
	cancel()
	is.NoErr(<-ended)
}

// TestAcceptedCallIsAnsweredAtStop covers a process that stops while it handles an HTTP call,
// such as a heartbeat: the call must be answered, and must not delay the end for long.
func TestAcceptedCallIsAnsweredAtStop(t *testing.T) {
	for _, c := range []struct {
		name     string
		takes    time.Duration
		answered bool
	}{
		{"a usual call", 30 * time.Millisecond, true},
		{"a call that hangs", time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			ctx, cancel := context.WithCancel(context.Background())
			server := &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				cancel() // the stop begins during the call
				sleep(req.Context(), c.takes)
				writeJSON(w, struct{}{})
			})}
			ended := make(chan error, 1)
			go func() { ended <- serveHTTP(ctx, server, listener) }()
			begin := time.Now()
			resp, err := http.Get("http://" + listener.Addr().String())
			is.Equal(err == nil, c.answered)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				is.NoErr(resp.Body.Close())
			}
			is.NoErr(<-ended)
			is.True(time.Since(begin) < testWait)
		})
	}
}
