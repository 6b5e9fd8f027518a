package segment

// Codec reads and writes packets in the format of callers and upstreams.
type Codec interface {
	// FromCaller decodes the head of a packet that a caller sent.
	FromCaller(packet []byte) (Header, error)
	// FromUpstream decodes the head of a packet that an upstream sent or
	// returned.
	FromUpstream(packet []byte) (Header, error)
	// SetTag writes the tag that a returned packet brings back, and clears the
	// mark of an earlier return.
	SetTag(packet []byte, tag uint32)
	// Reset returns the packet that tells a caller that its flow is gone.
	// acknowledged is what the caller last acknowledged.
	Reset(flow Flow, acknowledged uint32) []byte
}
