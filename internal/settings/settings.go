// Package settings reads and checks the JSON settings of entries and agents.
//
// Keys are in kebab case. An unknown key, a missing key and a value out of range are
// reported as an InvalidError; only the first one is reported. It names the key, except
// that for an unknown key and for invalid JSON InvalidError.Key returns "(file)".
//
// # Usage
//
//	s, err := settings.ReadEntry("entry.json")
//	var invalid *settings.InvalidError
//	if errors.As(err, &invalid) { // invalid.Key()
package settings

import (
	"bytes"
	"encoding"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

type (
	// InvalidError reports a key that is unknown or missing, or whose value is
	// invalid.
	InvalidError struct {
		key     string
		problem string
	}

	// Duration is a time.Duration that is written as text, such as "1.5s".
	Duration time.Duration

	// Secret is 16 secret bytes, written as 32 hexadecimal digits.
	Secret [tunnel.SecretBytes]byte

	// Key authenticates packets between processes. Packets carry its ID.
	Key struct {
		ID     uint8  `json:"id"`
		Secret Secret `json:"secret"`
	}

	// Member is an upstream of a service. Address is the tunnel address of its agent.
	// Weight 0 means the default weight, and an empty State means ready.
	Member struct {
		Name          string         `json:"name"`
		Address       netip.AddrPort `json:"address"`
		FailureDomain string         `json:"place"`
		Weight        uint32         `json:"weight"`
		State         string         `json:"state"`
	}

	// Service is a service with its VIP and its members.
	Service struct {
		ID      flow.ServiceID `json:"id"`
		Name    string         `json:"name"`
		VIP     netip.AddrPort `json:"vip"`
		Members []Member       `json:"members"`
	}

	// Common holds the settings that entries and agents share.
	Common struct {
		Name          string `json:"name"`
		FailureDomain string `json:"place"`
		// TunnelAddress is the UDP address for packets between processes.
		TunnelAddress netip.AddrPort `json:"tunnel-address"`
		// MetricsAddress is where the process serves its metrics. Without it the
		// process serves none.
		MetricsAddress netip.AddrPort `json:"metrics-address"`
		Keys           []Key          `json:"keys"`
		FlowHashSecret Secret         `json:"flow-hash-secret"`
		Services       []Service      `json:"services"`
	}
)

// Error returns the key and the problem.
func (e *InvalidError) Error() string { return "settings: " + e.key + ": " + e.problem }

// Key returns the path of the key, such as "services[0].name". It is "(file)" for an
// unknown key, which only the text of Error names, for invalid JSON and for data after the
// settings.
func (e *InvalidError) Key() string { return e.key }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler, with the syntax of
// time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	parsed, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s Secret) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(s[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It requires all 32 digits.
func (s *Secret) UnmarshalText(b []byte) error {
	if n, err := hex.Decode(s[:], b[:min(len(b), 2*len(s))]); err != nil || n != len(s) || len(b) != 2*len(s) {
		return errors.New("want 32 hexadecimal digits")
	}
	return nil
}

// Hasher returns the hasher of flow digests, keyed with FlowHashSecret.
func (c *Common) Hasher() flow.Hasher { return flow.NewHasher(c.FlowHashSecret) }

// TunnelKeys returns the keys of packets between processes. Packets are sealed with the
// first key, and accepted with any. There must be at least one key, as Check ensures.
func (c *Common) TunnelKeys() tunnel.Keys {
	var keys []tunnel.Key
	for _, k := range c.Keys {
		keys = append(keys, tunnel.NewKey(k.ID, k.Secret))
	}
	return tunnel.NewKeys(keys[0], keys[1:]...)
}

// View returns the members of the service as the view with the given number.
func (s *Service) View(number uint64) *member.View {
	var members []member.Member
	for _, m := range s.Members {
		members = append(members, m.member())
	}
	return member.NewView(s.ID, number, members)
}

// member converts the settings of a member. A weight of 0 means the default weight.
func (m *Member) member() member.Member {
	state, _ := parseState(m.State)
	weight := m.Weight
	if weight == 0 {
		weight = member.DefaultWeight
	}
	return member.New(m.Name, m.Address, member.WithFailureDomain(m.FailureDomain), member.WithWeight(weight), member.WithState(state))
}

// parseState returns the state with the given name, and whether there is one. The
// empty name means ready.
func parseState(name string) (member.State, bool) {
	for _, state := range []member.State{member.Ready, member.Draining, member.Leaving} {
		if name == state.String() {
			return state, true
		}
	}
	return member.Ready, name == ""
}

// check returns an InvalidError for the first invalid key that entries and agents share.
func (c *Common) check() error {
	switch {
	case c.Name == "":
		return missing("name")
	case c.FailureDomain == "":
		return missing("place")
	case !c.TunnelAddress.IsValid():
		return missing("tunnel-address")
	case len(c.Keys) == 0:
		return missing("keys")
	case len(c.Keys) > 2:
		return &InvalidError{key: "keys", problem: "at most two keys are accepted at a time"}
	case c.FlowHashSecret == Secret{}:
		return missing("flow-hash-secret")
	case c.MetricsAddress.IsValid() && !c.MetricsAddress.Addr().IsLoopback():
		return &InvalidError{key: "metrics-address", problem: "must be a local address"}
	}
	for i, key := range c.Keys {
		if key.Secret == (Secret{}) {
			return missing(itemKey("keys", i) + ".secret")
		}
	}
	if len(c.Keys) == 2 && c.Keys[0].ID == c.Keys[1].ID {
		return &InvalidError{key: "keys[1].id", problem: "must differ from the id of the first key"}
	}
	return c.checkServices()
}

func (c *Common) checkServices() error {
	seen := make(map[flow.ServiceID]bool)
	for i := range c.Services {
		s := &c.Services[i]
		key := itemKey("services", i)
		switch {
		case s.ID == 0:
			return missing(key + ".id")
		case seen[s.ID]:
			return &InvalidError{key: key + ".id", problem: "is used twice"}
		case s.Name == "":
			return missing(key + ".name")
		}
		seen[s.ID] = true
		if err := s.checkMembers(key); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) checkMembers(key string) error {
	seen := make(map[string]bool)
	for i, m := range s.Members {
		key := itemKey(key+".members", i)
		switch {
		case m.Name == "":
			return missing(key + ".name")
		case seen[m.Name]:
			return &InvalidError{key: key + ".name", problem: "is used twice"}
		case !m.Address.IsValid():
			return missing(key + ".address")
		}
		if _, ok := parseState(m.State); !ok {
			return &InvalidError{key: key + ".state", problem: "want ready, draining or leaving"}
		}
		seen[m.Name] = true
	}
	return nil
}

// decode decodes JSON into v, a pointer to a struct. Unknown keys and trailing data are
// errors.
func decode(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeError(err, findInvalidKey(b, reflect.TypeOf(v).Elem(), ""))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &InvalidError{key: "(file)", problem: "unexpected data after the settings"}
	}
	return nil
}

// decodeError converts an error of package json about the value of a key to an InvalidError;
// "" stands for the whole file. The key that package json itself names has no indexes and
// contains the names of embedded structs.
func decodeError(err error, key string) error {
	if key == "" {
		key = "(file)"
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &InvalidError{key: key, problem: "want " + typeErr.Type.String() + ", got " + typeErr.Value}
	}
	return &InvalidError{key: key, problem: err.Error()}
}

// findInvalidKey returns the first key at or below path whose value cannot be decoded
// into the type, or "" if there is none. It is needed because package json does not
// name the key if an UnmarshalText method returns an error.
func findInvalidKey(b []byte, t reflect.Type, path string) string {
	switch {
	case t.Implements(textUnmarshalerType) || reflect.PointerTo(t).Implements(textUnmarshalerType):
	case t.Kind() == reflect.Slice:
		return findInvalidItem(b, t.Elem(), path)
	case t.Kind() == reflect.Struct:
		return findInvalidField(b, t, path)
	}
	if json.Unmarshal(b, reflect.New(t).Interface()) != nil {
		return path
	}
	return ""
}

// findInvalidItem is findInvalidKey for a slice with items of type t.
func findInvalidItem(b []byte, t reflect.Type, path string) string {
	var items []json.RawMessage
	if json.Unmarshal(b, &items) != nil {
		return path
	}
	for i, item := range items {
		if key := findInvalidKey(item, t, itemKey(path, i)); key != "" {
			return key
		}
	}
	return ""
}

// findInvalidField is findInvalidKey for the struct type t.
func findInvalidField(b []byte, t reflect.Type, path string) string {
	var values map[string]json.RawMessage
	if json.Unmarshal(b, &values) != nil {
		return path
	}
	for _, field := range reflect.VisibleFields(t) {
		name := field.Tag.Get("json")
		value, ok := values[name]
		if name == "" || !ok {
			continue
		}
		if key := findInvalidKey(value, field.Type, strings.TrimPrefix(path+"."+name, ".")); key != "" {
			return key
		}
	}
	return ""
}

// read decodes the settings file at path into v.
func read(path string, v any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	return decode(b, v)
}

// missing returns the error for a required key that is missing.
func missing(key string) error { return &InvalidError{key: key, problem: "is missing"} }

// itemKey returns the path of item i of a list.
func itemKey(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }
