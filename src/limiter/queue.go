package limiter

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// minQueue is the least length of a full queue, for services with few slots.
	minQueue = 4
	// meanWeight is how much one call changes the mean time in service.
	meanWeight = 0.05
	// firstMean is taken for the time in service until calls have ended.
	firstMean = time.Second
	// credit is how many tokens for its weight an idle account may catch up.
	credit = 1000
)

// item is one call that waits for a slot of a service.
type item struct {
	account  units.Account
	weight   float64
	priority int
	cost     float64
	// turn is closed when the item has a slot, dropped when it is refused.
	turn    chan struct{}
	dropped chan struct{}
}

// queue decides who of a service's callers goes next and who is refused.
//
// It is fair queueing by token cost: a call that gets a slot moves its account's
// place in virtual time on by cost over weight, and the account that is
// furthest behind is next. So a flood of one account delays its own calls and
// no other's, and a call that is refused costs its account nothing.
type queue struct {
	// bound is how many calls may run; 0 bounds nothing.
	bound   int
	target  time.Duration
	running int
	waiting []*item
	virtual float64
	finish  map[units.Account]float64
	mean    time.Duration
}

// verdict is what became of an arriving call.
type verdict int

const (
	runs verdict = iota
	waits
	refused
)

// arrive takes a call in. Where the queue is full, one call is refused: of those
// of the lowest priority, the one that would be served last.
func (q *queue) arrive(next *item) (verdict, *item) {
	if q.bound == 0 || (q.running < q.bound && len(q.waiting) == 0) {
		q.serve(next)
		return runs, nil
	}
	victim := (*item)(nil)
	if len(q.waiting) >= q.limit() {
		victim = q.victim(next)
		if victim == next {
			return refused, nil
		}
		q.remove(victim)
	}
	q.waiting = append(q.waiting, next)
	return waits, victim
}

// start is an account's place in virtual time. One that was idle has a bounded
// credit from then: its calls come unevenly, and without credit each that comes
// a little early would be refused and the time between lost.
func (q *queue) start(account units.Account) float64 {
	return max(q.virtual-credit, q.finish[account])
}

func (q *queue) serve(next *item) {
	if q.finish == nil {
		q.finish = make(map[units.Account]float64)
	}
	q.running++
	start := q.start(next.account)
	q.virtual = max(q.virtual, start)
	q.finish[next.account] = start + next.cost/next.weight
}

// limit returns how many calls can wait and still get a slot within the target.
func (q *queue) limit() int {
	mean := q.mean
	if mean == 0 {
		mean = firstMean
	}
	return max(minQueue, int(float64(q.bound)*float64(q.target)/float64(mean)))
}

// wait returns how long the queue takes to give a slot to a call behind it.
func (q *queue) wait() time.Duration {
	mean := q.mean
	if mean == 0 {
		mean = firstMean
	}
	return mean * time.Duration(len(q.waiting)+1) / time.Duration(max(1, q.bound))
}

// victim returns the call of the lowest priority that would be served last. An
// account with few calls is at the front however much they cost, so that a
// flood of cheap calls refuses its own.
func (q *queue) victim(arriving *item) *item {
	candidates := append(slices.Clone(q.waiting), arriving)
	lowest := arriving.priority
	for _, candidate := range candidates {
		lowest = max(lowest, candidate.priority)
	}
	behind := make(map[units.Account]float64)
	var victim *item
	latest := 0.0
	for _, candidate := range candidates {
		start := q.start(candidate.account) + behind[candidate.account]
		behind[candidate.account] += candidate.cost / candidate.weight
		if candidate.priority == lowest && (victim == nil || start >= latest) {
			victim = candidate
			latest = start
		}
	}
	return victim
}

// leave frees a slot and returns the call that gets it, or nil.
func (q *queue) leave(took time.Duration) *item {
	q.running--
	if q.mean == 0 {
		q.mean = took
	}
	q.mean += time.Duration(meanWeight * float64(took-q.mean))
	return q.next()
}

// next gives a free slot to the call whose turn it is, or returns nil.
func (q *queue) next() *item {
	if len(q.waiting) == 0 || (q.bound > 0 && q.running >= q.bound) {
		q.rest()
		return nil
	}
	first := q.waiting[0]
	for _, candidate := range q.waiting {
		if q.start(candidate.account) < q.start(first.account) {
			first = candidate
		}
	}
	q.remove(first)
	q.serve(first)
	return first
}

// rest forgets the accounts' places once nothing runs, so that the table holds
// no account for good.
func (q *queue) rest() {
	if q.running == 0 && len(q.waiting) == 0 {
		clear(q.finish)
		q.virtual = 0
	}
}

// remove takes a call out and reports whether it was waiting.
func (q *queue) remove(gone *item) bool {
	for i, candidate := range q.waiting {
		if candidate == gone {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}
