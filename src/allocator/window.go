package allocator

import (
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/parser"
)

// Window defines how limits are judged: the tokens that run in any span of Length
// may exceed what rate and burst allow by the fraction Overage, plus Slack tokens.
type Window struct {
	Length  time.Duration
	Overage float64
	Slack   float64
}

// NewWindow returns the window from the settings.
func NewWindow(quota parser.Quota) Window {
	return Window{
		Length:  quota.Window,
		Overage: quota.Overage,
		Slack:   quota.Slack,
	}
}

const (
	// usableFraction is the fraction of a window's allowance that is given out; the
	// rest covers what entries admit between two polls. For a small account that
	// may be a few calls, each as large as any, so reservedSlackFraction of the
	// slack is kept for them.
	usableFraction        = 0.88
	reservedSlackFraction = 0.5
	// steadyFraction is the fraction of the usable allowance that is given out as a
	// steady rate where that is more than the account's own rate. Given out all at
	// once, it would be used up in the first moments of a hot account's window and
	// leave its callers nothing for seconds.
	steadyFraction = 0.88
	// maxOvercommit and minOvercommit are how many times over a full and an empty
	// bucket is granted. With less overcommitment while the bucket is full, an
	// entry that receives a burst would refuse it while the other entries hold the
	// tokens it needs; with more once the bucket is nearly empty, all entries would
	// use the same tokens.
	maxOvercommit = 4.0
	minOvercommit = 1.2
)

// allowed returns how many tokens of an account may run in any one window.
func (w Window) allowed(account *matcher.Account) float64 {
	return (account.Rate*w.Length.Seconds()+account.Burst)*(1+w.Overage) + w.Slack
}

// usable returns how many tokens of any one window are given out.
func (w Window) usable(account *matcher.Account) float64 {
	allowed := w.allowed(account)
	return min(usableFraction*allowed, allowed-reservedSlackFraction*w.Slack)
}

// rate returns how fast an account's bucket fills, in tokens per second.
func (w Window) rate(account *matcher.Account) float64 {
	return max(account.Rate, steadyFraction*w.usable(account)/w.Length.Seconds())
}

// burst returns the capacity of an account's bucket: the usable tokens of a window
// beyond the rate.
func (w Window) burst(account *matcher.Account) float64 {
	return max(0, w.usable(account)-w.rate(account)*w.Length.Seconds())
}

// entryAllowance returns what an entry with a share may admit while the account's
// bucket holds level of burst. A debt is split by share; otherwise each entry would
// go on admitting at its rate despite the debt.
func entryAllowance(level, burst, share float64) float64 {
	if level <= 0 || burst <= 0 {
		return min(0, level) * share
	}
	overcommit := minOvercommit + (maxOvercommit-minOvercommit)*min(1, level/burst)
	return level * min(1, share*overcommit)
}
