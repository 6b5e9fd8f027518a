package tunnel

import (
	"crypto/subtle"
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/dchest/siphash"
	"github.com/go-faster/errors"

	"hickoryhook.example/pkg/member"
)

const (
	// ReasonNone is the reason of an accepted packet.
	ReasonNone Reason = iota
	// ReasonTruncated packets end before their fields do.
	ReasonTruncated
	// ReasonOversized packets are longer than MaxDatagram.
	ReasonOversized
	// ReasonMalformed packets hold a value that the protocol does not define.
	ReasonMalformed
	// ReasonForged packets have no valid authentication tag.
	ReasonForged
	// ReasonReplayed packets were received before or are too old to tell.
	ReasonReplayed
	// ReasonTooManySenders packets come from a new sender when the table is full.
	ReasonTooManySenders

	reasonEnd
)

const (
	// SecretBytes is the length of a key's secret.
	SecretBytes = 16

	windowBits  = 1024
	windowWords = windowBits / 64
	openShards  = 16
)

var (
	errTruncated = &DropError{reason: ReasonTruncated}
	errOversized = &DropError{reason: ReasonOversized}
	errMalformed = &DropError{reason: ReasonMalformed}
	errForged    = &DropError{reason: ReasonForged}
	errReplayed  = &DropError{reason: ReasonReplayed}
	errSenders   = &DropError{reason: ReasonTooManySenders}
)

type (
	// Reason tells why a packet was dropped.
	Reason uint8

	// DropError reports a packet that must be dropped.
	DropError struct {
		reason Reason
	}

	// Key is one authentication key and the identifier that packets name it by.
	Key struct {
		id     uint8
		secret [SecretBytes]byte
	}

	// Keys are the keys that a process accepts; it sends with the first.
	Keys struct {
		accepted []Key
	}

	// Sealer encodes packets and adds sequence numbers and tags. It is safe
	// for concurrent use.
	Sealer struct {
		key      atomic.Pointer[Key]
		sequence atomic.Uint64
	}

	// Opener checks and decodes packets. It is safe for concurrent use.
	Opener struct {
		keys       atomic.Pointer[Keys]
		maxSenders int
		shards     [openShards]openShard
	}

	openShard struct {
		mu      sync.Mutex
		windows map[member.ID]*window
	}

	// window remembers which of the last windowBits sequence numbers of one
	// sender were received.
	window struct {
		highest uint64
		seen    [windowWords]uint64
	}
)

// Error returns the reason.
func (e *DropError) Error() string { return "packet dropped: " + e.reason.String() }

// Reason returns why the packet was dropped.
func (e *DropError) Reason() Reason { return e.reason }

// ReasonOf returns the reason of a DropError, and ReasonNone for other errors.
func ReasonOf(err error) Reason {
	var drop *DropError
	if errors.As(err, &drop) {
		return drop.reason
	}
	return ReasonNone
}

// Reasons returns every reason for a drop.
func Reasons() []Reason {
	var all []Reason
	for r := ReasonNone + 1; r < reasonEnd; r++ {
		all = append(all, r)
	}
	return all
}

// String returns the reason in kebab case.
func (r Reason) String() string {
	names := [...]string{"none", "truncated", "oversized", "malformed", "forged", "replayed", "too-many-senders"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// NewKey returns a key.
func NewKey(id uint8, secret [SecretBytes]byte) Key { return Key{id: id, secret: secret} }

// ID returns the identifier that packets name the key by.
func (k Key) ID() uint8 { return k.id }

// NewKeys returns a set of keys. Packets are sent with the first and accepted
// with any, so that keys can be changed one process at a time.
func NewKeys(send Key, alsoAccept ...Key) Keys {
	return Keys{accepted: append([]Key{send}, alsoAccept...)}
}

func (k Keys) find(id uint8) (Key, bool) {
	for _, key := range k.accepted {
		if key.id == id {
			return key, true
		}
	}
	return Key{}, false
}

func (k Key) tag(b []byte) [tagBytes]byte {
	k0 := binary.LittleEndian.Uint64(k.secret[:8])
	k1 := binary.LittleEndian.Uint64(k.secret[8:])
	lo, hi := siphash.Hash128(k0, k1, b)
	var tag [tagBytes]byte
	binary.LittleEndian.PutUint64(tag[:8], lo)
	binary.LittleEndian.PutUint64(tag[8:], hi)
	return tag
}

// NewSealer returns a sealer. first must be larger than any sequence number
// that an earlier process with the same sender identifiers used, such as the
// start time in nanoseconds.
func NewSealer(keys Keys, first uint64) *Sealer {
	s := &Sealer{}
	s.sequence.Store(first)
	s.SetKeys(keys)
	return s
}

// SetKeys makes the sealer send with the first of the keys.
func (s *Sealer) SetKeys(keys Keys) { s.key.Store(&keys.accepted[0]) }

// Seal appends the encoded packet to b. It returns a DropError with
// ReasonOversized if the packet would be longer than MaxDatagram.
func (s *Sealer) Seal(b []byte, p *Packet) ([]byte, error) {
	if p.SealedSize() > MaxDatagram {
		return b, errOversized
	}
	p.sequence = s.sequence.Add(1)
	start := len(b)
	key := s.key.Load()
	b = p.appendTo(b, key.id)
	tag := key.tag(b[start:])
	return append(b, tag[:]...), nil
}

// NewOpener returns an opener that tracks at most maxSenders senders.
func NewOpener(keys Keys, maxSenders int) *Opener {
	o := &Opener{maxSenders: max(1, maxSenders/openShards)}
	o.SetKeys(keys)
	for i := range o.shards {
		o.shards[i].windows = make(map[member.ID]*window)
	}
	return o
}

// SetKeys replaces the keys that are accepted. What is known of the senders
// stays.
func (o *Opener) SetKeys(keys Keys) { o.keys.Store(&keys) }

// Open checks a datagram and decodes it into p, whose payload then aliases b.
// It returns a DropError if the packet must be dropped.
func (o *Opener) Open(b []byte, p *Packet) error {
	if len(b) > MaxDatagram {
		return errOversized
	}
	if len(b) < headerBytes+tagBytes {
		return errTruncated
	}
	body := b[:len(b)-tagBytes]
	key, ok := o.keys.Load().find(body[offKeyID])
	if !ok {
		return errForged
	}
	tag := key.tag(body)
	if subtle.ConstantTimeCompare(tag[:], b[len(body):]) != 1 {
		return errForged
	}
	if err := decode(body, p); err != nil {
		return err
	}
	return o.admit(p.sender, p.sequence)
}

func (o *Opener) admit(sender member.ID, sequence uint64) error {
	s := &o.shards[uint64(sender)%openShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.windows[sender]
	if !ok {
		if len(s.windows) >= o.maxSenders {
			return errSenders
		}
		w = &window{}
		s.windows[sender] = w
	}
	if !w.admit(sequence) {
		return errReplayed
	}
	return nil
}

// admit reports whether the sequence number is new, and notes it.
func (w *window) admit(sequence uint64) bool {
	if sequence > w.highest {
		w.advance(sequence)
		return true
	}
	if w.highest-sequence >= windowBits {
		return false
	}
	word, bit := position(sequence)
	if w.seen[word]&bit != 0 {
		return false
	}
	w.seen[word] |= bit
	return true
}

func (w *window) advance(sequence uint64) {
	if sequence-w.highest >= windowBits {
		w.seen = [windowWords]uint64{}
	} else {
		for s := w.highest + 1; s < sequence; s++ {
			word, bit := position(s)
			w.seen[word] &^= bit
		}
	}
	w.highest = sequence
	word, bit := position(sequence)
	w.seen[word] |= bit
}

func position(sequence uint64) (word int, bit uint64) {
	index := sequence % windowBits
	return int(index / 64), 1 << (index % 64)
}
