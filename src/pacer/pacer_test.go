package pacer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// startTime is the start time of the tests.
var startTime = time.Unix(1000, 0)

const life units.IncarnationID = 7

// testFleet simulates entries that poll a leader, an upstream that states a limit, and callers.
type testFleet struct {
	random    *rand.Rand
	now       time.Time
	allocator *Allocator
	entries   []*testEntry
	rate      units.CallRate
	// sentAt holds when calls were sent to the upstream.
	sentAt []time.Time
}

// testEntry is one entry.
type testEntry struct {
	name     units.Instance
	gate     *Gate
	nextPoll time.Time
	interval time.Duration
	reported ObservationNumber
	// callRate is how many calls per second the entry's callers send.
	callRate float64
}

const fleetStep = 5 * time.Millisecond

func newFleet(random *rand.Rand, entries int, rate units.CallRate) *testFleet {
	f := &testFleet{
		random:    random,
		now:       startTime,
		allocator: &Allocator{},
		rate:      rate,
	}
	for i := range entries {
		f.entries = append(f.entries, &testEntry{
			name:     units.Instance(fmt.Sprint("e", i)),
			gate:     &Gate{},
			nextPoll: startTime.Add(time.Duration(random.Int64N(int64(200 * time.Millisecond)))),
			interval: time.Duration(50+random.IntN(150)) * time.Millisecond,
		})
	}
	return f
}

// call sends a call from an entry if its gate allows it; the response states the limit.
func (f *testFleet) call(e *testEntry) {
	if f.rate >= 0 && e.gate.Closed(f.now)[life] {
		e.gate.RecordDemand(life)
		return
	}
	if !e.gate.Admit(f.now, life) {
		return
	}
	f.sentAt = append(f.sentAt, f.now)
	e.gate.RecordObservation(Observation{
		IncarnationID: life,
		HasLimit:      f.rate >= 0,
		Rate:          f.rate,
		AnsweredAt:    f.now.Add(2 * time.Millisecond),
		SentAt:        f.now,
	})
}

func (f *testFleet) poll(e *testEntry) {
	e.nextPoll = f.now.Add(e.interval)
	reported, last := e.gate.ObservationsAfter(e.reported)
	for _, o := range reported {
		f.allocator.RecordObservation(f.now, o)
	}
	wants := e.gate.TakeDemand(f.now)
	e.reported = last
	limits, _ := f.allocator.Limits()
	e.gate.RecordLeaderContact(f.now, len(f.entries))
	e.gate.ApplyLimits(f.now, last, limits, true)
	for l, calls := range wants {
		e.gate.AddPermits(f.now, l, f.allocator.Grant(f.now, e.name, l, calls))
	}
}

// advance advances the simulated time; led is whether the leader responds.
func (f *testFleet) advance(span time.Duration, led bool) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		for _, e := range f.entries {
			if led && !f.now.Before(e.nextPoll) {
				f.poll(e)
			}
			if f.random.Float64() < e.callRate*fleetStep.Seconds() {
				f.call(e)
			}
		}
	}
}

// maxCalls returns the largest number of calls in any span of 4 s that starts at or after the
// given time.
func (f *testFleet) maxCalls(after time.Time) int {
	maxCalls := 0
	for i, from := range f.sentAt {
		if from.Before(after) {
			continue
		}
		count := 0
		for _, at := range f.sentAt[i:] {
			if at.Sub(from) < 4*time.Second {
				count++
			}
		}
		maxCalls = max(maxCalls, count)
	}
	return maxCalls
}

// Guards against an upstream that gets more calls than its limit, or far fewer while there is
// work, for any number of entries and any distribution of the work, also while there is no
// leader.
func TestFleetStaysWithinALimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		rate := units.CallRate(rapid.SampledFrom([]float64{0, 0.3, 1, 1.1, 2.5, 8, 40}).Draw(t, "rate"))
		f := newFleet(random, rapid.IntRange(1, 60).Draw(t, "entries"), rate)
		busy := rapid.IntRange(1, len(f.entries)).Draw(t, "busy entries")
		for _, e := range f.entries[:busy] {
			e.callRate = 120 / float64(busy)
		}
		f.advance(3*time.Second, true)
		statedAt := f.now
		f.advance(8*time.Second, true)
		ledUntil := f.now
		if rapid.Bool().Draw(t, "without a leader for a while") {
			f.advance(6*time.Second, false)
			f.advance(4*time.Second, true)
		}
		allowed := 1.5*float64(rate)*4 + 5
		if got := f.maxCalls(statedAt); float64(got) > allowed {
			t.Fatalf("calls in 4 s at a limit of %v over %d entries: got %d, want at most %.1f", rate, len(f.entries), got, allowed)
		}
		got := 0
		for _, at := range f.sentAt {
			if at.After(statedAt) && at.Before(ledUntil) {
				got++
			}
		}
		if want := 0.6*float64(rate)*ledUntil.Sub(statedAt).Seconds() - 2; float64(got) < want {
			t.Fatalf("calls in %v at a limit of %v with %d of %d entries busy: got %d, want at least %.1f",
				ledUntil.Sub(statedAt), rate, busy, len(f.entries), got, want)
		}
	})
}

// Guards against an entry with work that is never granted permits.
func TestEveryEntryIsGrantedPermits(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 1)), 12, 4)
	for _, e := range f.entries {
		e.callRate = 30
	}
	f.advance(2*time.Second, true)
	granted := make(map[units.Instance]int)
	for range 30 * 20 {
		for _, e := range f.entries {
			granted[e.name] += f.allocator.Grant(f.now, e.name, life, 5)
		}
		f.now = f.now.Add(50 * time.Millisecond)
	}
	for _, e := range f.entries {
		if granted[e.name] < 5 {
			t.Errorf("%s: got %d permits in 30 s, want at least 5, half of its equal part of 10", e.name, granted[e.name])
		}
	}
}

// stated returns an observation with a limit, answered after the given number of milliseconds;
// unlimited returns one without a limit.
func stated(rate units.CallRate, answered int) Observation {
	return Observation{
		IncarnationID: life,
		HasLimit:      true,
		Rate:          rate,
		AnsweredAt:    at(answered),
		SentAt:        at(answered - 100),
	}
}

func unlimited(sent, answered int) Observation {
	return Observation{
		IncarnationID: life,
		AnsweredAt:    at(answered),
		SentAt:        at(sent),
	}
}

func at(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a limit that an older response withdraws or restates, and against one that
// remains after its withdrawal, whichever entry reports first.
func TestLimitsFollowTheOrderOfResponses(t *testing.T) {
	const none units.CallRate = -1
	cases := map[string]struct {
		observations []Observation
		want         units.CallRate
	}{
		"none":                              {observations: []Observation{unlimited(0, 100)}, want: none},
		"stated":                            {observations: []Observation{stated(2, 1000)}, want: 2},
		"changed":                           {observations: []Observation{stated(2, 1000), stated(5, 2000)}, want: 5},
		"older limit arrives later":         {observations: []Observation{stated(5, 2000), stated(2, 1000)}, want: 5},
		"response to a call sent before it": {observations: []Observation{stated(2, 1000), unlimited(500, 3000)}, want: 2},
		"response to a call sent within the margin": {observations: []Observation{stated(2, 1000), unlimited(1300, 3000)}, want: 2},
		"withdrawn":                            {observations: []Observation{stated(2, 1000), unlimited(2000, 2100)}, want: none},
		"withdrawn, older limit arrives later": {observations: []Observation{stated(2, 1000), unlimited(2000, 2100), stated(2, 900)}, want: none},
		"withdrawn and stated again":           {observations: []Observation{stated(2, 1000), unlimited(2000, 2100), stated(3, 2500)}, want: 3},
		"stated after the withdrawal":          {observations: []Observation{stated(2, 1000), stated(2, 3000), unlimited(2000, 2100)}, want: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := &Allocator{}
			for _, o := range c.observations {
				d.RecordObservation(at(4000), o)
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

// Guards against an entry that drops its own observation because the leader does not have it yet,
// and one that keeps a limit that the leader knows to be withdrawn.
func TestEntryAppliesTheLeadersNewerLimits(t *testing.T) {
	limit := []Limit{{IncarnationID: life, Rate: 2, StatedAt: at(1000)}}
	cases := map[string]struct {
		observations []Observation
		acknowledged ObservationNumber
		limits       []Limit
		settled      bool
		want         bool
	}{
		"no limit known":                           {settled: true},
		"known from the leader":                    {limits: limit, settled: true, want: true},
		"observed, not reported yet":               {observations: []Observation{stated(2, 1000)}, settled: true, want: true},
		"observed and reported, then withdrawn":    {observations: []Observation{stated(2, 1000)}, acknowledged: 1, settled: true},
		"reported to a leader that is not settled": {observations: []Observation{stated(2, 1000)}, acknowledged: 1, want: true},
		"withdrawal not reported yet":              {observations: []Observation{stated(2, 1000), unlimited(2000, 2100)}, acknowledged: 1, limits: limit, settled: true},
		"withdrawal reported":                      {observations: []Observation{stated(2, 1000), unlimited(2000, 2100)}, acknowledged: 2, settled: true},
		"withdrawn, then stated to other entries": {
			observations: []Observation{stated(2, 1000), unlimited(2000, 2100)}, acknowledged: 2, settled: true,
			limits: []Limit{{IncarnationID: life, Rate: 2, StatedAt: at(3000)}}, want: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := &Gate{}
			for _, o := range c.observations {
				g.RecordObservation(o)
			}
			g.RecordLeaderContact(at(5000), 3)
			g.ApplyLimits(at(5000), c.acknowledged, c.limits, c.settled)
			if got := g.Closed(at(5000))[life]; got != c.want {
				t.Errorf("closed: got %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against permits that are used after their expiry, as by a process that was suspended, or
// twice.
func TestPermits(t *testing.T) {
	cases := map[string]struct {
		permits int
		taken   int
		after   time.Duration
		want    bool
	}{
		"none":          {},
		"one":           {permits: 1, want: true},
		"one, used":     {permits: 1, taken: 1},
		"two, one used": {permits: 2, taken: 1, want: true},
		"one, expired":  {permits: 1, after: permitTTL},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := &Gate{}
			g.RecordObservation(stated(2, 0))
			now := at(100)
			g.RecordLeaderContact(now, 3)
			g.AddPermits(now, life, c.permits)
			for range c.taken {
				if !g.Admit(now, life) {
					t.Fatal("call with a valid permit: got refused, want allowed")
				}
			}
			now = now.Add(c.after)
			if got := !g.Closed(now)[life]; got != c.want {
				t.Errorf("open: got %t, want %t", got, c.want)
			}
			if got := g.Admit(now, life); got != c.want {
				t.Errorf("taken: got %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against entries that start again while there is no leader, and each use a limit as if they were alone.
func TestEntryWithoutAnyLeaderUsesNoLimit(t *testing.T) {
	g := &Gate{}
	now := time.Unix(1000, 0)
	g.RecordObservation(Observation{
		IncarnationID: 1,
		HasLimit:      true,
		Rate:          10,
		AnsweredAt:    now,
		SentAt:        now,
	})
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		if g.Admit(now, 1) {
			t.Fatal("call of an entry that no leader has counted: got admitted, want denied")
		}
	}
	g.RecordLeaderContact(now, 2)
	now = now.Add(leaderTimeout + time.Second)
	if !g.Admit(now, 1) {
		t.Error("call of an entry that has lost its leader: got denied, want admitted")
	}
}

// Guards against an upstream that lowers its limit but gets the calls of the higher limit until
// the permits expire, whether the entry receives the lower limit in a response or from the
// leader.
func TestLowerLimitRevokesPermits(t *testing.T) {
	lower := map[string]func(g *Gate, now time.Time){
		"by an answer": func(g *Gate, now time.Time) {
			g.RecordObservation(Observation{IncarnationID: life, HasLimit: true, Rate: 1, AnsweredAt: now})
		},
		"by the leader": func(g *Gate, now time.Time) {
			g.ApplyLimits(now, 9, []Limit{{IncarnationID: life, Rate: 1, StatedAt: now}}, true)
		},
	}
	for name, report := range lower {
		t.Run(name, func(t *testing.T) {
			g := &Gate{}
			now := at(100)
			g.RecordObservation(stated(10, 0))
			g.RecordLeaderContact(now, 3)
			g.AddPermits(now, life, 8)
			g.AddPermits(now, life, 12)
			report(g, now.Add(time.Millisecond))
			taken := 0
			for g.Admit(now.Add(2*time.Millisecond), life) {
				taken++
			}
			if want := 1; taken != want {
				t.Errorf("calls with 20 permits after the limit fell from 10 to 1: got %d, want %d", taken, want)
			}
		})
	}
}

// Guards against limits of upstreams that no longer exist and that nothing would withdraw, since
// the upstream's next incarnation does not know of them.
func TestLimitsEndWithTheirUpstream(t *testing.T) {
	d := &Allocator{}
	d.RecordObservation(at(0), stated(2, 0))
	_, before := d.Limits()
	d.RetainLimits(at(100), func(units.IncarnationID) bool { return false })
	limits, after := d.Limits()
	if len(limits) > 0 || after == before {
		t.Errorf("limits: got %v at version %d after version %d, want none at another version", limits, after, before)
	}
	if got := d.Grant(at(200), "e", life, 3); got != 0 {
		t.Errorf("permits: got %d, want 0 without a limit", got)
	}
}

// Guards against a fleet that orders no instances although its upstreams take fewer calls than
// there are, and one that orders instances because of limits that its load does not approach.
func TestShortUpstreams(t *testing.T) {
	d := &Allocator{}
	d.RecordObservation(at(0), stated(100, 0))
	if d.Grant(at(1000), "e", life, 3) != 3 || d.HasShortage(at(1000), life) {
		t.Error("demand far below the limit: got a shortage or too few permits, want all permits and no shortage")
	}
	if d.Grant(at(1000), "e", life, 60); !d.HasShortage(at(1000), life) {
		t.Error("demand beyond the limit: got no shortage, want one")
	}
	if d.HasShortage(at(1000).Add(shortageTTL), life) {
		t.Error("shortageTTL after the last denied call: got a shortage, want none")
	}
}

// TestLimitsOfAnySizeAreGranted guards against a stated limit that ends the leader, as its calls are no int.
func TestLimitsOfAnySizeAreGranted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, 3.1e19, 1e20, math.MaxFloat64, math.Inf(1), math.NaN()}))
		al := &Allocator{}
		now := startTime
		for range rapid.IntRange(1, 8).Draw(t, "statements") {
			al.RecordObservation(now, Observation{
				IncarnationID: life,
				HasLimit:      true,
				Rate:          units.CallRate(limits.Draw(t, "limit")),
				AnsweredAt:    now,
				SentAt:        now,
			})
			now = now.Add(time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "passed")))
			want := rapid.IntRange(1, math.MaxInt32).Draw(t, "calls")
			entry := units.Instance(rapid.SampledFrom([]string{"e0", "e1"}).Draw(t, "entry"))
			if got := al.Grant(now, entry, life, want); got < 0 || got > want {
				t.Fatalf("granted: got %d calls, want 0 to %d", got, want)
			}
		}
	})
}

// TestHugeLimitLimitsNothing guards against an upstream that is denied calls as its limit is too large.
func TestHugeLimitLimitsNothing(t *testing.T) {
	for _, limit := range []units.CallRate{1e7, 3.1e19, 1e20, math.MaxFloat64} {
		t.Run(fmt.Sprint(float64(limit)), func(t *testing.T) {
			al := &Allocator{}
			al.RecordObservation(startTime, Observation{
				IncarnationID: life,
				HasLimit:      true,
				Rate:          limit,
				AnsweredAt:    startTime,
				SentAt:        startTime,
			})
			const want = 1000
			if got := al.Grant(startTime.Add(maxAccrualTime), "e0", life, want); got != want {
				t.Errorf("granted: got %d calls, want %d", got, want)
			}
		})
	}
}
