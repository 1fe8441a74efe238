package apportioner

import (
	"math"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// demandTime is how fast the measure of demand follows; callers come in
	// clumps of some tenths of a second.
	demandTime = 1500 * time.Millisecond
	// firstPart is an entry's part until control has told it one.
	firstPart = 0.05
	// saveTime is how long an entry without contact saves up its part of the rate.
	saveTime = 300 * time.Millisecond
	// contactFor is how long after an answer an entry uses more than its own part of
	// what the account's bucket held: two polls and what they take.
	contactFor = 600 * time.Millisecond
)

// Meter charges calls to what this entry was lent; it may be used from several
// goroutines.
type Meter struct {
	Window Window

	mu      sync.Mutex
	buckets map[units.Account]*bucket
}

// bucket is what this entry was lent of one account's limit.
type bucket struct {
	part float64
	rate float64
	// most is what the level may grow to without contact, full what it is while
	// the account uses nothing.
	most  float64
	full  float64
	level float64
	at    time.Time
	// spent is what was admitted since the start, told what of it was said in the
	// last poll.
	spent float64
	told  float64
	// heard is what of it a leader has answered, which said that the bucket of
	// all entries held poolLevel at poolAt.
	heard     float64
	poolLevel float64
	poolAt    time.Time
	demand    float64
	askedAt   time.Time
}

// Admit charges a call of size to its account; where it is beyond the limit it
// charges nothing and returns the time until it would not be.
func (m *Meter) Admit(now time.Time, account *matcher.Account, size float64) (wait time.Duration, admitted bool) {
	if account.Rate <= 0 {
		return 0, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.bucket(now, account)
	b.ask(now, size)
	b.refill(now)
	// A call larger than the whole bucket would never be admitted; it may run
	// into debt from a full one, which the calls behind it pay.
	if want := min(size, b.full); b.level < want {
		return time.Duration((want - b.level) / b.rate * float64(time.Second)), false
	}
	b.level -= size
	b.spent += size
	return 0, true
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
}

// Demand returns what callers asked for and what was admitted, for a poll.
func (m *Meter) Demand(now time.Time) map[units.Account]Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	demand := make(map[units.Account]Demand, len(m.buckets))
	for name, b := range m.buckets {
		b.ask(now, 0)
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

func (b *bucket) size(account *matcher.Account, w Window) {
	b.rate = w.rate(account) * b.part
	b.full = lent(w.burst(account), w.burst(account), b.part)
}

func (b *bucket) refill(now time.Time) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level = max(b.level, min(b.most, b.level+passed*b.rate))
		b.at = now
	}
	b.level = min(b.level, b.own(now))
}

// own returns what the entry may admit of its own part alone, without bound while
// answers come.
//
// The bucket is lent out several times over, which the next answers mend. An
// account that turns hot while there are none would use all of that.
func (b *bucket) own(now time.Time) float64 {
	age := now.Sub(b.poolAt)
	if b.poolAt.IsZero() || age <= contactFor {
		return math.Inf(1)
	}
	return b.poolLevel*b.part + b.rate*age.Seconds() - (b.spent - b.heard)
}

// ask notes a call of size in the measure of demand.
func (b *bucket) ask(now time.Time, size float64) {
	passed := now.Sub(b.askedAt)
	if passed > 0 {
		b.demand *= math.Exp(-passed.Seconds() / demandTime.Seconds())
		b.askedAt = now
	}
	b.demand += size / demandTime.Seconds()
}
