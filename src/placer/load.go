package placer

import (
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/appraiser"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/ejector"
	"github.com/rosecroft/rosecroft/src/evaluator"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// stats is what this entry knows of one incarnation of an upstream from its own calls.
type stats struct {
	mu sync.Mutex
	// peerCalls is how many calls of other entries the upstream had at reportedAt.
	peerCalls  int
	reportedAt time.Time
	// answeredAt is when the upstream last answered.
	answeredAt time.Time
	// slowdown is made of what the upstream stated to this entry, and reportedSlowdown of what
	// it stated to all entries; 0 if control has not reported it.
	slowdown         appraiser.Estimate
	reportedSlowdown float64
}

// ReportedLoad is the load that an upstream reports in an answer.
type ReportedLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times as long as usual work takes at this moment, 0 if the upstream
	// does not state it.
	Slowdown float64
}

func (c *Candidate) hasAnsweredRecently(now time.Time) bool {
	c.stats.mu.Lock()
	defer c.stats.mu.Unlock()
	return now.Sub(c.stats.answeredAt) < answerTTL
}

// estimatedLoad returns the calls and the prompt tokens queued at an upstream: this entry's
// own, which it knows exactly, and those of other entries. The other entries' calls are
// the larger of their polled number and the number by the upstream's answers.
func (c *Candidate) estimatedLoad(now time.Time, peers *PeerLoads) (calls, prefill int64) {
	calls = c.Local.InFlight.Load()
	prefill = c.Local.PrefillTokens.Load()
	if peers == nil || now.Sub(peers.At) > peerLoadExpiry {
		return calls + int64(c.peerCalls(now)), prefill
	}
	load := peers.Loads[c.hash]
	return calls + max(load.Calls, int64(c.peerCalls(now))), prefill + load.PrefillTokens
}

// peerCalls returns the number of other entries' calls by the upstream's last answer. It
// decays linearly to 0 within loadExpiry.
func (c *Candidate) peerCalls(now time.Time) float64 {
	c.stats.mu.Lock()
	defer c.stats.mu.Unlock()
	age := now.Sub(c.stats.reportedAt)
	if age >= loadExpiry {
		return 0
	}
	return float64(c.stats.peerCalls) * (1 - float64(age)/float64(loadExpiry))
}

// RecordLoad records the load that an upstream reports in an answer, less this entry's own
// calls there, which it knows more exactly and without delay.
func (p *Placer) RecordLoad(u *tracker.Upstream, load ReportedLoad) {
	p.mu.Lock()
	s := p.statsByKey[keyOf(u)]
	p.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerCalls = max(0, load.Running+load.Waiting-int(u.Local.InFlight.Load()))
	s.reportedAt = p.Now()
	s.answeredAt = s.reportedAt
	if load.Slowdown > 0 {
		s.slowdown.Record(load.Slowdown, 1)
	}
}

// slowdown returns how many times as long as usual work is expected to take at an upstream.
func (c *Candidate) slowdown() float64 {
	c.stats.mu.Lock()
	defer c.stats.mu.Unlock()
	if c.stats.reportedSlowdown > 0 {
		return c.stats.reportedSlowdown
	}
	return c.stats.slowdown.Factor()
}

// SetSlowdowns stores what upstreams have stated to all entries.
func (p *Placer) SetSlowdowns(changes []appraiser.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, change := range changes {
		s := p.statsByIncarnation[change.ID]
		if s == nil {
			continue
		}
		s.mu.Lock()
		s.reportedSlowdown = change.Slowdown
		s.mu.Unlock()
	}
}

// Observe records how an exchange ended.
func (p *Placer) Observe(u *tracker.Upstream, result dispatcher.Result) {
	if result.NoRoom {
		return
	}
	now := p.Now()
	key := keyOf(u)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch result.Kind {
	case dispatcher.Answered, dispatcher.Moved:
		p.ejector.Step(now, ejector.ExchangeSucceeded{Key: key})
		if s := p.statsByKey[key]; s != nil {
			s.mu.Lock()
			s.answeredAt = now
			s.mu.Unlock()
		}
		return
	case dispatcher.CallerGone:
		return
	case dispatcher.NotRun:
		// An upstream that refuses a call because it is full has not failed.
		if !result.ConnectFailed {
			return
		}
	case dispatcher.OutcomeUnknown, dispatcher.Unresumable, dispatcher.Failed:
	}
	p.stepEjector(now, ejector.ExchangeFailed{
		Key:       key,
		Unreached: result.ConnectFailed,
		Total:     len(p.Fleet()[u.Service]),
	})
}

// stepEjector passes an event to the ejector and carries out its actions.
func (p *Placer) stepEjector(now time.Time, event ejector.Event) {
	for _, action := range p.ejector.Step(now, event) {
		switch a := action.(type) {
		case ejector.Eject:
			if p.ejectedUntil == nil {
				p.ejectedUntil = make(map[ejector.Key]time.Time)
			}
			p.ejectedUntil[a.Key] = a.Until
		case ejector.Readmit:
			delete(p.ejectedUntil, a.Key)
		}
	}
}

// RecordReached records that a connection to an upstream was made.
func (p *Placer) RecordReached(u *tracker.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stepEjector(p.Now(), ejector.UpstreamReached{Key: keyOf(u)})
}

// RecordPartition records that this entry is partitioned from a service.
func (p *Placer) RecordPartition(service units.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stepEjector(p.Now(), ejector.EntryPartitioned{Service: service})
}

// Assessment is this entry's estimate of an upstream's state.
type Assessment struct {
	// PeerLoad is the load of the other entries there, by their last polls.
	PeerLoad InFlightLoad
	// ReportedPeerCalls is the number of other entries' calls by the upstream's last answer, decayed
	// with its age.
	ReportedPeerCalls int
	// AnsweredAt is when it last answered this entry, zero for never.
	AnsweredAt time.Time
	// Ejected is set while the upstream gets no calls because calls failed there.
	Ejected bool
	// Slowdown is how many times as long as usual work is expected to take there.
	Slowdown float64
	// Weight is the fraction of its calls that it gets, by the leader's evaluation of all entries' calls.
	Weight evaluator.Weight
}

// Assess returns this entry's estimate of an upstream's state.
func (p *Placer) Assess(c *Candidate) Assessment {
	now := p.Now()
	b := Assessment{
		ReportedPeerCalls: int(c.peerCalls(now)),
		Ejected:           p.isEjected(now, c.Upstream),
		Slowdown:          c.slowdown(),
		Weight:            p.restrictionsAt(now).weightOf(c.incarnationID),
	}
	if peers := p.peerLoads.Load(); peers != nil && now.Sub(peers.At) <= peerLoadExpiry {
		b.PeerLoad = peers.Loads[c.hash]
	}
	c.stats.mu.Lock()
	defer c.stats.mu.Unlock()
	b.AnsweredAt = c.stats.answeredAt
	return b
}

// ejectedAt returns the upstreams that get no calls because calls of this entry failed there, in one step for all
// candidates of a call.
func (p *Placer) ejectedAt(now time.Time) map[ejector.Key]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ejected map[ejector.Key]bool
	for key, until := range p.ejectedUntil {
		if !now.Before(until) {
			continue
		}
		if ejected == nil {
			ejected = make(map[ejector.Key]bool)
		}
		ejected[key] = true
	}
	return ejected
}

func (p *Placer) isEjected(now time.Time, u *tracker.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.ejectedUntil[keyOf(u)])
}
