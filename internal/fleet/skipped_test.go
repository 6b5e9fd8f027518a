package fleet_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestHoldersAreCompletedAfterSkippedVersion covers an entry that has not seen a version of the
// configuration, under which another one has placed flows and written the flow holders. It
// must take their record over, and must not stay unsettled.
func TestHoldersAreCompletedAfterSkippedVersion(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, 98)
	s.putConfig(1, vipText)
	s.startPair()
	s.store.Set("hickoryhook/holders", []byte(fmt.Sprintf(`{"%s:%d":["maklerlink","exposeserver"]}`, vipText, vipPort)))
	s.putConfig(3, vipText)
	s.eventually("the newest configuration is in force", func() bool { return s.gauge(1, "config-version") == 3.0 })
	s.eventually("the holders are complete", func() bool {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/registrations", s.ip(1), s.port+1))
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(body), "exposeserver")
	})
	is.Equal(s.gauge(1, "settled"), true)
}
