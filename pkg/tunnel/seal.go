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
	// ReasonNone means that the packet was not dropped.
	ReasonNone Reason = iota
	// ReasonTruncated means that the packet ends before its last field.
	ReasonTruncated
	// ReasonOversized means that the packet is longer than MaxDatagram.
	ReasonOversized
	// ReasonMalformed means that a field has a value that the protocol does not
	// define.
	ReasonMalformed
	// ReasonForged means that the packet's key is unknown or its authentication tag
	// is not valid.
	ReasonForged
	// ReasonReplayed means that the packet was received before, or that its
	// sequence number is older than the replay window.
	ReasonReplayed
	// ReasonTooManySenders means that the packet came from a new sender while the
	// sender's shard of the table of senders was full.
	ReasonTooManySenders

	reasonEnd // one more than the last reason
)

const (
	// SecretBytes is the length of a key's secret, in bytes.
	SecretBytes = 16

	// windowBits is the size of the replay window of one sender, in packets.
	windowBits  = 1024
	windowWords = windowBits / 64
	// openerShards is the number of shards of the table of senders.
	openerShards = 16
)

var (
	errTruncated      = &DropError{reason: ReasonTruncated}
	errOversized      = &DropError{reason: ReasonOversized}
	errMalformed      = &DropError{reason: ReasonMalformed}
	errForged         = &DropError{reason: ReasonForged}
	errReplayed       = &DropError{reason: ReasonReplayed}
	errTooManySenders = &DropError{reason: ReasonTooManySenders}
)

type (
	// Reason is the reason for which a packet was dropped.
	Reason uint8

	// DropError is the error for a packet that must be dropped.
	DropError struct {
		reason Reason
	}

	// Key is an authentication key and the identifier by which packets refer to it.
	Key struct {
		id     uint8
		secret [SecretBytes]byte
	}

	// Keys holds the keys that a process accepts. It sends with the first.
	Keys struct {
		accepted []Key
	}

	// Sealer encodes packets and adds sequence numbers and tags. It is safe
	// for concurrent use.
	Sealer struct {
		key      atomic.Pointer[Key]
		sequence atomic.Uint64
	}

	// Opener verifies and decodes packets. It is safe for concurrent use.
	Opener struct {
		keys       atomic.Pointer[Keys]
		maxSenders int
		shards     [openerShards]openerShard
	}

	// openerShard holds the replay windows of the senders of one shard.
	openerShard struct {
		mu      sync.Mutex
		windows map[member.ID]*replayWindow
	}

	// replayWindow records which of the last windowBits sequence numbers of one
	// sender were received.
	replayWindow struct {
		highest uint64
		seen    [windowWords]uint64 // bit sequence%windowBits is set once received
	}
)

// Error returns a message that contains the reason.
func (e *DropError) Error() string { return "packet dropped: " + e.reason.String() }

// Reason returns the reason for which the packet was dropped.
func (e *DropError) Reason() Reason { return e.reason }

// ReasonOf returns the reason of a DropError, or ReasonNone for other errors.
func ReasonOf(err error) Reason {
	var drop *DropError
	if errors.As(err, &drop) {
		return drop.reason
	}
	return ReasonNone
}

// Reasons returns all reasons except ReasonNone.
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

// NewKey returns the key with the given identifier and secret.
func NewKey(id uint8, secret [SecretBytes]byte) Key { return Key{id: id, secret: secret} }

// ID returns the identifier by which packets refer to the key.
func (k Key) ID() uint8 { return k.id }

// NewKeys returns a set of keys. Packets are sent with the first key, send, and
// accepted with any of the keys, so that keys can be rotated one process at a time.
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

// tag returns the authentication tag of b: its SipHash-128 under the key.
func (k Key) tag(b []byte) [tagBytes]byte {
	k0 := binary.LittleEndian.Uint64(k.secret[:8])
	k1 := binary.LittleEndian.Uint64(k.secret[8:])
	lo, hi := siphash.Hash128(k0, k1, b)
	var tag [tagBytes]byte
	binary.LittleEndian.PutUint64(tag[:8], lo)
	binary.LittleEndian.PutUint64(tag[8:], hi)
	return tag
}

// NewSealer returns a Sealer whose sequence numbers start after firstSequence, which
// must be larger than any sequence number that an earlier process with the same
// sender identifiers used. The start time in nanoseconds is such a number.
func NewSealer(keys Keys, firstSequence uint64) *Sealer {
	s := &Sealer{}
	s.sequence.Store(firstSequence)
	s.SetKeys(keys)
	return s
}

// SetKeys makes the sealer use the first of the keys.
func (s *Sealer) SetKeys(keys Keys) { s.key.Store(&keys.accepted[0]) }

// Seal assigns the next sequence number to p and appends the encoded packet and its
// tag to b. If the result would be longer than MaxDatagram, it returns b unchanged
// and a DropError with ReasonOversized.
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

// NewOpener returns an Opener that tracks the sequence numbers of at most about
// maxSenders senders.
func NewOpener(keys Keys, maxSenders int) *Opener {
	o := &Opener{maxSenders: max(1, maxSenders/openerShards)}
	o.SetKeys(keys)
	for i := range o.shards {
		o.shards[i].windows = make(map[member.ID]*replayWindow)
	}
	return o
}

// SetKeys replaces the accepted keys. The replay windows of the senders are kept.
func (o *Opener) SetKeys(keys Keys) { o.keys.Store(&keys) }

// Open verifies a datagram and decodes it into p, whose payload then aliases b. It
// returns a DropError if the packet must be dropped.
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

// admit checks the sequence number against the replay window of the sender.
func (o *Opener) admit(sender member.ID, sequence uint64) error {
	s := &o.shards[uint64(sender)%openerShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.windows[sender]
	if !ok {
		if len(s.windows) >= o.maxSenders {
			return errTooManySenders
		}
		w = &replayWindow{}
		s.windows[sender] = w
	}
	if !w.admit(sequence) {
		return errReplayed
	}
	return nil
}

// admit reports whether the sequence number is new, and records it as received.
// Numbers older than the window are not new.
func (w *replayWindow) admit(sequence uint64) bool {
	if sequence > w.highest {
		w.advance(sequence)
		return true
	}
	if w.highest-sequence >= windowBits {
		return false
	}
	word, bit := bitPosition(sequence)
	if w.seen[word]&bit != 0 {
		return false
	}
	w.seen[word] |= bit
	return true
}

// advance moves the window forward so that sequence is its highest number, and
// records it as received.
func (w *replayWindow) advance(sequence uint64) {
	if sequence-w.highest >= windowBits {
		w.seen = [windowWords]uint64{}
	} else {
		for s := w.highest + 1; s < sequence; s++ {
			word, bit := bitPosition(s)
			w.seen[word] &^= bit
		}
	}
	w.highest = sequence
	word, bit := bitPosition(sequence)
	w.seen[word] |= bit
}

// bitPosition returns the word and the bit of a sequence number in replayWindow.seen.
func bitPosition(sequence uint64) (word int, bit uint64) {
	index := sequence % windowBits
	return int(index / 64), 1 << (index % 64)
}
