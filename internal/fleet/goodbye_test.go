package fleet_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/fleet"
	"hickoryhook.example/pkg/peer"
)

// TestDeregistrationIsNotLostAtStop covers an upstream that deregisters while its agent stops,
// as at the stop of the whole instance. After its goodbye message, which says that the agent
// returns, the agent must not accept the call: it would have no effect.
func TestDeregistrationIsNotLostAtStop(t *testing.T) {
	is := is.New(t)
	site := newTestSite(t, 97)
	entry := site.listen(site.ip(1), site.port)
	settings := site.settings(2)
	settings.Seeds = []netip.Addr{netip.MustParseAddr(site.ip(1))}
	agent, err := fleet.NewAgent(settings, zap.NewNop())
	is.NoErr(err)
	stop := site.start(agent)
	site.sendHeartbeat("ready", 1)
	ended := make(chan struct{})
	go func() {
		stop()
		close(ended)
	}()
	is.NoErr(entry.SetReadDeadline(time.Now().Add(waitTimeout)))
	buf := make([]byte, peer.MaxFrame)
	for {
		n, err := entry.Read(buf)
		is.NoErr(err)
		if kind, err := peer.KindOf(buf[:n]); err == nil && kind == peer.Goodbye {
			break
		}
	}
	control := netip.AddrPortFrom(netip.MustParseAddr(site.ip(2)), uint16(site.port+4))
	req, err := http.NewRequest(http.MethodDelete, "http://"+control.String()+"/instances/i-1", nil)
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		is.NoErr(resp.Body.Close())
	}
	is.True(err != nil)
	<-ended
}
