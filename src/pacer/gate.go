package pacer

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// mostWanted bounds the calls that an entry asks to send to one upstream at once.
	mostWanted = 64
	// leaderPatience is how long after the leader's last answer an entry goes by permits
	// alone; later it takes its part of the limit itself.
	leaderPatience = time.Second
	// partUse is the part of a limit that all entries take without a leader: each may have
	// saved up one call by then, and they all come back at about the same time.
	partUse = 0.5
)

// Number numbers what an entry has heard from upstreams, from 1.
type Number uint64

// Gate holds one entry to what upstreams say that they take; it may be used from several
// goroutines.
type Gate struct {
	// limited counts the upstreams with limits, for callers that need not look further.
	limited atomic.Int64

	mu    sync.Mutex
	lives map[units.Life]*gate
	last  Number
	// entries is how many entries there are, and leaderAt when the leader answered last.
	entries  int
	leaderAt time.Time
}

// gate is what an entry knows of an upstream that states a limit, or did so.
type gate struct {
	Observation
	// news numbers what this entry has heard itself, 0 where it has only been told.
	news    Number
	permits []permit
	// wanted counts the calls since the last poll that were sent there, or would have been.
	wanted int
	// part is what may go out without a leader, as of partAt.
	part   float64
	partAt time.Time
}

// permit lets some calls go out for a while.
type permit struct {
	calls int
	until time.Time
}

// Hear takes what an answer says and reports whether it changes anything.
func (g *Gate) Hear(o Observation) bool {
	if !o.Stated && g.limited.Load() == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.lives[o.Life]
	switch {
	case !o.Stated && (known == nil || !known.Stated || !o.withdraws(known.AnsweredAt)):
		return false
	case known == nil:
		if g.lives == nil {
			g.lives = make(map[units.Life]*gate)
		}
		known = &gate{}
		g.lives[o.Life] = known
	case o.Stated && o.AnsweredAt.Before(known.AnsweredAt):
		return false
	}
	changed := known.Stated != o.Stated || known.Rate != o.Rate
	known.trim(o.Rate)
	known.Observation = o
	g.last++
	known.news = g.last
	g.count()
	return changed
}

// Follow goes by the leader's limits after each of its answers; sentAt is when the poll was sent
// that was answered, and heard the last news that the leader was told. One that has not heard
// all entries yet adds limits and withdraws none.
func (g *Gate) Follow(sentAt time.Time, heard Number, limits []Limit, settled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(limits)+len(g.lives) == 0 {
		return
	}
	told := make(map[units.Life]bool, len(limits))
	for _, limit := range limits {
		told[limit.Life] = true
		known := g.lives[limit.Life]
		if known == nil {
			if g.lives == nil {
				g.lives = make(map[units.Life]*gate)
			}
			known = &gate{}
			g.lives[limit.Life] = known
		}
		if known.news > heard {
			continue
		}
		if !known.Stated || known.AnsweredAt.Before(limit.StatedAt) {
			known.AnsweredAt = limit.StatedAt
		}
		known.trim(limit.Rate)
		known.Life = limit.Life
		known.Stated = true
		known.Rate = limit.Rate
	}
	for life, known := range g.lives {
		if settled && !told[life] && known.news <= heard && known.AnsweredAt.Before(sentAt) {
			delete(g.lives, life)
		}
	}
	g.count()
}

// trim takes back what a lower limit leaves no room for of the permits of a higher one.
func (known *gate) trim(rate units.CallRate) {
	if !known.Stated || rate >= known.Rate {
		return
	}
	left := float64(rate / known.Rate)
	for i := range known.permits {
		known.permits[i].calls = int(left * float64(known.permits[i].calls))
	}
	known.permits = slices.DeleteFunc(known.permits, func(p permit) bool { return p.calls == 0 })
}

func (g *Gate) count() {
	limited := int64(0)
	for _, known := range g.lives {
		if known.Stated {
			limited++
		}
	}
	g.limited.Store(limited)
}

// Led notes that the leader has answered, and how many entries there are.
func (g *Gate) Led(now time.Time, entries int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaderAt = now
	g.entries = entries
}

// Permit lets so many calls go to an upstream, for a while after the poll was sent that asked
// for them.
func (g *Gate) Permit(sentAt time.Time, life units.Life, calls int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.lives[life]; known != nil && calls > 0 {
		known.permits = append(known.permits, permit{
			calls: calls,
			until: sentAt.Add(permitTime),
		})
	}
}

// Closed returns the upstreams that may get no call now, nil for none.
func (g *Gate) Closed(now time.Time) map[units.Life]bool {
	if g.limited.Load() == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	closed := make(map[units.Life]bool)
	for life, known := range g.lives {
		if known.Stated && !g.open(now, known) {
			closed[life] = true
		}
	}
	return closed
}

// Want notes that a call would have gone to an upstream that may get none.
func (g *Gate) Want(life units.Life) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.lives[life]; known != nil {
		known.wanted = min(known.wanted+1, mostWanted)
	}
}

// Take takes a permit for one call, and reports whether the call may go to the upstream.
func (g *Gate) Take(now time.Time, life units.Life) bool {
	if g.limited.Load() == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.lives[life]
	if known == nil || !known.Stated {
		return true
	}
	known.wanted = min(known.wanted+1, mostWanted)
	if !g.open(now, known) {
		return false
	}
	if len(known.permits) == 0 {
		known.part--
		return true
	}
	known.permits[0].calls--
	if known.permits[0].calls == 0 {
		known.permits = known.permits[1:]
	}
	return true
}

// open reports whether one call may go to an upstream with a limit.
func (g *Gate) open(now time.Time, known *gate) bool {
	known.permits = slices.DeleteFunc(known.permits, func(p permit) bool { return !now.Before(p.until) })
	if len(known.permits) > 0 {
		return true
	}
	return g.ownPart(now, known) >= 1
}

// ownPart returns how many calls may go out without a leader. Nothing was saved up while there
// was one: all entries lose it at the same time.
func (g *Gate) ownPart(now time.Time, known *gate) float64 {
	lostAt := g.leaderAt.Add(leaderPatience)
	if now.Before(lostAt) {
		known.part = 0
		return 0
	}
	if known.partAt.Before(lostAt) {
		known.partAt = lostAt
		known.part = 0
	}
	pace := partUse * paceOf(known.Rate) / float64(max(1, g.entries))
	known.part = min(1, known.part+pace*now.Sub(known.partAt).Seconds())
	known.partAt = now
	return known.part
}

// Wants returns for how many calls this entry wants permits, by upstream, and begins to count
// anew.
func (g *Gate) Wants(now time.Time) map[units.Life]int {
	if g.limited.Load() == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	wants := make(map[units.Life]int)
	for life, known := range g.lives {
		held := 0
		for _, p := range known.permits {
			if now.Before(p.until) {
				held += p.calls
			}
		}
		if known.Stated && known.wanted > held {
			wants[life] = known.wanted - held
		}
		known.wanted = 0
	}
	return wants
}

// After returns what this entry has heard itself behind a number, in order.
func (g *Gate) After(number Number) ([]Observation, Number) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.last == number {
		return nil, number
	}
	fresh := make(map[Number]Observation)
	for _, known := range g.lives {
		if known.news > number {
			fresh[known.news] = known.Observation
		}
	}
	var observations []Observation
	for _, n := range slices.Sorted(maps.Keys(fresh)) {
		observations = append(observations, fresh[n])
	}
	return observations, g.last
}

// Limits returns the limits that this entry knows, by upstream.
func (g *Gate) Limits() map[units.Life]units.CallRate {
	g.mu.Lock()
	defer g.mu.Unlock()
	limits := make(map[units.Life]units.CallRate)
	for life, known := range g.lives {
		if known.Stated {
			limits[life] = known.Rate
		}
	}
	return limits
}
