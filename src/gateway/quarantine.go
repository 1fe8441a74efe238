package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/quarantiner"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// localQuarantineTTL is how long an entry quarantines a request by its own observations, until
// they have reached the leader.
const localQuarantineTTL = 10 * time.Second

// quarantine holds the requests that must not be sent to any upstream; it is safe for
// concurrent use.
type quarantine struct {
	mu sync.Mutex
	// leaderUntil is when the leader's quarantines end, in true time, and localUntil when those
	// by this entry's own observations do, on the clock that counts suspension.
	leaderUntil map[units.Fingerprint]time.Time
	localUntil  map[units.Fingerprint]time.Time
	number      uint64
	detector    *quarantiner.Quarantiner
}

// recordLoss records the loss of an upstream with a request.
func (q *quarantine) recordLoss(now time.Time, loss quarantiner.Loss) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.detector == nil {
		q.detector = &quarantiner.Quarantiner{Threshold: quarantiner.EntryThreshold}
		q.localUntil = make(map[units.Fingerprint]time.Time)
	}
	q.detector.RecordLoss(now, loss)
	for _, verdict := range q.detector.Due(now) {
		q.localUntil[verdict.Request] = now.Add(localQuarantineTTL)
		q.detector.Drop(verdict.Request)
	}
}

// update applies the leader's quarantines unless newer ones are known, and returns the
// quarantined requests.
func (q *quarantine) update(m *messages.Quarantines) []units.Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	if m.GetNumber() <= q.number {
		return nil
	}
	q.number = m.GetNumber()
	q.leaderUntil = make(map[units.Fingerprint]time.Time, len(m.GetRequests()))
	for _, r := range m.GetRequests() {
		q.leaderUntil[units.Fingerprint(r.GetRequest())] = time.Unix(0, r.GetUntilNs())
	}
	return slices.Collect(maps.Keys(q.leaderUntil))
}

// currentNumber returns the number of the quarantines that were applied last.
func (q *quarantine) currentNumber() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.number
}

// isQuarantined reports whether a request must not be sent to any upstream now.
func (q *quarantine) isQuarantined(now, trueNow time.Time, request units.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if until, found := q.localUntil[request]; found {
		if now.Before(until) {
			return true
		}
		delete(q.localUntil, request)
	}
	until, found := q.leaderUntil[request]
	return found && trueNow.Before(until)
}

// checkQuarantine returns the refusal of a call whose request is quarantined, or nil.
func (g *Gateway) checkQuarantine(call *dispatcher.Call) error {
	if !g.quarantine.isQuarantined(timekeeper.Now(), g.trueNow(), call.Fingerprint) {
		return nil
	}
	return newRefusal(http.StatusServiceUnavailable, dispatcher.ProblemQuarantined,
		"requests like this one have ended the upstreams that ran them; send another one, or have its quarantine looked at", 0)
}

// attemptRecorder checks the quarantine before each attempt of a call, including one that
// resumes a stream. It keeps no records, as callers without an Idempotency-Key have no use for
// them.
type attemptRecorder Gateway

// Begin finds no earlier answer.
func (*attemptRecorder) Begin(context.Context, *dispatcher.Call) (*dispatcher.Answer, error) {
	return nil, nil
}

// BeforeDispatch allows an attempt unless its request is quarantined.
func (a *attemptRecorder) BeforeDispatch(_ context.Context, call *dispatcher.Call, _ units.Attempt, _ units.Upstream) error {
	return (*Gateway)(a).checkQuarantine(call)
}

// Finish returns the refusal unchanged.
func (*attemptRecorder) Finish(_ context.Context, _ *dispatcher.Call, _ *dispatcher.Answer, refusal *dispatcher.Refusal) *dispatcher.Refusal {
	return refusal
}
