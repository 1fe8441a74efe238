package pacer

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxWanted bounds the number of calls for which an entry requests permits for one upstream
	// at once.
	maxWanted = 64
	// leaderTimeout is how long after the leader's last response an entry uses permits only;
	// after that it uses its own share of the limit.
	leaderTimeout = time.Second
	// leaderlessFraction is the fraction of a limit that all entries use together without a
	// leader: each may have accrued one call by then, and their calls resume at about the same
	// time.
	leaderlessFraction = 0.5
)

// ObservationNumber numbers an entry's observations of upstreams, starting at 1.
type ObservationNumber uint64

// Gate holds one entry to the limits that upstreams state; it is safe for concurrent use.
type Gate struct {
	// limitedCount is the number of upstreams with limits, which lets callers return early when
	// there are none.
	limitedCount atomic.Int64

	mu         sync.Mutex
	upstreams  map[units.IncarnationID]*upstreamGate
	lastNumber ObservationNumber
	// entryCount is the number of entries, leaderContactAt when the leader last responded.
	entryCount      int
	leaderContactAt time.Time
}

// upstreamGate is what an entry knows of an upstream that states a limit, or once did.
type upstreamGate struct {
	Observation
	// sequence numbers this entry's last own observation of the upstream, 0 where it knows the
	// limit only from the leader.
	sequence ObservationNumber
	permits  []permit
	// wanted counts the calls since the last poll that were sent to the upstream, or would have
	// been.
	wanted int
	// leaderlessCalls is how many calls may be sent without a leader, as of leaderlessAt.
	leaderlessCalls float64
	leaderlessAt    time.Time
}

// permit allows a number of calls until a time.
type permit struct {
	calls int
	until time.Time
}

// RecordObservation records what a response states and reports whether it changes the limit.
func (g *Gate) RecordObservation(o Observation) bool {
	if !o.HasLimit && g.limitedCount.Load() == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.upstreams[o.IncarnationID]
	switch {
	case !o.HasLimit && (known == nil || !known.HasLimit || !o.withdrawsLimit(known.AnsweredAt)):
		return false
	case known == nil:
		if g.upstreams == nil {
			g.upstreams = make(map[units.IncarnationID]*upstreamGate)
		}
		known = &upstreamGate{}
		g.upstreams[o.IncarnationID] = known
	case o.HasLimit && o.AnsweredAt.Before(known.AnsweredAt):
		return false
	}
	changed := known.HasLimit != o.HasLimit || known.Rate != o.Rate
	known.trimPermits(o.Rate)
	known.Observation = o
	g.lastNumber++
	known.sequence = g.lastNumber
	g.updateLimitedCount()
	return changed
}

// ApplyLimits applies the limits in a leader's response. sentAt is when the answered poll was sent,
// and acknowledged the number of the last observation reported to the leader. A leader that is
// not settled, that is, has not received reports from all entries yet, may add limits but
// withdraws none.
func (g *Gate) ApplyLimits(sentAt time.Time, acknowledged ObservationNumber, limits []Limit, settled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(limits)+len(g.upstreams) == 0 {
		return
	}
	listed := make(map[units.IncarnationID]bool, len(limits))
	for _, limit := range limits {
		listed[limit.IncarnationID] = true
		known := g.upstreams[limit.IncarnationID]
		if known == nil {
			if g.upstreams == nil {
				g.upstreams = make(map[units.IncarnationID]*upstreamGate)
			}
			known = &upstreamGate{}
			g.upstreams[limit.IncarnationID] = known
		}
		if known.sequence > acknowledged {
			continue
		}
		if !known.HasLimit || known.AnsweredAt.Before(limit.StatedAt) {
			known.AnsweredAt = limit.StatedAt
		}
		known.trimPermits(limit.Rate)
		known.IncarnationID = limit.IncarnationID
		known.HasLimit = true
		known.Rate = limit.Rate
	}
	for id, known := range g.upstreams {
		if settled && !listed[id] && known.sequence <= acknowledged && known.AnsweredAt.Before(sentAt) {
			delete(g.upstreams, id)
		}
	}
	g.updateLimitedCount()
}

// trimPermits reduces the permits granted under a higher limit in proportion to a lower one.
func (u *upstreamGate) trimPermits(rate units.CallRate) {
	if !u.HasLimit || rate >= u.Rate {
		return
	}
	remaining := float64(rate / u.Rate)
	for i := range u.permits {
		u.permits[i].calls = int(remaining * float64(u.permits[i].calls))
	}
	u.permits = slices.DeleteFunc(u.permits, func(p permit) bool { return p.calls == 0 })
}

func (g *Gate) updateLimitedCount() {
	limitedCount := int64(0)
	for _, known := range g.upstreams {
		if known.HasLimit {
			limitedCount++
		}
	}
	g.limitedCount.Store(limitedCount)
}

// RecordLeaderContact records that the leader has responded, and the number of entries.
func (g *Gate) RecordLeaderContact(now time.Time, entryCount int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaderContactAt = now
	g.entryCount = entryCount
}

// AddPermits adds permits for calls to an upstream; they expire permitTTL after the poll that
// requested them was sent.
func (g *Gate) AddPermits(sentAt time.Time, id units.IncarnationID, calls int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.upstreams[id]; known != nil && calls > 0 {
		known.permits = append(known.permits, permit{
			calls: calls,
			until: sentAt.Add(permitTTL),
		})
	}
}

// Closed returns the upstreams that may get no call now, nil for none.
func (g *Gate) Closed(now time.Time) map[units.IncarnationID]bool {
	if g.limitedCount.Load() == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	closed := make(map[units.IncarnationID]bool)
	for id, known := range g.upstreams {
		if known.HasLimit && !g.isOpen(now, known) {
			closed[id] = true
		}
	}
	return closed
}

// RecordDemand records that a call would have gone to an upstream that may get none.
func (g *Gate) RecordDemand(id units.IncarnationID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.upstreams[id]; known != nil {
		known.wanted = min(known.wanted+1, maxWanted)
	}
}

// Admit uses one permit for a call and reports whether the call may go to the upstream.
func (g *Gate) Admit(now time.Time, id units.IncarnationID) bool {
	if g.limitedCount.Load() == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.upstreams[id]
	if known == nil || !known.HasLimit {
		return true
	}
	known.wanted = min(known.wanted+1, maxWanted)
	if !g.isOpen(now, known) {
		return false
	}
	if len(known.permits) == 0 {
		known.leaderlessCalls--
		return true
	}
	known.permits[0].calls--
	if known.permits[0].calls == 0 {
		known.permits = known.permits[1:]
	}
	return true
}

// isOpen reports whether one call may go to an upstream with a limit.
func (g *Gate) isOpen(now time.Time, known *upstreamGate) bool {
	known.permits = slices.DeleteFunc(known.permits, func(p permit) bool { return !now.Before(p.until) })
	if len(known.permits) > 0 {
		return true
	}
	return g.accrueLeaderless(now, known) >= 1
}

// accrueLeaderless updates and returns how many calls may be sent without a leader. No calls
// accrue while there is one, because all entries lose it at the same time, nor at an entry that no
// leader has told how many share the limit.
func (g *Gate) accrueLeaderless(now time.Time, known *upstreamGate) float64 {
	if g.entryCount == 0 {
		return 0
	}
	lostAt := g.leaderContactAt.Add(leaderTimeout)
	if now.Before(lostAt) {
		known.leaderlessCalls = 0
		return 0
	}
	if known.leaderlessAt.Before(lostAt) {
		known.leaderlessAt = lostAt
		known.leaderlessCalls = 0
	}
	rate := leaderlessFraction * effectiveRate(known.Rate) / float64(g.entryCount)
	known.leaderlessCalls = min(1, known.leaderlessCalls+rate*now.Sub(known.leaderlessAt).Seconds())
	known.leaderlessAt = now
	return known.leaderlessCalls
}

// TakeDemand returns the number of calls for which this entry needs permits, by upstream, and resets
// the counts.
func (g *Gate) TakeDemand(now time.Time) map[units.IncarnationID]int {
	if g.limitedCount.Load() == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	wants := make(map[units.IncarnationID]int)
	for id, known := range g.upstreams {
		held := 0
		for _, p := range known.permits {
			if now.Before(p.until) {
				held += p.calls
			}
		}
		if known.HasLimit && known.wanted > held {
			wants[id] = known.wanted - held
		}
		known.wanted = 0
	}
	return wants
}

// ObservationsAfter returns this entry's own observations after the given number, in order, and the number of
// the last one.
func (g *Gate) ObservationsAfter(number ObservationNumber) ([]Observation, ObservationNumber) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastNumber == number {
		return nil, number
	}
	fresh := make(map[ObservationNumber]Observation)
	for _, known := range g.upstreams {
		if known.sequence > number {
			fresh[known.sequence] = known.Observation
		}
	}
	var observations []Observation
	for _, n := range slices.Sorted(maps.Keys(fresh)) {
		observations = append(observations, fresh[n])
	}
	return observations, g.lastNumber
}

// Limits returns the limits that this entry knows, by upstream.
func (g *Gate) Limits() map[units.IncarnationID]units.CallRate {
	g.mu.Lock()
	defer g.mu.Unlock()
	limits := make(map[units.IncarnationID]units.CallRate)
	for id, known := range g.upstreams {
		if known.HasLimit {
			limits[id] = known.Rate
		}
	}
	return limits
}
