package verb

import (
	"context"

	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/internal/entryd"
	"hickoryhook.example/internal/settings"
)

const entryUsage = `usage: hickoryhook entry -settings FILE

Runs a balancer on an entry instance. On SIGTERM it stops acknowledging
heartbeats, forwards datagrams for the convergence time of the fabric, and exits.
On SIGHUP it reloads the keys and the members of the services.

  -settings FILE   settings file in JSON
`

type entryRunner struct {
	reloads
	path     string
	settings *settings.Entry
}

func entryVerb() command {
	return command{
		name:    "entry",
		summary: "run a balancer on an entry instance",
		usage:   entryUsage,
		parse:   parseEntry,
	}
}

func parseEntry(args []string, _ ioStreams) (runner, error) {
	path, err := parseSettingsFlag("entry", args)
	if err != nil {
		return nil, err
	}
	s, err := settings.ReadEntry(path)
	if err != nil {
		return nil, err
	}
	return &entryRunner{path: path, settings: s}, nil
}

func (r *entryRunner) run(ctx context.Context) error {
	log, err := daemon.NewLogger()
	if err != nil {
		return err
	}
	d, err := entryd.New(r.settings, log)
	if err != nil {
		return err
	}
	d.Start(context.WithoutCancel(ctx))
	log.Info("entry started", zap.Stringer("tunnel-address", d.TunnelAddress()))
	r.reloadOnSIGHUP(ctx, log, func() error {
		next, err := settings.ReadEntry(r.path)
		if err != nil {
			return err
		}
		d.Reload(next)
		return nil
	})
	return d.Stop(context.WithoutCancel(ctx))
}
