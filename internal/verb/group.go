package verb

import (
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// group is a verb with subcommands. Its help text is generated from the list of
// subcommands, which parse dispatches on.
type group struct {
	name        string
	summary     string
	subcommands []command
}

func (g group) command() command {
	return command{
		name:    g.name,
		summary: g.summary + ": " + strings.Join(g.names(), ", "),
		usage:   g.usage(),
		parse:   g.parse,
	}
}

func (g group) names() []string {
	var names []string
	for _, c := range g.subcommands {
		names = append(names, c.name)
	}
	return names
}

func (g group) usage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "usage: hickoryhook %s NAME [flags]\n\n", g.name)
	for _, c := range g.subcommands {
		fmt.Fprintf(&b, "  %-12s %s\n", c.name, c.summary)
	}
	for _, c := range g.subcommands {
		b.WriteString("\n" + c.usage)
	}
	return b.String()
}

func (g group) parse(args []string, streams ioStreams) (runner, error) {
	want := strings.Join(g.names(), ", ")
	if len(args) == 0 {
		return nil, &usageError{err: errors.Errorf("%s: want one of %s", g.name, want)}
	}
	i := slices.IndexFunc(g.subcommands, func(c command) bool { return c.name == args[0] })
	if i < 0 {
		return nil, &usageError{err: errors.Errorf("%s: unknown name %q, want one of %s", g.name, args[0], want)}
	}
	return g.subcommands[i].parse(args[1:], streams)
}
