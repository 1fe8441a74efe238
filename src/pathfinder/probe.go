package pathfinder

import (
	"math/rand/v2"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// The delay between two probes of a service grows from minProbeDelay to maxProbeDelay while they
	// fail, and is extended by a random part of up to a third: entries that are partitioned together
	// must not return to the upstreams together.
	minProbeDelay  = 250 * time.Millisecond
	maxProbeDelay  = time.Second
	probeGrowth    = 1.1
	probeExtension = 1.0 / 3
	// downProbeGrowth and maxDownProbeDelay take the place of probeGrowth and maxProbeDelay while all unreached
	// upstreams are down.
	downProbeGrowth   = 1.2
	maxDownProbeDelay = 4 * time.Second
	// shortSilence is how long the delay does not grow after the failure of another upstream: sound ones are silent
	// for a second at times.
	shortSilence = 2 * time.Second
)

// Probe is an upstream to which a connection should be attempted now.
type Probe struct {
	Service  units.Service
	Upstream units.IncarnationID
}

// DueProbes returns the probes that are due, at most one for each service with unreached upstreams.
// A probe that makes a connection to an unreached upstream is followed by the next one at once.
func (p *Pathfinder) DueProbes(now time.Time) []Probe {
	if p.doubts.Load() == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []Probe
	for name, s := range p.services {
		if id, isDue := p.dueProbe(now, s); isDue {
			due = append(due, Probe{
				Service:  name,
				Upstream: id,
			})
		}
	}
	return due
}

// DueProbe returns the upstream of a service to which a connection should be attempted now, if any.
func (p *Pathfinder) DueProbe(now time.Time, name units.Service) (units.IncarnationID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[name]
	if s == nil {
		return 0, false
	}
	return p.dueProbe(now, s)
}

func (p *Pathfinder) dueProbe(now time.Time, s *service) (units.IncarnationID, bool) {
	if len(s.failedAt) == 0 || now.Before(s.probeAt) {
		return 0, false
	}
	growth, most := probeGrowth, maxProbeDelay
	if len(s.down) == len(s.failedAt) {
		growth, most = downProbeGrowth, maxDownProbeDelay
	}
	if len(s.lately(now)) > 0 {
		growth = 1
	}
	s.probeDelay = min(most, max(minProbeDelay, time.Duration(growth*float64(s.probeDelay))))
	s.probeAt = now.Add(s.probeDelay + time.Duration(probeExtension*p.random()*float64(s.probeDelay)))
	return s.nextProbe(now), true
}

// nextProbe returns the upstream to probe next: the unreached one whose last attempt is the longest
// ago, at first of those that have failed lately. In what looks like a partition, those that were not tried since it began come first, as most upstreams are
// then taken for unreached by the failures of a few, and those that were down before it are left out. After a
// success, the one that has failed for the shortest time shows whether the partition is over.
func (s *service) nextProbe(now time.Time) units.IncarnationID {
	if s.returning {
		return firstOf(s.failingSince, time.Time.After, nil)
	}
	if s.suspectedSince.IsZero() {
		return firstOf(s.attempts(s.lately(now)), time.Time.Before, nil)
	}
	for _, id := range s.present {
		if _, unreached := s.failedAt[id]; !unreached && !s.connectedTo[id].After(s.suspectedSince) {
			return id
		}
	}
	return firstOf(s.failedAt, time.Time.Before, s.down)
}

// lately returns the upstreams that have failed for no longer than shortSilence.
func (s *service) lately(now time.Time) []units.IncarnationID {
	var found []units.IncarnationID
	for id, since := range s.failingSince {
		if now.Sub(since) < shortSilence {
			found = append(found, id)
		}
	}
	return found
}

// attempts returns the last failed attempts at some of the unreached upstreams, or at all if none are given.
func (s *service) attempts(some []units.IncarnationID) map[units.IncarnationID]time.Time {
	if len(some) == 0 {
		return s.failedAt
	}
	found := make(map[units.IncarnationID]time.Time, len(some))
	for _, id := range some {
		found[id] = s.failedAt[id]
	}
	return found
}

// firstOf returns the upstream whose time comes before that of all others that are not left out, 0 if there is none.
func firstOf(times map[units.IncarnationID]time.Time, before func(a, b time.Time) bool, leftOut map[units.IncarnationID]bool) units.IncarnationID {
	found, foundAt := units.IncarnationID(0), time.Time{}
	for id, at := range times {
		if !leftOut[id] && (foundAt.IsZero() || before(at, foundAt)) {
			found, foundAt = id, at
		}
	}
	return found
}

func (p *Pathfinder) random() float64 {
	if p.Random != nil {
		return p.Random()
	}
	return rand.Float64()
}
