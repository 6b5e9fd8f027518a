package overview_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/internal/overview"
)

// serveVars serves a recorded response of an entry, and returns its address.
func serveVars(t *testing.T, file string) string {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(b) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestProblemsAndTables covers two entries that differ in readiness, configuration, evacuated
// failure domains, builds and known agents, and a third one that does not answer.
func TestProblemsAndTables(t *testing.T) {
	is := is.New(t)
	stopped := httptest.NewServer(nil)
	stoppedAddress := strings.TrimPrefix(stopped.URL, "http://")
	stopped.Close()
	first, second := serveVars(t, "testdata/first.json"), serveVars(t, "testdata/second.json")
	o := overview.Read(context.Background(), []string{first, second, stoppedAddress})
	var out strings.Builder
	is.NoErr(o.Write(&out))
	problems := o.Problems()
	is.Equal(len(problems), 6)
	is.Equal(problems[0], second+" is not ready")
	is.Equal(problems[1], second+" has configuration 24, another has 25")
	is.Equal(problems[2], second+" has evacuated domains none at 2/131, another has graz-nord at 2/140")
	is.True(strings.HasPrefix(problems[3], stoppedAddress+" does not answer"))
	is.Equal(problems[4], "10.1.0.42 is known to 1 of 2 entries")
	is.Equal(problems[5], "10.2.0.43: its upstream resets its flows")
	text := strings.Join(strings.Fields(out.String()), " ")
	is.True(strings.Contains(text, "entries of 2 builds: 1 of 0123456789ab, 1 of older"))
	is.True(strings.Contains(text, first+" 0123456789ab true true 25 graz-nord at 2/140 170 1m1.5s 43 12"))
	is.True(strings.Contains(text, "link of Mbit/s in use reserved at most refused openings "+first+" 10.0 80% 50 ms 100 ms 7 service")) // the second has no link rate
	is.True(strings.Contains(text, "maklerlink 10.2.0.43 i-2 graz-sued true 75 3 2 20ms"))                                               // from the newer of two reports
}
