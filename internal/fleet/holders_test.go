package fleet

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
)

// TestHoldersOfOlderBuild covers the registrations of builds that do not tell through which
// version their flow holders are complete. Guards against a version that came into force there
// only after the response, and against holders of an entry that names none.
func TestHoldersOfOlderBuild(t *testing.T) {
	const older, newer = `{"agents":["10.0.0.9"],"holders":{}}`, `{"agents":["10.0.0.9"],"holders":{},"holders-through":12}`
	for _, c := range []struct {
		name           string
		registrations  []string // one response after the other
		configurations []string
		want           uint64
	}{
		{"newer build", []string{newer}, nil, 12},
		{"older build", []string{older, older}, []string{`{"version":9}`}, 9},
		{"older build without a configuration", []string{older}, nil, 0},
		{"older build with an unreadable configuration", []string{older}, []string{"x"}, 0},
		{"replaced by a newer build meanwhile", []string{older, newer}, []string{`{"version":9}`}, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			responses := map[string][]string{registrationsPath: c.registrations, configPath: c.configurations}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				left := responses[req.URL.Path]
				if len(left) == 0 {
					w.WriteHeader(http.StatusNotFound)
					return
				}
				responses[req.URL.Path] = left[1:]
				_, err := w.Write([]byte(left[0]))
				is.NoErr(err)
			}))
			defer server.Close()
			address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
			p, _ := newLoggedProcess()
			p.settings.PeerPort = address.Port() - 1
			e := &Entry{process: p, config: newConfigSync(p, director.New(p.self, p.codec, nil), func() {}, func([]string) {})}
			r, err := e.getRegistrations(peer.NewAddr(address.Addr()))
			is.NoErr(err)
			is.Equal(r.HoldersThrough, c.want)
			is.Equal(r.addresses, []peer.Addr{{10, 0, 0, 9}})
		})
	}
}
