package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

type (
	// Status is what an agent reports of itself and the upstream beside it.
	Status struct {
		// Incarnation is when the agent started, in Unix milliseconds.
		Incarnation int64 `cbor:"1,keyasint"`
		// Sequence grows with each report of one incarnation.
		Sequence uint64 `cbor:"2,keyasint"`
		// Service is the name of the upstream's service.
		Service string `cbor:"3,keyasint"`
		// Upstream is the id of the upstream's start; empty if none is known.
		Upstream string `cbor:"4,keyasint,omitempty"`
		// Born is when the upstream started, in Unix milliseconds.
		Born int64 `cbor:"5,keyasint,omitempty"`
		// Taking says that the upstream takes new flows.
		Taking bool `cbor:"6,keyasint,omitempty"`
		// Empty says that no upstream runs beside the agent, so that it holds
		// no flows.
		Empty bool `cbor:"12,keyasint,omitempty"`
		// Failing says that the upstream resets too many of its flows.
		Failing bool `cbor:"13,keyasint,omitempty"`
		// Slots is how many requests the upstream serves at once.
		Slots int `cbor:"7,keyasint,omitempty"`
		// ColdFor is how much longer the upstream serves slowly, in
		// milliseconds.
		ColdFor int64 `cbor:"8,keyasint,omitempty"`
		// Flows is how many flows are open at the upstream and were used in the
		// last seconds.
		Flows int `cbor:"9,keyasint,omitempty"`
		// Running is how many requests have been delivered and not answered.
		Running int `cbor:"10,keyasint,omitempty"`
		// Place is the agent's failure domain.
		Place string `cbor:"11,keyasint,omitempty"`
	}

	// HelloMessage is what an entry tells other processes.
	HelloMessage struct {
		// Incarnation is when the entry started, in Unix milliseconds.
		Incarnation int64 `cbor:"1,keyasint"`
		// ConfigVersion is the newest configuration that the entry has.
		ConfigVersion uint64 `cbor:"2,keyasint,omitempty"`
		// VerifiedAgo is how many milliseconds before the greeting the sender's
		// configuration was known to be the newest, -1 if it never was.
		VerifiedAgo int64 `cbor:"8,keyasint"`
		// Entries are the entries that the sender knows to be alive; left out
		// while they do not change.
		Entries []Addr `cbor:"3,keyasint,omitempty"`
		// Agents are the agents that the sender knows to be alive; filled in
		// answers only.
		Agents []Addr `cbor:"4,keyasint,omitempty"`
		// Place is the entry's failure domain.
		Place string `cbor:"6,keyasint,omitempty"`
		// Ready says that the entry is ready for callers.
		Ready bool `cbor:"7,keyasint,omitempty"`
		// WantsReply wants the receiver to answer with all that it knows.
		WantsReply bool `cbor:"5,keyasint,omitempty"`
	}

	// GoodbyeMessage is what a process says before it stops.
	GoodbyeMessage struct {
		// Restarting says that the process will be started again, so that the
		// flows beside it live on.
		Restarting bool `cbor:"1,keyasint,omitempty"`
	}
)

// Cold returns how much longer the upstream serves slowly.
func (s *Status) Cold() time.Duration { return time.Duration(s.ColdFor) * time.Millisecond }

// Encode returns the datagram of a message of the given kind.
func Encode(kind Kind, message any) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return append([]byte{magic, byte(kind)}, body...), nil
}

// DecodeMessage decodes the body of a message into out.
func DecodeMessage(b []byte, out any) error {
	if len(b) < 2 || b[0] != magic {
		return ErrInvalidFrame
	}
	if err := cbor.Unmarshal(b[2:], out); err != nil {
		return errors.Wrap(err, "decode message")
	}
	return nil
}
