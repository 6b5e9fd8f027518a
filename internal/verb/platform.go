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
` + platform.SettingsVariable + ` names the settings file. On SIGTERM it reports
not ready, serves until the routers have stopped sending to it, and exits.
`

const platformAgentUsage = `usage: hickoryhook platform agent

Runs the agent beside an upstream on the platform. The environment variable
` + platform.SettingsVariable + ` names the settings file.
`

type (
	// daemonProcess is a process of the platform.
	daemonProcess interface {
		Run(ctx context.Context) error
		// Reload applies changed settings.
		Reload(s *platform.Settings)
	}

	// platformRunner runs one process of the platform.
	platformRunner struct {
		reloads
		start func(*platform.Settings, *zap.Logger, ...fleet.Option) (daemonProcess, error)
	}
)

func platformVerb() command {
	return group{
		name:    "platform",
		summary: "run a process on the platform",
		subcommands: []command{
			{name: "demo", summary: "the whole packet path in one process", usage: platformDemoUsage, parse: parsePlatformDemo},
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

// parsePlatform returns the parse function of the verb name, which has no flags and
// runs the process that start creates.
func parsePlatform(name string, start func(*platform.Settings, *zap.Logger, ...fleet.Option) (daemonProcess, error)) func([]string, ioStreams) (runner, error) {
	return func(args []string, _ ioStreams) (runner, error) {
		if err := parseFlags(newFlags(name), args, 0); err != nil {
			return nil, err
		}
		return &platformRunner{start: start}, nil
	}
}

// run runs the process, and reloads its settings at SIGHUP meanwhile, until the context or
// the process ends. The log writer has a
// context of its own, so that it also writes the lines logged while the process stops.
func (r *platformRunner) run(ctx context.Context) (err error) {
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	daemon.IgnoreBrokenPipes()
	logCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	logWriter := daemon.NewLogWriter(logCtx, os.Stdout)
	defer func() {
		cancel()
		err = errors.Join(err, <-logWriter.Done())
	}()
	log := daemon.NewAsyncLogger(logWriter).With(zap.String("node", s.Node))
	logWriter.ReportLeftOut(log)
	p, err := r.start(s, log,
		fleet.WithGauge("log-lines-dropped", func() any { return logWriter.Dropped() }),
		fleet.WithGauge("log-writes-failed", func() any { return logWriter.FailedWrites() }),
		fleet.WithGauge("log-lines-sampled", func() any { return logWriter.Sampled() }))
	if err != nil {
		return err
	}
	reloadCtx, stopReloads := context.WithCancel(context.WithoutCancel(ctx)) // also while the process drains
	defer stopReloads()
	reloads := make(chan struct{})
	go func() {
		defer close(reloads)
		r.reloadOnSIGHUP(reloadCtx, log, func() error {
			next, err := platform.ReadSettings()
			if err != nil {
				return err
			}
			p.Reload(next)
			return nil
		})
	}()
	err = p.Run(ctx)
	stopReloads()
	<-reloads
	return err
}
