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

// entryQuarantine is how long an entry keeps a request from upstreams by what it has seen
// itself, until the leader has heard of it.
const entryQuarantine = 10 * time.Second

// quarantine knows which requests may reach no upstream; it may be used from several
// goroutines.
type quarantine struct {
	mu sync.Mutex
	// fleet is until when requests are quarantined by the leader, in true time, and own by
	// what this entry has seen itself, on the clock that counts suspension.
	fleet   map[units.Fingerprint]time.Time
	own     map[units.Fingerprint]time.Time
	number  uint64
	weigher *quarantiner.Quarantiner
}

// lose takes the loss of an upstream with a request.
func (q *quarantine) lose(now time.Time, loss quarantiner.Loss) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.weigher == nil {
		q.weigher = &quarantiner.Quarantiner{Enough: quarantiner.EntryPoints}
		q.own = make(map[units.Fingerprint]time.Time)
	}
	q.weigher.Lose(now, loss)
	for _, verdict := range q.weigher.Due(now) {
		q.own[verdict.Request] = now.Add(entryQuarantine)
		q.weigher.Drop(verdict.Request)
	}
}

// follow takes the leader's quarantines unless newer ones are known, and returns the requests
// that it takes.
func (q *quarantine) follow(m *messages.Quarantines) []units.Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	if m.GetNumber() <= q.number {
		return nil
	}
	q.number = m.GetNumber()
	q.fleet = make(map[units.Fingerprint]time.Time, len(m.GetRequests()))
	for _, r := range m.GetRequests() {
		q.fleet[units.Fingerprint(r.GetRequest())] = time.Unix(0, r.GetUntilNs())
	}
	return slices.Collect(maps.Keys(q.fleet))
}

// known returns the number of the quarantines that were taken last.
func (q *quarantine) known() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.number
}

// holds reports whether a request may reach no upstream now.
func (q *quarantine) holds(now, trueNow time.Time, request units.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if until, found := q.own[request]; found {
		if now.Before(until) {
			return true
		}
		delete(q.own, request)
	}
	until, found := q.fleet[request]
	return found && trueNow.Before(until)
}

// quarantined returns why a call may reach no upstream, or nil.
func (g *Gateway) quarantined(call *dispatcher.Call) error {
	now := timekeeper.Now()
	trueNow := now
	if w := g.world.Load(); w != nil {
		trueNow = now.Add(w.trueOffset)
	}
	if !g.quarantine.holds(now, trueNow, call.Fingerprint) {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, dispatcher.ProblemQuarantined,
		"requests like this one have ended the upstreams that ran them; send another one, or have its quarantine looked at", 0)
}

// attempts asks before each attempt of a call, also one that goes on with a stream. It keeps
// no record, as callers without an Idempotency-Key have no use for one.
type attempts Gateway

// Begin finds no earlier answer.
func (*attempts) Begin(context.Context, *dispatcher.Call) (*dispatcher.Answer, error) {
	return nil, nil
}

// Dispatching lets an attempt go out unless its request is quarantined.
func (a *attempts) Dispatching(_ context.Context, call *dispatcher.Call, _ units.Attempt, _ units.Upstream) error {
	return (*Gateway)(a).quarantined(call)
}

// Finish returns the refusal as it is.
func (*attempts) Finish(_ context.Context, _ *dispatcher.Call, _ *dispatcher.Answer, refusal *dispatcher.Refusal) *dispatcher.Refusal {
	return refusal
}
