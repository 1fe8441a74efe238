package pacer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// mostSaved is how much of a limit may be saved up, and at least one call.
	mostSaved = 300 * time.Millisecond
	// wantFor is how long an entry counts as one that has work: some polls.
	wantFor = 600 * time.Millisecond
	// surveyInterval is how often it is seen whose turn it is.
	surveyInterval = 20 * time.Millisecond
	// untakenFor is how long saved calls wait for the entry whose turn it is.
	untakenFor = 300 * time.Millisecond
	// shortFor is how long an upstream counts as short after calls were kept from it.
	shortFor = 5 * time.Second
	// withdrawnFor is how long the end of a limit is remembered for entries that still tell
	// of it.
	withdrawnFor = time.Minute
)

// Divider hands out what upstreams with limits take; it is a state machine without a clock.
type Divider struct {
	lives map[units.Life]*paced
	// withdrawn holds when the call was sent whose answer ended a limit.
	withdrawn map[units.Life]time.Time
	version   uint64
}

// paced is an upstream with a limit.
type paced struct {
	rate     units.CallRate
	statedAt time.Time
	// saved is how many calls may go out now, as of savedAt; fullAt is since when no more
	// could be saved.
	saved   float64
	savedAt time.Time
	fullAt  time.Time
	wants   map[units.Instance]*want
	// turns holds when each entry that has work was granted a call last, the oldest first, as
	// of surveyedAt.
	turns      []time.Time
	surveyedAt time.Time
	// keptAt is when calls were kept from it last.
	keptAt time.Time
}

// want is an entry that has work for an upstream.
type want struct {
	at      time.Time
	granted time.Time
}

// Limit is the limit of one upstream, as far as all entries know.
type Limit struct {
	Life     units.Life
	Rate     units.CallRate
	StatedAt time.Time
}

// Hear takes what an entry has heard from an upstream, in any order.
func (d *Divider) Hear(now time.Time, o Observation) {
	known := d.lives[o.Life]
	switch {
	case !o.Stated:
		if known != nil && o.withdraws(known.statedAt) {
			d.withdraw(o)
		}
	case !o.AnsweredAt.After(d.withdrawn[o.Life]):
	case known == nil:
		if d.lives == nil {
			d.lives = make(map[units.Life]*paced)
		}
		d.lives[o.Life] = &paced{
			rate:     o.Rate,
			statedAt: o.AnsweredAt,
			savedAt:  now,
			wants:    make(map[units.Instance]*want),
		}
		d.version++
	case o.AnsweredAt.After(known.statedAt):
		known.fill(now)
		known.statedAt = o.AnsweredAt
		if known.rate != o.Rate {
			known.rate = o.Rate
			known.saved = min(known.saved, known.most())
			d.version++
		}
	}
}

func (d *Divider) withdraw(o Observation) {
	delete(d.lives, o.Life)
	d.version++
	if d.withdrawn == nil {
		d.withdrawn = make(map[units.Life]time.Time)
	}
	d.withdrawn[o.Life] = o.SentAt
}

// Keep forgets the limits of all upstreams but those that there are.
func (d *Divider) Keep(now time.Time, there func(units.Life) bool) {
	maps.DeleteFunc(d.withdrawn, func(_ units.Life, at time.Time) bool { return now.Sub(at) >= withdrawnFor })
	for life := range d.lives {
		if !there(life) {
			delete(d.lives, life)
			d.version++
		}
	}
}

// Grant returns how many calls an entry that has work for so many may send to an upstream.
//
// Entries that have work take turns: whoever asks first would else be the same one each time.
// What nobody takes goes to the next that asks.
func (d *Divider) Grant(now time.Time, entry units.Instance, life units.Life, calls int) int {
	p := d.lives[life]
	if p == nil || calls <= 0 {
		return 0
	}
	p.fill(now)
	w := p.wants[entry]
	if w == nil {
		w = &want{}
		p.wants[entry] = w
	}
	w.at = now
	if p.saved < 1 {
		p.keptAt = now
		return 0
	}
	p.survey(now)
	untaken := !p.fullAt.IsZero() && now.Sub(p.fullAt) >= untakenFor
	// The calls that are saved are for the entries that have waited for the longest.
	turn := p.turns[min(len(p.turns), int(p.saved))-1]
	if !untaken && w.granted.After(turn) {
		p.keptAt = now
		return 0
	}
	count := min(calls, max(1, int(math.Ceil(p.saved/float64(len(p.turns))))), int(p.saved))
	if count < calls {
		p.keptAt = now
	}
	w.granted = now
	p.saved -= float64(count)
	p.fullAt = time.Time{}
	return count
}

// survey sees which entries have work, and forgets the others. The one that asks is among them.
func (p *paced) survey(now time.Time) {
	if now.Sub(p.surveyedAt) < surveyInterval {
		return
	}
	p.surveyedAt = now
	maps.DeleteFunc(p.wants, func(_ units.Instance, w *want) bool { return now.Sub(w.at) >= wantFor })
	p.turns = p.turns[:0]
	for _, w := range p.wants {
		p.turns = append(p.turns, w.granted)
	}
	slices.SortFunc(p.turns, time.Time.Compare)
}

// most is how many calls may be saved up.
func (p *paced) most() float64 { return max(1, paceOf(p.rate)*mostSaved.Seconds()) }

func (p *paced) fill(now time.Time) {
	passed := now.Sub(p.savedAt)
	if passed <= 0 {
		return
	}
	p.savedAt = now
	p.saved += paceOf(p.rate) * passed.Seconds()
	if p.saved < p.most() {
		return
	}
	p.saved = p.most()
	if p.fullAt.IsZero() {
		p.fullAt = now
	}
}

// Limits returns all limits in order, and a number that changes with them.
func (d *Divider) Limits() ([]Limit, uint64) {
	limits := make([]Limit, 0, len(d.lives))
	for life, p := range d.lives {
		limits = append(limits, Limit{
			Life:     life,
			Rate:     p.rate,
			StatedAt: p.statedAt,
		})
	}
	slices.SortFunc(limits, func(a, b Limit) int { return cmp.Compare(a.Life, b.Life) })
	return limits, d.version
}

// Version returns the number that changes with the limits.
func (d *Divider) Version() uint64 { return d.version }

// Short reports whether an upstream takes fewer calls than there were for it lately.
func (d *Divider) Short(now time.Time, life units.Life) bool {
	p := d.lives[life]
	return p != nil && !p.keptAt.IsZero() && now.Sub(p.keptAt) < shortFor
}
