package test_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"hickoryhook.example/internal/verb"
	"hickoryhook.example/internal/world"
	"hickoryhook.example/pkg/flow"
)

// detectionDelay is the time until the crash of a member or entry is detected.
const detectionDelay = time.Second

type (
	// scenario is the state of one script: the simulation that its commands change and
	// check, with the services and their flows by service name.
	scenario struct {
		world    *world.World
		services map[string]*world.Service
		flows    map[string][]*world.Flow
	}

	scriptCommand = func(*testscript.TestScript, bool, []string)
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"hickoryhook": func() { os.Exit(verb.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestCommandLine runs the scripts in cases/cli, which run the command hickoryhook.
func TestCommandLine(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "cases/cli"})
}

// TestFlows runs the scripts in cases/flows, which simulate entries, agents and callers
// (package world).
func TestFlows(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "cases/flows",
		Setup: func(env *testscript.Env) error {
			env.Values["scenario"] = &scenario{}
			return nil
		},
		Cmds: map[string]scriptCommand{
			"world":   adaptCommand((*scenario).newWorld),
			"service": adaptCommand((*scenario).addService),
			"entry":   adaptCommand((*scenario).addEntries),
			"flows":   adaptCommand((*scenario).openFlows),
			"feeds":   adaptCommand((*scenario).openFeeds),
			"close":   adaptCommand((*scenario).closeFlows),
			"reopen":  adaptCommand((*scenario).reopenFlows),
			"run":     adaptCommand((*scenario).run),
			"join":    adaptCommand((*scenario).join),
			"drain":   adaptCommand((*scenario).drain),
			"weight":  adaptCommand((*scenario).setWeight),
			"crash":   adaptCommand((*scenario).kill),
			"halt":    adaptCommand((*scenario).stopEntry),
			"pause":   adaptCommand((*scenario).pause),
			"cut":     adaptCommand((*scenario).partition),
			"mend":    adaptCommand((*scenario).heal),
			"gone":    adaptCommand((*scenario).checkEnded),
			"check":   adaptCommand((*scenario).check),
		},
	})
}

// adaptCommand converts f to a testscript command. A command preceded by "!" must fail.
func adaptCommand(f func(*scenario, []string) error) scriptCommand {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		err := f(ts.Value("scenario").(*scenario), args)
		if neg && err == nil {
			ts.Fatalf("did not fail")
		}
		if !neg && err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

// newWorld starts a simulation. Arguments: the flags -seed, -skew, -loss, -duplicates,
// -idle, -max-flows and -routing.
func (s *scenario) newWorld(args []string) error {
	var cfg world.Config
	flags := flag.NewFlagSet("world", flag.ContinueOnError)
	flags.Uint64Var(&cfg.Seed, "seed", 1, "")
	flags.DurationVar(&cfg.Skew, "skew", 0, "")
	flags.Float64Var(&cfg.Loss, "loss", 0, "")
	flags.Float64Var(&cfg.Duplicates, "duplicates", 0, "")
	flags.DurationVar(&cfg.IdleTimeout, "idle", 20*time.Second, "")
	flags.IntVar(&cfg.MaxFlows, "max-flows", 0, "")
	flags.StringVar((*string)(&cfg.Routing), "routing", string(world.HomeOwner), "")
	if err := flags.Parse(args); err != nil {
		return err
	}
	s.world = world.New(cfg)
	s.services = make(map[string]*world.Service)
	s.flows = make(map[string][]*world.Flow)
	return nil
}

// addService adds a service. Arguments: name, then the weight of each member.
func (s *scenario) addService(args []string) error {
	s.services[args[0]] = s.world.AddService(flow.ServiceID(len(s.services)+1), args[0])
	return s.join(args)
}

// join adds members to a service. Arguments: service, then the weight of each member.
func (s *scenario) join(args []string) error {
	for _, text := range args[1:] {
		weight, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		s.world.AddAgent(s.services[args[0]], uint32(weight))
	}
	return nil
}

// addEntries starts entries. Argument: their number.
func (s *scenario) addEntries(args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	for range n {
		s.world.AddEntry()
	}
	return nil
}

// openFlows opens flows. Arguments: service, number of flows.
func (s *scenario) openFlows(args []string) error { return s.open(args, s.world.OpenFlow) }

// openFeeds opens feeds, whose upstream pushes datagrams. Arguments: service, number of
// feeds.
func (s *scenario) openFeeds(args []string) error { return s.open(args, s.world.OpenFeed) }

// open opens flows with the given function. Arguments: service, number of flows.
func (s *scenario) open(args []string, open func(*world.Service) *world.Flow) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	for range n {
		s.flows[args[0]] = append(s.flows[args[0]], open(s.services[args[0]]))
	}
	return nil
}

// closeFlows closes all flows of a service. Argument: service.
func (s *scenario) closeFlows(args []string) error {
	for _, f := range s.flows[args[0]] {
		f.Close()
	}
	return nil
}

// reopenFlows replaces all flows of a service by new ones from the same caller
// addresses. Argument: service.
func (s *scenario) reopenFlows(args []string) error {
	old := s.flows[args[0]]
	s.flows[args[0]] = nil
	for _, f := range old {
		s.flows[args[0]] = append(s.flows[args[0]], s.world.Reopen(f))
	}
	return nil
}

// run advances the virtual time. Argument: a duration.
func (s *scenario) run(args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	s.world.Run(d)
	return nil
}

// drain drains members. Arguments: names of members.
func (s *scenario) drain(args []string) error {
	return s.eachAgent(args, func(a *world.Agent) { a.Drain() })
}

// setWeight changes the weight of a member. Arguments: member, weight.
func (s *scenario) setWeight(args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	return s.eachAgent(args[:1], func(a *world.Agent) { a.SetWeight(uint32(n)) })
}

// kill terminates members and entries without draining. Arguments: names of members, or
// entry-N.
func (s *scenario) kill(args []string) error {
	for _, name := range args {
		if e := s.entry(name); e != nil {
			e.Kill(detectionDelay)
			continue
		}
		if err := s.eachAgent([]string{name}, func(a *world.Agent) { a.Kill(detectionDelay) }); err != nil {
			return err
		}
	}
	return nil
}

// stopEntry stops an entry gracefully. Arguments: entry-N, convergence time of the
// fabric.
func (s *scenario) stopEntry(args []string) error {
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	s.entry(args[0]).Stop(d)
	return nil
}

// pause suspends an agent. Arguments: member, duration.
func (s *scenario) pause(args []string) error {
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	return s.eachAgent(args[:1], func(a *world.Agent) { a.Pause(d) })
}

// partition drops all messages between two members. Arguments: the two members.
func (s *scenario) partition(args []string) error {
	s.world.Partition(s.agent(args[0]).Address(), s.agent(args[1]).Address())
	return nil
}

// heal ends the partition between two members. Arguments: the two members.
func (s *scenario) heal(args []string) error {
	s.world.Heal(s.agent(args[0]).Address(), s.agent(args[1]).Address())
	return nil
}

// checkEnded fails if the agent of any given member is still running. Arguments: names
// of members.
func (s *scenario) checkEnded(args []string) error {
	for _, name := range args {
		if s.agent(name).Alive() {
			return errors.Errorf("agent of member %s is still running", name)
		}
	}
	return nil
}

// check compares each count with a number and fails if a comparison does not hold.
// Arguments: names of counts, operator (=, < or >), number. An unknown name fails.
func (s *scenario) check(args []string) error {
	report := s.world.Report()
	counts := map[string]int{
		"placed":               report.Placed,
		"broken":               report.BrokenFlows,
		"lost":                 report.LostWithUpstream,
		"misrouted":            report.MisroutedPackets,
		"cross-answered":       report.CrossAnswered,
		"new-work-after-drain": report.NewWorkAfterDrain,
		"conflicts":            report.Conflicts,
		"control-bytes":        int(report.ControlBytesPerSecond),
	}
	operator, text := args[len(args)-2], args[len(args)-1]
	want, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	for _, name := range args[:len(args)-2] {
		got, ok := counts[name]
		holds := operator == "=" && got == want || operator == ">" && got > want || operator == "<" && got < want
		if !ok || !holds {
			return errors.Errorf("%s is %d, want %s %d", name, got, operator, want)
		}
	}
	return nil
}

// entry returns the entry with the name entry-N, with N starting at 1, or nil.
func (s *scenario) entry(name string) *world.Entry {
	for i, e := range s.world.Entries() {
		if name == fmt.Sprintf("entry-%d", i+1) {
			return e
		}
	}
	return nil
}

// agent returns the agent of a member, given by the member's name, or nil.
func (s *scenario) agent(name string) *world.Agent {
	for _, a := range s.world.Agents() {
		if a.Name() == name {
			return a
		}
	}
	return nil
}

// eachAgent calls f for the agents of the members. It returns an error at the first
// member that does not exist.
func (s *scenario) eachAgent(names []string, f func(*world.Agent)) error {
	for _, name := range names {
		a := s.agent(name)
		if a == nil {
			return errors.Errorf("member %s does not exist", name)
		}
		f(a)
	}
	return nil
}
