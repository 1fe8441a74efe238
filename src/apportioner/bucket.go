package apportioner

import (
	"math"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

// Window is how limits are judged: what runs in any span of Length may be Overage
// above rate and burst, and Slack above that.
type Window struct {
	Length  time.Duration
	Overage float64
	Slack   float64
}

const (
	// rateUse is the part of the overage that raises the rate; the rest goes into
	// the burst, where it lets clumps through.
	rateUse = 0.3
	// burstUse is the part of what is left over the window that the burst uses;
	// the rest covers parts that change hands between two polls.
	burstUse = 0.75
	// demandTime is how fast the measure of demand follows; callers come in
	// clumps of some tenths of a second.
	demandTime = 1500 * time.Millisecond
	// firstPart is an entry's part until control has told it one.
	firstPart = 0.1
)

// Meter charges calls to this entry's parts of the limits; it may be used from
// several goroutines.
type Meter struct {
	Window Window

	mu      sync.Mutex
	buckets map[units.Account]*bucket
}

// bucket is one account's part at this entry.
type bucket struct {
	part    float64
	even    float64
	rate    float64
	burst   float64
	level   float64
	at      time.Time
	demand  float64
	askedAt time.Time
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
	if b.level < min(size, b.burst) {
		return time.Duration((min(size, b.burst) - b.level) / b.rate * float64(time.Second)), false
	}
	b.level -= size
	return 0, true
}

// Refund gives back what a call was charged that did not run.
func (m *Meter) Refund(account units.Account, size float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.buckets[account]; b != nil {
		b.level = min(b.burst, b.level+size)
	}
}

// SetPart takes over this entry's part of an account's rate, and its even part of
// the burst. The burst does not follow demand: what one entry has saved up and
// another may then save again would be there twice.
func (m *Meter) SetPart(now time.Time, account *matcher.Account, part, even float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.bucket(now, account)
	b.refill(now)
	b.part = part
	b.even = even
	b.size(account, m.Window)
	b.level = min(b.level, b.burst)
}

// Demand returns what callers asked for lately, in tokens a second by account.
func (m *Meter) Demand(now time.Time) map[units.Account]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	demand := make(map[units.Account]float64, len(m.buckets))
	for name, b := range m.buckets {
		b.ask(now, 0)
		demand[name] = b.demand
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
			even:    firstPart,
			at:      now,
			askedAt: now,
		}
		b.size(account, m.Window)
		b.level = b.burst
		m.buckets[account.Name] = b
	}
	return b
}

// Resize takes over changed limits.
func (m *Meter) Resize(now time.Time, table *matcher.Table) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, b := range m.buckets {
		account := table.Account(name)
		if account == nil || account.Rate <= 0 {
			delete(m.buckets, name)
			continue
		}
		b.refill(now)
		b.size(account, m.Window)
		b.level = min(b.level, b.burst)
	}
}

// size works out the rate and the burst of the part. Over one window the rate
// gives rate x length, so that the burst may be what the window allows beyond.
func (b *bucket) size(account *matcher.Account, w Window) {
	rate := account.Rate * (1 + w.Overage*rateUse)
	length := w.Length.Seconds()
	allowed := (account.Rate*length+account.Burst)*(1+w.Overage) + w.Slack
	burst := max(account.Burst, (allowed-rate*length)*burstUse)
	b.rate = rate * b.part
	b.burst = burst * b.even
}

func (b *bucket) refill(now time.Time) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level = min(b.burst, b.level+passed*b.rate)
		b.at = now
	}
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
