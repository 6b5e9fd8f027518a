package fleetdemo

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEvidenceOfBrokenFlow guards against a soak whose failure cannot be traced: its logs are
// gone with the directory of the test that ran it. Its output has the faults before a flow was
// reset, the lines of the flow with its cause, and what its processes learned of the upstream.
func TestEvidenceOfBrokenFlow(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 12, 5, 15, 0, 21, 531e6, time.UTC)
	const reset = "agent 127.0.130.103 reset flow 127.0.130.250:1236>198.18.0.1:443 at 15:00:21.531, which upstream u-2-3, accepted 15:00:21.528, unacknowledged, held"
	faults := []timedFault{
		{at.Add(-1061 * time.Millisecond), "SIGSTOP agent agent-127.0.130.103.json for 1.057s"},
		{at.Add(-943 * time.Millisecond), "upstream u-2 is killed and is back after 114ms, with its first heartbeat after 0s, and late by 0s"},
		{at.Add(time.Second), "SIGHUP agent agent-127.0.130.104.json"},
	}
	for n := range maxFaultLines {
		faults = append([]timedFault{{at.Add(time.Duration(-2-n) * time.Second), "the store compacts its history"}}, faults...)
	}
	var out strings.Builder
	is.NoErr(writeEvidence(&out, filepath.Join("testdata", "evidence"), []incident{
		{at, "127.0.130.250:1236>198.18.0.1:443", "127.0.130.103", reset},
		{at, "127.0.130.250:1300>198.18.0.1:443", "", "a request of flow 127.0.130.250:1300>198.18.0.1:443 is lost at 15:00:21.531"},
		{at, "127.0.130.250:1400>198.18.0.1:443", "", "a request of flow 127.0.130.250:1400>198.18.0.1:443 is lost at 15:00:21.531"},
	}, faults))
	want, err := os.ReadFile(filepath.Join("testdata", "evidence", "want.txt"))
	is.NoErr(err)
	is.Equal(out.String(), string(want))
}

// TestEvidenceIsBounded covers a run in which very many flows are reset.
func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	var all incidents
	for n := range 10 * maxIncidents {
		all.add(incident{text: fmt.Sprint(n)})
	}
	is.Equal(len(all.first()), maxIncidents)
	is.Equal(all.first()[0].text, "0")
	var out strings.Builder
	is.NoErr(writeEvidence(&out, "missing", nil, nil))
	is.Equal(out.String(), "")
}
