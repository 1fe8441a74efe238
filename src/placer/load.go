package placer

import (
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/ejector"
	"github.com/rosecroft/rosecroft/src/tracker"
)

// stats is what this entry knows of one incarnation from its own calls.
type stats struct {
	mu sync.Mutex
	// others is what the upstream had to do for others at statedAt.
	others   int
	statedAt time.Time
	// answeredAt is when it last answered.
	answeredAt time.Time
}

// Load is what an upstream states of itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

func (c *Candidate) answered(now time.Time) bool {
	c.stats.mu.Lock()
	defer c.stats.mu.Unlock()
	return now.Sub(c.stats.answeredAt) < soundFor
}

// busy returns what an upstream has to do: what this entry sent, which it knows
// exactly, and what others did, by the more recent of their polls and its answers.
func (c *Candidate) busy(now time.Time, others *Others) (calls, prefill int64) {
	calls = c.Live.InFlight.Load()
	prefill = c.Live.Prefill.Load()
	if others == nil || now.Sub(others.At) > othersExpiry {
		return calls + int64(c.others(now)), prefill
	}
	load := others.Loads[c.hash]
	return calls + max(load.Calls, int64(c.others(now))), prefill + load.Prefill
}

// others returns what the upstream does for others, which fades with its age.
func (c *Candidate) others(now time.Time) float64 {
	c.stats.mu.Lock()
	defer c.stats.mu.Unlock()
	age := now.Sub(c.stats.statedAt)
	if age >= loadExpiry {
		return 0
	}
	return float64(c.stats.others) * (1 - float64(age)/float64(loadExpiry))
}

// State takes the load that an upstream states in an answer. What this entry has
// there itself it knows better and without lag.
func (p *Placer) State(u *tracker.Upstream, load Load) {
	p.mu.Lock()
	s := p.known[keyOf(u)]
	p.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = max(0, load.Running+load.Waiting-int(u.Live.InFlight.Load()))
	s.statedAt = p.Now()
	s.answeredAt = s.statedAt
}

// Observe learns how an exchange ended.
func (p *Placer) Observe(u *tracker.Upstream, result dispatcher.Result) {
	now := p.Now()
	key := keyOf(u)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch result.Kind {
	case dispatcher.Answered, dispatcher.Moved:
		p.ejector.Step(now, ejector.Succeeded{Key: key})
		if s := p.known[key]; s != nil {
			s.mu.Lock()
			s.answeredAt = now
			s.mu.Unlock()
		}
		return
	case dispatcher.CallerGone:
		return
	case dispatcher.NotRun:
		// A full upstream is not a broken one.
		if !result.Unreached {
			return
		}
	case dispatcher.Lost, dispatcher.Broken, dispatcher.Failed:
	}
	for _, action := range p.ejector.Step(now, ejector.Failed{
		Key:       key,
		Unreached: result.Unreached,
		Total:     len(p.Fleet()[u.Service]),
	}) {
		if eject, ok := action.(ejector.Eject); ok {
			if p.out == nil {
				p.out = make(map[ejector.Key]time.Time)
			}
			p.out[eject.Key] = eject.Until
		}
	}
}

// Belief is what this entry takes an upstream to be like.
type Belief struct {
	// Others is what the other entries have under way there, by their last polls.
	Others UnderWay
	// Stated is what the upstream did for others by its last answer, faded with its age.
	Stated int
	// AnsweredAt is when it last answered this entry, zero for never.
	AnsweredAt time.Time
	// Ejected says that calls have failed there and go elsewhere for a while.
	Ejected bool
}

// Believes returns what this entry takes an upstream to be like.
func (p *Placer) Believes(c *Candidate) Belief {
	now := p.Now()
	b := Belief{
		Stated:  int(c.others(now)),
		Ejected: p.ejected(now, c.Upstream),
	}
	if others := p.others.Load(); others != nil && now.Sub(others.At) <= othersExpiry {
		b.Others = others.Loads[c.hash]
	}
	c.stats.mu.Lock()
	defer c.stats.mu.Unlock()
	b.AnsweredAt = c.stats.answeredAt
	return b
}

func (p *Placer) ejected(now time.Time, u *tracker.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.out[keyOf(u)])
}
