package settings

import (
	"net/netip"
	"slices"

	"hickoryhook.example/pkg/agent"
	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/placement"
)

type (
	// Upstream is an upstream beside the agent: a member of a service, the address
	// that the agent delivers to, and how many requests it serves at once.
	Upstream struct {
		Member  string         `json:"member"`
		Service flow.ServiceID `json:"service"`
		Address netip.AddrPort `json:"address"`
		Slots   int            `json:"slots"`
	}

	// Agent holds the settings of an agent.
	Agent struct {
		Common
		Entries     []netip.AddrPort `json:"entries"`
		Upstreams   []Upstream       `json:"upstreams"`
		Policy      string           `json:"policy"`
		MaxFlows    int              `json:"max-flows"`
		IdleTimeout Duration         `json:"idle-timeout"`
		SettleTime  Duration         `json:"settle-time"`
		WarmUp      Duration         `json:"warm-up"`
		// StopTimeout bounds how long a stopping agent waits for its flows to
		// end; 0 means no bound.
		StopTimeout Duration `json:"stop-timeout"`
	}
)

// ReadAgent reads and checks the settings file of an agent. Optional keys that are
// missing get their default.
func ReadAgent(path string) (*Agent, error) {
	a := &Agent{
		Policy:      placement.LeastWorkName,
		MaxFlows:    agent.DefaultMaxFlows,
		IdleTimeout: Duration(agent.DefaultIdleTimeout),
		SettleTime:  Duration(agent.DefaultSettleTime),
		WarmUp:      Duration(agent.DefaultWarmUp),
	}
	if err := read(path, a); err != nil {
		return nil, err
	}
	if err := a.Check(); err != nil {
		return nil, err
	}
	return a, nil
}

// Check returns an InvalidError for the first key with an invalid value.
func (a *Agent) Check() error {
	if err := a.check(); err != nil {
		return err
	}
	switch {
	case len(a.Upstreams) == 0:
		return missing("upstreams")
	case a.MaxFlows <= 0:
		return &InvalidError{key: "max-flows", problem: "must be positive"}
	case a.IdleTimeout <= 0:
		return &InvalidError{key: "idle-timeout", problem: "must be positive"}
	case a.SettleTime <= 0:
		return &InvalidError{key: "settle-time", problem: "must be positive"}
	case a.StopTimeout < 0:
		return &InvalidError{key: "stop-timeout", problem: "must not be negative"}
	}
	if _, err := placement.New[placement.Estimate](a.Policy); err != nil {
		return &InvalidError{key: "policy", problem: err.Error()}
	}
	for i := range a.Upstreams {
		if err := a.checkUpstream(i); err != nil {
			return err
		}
	}
	return nil
}

func (a *Agent) checkUpstream(i int) error {
	u := &a.Upstreams[i]
	key := itemKey("upstreams", i)
	switch {
	case u.Member == "":
		return missing(key + ".member")
	case !u.Address.IsValid():
		return missing(key + ".address")
	case u.Slots <= 0:
		return &InvalidError{key: key + ".slots", problem: "must be positive"}
	}
	service := a.FindService(u.Service)
	if service == nil {
		return &InvalidError{key: key + ".service", problem: "is not the id of a service in these settings"}
	}
	if !slices.ContainsFunc(service.Members, func(m Member) bool { return m.Name == u.Member }) {
		return &InvalidError{key: key + ".member", problem: "is not a member of its service"}
	}
	return nil
}

// FindService returns the service with the id, or nil if there is none.
func (c *Common) FindService(id flow.ServiceID) *Service {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.ID == id })
	if i < 0 {
		return nil
	}
	return &c.Services[i]
}
