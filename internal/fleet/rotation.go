package fleet

import (
	"time"

	"go.uber.org/zap"

	"hickoryhook.example/pkg/capacity"
	"hickoryhook.example/pkg/peer"
)

// rotationStatus describes the rotation of an entry for operators.
type rotationStatus struct {
	In     bool            `json:"in"`
	Reason capacity.Reason `json:"reason"`
	Plan   capacity.Plan   `json:"plan"`
}

// links returns the links of the live entries of a failure domain, and when one of its
// entries last started, stopped, was lost or changed its readiness.
func (s *entrySet) links(now time.Duration, domain string) (links []capacity.Entry, changedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, e := range s.byAddr {
		if e.domain != domain || e.lastHello == 0 {
			continue
		}
		changedAt = max(changedAt, e.changedAt)
		switch {
		case e.active && now-e.lastHello <= s.timeout:
			links = append(links, capacity.Entry{ID: a, LinkRate: e.linkRate, CallerRate: e.callerRate, Ready: e.ready})
		case e.active:
			changedAt = max(changedAt, e.lastHello+s.timeout)
		}
	}
	return links, changedAt
}

// domainLinks returns what the rotation of an entry is decided on. ready tells whether the
// entry is ready but for its rotation.
func domainLinks(now time.Duration, self peer.Addr, link *capacity.Link, ready bool, entries *entrySet, domain string, tolerated int) capacity.Domain {
	others, changedAt := entries.links(now, domain)
	readyOthers, unavailable := countNeighbours(now, entries.neighbours(domain))
	return capacity.Domain{
		Self:   capacity.Entry{ID: self, LinkRate: link.Rate(), CallerRate: link.CallerRate(), Ready: ready},
		Others: others, ChangedAt: changedAt, EnoughOthers: enoughReady(readyOthers, unavailable), Tolerated: tolerated,
	}
}

// checkRotation takes the entry out of rotation while the larger entries of its failure
// domain carry more without it, and back.
func (e *Entry) checkRotation(now time.Duration) {
	if e.link == nil {
		return
	}
	r := &e.link.rotation
	domain := domainLinks(now, e.self, e.link.link, e.serves(), e.entries, e.settings.FailureDomain, e.settings.ToleratedInstances)
	changed := r.Observe(now, domain)
	e.link.status.Store(&rotationStatus{In: !r.Out(), Reason: r.Reason(), Plan: r.Plan()})
	if !changed {
		return
	}
	e.link.out.Store(r.Out())
	e.metrics.increment("rotation-changes")
	e.sendHello()
	p := r.Plan()
	fields := []zap.Field{
		zap.String("reason", string(r.Reason())), zap.Int("entries", p.Entries), zap.Int("in-rotation", p.Ready), zap.Int("wanted", p.Want),
		zap.Float64("demand", p.Demand), zap.Float64("carried", p.Carried), zap.Float64("carried-then", p.CarriedThen),
		zap.Float64("link", domain.Self.LinkRate), zap.Duration("neighbours-changed-ms", now-domain.ChangedAt),
	}
	if r.Out() {
		e.log.Info("out of rotation, others carry more", fields...)
		return
	}
	e.log.Info("back in rotation", fields...)
}
