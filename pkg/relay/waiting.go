package relay

import (
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

type waitingOpening struct {
	frame  peer.Frame
	header segment.Header
	until  time.Duration
}

type waitingQueue struct {
	list []*waitingOpening
}

func (w *waitingOpening) before(o *waitingOpening) bool {
	if w.frame.Priority != o.frame.Priority {
		return w.frame.Priority < o.frame.Priority
	}
	return !w.frame.Late && o.frame.Late
}

func (q *waitingQueue) len() int { return len(q.list) }

func (q *waitingQueue) has(f segment.Flow) bool {
	return slices.ContainsFunc(q.list, func(w *waitingOpening) bool { return w.header.Flow == f })
}

func (q *waitingQueue) add(now time.Duration, f *peer.Frame, h segment.Header) {
	w := &waitingOpening{frame: *f, header: h, until: now + f.Patience}
	w.frame.Packet = slices.Clone(f.Packet)
	w.frame.Candidates = slices.Clone(f.Candidates)
	q.list = append(q.list, w)
}

func (q *waitingQueue) expired(now time.Duration, all bool) []*waitingOpening {
	var out []*waitingOpening
	q.list = slices.DeleteFunc(q.list, func(w *waitingOpening) bool {
		if all || now >= w.until {
			out = append(out, w)
			return true
		}
		return false
	})
	return out
}

func (q *waitingQueue) next() *waitingOpening {
	best := len(q.list) - 1
	for i := best - 1; i >= 0; i-- {
		if q.list[i].before(q.list[best]) {
			best = i
		}
	}
	w := q.list[best]
	q.list = slices.Delete(q.list, best, best+1)
	return w
}
