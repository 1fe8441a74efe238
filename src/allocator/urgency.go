package allocator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// recentTimeConstant is the time constant of the demand that the reserve follows: demand that moves to
	// another entry is reserved for there within a second.
	recentTimeConstant = 500 * time.Millisecond
	// reserveHorizon is for how long the expected demand of more urgent calls is reserved: the longest interval
	// between two polls, a round trip, and a margin.
	reserveHorizon = 300 * time.Millisecond
	// unreservedFraction is the fraction of its burst from which an account has room for all of its calls, so
	// that nothing is reserved. What an entry may admit at that level bounds the reserve.
	unreservedFraction = 0.7
	// guaranteedFraction is the fraction of what an urgency asks for, or of the account's limit if that is less,
	// which precedes all other calls. Without it, an urgency that alone asks for more than the limit would starve
	// the less urgent ones.
	guaranteedFraction = 0.12
	// smallSizeFraction is the fraction of a window's allowance up to which the debt of a call is small: some
	// entries may admit such a call at the same time from a bucket that has no room for it.
	smallSizeFraction = 0.01
	// lightFraction is the fraction of the account's usual call up to which a call is light: refusing it would save next
	// to nothing for the others.
	lightFraction = 0.1
	// minQueueWait is two polls at their longest interval. maxQueueWait extended by queueJitter is ten seconds, the
	// longest time that a caller is told to wait.
	minQueueWait = 400 * time.Millisecond
	maxQueueWait = 7500 * time.Millisecond
	queueJitter  = 1.0 / 3
	// goneFraction is the fraction of an urgency's demand below which its recent demand counts as gone: three to
	// four seconds after its last call.
	goneFraction = 0.01
	// maxBacklogTime bounds the backlog to what an entry's rate serves within the longest time that a caller is told
	// to wait: the callers of older refusals have returned.
	maxBacklogTime = 10 * time.Second
	// placeSlot is the precision of the time at which a refused call's place in the queue ends, half of the shortest
	// wait; placeSlots of them span maxBacklogTime.
	placeSlot  = minQueueWait / 2
	placeSlots = int64(maxBacklogTime/placeSlot) + 2
	// queueFraction is the fraction of an entry's rate at which the virtual queue drains. Calls that arrive meanwhile use
	// the rest: with all of it, retries and an account's usual load exceeded the limit for four seconds after an overload.
	queueFraction = 0.5
	// responseHorizonPolls is for how many intervals between responses an entry does not know of the others' calls: one,
	// and half of one for the round trip and a margin.
	responseHorizonPolls = 1.5
	// pollIntervalDecay is the fraction of the longest recent interval between responses that is kept at each response.
	pollIntervalDecay = 0.8
	// remainingFraction is the fraction of its remaining time for which a caller waits before it retries.
	remainingFraction = 1.0 / 3
	// maxConcurrentCalls is how many large calls at once must keep the limit without further checks: three borrowed
	// the whole burst of a small account within 70 ms. Beyond that, an entry admits so few that maxExpectedCalls are
	// expected at all entries until the next responses, if all demand were of that size.
	maxConcurrentCalls = 3
	maxExpectedCalls   = 0.1
	// maxUrgencies bounds the urgencies of an account that are told apart; less urgent ones count as the last.
	maxUrgencies = 16
)

// ClampUrgency returns the urgency as which a call counts at its account's limit.
func ClampUrgency(urgency int) int { return max(0, min(urgency, maxUrgencies-1)) }

// urgencyDemand is what the calls of one urgency ask for at this entry.
type urgencyDemand struct {
	urgency int
	// recent and demand are the demand in tokens per second over recentTimeConstant and over
	// demandTimeConstant, callRate the calls per second over the latter.
	recent   float64
	demand   float64
	callRate float64
	// backlog is the number of tokens of refused calls that have not drained and whose callers have not returned, and
	// places is the part of it whose callers return in each slot of placeSlot; the index is the slot modulo placeSlots.
	backlog float64
	places  [placeSlots]float64
}

// urgencies is the demand and the backlog of one account's calls at this entry, the most urgent first; it is a
// state machine without a clock.
type urgencies struct {
	demands   []*urgencyDemand
	updatedAt time.Time
}

// advance decays the demand, and drains the backlog at rate tokens per second; it drops what exceeds maxBacklogTime,
// the least urgent first.
func (u *urgencies) advance(now time.Time, rate float64) {
	passed := now.Sub(u.updatedAt).Seconds()
	if passed <= 0 {
		return
	}
	recent := math.Exp(-passed / recentTimeConstant.Seconds())
	retained := math.Exp(-passed / demandTimeConstant.Seconds())
	drained := passed * rate
	slot, ended := slotOf(now), min(slotOf(now)-slotOf(u.updatedAt), placeSlots)
	room := maxBacklogTime.Seconds() * rate
	for _, d := range u.demands {
		d.recent *= recent
		d.demand *= retained
		d.callRate *= retained
		served := min(drained, d.backlog)
		drained -= served
		for i := slot - ended; i < slot-ended+placeSlots && served > 0; i++ {
			served -= d.vacate(i, served)
		}
		for i := slot - ended; i < slot; i++ {
			d.vacate(i, d.places[i%placeSlots])
		}
		excess := max(0, d.backlog-room)
		for i := slot + placeSlots - 1; i >= slot && excess > 0; i-- {
			excess -= d.vacate(i, excess)
		}
		room -= d.backlog
	}
	u.updatedAt = now
}

// slotOf returns the slot of a time.
func slotOf(at time.Time) int64 { return at.UnixNano() / int64(placeSlot) }

// vacate takes up to tokens out of the backlog whose callers return in a slot, and returns how many it took.
func (d *urgencyDemand) vacate(slot int64, tokens float64) float64 {
	taken := min(tokens, d.places[slot%placeSlots])
	d.places[slot%placeSlots] -= taken
	d.backlog = max(0, d.backlog-taken)
	return taken
}

// demandOf returns the demand of an urgency.
func (u *urgencies) demandOf(urgency int) *urgencyDemand {
	urgency = ClampUrgency(urgency)
	i, found := slices.BinarySearchFunc(u.demands, urgency, func(d *urgencyDemand, urgency int) int {
		return cmp.Compare(d.urgency, urgency)
	})
	if !found {
		u.demands = slices.Insert(u.demands, i, &urgencyDemand{urgency: urgency})
	}
	return u.demands[i]
}

// record adds a call to the demand.
func (d *urgencyDemand) record(size float64) {
	d.recent += size / recentTimeConstant.Seconds()
	d.demand += size / demandTimeConstant.Seconds()
	d.callRate += 1 / demandTimeConstant.Seconds()
}

// guaranteed returns how much of rate tokens per second of demand precedes all other calls where the limit is limit
// tokens per second.
func guaranteed(demand, limit float64) float64 { return guaranteedFraction * min(demand, limit) }

// reserve returns the number of tokens to keep for the calls that are more urgent than those of an urgency: what they
// will ask for, and room for the first of them.
func (u *urgencies) reserve(urgency int) float64 {
	moreUrgent, usual := 0.0, 0.0
	for _, d := range u.demands {
		if d.urgency < urgency {
			moreUrgent += d.recent
			// The mean size does not decay; its room would be kept long after the last call.
			if d.recent > goneFraction*d.demand {
				usual = max(usual, d.usualSize())
			}
		}
	}
	return moreUrgent*reserveHorizon.Seconds() + usual
}

// guarantees returns the number of tokens to keep for what is guaranteed to calls of an urgency and of less urgent
// ones, from an entry's rate.
func (u *urgencies) guarantees(urgency int, rate float64) float64 {
	sum := 0.0
	for _, d := range u.demands {
		if d.urgency >= urgency {
			sum += guaranteed(d.recent, rate)
		}
	}
	return sum * reserveHorizon.Seconds()
}

// marginal returns the urgency that uses up an entry's rate: less urgent calls find nothing but what is guaranteed.
func (u *urgencies) marginal(rate float64) int {
	upTo, retained := 0.0, u.retained()
	for _, d := range u.demands {
		upTo += retained * d.demand
		if upTo > rate {
			return d.urgency
		}
	}
	return maxUrgencies
}

// usualSize returns the mean size of the urgency's calls, 0 if there were none.
func (d *urgencyDemand) usualSize() float64 {
	if d.callRate == 0 {
		return 0
	}
	return d.demand / d.callRate
}

// fractionUpTo returns which fraction of the demand the calls of an urgency and the more urgent ones ask for.
func (u *urgencies) fractionUpTo(urgency int) float64 {
	upTo, total := 0.0, 0.0
	for _, d := range u.demands {
		total += d.demand
		if d.urgency <= urgency {
			upTo += d.demand
		}
	}
	if total <= 0 {
		return 1
	}
	return upTo / total
}

// turn returns the time until a refused call's turn in the virtual queue, behind calls that are as urgent or more
// urgent and once the bucket has refilled what it lacks.
func (u *urgencies) turn(d *urgencyDemand, size, lacking, rate float64) time.Duration {
	ahead := size + max(0, lacking)
	for _, other := range u.demands {
		if other.urgency <= d.urgency {
			ahead += other.backlog
		}
	}
	return seconds(min(ahead/rate, maxQueueWait.Seconds()))
}

// place keeps a place in the virtual queue until the caller returns.
func (u *urgencies) place(d *urgencyDemand, size float64, wait time.Duration) {
	slot := slotOf(u.updatedAt.Add(min(wait, maxBacklogTime)))
	d.places[slot%placeSlots] += size
	d.backlog += size
}

// overdemanded reports whether a demand at all entries is more than the account's limit, for an entry in contact. A bunch
// of calls of an account within its limit raises the demand above the limit for as long as the estimate takes to fall,
// and the level of the account's bucket has room for that.
func (b *localBucket) overdemanded(now time.Time, demand float64) bool {
	return b.estimatedLevel(now) < (demand-b.globalRate)*demandTimeConstant.Seconds()
}

// exceeded reports whether the account asks for more than its limit, as far as this entry knows.
func (b *localBucket) exceeded(now time.Time) bool {
	exceeded := b.demand > b.rate
	if b.inContact(now) {
		demand := b.currentDemand()
		exceeded = demand > b.globalRate && b.overdemanded(now, demand) && b.estimatedLevel(now) < unreservedFraction*b.burst
	}
	if exceeded {
		b.exceededAt = now
	}
	return exceeded
}

// updateTotalDemand derives the account's demand at all entries from the share that the leader has granted for the
// demand in this entry's last poll.
func (b *localBucket) updateTotalDemand(entries int) {
	b.totalDemand = 0
	byDemand := b.share
	if entries > 0 {
		byDemand -= evenFraction / float64(entries)
	}
	if byDemand > 0 {
		b.totalDemand = (1 - evenFraction) * b.reportedDemand / byDemand
	}
}

// currentDemand returns the account's demand at all entries, as far as it has not fallen at this entry since.
func (b *localBucket) currentDemand() float64 {
	return b.totalDemand * b.urgencies.retained()
}

// retained returns what fraction of the demand over demandTimeConstant remains over recentTimeConstant.
func (u *urgencies) retained() float64 {
	recent, demand := 0.0, 0.0
	for _, d := range u.demands {
		recent += d.recent
		demand += d.demand
	}
	if recent >= demand {
		return 1
	}
	return recent / demand
}

// guaranteedProbability returns the probability with which a call precedes the others. A random choice takes large
// calls in the same proportion as small ones, also where an entry receives few of them.
func (b *localBucket) guaranteedProbability(now time.Time, d *urgencyDemand) float64 {
	demand, limit := d.demand, b.rate
	if b.inContact(now) && b.demand > 0 {
		// An entry receives few calls of an urgency, but knows the account's demand at all entries.
		demand, limit = b.totalDemand*min(1, d.demand/b.demand), b.globalRate
	}
	if demand <= limit {
		return guaranteedFraction
	}
	return guaranteed(demand, limit) / demand
}

// reserveFor returns the number of tokens that a call must leave to calls that precede it. A call that is guaranteed
// precedes those of the marginal urgency, but not more urgent ones, which the limit has room for.
func (b *localBucket) reserveFor(d *urgencyDemand, isGuaranteed bool) float64 {
	marginal := b.urgencies.marginal(b.rate)
	reserve := b.urgencies.reserve(min(d.urgency, marginal))
	if !isGuaranteed {
		reserve = b.urgencies.reserve(d.urgency)
		if d.urgency >= marginal {
			reserve += b.urgencies.guarantees(d.urgency, b.rate)
		}
	}
	return min(reserve, entryAllowance(unreservedFraction*b.burst, b.burst, b.share))
}

// requiredByUrgency returns the level that a call of an urgency requires beside the reserve.
//
// It is the same for all sizes: if a small call needed less room than a large one, the small calls would use up
// every refill. Calls whose debt is not small need at least the room that they need without urgencies: some of them
// at once would exceed the limit of a small account. Without contact, no other entry would know of any debt.
func (b *localBucket) requiredByUrgency(now time.Time, d *urgencyDemand, size float64) float64 {
	if !b.inContact(now) || d.callRate == 0 {
		return b.requiredLevel(now, size)
	}
	required := min(b.capacity, d.usualSize())
	if size > b.smallSize {
		required = max(required, b.requiredLevel(now, size))
	}
	return required
}

// canPrecede reports whether a call may be admitted though less urgent ones have used this entry's grant: the account's
// bucket has room for all calls of its urgency and of more urgent ones at all entries until the next responses.
func (b *localBucket) canPrecede(now time.Time, d *urgencyDemand, size float64) bool {
	if size > b.smallSize || b.globalLevelAt.IsZero() || now.Sub(b.globalLevelAt) > borrowTTL {
		return false
	}
	preceding := b.currentDemand() * b.urgencies.fractionUpTo(d.urgency) * b.responseHorizon().Seconds()
	return b.estimatedLevel(now) >= preceding+size
}

// responseHorizon returns for how long an entry does not know of calls at others.
func (b *localBucket) responseHorizon() time.Duration {
	if b.pollInterval == 0 {
		return reserveHorizon
	}
	return min(reserveHorizon, time.Duration(responseHorizonPolls*float64(b.pollInterval)))
}

// recordResponse updates the longest recent interval between responses.
func (b *localBucket) recordResponse(now time.Time) {
	if !b.globalLevelAt.IsZero() {
		b.pollInterval = max(now.Sub(b.globalLevelAt), time.Duration(pollIntervalDecay*float64(b.pollInterval)))
	}
}

// crowdedProbability returns the probability with which a large call of an account beyond its limit must be refused,
// since other entries may admit calls of its size before the next responses. From a bucket that has room for one such
// call, maxConcurrentCalls of them would exceed the limit.
func (b *localBucket) crowdedProbability(now time.Time, size float64) float64 {
	if size <= max(b.level, b.smallSize) || !b.inContact(now) || !b.overdemanded(now, b.totalDemand) {
		return 0
	}
	level := b.estimatedLevel(now)
	if maxConcurrentCalls*size-level <= 2*b.maxDebt {
		return 0
	}
	// Two at once need room for both, less their debts.
	if level < min(2*(size-b.maxDebt), fullFraction*b.burst) {
		return 1
	}
	expected := b.totalDemand * reserveHorizon.Seconds() / size
	return max(0, 1-maxExpectedCalls/expected)
}

// isLight reports whether a call takes so little that it needs to leave no reserve.
func (b *localBucket) isLight(size float64) bool {
	return b.callRate > 0 && size <= lightFraction*b.demand/b.callRate
}

// decideByUrgency charges a call of an account beyond its limit, or refuses it.
func (l *LocalLimiter) decideByUrgency(now time.Time, b *localBucket, d *urgencyDemand, ask Ask) Decision {
	size := ask.Size
	if b.isLight(size) && b.level >= size && b.canAfford(now, size) {
		b.charge(size)
		return Decision{Admitted: true}
	}
	isGuaranteed := l.random() < b.guaranteedProbability(now, d)
	reserve, required := b.reserveFor(d, isGuaranteed), b.requiredByUrgency(now, d, size)
	if isGuaranteed && b.inContact(now) && size <= b.smallSize {
		required = 0
	}
	if b.level >= min(b.capacity, required+reserve) && b.canAfford(now, size) {
		b.charge(size)
		return Decision{Admitted: true, Reserve: reserve}
	}
	if b.canPrecede(now, d, size) {
		b.charge(size)
		return Decision{Admitted: true, Reserve: reserve}
	}
	if (reserve == 0 || isGuaranteed) && b.canBorrow(now, size) {
		b.borrowed = true
		b.charge(size)
		return Decision{Admitted: true}
	}
	return Decision{
		RetryAfter: l.queue(b, d, ask, required+reserve-b.level),
		Reserve:    reserve,
	}
}

// queue gives a refused call its place in the virtual queue, and returns when its caller is to retry. A caller that
// retries before its turn holds no place: it is told to retry soon, and a place for it would delay others in vain.
func (l *LocalLimiter) queue(b *localBucket, d *urgencyDemand, ask Ask, lacking float64) time.Duration {
	turn := b.urgencies.turn(d, ask.Size, lacking, queueFraction*b.rate)
	if ask.bound(turn) < turn {
		return ask.bound(l.spread(minQueueWait))
	}
	wait := ask.bound(l.spread(turn))
	b.urgencies.place(d, ask.Size, wait)
	return wait
}

// bound returns how long the caller of a refused call is told to wait: no longer than it waits before it retries.
func (a Ask) bound(wait time.Duration) time.Duration {
	if a.Remaining <= 0 {
		return wait
	}
	return min(wait, time.Duration(float64(a.Remaining)*remainingFraction))
}

// spread bounds the wait of a refused call and extends it by up to a third, so that calls that were refused together
// do not return together.
func (l *LocalLimiter) spread(wait time.Duration) time.Duration {
	wait = min(max(wait, minQueueWait), maxQueueWait)
	return wait + time.Duration(l.random()*float64(wait)*queueJitter)
}

func (l *LocalLimiter) random() float64 {
	if l.Random == nil {
		return 1
	}
	return l.Random()
}
