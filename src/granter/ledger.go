package granter

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// standingFraction is the fraction of what is left of a limit that entries hold without asking for it.
	standingFraction = 0.4
	// headroomFraction is the fraction of a limit by which a committed bound exceeds what it must cover, so that
	// grants seldom wait for the log.
	headroomFraction = 0.0625
	// usableFraction of a limit is given out; the rest covers rounding errors of sums.
	usableFraction = 0.999
	// raiseFraction and lowerFraction are how far a grant must be from its target to be changed.
	raiseFraction = 0.8
	lowerFraction = 2.0
	// slotsPerWindow is the precision of the time at which admitted tokens leave the window.
	slotsPerWindow = 32
	// maxRefundAge is the age of a call, as a fraction of the window, up to which a refund is credited;
	// maxReportAge is the same for the age of the leader's response by which the leader knows how old a report is.
	maxRefundAge = 0.5
	maxReportAge = 0.25
	// proposalInterval is the least time between two proposals of bounds.
	proposalInterval = 100 * time.Millisecond
	// releaseInterval is how often all entries are scanned for ended leases.
	releaseInterval = 20 * time.Millisecond
)

// Leadership identifies one leader's time in office; 0 is none.
type Leadership uint64

// Use is what an entry reports of an account, in tokens since the entry's start.
type Use struct {
	Admitted float64
	// Refunded is the part of Admitted whose calls turned out not to run soon after they were admitted.
	Refunded float64
	// Ceiling is the value of Admitted that the entry must not exceed.
	Ceiling float64
	// Wanted is the number of tokens that calls wait for.
	Wanted float64
}

// Report is what an entry's poll reports of the accounts whose use has changed, or of all.
type Report struct {
	Entry       units.Instance
	Incarnation units.Incarnation
	// Number increases with each poll of an incarnation.
	Number uint64
	// Stamp is that of the last response that the entry has applied, 0 if it was another leadership's.
	Stamp int64
	Uses  map[units.Account]Use
}

// Ledger keeps what a leader has granted; it is a state machine without a clock.
type Ledger struct {
	// Window is the time by which limits are judged, Lease for how long after its poll an entry may use a grant.
	Window time.Duration
	Lease  time.Duration
	// Since is when this leadership began.
	Since time.Time

	runs       map[units.Instance]*entryRun
	accounts   map[units.Account]*accountLedger
	proposedAt time.Time
	releasedAt time.Time
}

// entryRun is one incarnation of an entry.
type entryRun struct {
	incarnation units.Incarnation
	number      uint64
	reportedAt  time.Time
	grants      map[units.Account]*grant
}

// grant is what one entry may admit of an account.
type grant struct {
	admitted float64
	refunded float64
	// ceiling is the highest one that the entry may have.
	ceiling float64
	wanted  float64
}

func (g *grant) remaining() float64 { return max(0, g.ceiling-g.admitted) }

// accountLedger is what counts against the limit of one account.
type accountLedger struct {
	used charges
	// inherited is what grants of earlier leaders may still admit, until they have left the window.
	inherited      float64
	inheritedUntil time.Time
	// granted is the sum of what entries may admit under known grants.
	granted float64
	bounds  []*bound
}

// bound limits what may count against an account's limit.
type bound struct {
	remaining float64
	used      charges
}

func (b *bound) at(now time.Time) float64 { return b.remaining + b.used.sum(now) }

// held returns what counts against the limit.
func (a *accountLedger) held(now time.Time) float64 {
	if !a.inheritedUntil.IsZero() && now.After(a.inheritedUntil) {
		a.inherited, a.inheritedUntil = 0, time.Time{}
	}
	return a.used.sum(now) + a.inherited + a.granted
}

// bound returns what may count against the limit by the last committed bound and the one that is proposed.
func (a *accountLedger) bound(now time.Time) float64 {
	if len(a.bounds) == 0 {
		return 0
	}
	least := a.bounds[0].at(now)
	for _, b := range a.bounds[1:] {
		least = min(least, b.at(now))
	}
	return least
}

// credit takes tokens out that were admitted and have not run. The bounds lose as much: what they state of the same
// calls would end while later grants are still in use.
func (a *accountLedger) credit(now time.Time, tokens float64) {
	a.used.remove(now, tokens)
	for _, b := range a.bounds {
		b.used.remove(now, tokens)
	}
}

func (l *Ledger) account(name units.Account) *accountLedger {
	if l.accounts == nil {
		l.accounts = make(map[units.Account]*accountLedger)
	}
	a := l.accounts[name]
	if a == nil {
		a = &accountLedger{bounds: []*bound{{}}}
		l.accounts[name] = a
	}
	return a
}

// Inherit takes over an account's last committed bound from earlier leaders; it is called before any report.
func (l *Ledger) Inherit(name units.Account, committed Bound) {
	a := l.account(name)
	a.inherited = committed.Remaining
	a.inheritedUntil = l.Since.Add(l.Lease + l.Window)
	inherited := &bound{remaining: committed.Remaining}
	for _, c := range committed.Used {
		a.used.add(c.Tokens, l.Since.Add(c.Expires))
		inherited.used.add(c.Tokens, l.Since.Add(c.Expires))
	}
	a.bounds = []*bound{inherited}
}

// Record records the report of a poll, and returns false if a later one has been recorded.
func (l *Ledger) Record(now time.Time, r Report) bool {
	l.release(now)
	run := l.runs[r.Entry]
	switch {
	case run == nil || r.Incarnation > run.incarnation:
		if run != nil {
			l.charge(run)
		}
		run = &entryRun{
			incarnation: r.Incarnation,
			grants:      make(map[units.Account]*grant),
		}
		if l.runs == nil {
			l.runs = make(map[units.Instance]*entryRun)
		}
		l.runs[r.Entry] = run
	case r.Incarnation < run.incarnation || r.Number <= run.number:
		return false
	}
	run.number = r.Number
	run.reportedAt = now
	credits := l.credits(now, r.Stamp)
	for account, use := range r.Uses {
		l.recordUse(now, run, account, use, credits)
	}
	return true
}

// credits reports whether what a report refunds is still counted: the calls are no older than maxRefundAge, and the
// report no older than the response that it answers to, which its entry applies within MaxResponseAge.
func (l *Ledger) credits(now time.Time, stamp int64) bool {
	if stamp == 0 {
		return false
	}
	// Calls that were admitted under an earlier leader may count as inherited.
	if now.Sub(l.Since) <= l.Window {
		return false
	}
	age := now.Sub(time.Unix(0, stamp))
	window := float64(l.Window)
	return age <= time.Duration(maxReportAge*window) && age+MaxResponseAge+time.Duration(maxRefundAge*window) < l.Window
}

func (l *Ledger) recordUse(now time.Time, run *entryRun, account units.Account, use Use, credits bool) {
	a := l.account(account)
	g := run.grants[account]
	if g == nil {
		g = &grant{
			admitted: use.Admitted,
			refunded: use.Refunded,
			ceiling:  use.Admitted,
		}
		run.grants[account] = g
		// A grant of an earlier leader, which has ended by the end of a lease.
		if now.Sub(l.Since) <= l.Lease && use.Ceiling > use.Admitted {
			g.ceiling = use.Ceiling
			a.granted += g.remaining()
			a.inherited = max(0, a.inherited-g.remaining())
		}
	}
	if admitted := use.Admitted - g.admitted; admitted > 0 {
		a.used.add(admitted, l.slotEnd(now.Add(l.Window)))
	}
	if credits {
		a.credit(now, use.Refunded-g.refunded)
	}
	before := g.remaining()
	g.admitted = max(g.admitted, use.Admitted)
	g.refunded = max(g.refunded, use.Refunded)
	// An entry applies no response to a poll that it has given up: its ceiling is the one that it reports.
	g.ceiling = max(use.Ceiling, g.admitted)
	g.wanted = use.Wanted
	a.granted += g.remaining() - before
}

// slotEnd rounds a time up.
func (l *Ledger) slotEnd(at time.Time) time.Time {
	slot := l.Window / slotsPerWindow
	if slot <= 0 {
		return at
	}
	return l.Since.Add((at.Sub(l.Since)/slot + 1) * slot)
}

// release charges what entries whose leases have ended may have admitted.
func (l *Ledger) release(now time.Time) {
	if now.Sub(l.releasedAt) < releaseInterval {
		return
	}
	l.releasedAt = now
	for name, run := range l.runs {
		silence := now.Sub(run.reportedAt)
		if silence <= l.Lease {
			continue
		}
		l.charge(run)
		if silence > l.Lease+l.Window {
			delete(l.runs, name)
		}
	}
}

// charge charges what an entry may have admitted since its last poll, until that has left the window.
func (l *Ledger) charge(run *entryRun) {
	until := l.slotEnd(run.reportedAt.Add(l.Lease + l.Window))
	for account, g := range run.grants {
		if remaining := g.remaining(); remaining > 0 {
			a := l.accounts[account]
			a.granted -= remaining
			a.used.add(remaining, until)
		}
		g.ceiling = g.admitted
	}
}

// Grant returns the ceiling of an entry after its report, and whether that is another than the reported one. The account
// may use allowed tokens in any window, and share is the entry's share of what is granted unasked.
func (l *Ledger) Grant(now time.Time, entry units.Instance, account units.Account, allowed, share float64) (ceiling float64, changed bool) {
	run := l.runs[entry]
	if run == nil {
		return 0, false
	}
	a := l.account(account)
	g := run.grants[account]
	if g == nil {
		g = &grant{}
		run.grants[account] = g
	}
	usable := usableFraction * allowed
	held := a.held(now)
	own := g.remaining()
	left := max(0, usable-(held-a.granted))
	target := standingFraction*share*left + g.wanted
	if target < own/lowerFraction {
		return g.admitted + target, true
	}
	if own > raiseFraction*target {
		return g.ceiling, false
	}
	raise := min(target-own, min(usable, a.bound(now))-held)
	if raise <= 0 {
		return g.ceiling, false
	}
	g.ceiling = g.admitted + own + raise
	a.granted += raise
	return g.ceiling, true
}
