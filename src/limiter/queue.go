package limiter

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// minQueueLength is the minimum capacity of a queue, for services with few
	// slots.
	minQueueLength = 4
	// meanSmoothing is the weight of one call in the moving average of the service
	// time.
	meanSmoothing = 0.05
	// initialServiceTime is the assumed mean service time until a call has ended.
	initialServiceTime = time.Second
	// maxCredit is how much virtual time, in tokens per unit of weight, an idle
	// account may be behind.
	maxCredit = 1000
)

// queuedCall is one call that waits for a slot of a service.
type queuedCall struct {
	account  units.Account
	weight   float64
	priority int
	cost     float64
	// granted is closed when the call has a slot, evicted when it is refused.
	granted chan struct{}
	evicted chan struct{}
}

// callQueue decides which of a service's callers is next and which is refused.
//
// It implements weighted fair queueing by token cost: a call that is granted a slot
// advances its account's finish time in virtual time by cost over weight, and the
// account with the earliest start time is next. A flood of calls from one account
// therefore delays only its own calls, and a refused call costs its account
// nothing.
type callQueue struct {
	// maxRunning is how many calls may run; 0 means no bound.
	maxRunning      int
	maxWait         time.Duration
	running         int
	waiting         []*queuedCall
	virtualTime     float64
	finishTimes     map[units.Account]float64
	meanServiceTime time.Duration
}

// verdict is the outcome for an arriving call.
type verdict int

const (
	verdictRuns verdict = iota
	verdictWaits
	verdictRefused
)

// enqueue adds a call. If the queue is full, one call is refused: of those of the
// lowest priority, the one that would be served last.
func (q *callQueue) enqueue(arriving *queuedCall) (verdict, *queuedCall) {
	if q.maxRunning == 0 || (q.running < q.maxRunning && len(q.waiting) == 0) {
		q.grantSlot(arriving)
		return verdictRuns, nil
	}
	victim := (*queuedCall)(nil)
	if len(q.waiting) >= q.maxLength() {
		victim = q.victim(arriving)
		if victim == arriving {
			return verdictRefused, nil
		}
		q.remove(victim)
	}
	q.waiting = append(q.waiting, arriving)
	return verdictWaits, victim
}

// startTime returns an account's start in virtual time. An account that was idle
// keeps a bounded credit: its calls arrive unevenly, and without credit each call
// that arrives slightly early would be refused and the idle time before it lost.
func (q *callQueue) startTime(account units.Account) float64 {
	return max(q.virtualTime-maxCredit, q.finishTimes[account])
}

func (q *callQueue) grantSlot(arriving *queuedCall) {
	if q.finishTimes == nil {
		q.finishTimes = make(map[units.Account]float64)
	}
	q.running++
	startTime := q.startTime(arriving.account)
	q.virtualTime = max(q.virtualTime, startTime)
	q.finishTimes[arriving.account] = startTime + arriving.cost/arriving.weight
}

// maxLength returns how many calls can wait and still get a slot within maxWait.
func (q *callQueue) maxLength() int {
	meanServiceTime := q.meanServiceTime
	if meanServiceTime == 0 {
		meanServiceTime = initialServiceTime
	}
	return max(minQueueLength, int(float64(q.maxRunning)*float64(q.maxWait)/float64(meanServiceTime)))
}

// estimatedWait returns how long a call at the end of the queue would wait for a
// slot.
func (q *callQueue) estimatedWait() time.Duration {
	meanServiceTime := q.meanServiceTime
	if meanServiceTime == 0 {
		meanServiceTime = initialServiceTime
	}
	return meanServiceTime * time.Duration(len(q.waiting)+1) / time.Duration(max(1, q.maxRunning))
}

// victim returns the call of the lowest priority that would be served last. An
// account with few calls is near the front however much they cost, so that a flood
// of cheap calls evicts its own.
func (q *callQueue) victim(arriving *queuedCall) *queuedCall {
	candidates := append(slices.Clone(q.waiting), arriving)
	lowest := arriving.priority
	for _, candidate := range candidates {
		lowest = max(lowest, candidate.priority)
	}
	pendingCost := make(map[units.Account]float64)
	var victim *queuedCall
	latestStart := 0.0
	for _, candidate := range candidates {
		startTime := q.startTime(candidate.account) + pendingCost[candidate.account]
		pendingCost[candidate.account] += candidate.cost / candidate.weight
		if candidate.priority == lowest && (victim == nil || startTime >= latestStart) {
			victim = candidate
			latestStart = startTime
		}
	}
	return victim
}

// releaseSlot frees a slot and returns the call that is granted it, or nil.
func (q *callQueue) releaseSlot(took time.Duration) *queuedCall {
	q.running--
	if q.meanServiceTime == 0 {
		q.meanServiceTime = took
	}
	q.meanServiceTime += time.Duration(meanSmoothing * float64(took-q.meanServiceTime))
	return q.next()
}

// next grants a free slot to the next call in order and returns it, or nil if no
// slot is free or no call waits.
func (q *callQueue) next() *queuedCall {
	if len(q.waiting) == 0 || (q.maxRunning > 0 && q.running >= q.maxRunning) {
		q.resetIfIdle()
		return nil
	}
	first := q.waiting[0]
	for _, candidate := range q.waiting {
		if q.startTime(candidate.account) < q.startTime(first.account) {
			first = candidate
		}
	}
	q.remove(first)
	q.grantSlot(first)
	return first
}

// resetIfIdle clears the accounts' finish times once nothing runs or waits, so that
// the table does not keep accounts forever.
func (q *callQueue) resetIfIdle() {
	if q.running == 0 && len(q.waiting) == 0 {
		clear(q.finishTimes)
		q.virtualTime = 0
	}
}

// remove removes a call and reports whether it was waiting.
func (q *callQueue) remove(removed *queuedCall) bool {
	for i, candidate := range q.waiting {
		if candidate == removed {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}
