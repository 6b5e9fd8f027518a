package segment

// Codec decodes and modifies packets in the format of callers and upstreams.
type Codec interface {
	// FromCaller decodes the header of a packet that a caller sent.
	FromCaller(packet []byte) (Header, error)
	// FromUpstream decodes the header of a packet that an upstream sent or bounced.
	FromUpstream(packet []byte) (Header, error)
	// SetTag writes the tag, which an upstream preserves in a packet that it
	// bounces, and clears the Bounced flag.
	SetTag(packet []byte, tag uint32)
	// Reset returns a packet that resets a flow at its caller. acknowledged is the
	// caller's last acknowledgement number.
	Reset(flow Flow, acknowledged uint32) []byte
}
