package verb

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/fleet"
	"hickoryhook.example/platform"
)

// failingProcess ends as a process does whose start-up task fails.
type failingProcess struct{ err error }

func (p failingProcess) Run(context.Context) error { return p.err }
func (p failingProcess) Reload(*platform.Settings) {}

// TestProcessExitsWhenTaskFails covers a task that fails at the start, such as a metrics
// port that is in use. The process must exit, so that the platform starts it again.
func TestProcessExitsWhenTaskFails(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "local.json")
	settings := `{"node-name": "n", "ip": "127.0.0.1", "zone": "z", "listen": {"datagrams": "127.0.0.1:1", "ready": "127.0.0.1:2"},
		"internal-ports": [3, 4], "heartbeat-ms": 770, "bounds": {"grace-s": 6, "config-apply-ms": 3000, "flow-lifetime-s": 60},
		"platform": {"address": "127.0.0.1:5", "ttl-min-ms": 1000}}`
	is.NoErr(os.WriteFile(path, []byte(settings), 0o600))
	t.Setenv(platform.SettingsVariable, path)
	failure := errors.New("port in use")
	r := platformRunner{start: func(*platform.Settings, *zap.Logger, ...fleet.Option) (daemonProcess, error) {
		return failingProcess{failure}, nil
	}}
	ended := make(chan error, 1)
	go func() { ended <- r.run(t.Context()) }()
	select {
	case err := <-ended:
		is.True(errors.Is(err, failure))
	case <-time.After(10 * time.Second):
		t.Fatal("the process did not exit")
	}
}
