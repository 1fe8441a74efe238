package rationer

import (
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// shareInterval is how often shares are recomputed. Until an entry has a new share, it may use a
	// slot that is now another's.
	shareInterval = time.Second
	// evenFraction is the part of a service that is shared evenly, so that an entry without recent
	// calls can send its first ones.
	evenFraction = 0.2
	// callsExpiry is how long the calls of an entry count without a report.
	callsExpiry = 1500 * time.Millisecond
)

// Summary is the leader's view of brittle services; it is a state machine without a clock.
type Summary struct {
	services map[units.Service]*fleetService
	full     map[units.IncarnationID]Full
}

// fleetService is what all entries know of one service.
type fleetService struct {
	Service
	// ended is set once the service is no longer brittle. Entries that have no answers from it are told
	// so for as long as they would take it for brittle by what they know.
	ended    bool
	calls    map[units.Instance]*callCount
	shares   map[units.Instance]Share
	sharedAt time.Time
}

// callCount counts one entry's calls of a service.
type callCount struct {
	// total is the number since the entry's start, and base the number when shares were last computed.
	total, base float64
	reportedAt  time.Time
}

// RecordReport records what an entry reports, and returns the services that have become brittle.
func (s *Summary) RecordReport(now time.Time, services []Service, full []Full) []Service {
	var begun []Service
	for _, reported := range services {
		known := s.services[reported.Name]
		if known == nil {
			if !reported.IsBrittle(now) {
				continue
			}
			known = s.begin(now, reported)
			begun = append(begun, reported)
		}
		known.merge(reported)
		if known.ended && known.IsBrittle(now) {
			known.ended, known.MaxRejections = false, reported.MaxRejections
			begun = append(begun, known.Service)
		}
	}
	for _, f := range full {
		if s.full == nil {
			s.full = make(map[units.IncarnationID]Full)
		}
		s.full[f.ID] = s.full[f.ID].merge(f)
	}
	return begun
}

// merge adds what an entry reports.
func (f *fleetService) merge(reported Service) {
	if reported.AnsweredAt.After(f.AnsweredAt) {
		f.AnsweredAt = reported.AnsweredAt
	}
	if reported.StatedAt.IsZero() {
		return
	}
	f.MaxRejections = min(f.MaxRejections, reported.MaxRejections)
	if reported.StatedAt.After(f.StatedAt) {
		f.StatedAt = reported.StatedAt
	}
}

func (s *Summary) begin(now time.Time, reported Service) *fleetService {
	if s.services == nil {
		s.services = make(map[units.Service]*fleetService)
	}
	known := &fleetService{
		Service:  reported,
		calls:    make(map[units.Instance]*callCount),
		sharedAt: now,
	}
	s.services[reported.Name] = known
	return known
}

// RecordCalls records the number of calls of a service that an entry has had since its start.
func (s *Summary) RecordCalls(now time.Time, entry units.Instance, name units.Service, total float64) {
	known := s.services[name]
	if known == nil {
		return
	}
	c := known.calls[entry]
	if c == nil || total < c.total {
		c = &callCount{base: total}
		known.calls[entry] = c
	}
	c.total = total
	c.reportedAt = now
}

// share computes the shares of a service anew.
func (f *fleetService) share(now time.Time) {
	elapsed := now.Sub(f.sharedAt).Seconds()
	f.sharedAt = now
	maps.DeleteFunc(f.calls, func(_ units.Instance, c *callCount) bool { return now.Sub(c.reportedAt) >= callsExpiry })
	sum := 0.0
	for _, c := range f.calls {
		sum += c.total - c.base
	}
	f.CallRate = units.CallRate(sum / elapsed)
	f.shares = make(map[units.Instance]Share, len(f.calls))
	from := 0.0
	for _, entry := range slices.Sorted(maps.Keys(f.calls)) {
		c := f.calls[entry]
		width := 1 / float64(len(f.calls))
		if sum > 0 {
			width = evenFraction*width + (1-evenFraction)*(c.total-c.base)/sum
		}
		f.shares[entry] = Share{
			From: from,
			To:   min(1, from+width),
		}
		from += width
		c.base = c.total
	}
}

// ServicesFor returns the services that are or were brittle, with the shares of an entry.
func (s *Summary) ServicesFor(entry units.Instance) []Service {
	services := make([]Service, 0, len(s.services))
	for _, known := range s.services {
		service := known.Service
		service.Share = known.shares[entry]
		services = append(services, service)
	}
	return services
}

// Full returns the upstreams that were found full.
func (s *Summary) Full() []Full { return slices.Collect(maps.Values(s.full)) }

// Step recomputes the shares that are due, drops what is too old, and returns the services that are no
// longer brittle.
func (s *Summary) Step(now time.Time) []Service {
	var ended []Service
	for name, known := range s.services {
		brittle := known.IsBrittle(now)
		if !brittle && !known.ended {
			known.ended = true
			ended = append(ended, known.Service)
		}
		switch {
		case now.Sub(known.StatedAt) >= maxStatementAge:
			delete(s.services, name)
		case brittle && now.Sub(known.sharedAt) >= shareInterval:
			known.share(now)
		}
	}
	maps.DeleteFunc(s.full, func(_ units.IncarnationID, f Full) bool { return f.isOver(now) })
	return ended
}
