package verb

import (
	"context"

	"go.uber.org/zap"

	"hickoryhook.example/internal/agentd"
	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/internal/settings"
)

const agentUsage = `usage: hickoryhook agent -settings FILE

Runs the agent beside an upstream. On SIGTERM it refuses new flows, waits until
the open flows have ended or stop-timeout has passed, and exits. On SIGHUP it
reloads the keys and the members of the services.

  -settings FILE   settings file in JSON
`

type agentRunner struct {
	reloads
	path     string
	settings *settings.Agent
}

func agentVerb() command {
	return command{
		name:    "agent",
		summary: "run the agent beside an upstream",
		usage:   agentUsage,
		parse:   parseAgent,
	}
}

func parseAgent(args []string, _ ioStreams) (runner, error) {
	path, err := parseSettingsFlag("agent", args)
	if err != nil {
		return nil, err
	}
	s, err := settings.ReadAgent(path)
	if err != nil {
		return nil, err
	}
	return &agentRunner{path: path, settings: s}, nil
}

func (r *agentRunner) run(ctx context.Context) error {
	log, err := daemon.NewLogger()
	if err != nil {
		return err
	}
	background := context.WithoutCancel(ctx)
	d, err := agentd.New(background, r.settings, log)
	if err != nil {
		return err
	}
	d.Start(background)
	log.Info("agent started", zap.Stringer("tunnel-address", d.TunnelAddress()))
	r.reloadOnSIGHUP(ctx, log, func() error {
		next, err := settings.ReadAgent(r.path)
		if err != nil {
			return err
		}
		d.Reload(next)
		return nil
	})
	return d.Stop(background)
}
