package pathfinder

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// partitionThreshold is how many upstreams of a service, or all where there are fewer, must be
// unreached for the service to count as partitioned from this entry.
const partitionThreshold = 3

// Pathfinder records the connections that this entry makes to upstreams; it is safe for
// concurrent use. The zero value is ready for use.
type Pathfinder struct {
	// Random returns a number in [0, 1); nil selects the process's own source.
	Random func() float64

	// doubts is the number of services with unreached upstreams, which lets callers return early.
	doubts atomic.Int64

	mu       sync.Mutex
	services map[units.Service]*service
}

// service is this entry's reach of one service.
type service struct {
	// present are the service's upstreams.
	present []units.IncarnationID
	// failedAt holds the upstreams that are unreached: the last attempt to connect to them failed,
	// and began at that time. connectedTo holds when the last successful one to each upstream began.
	failedAt    map[units.IncarnationID]time.Time
	connectedTo map[units.IncarnationID]time.Time
	// partitionedSince is when the first of the failed attempts began, zero while the service is not
	// partitioned from this entry.
	partitionedSince time.Time
	// probeAt is when the next probe is due, and probeDelay what it was delayed by.
	probeAt    time.Time
	probeDelay time.Duration
	// returning is set after an attempt has succeeded to an upstream that was in doubt.
	returning bool
}

// Reach is how many upstreams of a service this entry can connect to.
type Reach struct {
	Service units.Service
	// Partitioned is set while the entry cannot connect to most of the upstreams that it has tried
	// to connect to since the first failure.
	Partitioned bool
	// Unreached is the number of upstreams, of Present, to which the last attempt to connect failed.
	Unreached int
	Present   int
	// Since is when the partition began, zero if there is none.
	Since time.Time
}

// Dial is one attempt to connect to an upstream.
type Dial struct {
	Service   units.Service
	Upstream  units.IncarnationID
	StartedAt time.Time
	// Failed is set where no connection was made.
	Failed bool
}

// RecordDial records the outcome of an attempt to connect, and returns the reach of its service and
// whether the attempt began or ended a partition.
func (p *Pathfinder) RecordDial(d Dial) (reach Reach, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(d.Service)
	wasPartitioned := !s.partitionedSince.IsZero()
	if d.Failed {
		s.recordFailure(d)
	} else {
		s.recordConnection(d)
	}
	s.assess()
	p.countDoubts()
	reach = s.reach(d.Service)
	return reach, reach.Partitioned != wasPartitioned
}

func (p *Pathfinder) countDoubts() {
	count := 0
	for _, s := range p.services {
		if len(s.failedAt) > 0 {
			count++
		}
	}
	p.doubts.Store(int64(count))
}

func (s *service) recordFailure(d Dial) {
	if d.StartedAt.Before(s.connectedTo[d.Upstream]) || d.StartedAt.Before(s.failedAt[d.Upstream]) {
		return
	}
	if len(s.failedAt) == 0 || s.returning {
		s.probeAt, s.probeDelay = d.StartedAt, 0
	}
	s.returning = false
	s.failedAt[d.Upstream] = d.StartedAt
}

func (s *service) recordConnection(d Dial) {
	if d.StartedAt.After(s.connectedTo[d.Upstream]) {
		s.connectedTo[d.Upstream] = d.StartedAt
	}
	at, unreached := s.failedAt[d.Upstream]
	if unreached && d.StartedAt.After(at) {
		delete(s.failedAt, d.Upstream)
	}
	if unreached || !s.partitionedSince.IsZero() {
		// Others may be reached again as well.
		s.returning = true
		s.probeAt, s.probeDelay = d.StartedAt, 0
	}
}

// assess decides whether the service is partitioned from this entry. Upstreams that were last
// connected to before the first failure say nothing about the time since.
func (s *service) assess() {
	s.partitionedSince = time.Time{}
	if len(s.failedAt) < max(1, min(partitionThreshold, len(s.present))) {
		return
	}
	first := time.Time{}
	for _, at := range s.failedAt {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	reached := 0
	for id, at := range s.connectedTo {
		if _, unreached := s.failedAt[id]; !unreached && at.After(first) {
			reached++
		}
	}
	if len(s.failedAt) > reached {
		s.partitionedSince = first
	}
}

// SetPresent replaces the upstreams of all services, and returns the reach of those whose partition
// has ended because their upstreams are gone.
func (p *Pathfinder) SetPresent(present map[units.Service][]units.IncarnationID) []Reach {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ended []Reach
	for name, s := range p.services {
		if len(present[name]) > 0 {
			continue
		}
		delete(p.services, name)
		if !s.partitionedSince.IsZero() {
			ended = append(ended, Reach{Service: name})
		}
	}
	for name, ids := range present {
		s := p.service(name)
		s.present = ids
		known := make(map[units.IncarnationID]bool, len(ids))
		for _, id := range ids {
			known[id] = true
		}
		isGone := func(id units.IncarnationID, _ time.Time) bool { return !known[id] }
		maps.DeleteFunc(s.failedAt, isGone)
		maps.DeleteFunc(s.connectedTo, isGone)
		wasPartitioned := !s.partitionedSince.IsZero()
		if s.assess(); wasPartitioned && s.partitionedSince.IsZero() {
			ended = append(ended, s.reach(name))
		}
	}
	p.countDoubts()
	return ended
}

// DoubtfulSince returns the time since which this entry may be unable to connect to an upstream, zero
// if there is no doubt. Connections that have been used since then still work.
func (p *Pathfinder) DoubtfulSince(name units.Service, id units.IncarnationID) time.Time {
	if p.doubts.Load() == 0 {
		return time.Time{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[name]
	if s == nil {
		return time.Time{}
	}
	if at, unreached := s.failedAt[id]; unreached {
		return at
	}
	if s.connectedTo[id].After(s.partitionedSince) {
		return time.Time{}
	}
	return s.partitionedSince
}

// IsPartitioned reports whether a service is partitioned from this entry.
func (p *Pathfinder) IsPartitioned(name units.Service) bool {
	if p.doubts.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[name]
	return s != nil && !s.partitionedSince.IsZero()
}

// Unreached returns the reach of the services of which some upstream is unreached.
func (p *Pathfinder) Unreached() []Reach {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []Reach
	for name, s := range p.services {
		if len(s.failedAt) > 0 {
			found = append(found, s.reach(name))
		}
	}
	return found
}

func (p *Pathfinder) service(name units.Service) *service {
	s := p.services[name]
	if s == nil {
		if p.services == nil {
			p.services = make(map[units.Service]*service)
		}
		s = &service{
			failedAt:    make(map[units.IncarnationID]time.Time),
			connectedTo: make(map[units.IncarnationID]time.Time),
		}
		p.services[name] = s
	}
	return s
}

func (s *service) reach(name units.Service) Reach {
	return Reach{
		Service:     name,
		Partitioned: !s.partitionedSince.IsZero(),
		Unreached:   len(s.failedAt),
		Present:     len(s.present),
		Since:       s.partitionedSince,
	}
}
