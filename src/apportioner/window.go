package apportioner

import (
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/parser"
)

// Window is how limits are judged: what runs in any span of Length may be Overage
// above rate and burst, and Slack above that.
type Window struct {
	Length  time.Duration
	Overage float64
	Slack   float64
}

// WindowOf returns the window that settings state.
func WindowOf(quota parser.Quota) Window {
	return Window{
		Length:  quota.Window,
		Overage: quota.Overage,
		Slack:   quota.Slack,
	}
}

const (
	// windowUse is the part of what a window allows that is given out; the rest
	// covers what entries admit between two polls. Of a small account that may be a
	// few calls, each as large as any: of the slack, slackUse is kept for them.
	windowUse = 0.88
	slackUse  = 0.5
	// steadyUse is the part of this that is given out as a steady rate where that is
	// more than the account's own. All of it at once would be used up in the first
	// moments of a hot account's window and leave its callers nothing for seconds.
	steadyUse = 0.88
	// lendFull and lendEmpty are how many times over the bucket is lent out: with
	// fewer while it holds much, an entry that gets a clump refuses it while the
	// others hold what it needs; with more once it holds little, all of them would
	// use the same tokens.
	lendFull  = 4.0
	lendEmpty = 1.2
)

// allowed returns what may run of an account in any one window.
func (w Window) allowed(account *matcher.Account) float64 {
	return (account.Rate*w.Length.Seconds()+account.Burst)*(1+w.Overage) + w.Slack
}

// usable returns what is given out of any one window.
func (w Window) usable(account *matcher.Account) float64 {
	allowed := w.allowed(account)
	return min(windowUse*allowed, allowed-slackUse*w.Slack)
}

// rate returns how fast an account's bucket fills.
func (w Window) rate(account *matcher.Account) float64 {
	return max(account.Rate, steadyUse*w.usable(account)/w.Length.Seconds())
}

// burst returns what an account's bucket holds: what a window allows beyond the rate.
func (w Window) burst(account *matcher.Account) float64 {
	return max(0, w.usable(account)-w.rate(account)*w.Length.Seconds())
}

// lent returns what an entry with a part may admit while the bucket holds level of
// burst; a debt is shared out, or each entry would go on at its rate beside it.
func lent(level, burst, part float64) float64 {
	if level <= 0 || burst <= 0 {
		return min(0, level) * part
	}
	times := lendEmpty + (lendFull-lendEmpty)*min(1, level/burst)
	return level * min(1, part*times)
}
