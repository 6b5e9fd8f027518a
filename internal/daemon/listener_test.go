package daemon_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/internal/daemon"
)

// failingListener fails with each of the errors before it accepts a connection.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		return l.Listener.Accept()
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// TestServerGoesOnAfterFailedAccept guards against the end of a process because one of its
// HTTP servers can't accept a connection, as without free file descriptors or memory.
func TestServerGoesOnAfterFailedAccept(t *testing.T) {
	is := is.New(t)
	want := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	failed := 0
	server.Listener = daemon.KeepAccepting(&failingListener{Listener: server.Listener, errors: append([]error(nil), want...)}, func(error) { failed++ })
	server.Start()
	defer server.Close()
	resp, err := http.Get(server.URL)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(failed, len(want))
}
