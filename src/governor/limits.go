package governor

import (
	"time"
)

// limitLogInterval is the time between two log lines on the limit of an account in use.
const limitLogInterval = time.Second

// limitLog logs what the leader believes of accounts that use more than half of what they may at once.
type limitLog struct {
	coordinator *coordinator
	loggedAt    time.Time
}

func (l *limitLog) tick(now time.Time) {
	c := l.coordinator
	if c.configuration == nil || now.Sub(l.loggedAt) < limitLogInterval {
		return
	}
	l.loggedAt = now
	for i := range c.configuration.Accounts {
		account := &c.configuration.Accounts[i]
		figures, known := c.allocator.Figures(now, account)
		if !known || account.Rate <= 0 || figures.Level > figures.Burst/2 {
			continue
		}
		c.log.Info().
			Str("account", string(account.Name)).
			Float64("level", figures.Level).
			Float64("burst", figures.Burst).
			Float64("demand", figures.Demand).
			Float64("limit", account.Rate).
			Int("entries", figures.Entries).
			Int("silent", figures.Silent).
			Msg("account-limit")
	}
}
