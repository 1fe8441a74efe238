package granter

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Bound is what may count against an account's limit, as it is kept in the replicated log.
type Bound struct {
	// Remaining is what entries may still admit, in tokens.
	Remaining float64
	Used      []Charge
}

// Charge is a number of admitted tokens and the time after which they have left the window, from the proposal of the
// bound that states them.
type Charge struct {
	Tokens  float64
	Expires time.Duration
}

// Propose returns the bounds that are to be committed, nil while none are. Until Commit, grants keep to the
// earlier ones as well. The accounts may use allowed tokens in any window.
func (l *Ledger) Propose(now time.Time, allowed map[units.Account]float64) map[units.Account]Bound {
	if now.Sub(l.proposedAt) < proposalInterval {
		return nil
	}
	l.release(now)
	due := false
	proposals := make(map[units.Account]float64)
	for name, limit := range allowed {
		a := l.account(name)
		if len(a.bounds) > 1 {
			// One proposal at a time.
			return nil
		}
		held, headroom := a.held(now), headroomFraction*limit
		wanted := max(held, min(held+headroom, usableFraction*limit))
		gain := wanted - a.bound(now)
		// What has been admitted since counts for longer under the next leader as long as the bound does not say so.
		surplus := a.bounds[0].remaining - (wanted - a.used.sum(now))
		if max(gain, surplus) > headroom/4 {
			proposals[name] = wanted
		}
		due = due || gain > headroom/2 || surplus > headroom
	}
	if !due {
		return nil
	}
	l.proposedAt = now
	bounds := make(map[units.Account]Bound, len(proposals))
	for name, wanted := range proposals {
		bounds[name] = l.accounts[name].propose(now, wanted)
	}
	return bounds
}

// propose adds a bound of wanted tokens that is not committed yet.
func (a *accountLedger) propose(now time.Time, wanted float64) Bound {
	proposal := Bound{Remaining: wanted - a.used.sum(now)}
	next := &bound{remaining: proposal.Remaining}
	for _, c := range a.used.entries {
		if c.tokens <= 0 {
			continue
		}
		proposal.Used = append(proposal.Used, Charge{
			Tokens:  c.tokens,
			Expires: c.until.Sub(now),
		})
		next.used.add(c.tokens, c.until)
	}
	a.bounds = append(a.bounds, next)
	return proposal
}

// Commit records that the proposed bounds are in the log.
func (l *Ledger) Commit() {
	for _, a := range l.accounts {
		if len(a.bounds) > 1 {
			a.bounds = a.bounds[len(a.bounds)-1:]
		}
	}
}

// Figures is what counts against the limit of an account, in tokens.
type Figures struct {
	// Used has been admitted within the window, Granted may be admitted by entries, and Inherited may be admitted or
	// have been under grants of earlier leaders; Bound is what all of them may come to.
	Used      float64
	Granted   float64
	Inherited float64
	Bound     float64
}

// Figures returns what counts against an account's limit.
func (l *Ledger) Figures(now time.Time, account units.Account) Figures {
	a := l.account(account)
	a.held(now)
	return Figures{
		Used:      a.used.sum(now),
		Granted:   a.granted,
		Inherited: a.inherited,
		Bound:     a.bound(now),
	}
}
