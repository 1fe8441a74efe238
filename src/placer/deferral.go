package placer

import (
	"time"

	"github.com/rosecroft/rosecroft/src/deferrer"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
)

// mixPrior is the number of tokens that this entry's own queued prompts are outweighed by in the estimate
// of the ranks of other entries' prompts: about one usual prompt.
const mixPrior = 4000

// attemptKind is what an upstream is chosen for.
type attemptKind int

const (
	firstAttempt attemptKind = iota
	furtherAttempt
	// resumption continues a stream of which the caller has a part.
	resumption
)

// forecast predicts how long one call waits at upstreams. Ranks of this entry's own prompts are known;
// polls state only how many tokens of other entries are of deferred calls. These are divided by rank like
// this entry's own prompts at all upstreams of the service.
type forecast struct {
	placer *Placer
	now    time.Time
	call   *dispatcher.Call
	peers  *PeerLoads
	// prefillTime is that of one token at the usual speed.
	prefillTime time.Duration
	shares      rankShares
	// leastShares are lower bounds of shares; refusals depend on them.
	leastShares rankShares
	attempt     attemptKind
}

// rankShares are the fractions of other entries' tokens that are taken before a call: before the call at
// the rank of its urgency, and before the call at the rank for deferred calls. Each is given for tokens of
// calls that are not deferred and for those that are.
type rankShares struct {
	onTime         float64
	deferredFirst  float64
	onTimeBehind   float64
	deferredBehind float64
}

// newForecast returns the forecast for a call, nil where calls are not deferred.
func (p *Placer) newForecast(now time.Time, call *dispatcher.Call, attempt attemptKind) *forecast {
	if !p.Deferral || call.LatencyTarget <= 0 || call.TimeLimit <= 0 || len(call.Prefixes) == 0 {
		return nil
	}
	f := &forecast{
		placer:      p,
		now:         now,
		call:        call,
		prefillTime: p.prefillTime(call.Service),
		attempt:     attempt,
	}
	if peers := p.peerLoads.Load(); peers != nil && now.Sub(peers.At) <= peerLoadExpiry {
		f.peers = peers
	}
	var onTime, deferred tracker.RankTokens
	for _, c := range p.Fleet()[call.Service] {
		if c.Local.PrefillTokens.Load() == 0 {
			continue
		}
		o, d := c.Local.Queue.Tokens()
		onTime.Add(&o)
		deferred.Add(&d)
	}
	f.shares = rankShares{
		onTime:         share(&onTime, call.Rank, 1),
		deferredFirst:  share(&deferred, call.Rank, 0),
		onTimeBehind:   share(&onTime, call.DeferredRank, 1),
		deferredBehind: share(&deferred, call.DeferredRank, 1),
	}
	f.leastShares = rankShares{
		onTime:         share(&onTime, call.Rank, leastPrior(call.Rank)),
		deferredFirst:  share(&deferred, call.Rank, 0),
		onTimeBehind:   share(&onTime, call.DeferredRank, leastPrior(call.DeferredRank)),
		deferredBehind: share(&deferred, call.DeferredRank, leastPrior(call.DeferredRank)),
	}
	return f
}

// leastPrior returns the smallest fraction of tokens of unknown ranks that may be up to a rank.
func leastPrior(rank int) float64 {
	if rank >= tracker.RankCount-1 {
		return 1
	}
	return 0
}

// share returns the estimated fraction of tokens up to a rank, and the prior one where little is queued.
func share(tokens *tracker.RankTokens, rank int, prior float64) float64 {
	return (float64(tokens.UpTo(rank)) + mixPrior*prior) / (float64(tokens.Total()) + mixPrior)
}

// aheadOf returns the prompt tokens that an upstream takes before the call at the rank of its urgency, and
// at the rank for deferred calls.
func (f *forecast) aheadOf(u *tracker.Upstream, shares *rankShares) (onTime, deferred int64) {
	ownOnTime, ownDeferred := u.Local.Queue.Tokens()
	onTime = ownOnTime.UpTo(f.call.Rank) + ownDeferred.UpTo(f.call.Rank)
	deferred = ownOnTime.UpTo(f.call.DeferredRank) + ownDeferred.UpTo(f.call.DeferredRank)
	if f.peers == nil {
		return onTime, deferred
	}
	load := f.peers.Loads[HashOf(u.Name)]
	peersDeferred := float64(min(load.DeferredTokens, load.PrefillTokens))
	peersOnTime := float64(load.PrefillTokens) - peersDeferred
	onTime += int64(shares.onTime*peersOnTime + shares.deferredFirst*peersDeferred)
	deferred += int64(shares.onTimeBehind*peersOnTime + shares.deferredBehind*peersDeferred)
	return onTime, deferred
}

// waitAt returns the call's expected wait at an upstream with this slowdown.
func (f *forecast) waitAt(u *tracker.Upstream, slowdown float64, shares *rankShares) deferrer.Wait {
	onTime, deferred := f.aheadOf(u, shares)
	tokenTime := slowdown * float64(f.prefillTime)
	return deferrer.Wait{
		OnTime:   time.Duration(float64(onTime) * tokenTime),
		Deferred: time.Duration(float64(deferred) * tokenTime),
	}
}

// stateOf returns the call's state for a decision at an upstream with this slowdown.
func (f *forecast) stateOf(slowdown float64) deferrer.Call {
	return deferrer.Call{
		Target:          f.call.LatencyTarget,
		TimeLimit:       f.call.TimeLimit,
		Used:            f.call.TimeLimit - f.call.BootTimeDeadline.Sub(f.now),
		Prefill:         time.Duration(slowdown * float64(f.prefillTime) * float64(f.call.UncachedTokens())),
		Urgency:         f.call.Urgency,
		RouteUrgency:    f.call.RouteUrgency,
		HasDeferredRank: f.call.DeferredRank > f.call.Rank,
		FirstAttempt:    f.attempt == firstAttempt,
	}
}

// decide returns what becomes of an attempt at an upstream, and its expected wait.
func (f *forecast) decide(u *tracker.Upstream, slowdown float64) (deferrer.Decision, time.Duration) {
	wait, state := f.waitAt(u, slowdown, &f.shares), f.stateOf(slowdown)
	decision := deferrer.Decide(state, wait)
	if decision == deferrer.Refuse && state.HasDeferredRank {
		// An entry with few queued prompts of its own, such as one that has just started, does not know the
		// ranks of the others'. A call must not be refused for prompts that it may go ahead of.
		least := f.waitAt(u, slowdown, &f.leastShares)
		if deferrer.Yields(state, wait) {
			// It is sent at the rank for deferred calls, so that the wait there decides.
			least.OnTime = wait.OnTime
		}
		decision = deferrer.Decide(state, least)
	}
	if decision == deferrer.Send {
		return decision, wait.OnTime
	}
	return decision, wait.Deferred
}

// countedTokens returns the queued tokens that the call would wait for at a candidate.
func (f *forecast) countedTokens(c *Candidate) int64 {
	onTime, deferred := f.aheadOf(c.Upstream, &f.shares)
	if f.resumes() {
		return onTime
	}
	if decision, _ := f.decide(c.Upstream, c.slowdown()); decision == deferrer.Send {
		return onTime
	}
	return deferred
}

// resumes reports whether the caller has a part of the answer. The rest is neither deferred nor refused.
func (f *forecast) resumes() bool { return f.attempt == resumption || f.call.ResumeOffset > 0 }

// admitted returns the chosen candidate, or nil if the call is refused. Only some of the candidates were
// compared; a call is refused only if none can begin it in time.
func (f *forecast) admitted(best *Candidate, candidates []*Candidate) *Candidate {
	if f.resumes() {
		return best
	}
	decision, wait := f.decide(best.Upstream, best.slowdown())
	if decision != deferrer.Refuse {
		return best
	}
	chosen := (*Candidate)(nil)
	for _, c := range candidates {
		d, w := f.decide(c.Upstream, c.slowdown())
		if d != deferrer.Refuse && (chosen == nil || w < wait) {
			chosen = c
		}
		wait = min(wait, w)
	}
	if chosen == nil && f.placer.OnRefused != nil {
		f.placer.OnRefused(f.call, wait)
	}
	return chosen
}

// IsDeferred reports whether an attempt is deferred that is about to be sent to an upstream, and for how
// long the call is expected to wait there; known is false where calls are not deferred. resumed says that
// the caller has a part of the answer, which is not delayed.
func (p *Placer) IsDeferred(call *dispatcher.Call, u *tracker.Upstream, resumed bool) (deferred bool, wait time.Duration, known bool) {
	f := p.newForecast(p.Now(), call, furtherAttempt)
	if f == nil {
		return false, 0, false
	}
	slowdown := p.slowdownOf(u)
	expected := f.waitAt(u, slowdown, &f.shares)
	if resumed || call.ResumeOffset > 0 || !deferrer.Yields(f.stateOf(slowdown), expected) {
		return false, expected.OnTime, true
	}
	return true, expected.Deferred, true
}

// slowdownOf returns how many times as long as usual work is expected to take at an upstream.
func (p *Placer) slowdownOf(u *tracker.Upstream) float64 {
	for _, c := range p.Fleet()[u.Service] {
		if c.Name == u.Name {
			return c.slowdown()
		}
	}
	return 1
}

// RetryAfter returns when a call that was refused for lack of capacity should be sent again, 0 if no queue
// of the service is longer than the call's target.
func (p *Placer) RetryAfter(call *dispatcher.Call) time.Duration {
	f := p.newForecast(p.Now(), call, furtherAttempt)
	if f == nil {
		return 0
	}
	candidates := p.Fleet()[call.Service]
	if len(candidates) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, c := range candidates {
		total += f.waitAt(c.Upstream, c.slowdown(), &f.shares).Deferred
	}
	queue := total / time.Duration(len(candidates))
	if queue <= call.LatencyTarget {
		return 0
	}
	return deferrer.RetryAfter(queue, call.LatencyTarget, p.random().Float64())
}
