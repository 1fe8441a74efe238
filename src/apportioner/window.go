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
	// rateUse is the part of the overage that raises the rate.
	rateUse = 0.3
	// burstUse is the part of what a window allows beyond the rate that the bucket
	// holds; the rest covers what is admitted between two polls.
	burstUse = 0.6
	// lend is how many times over the bucket is lent out: with fewer, an entry
	// that gets a clump refuses it while the others hold what it needs.
	lend = 3
)

// rate returns how fast an account's bucket fills.
func (w Window) rate(account *matcher.Account) float64 {
	return account.Rate * (1 + w.Overage*rateUse)
}

// burst returns what an account's bucket holds. Over one window the rate gives
// rate x length, so that the burst may be what the window allows beyond.
func (w Window) burst(account *matcher.Account) float64 {
	length := w.Length.Seconds()
	allowed := (account.Rate*length+account.Burst)*(1+w.Overage) + w.Slack
	return max(0, allowed-w.rate(account)*length) * burstUse
}

// lent returns what an entry with a part may admit of a level.
func lent(level, part float64) float64 {
	return max(0, level) * min(1, part*lend)
}
