package daemon

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// headerTimeout bounds how long a client of the server may take to send its headers.
const headerTimeout = 5 * time.Second

// Metrics serves the metrics of one process as JSON at /debug/vars, in the format of
// package expvar.
type Metrics struct {
	vars     expvar.Map
	server   *http.Server
	listener net.Listener
	done     chan error
}

// NewMetrics opens the listener. If the address is not valid, Metrics serves
// nothing.
func NewMetrics(address netip.AddrPort) (*Metrics, error) {
	m := &Metrics{done: make(chan error, 1)}
	m.vars.Init()
	if !address.IsValid() {
		return m, nil
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	m.listener = KeepAccepting(listener, func(error) {})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", m.serve)
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return m, nil
}

// Set publishes a metric under the name. f is called for each request and returns
// the current value.
func (m *Metrics) Set(name string, f func() any) { m.vars.Set(name, expvar.Func(f)) }

// Start serves until Close; the context has no effect.
func (m *Metrics) Start(context.Context) {
	if m.server == nil {
		m.done <- nil
		return
	}
	go func() {
		err := m.server.Serve(m.listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		m.done <- err
	}()
}

// Close stops the server and waits until it has ended. Start must have been called.
func (m *Metrics) Close() error {
	if m.server == nil {
		return <-m.done
	}
	return errors.Join(m.server.Close(), <-m.done)
}

func (m *Metrics) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	var compact json.RawMessage = []byte(m.vars.String())
	if err := json.NewEncoder(w).Encode(compact); err != nil {
		return // the client has closed the connection
	}
}
