package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

type (
	// Status is an agent's report on itself and its upstream.
	Status struct {
		// Incarnation is the agent's start time in Unix milliseconds.
		Incarnation int64 `cbor:"1,keyasint"`
		// Sequence increases with each report of one incarnation.
		Sequence uint64 `cbor:"2,keyasint"`
		// Service is the name of the upstream's service.
		Service string `cbor:"3,keyasint"`
		// Upstream is the id of the upstream's last known start, which may have
		// ended; empty if none is known.
		Upstream string `cbor:"4,keyasint,omitempty"`
		// Born is the upstream's start time in Unix milliseconds, 0 if unknown.
		Born int64 `cbor:"5,keyasint,omitempty"`
		// Heartbeat is the number of the last heartbeat of that start, see
		// relay.Upstream; 0 if unknown. A number above that of an OwnerMessage shows that
		// the start of the message has sent a heartbeat after the flow was opened.
		Heartbeat uint64 `cbor:"15,keyasint,omitempty"`
		// Unconfirmed means that the start was reported by heartbeats which may be late ones: they
		// do not show that other starts have ended. Builds up to d18ec3b do not send it.
		Unconfirmed bool `cbor:"16,keyasint,omitempty"`
		// Candidate is the StartID of another start that may have replaced this one, 0 if there is
		// none. The upstream can be asked which flows it holds.
		Candidate uint32 `cbor:"17,keyasint,omitempty"`
		// Taking means that the upstream accepts new flows.
		Taking bool `cbor:"6,keyasint,omitempty"`
		// Empty means that no upstream runs beside the agent, so that it held no flows when
		// it reported.
		Empty bool `cbor:"12,keyasint,omitempty"`
		// Failing means that the upstream resets too many of its flows.
		Failing bool `cbor:"13,keyasint,omitempty"`
		// Slots is the number of requests that the upstream serves concurrently.
		Slots int `cbor:"7,keyasint,omitempty"`
		// ColdFor is the remaining time of the upstream's warm-up, in which it
		// serves requests slowly, in milliseconds.
		ColdFor int64 `cbor:"8,keyasint,omitempty"`
		// Flows is the number of flows that are open at the upstream and had
		// packets of their callers in the last seconds.
		Flows int `cbor:"9,keyasint,omitempty"`
		// Running is the number of open flows with a request that was delivered and
		// is not answered yet. It leaves out requests without an answer for too long.
		Running int `cbor:"10,keyasint,omitempty"`
		// ServiceTime is the observed mean time for which a request occupies a slot of
		// the upstream, in microseconds; 0 before the first answer.
		ServiceTime int64 `cbor:"14,keyasint,omitempty"`
		// FailureDomain is the agent's failure domain.
		FailureDomain string `cbor:"11,keyasint,omitempty"`
	}

	// HelloMessage is an entry's report on itself and, at times, on the processes
	// that it knows.
	HelloMessage struct {
		// Incarnation is the entry's start time in Unix milliseconds.
		Incarnation int64 `cbor:"1,keyasint"`
		// ConfigVersion is the version of the entry's configuration.
		ConfigVersion uint64 `cbor:"2,keyasint,omitempty"`
		// VerifiedAgo is the time in milliseconds, at sending, since the entry's
		// configuration was last verified to be the newest, -1 if it never was. Builds up to 7078f5d
		// use it, later ones use ReadAgo.
		VerifiedAgo int64 `cbor:"8,keyasint"`
		// ReadAgo is the time in milliseconds, at sending and at least 1, since the entry began the
		// last call to the store by which its configuration was the newest. It is 0 if there was
		// none, and from builds up to 7078f5d, whose VerifiedAgo may rest on other entries.
		ReadAgo int64 `cbor:"13,keyasint,omitempty"`
		// Entries are the other live entries that the sender knows; omitted from
		// most periodic messages, as the list changes rarely.
		Entries []Addr `cbor:"3,keyasint,omitempty"`
		// Agents are the agents that the sender knows, or a part of them; set in
		// replies only.
		Agents []Addr `cbor:"4,keyasint,omitempty"`
		// FailureDomain is the entry's failure domain.
		FailureDomain string `cbor:"6,keyasint,omitempty"`
		// Ready means that the entry is ready for callers.
		Ready bool `cbor:"7,keyasint,omitempty"`
		// Settled means that the entry knows all running agents. It is false in messages of
		// builds that do not send it.
		Settled bool `cbor:"12,keyasint,omitempty"`
		// StoreEra is the era of the newest response of the platform's store to the
		// sender, 0 if unknown.
		StoreEra uint64 `cbor:"9,keyasint,omitempty"`
		// WantsReply asks the receiver to reply with Entries and Agents.
		WantsReply bool `cbor:"5,keyasint,omitempty"`
		// Evacuation is the newest set of evacuated failure domains that the sender
		// knows, nil before the first.
		Evacuation *Evacuation `cbor:"10,keyasint,omitempty"`
		// ColdRates is the number of openings a second that a cold upstream of each
		// service bears. Services without a limit are left out.
		ColdRates map[string]float64 `cbor:"11,keyasint,omitempty"`
	}

	// Evacuation is a set of evacuated failure domains. Sets are ordered by the point in
	// the history of the platform's store at which they were in force: by era, then by
	// revision.
	Evacuation struct {
		// Era and Revision are those of the store.
		Era      uint64 `cbor:"1,keyasint"`
		Revision uint64 `cbor:"2,keyasint"`
		// Domains are the evacuated failure domains according to the store, in
		// alphabetical order.
		Domains []string `cbor:"3,keyasint,omitempty"`
		// Provisional means that the sender has known the era for a short time only. The
		// store may then be a copy that lacks what was written last.
		Provisional bool `cbor:"4,keyasint,omitempty"`
		// Kept are the domains that are evacuated at the sender although Domains lacks
		// them, Withheld those of Domains that are not. Both are set only if Provisional
		// is.
		Kept     []string `cbor:"5,keyasint,omitempty"`
		Withheld []string `cbor:"6,keyasint,omitempty"`
	}

	// GoodbyeMessage is sent by a process before it stops.
	GoodbyeMessage struct {
		// Restarting means that the agent will be started again while its upstream
		// keeps running, so that the flows of the upstream survive.
		Restarting bool `cbor:"1,keyasint,omitempty"`
	}
)

// Cold returns the remaining time of the upstream's warm-up.
func (s *Status) Cold() time.Duration { return time.Duration(s.ColdFor) * time.Millisecond }

// Encode returns the datagram for a message of the given kind: magic, kind and the
// message in CBOR.
func Encode(kind Kind, message any) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return append([]byte{magic, byte(kind)}, body...), nil
}

// DecodeMessage decodes the body of a datagram into out, a pointer to the message
// type of the datagram's kind. It does not check the kind.
func DecodeMessage(b []byte, out any) error {
	if len(b) < 2 || b[0] != magic {
		return ErrInvalidFrame
	}
	if err := cbor.Unmarshal(b[2:], out); err != nil {
		return errors.Wrap(err, "decode message")
	}
	return nil
}
