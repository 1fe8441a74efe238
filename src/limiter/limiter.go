package limiter

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	minRetry = time.Second
	maxRetry = 30 * time.Second
	epsilon  = 1e-9
	// waitPart is the part of the first token's target that a call may wait for a slot.
	waitPart = 25
	// dueWaits is how many times as long the call of an account may wait that has
	// had less than its weight is due.
	dueWaits = 6
)

// Shares tells what this entry may use of a limit now.
type Shares interface {
	Shares(limit string) []Share
}

// Limiter admits this entry's calls; its fields are set before use.
type Limiter struct {
	Snapshot *atomic.Pointer[indexer.Snapshot]
	// Shares is nil for an entry that has every limit to itself.
	Shares Shares
	// Entries returns how many entries share the upstreams' slots.
	Entries func() int
	Scope   tally.Scope

	mu       sync.Mutex
	buckets  map[string]*bucket
	queues   map[units.Service]*queue
	built    *indexer.Snapshot
	queueing map[units.Service]tally.Histogram
	// primed says that the buckets have had their first shares.
	primed bool
}

// Admit admits a call within its limits, waits for its turn where its service
// is full, or refuses it; release must be called once at its end.
func (l *Limiter) Admit(ctx context.Context, call *dispatcher.Call) (release func(), err error) {
	began := time.Now()
	l.mu.Lock()
	l.follow(began)
	taken, refusal := l.takeLimits(began, call)
	if refusal != nil {
		l.mu.Unlock()
		return nil, refusal
	}
	line := l.queues[call.Service]
	if line == nil {
		line = &queue{}
		l.queues[call.Service] = line
	}
	next := newItem(call)
	verdict, victim := line.arrive(next)
	wait := line.wait()
	if victim != nil {
		close(victim.dropped)
	}
	queueing := l.histogram(call.Service)
	l.mu.Unlock()
	if verdict == refused || (verdict == waits && !l.await(ctx, line, next)) {
		l.refund(taken, cost(call))
		return nil, overloaded(call, wait)
	}
	served := time.Now()
	queueing.RecordDuration(served.Sub(began))
	return func() { l.release(line, taken, served) }, nil
}

func newItem(call *dispatcher.Call) *item {
	return &item{
		account:  call.Account.Name,
		weight:   max(call.Account.Weight, epsilon),
		priority: call.Account.Priority,
		cost:     cost(call),
		turn:     make(chan struct{}),
		dropped:  make(chan struct{}),
	}
}

// cost is a call's work in tokens; a plain call counts as one.
func cost(call *dispatcher.Call) float64 {
	return max(1, float64(call.Prompt+call.MaxOutput))
}

// await waits for the call's turn and reports whether it came.
func (l *Limiter) await(ctx context.Context, line *queue, next *item) bool {
	limit := time.NewTimer(line.target)
	defer limit.Stop()
	for waits := 1; ; waits++ {
		select {
		case <-next.turn:
			return true
		case <-next.dropped:
			return false
		case <-limit.C:
		case <-ctx.Done():
		}
		if waits < dueWaits && ctx.Err() == nil && l.due(line, next) {
			limit.Reset(line.target)
			continue
		}
		return l.giveUp(line, next)
	}
}

// due reports whether the call's account has had less than its weight is due, so
// that the next slots are its own.
func (l *Limiter) due(line *queue, next *item) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return line.finish[next.account] <= line.virtual
}

// giveUp takes a call out of the queue; it reports whether its turn came just before.
func (l *Limiter) giveUp(line *queue, next *item) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if line.remove(next) {
		return false
	}
	select {
	case <-next.turn:
		return true
	default:
		return false
	}
}

func (l *Limiter) release(line *queue, taken []*bucket, served time.Time) {
	l.give(taken)
	l.mu.Lock()
	defer l.mu.Unlock()
	if next := line.leave(time.Since(served)); next != nil {
		close(next.turn)
	}
}

func (l *Limiter) give(taken []*bucket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, held := range taken {
		held.running--
	}
}

// refund gives back what a call took that was not admitted after all.
func (l *Limiter) refund(taken []*bucket, size float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, held := range taken {
		held.refund(size)
	}
}

// takeLimits takes the call out of all its limits, or out of none.
func (l *Limiter) takeLimits(now time.Time, call *dispatcher.Call) ([]*bucket, *dispatcher.Refusal) {
	size := cost(call)
	var taken []*bucket
	for _, name := range [...]string{
		BrandLimit(call.Brand), AccountLimit(call.Account.Name), ServiceLimit(call.Service),
	} {
		held := l.buckets[name]
		if held == nil {
			continue
		}
		held.offer(size)
		if limit, wait := held.short(now, size); limit != "" {
			return nil, overLimit(name, limit, wait)
		}
		taken = append(taken, held)
	}
	for _, held := range taken {
		held.take(size)
	}
	return taken, nil
}

// BrandLimit names a brand's limit between entries.
func BrandLimit(name units.Brand) string { return "brand/" + string(name) }

// AccountLimit names a client account's limit.
func AccountLimit(name units.Account) string { return "account/" + string(name) }

// ServiceLimit names a service's limit.
func ServiceLimit(name units.Service) string { return "service/" + string(name) }

// follow brings limits and bounds up to date with the configuration and the upstreams.
func (l *Limiter) follow(now time.Time) {
	snapshot := l.Snapshot.Load()
	if snapshot == l.built {
		return
	}
	l.built = snapshot
	limits := make(map[string]parser.Limits)
	for _, brand := range snapshot.Configuration.Brands {
		limits[BrandLimit(brand.Name)] = brand.Limits
	}
	for _, account := range snapshot.Configuration.ClientAccounts {
		limits[AccountLimit(account.Name)] = account.Limits
	}
	for _, service := range snapshot.Configuration.Services {
		limits[ServiceLimit(service.Name)] = service.Limits
		l.followService(snapshot, service)
	}
	l.followLimits(now, limits)
}

func (l *Limiter) followLimits(now time.Time, limits map[string]parser.Limits) {
	kept := make(map[string]*bucket)
	for name, limit := range limits {
		if limit == (parser.Limits{}) {
			continue
		}
		held := l.buckets[name]
		if held == nil {
			held = newBucket(now, limit)
			held.apply(now, l.shares(name))
		}
		held.limits = limit
		kept[name] = held
	}
	l.buckets = kept
}

// followService sets how many calls of a service may run here: an equal part of
// the slots that the upstreams announce, and of those beyond it that stand free.
func (l *Limiter) followService(snapshot *indexer.Snapshot, service parser.Service) {
	if l.queues == nil {
		l.queues = make(map[units.Service]*queue)
	}
	line := l.queues[service.Name]
	if line == nil {
		line = &queue{}
		l.queues[service.Name] = line
	}
	line.target = service.Target.FirstToken / waitPart
	known, _ := snapshot.Service(service.Name)
	slots, free := 0, 0
	for _, upstream := range known.Usable {
		slots += upstream.Slots
		free += max(0, upstream.Slots-upstream.Load.Running-upstream.Load.Queued)
	}
	entries := max(1, l.entries())
	line.bound = 0
	if slots > 0 {
		line.bound = max((slots+entries-1)/entries, line.running+free/entries, 1)
	}
	for next := line.next(); next != nil; next = line.next() {
		close(next.turn)
	}
}

func (l *Limiter) anyLimit() string {
	for name := range l.buckets {
		return name
	}
	return ""
}

func (l *Limiter) entries() int {
	if l.Entries == nil {
		return 1
	}
	return l.Entries()
}

func (l *Limiter) shares(limit string) []Share {
	if l.Shares == nil {
		return []Share{{Fraction: 1}}
	}
	return l.Shares.Shares(limit)
}

// Ready reports whether the buckets have had their first shares.
func (l *Limiter) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.primed
}

// Demand is what calls wanted of a limit since the last look, in fractions of it.
type Demand struct {
	Offered float64
	InUse   float64
}

// Renew takes the shares as they are now and returns what calls wanted.
func (l *Limiter) Renew(now time.Time) map[string]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Snapshot.Load() == nil {
		return nil
	}
	l.follow(now)
	demands := make(map[string]Demand, len(l.buckets))
	if len(l.buckets) == 0 || len(l.shares(l.anyLimit())) > 0 {
		l.primed = true
	}
	for name, held := range l.buckets {
		held.apply(now, l.shares(name))
		offered, inUse := held.demand(now)
		demands[name] = Demand{
			Offered: offered,
			InUse:   inUse,
		}
	}
	return demands
}

func (l *Limiter) histogram(service units.Service) tally.Histogram {
	known := l.queueing[service]
	if known != nil {
		return known
	}
	if l.queueing == nil {
		l.queueing = make(map[units.Service]tally.Histogram)
	}
	scope := l.Scope
	if scope == nil {
		scope = tally.NoopScope
	}
	made := scope.Tagged(map[string]string{
		"service": string(service),
	}).Histogram("queueing_seconds", meter.LatencyBuckets)
	l.queueing[service] = made
	return made
}

func overLimit(name, limit string, wait time.Duration) *dispatcher.Refusal {
	return &dispatcher.Refusal{
		Status:     http.StatusTooManyRequests,
		Kind:       dispatcher.ProblemLimit,
		Detail:     fmt.Sprintf("%s has reached its limit %s", name, limit),
		Executed:   dispatcher.ExecutedNo,
		RetryAfter: max(wait, minRetry),
	}
}

func overloaded(call *dispatcher.Call, wait time.Duration) *dispatcher.Refusal {
	return &dispatcher.Refusal{
		Status:     http.StatusServiceUnavailable,
		Kind:       dispatcher.ProblemOverload,
		Detail:     fmt.Sprintf("service %s is full", call.Service),
		Executed:   dispatcher.ExecutedNo,
		RetryAfter: min(max(wait, minRetry), maxRetry),
	}
}
