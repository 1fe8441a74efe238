package placer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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
	// connecting is what a connection that has to be made first adds to an upstream's
	// fill: the set-up takes the upstream's time and keeps the caller waiting.
	connecting = 0.2
	// homes is how many upstreams a part may live at.
	homes = 2
	// secondMisses is the part of a shared part that its second home is taken to
	// lack.
	secondMisses = 0.3
	// drawn is how many upstreams are compared beside the homes. With stale loads,
	// two are much better than one, and more than a few make entries choose alike.
	drawn = 4
	// connected is how many are compared, beside these, of those that this entry has a
	// connection to. Of a hundred upstreams, those drawn by lot are hardly ever among the
	// few that one entry of hundreds is connected to.
	connected = 2
	// tokensEach is how many prompt tokens weigh as much as all places of an
	// upstream: a tenth of a second's reading.
	tokensEach = 8000
	// readEach is how long a token takes to read where this entry has not learnt it yet.
	readEach = 12 * time.Microsecond
	// patience is how many times the wanted time a call may have to wait for its
	// first byte before it is refused: what is known of the wait is rough.
	patience = 1.6
	// othersExpiry is how long what others have under way counts, some polls.
	othersExpiry = time.Second
	// longRead is the part of the longest pause that a stream may make from which on the
	// reading of a prompt counts as long, and lean how far the order of upstreams counts
	// in their fill.
	longRead = 0.75
	lean     = 1.0
	// overfull is what an upstream without a free place adds to its fill: a call
	// there waits for another to end.
	overfull = 1.0
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
	// Until is when one that leaves will be gone, as far as is known.
	Until time.Time
	stats *stats
	hash  Hash
	life  units.Life
	// place is where the upstream stands in an order that all entries work out alike,
	// from 0 to 1.
	place float64
}

// Placer chooses among the candidates of a fleet; it may be used from several
// goroutines, and its fields are set before use.
type Placer struct {
	DataCentre units.DataCentre
	// Now is the clock.
	Now func() time.Time
	// Fleet returns the upstreams of the moment.
	Fleet func() Fleet
	// Leaving returns those that take no more calls and still hold what they have
	// read; it may be nil.
	Leaving func() Fleet
	// Split returns how a service's calls are split while they move to another version, and
	// false where no version is told apart; it may be nil.
	Split func(service units.Service) (Split, bool)
	// Each returns how long a service's upstreams take to read a token, 0 where it is
	// not known; it may be nil.
	Each func(service units.Service) time.Duration
	// MostCalls returns how many calls this entry may have at an upstream at once.
	MostCalls func(upstream *tracker.Upstream) int
	// Gate holds calls to what upstreams say that they take; it may be nil.
	Gate Gate
	// Random draws; nil stands for the process's own source.
	Random Random

	others atomic.Pointer[Others]

	mu      sync.Mutex
	known   map[ejector.Key]*stats
	ejector ejector.Ejector
	out     map[ejector.Key]time.Time
}

// Gate lets calls go to upstreams that take only so many.
type Gate interface {
	// Closed returns the upstreams that may get no call now.
	Closed(now time.Time) map[units.Life]bool
	// Want notes that a call would have gone to an upstream that may get none.
	Want(life units.Life)
	// Take lets one call go to an upstream, and reports false where it may get none.
	Take(now time.Time, life units.Life) bool
}

// Random is what the placer draws by, from several goroutines.
type Random interface {
	Float64() float64
	IntN(n int) int
}

// ownRandom draws from the process's own source.
type ownRandom struct{}

// Float64 returns a number from 0 to 1.
func (ownRandom) Float64() float64 { return rand.Float64() }

// IntN returns a number from 0 to n-1.
func (ownRandom) IntN(n int) int { return rand.IntN(n) }

func (p *Placer) random() Random {
	if p.Random != nil {
		return p.Random
	}
	return ownRandom{}
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
	hash := HashOf(u.Name)
	return &Candidate{
		Upstream: u,
		Cold:     cold,
		Silent:   silent,
		stats:    s,
		hash:     hash,
		life:     units.LifeOf(u.Name, u.Incarnation),
		place:    placeOf(hash),
	}
}

// Keep forgets all upstreams but those of some fleets.
func (p *Placer) Keep(fleets ...Fleet) {
	kept := make(map[ejector.Key]bool)
	for _, fleet := range fleets {
		for _, candidates := range fleet {
			for _, c := range candidates {
				kept[keyOf(c.Upstream)] = true
			}
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
	for {
		c := p.pick(now, call, tried)
		if c == nil {
			return nil
		}
		// Another call may have taken what was left since it was looked at.
		if p.Gate == nil || p.Gate.Take(now, c.life) {
			return c.Upstream
		}
	}
}

func (p *Placer) pick(now time.Time, call *dispatcher.Call, tried []units.Upstream) *Candidate {
	candidates := p.sound(now, p.version(call.Service, len(tried) == 0), tried)
	if len(candidates) == 0 {
		return nil
	}
	best, least, ahead := (*Candidate)(nil), 0.0, int64(0)
	long := isLong(call, p.each(call.Service))
	compare := func(c *Candidate, unread units.Tokens) {
		calls, prefill := c.busy(now, p.others.Load())
		prefill += int64(unread)
		if score := p.score(c, calls, prefill) + lean*c.apart(call, long); best == nil || score < least {
			best, least, ahead = c, score, prefill
		}
	}
	if len(call.Parts) > 1 {
		for i, c := range homesOf(call.Parts[len(call.Parts)-2].ID, candidates) {
			// The second home is for when the first is busy; used alike, each of
			// them would read the part.
			missing := units.Tokens(float64(i) * secondMisses * float64(call.Shared()))
			compare(c, call.Prompt-call.Shared()+missing)
		}
	}
	first := p.random().IntN(len(candidates))
	draws := min(drawn, len(candidates))
	if long {
		// They are few, and which upstream has the fewest streams matters to each of them.
		draws = len(candidates)
	}
	for i := range draws {
		// A step that is drawn too would visit one twice; neighbours do as well.
		compare(candidates[(first+i*stride(len(candidates), draws))%len(candidates)], call.Prompt)
	}
	for _, c := range connectedOf(candidates, first) {
		compare(c, call.Prompt)
	}
	if len(tried) == 0 && hopeless(call, time.Duration(ahead)*p.each(call.Service)) {
		return nil
	}
	return best
}

func (p *Placer) each(service units.Service) time.Duration {
	if p.Each != nil {
		if each := p.Each(service); each > 0 {
			return each
		}
	}
	return readEach
}

// hopeless reports whether a call would wait far beyond what its caller wants,
// at the best of several upstreams. Its answer would come late and cost the calls
// behind it their time; refused at once, its caller can come back when the burst
// is over. The most urgent calls of an account go before what waits, and are never refused.
//
// The wait is what is to be read before its first byte, at the speed that this entry
// has seen: upstreams that read at half the speed of others took on twice what they
// could answer in time.
func hopeless(call *dispatcher.Call, wait time.Duration) bool {
	return call.Urgency > 0 && call.RouteUrgency > 0 && call.Target > 0 && len(call.Parts) > 0 && wait > time.Duration(patience*float64(call.Target))
}

// stride spreads the drawn candidates over the list, which is sorted by name.
func stride(count, draws int) int { return max(1, count/draws) }

// isLong reports whether reading a call's prompt makes the streams beside it pause for
// too long: an upstream reads prompts between the tokens of the streams that it runs.
func isLong(call *dispatcher.Call, each time.Duration) bool {
	return call.Pause > 0 && time.Duration(call.Unread())*each > time.Duration(longRead*float64(call.Pause))
}

// apart returns how far an upstream is from where a call belongs, from 0 to 1.
//
// The load it answers: one prompt in fifty takes as long to read as a stream may pause.
// Placed by load alone it goes where five streams run, each of which is late for it, and
// what others send there is known too late to send them elsewhere. So long prompts lean to
// one end of an order that all entries work out alike, and all other calls to the other
// one: few streams run where prompts are long, at any load and without a message. Calls
// that no pause can spoil are spread evenly.
func (c *Candidate) apart(call *dispatcher.Call, long bool) float64 {
	switch {
	case call.Pause == 0:
		return 0
	case long:
		return 1 - c.place
	}
	return c.place
}

// placeMix is odd and has its bits spread, so that names which differ little are far
// apart in the order.
const placeMix = 0x9e3779b97f4a7c15

func placeOf(hash Hash) float64 {
	const bits = 53
	return float64(uint64(hash)*placeMix>>(64-bits)) / (1 << bits)
}

// score returns what a call would wait for at an upstream that has so many calls and
// so many tokens to read, the call's own among them, in its places.
func (p *Placer) score(c *Candidate, calls, prefill int64) float64 {
	slots := c.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	score := float64(calls)/float64(slots) + float64(prefill)/tokensEach + noise*p.random().Float64()
	if calls >= int64(slots) {
		score += overfull
	}
	if c.DataCentre != p.DataCentre {
		score += distance
	}
	if c.Cold {
		score += coldness
	}
	if c.Live.Idle.Load() <= 0 {
		score += connecting
	}
	return score
}

// connectedOf returns a few of the upstreams that a connection waits for, from a place
// in the list on.
func connectedOf(candidates []*Candidate, first int) []*Candidate {
	var found []*Candidate
	for i := range candidates {
		c := candidates[(first+i)%len(candidates)]
		if c.Live.Idle.Load() <= 0 {
			continue
		}
		if found = append(found, c); len(found) == connected {
			break
		}
	}
	return found
}

// homesOf returns the upstreams that a shared part belongs to.
func homesOf(part uint64, candidates []*Candidate) []*Candidate {
	var best [homes]*Candidate
	var ranks [homes]uint64
	for _, c := range candidates {
		r := rank(part, c.hash)
		switch {
		case best[0] == nil || r > ranks[0]:
			best[0], best[1] = c, best[0]
			ranks[0], ranks[1] = r, ranks[0]
		case best[1] == nil || r > ranks[1]:
			best[1] = c
			ranks[1] = r
		}
	}
	if best[1] == nil {
		return best[:1]
	}
	return best[:]
}

// rank orders upstreams for a part, the same on every entry, by mixing both hashes.
func rank(part uint64, upstream Hash) uint64 {
	x := part ^ uint64(upstream)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// SetOthers takes over what other entries have under way.
func (p *Placer) SetOthers(others *Others) { p.others.Store(others) }

// UnderWay returns what this entry has under way at the upstreams of the moment.
func (p *Placer) UnderWay() map[Hash]UnderWay {
	loads := make(map[Hash]UnderWay)
	for _, candidates := range p.Fleet() {
		for _, c := range candidates {
			load := UnderWay{
				Calls:   c.Live.InFlight.Load(),
				Prefill: c.Live.Prefill.Load(),
			}
			if load != (UnderWay{}) {
				loads[c.hash] = load
			}
		}
	}
	return loads
}

// sound returns the candidates to choose from: those that seem well, else those
// that may be, and none that was tried where another is left.
func (p *Placer) sound(now time.Time, all []*Candidate, tried []units.Upstream) []*Candidate {
	var well, doubtful []*Candidate
	var closed map[units.Life]bool
	if p.Gate != nil {
		closed = p.Gate.Closed(now)
	}
	for _, c := range all {
		if closed[c.life] {
			p.Gate.Want(c.life)
			continue
		}
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
