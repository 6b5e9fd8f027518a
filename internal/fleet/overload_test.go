package fleet

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sample is an observation and the expected state after it.
type sample struct {
	at         time.Duration
	lag        time.Duration
	alone      bool // too few other entries in the place are ready
	wantActive bool
}

// TestOverloadDetector guards against entries that stay in rotation while their
// instance is slow for some seconds, and against entries that leave it for a
// short burst or together.
func TestOverloadDetector(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		samples []sample
	}{
		{"packets do not wait", []sample{{at: 100 * ms, lag: ms}, {at: 200 * ms, lag: 2 * ms}, {at: 300 * ms, lag: ms}}},
		{"a short burst is no overload", []sample{{at: 100 * ms, lag: 150 * ms}, {at: 200 * ms, lag: 150 * ms}, {at: 300 * ms, lag: ms}, {at: 400 * ms, lag: 150 * ms}}},
		{"an overload lasts four seconds", []sample{
			{at: 100 * ms, lag: 150 * ms}, {at: 200 * ms, lag: 200 * ms}, {at: 300 * ms, lag: 250 * ms, wantActive: true},
			{at: 400 * ms, lag: ms, wantActive: true}, {at: 4200 * ms, lag: ms, wantActive: true}, {at: 4300 * ms, lag: ms},
		}},
		{"an overload continues while packets wait although callers have left", []sample{
			{at: 100 * ms, lag: 150 * ms}, {at: 200 * ms, lag: 200 * ms}, {at: 300 * ms, lag: 250 * ms, wantActive: true},
			{at: 4400 * ms, lag: 60 * ms, wantActive: true}, {at: 4500 * ms, lag: ms},
		}},
		{"a relapse lasts twice as long", []sample{
			{at: 100 * ms, lag: 150 * ms}, {at: 200 * ms, lag: 200 * ms}, {at: 300 * ms, lag: 250 * ms, wantActive: true},
			{at: 4300 * ms, lag: ms},
			{at: 4400 * ms, lag: 150 * ms}, {at: 4500 * ms, lag: 150 * ms}, {at: 4600 * ms, lag: 150 * ms, wantActive: true},
			{at: 12500 * ms, lag: ms, wantActive: true}, {at: 12600 * ms, lag: ms},
		}},
		{"an overload after the relapse window lasts four seconds", []sample{
			{at: 100 * ms, lag: 150 * ms}, {at: 200 * ms, lag: 200 * ms}, {at: 300 * ms, lag: 250 * ms, wantActive: true},
			{at: 4300 * ms, lag: ms},
			{at: 9400 * ms, lag: 150 * ms}, {at: 9500 * ms, lag: 150 * ms}, {at: 9600 * ms, lag: 150 * ms, wantActive: true},
			{at: 13600 * ms, lag: ms},
		}},
		{"no overload without enough other entries", []sample{
			{at: 100 * ms, lag: 150 * ms, alone: true}, {at: 200 * ms, lag: 150 * ms, alone: true}, {at: 300 * ms, lag: 150 * ms, alone: true},
			{at: 400 * ms, lag: 150 * ms, wantActive: true},
		}},
		{"ends early without enough other entries and does not begin again within the hold time", []sample{
			{at: 100 * ms, lag: 150 * ms}, {at: 200 * ms, lag: 150 * ms}, {at: 300 * ms, lag: 150 * ms, wantActive: true},
			{at: 400 * ms, lag: 150 * ms, alone: true},
			{at: 500 * ms, lag: 150 * ms}, {at: 600 * ms, lag: 150 * ms}, {at: 700 * ms, lag: 150 * ms},
			{at: 4300 * ms, lag: 150 * ms, wantActive: true},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var o overloadDetector
			for _, s := range c.samples {
				before := o.active
				changed := o.observe(s.at, s.lag, !s.alone)
				is.Equal(o.active, s.wantActive)
				is.Equal(changed, before != o.active)
			}
		})
	}
}

// TestLagProbe checks the lag that is measured at a socket which is not read for a
// while.
func TestLagProbe(t *testing.T) {
	is := is.New(t)
	peers, callers := loopbackSocket(t), loopbackSocket(t)
	l := newLagProbe(peers, callers)
	lag, err := l.send(0)
	is.NoErr(err)
	is.Equal(lag, time.Duration(0))
	lag, err = l.send(150 * time.Millisecond) // the first probe is still in flight
	is.NoErr(err)
	is.Equal(lag, 150*time.Millisecond)
	buf := make([]byte, 64)
	n, from, err := callers.ReadFromUDPAddrPort(buf)
	is.NoErr(err)
	is.True(!l.handleProbe(200*time.Millisecond, from, make([]byte, 32))) // a caller's packet
	is.True(l.handleProbe(200*time.Millisecond, from, buf[:n]))
	lag, err = l.send(300 * time.Millisecond)
	is.NoErr(err)
	is.Equal(lag, 200*time.Millisecond)
	lag, err = l.send(300*time.Millisecond + lagProbeTimeout) // counts as dropped by a full socket
	is.NoErr(err)
	is.Equal(lag, lagProbeTimeout)
}

func loopbackSocket(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}
