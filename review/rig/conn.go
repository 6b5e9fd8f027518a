package main

import "time"

const (
	firstRetry = 200 * time.Millisecond
	maxRetry   = 1600 * time.Millisecond
	delayedAck = 20 * time.Millisecond
)

// segmentOut is a packet in flight.
type segmentOut struct {
	seq   uint32
	data  []byte
	fin   bool
	sent  time.Time
	wait  time.Duration
	tries int
}

// stream is one end of a flow: it keeps at most window packets in flight, acknowledges every
// second packet, and retransmits after 200 ms, doubling up to 1.6 s. Its owner locks it.
type stream struct {
	send     func(seq, ack uint32, flags byte, data []byte)
	sndNxt   uint32
	rcvNxt   uint32
	inFlight []*segmentOut
	unsent   []byte
	finQueue bool // FIN follows the unsent bytes
	finSent  bool
	finAcked bool
	finRcvd  bool
	early    map[uint32]*packet
	unacked  int
	ackDue   time.Time
	received []byte
	gaveUp   bool
	maxTries int // 0: no limit
}

func (s *stream) write(b []byte) { s.unsent = append(s.unsent, b...) }

// pump sends what the window allows.
func (s *stream) pump(now time.Time) {
	for len(s.inFlight) < window && !s.finSent && (len(s.unsent) > 0 || s.finQueue) {
		n := min(len(s.unsent), maxData)
		seg := &segmentOut{seq: s.sndNxt, data: append([]byte(nil), s.unsent[:n]...), sent: now, wait: firstRetry}
		s.unsent = s.unsent[n:]
		s.sndNxt += uint32(n)
		if len(s.unsent) == 0 && s.finQueue {
			seg.fin, s.finSent = true, true
			s.sndNxt++
		}
		s.inFlight = append(s.inFlight, seg)
		s.transmit(seg)
	}
}

func (s *stream) transmit(seg *segmentOut) {
	flags := byte(flagACK)
	if seg.fin {
		flags |= flagFIN
	}
	s.unacked, s.ackDue = 0, time.Time{}
	s.send(seg.seq, s.rcvNxt, flags, seg.data)
}

// receive handles a packet of the other end that acknowledges something.
func (s *stream) receive(now time.Time, p *packet) {
	for len(s.inFlight) > 0 {
		seg := s.inFlight[0]
		end := seg.seq + uint32(len(seg.data))
		if seg.fin {
			end++
		}
		if int32(p.ack-end) < 0 {
			break
		}
		if seg.fin {
			s.finAcked = true
		}
		s.inFlight = s.inFlight[1:]
	}
	if len(p.data) > 0 || p.has(flagFIN) {
		if s.early == nil {
			s.early = make(map[uint32]*packet)
		}
		if int32(p.seq-s.rcvNxt) >= 0 {
			s.early[p.seq] = p
		}
		for q := s.early[s.rcvNxt]; q != nil; q = s.early[s.rcvNxt] {
			delete(s.early, s.rcvNxt)
			s.received = append(s.received, q.data...)
			s.rcvNxt += uint32(len(q.data))
			if q.has(flagFIN) {
				s.finRcvd = true
				s.rcvNxt++
			}
		}
		s.unacked++
		if s.unacked >= 2 || p.has(flagFIN) || len(s.early) > 0 {
			s.sendAck()
		} else if s.ackDue.IsZero() {
			s.ackDue = now.Add(delayedAck)
		}
	}
	s.pump(now)
}

func (s *stream) sendAck() {
	s.unacked, s.ackDue = 0, time.Time{}
	s.send(s.sndNxt, s.rcvNxt, flagACK, nil)
}

// tick retransmits and sends delayed acknowledgements.
func (s *stream) tick(now time.Time) {
	if !s.ackDue.IsZero() && now.After(s.ackDue) {
		s.sendAck()
	}
	for _, seg := range s.inFlight {
		if now.Sub(seg.sent) < seg.wait {
			continue
		}
		if s.maxTries > 0 && seg.tries >= s.maxTries {
			s.gaveUp = true
			return
		}
		seg.tries++
		seg.sent, seg.wait = now, min(2*seg.wait, maxRetry)
		s.transmit(seg)
	}
}
