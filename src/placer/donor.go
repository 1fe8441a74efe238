package placer

import (
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/withholder"
)

// minFetchedTokens is the minimum size, in tokens, of a prompt prefix that is worth
// fetching: the prefill of a smaller one takes some milliseconds, as long as asking another
// upstream for it.
const minFetchedTokens = 1000

// Donor returns the upstream from which the one that was chosen for a call may fetch the
// part of the call's prompt prefix that it has not cached, or nil.
//
// Without fetching, a long prompt prefix is computed at its owner, and again at each
// upstream that calls go to when the owner is busy, at each new owner when an upstream
// joins, and at all new owners when a data centre is reclaimed. The chosen upstream fetches
// only what it lacks, so that asking for what it holds costs nothing, and no entry needs
// to know what each upstream holds. A leaving upstream still serves its cache: this is the
// last chance to preserve it. Another version may store its KV cache in another format.
func (p *Placer) Donor(call *dispatcher.Call, chosen *tracker.Upstream) *tracker.Upstream {
	if len(call.Prefixes) < 2 || call.SharedTokens() < minFetchedTokens {
		return nil
	}
	prefix := call.Prefixes[len(call.Prefixes)-2].ID
	var best *Candidate
	var bestRank uint64
	now := p.Now()
	consider := func(candidates []*Candidate) {
		for _, c := range candidates {
			if c.Name == chosen.Name || c.Release != chosen.Release || !p.servesCache(now, c) {
				continue
			}
			if r := ownerRank(prefix, c.hash); best == nil || r > bestRank {
				best, bestRank = c, r
			}
		}
	}
	consider(p.Fleet()[call.Service])
	if p.Leaving != nil {
		consider(p.Leaving()[call.Service])
	}
	if best == nil {
		return nil
	}
	return best.Upstream
}

// servesCache reports whether an upstream is likely to serve its KV cache to others. One that has
// asked for a back-off is overloaded.
func (p *Placer) servesCache(now time.Time, c *Candidate) bool {
	gone := !c.TerminatesAt.IsZero() && !now.Before(c.TerminatesAt)
	overloaded := p.stateOf(now, c) == withholder.BackingOff
	return !gone && !overloaded && !p.isEjected(now, c.Upstream) && (!c.Silent || c.hasAnsweredRecently(now))
}
