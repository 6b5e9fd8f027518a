package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/internal/kvstandin"
	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

var confirmedAgent = peer.Addr{10, 0, 0, 9}

// confirmSite is a configSync whose configuration, version 7, has one route, and its store.
type confirmSite struct {
	*configSync
	t     *testing.T
	store *kvstandin.Store
	port  *searchPort
	flow  segment.Flow
}

// searchPort keeps the last frame of a director.
type searchPort struct {
	countingPort
	last peer.Frame
}

func (p *searchPort) ToProcess(_ peer.Addr, datagram []byte) {
	if err := p.last.Decode(append([]byte(nil), datagram...)); err != nil {
		panic(err)
	}
}

func newConfirmSite(t *testing.T) *confirmSite {
	t.Helper()
	is := is.New(t)
	s := &confirmSite{t: t, store: kvstandin.New(), port: &searchPort{}}
	s.store.Set(platform.ConfigKey, []byte(`{"version":7,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"maklerlink"}]}`))
	s.configSync, _ = newTestConfigSync(t, s.store, s.port)
	s.started = time.Now().Add(-time.Minute)
	is.NoErr(s.read(context.Background()))
	s.flow = segment.NewFlow(netip.MustParseAddrPort("100.64.0.7:1001"), netip.MustParseAddrPort("198.18.0.1:443"))
	s.director.MergeHolders(nil, 7)
	s.director.SetRegistered(0, []peer.Addr{confirmedAgent})
	s.director.HandleReport(s.now(), confirmedAgent, peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink", Upstream: "u", Slots: 2})
	return s
}

// awaits reports whether the reset of a flow without an owner waits.
func (s *confirmSite) awaits() bool {
	unheld, _ := s.director.AwaitsVerification()
	return unheld
}

// findNobody passes a packet of an open flow, which the only agent returns.
func (s *confirmSite) findNobody() {
	s.t.Helper()
	is := is.New(s.t)
	packet := platform.EncodePacket(segment.Header{Flow: s.flow, Flags: segment.Ack, Acknowledged: 900001}, false)
	is.NoErr(s.director.HandleCallerPacket(s.now(), packet))
	f := s.port.last
	f.OriginalKind, f.Kind, f.Hop, f.Packet = f.Kind, peer.Returned, len(f.Candidates), packet
	is.NoErr(s.director.HandleAgentDatagram(s.now(), confirmedAgent, f.Append(nil)))
	is.True(s.awaits())
}

// TestHelloMessageProvesNoReset guards against the reset of a living flow that rests on the word
// of another entry: its message may have been under way since before the flow was opened.
func TestHelloMessageProvesNoReset(t *testing.T) {
	is := is.New(t)
	s := newConfirmSite(t)
	s.findNobody()
	time.Sleep(2 * maxHelloLatency)
	s.handleHello(peer.Addr{10, 0, 0, 3}, peer.HelloMessage{ConfigVersion: 7, ReadAgo: 1, StoreEra: s.configSync.store.Era()})
	s.director.ResetVerified(s.now())
	is.Equal(s.port.resets, 0)
	is.NoErr(s.read(context.Background()))
	s.director.ResetVerified(s.now())
	is.Equal(s.port.resets, 1)
}

// TestConfirmationReadsConfiguration covers the call to the store for resets that wait: it is one
// read, which puts what has changed in force before the resets are sent.
func TestConfirmationReadsConfiguration(t *testing.T) {
	is := is.New(t)
	s := newConfirmSite(t)
	confirm := func(store map[string]int) {
		t.Helper()
		before := s.store.Calls()
		s.confirmForResets(context.Background())
		for name, n := range s.store.Calls() {
			is.Equal(n-before[name], store[name])
		}
	}
	s.findNobody()
	confirm(map[string]int{"kv-range": 1})
	is.Equal(s.port.resets, 1)
	s.findNobody()
	s.store.Set(platform.ConfigKey, []byte(`{"version":9,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"exposeserver"}]}`))
	s.director.HandleReport(s.now(), peer.Addr{10, 0, 0, 8}, peer.Status{Incarnation: 1, Sequence: 1, Service: "exposeserver", Upstream: "v", Slots: 2})
	confirm(map[string]int{"kv-range": 1, "kv-watch": 1}) // the versions before it are asked for
	is.Equal(s.director.Config().Version(), uint64(9))
	is.Equal(s.port.resets, 1) // the flow may be at the service that the new version names
	is.True(!s.awaits())
	s.store.Compact()
	s.store.Set("op/evacuate/graz-nord", []byte("{}"))
	s.findNobodyAgain()
	is.NoErr(s.read(context.Background())) // of all keys, with the evacuation
	is.Equal(s.evacuations.message().Domains, []string{"graz-nord"})
}

// TestUnseenChangeConfirmsNothing guards against the reset of a living flow that was placed under a
// configuration which the watches miss: for a second before the store drops its history, a watch
// returns no events although there are changes.
func TestUnseenChangeConfirmsNothing(t *testing.T) {
	is := is.New(t)
	s := newConfirmSite(t)
	s.findNobody()
	s.store.SetUnseen(platform.ConfigKey, []byte(`{"version":9,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"exposeserver"}]}`))
	s.director.HandleReport(s.now(), peer.Addr{10, 0, 0, 8}, peer.Status{Incarnation: 1, Sequence: 1, Service: "exposeserver", Upstream: "v", Slots: 2})
	s.confirmForResets(context.Background())
	is.Equal(s.port.resets, 0)
	is.Equal(s.director.Config().Version(), uint64(9))
}

// TestOlderConfigurationConfirmsNothing covers a store that has come back from an older copy while
// another entry has sent a newer configuration: what the store has verifies nothing.
func TestOlderConfigurationConfirmsNothing(t *testing.T) {
	is := is.New(t)
	s := newConfirmSite(t)
	is.NoErr(s.apply([]byte(`{"version":11,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"maklerlink"}]}`), "10.0.0.3", 7))
	s.findNobody()
	s.confirmForResets(context.Background())
	is.Equal(s.port.resets, 0)
}

// findNobodyAgain passes the next packet of the flow.
func (s *confirmSite) findNobodyAgain() {
	packet := platform.EncodePacket(segment.Header{Flow: s.flow, Flags: segment.Ack, Acknowledged: 900001}, false)
	is.New(s.t).NoErr(s.director.HandleCallerPacket(s.now(), packet))
}

// TestStoreThatDoesNotAnswerProvesNothing guards against a reset whose verification has failed, a
// reset that waits without another attempt, and calls for requests that nothing waits for.
func TestStoreThatDoesNotAnswerProvesNothing(t *testing.T) {
	is := is.New(t)
	s := newConfirmSite(t)
	ctx := context.Background()
	is.Equal(s.confirmForResets(ctx), time.Duration(0))
	is.Equal(s.store.Calls()["kv-watch"], 0)
	s.findNobody()
	s.store.SetFault(kvstandin.Busy)
	is.Equal(s.confirmForResets(ctx), confirmRetryDelay)
	is.Equal(s.port.resets, 0)
	is.Equal(len(s.confirmWanted), 1)
	<-s.confirmWanted
	s.store.SetFault(kvstandin.Healthy)
	is.Equal(s.confirmForResets(ctx), confirmInterval)
	is.Equal(s.port.resets, 1)
	is.Equal(len(s.confirmWanted), 0)
}

// TestWaitingResetRequestsConfirmation covers an entry whose search finds no owner, and which has
// verified the configuration shortly before: it must not wait for the next periodic read.
func TestWaitingResetRequestsConfirmation(t *testing.T) {
	is := is.New(t)
	s := newConfirmSite(t)
	e := &Entry{process: s.process, config: s.configSync}
	e.RecordDecision(director.Decision{Event: director.OwnerUnverified})
	is.Equal(len(s.confirmWanted), 1)
}

// TestEncodedFormIsThatOfConfigurationInForce guards against an entry that hands out an older
// configuration than the one in force: two have come at once, and the encoded form of the older one
// is kept last.
func TestEncodedFormIsThatOfConfigurationInForce(t *testing.T) {
	is := is.New(t)
	s := newConfirmSite(t)
	fetch := func() (int, string) {
		w := httptest.NewRecorder()
		s.handler(nil).ServeHTTP(w, httptest.NewRequest(http.MethodGet, configPath, nil))
		return w.Code, w.Body.String()
	}
	older, newer := route.New(8, nil), route.New(9, nil)
	s.director.SetNextConfig(older, 7)
	s.director.SetNextConfig(newer, 8)
	code, _ := fetch() // neither is kept: the one of version 7 is not handed out
	is.Equal(code, http.StatusNotFound)
	s.keepEncoded(newer, []byte("newer"))
	s.keepEncoded(older, []byte("older"))
	code, body := fetch()
	is.Equal(code, http.StatusOK)
	is.Equal(body, "newer")
}

// TestVerificationIsNotPassedOn guards against entries that take the word of each other for the
// newest configuration while none of them reads the store: each message may be under way for longer
// than assumed, so that a verification at second hand grows younger on each way.
func TestVerificationIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	s := newConfirmSite(t)
	s.director.MarkUnverified()
	hello := peer.HelloMessage{ConfigVersion: 7, VerifiedAgo: 20, ReadAgo: 20, StoreEra: s.configSync.store.Era()}
	s.handleHello(peer.Addr{10, 0, 0, 3}, hello)
	ago, ok := s.director.VerifiedAgo(s.now())
	is.True(ok && ago < time.Second) // so that this entry does not read, too
	var own peer.HelloMessage
	s.describe(s.now(), &own)
	is.Equal(own.VerifiedAgo, int64(neverVerified))
	is.Equal(own.ReadAgo, int64(0))

	s.director.MarkUnverified()
	hello.ReadAgo = 0 // of a build whose word may rest on others
	s.handleHello(peer.Addr{10, 0, 0, 3}, hello)
	_, ok = s.director.VerifiedAgo(s.now())
	is.True(!ok)
	is.NoErr(s.read(context.Background()))
	s.describe(s.now(), &own)
	is.True(own.ReadAgo > 0)
}
