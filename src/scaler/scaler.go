package scaler

import (
	"math"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// safety is how many upstreams there are beyond those that reading alone keeps
	// busy, in square roots of that number: the clumps of a larger load are a smaller
	// part of it. Prompts differ a hundredfold in length, and the queue behind a long
	// one outlasts the objective of the short ones.
	safety = 3.5
	// full is the part of an upstream's places that may be taken.
	full = 0.5
	// spare is added to what the places need: a clump of calls at one upstream is more
	// than the mean.
	spare = 0.7
	// lostCentres is how many data centres of reclaimable upstreams may be gone at
	// once while what is needed still stands: a second is taken back while the
	// first is not to be had again.
	lostCentres = 2
	// leastEach is how many reclaimable upstreams each data centre has at least.
	// They cost little, and none are to be had when the load shows that they are
	// missing.
	leastEach = 2
	// margin is how much more than what is needed takes calls before one that
	// costs the full price is given back.
	margin = 1.2
	// backPause is the time between two orders for fewer of a kind, in which the load
	// shows whether they are missed, and 1 in backPart of them may go in one.
	backPause = 600 * time.Millisecond
	backPart  = 10
	// steady takes the noise of single clumps out of the measure of load, fall
	// lets it go down: over a good part of a wave, so that an ebb of some seconds
	// gives nothing back that the next clump needs.
	steady = 3 * time.Second
	fall   = 10 * time.Second
	// forget is how slowly a token may become dearer: slower upstreams stay so, a
	// queue is gone before.
	forget = 30 * time.Second
	// dearer bounds what a token may come to when it becomes dearer: a queue makes
	// it many times as long at once, slower upstreams do not.
	dearer = 1.5
	// late is how long beyond its start an upstream may take to show before its
	// order is given again, and slow how long one that is given back may take to
	// leave: the platform may carry orders out seconds late, and may lose them.
	late = 1500 * time.Millisecond
	slow = 8 * time.Second
	// dry is how long a kind that was not to be had is left alone.
	dry = 3 * time.Second
	// announced is how long the upstreams of the start may take to announce themselves:
	// some heartbeats. An order is for a number in all, and one by those that have
	// would give the others back.
	announced = 3 * time.Second
	// settle is how long the load is measured before it counts as known: it is
	// smoothed over seconds, and rises from nothing.
	settle = 8 * time.Second
)

// Kind is one kind of upstream of a service.
type Kind struct {
	DataCentre  units.DataCentre
	Reclaimable bool
}

// Load is what a service's callers ask for, over all entries.
type Load struct {
	// Asked is what callers ask for, in prompt tokens a second, or in calls a
	// second where there are no prompts.
	Asked float64
	// Each is how long an upstream takes for each of these while nothing queues, in
	// seconds; 0 where nobody knows.
	Each float64
	// Running is how many calls are under way, on average.
	Running float64
	// Limited is how many upstreams say that they take fewer calls than there are for them.
	Limited int
}

// Stock counts a service's upstreams of each kind that take calls now.
type Stock map[Kind]int

// Scaler plans for one service; it is a state machine without a clock.
type Scaler struct {
	// began is when the first calls were seen; before it nothing is known of the load.
	began time.Time
	at    time.Time
	// first is how many upstreams the operators started with, where that is known:
	// fresh says that there was no call when this began. They announce themselves over
	// some seconds, in which the orders for those that stand in for them go out.
	first   int
	fresh   bool
	stepped time.Time
	// recent is the load without its noise, load what the plan goes by.
	recent Load
	load   Load
	// each is what one unit that is asked for takes while nothing queues, and
	// runningEach how many calls are then under way for it.
	each        float64
	runningEach float64
	ordered     map[Kind]placed
	dryAt       map[Kind]time.Time
}

// Step takes the load and the stock of the moment and returns what to order now.
func (s *Scaler) Step(now time.Time, service *matcher.Service, load Load, stock Stock) []Order {
	if s.ordered == nil {
		s.ordered = make(map[Kind]placed)
		s.dryAt = make(map[Kind]time.Time)
		s.at = now
		s.stepped = now
		s.fresh = load.Running == 0
	}
	if s.fresh && s.began.IsZero() {
		s.first = max(s.first, firstOf(stock))
	}
	if s.began.IsZero() && load.Running > 0 {
		s.began = now
	}
	s.follow(now, load)
	needed := s.need(now, service)
	plan := s.plan(now, service, needed, stock)
	var orders []Order
	for _, kind := range kindsOf(service) {
		want := Order{
			Kind:  kind,
			Count: plan[kind],
		}
		if order, due := s.order(now, service, want, stock, needed); due {
			orders = append(orders, order)
		}
	}
	return orders
}

// follow smooths the load, faster up than down.
func (s *Scaler) follow(now time.Time, load Load) {
	passed := now.Sub(s.at)
	s.at = now
	s.recent.Asked = smooth(s.recent.Asked, load.Asked, passed, steady)
	s.recent.Running = smooth(s.recent.Running, load.Running, passed, steady)
	s.load.Asked = peak(s.load.Asked, s.recent.Asked, passed)
	if load.Each > 0 {
		s.each = least(s.each, load.Each, passed)
	}
	// Calls that have just come are not under way for long yet; by them, no call would
	// seem to need a place.
	if s.recent.Asked > 0 && !s.began.IsZero() && now.Sub(s.began) >= settle {
		s.runningEach = least(s.runningEach, s.recent.Running/s.recent.Asked, passed)
	}
	s.load.Each = s.each
	s.load.Limited = load.Limited
	s.load.Running = s.load.Asked * s.runningEach
}

// least follows at once down, and slowly up. Once upstreams are too few their
// queues make every call wait, and the waiting itself says no more how many
// would do: a plan by it orders several times what is needed.
func least(old, fresh float64, passed time.Duration) float64 {
	if old == 0 || fresh < old {
		return fresh
	}
	return smooth(old, min(fresh, old*dearer), passed, forget)
}

func smooth(old, fresh float64, passed, period time.Duration) float64 {
	return old + (fresh-old)*(1-math.Exp(-passed.Seconds()/period.Seconds()))
}

// peak follows at once up, and slowly down.
func peak(old, fresh float64, passed time.Duration) float64 {
	if fresh > old {
		return fresh
	}
	return smooth(old, fresh, passed, fall)
}

// Load returns the load as the plan goes by it.
func (s *Scaler) Load() Load { return s.load }

// firstOf returns how many upstreams there are before the first call, where all of
// them are at the full price: the operators' guess of what the load will need. The
// stock that a new leader finds while calls run is what an earlier plan made of it.
func firstOf(stock Stock) int {
	total := 0
	for kind, count := range stock {
		if kind.Reclaimable {
			return 0
		}
		total += count
	}
	return total
}

// measured returns how many upstreams the load needs by what is known of it.
func (s *Scaler) measured(service *matcher.Service) int {
	work := s.load.Asked * s.load.Each
	reading := work + safety*math.Sqrt(work)
	places := spare
	if service.Engine != nil && service.Engine.Slots > 0 {
		places += s.load.Running / (full * float64(service.Engine.Slots))
	}
	return int(math.Ceil(max(reading, places))) + s.load.Limited
}
