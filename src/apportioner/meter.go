package apportioner

import (
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

// Meter charges calls to what this entry was lent; it may be used from several
// goroutines.
type Meter struct {
	Window Window

	mu      sync.Mutex
	buckets map[units.Account]*bucket
}

// Admit charges a call of size to its account; where it is beyond the limit it
// charges nothing and returns the time until it would not be.
//
// An account at its limit has a level near nothing all the time. By the room for the
// whole call alone its small calls would use up every moment's refill, and its large
// ones would all be refused. So a call needs room for one of the usual size at most, and
// the rest of a larger one is a debt that the next ones pay.
func (m *Meter) Admit(now time.Time, account *matcher.Account, size float64) (wait time.Duration, admitted bool) {
	if account.Rate <= 0 {
		return 0, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.bucket(now, account)
	b.ask(now, size)
	b.refill(now)
	want := b.room(now, size)
	if b.level >= want && b.affords(now, size) {
		b.charge(size)
		return 0, true
	}
	if b.borrows(now, size) {
		b.borrowed = true
		b.charge(size)
		return 0, true
	}
	return b.wait(now, want, size), false
}

// Refund gives back what a call was charged that did not run.
func (m *Meter) Refund(account units.Account, size float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.buckets[account]; b != nil {
		b.level += size
		b.spent -= size
	}
}

// SetPart takes over what this entry is lent, by an answer to the last poll.
func (m *Meter) SetPart(now time.Time, account *matcher.Account, part, level float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.bucket(now, account)
	b.part = part
	b.size(account, m.Window)
	// What was admitted since the poll left is not in the level.
	b.level = lent(level, m.Window.burst(account), part) - (b.spent - b.told)
	b.most = max(b.level, 0) + b.rate*saveTime.Seconds()
	b.at = now
	b.heard = b.told
	b.poolLevel = level
	b.poolAt = now
	b.borrowed = false
}

// Demand returns what callers asked for and what was admitted, for a poll.
func (m *Meter) Demand(now time.Time) map[units.Account]Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	demand := make(map[units.Account]Demand, len(m.buckets))
	for name, b := range m.buckets {
		b.fade(now)
		b.told = b.spent
		d := Demand{
			Rate:    b.demand,
			Spent:   b.spent,
			Unheard: b.spent - b.heard,
			Level:   b.poolLevel,
		}
		if !b.poolAt.IsZero() {
			d.LevelAge = max(1, now.Sub(b.poolAt))
		}
		demand[name] = d
	}
	return demand
}

func (m *Meter) bucket(now time.Time, account *matcher.Account) *bucket {
	if m.buckets == nil {
		m.buckets = make(map[units.Account]*bucket)
	}
	b := m.buckets[account.Name]
	if b == nil {
		b = &bucket{
			part:    firstPart,
			at:      now,
			askedAt: now,
		}
		b.size(account, m.Window)
		b.level = b.full
		b.most = b.full
		m.buckets[account.Name] = b
	}
	return b
}

// Resize takes over changed limits; nothing beyond the new ones is kept.
func (m *Meter) Resize(now time.Time, table *matcher.Table) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, b := range m.buckets {
		account := table.Account(name)
		if account == nil || account.Rate <= 0 {
			continue
		}
		b.refill(now)
		b.size(account, m.Window)
		b.most = min(b.most, b.full)
		b.level = min(b.level, b.full)
	}
}
