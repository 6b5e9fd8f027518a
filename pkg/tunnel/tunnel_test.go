package tunnel_test

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/tunnel"
)

var (
	oldKey   = tunnel.NewKey(1, [tunnel.SecretBytes]byte{1})
	newKey   = tunnel.NewKey(2, [tunnel.SecretBytes]byte{2})
	otherKey = tunnel.NewKey(1, [tunnel.SecretBytes]byte{3})
	caller   = netip.MustParseAddrPort("192.0.2.7:4000")
	vip      = netip.MustParseAddrPort("[2001:db8::1]:443")
	agent    = netip.MustParseAddrPort("192.0.2.9:7000")
)

func packet() tunnel.Packet {
	p := tunnel.NewPacket(tunnel.Data, 7, 11, 12)
	k := flow.NewKey(7, flow.UDP, caller, vip)
	p.SetFlow(k, flow.NewHasher([16]byte{9}).Digest(k), 99)
	p.SetEntryAddress(agent)
	p.SetViewFingerprint(5).SetLoad(1.5, 2)
	p.AddCandidate(tunnel.NewCandidate(12, agent)).AddCandidate(tunnel.NewCandidate(13, vip))
	p.MarkTried(1, 0.5, 4)
	p.UpdateFlags(tunnel.FlagSearch, 0)
	p.StartSearch(12)
	p.AddSearchTarget(tunnel.NewCandidate(13, agent))
	p.SetPayload([]byte("hello"))
	return p
}

func seal(t testing.TB, key tunnel.Key, p tunnel.Packet) []byte {
	b, err := tunnel.NewSealer(tunnel.NewKeys(key), 1000).Seal(nil, &p)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestOpenReturnsSealedPacket(t *testing.T) {
	is := is.New(t)
	want := packet()
	b := seal(t, oldKey, want)
	is.Equal(len(b), want.SealedSize())
	var got tunnel.Packet
	is.NoErr(tunnel.NewOpener(tunnel.NewKeys(oldKey), 16).Open(b, &got))
	is.Equal(got.Kind(), tunnel.Data)
	is.Equal(got.Service(), flow.ServiceID(7))
	is.Equal(got.Key(), want.Key())
	is.Equal(got.Digest(), want.Digest())
	is.Equal(got.Epoch(), want.Epoch())
	is.Equal(got.EntryAddress(), agent)
	is.Equal(got.Candidates(), want.Candidates())
	is.Equal(got.SearchInitiator(), want.SearchInitiator())
	is.Equal(string(got.Payload()), "hello")
}

// TestHeartbeatAckKeepsEntryAddress covers the acknowledgment of an entry: without the
// address, an agent takes it for a packet of a member and does not mark the entry alive.
func TestHeartbeatAckKeepsEntryAddress(t *testing.T) {
	for _, entry := range []netip.AddrPort{agent, {}} { // a member's acknowledgment has no address
		is := is.New(t)
		ack := tunnel.NewPacket(tunnel.HeartbeatAck, 7, 11, 12)
		ack.SetEntryAddress(entry)
		b := seal(t, oldKey, ack)
		is.Equal(len(b), ack.SealedSize())
		var got tunnel.Packet
		is.NoErr(tunnel.NewOpener(tunnel.NewKeys(oldKey), 16).Open(b, &got))
		is.Equal(got.EntryAddress(), entry)
	}
}

func TestOpenReturnsDropReason(t *testing.T) {
	good := seal(t, oldKey, packet())
	tampered := bytes.Clone(good)
	tampered[60] ^= 1
	cases := []struct {
		name   string
		b      []byte
		reason tunnel.Reason
	}{
		{"empty", nil, tunnel.ReasonTruncated},
		{"incomplete header", good[:40], tunnel.ReasonTruncated},
		{"cut", good[:len(good)-1], tunnel.ReasonForged},
		{"too long", make([]byte, tunnel.MaxDatagram+1), tunnel.ReasonOversized},
		{"tampered", tampered, tunnel.ReasonForged},
		{"other secret", seal(t, otherKey, packet()), tunnel.ReasonForged},
		{"unknown key", seal(t, newKey, packet()), tunnel.ReasonForged},
		{"unknown kind", seal(t, oldKey, tunnel.NewPacket(99, 1, 1, 1)), tunnel.ReasonMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var p tunnel.Packet
			err := tunnel.NewOpener(tunnel.NewKeys(oldKey), 16).Open(c.b, &p)
			is.Equal(tunnel.ReasonOf(err), c.reason)
		})
	}
}

func TestReplayedPacketsAreDropped(t *testing.T) {
	is := is.New(t)
	sealer := tunnel.NewSealer(tunnel.NewKeys(oldKey), 1)
	opener := tunnel.NewOpener(tunnel.NewKeys(oldKey), 16)
	var sealed [][]byte
	for range 1100 {
		p := packet()
		b, err := sealer.Seal(nil, &p)
		is.NoErr(err)
		sealed = append(sealed, b)
	}
	var p tunnel.Packet
	is.NoErr(opener.Open(sealed[1], &p))
	is.NoErr(opener.Open(sealed[0], &p)) // reordered, not replayed
	is.Equal(tunnel.ReasonOf(opener.Open(sealed[0], &p)), tunnel.ReasonReplayed)
	is.NoErr(opener.Open(sealed[1099], &p))
	is.Equal(tunnel.ReasonOf(opener.Open(sealed[2], &p)), tunnel.ReasonReplayed) // older than the replay window
	is.NoErr(opener.Open(sealed[1000], &p))
	is.Equal(tunnel.ReasonOf(opener.Open(sealed[1000], &p)), tunnel.ReasonReplayed)
}

// TestKeyRotation replaces the keys of a sender and a receiver one at a time:
// packets are accepted after every step, and the old key is rejected at the end.
func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	sealer := tunnel.NewSealer(tunnel.NewKeys(oldKey), 1)
	opener := tunnel.NewOpener(tunnel.NewKeys(oldKey), 16)
	var p tunnel.Packet
	sealAndOpen := func() error {
		sent := packet()
		b, err := sealer.Seal(nil, &sent)
		is.NoErr(err)
		return opener.Open(b, &p)
	}
	is.NoErr(sealAndOpen())
	opener.SetKeys(tunnel.NewKeys(oldKey, newKey))
	is.NoErr(sealAndOpen())
	sealer.SetKeys(tunnel.NewKeys(oldKey, newKey))
	is.NoErr(sealAndOpen())
	sealer.SetKeys(tunnel.NewKeys(newKey, oldKey))
	is.NoErr(sealAndOpen())
	opener.SetKeys(tunnel.NewKeys(newKey))
	is.NoErr(sealAndOpen())
	is.Equal(tunnel.ReasonOf(opener.Open(seal(t, oldKey, packet()), &p)), tunnel.ReasonForged)
}

func TestNumberOfSendersIsLimited(t *testing.T) {
	is := is.New(t)
	opener := tunnel.NewOpener(tunnel.NewKeys(oldKey), 16)
	rejected := 0
	for i := range 64 {
		p := tunnel.NewPacket(tunnel.Load, 1, tunnel.MemberID(100+i), 1)
		var got tunnel.Packet
		if tunnel.ReasonOf(opener.Open(seal(t, oldKey, p), &got)) == tunnel.ReasonTooManySenders {
			rejected++
		}
	}
	is.Equal(rejected, 48)
}

func TestSealAndOpenDoNotAllocate(t *testing.T) {
	is := is.New(t)
	sealer := tunnel.NewSealer(tunnel.NewKeys(oldKey), 1)
	opener := tunnel.NewOpener(tunnel.NewKeys(oldKey), 16)
	p := packet()
	buf := make([]byte, 0, tunnel.MaxDatagram)
	var got tunnel.Packet
	allocs := testing.AllocsPerRun(100, func() {
		b, err := sealer.Seal(buf, &p)
		if err != nil {
			t.Fatal(err)
		}
		if err := opener.Open(b, &got); err != nil {
			t.Fatal(err)
		}
	})
	is.Equal(allocs, 0.0)
}

// FuzzOpen passes inputs with a valid tag to Open, so that they reach the decoder.
// Open must not panic, and an accepted packet must encode to the same bytes.
func FuzzOpen(f *testing.F) {
	f.Add(seal(f, oldKey, packet()))
	f.Add([]byte("hk"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var p tunnel.Packet
		sealed := tunnel.Retag(oldKey, b)
		if err := tunnel.NewOpener(tunnel.NewKeys(oldKey), 16).Open(sealed, &p); err != nil {
			return
		}
		again, err := tunnel.NewSealer(tunnel.NewKeys(oldKey), p.Sequence()-1).Seal(nil, &p)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(again, sealed) {
			t.Fatalf("encoded %x, want %x", again, sealed)
		}
	})
}
