package tunnel

import "hickoryhook.example/pkg/member"

// Retag returns a copy of a datagram with the identifier of key and a valid tag, so
// that Open decodes it. A datagram that is too short is returned unchanged.
func Retag(key Key, b []byte) []byte {
	if len(b) < headerBytes+tagBytes {
		return b
	}
	body := append([]byte(nil), b[:len(b)-tagBytes]...)
	body[offKeyID] = key.id
	tag := key.tag(body)
	return append(body, tag[:]...)
}

// MemberID converts an int to a member.ID.
func MemberID(i int) member.ID { return member.ID(i) }
