package placer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/ejector"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// loadExpiry is how long a stated load counts: at a few answers a second from
	// each upstream, several come within it.
	loadExpiry = 2 * time.Second
	// distance is what another data centre adds to an upstream's fill: enough to
	// decide among equals, less than one call in ten places.
	distance = 0.05
	// coldness is what an upstream that has just started adds to its fill.
	coldness = 0.3
	// homeSlack is how much busier than the mean the home of a prompt's part may
	// be, as a share of its places. Beyond it, reading the part again is cheaper
	// than waiting behind the others.
	homeSlack = 0.25
	// homes is how many upstreams a part may live at.
	homes = 2
	// noise spreads calls that arrive together among near equals.
	noise = 0.04
	// soundFor is how long an answer shows that an upstream which control has not
	// heard lately can still be reached from here.
	soundFor = 1500 * time.Millisecond
	// defaultSlots stands for upstreams that state no number of places.
	defaultSlots = 8
)

// Fleet holds the upstreams of each service; it is not changed once handed over.
type Fleet map[units.Service][]*Candidate

// Candidate is one upstream that takes calls.
type Candidate struct {
	*tracker.Upstream
	// Cold says that it has just started and is slow.
	Cold bool
	// Silent says that control has not heard it lately.
	Silent bool
	stats  *stats
}

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

// Placer chooses among the candidates of a fleet; it may be used from several
// goroutines, and its fields are set before use.
type Placer struct {
	DataCentre units.DataCentre
	// Now is the clock.
	Now func() time.Time
	// Fleet returns the upstreams of the moment.
	Fleet func() Fleet
	// MostCalls returns how many calls this entry may have at an upstream at once.
	MostCalls func(upstream *tracker.Upstream) int

	mu      sync.Mutex
	known   map[ejector.Key]*stats
	ejector ejector.Ejector
	out     map[ejector.Key]time.Time
}

func keyOf(u *tracker.Upstream) ejector.Key {
	return ejector.Key{
		Service:     u.Service,
		Upstream:    u.Name,
		Incarnation: u.Incarnation,
	}
}

// Candidate returns an upstream as a candidate, with what is known of it from before.
func (p *Placer) Candidate(u *tracker.Upstream, cold, silent bool) *Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known == nil {
		p.known = make(map[ejector.Key]*stats)
	}
	s := p.known[keyOf(u)]
	if s == nil {
		s = &stats{}
		p.known[keyOf(u)] = s
	}
	return &Candidate{
		Upstream: u,
		Cold:     cold,
		Silent:   silent,
		stats:    s,
	}
}

// Keep forgets all upstreams but those of a fleet.
func (p *Placer) Keep(fleet Fleet) {
	kept := make(map[ejector.Key]bool)
	for _, candidates := range fleet {
		for _, c := range candidates {
			kept[keyOf(c.Upstream)] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.known {
		if !kept[key] {
			delete(p.known, key)
			delete(p.out, key)
		}
	}
}

// Pick returns the upstream for the next attempt, or nil for none.
func (p *Placer) Pick(call *dispatcher.Call, tried []units.Upstream) *tracker.Upstream {
	now := p.Now()
	candidates := p.sound(now, p.Fleet()[call.Service], tried)
	if len(candidates) == 0 {
		return nil
	}
	scored := make([]scored, len(candidates))
	mean := 0.0
	for i, c := range candidates {
		scored[i].candidate = c
		scored[i].fill = c.fill(now)
		mean += scored[i].fill / float64(len(candidates))
	}
	if home := p.home(call, scored, mean); home != nil {
		return home.Upstream
	}
	best := -1
	least := 0.0
	for i, s := range scored {
		score := s.fill + noise*rand.Float64()
		if s.candidate.DataCentre != p.DataCentre {
			score += distance
		}
		if s.candidate.Cold {
			score += coldness
		}
		if best < 0 || score < least {
			best, least = i, score
		}
	}
	return scored[best].candidate.Upstream
}

type scored struct {
	candidate *Candidate
	fill      float64
	rank      uint64
}

// home returns the upstream that the call's shared part lives at, or nil where
// the call has none or each of its homes is too busy.
func (p *Placer) home(call *dispatcher.Call, candidates []scored, mean float64) *Candidate {
	if len(call.Parts) < 2 {
		return nil
	}
	part := call.Parts[len(call.Parts)-2].ID
	for i := range candidates {
		candidates[i].rank = rank(part, candidates[i].candidate.Name)
	}
	best := slices.Clone(candidates)
	slices.SortFunc(best, func(a, b scored) int {
		if a.rank > b.rank {
			return -1
		}
		return 1
	})
	for _, s := range best[:min(homes, len(best))] {
		if s.fill <= mean+homeSlack && s.fill < 1 && !s.candidate.Cold {
			return s.candidate
		}
	}
	return nil
}

// rank orders upstreams for a part; the same on every entry.
func rank(part uint64, name units.Upstream) uint64 {
	var b [8]byte
	for i := range b {
		b[i] = byte(part >> (8 * i))
	}
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(string(name))
	return d.Sum64()
}

// sound returns the candidates to choose from: those that seem well, else those
// that may be, and none that was tried where another is left.
func (p *Placer) sound(now time.Time, all []*Candidate, tried []units.Upstream) []*Candidate {
	var well, doubtful []*Candidate
	for _, c := range all {
		if slices.Contains(tried, c.Name) || int(c.Live.InFlight.Load()) >= p.MostCalls(c.Upstream) {
			continue
		}
		if p.ejected(now, c.Upstream) || c.Silent && !c.answered(now) {
			doubtful = append(doubtful, c)
			continue
		}
		well = append(well, c)
	}
	if len(well) > 0 {
		return well
	}
	return doubtful
}

func (c *Candidate) answered(now time.Time) bool {
	c.stats.mu.Lock()
	defer c.stats.mu.Unlock()
	return now.Sub(c.stats.answeredAt) < soundFor
}

// fill returns the share of an upstream's places that are taken, above 1 where
// calls wait.
func (c *Candidate) fill(now time.Time) float64 {
	slots := c.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return (c.others(now) + float64(c.Live.InFlight.Load())) / float64(slots)
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

func (p *Placer) ejected(now time.Time, u *tracker.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.out[keyOf(u)])
}
