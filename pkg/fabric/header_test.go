package fabric_test

import (
	"net/netip"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hickoryhook.example/pkg/fabric"
)

var (
	caller = netip.MustParseAddrPort("192.0.2.7:4000")
	vip    = netip.MustParseAddrPort("192.0.2.1:443")
)

func TestWrapAndUnwrap(t *testing.T) {
	is := is.New(t)
	b, err := fabric.Wrap(nil, caller, vip, []byte("hello"))
	is.NoErr(err)
	source, destination, payload, err := fabric.Unwrap(b)
	is.NoErr(err)
	is.Equal(source, caller)
	is.Equal(destination, vip)
	is.Equal(string(payload), "hello")
}

func TestUnwrapRejectsInvalidHeaders(t *testing.T) {
	is := is.New(t)
	for _, b := range [][]byte{nil, []byte("hello"), make([]byte, 64)} {
		_, _, _, err := fabric.Unwrap(b)
		is.True(errors.Is(err, fabric.ErrInvalidHeader))
	}
}

// FuzzUnwrap checks that Unwrap does not panic on any datagram, and that the payload
// is never longer than the datagram.
func FuzzUnwrap(f *testing.F) {
	b, err := fabric.Wrap(nil, caller, vip, []byte("hello"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, _, payload, err := fabric.Unwrap(b); err == nil && len(payload) > len(b) {
			t.Fatal("payload is longer than the datagram")
		}
	})
}
