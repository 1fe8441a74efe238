package orderer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	tick       = 100 * time.Millisecond
	loadTime   = 4 * time.Second
	storeRate  = 1000
	modelBytes = 4000
)

var testOptions = Options{
	Lease:             500 * time.Millisecond,
	MaxClockDrift:     100 * time.Millisecond,
	Timeout:           time.Second,
	AnnounceDelay:     2 * time.Second,
	ResendInterval:    2 * time.Second,
	MaxResendInterval: 8 * time.Second,
}

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// A leader orders a change and is partitioned. Its successor must send nothing to an upstream
// that ignores fencing numbers until the old lease, the clock drift and the time that an order
// may be in flight have passed. Otherwise the upstream would carry out both leaders' orders,
// possibly the old one's last.
func TestNothingIsSentBeforeTheOldLeaseHasExpired(t *testing.T) {
	s := newSimulation(4, false, 1)
	s.wanted = "2"
	s.orderer.Step(s.now, LeadershipGained{Term: 2})
	until := s.now.Add(testOptions.Lease + testOptions.MaxClockDrift + testOptions.Timeout)
	for s.now.Before(until.Add(-tick)) {
		s.step()
	}
	if got, want := s.sent, 0; got != want {
		t.Errorf("orders before the old lease has expired: got %d, want %d", got, want)
	}
	s.run(2 * time.Minute)
	if got, want := s.matching(), 4; got != want {
		t.Errorf("upstreams with the wanted version in the end: got %d, want %d", got, want)
	}
}

// A leader orders one of three upstreams to load and freezes in the middle of the write; its
// successor orders another one. Then the first leader resumes and finishes its write: that
// upstream would go out of service as well, and the rest could not meet the latency target. The
// successor must first raise the fencing number at each of them.
func TestOrderOfAFrozenLeaderIsRefused(t *testing.T) {
	s := newSimulation(3, true, 4)
	s.wanted = "2"
	s.floor = 1
	s.engines[0].suspected = true
	var lateOrder *messages.Order
	s.freeze = func(order *messages.Order) bool {
		if order.GetWanted() != nil {
			lateOrder = order
		}
		return order.GetWanted() != nil
	}
	for range 600 {
		if lateOrder == nil {
			s.step()
		}
	}
	s.freeze = nil
	s.engines[0].suspected = false
	s.floor = 2
	s.elect()
	for range 600 {
		if s.engines[0].loading == "" {
			s.step()
		}
	}
	if got, want := s.carryOut(s.engines[1], 1, lateOrder).GetOutcome(), messages.OrderOutcome_ORDER_OUTCOME_OLD_FENCING; got != want {
		t.Errorf("outcome of the late order: got %s, want %s", got, want)
	}
}

// Two upstreams load at once, and each load uses a share of the weight store's rate. The store
// refuses requests beyond its rate, and the upstreams would be idle without a model.
func TestRateOfTheWeightStoreIsNotExceeded(t *testing.T) {
	s := newSimulation(12, true, 2)
	s.floor = 2
	s.wanted = "2"
	s.run(5 * time.Minute)
	if got, want := s.matching(), 12; got != want {
		t.Errorf("upstreams with the wanted version: got %d, want %d", got, want)
	}
	if got, want := s.violation(), ""; got != want {
		t.Errorf("violated invariant: got %q, want none", got)
	}
}

// Versions change while leaders are replaced, orders are lost, duplicated and delayed, loads
// fail, and a frozen leader's orders arrive long after its lease. In all cases no service falls
// below its floor, the store's limits hold, and no upstream carries out an order of an expired
// lease.
func TestOrdersKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(3, 8).Draw(t, "upstreams"), rapid.Bool().Draw(t, "checks"), rapid.Uint64().Draw(t, "seed"))
		s.floor = rapid.IntRange(1, len(s.engines)-1).Draw(t, "floor")
		s.lossRate = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		for range 40 {
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				s.elect()
			case 1:
				s.wanted = units.ModelVersion(fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "version")))
			case 2:
				s.engines[rapid.IntRange(0, len(s.engines)-1).Draw(t, "failing")].fails = true
			}
			s.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "for")) * tick)
			if got, want := s.violation(), ""; got != want {
				t.Fatalf("violated invariant: got %q, want none", got)
			}
		}
		s.lossRate = 0
		s.run(10 * time.Minute)
		if got, want := s.matching(), len(s.engines); got != want {
			t.Fatalf("upstreams as wanted after the last fault: got %d, want %d", got, want)
		}
	})
}

// simulation is a leader, its upstreams and the messages between them.
type simulation struct {
	now      time.Time
	random   *rand.Rand
	orderer  *Orderer
	term     units.Term
	engines  []*engine
	wanted   units.ModelVersion
	floor    int
	lossRate float64
	sent     int
	inFlight []message
	// freeze reports whether an order is held back at its sender; it may be nil.
	freeze         func(order *messages.Order) bool
	violations     []string
	loadsStartedAt []time.Time
	// quietAt is when no order of the last elected leader's predecessors can arrive any more.
	quietAt time.Time
}

type message struct {
	arrivesAt time.Time
	deliver   func()
}

type engine struct {
	name          string
	checks        bool
	version       units.ModelVersion
	loading       units.ModelVersion
	loadedAt      time.Time
	fencing       uint64
	fails         bool
	suspected     bool
	announcements []Upstream
}

func newSimulation(engines int, checks bool, seed uint64) *simulation {
	s := &simulation{
		now:     time.Unix(1000, 0),
		random:  rand.New(rand.NewPCG(seed, 7)),
		orderer: &Orderer{Options: testOptions},
		wanted:  "1",
		floor:   1,
		term:    1,
	}
	for i := range engines {
		s.engines = append(s.engines, &engine{
			name:    fmt.Sprint("u", i),
			checks:  checks,
			version: "1",
		})
	}
	s.orderer.Step(s.now, LeadershipGained{Term: s.term})
	s.quietAt = s.now
	return s
}

// elect replaces the leader after its lease has ended; the orders that it sent are still in
// flight, and one of them is held in a frozen process.
func (s *simulation) elect() {
	s.term++
	s.orderer = &Orderer{Options: testOptions}
	s.orderer.Step(s.now, LeadershipGained{Term: s.term})
	s.quietAt = s.now.Add(testOptions.Lease + testOptions.MaxClockDrift + testOptions.Timeout)
}

func (s *simulation) run(span time.Duration) {
	for range span / tick {
		s.step()
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(tick)
	due := s.inFlight
	s.inFlight = nil
	for _, m := range due {
		if m.arrivesAt.After(s.now) {
			s.inFlight = append(s.inFlight, m)
			continue
		}
		m.deliver()
	}
	for _, e := range s.engines {
		e.finish(s.now)
		e.announcements = append(e.announcements, e.announce())
	}
	for _, send := range s.orderer.Step(s.now, s.tick()) {
		s.transmit(send)
	}
	s.check()
}

// tick returns announcements of a random moment within the last second.
func (s *simulation) tick() Ticked {
	t := Ticked{
		StoreLimits: StoreLimits{
			BytesPerSecond:     storeRate,
			MaxConcurrentLoads: 2,
		},
		Services: []Service{{
			Name:       "s",
			Versions:   []units.ModelVersion{"1", "2", "3"},
			MinServing: s.floor,
			Bytes:      modelBytes,
			Wanted: &messages.Wanted{
				ModelVersion: string(s.wanted),
			},
		}},
	}
	for _, e := range s.engines {
		delay := min(s.random.IntN(10), len(e.announcements)-1)
		e.announcements = e.announcements[max(0, len(e.announcements)-1-delay):]
		t.Upstreams = append(t.Upstreams, e.announcements[0])
	}
	return t
}

func (s *simulation) transmit(send Send) {
	s.sent++
	if s.freeze != nil && s.freeze(send.Order) {
		return
	}
	to := s.engines[slices.IndexFunc(s.engines, func(e *engine) bool { return e.name == send.Order.GetUpstream() })]
	copies := 1
	if s.random.Float64() < s.lossRate {
		copies = s.random.IntN(3)
	}
	term := s.term
	for i := range copies {
		delay := time.Duration(s.random.Int64N(int64(testOptions.Timeout)))
		if i == 1 && to.checks {
			// A frozen sender finishes its write much later.
			delay = time.Duration(s.random.Int64N(int64(20 * time.Second)))
		}
		s.inFlight = append(s.inFlight, message{
			arrivesAt: s.now.Add(delay),
			deliver: func() {
				result := s.carryOut(to, term, send.Order)
				if s.random.Float64() >= s.lossRate && s.term == term {
					s.orderer.Step(s.now, OrderAnswered{
						Upstream: units.Upstream(to.name),
						Order:    send.Order,
						Result:   result,
					})
				}
			},
		})
	}
}

func (s *simulation) carryOut(e *engine, term units.Term, order *messages.Order) *messages.OrderResult {
	if !e.checks && term < s.term && s.now.After(s.quietAt) {
		s.violations = append(s.violations, fmt.Sprintf("%s got an order of term %d in term %d", e.name, term, s.term))
	}
	if e.checks && order.GetFencing() < e.fencing {
		return &messages.OrderResult{
			Outcome: messages.OrderOutcome_ORDER_OUTCOME_OLD_FENCING,
			Fencing: e.fencing,
		}
	}
	e.fencing = max(e.fencing, order.GetFencing())
	version := units.ModelVersion(order.GetWanted().GetModelVersion())
	if order.GetWanted() != nil && version != e.version && version != e.loading {
		if e.loading == "" {
			s.loadsStartedAt = append(s.loadsStartedAt, s.now)
		}
		e.loading = version
		e.loadedAt = s.now.Add(loadTime)
	}
	return &messages.OrderResult{Outcome: messages.OrderOutcome_ORDER_OUTCOME_UNDER_WAY}
}

func (e *engine) finish(now time.Time) {
	if e.loading == "" || now.Before(e.loadedAt) {
		return
	}
	if !e.fails {
		e.version = e.loading
	}
	e.fails = false
	e.loading = ""
}

func (e *engine) announce() Upstream {
	u := Upstream{
		Name:          units.Upstream(e.name),
		Service:       "s",
		Incarnation:   1,
		Version:       e.version,
		Loading:       e.loading,
		ChecksFencing: e.checks,
		Live:          !e.suspected,
	}
	if e.checks {
		u.Fencing = units.Term(e.fencing)
	}
	return u
}

func (s *simulation) check() {
	serving, loading := 0, 0
	for _, e := range s.engines {
		if e.loading == "" {
			serving++
		} else {
			loading++
		}
	}
	if serving < s.floor {
		s.violations = append(s.violations, fmt.Sprintf("%d in service, floor %d", serving, s.floor))
	}
	if loading > 2 {
		s.violations = append(s.violations, fmt.Sprintf("%d loads at once", loading))
	}
	s.loadsStartedAt = slices.DeleteFunc(s.loadsStartedAt, func(at time.Time) bool { return s.now.Sub(at) > 20*time.Second })
	if got, limit := len(s.loadsStartedAt)*modelBytes, 20*storeRate+modelBytes; got > limit {
		s.violations = append(s.violations, fmt.Sprintf("%d bytes in 20 s, at most %d", got, limit))
	}
}

func (s *simulation) violation() string {
	if len(s.violations) == 0 {
		return ""
	}
	return s.violations[0]
}

func (s *simulation) matching() int {
	count := 0
	for _, e := range s.engines {
		if e.version == s.wanted && e.loading == "" {
			count++
		}
	}
	return count
}

// Equal wanted states must give equal orders, so that a repeated one is recognized.
func TestOrderIsTheSameWhenRepeated(t *testing.T) {
	s := newSimulation(1, false, 3)
	s.floor = 0
	s.wanted = "2"
	s.lossRate = 1
	var first *messages.Order
	for range 300 {
		s.now = s.now.Add(tick)
		for _, send := range s.orderer.Step(s.now, Ticked{
			Services:    s.services(),
			Upstreams:   []Upstream{s.engines[0].announce()},
			StoreLimits: StoreLimits{MaxConcurrentLoads: 1},
		}) {
			if first == nil {
				first = send.Order
			}
			if got, want := proto.Equal(send.Order, first), true; got != want {
				t.Errorf("repeated order equals the first: got %t, want %t", got, want)
			}
			s.sent++
		}
	}
	if got, want := s.sent > 2, true; got != want {
		t.Errorf("order repeated: got %t, want %t", got, want)
	}
}

func (s *simulation) services() []Service {
	return []Service{{
		Name:     "s",
		Versions: []units.ModelVersion{"1", "2"},
		Wanted: &messages.Wanted{
			ModelVersion: string(s.wanted),
		},
	}}
}
