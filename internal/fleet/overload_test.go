package fleet

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sample is what an entry observes at a moment.
type sample struct {
	at         time.Duration
	lag        time.Duration
	alone      bool // the others of the place are too few
	wantActive bool
}

// TestOverload covers entries that are too slow for their packets for some
// seconds, as on instances that turn slow.
func TestOverload(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		samples []sample
	}{
		{"calm", []sample{{at: 100 * ms, lag: ms}, {at: 200 * ms, lag: 2 * ms}, {at: 300 * ms, lag: ms}}},
		{"a short burst is waited out", []sample{{at: 100 * ms, lag: 150 * ms}, {at: 200 * ms, lag: 150 * ms}, {at: 300 * ms, lag: ms}, {at: 400 * ms, lag: 150 * ms}}},
		{"slow: leaves rotation and stays out for four seconds", []sample{
			{at: 100 * ms, lag: 150 * ms}, {at: 200 * ms, lag: 200 * ms}, {at: 300 * ms, lag: 250 * ms, wantActive: true},
			{at: 400 * ms, lag: ms, wantActive: true}, {at: 4200 * ms, lag: ms, wantActive: true}, {at: 4300 * ms, lag: ms},
		}},
		{"still slow without callers: stays out", []sample{
			{at: 100 * ms, lag: 150 * ms}, {at: 200 * ms, lag: 200 * ms}, {at: 300 * ms, lag: 250 * ms, wantActive: true},
			{at: 4400 * ms, lag: 60 * ms, wantActive: true}, {at: 4500 * ms, lag: ms},
		}},
		{"a relapse lasts twice as long", []sample{
			{at: 100 * ms, lag: 150 * ms}, {at: 200 * ms, lag: 200 * ms}, {at: 300 * ms, lag: 250 * ms, wantActive: true},
			{at: 4300 * ms, lag: ms},
			{at: 4400 * ms, lag: 150 * ms}, {at: 4500 * ms, lag: 150 * ms}, {at: 4600 * ms, lag: 150 * ms, wantActive: true},
			{at: 12500 * ms, lag: ms, wantActive: true}, {at: 12600 * ms, lag: ms},
		}},
		{"the next overload much later is a first one", []sample{
			{at: 100 * ms, lag: 150 * ms}, {at: 200 * ms, lag: 200 * ms}, {at: 300 * ms, lag: 250 * ms, wantActive: true},
			{at: 4300 * ms, lag: ms},
			{at: 9400 * ms, lag: 150 * ms}, {at: 9500 * ms, lag: 150 * ms}, {at: 9600 * ms, lag: 150 * ms, wantActive: true},
			{at: 13600 * ms, lag: ms},
		}},
		{"without enough others it serves on", []sample{
			{at: 100 * ms, lag: 150 * ms, alone: true}, {at: 200 * ms, lag: 150 * ms, alone: true}, {at: 300 * ms, lag: 150 * ms, alone: true},
			{at: 400 * ms, lag: 150 * ms, wantActive: true},
		}},
		{"returns when the others become too few, and waits before it leaves again", []sample{
			{at: 100 * ms, lag: 150 * ms}, {at: 200 * ms, lag: 150 * ms}, {at: 300 * ms, lag: 150 * ms, wantActive: true},
			{at: 400 * ms, lag: 150 * ms, alone: true},
			{at: 500 * ms, lag: 150 * ms}, {at: 600 * ms, lag: 150 * ms}, {at: 700 * ms, lag: 150 * ms},
			{at: 4300 * ms, lag: 150 * ms, wantActive: true},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var o overloadDetector
			for _, l := range c.samples {
				was := o.active
				changed := o.observe(l.at, l.lag, !l.alone)
				is.Equal(o.active, l.wantActive)
				is.Equal(changed, was != o.active)
			}
		})
	}
}

// TestLagProbe measures the wait in a socket that nobody reads for a while.
func TestLagProbe(t *testing.T) {
	is := is.New(t)
	peers, callers := loopbackSocket(t), loopbackSocket(t)
	l := newLagProbe(peers, callers)
	lag, err := l.send(0)
	is.NoErr(err)
	is.Equal(lag, time.Duration(0))
	lag, err = l.send(150 * time.Millisecond) // the first still waits
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
	lag, err = l.send(300*time.Millisecond + lagProbeTimeout) // dropped by a full socket
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
