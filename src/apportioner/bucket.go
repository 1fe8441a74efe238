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
	// ranks is how many ranks of urgency are told apart; all beyond the last are alike.
	ranks = 4
	// reserveTime is how much of what more urgent calls ask for is kept for them, as
	// long as the measure of it looks back: an entry of a small fleet gets one or two
	// of them in that time, and less would not keep the room for one.
	reserveTime = 1500 * time.Millisecond
	// urgentRoom is the part of a usual call that an account's most urgent ones need
	// room for. With none they would go on into debt however large it is.
	urgentRoom = 0.25
	// reserveMost bounds that part of what the entry may hold, so that less urgent
	// calls of an account that asks for little run whatever its urgent ones do.
	reserveMost = 0.6
	// spare is the part of the less urgent calls that go before the reserve: an
	// account whose urgent calls alone are beyond its limit would otherwise have no
	// others answered for as long as that lasts.
	spare = 0.2
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
	// demand is what callers ask for of each rank, in tokens a second, calls how
	// many calls that is.
	demand  [ranks]float64
	calls   [ranks]float64
	askedAt time.Time
	// spared adds up the parts of calls that may go before the reserve.
	spared float64
}

// Charge is what a call asks of its account's limit.
type Charge struct {
	Size float64
	// Urgency ranks the call, 0 first.
	Urgency int
}

// Admit charges a call to its account; where it is beyond the limit it charges
// nothing and returns the time until it would not be.
//
// An account at its limit has a level near nothing all the time. By the room for the
// whole call alone its small calls would use up every moment's refill, and its large
// ones, which it wants most, would all be refused: of two hundred refusals in eleven
// seconds none met the smallest kind of call. So a call needs room for one of the
// usual size, the rest of a larger one is a debt that the next ones pay, and less
// urgent calls leave what more urgent ones are about to ask for.
func (m *Meter) Admit(now time.Time, account *matcher.Account, charge Charge) (wait time.Duration, admitted bool) {
	if account.Rate <= 0 {
		return 0, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.bucket(now, account)
	rank := min(max(0, charge.Urgency), ranks-1)
	b.ask(now, rank, charge.Size)
	b.refill(now)
	want := b.room(now, rank, charge.Size) + b.reserved(rank)
	if b.level < want {
		return time.Duration((want - b.level) / b.rate * float64(time.Second)), false
	}
	b.level -= charge.Size
	b.spent += charge.Size
	return 0, true
}

// room returns what the level must be for a call of size.
//
// A call larger than the whole bucket would never be admitted; it may run into debt
// from a full one. Without contact a debt would be known to nobody else, and each
// entry would run into one of its own.
func (b *bucket) room(now time.Time, rank int, size float64) float64 {
	most := b.full
	if !b.poolAt.IsZero() && now.Sub(b.poolAt) <= contactFor {
		most = min(most, b.usual())
		if rank == 0 {
			// Where urgent calls are few, nothing is kept for them, and the others
			// leave the level below one call's room.
			most *= urgentRoom
		}
	}
	return min(size, most)
}

// usual returns the size of the account's calls on average, lately.
func (b *bucket) usual() float64 {
	demand, calls := 0.0, 0.0
	for rank := range ranks {
		demand += b.demand[rank]
		calls += b.calls[rank]
	}
	return demand / max(calls, math.SmallestNonzeroFloat64)
}

// reserved returns what a call of a rank must leave for more urgent ones.
func (b *bucket) reserved(rank int) float64 {
	if rank == 0 || b.level >= b.full {
		return 0
	}
	urgent := 0.0
	for above := range rank {
		urgent += b.demand[above]
	}
	// Room for one urgent call is kept where none was seen lately: it costs the
	// others no part of the rate, and an account's rare urgent call finds it.
	reserve := min(max(urgent*reserveTime.Seconds(), urgentRoom*b.usual()), reserveMost*b.full)
	b.spared += spare
	if b.spared < 1 {
		return reserve
	}
	b.spared--
	return 0
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
		b.fade(now)
		b.told = b.spent
		d := Demand{
			Rate:    b.asked(),
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

// ask notes a call in the measure of demand.
func (b *bucket) ask(now time.Time, rank int, size float64) {
	b.fade(now)
	b.demand[rank] += size / demandTime.Seconds()
	b.calls[rank] += 1 / demandTime.Seconds()
}

// fade lets the measure of demand forget.
func (b *bucket) fade(now time.Time) {
	passed := now.Sub(b.askedAt)
	if passed <= 0 {
		return
	}
	b.askedAt = now
	left := math.Exp(-passed.Seconds() / demandTime.Seconds())
	for rank := range ranks {
		b.demand[rank] *= left
		b.calls[rank] *= left
	}
}

// asked returns what callers ask for of all ranks, in tokens a second.
func (b *bucket) asked() float64 {
	sum := 0.0
	for _, demand := range b.demand {
		sum += demand
	}
	return sum
}
