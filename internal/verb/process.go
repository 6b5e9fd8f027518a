package verb

import (
	"context"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// parseSettingsFlag parses the arguments of the verb name and returns the path of
// the settings file, or a usageError, or flag.ErrHelp if they ask for help.
func parseSettingsFlag(name string, args []string) (string, error) {
	flags := newFlags(name)
	path := flags.String("settings", "", "")
	if err := parseFlags(flags, args, 0); err != nil {
		return "", err
	}
	if *path == "" {
		return "", &usageError{err: errors.Errorf("%s: -settings is missing", name)}
	}
	return *path, nil
}

// reloadOnSIGHUP calls reload at each SIGHUP and returns when the context ends. When
// reload fails, the error is logged and the current settings stay in force.
func (r *reloads) reloadOnSIGHUP(ctx context.Context, log *zap.Logger, reload func() error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangups:
			if err := reload(); err != nil {
				log.Error("settings not reloaded", zap.Error(err))
				continue
			}
			log.Info("settings reloaded")
		}
	}
}
