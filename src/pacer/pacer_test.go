package pacer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// began is when the tests begin.
var began = time.Unix(1000, 0)

const life units.Life = 7

// fleet plays entries that poll a leader, an upstream that states a limit, and callers.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	divider *Divider
	entries []*polling
	rate    units.CallRate
	// sent holds when calls went to the upstream.
	sent []time.Time
}

// polling is one entry.
type polling struct {
	name     units.Instance
	gate     *Gate
	next     time.Time
	interval time.Duration
	heard    Number
	// work is how many calls a second its callers bring.
	work float64
}

const fleetStep = 5 * time.Millisecond

func newFleet(random *rand.Rand, entries int, rate units.CallRate) *fleet {
	f := &fleet{
		random:  random,
		now:     began,
		divider: &Divider{},
		rate:    rate,
	}
	for i := range entries {
		f.entries = append(f.entries, &polling{
			name:     units.Instance(fmt.Sprint("e", i)),
			gate:     &Gate{},
			next:     began.Add(time.Duration(random.Int64N(int64(200 * time.Millisecond)))),
			interval: time.Duration(50+random.IntN(150)) * time.Millisecond,
		})
	}
	return f
}

// call sends a call of an entry where its gate lets it; the answer states the limit.
func (f *fleet) call(e *polling) {
	if f.rate >= 0 && e.gate.Closed(f.now)[life] {
		e.gate.Want(life)
		return
	}
	if !e.gate.Take(f.now, life) {
		return
	}
	f.sent = append(f.sent, f.now)
	e.gate.Hear(Observation{
		Life:       life,
		Stated:     f.rate >= 0,
		Rate:       f.rate,
		AnsweredAt: f.now.Add(2 * time.Millisecond),
		SentAt:     f.now,
	})
}

func (f *fleet) poll(e *polling) {
	e.next = f.now.Add(e.interval)
	heard, last := e.gate.After(e.heard)
	for _, o := range heard {
		f.divider.Hear(f.now, o)
	}
	wants := e.gate.Wants(f.now)
	e.heard = last
	limits, _ := f.divider.Limits()
	e.gate.Led(f.now, len(f.entries))
	e.gate.Follow(f.now, last, limits, true)
	for l, calls := range wants {
		e.gate.Permit(f.now, l, f.divider.Grant(f.now, e.name, l, calls))
	}
}

// play lets time pass; led says whether the leader answers.
func (f *fleet) play(span time.Duration, led bool) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		for _, e := range f.entries {
			if led && !f.now.Before(e.next) {
				f.poll(e)
			}
			if f.random.Float64() < e.work*fleetStep.Seconds() {
				f.call(e)
			}
		}
	}
}

// most returns the most calls in any span of 4 s that begins after a moment.
func (f *fleet) most(after time.Time) int {
	most := 0
	for i, from := range f.sent {
		if from.Before(after) {
			continue
		}
		count := 0
		for _, at := range f.sent[i:] {
			if at.Sub(from) < 4*time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against an upstream that gets more than it takes, or much less where there is work, at
// any number of entries and any spread of the work, also while there is no leader.
func TestFleetKeepsToALimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		rate := units.CallRate(rapid.SampledFrom([]float64{0, 0.3, 1, 1.1, 2.5, 8, 40}).Draw(t, "rate"))
		f := newFleet(random, rapid.IntRange(1, 60).Draw(t, "entries"), rate)
		busy := rapid.IntRange(1, len(f.entries)).Draw(t, "busy entries")
		for _, e := range f.entries[:busy] {
			e.work = 120 / float64(busy)
		}
		f.play(3*time.Second, true)
		stated := f.now
		f.play(8*time.Second, true)
		led := f.now
		if rapid.Bool().Draw(t, "without a leader for a while") {
			f.play(6*time.Second, false)
			f.play(4*time.Second, true)
		}
		allowed := 1.5*float64(rate)*4 + 5
		if got := f.most(stated); float64(got) > allowed {
			t.Fatalf("in 4 s at a limit of %v over %d entries: got %d calls, want at most %.1f", rate, len(f.entries), got, allowed)
		}
		got := 0
		for _, at := range f.sent {
			if at.After(stated) && at.Before(led) {
				got++
			}
		}
		if least := 0.6*float64(rate)*led.Sub(stated).Seconds() - 2; float64(got) < least {
			t.Fatalf("in %v at a limit of %v with %d of %d entries busy: got %d calls, want at least %.1f",
				led.Sub(stated), rate, busy, len(f.entries), got, least)
		}
	})
}

// Guards against an entry with work that never has its turn.
func TestEveryEntryHasItsTurn(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 1)), 12, 4)
	for _, e := range f.entries {
		e.work = 30
	}
	f.play(2*time.Second, true)
	granted := make(map[units.Instance]int)
	for range 30 * 20 {
		for _, e := range f.entries {
			granted[e.name] += f.divider.Grant(f.now, e.name, life, 5)
		}
		f.now = f.now.Add(50 * time.Millisecond)
	}
	for _, e := range f.entries {
		if granted[e.name] < 5 {
			t.Errorf("%s: got %d permits in 30 s, want at least half of its part of 10", e.name, granted[e.name])
		}
	}
}

// stated is an answer with a limit after so many milliseconds, free one without it.
func stated(rate units.CallRate, answered int) Observation {
	return Observation{
		Life:       life,
		Stated:     true,
		Rate:       rate,
		AnsweredAt: at(answered),
		SentAt:     at(answered - 100),
	}
}

func free(sent, answered int) Observation {
	return Observation{
		Life:       life,
		AnsweredAt: at(answered),
		SentAt:     at(sent),
	}
}

func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a limit that an older answer withdraws or restates, and against one that stays
// after its end, whichever entry's news comes first.
func TestLimitsByTheOrderOfAnswers(t *testing.T) {
	const none units.CallRate = -1
	cases := map[string]struct {
		heard []Observation
		want  units.CallRate
	}{
		"none":                                 {heard: []Observation{free(0, 100)}, want: none},
		"stated":                               {heard: []Observation{stated(2, 1000)}, want: 2},
		"moved":                                {heard: []Observation{stated(2, 1000), stated(5, 2000)}, want: 5},
		"an older one after it":                {heard: []Observation{stated(5, 2000), stated(2, 1000)}, want: 5},
		"an answer that was begun before":      {heard: []Observation{stated(2, 1000), free(500, 3000)}, want: 2},
		"an answer that was begun at about it": {heard: []Observation{stated(2, 1000), free(1300, 3000)}, want: 2},
		"withdrawn":                            {heard: []Observation{stated(2, 1000), free(2000, 2100)}, want: none},
		"withdrawn, and an older one after it": {heard: []Observation{stated(2, 1000), free(2000, 2100), stated(2, 900)}, want: none},
		"withdrawn and stated again":           {heard: []Observation{stated(2, 1000), free(2000, 2100), stated(3, 2500)}, want: 3},
		"stated later than it was withdrawn":   {heard: []Observation{stated(2, 1000), stated(2, 3000), free(2000, 2100)}, want: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := &Divider{}
			for _, o := range c.heard {
				d.Hear(at(4000), o)
			}
			got := none
			if limits, _ := d.Limits(); len(limits) > 0 {
				got = limits[0].Rate
			}
			if got != c.want {
				t.Errorf("limit: got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against an entry that forgets what it has heard for a leader that has not, and one
// that keeps what the leader knows to be over.
func TestEntryGoesByTheLeaderWhereItKnowsMore(t *testing.T) {
	limit := []Limit{{Life: life, Rate: 2, StatedAt: at(1000)}}
	cases := map[string]struct {
		heard   []Observation
		told    Number
		limits  []Limit
		settled bool
		want    bool
	}{
		"nobody knows one":               {settled: true},
		"told by the leader":             {limits: limit, settled: true, want: true},
		"heard, and not told yet":        {heard: []Observation{stated(2, 1000)}, settled: true, want: true},
		"heard and told, and over":       {heard: []Observation{stated(2, 1000)}, told: 1, settled: true},
		"told to a leader that is new":   {heard: []Observation{stated(2, 1000)}, told: 1, want: true},
		"withdrawn, and not told yet":    {heard: []Observation{stated(2, 1000), free(2000, 2100)}, told: 1, limits: limit, settled: true},
		"withdrawn, the leader knows it": {heard: []Observation{stated(2, 1000), free(2000, 2100)}, told: 2, settled: true},
		"withdrawn, and stated to others": {
			heard: []Observation{stated(2, 1000), free(2000, 2100)}, told: 2, settled: true,
			limits: []Limit{{Life: life, Rate: 2, StatedAt: at(3000)}}, want: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := &Gate{}
			for _, o := range c.heard {
				g.Hear(o)
			}
			g.Led(at(5000), 3)
			g.Follow(at(5000), c.told, c.limits, c.settled)
			if got := g.Closed(at(5000))[life]; got != c.want {
				t.Errorf("closed: got %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against permits that are used later than they hold, as by a process that was suspended,
// or twice.
func TestPermits(t *testing.T) {
	cases := map[string]struct {
		permits int
		taken   int
		after   time.Duration
		want    bool
	}{
		"none":             {},
		"one":              {permits: 1, want: true},
		"one that is used": {permits: 1, taken: 1},
		"two, one is used": {permits: 2, taken: 1, want: true},
		"one that is old":  {permits: 1, after: permitTime},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := &Gate{}
			g.Hear(stated(2, 0))
			now := at(100)
			g.Led(now, 3)
			g.Permit(now, life, c.permits)
			for range c.taken {
				if !g.Take(now, life) {
					t.Fatal("a permit that was given: got it refused, want it taken")
				}
			}
			now = now.Add(c.after)
			if got := !g.Closed(now)[life]; got != c.want {
				t.Errorf("open: got %t, want %t", got, c.want)
			}
			if got := g.Take(now, life); got != c.want {
				t.Errorf("taken: got %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against an upstream that lowers its limit and gets the calls of the higher one for as
// long as their permits hold, whoever tells of it.
func TestLowerLimitTakesPermitsBack(t *testing.T) {
	lower := map[string]func(g *Gate, now time.Time){
		"by an answer":  func(g *Gate, now time.Time) { g.Hear(Observation{Life: life, Stated: true, Rate: 1, AnsweredAt: now}) },
		"by the leader": func(g *Gate, now time.Time) { g.Follow(now, 9, []Limit{{Life: life, Rate: 1, StatedAt: now}}, true) },
	}
	for name, tell := range lower {
		t.Run(name, func(t *testing.T) {
			g := &Gate{}
			now := at(100)
			g.Hear(stated(10, 0))
			g.Led(now, 3)
			g.Permit(now, life, 8)
			g.Permit(now, life, 12)
			tell(g, now.Add(time.Millisecond))
			taken := 0
			for g.Take(now.Add(2*time.Millisecond), life) {
				taken++
			}
			if want := 1; taken != want {
				t.Errorf("calls by 20 permits at a limit of 10 that is 1 now: got %d, want %d", taken, want)
			}
		})
	}
}

// Guards against limits of upstreams that have ended, which nothing withdraws: the next life
// knows nothing of them.
func TestLimitsEndWithTheirUpstream(t *testing.T) {
	d := &Divider{}
	d.Hear(at(0), stated(2, 0))
	_, before := d.Limits()
	d.Keep(at(100), func(units.Life) bool { return false })
	limits, after := d.Limits()
	if len(limits) > 0 || after == before {
		t.Errorf("limits: got %v at version %d after %d, want none at another version", limits, after, before)
	}
	if got := d.Grant(at(200), "e", life, 3); got != 0 {
		t.Errorf("permits: got %d, want none without a limit", got)
	}
}

// Guards against a fleet that orders nothing though its upstreams take less than there is, and
// one that orders for limits that nobody comes near.
func TestShortUpstreams(t *testing.T) {
	d := &Divider{}
	d.Hear(at(0), stated(100, 0))
	if d.Grant(at(1000), "e", life, 3) != 3 || d.Short(at(1000), life) {
		t.Error("far below its limit: got it short, want all permits")
	}
	if d.Grant(at(1000), "e", life, 60); !d.Short(at(1000), life) {
		t.Error("beyond its limit: got it not short, want it short")
	}
	if d.Short(at(1000).Add(shortFor), life) {
		t.Error("long after: got it short, want it not")
	}
}
