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
	Lease:      500 * time.Millisecond,
	Drift:      100 * time.Millisecond,
	Timeout:    time.Second,
	Observe:    2 * time.Second,
	Resend:     2 * time.Second,
	MostResend: 8 * time.Second,
}

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// A leader orders a change and is cut off; its successor must send nothing to
// an upstream that ignores fencing numbers before the old lease, the clocks'
// drift and the time an order may be under way have passed. The upstream would
// carry out both leaders' orders, the old one's perhaps last.
func TestNothingIsSentBeforeTheOldLeaseHasRunOut(t *testing.T) {
	w := newWorld(4, false, 1)
	w.wanted = "2"
	w.orderer.Step(w.now, Led{Term: 2})
	until := w.now.Add(testOptions.Lease + testOptions.Drift + testOptions.Timeout)
	for w.now.Before(until.Add(-tick)) {
		w.step()
	}
	if got, want := w.sent, 0; got != want {
		t.Errorf("orders before the old lease has run out: got %d, want %d", got, want)
	}
	w.run(2 * time.Minute)
	if got, want := w.matching(), 4; got != want {
		t.Errorf("upstreams with the wanted version in the end: got %d, want %d", got, want)
	}
}

// A leader orders one of three upstreams to load and freezes in the middle of the
// write; its successor orders another one. Then the first leader wakes and
// finishes its write: the upstream would go out of service as well, and the
// rest could not hold the latency target. The successor must raise the fencing
// number at each of them first.
func TestOrderOfAFrozenLeaderIsRefused(t *testing.T) {
	w := newWorld(3, true, 4)
	w.wanted = "2"
	w.floor = 1
	w.engines[0].away = true
	var late *messages.Order
	w.freeze = func(order *messages.Order) bool {
		if order.GetWanted() != nil {
			late = order
		}
		return order.GetWanted() != nil
	}
	for range 600 {
		if late == nil {
			w.step()
		}
	}
	w.freeze = nil
	w.engines[0].away = false
	w.floor = 2
	w.elect()
	for range 600 {
		if w.engines[0].loading == "" {
			w.step()
		}
	}
	if got, want := w.obey(w.engines[1], 1, late).GetOutcome(), messages.OrderOutcome_ORDER_OUTCOME_OLD_FENCING; got != want {
		t.Errorf("outcome of the late order: got %s, want %s", got, want)
	}
}

// Two upstreams load at once and each load takes its part of the weight
// store's rate: the store refuses what goes beyond, and the upstreams would
// stand idle without a model.
func TestRateOfTheWeightStoreIsKept(t *testing.T) {
	w := newWorld(12, true, 2)
	w.floor = 2
	w.wanted = "2"
	w.run(5 * time.Minute)
	if got, want := w.matching(), 12; got != want {
		t.Errorf("upstreams with the wanted version: got %d, want %d", got, want)
	}
	if got, want := w.problem(), ""; got != want {
		t.Errorf("broken rule: got %q, want none", got)
	}
}

// Versions change while leaders come and go, orders are lost, doubled and
// delayed, loads fail, and a frozen leader's orders arrive long after its end.
// Whatever happens, no service falls under its floor, the store's limits hold,
// and no upstream carries out an order of an ended lease.
func TestRulesOfOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(3, 8).Draw(t, "upstreams"), rapid.Bool().Draw(t, "checks"), rapid.Uint64().Draw(t, "seed"))
		w.floor = rapid.IntRange(1, len(w.engines)-1).Draw(t, "floor")
		w.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		for range 40 {
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				w.elect()
			case 1:
				w.wanted = units.ModelVersion(fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "version")))
			case 2:
				w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "failing")].fails = true
			}
			w.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "for")) * tick)
			if got, want := w.problem(), ""; got != want {
				t.Fatalf("broken rule: got %q, want none", got)
			}
		}
		w.loss = 0
		w.run(10 * time.Minute)
		if got, want := w.matching(), len(w.engines); got != want {
			t.Fatalf("upstreams as wanted once all is calm: got %d, want %d", got, want)
		}
	})
}

// world is a leader, upstreams and the messages between them.
type world struct {
	now      time.Time
	random   *rand.Rand
	orderer  *Orderer
	term     units.Term
	engines  []*engine
	wanted   units.ModelVersion
	floor    int
	loss     float64
	sent     int
	underWay []message
	// freeze holds an order back at its sender; it may be nil.
	freeze   func(order *messages.Order) bool
	problems []string
	began    []time.Time
	// quiet is when the last elected leader's predecessors have fallen silent.
	quiet time.Time
}

type message struct {
	at  time.Time
	run func()
}

type engine struct {
	name     string
	checks   bool
	version  units.ModelVersion
	loading  units.ModelVersion
	until    time.Time
	fencing  uint64
	fails    bool
	away     bool
	sequence []Upstream
}

func newWorld(engines int, checks bool, seed uint64) *world {
	w := &world{
		now:     time.Unix(1000, 0),
		random:  rand.New(rand.NewPCG(seed, 7)),
		orderer: &Orderer{Options: testOptions},
		wanted:  "1",
		floor:   1,
		term:    1,
	}
	for i := range engines {
		w.engines = append(w.engines, &engine{
			name:    fmt.Sprint("u", i),
			checks:  checks,
			version: "1",
		})
	}
	w.orderer.Step(w.now, Led{Term: w.term})
	w.quiet = w.now
	return w
}

// elect replaces the leader after its lease has ended; what it sent is still
// under way, and one order of it waits in a frozen process.
func (w *world) elect() {
	w.term++
	w.orderer = &Orderer{Options: testOptions}
	w.orderer.Step(w.now, Led{Term: w.term})
	w.quiet = w.now.Add(testOptions.Lease + testOptions.Drift + testOptions.Timeout)
}

func (w *world) run(span time.Duration) {
	for range span / tick {
		w.step()
	}
}

func (w *world) step() {
	w.now = w.now.Add(tick)
	due := w.underWay
	w.underWay = nil
	for _, m := range due {
		if m.at.After(w.now) {
			w.underWay = append(w.underWay, m)
			continue
		}
		m.run()
	}
	for _, e := range w.engines {
		e.finish(w.now)
		e.sequence = append(e.sequence, e.announce())
	}
	for _, send := range w.orderer.Step(w.now, w.tick()) {
		w.post(send)
	}
	w.check()
}

// tick brings announcements of a random moment within the last second.
func (w *world) tick() Ticked {
	t := Ticked{
		Store: Store{
			BytesPerSecond: storeRate,
			LoadsAtOnce:    2,
		},
		Services: []Service{{
			Name:     "s",
			Versions: []units.ModelVersion{"1", "2", "3"},
			Floor:    w.floor,
			Bytes:    modelBytes,
			Wanted: &messages.Wanted{
				ModelVersion: string(w.wanted),
			},
		}},
	}
	for _, e := range w.engines {
		late := min(w.random.IntN(10), len(e.sequence)-1)
		e.sequence = e.sequence[max(0, len(e.sequence)-1-late):]
		t.Upstreams = append(t.Upstreams, e.sequence[0])
	}
	return t
}

func (w *world) post(send Send) {
	w.sent++
	if w.freeze != nil && w.freeze(send.Order) {
		return
	}
	to := w.engines[slices.IndexFunc(w.engines, func(e *engine) bool { return e.name == send.Order.GetUpstream() })]
	copies := 1
	if w.random.Float64() < w.loss {
		copies = w.random.IntN(3)
	}
	term := w.term
	for i := range copies {
		delay := time.Duration(w.random.Int64N(int64(testOptions.Timeout)))
		if i == 1 && to.checks {
			// A frozen sender finishes its write long after.
			delay = time.Duration(w.random.Int64N(int64(20 * time.Second)))
		}
		w.underWay = append(w.underWay, message{
			at: w.now.Add(delay),
			run: func() {
				result := w.obey(to, term, send.Order)
				if w.random.Float64() >= w.loss && w.term == term {
					w.orderer.Step(w.now, Answered{
						Upstream: units.Upstream(to.name),
						Order:    send.Order,
						Result:   result,
					})
				}
			},
		})
	}
}

func (w *world) obey(e *engine, term units.Term, order *messages.Order) *messages.OrderResult {
	if !e.checks && term < w.term && w.now.After(w.quiet) {
		w.problems = append(w.problems, fmt.Sprintf("%s got an order of term %d in term %d", e.name, term, w.term))
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
			w.began = append(w.began, w.now)
		}
		e.loading = version
		e.until = w.now.Add(loadTime)
	}
	return &messages.OrderResult{Outcome: messages.OrderOutcome_ORDER_OUTCOME_UNDER_WAY}
}

func (e *engine) finish(now time.Time) {
	if e.loading == "" || now.Before(e.until) {
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
		Live:          !e.away,
	}
	if e.checks {
		u.Fencing = units.Term(e.fencing)
	}
	return u
}

func (w *world) check() {
	serving, loading := 0, 0
	for _, e := range w.engines {
		if e.loading == "" {
			serving++
		} else {
			loading++
		}
	}
	if serving < w.floor {
		w.problems = append(w.problems, fmt.Sprintf("%d in service, floor %d", serving, w.floor))
	}
	if loading > 2 {
		w.problems = append(w.problems, fmt.Sprintf("%d loads at once", loading))
	}
	w.began = slices.DeleteFunc(w.began, func(at time.Time) bool { return w.now.Sub(at) > 20*time.Second })
	if got, most := len(w.began)*modelBytes, 20*storeRate+modelBytes; got > most {
		w.problems = append(w.problems, fmt.Sprintf("%d bytes in 20 s, at most %d", got, most))
	}
}

func (w *world) problem() string {
	if len(w.problems) == 0 {
		return ""
	}
	return w.problems[0]
}

func (w *world) matching() int {
	count := 0
	for _, e := range w.engines {
		if e.version == w.wanted && e.loading == "" {
			count++
		}
	}
	return count
}

// Equal wanted states must give equal orders, so that a repeated one is recognised.
func TestOrderIsTheSameWhenRepeated(t *testing.T) {
	w := newWorld(1, false, 3)
	w.floor = 0
	w.wanted = "2"
	w.loss = 1
	var first *messages.Order
	for range 300 {
		w.now = w.now.Add(tick)
		for _, send := range w.orderer.Step(w.now, Ticked{
			Services:  w.tickOf(),
			Upstreams: []Upstream{w.engines[0].announce()},
			Store:     Store{LoadsAtOnce: 1},
		}) {
			if first == nil {
				first = send.Order
			}
			if got, want := proto.Equal(send.Order, first), true; got != want {
				t.Errorf("repeated order equals the first: got %t, want %t", got, want)
			}
			w.sent++
		}
	}
	if got, want := w.sent > 2, true; got != want {
		t.Errorf("order repeated: got %t, want %t", got, want)
	}
}

func (w *world) tickOf() []Service {
	return []Service{{
		Name:     "s",
		Versions: []units.ModelVersion{"1", "2"},
		Wanted: &messages.Wanted{
			ModelVersion: string(w.wanted),
		},
	}}
}
