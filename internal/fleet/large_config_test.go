package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hickoryhook.example/internal/kvstandin"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

type (
	// handlerTransport carries calls to a handler, without a network.
	handlerTransport struct{ http.Handler }

	// largeSite is a configSync with a large configuration, version 7, and its store.
	largeSite struct {
		*configSync
		is    *is.I
		store *kvstandin.Store
	}
)

// RoundTrip implements http.RoundTripper.
func (h handlerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, req)
	return rec.Result(), nil
}

// largeConfig returns a configuration with many routes.
func largeConfig(version int) []byte {
	var routes []string
	for n := range 300 {
		routes = append(routes, fmt.Sprintf(`{"host":"198.18.1.%d","prefix":"/%d/","service":"maklerlink"}`, n%250, 80+n))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s]}`, version, strings.Join(routes, ","))
}

// newLargeSite returns a site whose entry has read the configuration.
func newLargeSite(t *testing.T) *largeSite {
	t.Helper()
	s := &largeSite{is: is.New(t), store: kvstandin.New()}
	s.store.Set(platform.ConfigKey, largeConfig(7))
	s.configSync, _ = newTestConfigSync(t, s.store, nil)
	s.started = s.started.Add(-2 * peerAnswerTime)
	s.is.NoErr(s.read(context.Background()))
	return s
}

// calls returns how many calls of each kind f makes.
func (s *largeSite) calls(f func()) map[string]int {
	before := s.store.Calls()
	f()
	calls := s.store.Calls()
	for name, n := range before {
		if calls[name] -= n; calls[name] == 0 {
			delete(calls, name)
		}
	}
	return calls
}

// verify reads the configuration again and returns the calls.
func (s *largeSite) verify() map[string]int {
	return s.calls(func() { s.is.NoErr(s.read(context.Background())) })
}

// version returns the version in force.
func (s *largeSite) version() uint64 { return s.director.Config().Version() }

// TestUnchangedLargeConfigurationIsNotReadAgain guards against verifications that fill the link: an
// entry asks only whether a large configuration has changed, and that verifies it.
func TestUnchangedLargeConfigurationIsNotReadAgain(t *testing.T) {
	s := newLargeSite(t)
	s.handleNewEra() // makes the verification void
	s.is.Equal(s.verify(), map[string]int{"kv-range": 1, "kv-txn": 1})
	_, verified := s.director.ConfirmedAgo(s.now())
	s.is.True(verified)
}

// TestSmallConfigurationIsReadInOneCall covers a configuration for which a second call costs more than
// its transfer.
func TestSmallConfigurationIsReadInOneCall(t *testing.T) {
	s := newLargeSite(t)
	s.store.Set(platform.ConfigKey, []byte(`{"version":8}`))
	s.is.NoErr(s.read(context.Background()))
	s.is.Equal(s.verify(), map[string]int{"kv-range": 1})
	s.is.Equal(s.version(), uint64(8))
}

// TestChangedLargeConfigurationIsPutInForce covers changes that no watch has told of.
func TestChangedLargeConfigurationIsPutInForce(t *testing.T) {
	s := newLargeSite(t)
	for version := 8; version < 11; version++ {
		s.store.SetUnseen(platform.ConfigKey, largeConfig(version))
		s.is.Equal(s.verify()["kv-txn"], 1)
		s.is.Equal(s.version(), uint64(version))
	}
	s.store.DeleteUnseen(platform.ConfigKey)
	s.is.True(errors.Is(s.read(context.Background()), platform.ErrNotFound))
}

// TestEvacuationBesideUnchangedConfiguration guards against a request for an evacuation that is not
// seen, as the configuration is not read with it.
func TestEvacuationBesideUnchangedConfiguration(t *testing.T) {
	s := newLargeSite(t)
	s.store.SetUnseen("op/evacuate/graz-nord", []byte("{}"))
	s.is.Equal(s.verify()["kv-txn"], 1)
	s.is.Equal(s.evacuations.message().Domains, []string{"graz-nord"})
}

// TestRevisionOfEndedEraIsNotUsed guards against an old configuration that stays in force after a
// restore of the store, which gives out its revision again.
func TestRevisionOfEndedEraIsNotUsed(t *testing.T) {
	s := newLargeSite(t)
	s.store.RestoreCopy(0)
	s.store.Set(platform.ConfigKey, largeConfig(9))
	_ = s.read(context.Background()) // shows the new era
	s.is.NoErr(s.read(context.Background()))
	s.is.Equal(s.version(), uint64(9))
}

// TestRestoreBetweenCallsOfRead guards against requests for evacuations of an ended era that are taken
// for those of the present one.
func TestRestoreBetweenCallsOfRead(t *testing.T) {
	s := newLargeSite(t)
	s.store.SetUnseen("op/evacuate/graz-nord", []byte("{}"))
	s.configSync.store = platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), platform.WithTransport(handlerTransport{
		http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if req.URL.Path == "/kv-txn" {
				s.store.RestoreCopy(0)
			}
			s.store.ServeHTTP(w, req)
		}),
	}))
	s.is.True(errors.Is(s.read(context.Background()), platform.ErrEraEnded))
	s.is.Equal(len(s.evacuations.message().Domains), 0)
}

// TestRevisionOfAnotherVersionIsNotUsed covers a newer version that another entry has sent without its
// revision: the one of the version before says nothing about it.
func TestRevisionOfAnotherVersionIsNotUsed(t *testing.T) {
	s := newLargeSite(t)
	s.store.SetUnseen(platform.ConfigKey, largeConfig(8))
	s.is.NoErr(s.apply(largeConfig(8), "10.0.0.2", 7))
	s.is.Equal(s.verify(), map[string]int{"kv-range": 1})
	s.is.Equal(s.verify(), map[string]int{"kv-range": 1, "kv-txn": 1})
}

// fetchFrom makes an entry without a configuration fetch that of the site, with changed responses.
func (s *largeSite) fetchFrom(t *testing.T, change func(req *http.Request, header http.Header)) *largeSite {
	t.Helper()
	other := &largeSite{is: s.is, store: s.store}
	other.configSync, _ = newTestConfigSync(t, s.store, nil)
	other.settings = &platform.Settings{}
	other.started = other.started.Add(-2 * peerAnswerTime)
	other.client.Transport = handlerTransport{http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		change(req, nil)
		rec := httptest.NewRecorder()
		s.handler(nil).ServeHTTP(rec, req)
		change(req, rec.Header())
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		_, _ = w.Write(rec.Body.Bytes()) // to a recorder
	})}
	other.fetch(context.Background(), peer.Addr{10, 0, 0, 2})
	return other
}

// TestConfigurationIsFetchedCompressed guards against fetches that take long on slow links: many
// entries fetch from one at a time. Builds that do not know compression get and send it without.
func TestConfigurationIsFetchedCompressed(t *testing.T) {
	s := newLargeSite(t)
	s.is.Equal(s.fetchFrom(t, func(_ *http.Request, h http.Header) {
		if h != nil {
			s.is.Equal(h.Get("Content-Encoding"), "gzip")
		}
	}).version(), uint64(7))
	compressed, err := s.encoded().compressed()
	s.is.NoErr(err)
	s.is.True(len(compressed) < len(largeConfig(7))/5)
	s.is.Equal(s.fetchFrom(t, func(req *http.Request, h http.Header) {
		req.Header.Del("Accept-Encoding")
		if h != nil {
			s.is.Equal(h.Get("Content-Encoding"), "")
		}
	}).version(), uint64(7))
}

// TestFetchedLargeConfigurationIsNotReadAgain guards against a read of a large configuration by each
// entry that has fetched it from another one.
func TestFetchedLargeConfigurationIsNotReadAgain(t *testing.T) {
	s := newLargeSite(t)
	other := s.fetchFrom(t, func(*http.Request, http.Header) {})
	s.is.Equal(other.verify(), map[string]int{"kv-range": 1, "kv-txn": 1})
	for _, header := range []string{"", "1", "1/x", "1/0"} {
		other = s.fetchFrom(t, func(_ *http.Request, h http.Header) {
			if h != nil {
				h.Set(revisionHeader, header)
			}
		})
		s.is.Equal(other.version(), uint64(7))
		s.is.Equal(other.verify(), map[string]int{"kv-range": 1})
	}
	other = s.fetchFrom(t, func(_ *http.Request, h http.Header) { // of another version
		if h != nil {
			h.Set(versionHeader, "8")
		}
	})
	s.is.Equal(other.verify(), map[string]int{"kv-range": 1})
}
