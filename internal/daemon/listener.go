package daemon

import (
	"net"
	"time"

	"github.com/go-faster/errors"
)

// acceptRetryDelay is the pause after a failed accept, which may be caused by a lack of
// file descriptors or by a connection that has failed before it was accepted.
const acceptRetryDelay = 20 * time.Millisecond

// persistentListener is a listener whose Accept fails only once it is closed.
type persistentListener struct {
	net.Listener
	onError func(error)
}

// KeepAccepting returns a listener that passes the errors of Accept to onError and tries
// again, until the listener is closed. An http.Server would end at some of them.
func KeepAccepting(l net.Listener, onError func(error)) net.Listener {
	return persistentListener{Listener: l, onError: onError}
}

// Accept implements net.Listener.
func (l persistentListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.onError(err)
		time.Sleep(acceptRetryDelay)
	}
}
