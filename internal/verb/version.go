package verb

import (
	"context"
	"fmt"
	"runtime"

	"hickoryhook.example/internal/daemon"
)

const versionUsage = `usage: hickoryhook version

Prints the revision of the repository that the program was built from, with "+" if files
had been changed, and the version of Go.
`

type versionRunner struct{ streams ioStreams }

func versionVerb() command {
	return command{name: "version", summary: "the revision of this build", usage: versionUsage, parse: parseVersion}
}

func parseVersion(args []string, streams ioStreams) (runner, error) {
	if err := parseFlags(newFlags("version"), args, 0); err != nil {
		return nil, err
	}
	return &versionRunner{streams: streams}, nil
}

func (r *versionRunner) run(context.Context) error {
	_, err := fmt.Fprintf(r.streams.stdout, "hickoryhook %s %s\n", daemon.Revision(), runtime.Version())
	return err
}
