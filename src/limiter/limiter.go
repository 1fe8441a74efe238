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
	// queueWaitDivisor divides a service's target for the first token; the result
	// is how long a call may wait for a slot.
	queueWaitDivisor = 25
	// maxUnderservedWaits is how many times as long a call may wait whose account
	// has received less than its weight entitles it to.
	maxUnderservedWaits = 6
)

// Shares provides the shares of a limit that this entry may use now.
type Shares interface {
	Shares(limit string) []Share
}

// Limiter admits this entry's calls; its fields are set before use.
type Limiter struct {
	Snapshot *atomic.Pointer[indexer.Snapshot]
	// Shares is nil for an entry that has every limit to itself.
	Shares Shares
	// EntryCount returns how many entries share the upstreams' slots.
	EntryCount func() int
	Scope      tally.Scope

	mu              sync.Mutex
	buckets         map[string]*bucket
	queues          map[units.Service]*callQueue
	appliedSnapshot *indexer.Snapshot
	queueingTimes   map[units.Service]tally.Histogram
	// sharesApplied reports whether the buckets have had their first shares.
	sharesApplied bool
}

// Admit admits a call within its limits, queues it where its service is at
// capacity, or refuses it. The caller must call release once when the call ends.
func (l *Limiter) Admit(ctx context.Context, call *dispatcher.Call) (release func(), err error) {
	arrivedAt := time.Now()
	l.mu.Lock()
	l.applySnapshot(arrivedAt)
	charged, refusal := l.chargeLimits(arrivedAt, call)
	if refusal != nil {
		l.mu.Unlock()
		return nil, refusal
	}
	serviceQueue := l.queues[call.Service]
	if serviceQueue == nil {
		serviceQueue = &callQueue{}
		l.queues[call.Service] = serviceQueue
	}
	queued := newQueuedCall(call)
	verdict, victim := serviceQueue.enqueue(queued)
	estimatedWait := serviceQueue.estimatedWait()
	if victim != nil {
		close(victim.evicted)
	}
	queueing := l.histogram(call.Service)
	l.mu.Unlock()
	if verdict == verdictRefused || (verdict == verdictWaits && !l.awaitSlot(ctx, serviceQueue, queued)) {
		l.refund(charged, cost(call))
		return nil, overloaded(call, estimatedWait)
	}
	grantedAt := time.Now()
	queueing.RecordDuration(grantedAt.Sub(arrivedAt))
	return func() { l.release(serviceQueue, charged, grantedAt) }, nil
}

func newQueuedCall(call *dispatcher.Call) *queuedCall {
	return &queuedCall{
		account:  call.Account.Name,
		weight:   max(call.Account.Weight, epsilon),
		priority: call.Account.Priority,
		cost:     cost(call),
		granted:  make(chan struct{}),
		evicted:  make(chan struct{}),
	}
}

// cost returns a call's work in tokens; a plain call counts as one token.
func cost(call *dispatcher.Call) float64 {
	return max(1, float64(call.PromptTokens+call.MaxOutput))
}

// awaitSlot waits until the call has a slot and reports whether it got one.
func (l *Limiter) awaitSlot(ctx context.Context, serviceQueue *callQueue, queued *queuedCall) bool {
	timer := time.NewTimer(serviceQueue.maxWait)
	defer timer.Stop()
	for waits := 1; ; waits++ {
		select {
		case <-queued.granted:
			return true
		case <-queued.evicted:
			return false
		case <-timer.C:
		case <-ctx.Done():
		}
		if waits < maxUnderservedWaits && ctx.Err() == nil && l.isUnderserved(serviceQueue, queued) {
			timer.Reset(serviceQueue.maxWait)
			continue
		}
		return l.abandon(serviceQueue, queued)
	}
}

// isUnderserved reports whether the call's account has received less than its
// weight entitles it to, so that it is next in order.
func (l *Limiter) isUnderserved(serviceQueue *callQueue, queued *queuedCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return serviceQueue.finishTimes[queued.account] <= serviceQueue.virtualTime
}

// abandon removes a call from the queue; it reports whether the call was granted a
// slot just before.
func (l *Limiter) abandon(serviceQueue *callQueue, queued *queuedCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if serviceQueue.remove(queued) {
		return false
	}
	select {
	case <-queued.granted:
		return true
	default:
		return false
	}
}

func (l *Limiter) release(serviceQueue *callQueue, charged []*bucket, grantedAt time.Time) {
	l.releaseConcurrency(charged)
	l.mu.Lock()
	defer l.mu.Unlock()
	if next := serviceQueue.releaseSlot(time.Since(grantedAt)); next != nil {
		close(next.granted)
	}
}

func (l *Limiter) releaseConcurrency(charged []*bucket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limitBucket := range charged {
		limitBucket.running--
	}
}

// refund returns the charge of a call that was not admitted after all.
func (l *Limiter) refund(charged []*bucket, size float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limitBucket := range charged {
		limitBucket.refund(size)
	}
}

// chargeLimits charges the call to all its limits, or to none.
func (l *Limiter) chargeLimits(now time.Time, call *dispatcher.Call) ([]*bucket, *dispatcher.Refusal) {
	size := cost(call)
	var charged []*bucket
	for _, name := range [...]string{
		BrandLimit(call.Brand), AccountLimit(call.Account.Name), ServiceLimit(call.Service),
	} {
		limitBucket := l.buckets[name]
		if limitBucket == nil {
			continue
		}
		limitBucket.recordOffered(size)
		if limit, wait := limitBucket.exhaustedLimit(now, size); limit != "" {
			return nil, overLimit(name, limit, wait)
		}
		charged = append(charged, limitBucket)
	}
	for _, limitBucket := range charged {
		limitBucket.charge(size)
	}
	return charged, nil
}

// BrandLimit returns the name of a brand's limit, as entries exchange it.
func BrandLimit(name units.Brand) string { return "brand/" + string(name) }

// AccountLimit returns the name of a client account's limit.
func AccountLimit(name units.Account) string { return "account/" + string(name) }

// ServiceLimit returns the name of a service's limit.
func ServiceLimit(name units.Service) string { return "service/" + string(name) }

// applySnapshot updates limits and concurrency bounds if the snapshot has changed.
func (l *Limiter) applySnapshot(now time.Time) {
	snapshot := l.Snapshot.Load()
	if snapshot == l.appliedSnapshot {
		return
	}
	l.appliedSnapshot = snapshot
	limits := make(map[string]parser.Limits)
	for _, brand := range snapshot.Configuration.Brands {
		limits[BrandLimit(brand.Name)] = brand.Limits
	}
	for _, account := range snapshot.Configuration.ClientAccounts {
		limits[AccountLimit(account.Name)] = account.Limits
	}
	for _, service := range snapshot.Configuration.Services {
		limits[ServiceLimit(service.Name)] = service.Limits
		l.updateQueue(snapshot, service)
	}
	l.updateBuckets(now, limits)
}

func (l *Limiter) updateBuckets(now time.Time, limits map[string]parser.Limits) {
	kept := make(map[string]*bucket)
	for name, limit := range limits {
		if limit == (parser.Limits{}) {
			continue
		}
		limitBucket := l.buckets[name]
		if limitBucket == nil {
			limitBucket = newBucket(now, limit)
			limitBucket.setShares(now, l.shares(name))
		}
		limitBucket.limits = limit
		kept[name] = limitBucket
	}
	l.buckets = kept
}

// updateQueue sets how many calls of a service may run at this entry: an equal part
// of the slots that the upstreams announce, or more where this entry's part of the
// free slots allows it.
func (l *Limiter) updateQueue(snapshot *indexer.Snapshot, service parser.Service) {
	if l.queues == nil {
		l.queues = make(map[units.Service]*callQueue)
	}
	serviceQueue := l.queues[service.Name]
	if serviceQueue == nil {
		serviceQueue = &callQueue{}
		l.queues[service.Name] = serviceQueue
	}
	serviceQueue.maxWait = service.Target.FirstToken / queueWaitDivisor
	serviceUpstreams, _ := snapshot.Service(service.Name)
	slots, free := 0, 0
	for _, upstream := range serviceUpstreams.UsableUpstreams {
		slots += upstream.Slots
		free += max(0, upstream.Slots-upstream.Load.Running-upstream.Load.Queued)
	}
	entries := max(1, l.entries())
	serviceQueue.maxRunning = 0
	if slots > 0 {
		serviceQueue.maxRunning = max((slots+entries-1)/entries, serviceQueue.running+free/entries, 1)
	}
	for next := serviceQueue.next(); next != nil; next = serviceQueue.next() {
		close(next.granted)
	}
}

func (l *Limiter) anyLimit() string {
	for name := range l.buckets {
		return name
	}
	return ""
}

func (l *Limiter) entries() int {
	if l.EntryCount == nil {
		return 1
	}
	return l.EntryCount()
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
	return l.sharesApplied
}

// Demand is what calls asked for of a limit since the last RefreshShares, as fractions of
// it.
type Demand struct {
	Offered float64
	InUse   float64
}

// RefreshShares applies the current shares and returns the demand for each limit.
func (l *Limiter) RefreshShares(now time.Time) map[string]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Snapshot.Load() == nil {
		return nil
	}
	l.applySnapshot(now)
	demands := make(map[string]Demand, len(l.buckets))
	if len(l.buckets) == 0 || len(l.shares(l.anyLimit())) > 0 {
		l.sharesApplied = true
	}
	for name, limitBucket := range l.buckets {
		limitBucket.setShares(now, l.shares(name))
		offered, inUse := limitBucket.takeDemand(now)
		demands[name] = Demand{
			Offered: offered,
			InUse:   inUse,
		}
	}
	return demands
}

func (l *Limiter) histogram(service units.Service) tally.Histogram {
	existing := l.queueingTimes[service]
	if existing != nil {
		return existing
	}
	if l.queueingTimes == nil {
		l.queueingTimes = make(map[units.Service]tally.Histogram)
	}
	scope := l.Scope
	if scope == nil {
		scope = tally.NoopScope
	}
	created := scope.Tagged(map[string]string{
		"service": string(service),
	}).Histogram("queueing_seconds", meter.LatencyBuckets)
	l.queueingTimes[service] = created
	return created
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
