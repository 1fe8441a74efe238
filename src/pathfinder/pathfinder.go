package pathfinder

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// partitionThreshold is how many upstreams of a service, or all where there are fewer, must be
// unreached for the service to count as partitioned from this entry.
const partitionThreshold = 3

const (
	// maxDenials is how many upstreams of a suspected service other entries must not reach either before the failures
	// of all are ignored, for denialTime.
	maxDenials = 3
	denialTime = time.Second
	// A partition that is reported is kept for reportHold, or for longHold where it is the third one or a later one
	// within reportWindow: upstreams that fail and return by turns must not change the state with each of them. Attempts
	// to connect are not held.
	reportHold   = 10 * time.Second
	longHold     = 30 * time.Second
	reportWindow = time.Minute
	// silenceTimeout is how long other entries may leave questions unanswered until a suspected service counts as
	// partitioned. Entries that are short of processor time need up to a second for the connection to each other, and
	// up to 1.6 s until they find that they do not reach an upstream.
	silenceTimeout = 3 * time.Second
)

// Answer is what other entries tell of an upstream that this one does not reach.
type Answer string

const (
	// AnswerReached means that another entry reaches the upstream.
	AnswerReached Answer = "reached"
	// AnswerUnreached means that another entry does not reach it either.
	AnswerUnreached Answer = "unreached"
	// AnswerUnknown means that no other entry can tell, or that there is none.
	AnswerUnknown Answer = "unknown"
	// AnswerNone means that other entries were asked, and that none has answered in time. It says nothing about the
	// upstream, as the others may be busy connecting to it.
	AnswerNone Answer = "none"
)

// Pathfinder records the connections that this entry makes to upstreams; it is safe for
// concurrent use. The zero value is ready for use.
type Pathfinder struct {
	// Random returns a number in [0, 1); nil selects the process's own source.
	Random func() float64
	// AsksPeers is set if other entries are asked before a service counts as partitioned (Verifier); it is set before
	// use.
	AsksPeers bool

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
	// failingSince is when the first of the failed attempts in a row began.
	failingSince map[units.IncarnationID]time.Time
	// down are the unreached upstreams that failed while others were reached. Their failures say nothing about
	// a partition.
	down map[units.IncarnationID]bool
	// suspectedSince is when the first of the failed attempts began that look like a partition, zero if none do.
	suspectedSince time.Time
	// confirmed is set once another entry reaches an upstream that this one does not, or no other entry can tell.
	// denied are the upstreams that others do not reach either, and deniedUntil is until when that is believed.
	// unansweredSince is when the first of the questions in a row was not answered in time, zero if the last one was.
	confirmed       bool
	denied          map[units.IncarnationID]bool
	deniedUntil     time.Time
	unansweredSince time.Time
	// partitionedSince is suspectedSince of a confirmed partition, zero while the service is not partitioned from
	// this entry.
	partitionedSince time.Time
	// reported is the state that is logged and told to the leader, reportedAt when it became partitioned within
	// reportWindow, and holdUntil until when it stays so.
	reported   bool
	reportedAt []time.Time
	holdUntil  time.Time
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
	// to connect to since the first failure, and for a while after that if it happens often.
	Partitioned bool
	// Unreached is the number of upstreams, of Present, to which the last attempt to connect failed.
	Unreached int
	Present   int
	// Down is the number of unreached upstreams that failed while others were reached.
	Down int
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
	if d.Failed {
		s.recordFailure(d)
	} else {
		s.recordConnection(d)
	}
	s.assess(p.AsksPeers)
	p.countDoubts()
	changed = s.report(d.StartedAt)
	return s.reach(d.Service), changed
}

// Settle returns the reach of the services whose reported partition ends, as it has been kept for long enough.
func (p *Pathfinder) Settle(now time.Time) []Reach {
	if p.doubts.Load() == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var ended []Reach
	for name, s := range p.services {
		if s.report(now) {
			ended = append(ended, s.reach(name))
		}
	}
	p.countDoubts()
	return ended
}

// report updates the reported state, and returns whether it has changed.
func (s *service) report(now time.Time) (changed bool) {
	partitioned := !s.partitionedSince.IsZero()
	if partitioned == s.reported || !partitioned && now.Before(s.holdUntil) {
		return false
	}
	s.reported = partitioned
	if !partitioned {
		return true
	}
	s.reportedAt = slices.DeleteFunc(s.reportedAt, func(at time.Time) bool { return now.Sub(at) >= reportWindow })
	s.reportedAt = append(s.reportedAt, now)
	switch len(s.reportedAt) {
	case 1:
		s.holdUntil = now
	case 2:
		s.holdUntil = now.Add(reportHold)
	default:
		s.holdUntil = now.Add(longHold)
	}
	return true
}

func (p *Pathfinder) countDoubts() {
	count := 0
	for _, s := range p.services {
		if len(s.failedAt) > 0 || s.reported {
			count++
		}
	}
	p.doubts.Store(int64(count))
}

func (s *service) recordFailure(d Dial) {
	if d.StartedAt.Before(s.connectedTo[d.Upstream]) || d.StartedAt.Before(s.failedAt[d.Upstream]) {
		return
	}
	if _, isFailing := s.failingSince[d.Upstream]; !isFailing {
		s.failingSince[d.Upstream] = d.StartedAt
		if len(s.failedAt) == len(s.down) {
			s.probeAt, s.probeDelay = d.StartedAt, 0
		}
	}
	if s.returning {
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
		delete(s.failingSince, d.Upstream)
		delete(s.down, d.Upstream)
	}
	if unreached || !s.suspectedSince.IsZero() {
		// Others may be reached again as well.
		s.returning = true
		s.probeAt, s.probeDelay = d.StartedAt, 0
	}
}

// assess decides whether the service is partitioned from this entry, and which upstreams are down. Upstreams that
// were last connected to before the first failure say nothing about the time since.
func (s *service) assess(asksPeers bool) {
	s.suspectedSince, s.partitionedSince = time.Time{}, time.Time{}
	first, failing := time.Time{}, 0
	for id, since := range s.failingSince {
		if s.down[id] {
			continue
		}
		failing++
		if first.IsZero() || since.Before(first) {
			first = since
		}
	}
	reached := 0
	for id, at := range s.connectedTo {
		if _, unreached := s.failedAt[id]; !unreached && at.After(first) {
			reached++
		}
	}
	switch {
	case failing == 0:
	case reached >= max(1, min(failing, partitionThreshold, len(s.present)-len(s.failedAt))):
		for id := range s.failingSince {
			s.down[id] = true
		}
	case failing >= max(1, min(partitionThreshold, len(s.present)-len(s.down))):
		s.suspectedSince = first
	}
	if s.suspectedSince.IsZero() {
		s.confirmed, s.unansweredSince = false, time.Time{}
		clear(s.denied)
	}
	if s.confirmed || !asksPeers {
		s.partitionedSince = s.suspectedSince
	}
}

// Question returns the upstream of a service to ask another entry about, to tell a partition of this one from upstreams
// that have crashed; false if nothing is to be asked.
func (p *Pathfinder) Question(now time.Time, name units.Service) (units.IncarnationID, bool) {
	if !p.AsksPeers || p.doubts.Load() == 0 {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[name]
	if s == nil || s.suspectedSince.IsZero() || s.confirmed || now.Before(s.deniedUntil) {
		return 0, false
	}
	asked := maps.Clone(s.denied)
	maps.Copy(asked, s.down)
	id := firstOf(s.failingSince, time.Time.After, asked)
	return id, id != 0
}

// RecordAnswer records what other entries tell of an upstream, and returns the reach of its service and whether the
// answer began or ended a partition.
func (p *Pathfinder) RecordAnswer(now time.Time, name units.Service, id units.IncarnationID, answer Answer) (reach Reach, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[name]
	if s == nil || s.suspectedSince.IsZero() {
		return Reach{}, false
	}
	if answer != AnswerNone {
		s.unansweredSince = time.Time{}
	} else if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
	switch answer {
	case AnswerReached:
		// The attempt of this entry that ran beside the question may have succeeded.
		_, s.confirmed = s.failingSince[id]
	case AnswerUnknown:
		s.confirmed = true
	case AnswerNone:
		s.confirmed = now.Sub(s.unansweredSince) >= silenceTimeout
	case AnswerUnreached:
		s.denied[id] = true
		if len(s.denied) >= min(maxDenials, len(s.failingSince)-len(s.down)) {
			s.deniedUntil = now.Add(denialTime)
			clear(s.denied)
		}
	}
	s.assess(p.AsksPeers)
	changed = s.report(now)
	return s.reach(name), changed
}

// SetPresent replaces the upstreams of all services, and returns the reach of those whose partition
// has begun or ended because upstreams are gone.
func (p *Pathfinder) SetPresent(now time.Time, present map[units.Service][]units.IncarnationID) []Reach {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changed []Reach
	for name, s := range p.services {
		if len(present[name]) > 0 {
			continue
		}
		delete(p.services, name)
		if s.reported {
			changed = append(changed, Reach{Service: name})
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
		maps.DeleteFunc(s.failingSince, isGone)
		maps.DeleteFunc(s.connectedTo, isGone)
		maps.DeleteFunc(s.down, func(id units.IncarnationID, _ bool) bool { return !known[id] })
		maps.DeleteFunc(s.denied, func(id units.IncarnationID, _ bool) bool { return !known[id] })
		s.assess(p.AsksPeers)
		if s.report(now) {
			changed = append(changed, s.reach(name))
		}
	}
	p.countDoubts()
	return changed
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
		if len(s.failedAt) > 0 || s.reported {
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
			failedAt:     make(map[units.IncarnationID]time.Time),
			failingSince: make(map[units.IncarnationID]time.Time),
			connectedTo:  make(map[units.IncarnationID]time.Time),
			down:         make(map[units.IncarnationID]bool),
			denied:       make(map[units.IncarnationID]bool),
		}
		p.services[name] = s
	}
	return s
}

func (s *service) reach(name units.Service) Reach {
	return Reach{
		Service:     name,
		Partitioned: s.reported,
		Down:        len(s.down),
		Unreached:   len(s.failedAt),
		Present:     len(s.present),
		Since:       s.partitionedSince,
	}
}
