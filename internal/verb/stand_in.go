package verb

import "net/netip"

// standInVerb returns the group of stand-ins for external systems.
func standInVerb() command {
	return group{
		name:    "stand-in",
		summary: "run a stand-in for an external system",
		subcommands: []command{
			standInUpstreamVerb(),
			standInFabricVerb(),
			standInCallerVerb(),
		},
	}.command()
}

// addressValue is a flag value that holds an IP address and a port.
type addressValue struct {
	netip.AddrPort
}

// Set parses the address.
func (v *addressValue) Set(text string) error {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return err
	}
	v.AddrPort = parsed
	return nil
}

// addressList is the value of an address flag that may be given several times.
type addressList []netip.AddrPort

// String returns an empty string, because the flag has no default.
func (l *addressList) String() string { return "" }

// Set parses an address and appends it.
func (l *addressList) Set(text string) error {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return err
	}
	*l = append(*l, parsed)
	return nil
}
