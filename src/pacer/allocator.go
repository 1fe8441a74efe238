package pacer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxAccrualTime bounds the calls that may accrue to what the limit allows in this time, but
	// to no less than one call.
	maxAccrualTime = 300 * time.Millisecond
	// requestTTL is how long after a request an entry counts as having work: several polls.
	requestTTL = 600 * time.Millisecond
	// refreshInterval is how often the order of entries is recomputed.
	refreshInterval = 20 * time.Millisecond
	// unclaimedTimeout is how long accrued calls are reserved for the entries whose turn it is.
	unclaimedTimeout = 300 * time.Millisecond
	// shortageTTL is how long an upstream counts as short after it was denied calls.
	shortageTTL = 5 * time.Second
	// withdrawalTTL is how long the withdrawal of a limit is remembered, for entries that still
	// report the limit.
	withdrawalTTL = time.Minute
)

// Allocator grants the calls that limited upstreams take to entries; it is a state machine without
// a clock.
type Allocator struct {
	upstreams map[units.IncarnationID]*limitedUpstream
	// withdrawn holds, for each limit that was withdrawn, when the call was sent whose response
	// withdrew it.
	withdrawn map[units.IncarnationID]time.Time
	version   uint64
}

// limitedUpstream is the state of an upstream with a limit.
type limitedUpstream struct {
	rate     units.CallRate
	statedAt time.Time
	// accrued is how many calls may be granted now, as of accruedAt; fullSince is since when
	// accrued has been at its maximum, or zero.
	accrued    float64
	accruedAt  time.Time
	fullSince  time.Time
	requesters map[units.Instance]*requester
	// lastGrants holds when each entry that has work was last granted calls, oldest first, as of
	// refreshedAt.
	lastGrants  []time.Time
	refreshedAt time.Time
	// deniedAt is when the upstream was last denied calls that entries had for it.
	deniedAt time.Time
}

// requester is an entry that has work for an upstream.
type requester struct {
	requestedAt time.Time
	grantedAt   time.Time
}

// Limit is the limit of one upstream as known over all entries.
type Limit struct {
	IncarnationID units.IncarnationID
	Rate          units.CallRate
	StatedAt      time.Time
}

// RecordObservation records what an entry has observed of an upstream; observations may arrive in any order.
func (al *Allocator) RecordObservation(now time.Time, o Observation) {
	known := al.upstreams[o.IncarnationID]
	switch {
	case !o.HasLimit:
		if known != nil && o.withdrawsLimit(known.statedAt) {
			al.withdraw(o)
		}
	case !o.AnsweredAt.After(al.withdrawn[o.IncarnationID]):
	case known == nil:
		if al.upstreams == nil {
			al.upstreams = make(map[units.IncarnationID]*limitedUpstream)
		}
		al.upstreams[o.IncarnationID] = &limitedUpstream{
			rate:       o.Rate,
			statedAt:   o.AnsweredAt,
			accruedAt:  now,
			requesters: make(map[units.Instance]*requester),
		}
		al.version++
	case o.AnsweredAt.After(known.statedAt):
		known.accrue(now)
		known.statedAt = o.AnsweredAt
		if known.rate != o.Rate {
			known.rate = o.Rate
			known.accrued = min(known.accrued, known.maxAccrued())
			al.version++
		}
	}
}

func (al *Allocator) withdraw(o Observation) {
	delete(al.upstreams, o.IncarnationID)
	al.version++
	if al.withdrawn == nil {
		al.withdrawn = make(map[units.IncarnationID]time.Time)
	}
	al.withdrawn[o.IncarnationID] = o.SentAt
}

// RetainLimits drops the limits of upstreams that no longer exist.
func (al *Allocator) RetainLimits(now time.Time, exists func(units.IncarnationID) bool) {
	maps.DeleteFunc(al.withdrawn, func(_ units.IncarnationID, at time.Time) bool { return now.Sub(at) >= withdrawalTTL })
	for id := range al.upstreams {
		if !exists(id) {
			delete(al.upstreams, id)
			al.version++
		}
	}
}

// Grant returns how many calls an entry that has work for the given number may send to an
// upstream.
//
// Entries that have work take turns; otherwise the entry that asks first would be the same one
// each time. Calls that no entry claims go to the next one that asks.
func (al *Allocator) Grant(now time.Time, entry units.Instance, id units.IncarnationID, calls int) int {
	u := al.upstreams[id]
	if u == nil || calls <= 0 {
		return 0
	}
	u.accrue(now)
	r := u.requesters[entry]
	if r == nil {
		r = &requester{}
		u.requesters[entry] = r
	}
	r.requestedAt = now
	if u.accrued < 1 {
		u.deniedAt = now
		return 0
	}
	u.refresh(now)
	unclaimed := !u.fullSince.IsZero() && now.Sub(u.fullSince) >= unclaimedTimeout
	// The accrued calls are reserved for the entries that have waited the longest.
	cutoff := u.lastGrants[min(len(u.lastGrants), int(u.accrued))-1]
	if !unclaimed && r.grantedAt.After(cutoff) {
		u.deniedAt = now
		return 0
	}
	count := min(calls, max(1, int(math.Ceil(u.accrued/float64(len(u.lastGrants))))), int(u.accrued))
	if count < calls {
		u.deniedAt = now
	}
	r.grantedAt = now
	u.accrued -= float64(count)
	u.fullSince = time.Time{}
	return count
}

// refresh drops entries that no longer have work and recomputes lastGrants. The entry that asks
// is among those that remain.
func (u *limitedUpstream) refresh(now time.Time) {
	if now.Sub(u.refreshedAt) < refreshInterval {
		return
	}
	u.refreshedAt = now
	maps.DeleteFunc(u.requesters, func(_ units.Instance, r *requester) bool { return now.Sub(r.requestedAt) >= requestTTL })
	u.lastGrants = u.lastGrants[:0]
	for _, r := range u.requesters {
		u.lastGrants = append(u.lastGrants, r.grantedAt)
	}
	slices.SortFunc(u.lastGrants, time.Time.Compare)
}

// maxAccrued returns how many calls may accrue.
func (u *limitedUpstream) maxAccrued() float64 {
	return max(1, effectiveRate(u.rate)*maxAccrualTime.Seconds())
}

func (u *limitedUpstream) accrue(now time.Time) {
	passed := now.Sub(u.accruedAt)
	if passed <= 0 {
		return
	}
	u.accruedAt = now
	u.accrued += effectiveRate(u.rate) * passed.Seconds()
	if u.accrued < u.maxAccrued() {
		return
	}
	u.accrued = u.maxAccrued()
	if u.fullSince.IsZero() {
		u.fullSince = now
	}
}

// Limits returns all limits in order of their upstreams, and a version that changes with them.
func (al *Allocator) Limits() ([]Limit, uint64) {
	limits := make([]Limit, 0, len(al.upstreams))
	for id, u := range al.upstreams {
		limits = append(limits, Limit{
			IncarnationID: id,
			Rate:          u.rate,
			StatedAt:      u.statedAt,
		})
	}
	slices.SortFunc(limits, func(a, b Limit) int { return cmp.Compare(a.IncarnationID, b.IncarnationID) })
	return limits, al.version
}

// Version returns the version of the limits, which changes with them.
func (al *Allocator) Version() uint64 { return al.version }

// HasShortage reports whether an upstream recently took fewer calls than entries had for it.
func (al *Allocator) HasShortage(now time.Time, id units.IncarnationID) bool {
	u := al.upstreams[id]
	return u != nil && !u.deniedAt.IsZero() && now.Sub(u.deniedAt) < shortageTTL
}
