package releaser

import (
	"fmt"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// drainTime is how long before the time limit all calls go to the target, so that those at
	// the other version can end; a short roll-out reserves maxDrainFraction of its time for it.
	drainTime        = 2500 * time.Millisecond
	maxDrainFraction = 0.4
	// deadlineMargin is how long before the time limit the roll-out ends: its end is committed
	// by a majority, and the operator may ask late.
	deadlineMargin = 500 * time.Millisecond
	// minDrainTime is the minimum time that all calls go to the target before the roll-out is
	// completed: entries receive the share one after another.
	minDrainTime = 600 * time.Millisecond
	// minTargetFraction is the number of upstreams that the target must have before it gets all
	// calls, as a fraction of the other version's.
	minTargetFraction = 0.5
	// warmUp is how long a new leader receives reports of entries before it raises a share.
	warmUp = 800 * time.Millisecond
	// minUpstreamsToTrim is how many upstreams of the target must have answered for the worst
	// of them, a fraction of trimmedFraction, to be left out of the verdict: they may be slow
	// or fail for reasons of their own.
	minUpstreamsToTrim = 3
	trimmedFraction    = 0.25
	// recentWindow is the span over which a version is judged in addition to the whole
	// roll-out; checkpoints are kept at recentBuckets intervals of it.
	recentWindow  = 2500 * time.Millisecond
	recentBuckets = 5
)

// State is the state of a roll-out.
type State int

// The states of a roll-out; the last two are final.
const (
	Running State = iota + 1
	Completed
	RolledBack
)

// String returns the state's name as logs show it.
func (s State) String() string {
	return [...]string{"unknown", "running", "completed", "rolled-back"}[s]
}

// Route is the name of a route as entries report it.
type Route string

// UpstreamHash identifies an upstream of the target by its hash; 0 stands for all upstreams of other
// versions together.
type UpstreamHash uint64

// EntryIncarnation is one incarnation of one entry.
type EntryIncarnation struct {
	Entry       units.Instance
	Incarnation units.Incarnation
}

// Figures are what one incarnation of an entry has measured at an upstream on a route since the
// roll-out began.
type Figures struct {
	UpstreamHash UpstreamHash
	Route        Route
	Sample       Sample
}

// FleetStatus is how many upstreams of a service take calls, and how many calls are in flight at
// those of other versions than the target.
type FleetStatus struct {
	Target  int
	Other   int
	Running int
}

// Decision is what a step of a roll-out has decided.
type Decision struct {
	// Share is the fraction of the calls that the target may get.
	Share float64
	// End is Running or the final state of the roll-out, Reason why it has ended.
	End    State
	Reason string
	// Target and Other are the measurements that the decision is based on.
	Target Sample
	Other  Sample
}

// Monitor monitors one running roll-out at the leader; it is a state machine without a clock, and
// its exported fields are set before use.
type Monitor struct {
	// OrderedAt is when the roll-out was ordered, Limit its maximum duration.
	OrderedAt time.Time
	Limit     time.Duration
	// MonitoredSince is when this leader began to monitor.
	MonitoredSince time.Time
	// Exposure bounds the calls that a bad version may get.
	Exposure Exposure
	// Strategy sets the share until all calls go to the target; nil stands for EvidenceBased.
	Strategy Strategy

	reports     map[EntryIncarnation][]Figures
	checkpoints []checkpoint
	// fullShareAt is when the target got all calls.
	fullShareAt time.Time
	end         State
	reason      string
}

// Record records all that an entry has measured since the roll-out began; it replaces the entry's
// earlier report.
func (m *Monitor) Record(reporter EntryIncarnation, figures []Figures) {
	if m.reports == nil {
		m.reports = make(map[EntryIncarnation][]Figures)
	}
	m.reports[reporter] = figures
}

// Step returns the decision for now, by the clock of OrderedAt.
func (m *Monitor) Step(now time.Time, status FleetStatus) Decision {
	aggregate := m.aggregate()
	d := Decision{
		End:    Running,
		Target: aggregate.target,
		Other:  aggregate.other,
	}
	if m.end == 0 {
		m.end, m.reason = m.judge(now, status, aggregate)
	}
	if m.end != 0 {
		d.End = m.end
		d.Reason = m.reason
		if m.end == Completed {
			d.Share = 1
		}
		return d
	}
	switch {
	case now.Sub(m.MonitoredSince) < warmUp && now.Sub(m.OrderedAt) > warmUp:
		// The entries' measurements under the previous leader have not been reported yet.
	case !m.fullShareAt.IsZero():
		d.Share = 1
	case m.mayGetAllCalls(now, status):
		m.fullShareAt = now
		d.Share = 1
	case status.Target > 0:
		d.Share = m.strategy().Share(m.Exposure, m.progress(now, aggregate))
	}
	return d
}

// mayGetAllCalls reports whether it is time for all calls to go to the target, and whether it has
// the upstreams for them.
func (m *Monitor) mayGetAllCalls(now time.Time, status FleetStatus) bool {
	return now.Sub(m.OrderedAt) >= m.Limit-m.drainTime() && float64(status.Target) >= minTargetFraction*float64(status.Other)
}

func (m *Monitor) progress(now time.Time, s *aggregate) Progress {
	targetCalls := s.target.Answers + s.target.Running
	return Progress{
		Elapsed:        now.Sub(m.OrderedAt),
		FullShareAfter: m.Limit - m.drainTime(),
		Limit:          m.Limit,
		TargetCalls:    targetCalls,
		AllCalls:       targetCalls + s.other.Answers + s.other.Running,
	}
}

func (m *Monitor) strategy() Strategy {
	if m.Strategy == nil {
		return EvidenceBased{}
	}
	return m.Strategy
}

// drainTime returns how long before the time limit all calls go to the target.
func (m *Monitor) drainTime() time.Duration {
	return min(drainTime, time.Duration(maxDrainFraction*float64(m.Limit)))
}

// judge returns the state in which the roll-out ends now and why, 0 while it runs.
func (m *Monitor) judge(now time.Time, status FleetStatus, aggregate *aggregate) (State, string) {
	if reason := m.verdict(now, aggregate); reason != "" {
		return RolledBack, reason
	}
	if m.fullShareAt.IsZero() && m.mayGetAllCalls(now, status) {
		if reason := aggregate.doubt(); reason != "" {
			return RolledBack, reason
		}
	}
	late := now.Sub(m.OrderedAt) >= m.Limit-deadlineMargin
	drained := !m.fullShareAt.IsZero() && now.Sub(m.fullShareAt) >= minDrainTime
	switch {
	case drained && (late || status.Running == 0):
		return Completed, "no sign against the target"
	case late && status.Target == 0:
		return RolledBack, "no upstream of the target takes calls"
	case late && m.fullShareAt.IsZero():
		return RolledBack, fmt.Sprintf("the target has %d upstreams for the calls of %d", status.Target, status.Other)
	}
	return 0, ""
}

func (m *Monitor) aggregate() *aggregate {
	s := newAggregate()
	for _, figures := range m.reports {
		for i := range figures {
			s.add(&figures[i], 1)
		}
	}
	return s
}

// checkpoint is the aggregate at an earlier moment.
type checkpoint struct {
	at        time.Time
	aggregate *aggregate
}

// verdict judges the measurements since the roll-out began, and the recent ones by themselves:
// a version that turns bad has a good past.
func (m *Monitor) verdict(now time.Time, all *aggregate) string {
	if reason := all.verdict(); reason != "" {
		return reason
	}
	if len(m.checkpoints) == 0 || now.Sub(m.checkpoints[len(m.checkpoints)-1].at) >= recentWindow/recentBuckets {
		m.checkpoints = append(m.checkpoints, checkpoint{
			at:        now,
			aggregate: all,
		})
	}
	for len(m.checkpoints) > 1 && now.Sub(m.checkpoints[1].at) >= recentWindow {
		m.checkpoints = m.checkpoints[1:]
	}
	recent := all.since(m.checkpoints[0].aggregate)
	if recent.other.Answers < recent.target.Answers {
		// Hardly any calls are left at the other version, and these are its slowest.
		recent.useBaselineOf(all)
	}
	if reason := recent.verdict(); reason != "" {
		return "lately, " + reason
	}
	return ""
}
