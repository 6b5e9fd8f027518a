package fleet_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/fleet"
	"hickoryhook.example/internal/kvstandin"
)

// registrations returns the body with which the entry on a host answers another entry that
// asks for its registrations, and false if it has none that are complete.
func (s *testSite) registrations(host byte) (string, bool) {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/registrations", s.ip(host), s.port+1))
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err == nil && resp.StatusCode == http.StatusOK
}

// changeConfig writes a configuration and waits until it is in force on a host.
func (s *testSite) changeConfig(host byte, service string, version int, vips ...string) {
	s.t.Helper()
	s.putConfigTo(service, version, vips...)
	s.eventually("the configuration is in force", func() bool { return s.gauge(host, "config-version") == float64(version) })
}

// startEntry starts an entry on a host and waits until its metrics answer. It returns a
// function that stops it.
func (s *testSite) startEntry(host byte) (stop func()) {
	s.t.Helper()
	entry, err := fleet.NewEntry(s.settings(host), zap.NewNop())
	is.New(s.t).NoErr(err)
	stop = s.start(entry)
	s.eventually("the metrics answer", func() bool { return s.gauge(host, "settled") != nil })
	return stop
}

// TestHoldersAreCompletedAfterSkippedVersion covers an entry that has not seen a version of the
// configuration, under which another one has placed flows and written the flow holders. It
// must take their record over, and must not stay unsettled. Its watch ends with the era of the
// store, and the history of the next one begins after the version.
func TestHoldersAreCompletedAfterSkippedVersion(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, 98)
	s.putConfig(1, vipText)
	s.startPair()
	s.store.SetFault(kvstandin.Busy)
	s.store.RestoreCopy(time.Minute)
	s.putConfig(3, vipText)
	s.store.Compact()
	s.store.Set("hickoryhook/flow-holders", []byte(fmt.Sprintf(`{"through":5,"holders":{"%s:%d":["maklerlink","exposeserver"]}}`, vipText, vipPort)))
	s.putConfig(5, vipText)
	s.store.SetFault(kvstandin.Healthy)
	s.eventually("the newest configuration is in force", func() bool { return s.gauge(1, "config-version") == 5.0 })
	s.eventually("the holders are complete", func() bool {
		body, complete := s.registrations(1)
		return complete && strings.Contains(body, "exposeserver")
	})
	is.Equal(s.gauge(1, "settled"), true)
}

// TestEntryAnswersAfterUnevenVersions guards against an entry that takes uneven steps of the
// version for skipped versions, and so has no flow holders to offer to one that joins.
func TestEntryAnswersAfterUnevenVersions(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, 70)
	s.putConfig(1, vipText)
	s.startPair()
	for i, service := range []string{"exposeserver", "maklerlink"} {
		s.changeConfig(1, service, 5+4*i, vipText)
		body, complete := s.registrations(1)
		is.True(complete)
		is.True(strings.Contains(body, "exposeserver"))
	}
}

// TestEntryJoinsAfterTwoChanges guards against resets of flows that were placed between two
// changes of the configuration, by an entry that joins after them and reads a record of flow
// holders in the store from before them.
func TestEntryJoinsAfterTwoChanges(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, 71)
	s.putConfig(7, vipText)
	s.startPair()
	time.Sleep(2100 * time.Millisecond) // the second entry is to be clearly younger
	for round := range 3 {
		vip := fmt.Sprintf("198.18.0.%d", 10+round)
		s.changeConfig(1, "maklerlink", 10*round+10, vip)
		time.Sleep(1200 * time.Millisecond) // the record is written
		s.changeConfig(1, "exposeserver", 10*round+13, vip)
		s.changeConfig(1, "maklerlink", 10*round+17, vip)
		stop := s.startEntry(4)
		s.eventually("the second entry is settled", func() bool { return s.gauge(4, "settled") == true })
		body, complete := s.registrations(4)
		is.True(complete)
		is.True(strings.Contains(body, "exposeserver"))
		stop()
	}
}

// TestAllRestartAfterTwoChanges guards against resets of flows that were placed between two
// changes of the configuration, when all entries restart before one has written the flow
// holders: the store has the changes since the record was written.
func TestAllRestartAfterTwoChanges(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, 72)
	s.putConfig(7, vipText)
	stop := s.startPair()
	stop()
	s.putConfigTo("exposeserver", 11, vipText)
	s.putConfig(14, vipText)
	s.startEntry(1)
	s.eventually("the entry is settled", func() bool { return s.gauge(1, "settled") == true })
	body, complete := s.registrations(1)
	is.True(complete)
	is.True(strings.Contains(body, "exposeserver"))
}

// TestOutdatedRecordProvesNothing guards against resets of flows that were placed under a
// version of which no record is left: all entries restart, and the store has lost its history.
func TestOutdatedRecordProvesNothing(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, 73)
	s.putConfig(7, vipText)
	stop := s.startPair()
	stop()
	s.putConfigTo("exposeserver", 11, vipText)
	s.putConfig(14, vipText)
	s.store.Compact()
	s.startEntry(1)
	s.eventually("the agent is known", func() bool { return s.readyAt(1) })
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		_, complete := s.registrations(1)
		is.True(!complete)
		is.Equal(s.gauge(1, "settled"), false)
	}
}
