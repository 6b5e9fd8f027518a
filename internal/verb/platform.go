package verb

import (
	"context"
	"os"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/internal/fleet"
	"hickoryhook.example/platform"
)

const platformEntryUsage = `usage: hickoryhook platform entry

Runs a balancer on an entry instance of the platform. The environment variable
` + platform.SettingsVariable + ` names the settings file. SIGTERM stops it: it
is no longer ready, serves until the routers have let go, and exits.
`

const platformAgentUsage = `usage: hickoryhook platform agent

Runs the agent beside an upstream on the platform. The environment variable
` + platform.SettingsVariable + ` names the settings file.
`

type (
	// daemonProcess is a process of the platform.
	daemonProcess interface {
		Run(ctx context.Context) error
		// Reload takes in changed settings.
		Reload(s *platform.Settings)
	}

	platformRunner struct {
		start func(*platform.Settings, *zap.Logger, ...fleet.Option) (daemonProcess, error)
	}
)

func platformVerb() command {
	return group{
		name:    "platform",
		summary: "run a process on the platform",
		subs: []command{
			{name: "demo", summary: "the whole path in one process", usage: platformDemoUsage, parse: parsePlatformDemo},
			{name: "soak", summary: "processes under random faults", usage: platformSoakUsage, parse: parsePlatformSoak},
			{name: "entry", summary: "a balancer on an entry instance", usage: platformEntryUsage,
				parse: parsePlatform("platform entry", func(s *platform.Settings, log *zap.Logger, options ...fleet.Option) (daemonProcess, error) {
					return fleet.NewEntry(s, log, options...)
				})},
			{name: "agent", summary: "the agent beside an upstream", usage: platformAgentUsage,
				parse: parsePlatform("platform agent", func(s *platform.Settings, log *zap.Logger, options ...fleet.Option) (daemonProcess, error) {
					return fleet.NewAgent(s, log, options...)
				})},
		},
	}.command()
}

func parsePlatform(name string, start func(*platform.Settings, *zap.Logger, ...fleet.Option) (daemonProcess, error)) func([]string, environment) (runner, error) {
	return func(args []string, _ environment) (runner, error) {
		if err := parseFlags(newFlags(name), args, 0); err != nil {
			return nil, err
		}
		return &platformRunner{start: start}, nil
	}
}

func (r *platformRunner) run(ctx context.Context) (err error) {
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	logged, cancel := context.WithCancel(context.WithoutCancel(ctx))
	lines := daemon.NewLogWriter(logged, os.Stdout)
	defer func() {
		cancel()
		err = errors.Join(err, <-lines.Done())
	}()
	log := daemon.NewAsyncLogger(lines).With(zap.String("node", s.Node))
	lines.ReportLeftOut(log)
	p, err := r.start(s, log,
		fleet.WithGauge("log-lines-dropped", func() any { return lines.Dropped() }),
		fleet.WithGauge("log-lines-sampled", func() any { return lines.Sampled() }))
	if err != nil {
		return err
	}
	reloads := make(chan struct{})
	go func() {
		defer close(reloads)
		untilStopped(ctx, log, func() error {
			next, err := platform.ReadSettings()
			if err != nil {
				return err
			}
			p.Reload(next)
			return nil
		})
	}()
	err = p.Run(ctx)
	<-reloads
	return err
}
