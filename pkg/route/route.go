// Package route holds the operators' configuration: the services that receive the new
// flows of each VIP.
//
// # Usage
//
//	config := route.New(version, routes, route.WithIdleTimeout(15*time.Second))
//	r, ok := config.Lookup(flow.VIP())
package route

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

type (
	// Share is the portion of a route's new flows that one service receives.
	Share struct {
		// Service is the name of the service.
		Service string
		// Weight is relative to the total weight of the route's shares.
		Weight uint32
	}

	// Route assigns the new flows of one VIP to services.
	Route struct {
		// Name identifies the route for operators.
		Name string
		// VIP is the address that callers send to.
		VIP netip.AddrPort
		// Shares lists the services that receive new flows.
		Shares []Share
		// Timeout is the maximum duration of a request on this route.
		Timeout time.Duration
		// Target is the time within which callers want the answer, 0 if not known.
		Target time.Duration
		// Priority orders requests that wait for the same resources: 0 comes first.
		Priority uint8
		// Idempotent means that requests may be repeated.
		Idempotent bool
	}

	// Service holds what the configuration says about the upstreams of a service.
	Service struct {
		// Name is the name of the service.
		Name string
		// ColdStart is how long an upstream is cold after its start.
		ColdStart time.Duration
		// ColdRate is how many requests a second a cold upstream bears, 0 if this is not
		// limited.
		ColdRate float64
		// HealthPath is the path of the upstreams' health check, empty if not known.
		HealthPath string
	}

	// Config is one version of the configuration. It is immutable.
	Config struct {
		version     uint64
		routes      map[netip.AddrPort]Route
		services    map[string]Service
		idleTimeout time.Duration
		unreadable  int
	}

	// Option configures a Config.
	Option func(*Config)
)

// WithIdleTimeout sets the time without packets after which the load balancer may
// remove a flow from its state.
func WithIdleTimeout(d time.Duration) Option { return func(c *Config) { c.idleTimeout = d } }

// WithServices sets what is known about services.
func WithServices(services ...Service) Option {
	return func(c *Config) {
		for _, s := range services {
			c.services[s.Name] = s
		}
	}
}

// WithUnreadable sets the number of routes that the configuration has and that could not be read.
func WithUnreadable(routes int) Option { return func(c *Config) { c.unreadable = routes } }

// New returns a configuration. If several routes have the same VIP, the last one
// applies.
func New(version uint64, routes []Route, options ...Option) *Config {
	c := &Config{version: version, routes: make(map[netip.AddrPort]Route, len(routes)), services: make(map[string]Service)}
	for _, r := range routes {
		c.routes[r.VIP] = r
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Version returns the version; a higher one is newer.
func (c *Config) Version() uint64 { return c.version }

// Len returns the number of routes.
func (c *Config) Len() int { return len(c.routes) }

// Unreadable returns the number of routes that the configuration has and that could not be read.
// Unless it is 0, a VIP that Lookup does not find may have a route.
func (c *Config) Unreadable() int { return c.unreadable }

// IdleTimeout returns the time without packets after which the load balancer may
// remove a flow from its state, 0 if the configuration does not set it.
func (c *Config) IdleTimeout() time.Duration { return c.idleTimeout }

// Lookup returns the route of a VIP, and false if it has none.
func (c *Config) Lookup(vip netip.AddrPort) (Route, bool) {
	r, ok := c.routes[vip]
	return r, ok
}

// Service returns what is known about a service, and false if nothing is.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns what is known about services, in no particular order.
func (c *Config) Services() []Service { return slices.Collect(maps.Values(c.services)) }

// ColdRates returns the number of requests a second that a cold upstream bears, by
// service. Services without a limit are left out.
func (c *Config) ColdRates() map[string]float64 {
	rates := make(map[string]float64)
	for name, s := range c.services {
		if s.ColdRate > 0 {
			rates[name] = s.ColdRate
		}
	}
	return rates
}

// Each calls f for each route, in no particular order.
func (c *Config) Each(f func(Route)) {
	for _, r := range c.routes {
		f(r)
	}
}

// PickExcept is Pick without the services for which excluded returns true.
func (r Route) PickExcept(hash uint64, excluded func(service string) bool) (string, bool) {
	r.Shares = slices.DeleteFunc(slices.Clone(r.Shares), func(s Share) bool { return excluded(s.Service) })
	return r.Pick(hash)
}

// Pick returns the service for a new flow, selected by the hash in proportion to
// the weights. It returns false if the total weight is 0.
func (r Route) Pick(hash uint64) (string, bool) {
	var total uint64
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return "", false
	}
	at := hash % total
	for _, s := range r.Shares {
		if at < uint64(s.Weight) {
			return s.Service, true
		}
		at -= uint64(s.Weight)
	}
	return "", false
}
