package settings

import (
	"net/netip"
	"time"
)

// DefaultConvergenceTime is how long an entry continues to forward after it has left the
// fabric, until the fabric's routes have converged.
const DefaultConvergenceTime = 5 * time.Second

// Entry holds the settings of an entry.
type Entry struct {
	Common
	// FabricAddress is where the entry receives the fabric's datagrams, which have
	// a PROXY header. Without it the entry listens on the VIPs of the services.
	FabricAddress netip.AddrPort `json:"fabric-address"`
	// FabricReplyAddress is where the entry sends replies, with a PROXY header. It is
	// required with FabricAddress, and not used without it.
	FabricReplyAddress netip.AddrPort `json:"fabric-reply-address"`
	// ConvergenceTime is how long a stopping entry continues to forward.
	ConvergenceTime Duration `json:"convergence-time"`
	// MaxHints is the largest number of owner hints in the cache; 0 means the
	// default number.
	MaxHints int `json:"max-hints"`
}

// ReadEntry reads and checks the settings file of an entry. Optional keys that are
// missing get their default.
func ReadEntry(path string) (*Entry, error) {
	e := &Entry{ConvergenceTime: Duration(DefaultConvergenceTime)}
	if err := read(path, e); err != nil {
		return nil, err
	}
	if err := e.Check(); err != nil {
		return nil, err
	}
	return e, nil
}

// Check returns an InvalidError for the first key with an invalid value.
func (e *Entry) Check() error {
	if err := e.check(); err != nil {
		return err
	}
	for i, s := range e.Services {
		if !s.VIP.IsValid() {
			return missing(itemKey("services", i) + ".vip")
		}
	}
	switch {
	case e.FabricAddress.IsValid() && !e.FabricReplyAddress.IsValid():
		return missing("fabric-reply-address")
	case e.ConvergenceTime < 0:
		return &InvalidError{key: "convergence-time", problem: "must not be negative"}
	case e.MaxHints < 0:
		return &InvalidError{key: "max-hints", problem: "must not be negative"}
	}
	return nil
}
