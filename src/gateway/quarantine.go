package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
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
	// leaderParts and localParts hold the combinations of parts that are quarantined, by their keys in
	// leaderUntil and localUntil.
	leaderParts  map[units.Fingerprint][]units.PromptPart
	localParts   map[units.Fingerprint][]units.PromptPart
	number       uint64
	detector     *quarantiner.Quarantiner
	partDetector *quarantiner.PartDetector
}

// recordLoss records the loss of an upstream with a request.
func (q *quarantine) recordLoss(now time.Time, loss quarantiner.Loss) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.detector == nil {
		q.detector = &quarantiner.Quarantiner{Threshold: quarantiner.EntryThreshold}
		q.partDetector = &quarantiner.PartDetector{Threshold: quarantiner.EntryPartThreshold}
		q.localUntil = make(map[units.Fingerprint]time.Time)
		q.localParts = make(map[units.Fingerprint][]units.PromptPart)
	}
	q.detector.RecordLoss(now, loss)
	for _, verdict := range q.detector.Due(now) {
		q.localUntil[verdict.Request] = now.Add(localQuarantineTTL)
		q.detector.Drop(verdict.Request)
	}
	q.partDetector.RecordLoss(now, now, loss)
	for _, verdict := range q.partDetector.Due(now) {
		key := quarantiner.KeyOfParts(verdict.Parts)
		q.localUntil[key] = now.Add(localQuarantineTTL)
		q.localParts[key] = verdict.Parts
		q.partDetector.Drop(verdict)
	}
}

// recordPartsRun records that a request with these parts has run at this entry.
func (q *quarantine) recordPartsRun(now time.Time, parts []units.PromptPart) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.partDetector != nil {
		q.partDetector.RecordRun(now, now, parts)
	}
}

// update applies the leader's quarantines unless newer ones are known, and returns the
// quarantined requests and parts, and whether there was anything new.
func (q *quarantine) update(m *messages.Quarantines) (requests []units.Fingerprint, parts []units.PromptPart, updated bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if m.GetNumber() <= q.number {
		return nil, nil, false
	}
	q.number = m.GetNumber()
	q.leaderUntil = make(map[units.Fingerprint]time.Time, len(m.GetRequests()))
	q.leaderParts = make(map[units.Fingerprint][]units.PromptPart)
	for _, r := range m.GetRequests() {
		key := units.Fingerprint(r.GetRequest())
		q.leaderUntil[key] = time.Unix(0, r.GetUntilNs())
		if len(r.GetParts()) == 0 {
			requests = append(requests, key)
			continue
		}
		for _, part := range r.GetParts() {
			q.leaderParts[key] = append(q.leaderParts[key], units.PromptPart(part))
		}
		parts = append(parts, q.leaderParts[key]...)
	}
	return requests, parts, true
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
	return q.isInForce(now, trueNow, request)
}

// isInForce reports whether the quarantine with a key is in force.
func (q *quarantine) isInForce(now, trueNow time.Time, key units.Fingerprint) bool {
	if until, found := q.localUntil[key]; found {
		if now.Before(until) {
			return true
		}
		delete(q.localUntil, key)
		delete(q.localParts, key)
	}
	until, found := q.leaderUntil[key]
	return found && trueNow.Before(until)
}

// quarantinedParts returns the parts for which a prompt with these parts must not be sent to any upstream now,
// nil for none.
func (q *quarantine) quarantinedParts(now, trueNow time.Time, parts []units.PromptPart) []units.PromptPart {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.leaderParts)+len(q.localParts) == 0 || len(parts) == 0 {
		return nil
	}
	present := make(map[units.PromptPart]bool, len(parts))
	for _, part := range parts {
		present[part] = true
	}
	isAbsent := func(part units.PromptPart) bool { return !present[part] }
	for _, quarantined := range []map[units.Fingerprint][]units.PromptPart{q.leaderParts, q.localParts} {
		for key, combination := range quarantined {
			if !slices.ContainsFunc(combination, isAbsent) && q.isInForce(now, trueNow, key) {
				return combination
			}
		}
	}
	return nil
}

// checkQuarantine returns the refusal of a call whose request, or a part of whose prompt, is quarantined, or nil.
func (g *Gateway) checkQuarantine(call *dispatcher.Call) error {
	now, trueNow := timekeeper.Now(), g.trueNow()
	if g.quarantine.isQuarantined(now, trueNow, call.Fingerprint) {
		return newRefusal(http.StatusServiceUnavailable, dispatcher.ProblemQuarantined,
			"requests like this one have ended the upstreams that ran them; send another one, or have its quarantine looked at", 0)
	}
	if parts := g.quarantine.quarantinedParts(now, trueNow, call.SharedParts()); parts != nil {
		return newRefusal(http.StatusServiceUnavailable, dispatcher.ProblemQuarantined,
			fmt.Sprintf("requests with the prompt parts %s have ended the upstreams that ran them; send the request without one of these, or have their quarantine looked at", textOf(parts)), 0)
	}
	return nil
}

// textOf returns the ids of parts as callers write them, at most maxLoggedParts of them.
func textOf(parts []units.PromptPart) string {
	ids := make([]string, 0, maxLoggedParts)
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, part.String())
	}
	return strings.Join(ids, ",")
}

// attemptRecorder checks the quarantine before each attempt of a call, including one that
// resumes a stream. It keeps no records, as callers without an Idempotency-Key have no use for
// them.
type attemptRecorder Gateway

// Begin finds no earlier answer.
func (*attemptRecorder) Begin(context.Context, *dispatcher.Call) (*dispatcher.Answer, error) {
	return nil, nil
}

// BeforeDispatch allows an attempt unless its request or a part of its prompt is quarantined.
func (a *attemptRecorder) BeforeDispatch(_ context.Context, call *dispatcher.Call, _ units.Attempt, _ units.Upstream) error {
	return (*Gateway)(a).checkQuarantine(call)
}

// Finish returns the refusal unchanged.
func (*attemptRecorder) Finish(_ context.Context, _ *dispatcher.Call, _ *dispatcher.Answer, refusal *dispatcher.Refusal) *dispatcher.Refusal {
	return refusal
}
