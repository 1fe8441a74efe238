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
	s.probeDelay = min(maxProbeDelay, max(minProbeDelay, time.Duration(probeGrowth*float64(s.probeDelay))))
	s.probeAt = now.Add(s.probeDelay + time.Duration(probeExtension*p.random()*float64(s.probeDelay)))
	return s.nextProbe(), true
}

// nextProbe returns the upstream to probe next: the unreached one whose last attempt is the longest
// ago. In a partition, those that were not tried since it began come first, as most upstreams are
// then taken for unreached by the failures of a few; but after a success, the next one shows whether
// the partition is over.
func (s *service) nextProbe() units.IncarnationID {
	if !s.partitionedSince.IsZero() && !s.returning {
		for _, id := range s.present {
			if _, unreached := s.failedAt[id]; !unreached && !s.connectedTo[id].After(s.partitionedSince) {
				return id
			}
		}
	}
	oldest, oldestAt := units.IncarnationID(0), time.Time{}
	for id, at := range s.failedAt {
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = id, at
		}
	}
	return oldest
}

func (p *Pathfinder) random() float64 {
	if p.Random != nil {
		return p.Random()
	}
	return rand.Float64()
}
