package scaler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

var startTime = time.Unix(1000, 0)

// initialPerDataCentre is how many on-demand upstreams each data centre begins with.
const initialPerDataCentre = 5

const stepInterval = 250 * time.Millisecond

func service() *matcher.Service {
	return &matcher.Service{
		Name:   "s",
		Engine: &matcher.Engine{Slots: 32},
		Scaling: &matcher.Scaling{
			Min:              1,
			Max:              10,
			BootTime:         4 * time.Second,
			ReclaimablePrice: 0.2,
			Prices:           map[units.DataCentre]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
		},
	}
}

// fakePlatform carries out orders after the time that upstreams take to start.
type fakePlatform struct {
	ready   PoolSizes
	pending []pending
	service *matcher.Service
	soldOut bool
	// soldOutIn are the data centres that have no reclaimable upstreams to offer.
	soldOutIn map[units.DataCentre]bool
}

type pending struct {
	Order
	at time.Time
}

func newFakePlatform(service *matcher.Service) *fakePlatform {
	p := &fakePlatform{ready: make(PoolSizes), service: service}
	for centre := range service.Scaling.Prices {
		p.ready[Pool{DataCentre: centre}] = initialPerDataCentre
	}
	return p
}

// run simulates a load for some time and returns the smallest number of upstreams that took
// calls.
func (p *fakePlatform) run(s *Scaler, now time.Time, length time.Duration, load func(upstreams int) Load) (end time.Time, fewest int) {
	fewest = math.MaxInt
	for end = now.Add(length); now.Before(end); now = now.Add(stepInterval) {
		for _, c := range p.pending {
			if !now.Before(c.at) {
				p.ready[c.Pool] = c.Count
			}
		}
		fewest = min(fewest, p.total())
		for _, order := range s.Step(now, p.service, load(p.total()), p.ready) {
			if order.Reclaimable && (p.soldOut || p.soldOutIn[order.DataCentre]) {
				s.OnOrderRefused(now, order.Pool)
				continue
			}
			at := now.Add(p.service.Scaling.BootTime)
			if order.Count < p.ready[order.Pool] {
				at = now.Add(stepInterval)
			}
			p.pending = append(p.pending, pending{Order: order, at: at})
		}
	}
	return end, fewest
}

func (p *fakePlatform) total() int {
	total := 0
	for _, count := range p.ready {
		total += count
	}
	return total
}

func (p *fakePlatform) onDemand() int {
	total := 0
	for pool, count := range p.ready {
		if !pool.Reclaimable {
			total += count
		}
	}
	return total
}

// evenLoad is the work of three upstreams without queueing, and seems to be more where there
// are fewer than eight.
func evenLoad(upstreams int) Load {
	queue := 1.0
	if upstreams < 8 {
		queue = 8
	}
	return Load{Demand: 300_000, SecondsPerUnit: 1e-5 * queue, Concurrency: 60 * queue}
}

// The system starts with the upstreams that its operators chose, all on demand, some seconds
// before the first calls. By then, reclaimable ones must be able to replace them, without a
// smaller total for the first burst.
func TestInitialUpstreamsAreReplacedBeforeTheFirstCalls(t *testing.T) {
	p := newFakePlatform(service())
	s := &Scaler{}
	initial := p.total()
	now, fewest := p.run(s, startTime, 9*time.Second, func(int) Load { return Load{} })
	if fewest < initial {
		t.Errorf("upstreams before the first calls: got as few as %d, want %d", fewest, initial)
	}
	if got, limit := p.onDemand(), 8; got > limit {
		t.Errorf("on-demand upstreams when calls come: got %d, want at most %d", got, limit)
	}
	_, fewest = p.run(s, now, 3*time.Second, evenLoad)
	if fewest < initial {
		t.Errorf("upstreams for the first seconds of calls: got as few as %d, want %d", fewest, initial)
	}
}

// The initial upstreams announce themselves one after the other while the leader is already
// planning. Their replacements must be ordered at once, and in the end for all of them.
func TestReplacementsAreOrderedWhileUpstreamsAnnounceThemselves(t *testing.T) {
	svc := service()
	s := &Scaler{}
	ready := make(PoolSizes)
	ordered := 0
	now := startTime
	for range 20 {
		for _, centre := range []units.DataCentre{"a", "b", "c", "d"} {
			if ready[Pool{DataCentre: centre}] < initialPerDataCentre {
				ready[Pool{DataCentre: centre}]++
				break
			}
		}
		for _, order := range s.Step(now, svc, Load{}, ready) {
			if !order.Reclaimable {
				t.Fatalf("ordered before any replacement has come: got %+v, want only reclaimable ones", order)
			}
			ordered++
		}
		if ordered == 0 {
			t.Fatal("no orders once the first upstream has announced itself, want some")
		}
		now = now.Add(100 * time.Millisecond)
	}
	if got, want := s.requirement(now, svc).minReady(), 4*initialPerDataCentre; got != want {
		t.Errorf("needed once all have announced themselves: got %d, want %d", got, want)
	}
}

// sixDataCentres is a service in six data centres.
func sixDataCentres() *matcher.Service {
	svc := service()
	svc.Scaling.Max = 40
	for _, centre := range []units.DataCentre{"e", "f"} {
		svc.Scaling.Prices[centre] = 1
	}
	return svc
}

// The initial upstreams are on demand, and there are no calls yet. Once their replacements take
// calls, releasing them slowly would pay for both.
func TestInitialUpstreamsAreReleasedOnceReplaced(t *testing.T) {
	p := newFakePlatform(sixDataCentres())
	initial := p.total()
	_, fewest := p.run(&Scaler{}, startTime, 5500*time.Millisecond, func(int) Load { return Load{} })
	if fewest < initial {
		t.Errorf("upstreams before the first calls: got as few as %d, want %d", fewest, initial)
	}
	if got := p.onDemand(); got > 0 {
		t.Errorf("on-demand upstreams 1.5 s after their replacements: got %d, want none", got)
	}
}

// Half of the data centres are reclaimed one after the other and have no more to offer. What
// they lack must run in the others, at a fraction of the on-demand price, so that one more loss
// still leaves what the load needs.
func TestOtherDataCentresReplaceSoldOutOnes(t *testing.T) {
	p := newFakePlatform(sixDataCentres())
	s := &Scaler{}
	now, _ := p.run(s, startTime, time.Minute, evenLoad)
	needed := s.requiredByLoad(p.service)
	p.soldOutIn = make(map[units.DataCentre]bool)
	for _, centre := range []units.DataCentre{"a", "b", "c"} {
		p.soldOutIn[centre] = true
		p.pending = nil
		p.ready[Pool{DataCentre: centre, Reclaimable: true}] = 0
		now, _ = p.run(s, now, 10*time.Second, evenLoad)
		reclaimable, largest := 0, 0
		for pool, count := range p.ready {
			if pool.Reclaimable {
				reclaimable += count
				largest = max(largest, count)
			}
		}
		if got := reclaimable - largest; got < needed {
			t.Errorf("reclaimable upstreams without %s, less one more data centre: got %d, want at least %d", centre, got, needed)
		}
		if got, limit := p.onDemand(), len(p.soldOutIn); got > limit {
			t.Errorf("on-demand upstreams without %s: got %d, want at most the minimum of each sold-out data centre, %d", centre, got, limit)
		}
	}
}

// A data centre's reclaimable upstreams are reclaimed, and none are available there for half a
// minute. The one on-demand upstream that must be there meanwhile used to be released at each
// retry and ordered again at its refusal; its calls ended each time.
func TestMinimumOfASoldOutDataCentreStays(t *testing.T) {
	light := func(int) Load { return Load{Demand: 10_000, SecondsPerUnit: 1e-5, Concurrency: 2} }
	p := newFakePlatform(service())
	s := &Scaler{}
	now, _ := p.run(s, startTime, time.Minute, light)
	p.soldOut = true
	p.pending = nil
	p.ready[Pool{DataCentre: "b", Reclaimable: true}] = 0
	now, _ = p.run(s, now, 6*time.Second, light)
	onDemand := Pool{DataCentre: "b"}
	if got, want := p.ready[onDemand], 1; got != want {
		t.Fatalf("on-demand upstreams in the sold-out data centre: got %d, want %d", got, want)
	}
	for end := now.Add(30 * time.Second); now.Before(end); {
		now, _ = p.run(s, now, stepInterval, light)
		if got, want := p.ready[onDemand], 1; got != want {
			t.Fatalf("on-demand upstreams after %v: got %d, want %d", now.Sub(end.Add(-30*time.Second)), got, want)
		}
	}
}

// A leader takes over while calls run on reclaimable upstreams. Their number is not the
// operators' choice; ordered as such, it would grow with each leader.
func TestNewLeaderKeepsTheFleet(t *testing.T) {
	p := newFakePlatform(service())
	now, _ := p.run(&Scaler{}, startTime, time.Minute, evenLoad)
	before := p.total()
	largest := 0
	_, fewest := p.run(&Scaler{}, now, 20*time.Second, func(upstreams int) Load {
		largest = max(largest, upstreams)
		return evenLoad(upstreams)
	})
	if largest > before+2 {
		t.Errorf("upstreams after a change of leaders: got %d, want no more than the %d before", largest, before)
	}
	if fewest < 8 {
		t.Errorf("upstreams after a change of leaders: got as few as %d, want 8", fewest)
	}
}

// Upstreams that are not needed cost the on-demand price; callers must not notice that they go.
// All data centres keep their minimum.
func TestSteadyLoadIsServedAtLowerCost(t *testing.T) {
	p := newFakePlatform(service())
	s := &Scaler{}
	now, fewest := p.run(s, startTime, time.Minute, evenLoad)
	if fewest < 8 {
		t.Errorf("upstreams that took calls: got as few as %d, want 8", fewest)
	}
	if got, limit := p.onDemand(), 6; got > limit {
		t.Errorf("on-demand upstreams: got %d, want at most %d", got, limit)
	}
	for centre := range p.service.Scaling.Prices {
		if p.ready[Pool{DataCentre: centre}]+p.ready[Pool{DataCentre: centre, Reclaimable: true}] < 1 {
			t.Errorf("upstreams in %s: got none, want the minimum", centre)
		}
	}
	_ = now
}

// Two data centres of reclaimable upstreams are reclaimed within seconds, and for a while none
// are available. What is left must still be what the load needs, and what is missing beyond
// that must be ordered on demand.
func TestReclaimOfTwoDataCentresLeavesEnough(t *testing.T) {
	p := newFakePlatform(service())
	s := &Scaler{}
	now, _ := p.run(s, startTime, time.Minute, evenLoad)
	p.soldOut = true
	p.pending = nil
	p.ready[Pool{DataCentre: "a", Reclaimable: true}] = 0
	p.ready[Pool{DataCentre: "b", Reclaimable: true}] = 0
	needed := s.requiredByLoad(p.service)
	_, fewest := p.run(s, now, 13*time.Second, evenLoad)
	if fewest < needed {
		t.Errorf("upstreams that took calls: got as few as %d, want %d", fewest, needed)
	}
}

// One data centre after the other is reclaimed while none are available, until no reclaimable
// upstream is left. Each must be replaced on demand within one start time of its loss, so that
// callers never have fewer than the load needs for longer.
func TestSuccessiveReclaimsAreReplacedOnDemand(t *testing.T) {
	p := newFakePlatform(service())
	s := &Scaler{}
	now, _ := p.run(s, startTime, time.Minute, evenLoad)
	p.soldOut = true
	p.pending = nil
	for _, centre := range []units.DataCentre{"a", "b", "c", "d"} {
		p.ready[Pool{DataCentre: centre, Reclaimable: true}] = 0
		now, _ = p.run(s, now, p.service.Scaling.BootTime+time.Second, evenLoad)
		if got, want := p.total(), s.requiredByLoad(p.service); got < want {
			t.Errorf("upstreams one start time after the loss of %s: got %d, want the %d that the load needs", centre, got, want)
		}
	}
}

// Data centres of reclaimable upstreams are reclaimed, long after they were ordered or while
// some of them are being released. What is missing must be ordered with the next step, since
// callers wait for each second of a start; an order for fewer must not be counted as upstreams
// that are about to come.
func TestReclaimIsReplacedAtOnce(t *testing.T) {
	doubleLoad := func(upstreams int) Load {
		load := evenLoad(upstreams)
		load.Demand *= 2
		return load
	}
	cases := map[string]func(p *fakePlatform, s *Scaler) time.Time{
		"long after the last order": func(p *fakePlatform, s *Scaler) time.Time {
			now, _ := p.run(s, startTime, time.Minute, evenLoad)
			return now
		},
		"while the load falls": func(p *fakePlatform, s *Scaler) time.Time {
			now, _ := p.run(s, startTime, time.Minute, doubleLoad)
			now, _ = p.run(s, now, 12*time.Second, evenLoad)
			return now
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			p := newFakePlatform(service())
			s := &Scaler{}
			now := prepare(p, s)
			for centre := range p.service.Scaling.Prices {
				if centre != "d" {
					p.ready[Pool{DataCentre: centre, Reclaimable: true}] = 0
				}
			}
			onDemand := p.onDemand()
			ordered := 0
			for _, order := range s.Step(now, p.service, evenLoad(p.total()), p.ready) {
				if !order.Reclaimable {
					ordered += order.Count - p.ready[order.Pool]
				}
			}
			if missing := s.requiredByLoad(p.service) - p.ready[Pool{DataCentre: "d", Reclaimable: true}] - onDemand; ordered < missing {
				t.Errorf("ordered on demand: got %d, want the %d that are missing", ordered, missing)
			}
		})
	}
}

// The load needs nearly all that a data centre may have, and half of them are reclaimed while
// no reclaimable ones are available. On-demand upstreams must replace them with the first
// refusal; if that capacity is kept for reclaimable ones, it stays empty until some are
// available again, and callers wait ten times as long.
func TestSoldOutCapacityIsOrderedOnDemand(t *testing.T) {
	p := newFakePlatform(service())
	s := &Scaler{}
	heavy := func(int) Load { return Load{Demand: 2_000_000, SecondsPerUnit: 1e-5, Concurrency: 200} }
	now, _ := p.run(s, startTime, time.Minute, heavy)
	needed := s.requiredByLoad(p.service)
	p.soldOut = true
	p.pending = nil
	for _, centre := range []units.DataCentre{"a", "b"} {
		p.ready[Pool{DataCentre: centre, Reclaimable: true}] = 0
	}
	now, _ = p.run(s, now, p.service.Scaling.BootTime+time.Second, heavy)
	if got := p.total(); got < needed {
		t.Errorf("upstreams one start time after the reclaim: got %d, want the %d that the load needs", got, needed)
	}
	_, fewest := p.run(s, now, 13*time.Second, heavy)
	if fewest < needed {
		t.Errorf("upstreams while none are available: got as few as %d, want %d", fewest, needed)
	}
}

// Prompts of very different lengths arrive at random at a small and at a large fleet of the
// planned size, each at the least busy of a few upstreams. Few of them may wait long behind
// others, and the large fleet must not be idle for most of its time.
func TestPlanIsEnoughAtAnySize(t *testing.T) {
	cases := map[string]struct {
		work float64
		// limit is how many times the work the plan may hold.
		limit float64
	}{
		"3 upstreams busy":  {work: 3, limit: 3.5},
		"8 upstreams busy":  {work: 8, limit: 2.5},
		"20 upstreams busy": {work: 20, limit: 2},
		"80 upstreams busy": {work: 80, limit: 1.5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &Scaler{load: Load{Demand: c.work * 1e5, SecondsPerUnit: 1e-5}}
			planned := s.requiredByLoad(service())
			if limit := int(math.Ceil(c.limit * c.work)); planned > limit {
				t.Errorf("planned: got %d upstreams, want at most %d", planned, limit)
			}
			if got, limit := lateFraction(planned, c.work), 0.03; got > limit {
				t.Errorf("prompts that wait for 0.3 s or more: got %.3f of them, want at most %.3f", got, limit)
			}
		})
	}
}

// lateFraction simulates prompts at a number of upstreams, of which they keep work busy, and
// returns the fraction that waits for 0.3 s or more.
func lateFraction(upstreams int, work float64) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	const mean, spread, calls = 0.2, 1.2, 40_000
	freeAt := make([]float64, upstreams)
	now, late := 0.0, 0
	for range calls {
		now += random.ExpFloat64() * mean / work
		best := random.IntN(upstreams)
		for range 5 {
			if other := random.IntN(upstreams); freeAt[other] < freeAt[best] {
				best = other
			}
		}
		wait := max(0, freeAt[best]-now)
		if wait >= 0.3 {
			late++
		}
		prefill := mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
		freeAt[best] = now + wait + prefill
	}
	return float64(late) / calls
}

// Nearly all upstreams of a large fleet have been ordered on demand while no reclaimable ones
// were available. Once some are, they must replace them within seconds, though each data centre
// is full and the load needs every upstream.
func TestOnDemandIsReplacedOnceReclaimableIsAvailable(t *testing.T) {
	svc := service()
	svc.Scaling.Max = 60
	p := newFakePlatform(svc)
	s := &Scaler{}
	heavy := func(int) Load { return Load{Demand: 6_000_000, SecondsPerUnit: 1e-5, Concurrency: 200} }
	now, _ := p.run(s, startTime, time.Minute, heavy)
	p.soldOut = true
	p.pending = nil
	for centre := range svc.Scaling.Prices {
		p.ready[Pool{DataCentre: centre, Reclaimable: true}] = 0
	}
	now, _ = p.run(s, now, 20*time.Second, heavy)
	needed := s.requiredByLoad(svc)
	if got := p.onDemand(); got < needed {
		t.Fatalf("on-demand upstreams while no reclaimable ones are available: got %d, want the %d that the load needs", got, needed)
	}
	p.soldOut = false
	_, fewest := p.run(s, now, 13*time.Second, heavy)
	if got, limit := p.onDemand(), needed/4; got > limit {
		t.Errorf("on-demand upstreams 13 s after reclaimable ones are available again: got %d, want at most %d", got, limit)
	}
	if fewest < needed {
		t.Errorf("upstreams in the meantime: got as few as %d, want %d", fewest, needed)
	}
}

// Before the first calls, and after a new leader has taken over, the load is unknown. An
// upstream released then would be missing a moment later.
func TestNothingIsReleasedBeforeTheLoadIsKnown(t *testing.T) {
	p := newFakePlatform(service())
	s := &Scaler{}
	_, fewest := p.run(s, startTime, 20*time.Second, func(int) Load { return Load{} })
	if got, want := fewest, 20; got < want {
		t.Errorf("upstreams without a load: got %d, want all %d", got, want)
	}
}

// The first calls have begun and none has been in flight for long. The slots that calls need
// must be estimated from later ones, or the plan has too few slots where they are the limit.
func TestSlotsAreEstimatedFromLongRunningCalls(t *testing.T) {
	s := &Scaler{}
	svc := service()
	now := startTime
	for passed := time.Duration(0); passed < 20*time.Second; passed += stepInterval {
		running := min(1, passed.Seconds()/3) * 160
		s.Step(now.Add(passed), svc, Load{Demand: 100_000, SecondsPerUnit: 1e-6, Concurrency: running}, PoolSizes{})
	}
	// Half of an upstream's 32 slots may be in use.
	if got, want := s.requiredByLoad(svc), 10; got < want {
		t.Errorf("needed for 160 calls in flight: got %d, want %d", got, want)
	}
}

// Upstreams crash until too few are left and every call queues. The queues must not be taken
// for load: callers need a few more upstreams, not the maximum.
func TestQueuesAreNotTakenForLoad(t *testing.T) {
	p := newFakePlatform(service())
	s := &Scaler{}
	now, _ := p.run(s, startTime, 30*time.Second, evenLoad)
	before := s.requiredByLoad(p.service)
	_, _ = p.run(s, now, 10*time.Second, func(int) Load {
		return Load{Demand: 300_000, SecondsPerUnit: 5e-4, Concurrency: 900}
	})
	if got, limit := s.requiredByLoad(p.service), before*2; got > limit {
		t.Errorf("needed while all queue: got %d, want at most %d", got, limit)
	}
}

// Whatever the load is and the platform refuses, each data centre's orders stay within its
// bounds, reclaimable and on-demand upstreams together.
func TestOrdersStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		svc := service()
		svc.Scaling.Max = rapid.IntRange(1, 10).Draw(t, "most")
		s := &Scaler{}
		ready := make(PoolSizes)
		ordered := make(PoolSizes)
		now := startTime
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "passes")) * time.Millisecond)
			load := Load{
				Demand:         rapid.Float64Range(0, 1e6).Draw(t, "asked"),
				SecondsPerUnit: rapid.Float64Range(0, 1e-4).Draw(t, "each"),
				Concurrency:    rapid.Float64Range(0, 1000).Draw(t, "running"),
			}
			for _, order := range s.Step(now, svc, load, ready) {
				if rapid.IntRange(0, 4).Draw(t, "refused") == 0 {
					s.OnOrderRefused(now, order.Pool)
					continue
				}
				ordered[order.Pool] = order.Count
				ready[order.Pool] = order.Count
				if order.Count < 0 || order.Count > svc.Scaling.Max {
					t.Fatalf("order: got %d of %+v, want 0 to %d", order.Count, order.Pool, svc.Scaling.Max)
				}
			}
		}
		plan := s.plan(now, svc, s.requirement(now, svc), ready)
		for centre := range svc.Scaling.Prices {
			both := plan[Pool{DataCentre: centre}] + plan[Pool{DataCentre: centre, Reclaimable: true}]
			if both < svc.Scaling.Min || both > svc.Scaling.Max {
				t.Fatalf("plan for %s: got %d, want %d to %d", centre, both, svc.Scaling.Min, svc.Scaling.Max)
			}
		}
	})
}
