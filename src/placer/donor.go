package placer

import (
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
)

// leastFetched is the least part worth fetching, in tokens: a smaller one is read in
// some milliseconds, as long as it takes to ask another upstream for it.
const leastFetched = 1000

// Donor returns the upstream from which the one that was chosen for a call may fetch
// what it lacks of the parts that the call shares with others, or nil.
//
// The load it answers: a long shared part is read at its home, and read again at each
// upstream that calls go to when the home is busy, at each new home when one joins,
// and at all of them when a data centre is taken back. The chosen upstream fetches
// only what it lacks, so that asking for what it has costs nothing, and nobody needs
// to know what each of them holds. One that is leaving still gives what it has, which
// is the last chance to keep that.
func (p *Placer) Donor(call *dispatcher.Call, chosen *tracker.Upstream) *tracker.Upstream {
	if len(call.Parts) < 2 || call.Shared() < leastFetched {
		return nil
	}
	part := call.Parts[len(call.Parts)-2].ID
	var best *Candidate
	var highest uint64
	now := p.Now()
	consider := func(candidates []*Candidate) {
		for _, c := range candidates {
			// Another version may keep what it has read in another form.
			if c.Release != chosen.Release {
				continue
			}
			gone := !c.Until.IsZero() && !now.Before(c.Until)
			if c.Name == chosen.Name || gone || c.Silent && !c.answered(now) || p.ejected(now, c.Upstream) {
				continue
			}
			if r := rank(part, c.hash); best == nil || r > highest {
				best, highest = c, r
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
