package verb

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"hickoryhook.example/internal/settings"
)

const checkSettingsUsage = `usage: hickoryhook check-settings -role entry|agent FILE

Checks a settings file and reports the first invalid key. Exit code 2 if there
is one.

  -role ROLE   process that the settings are for: entry or agent
`

type checkSettingsRunner struct {
	streams ioStreams
	role    string
	path    string
}

func checkSettingsVerb() command {
	return command{
		name:    "check-settings",
		summary: "check a settings file",
		usage:   checkSettingsUsage,
		parse:   parseCheckSettings,
	}
}

func parseCheckSettings(args []string, streams ioStreams) (runner, error) {
	r := &checkSettingsRunner{streams: streams}
	flags := newFlags("check-settings")
	flags.StringVar(&r.role, "role", "", "")
	if err := parseFlags(flags, args, 1); err != nil {
		return nil, err
	}
	if r.role != "entry" && r.role != "agent" {
		return nil, &usageError{err: errors.Errorf("check-settings: -role is %q, want entry or agent", r.role)}
	}
	r.path = flags.Arg(0)
	return r, nil
}

func (r *checkSettingsRunner) run(context.Context) error {
	if err := r.check(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(r.streams.stdout, "settings are valid")
	return err
}

func (r *checkSettingsRunner) check() error {
	if r.role == "entry" {
		_, err := settings.ReadEntry(r.path)
		return err
	}
	_, err := settings.ReadAgent(r.path)
	return err
}
