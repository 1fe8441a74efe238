package buyer

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	tick     = 200 * time.Millisecond
	bootTime = 3 * time.Second
)

var testOptions = Options{
	Settle:      2 * time.Second,
	Retry:       time.Second,
	Backoff:     5 * time.Second,
	MostBackoff: time.Minute,
	CoolDown:    time.Minute,
	Start:       30 * time.Second,
}

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// A mix that costs more than needed is paid for each hour. The planner's mix
// must survive the loss of any one data centre at the cost of the best one that
// a search of all mixes finds.
func TestPlanIsTheCheapestThatSurvives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var offers []Offer
		for d := range rapid.IntRange(2, 3).Draw(t, "data centres") {
			for c := range rapid.IntRange(1, 2).Draw(t, "classes") {
				offers = append(offers, Offer{
					DataCentre: units.DataCentre(fmt.Sprint("dc-", d)),
					Class:      units.MachineClass(fmt.Sprint("c", c)),
					Price:      units.Price(rapid.IntRange(1, 9).Draw(t, "price")),
					Slots:      c + 1,
				})
			}
		}
		need := rapid.IntRange(1, 4).Draw(t, "need")
		base := map[units.DataCentre]int{"dc-0": rapid.IntRange(0, 3).Draw(t, "base")}
		planned := Plan(need, base, offers, 0)
		cost := 0.0
		capacity := map[units.DataCentre]int{"dc-0": base["dc-0"]}
		for _, offer := range planned {
			cost += float64(offer.Price)
			capacity[offer.DataCentre] += offer.Slots
		}
		if got, want := Remaining(capacity), need; got < want {
			t.Fatalf("slots without the largest data centre: got %d, want at least %d", got, want)
		}
		if got, want := cost, search(need, base, offers, 0); math.Abs(got-want) > 1e-9 {
			t.Fatalf("cost of the plan: got %v, want %v", got, want)
		}
	})
}

// search returns the least cost of all mixes of up to need+3 of each offer.
func search(need int, capacity map[units.DataCentre]int, offers []Offer, from int) float64 {
	if Remaining(capacity) >= need {
		return 0
	}
	if from == len(offers) {
		return math.Inf(1)
	}
	best := math.Inf(1)
	offer := offers[from]
	for count := range need + 4 {
		capacity[offer.DataCentre] += count * offer.Slots
		best = min(best, float64(count)*float64(offer.Price)+search(need, capacity, offers, from+1))
		capacity[offer.DataCentre] -= count * offer.Slots
	}
	return best
}

// Leaders change every few seconds while a fleet is bought, requests and
// answers get lost and proposals of a lost leader are committed or not. Each
// instance must be bought once: none twice, none forgotten.
func TestPurchasesSurviveLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		for range 30 {
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				w.elect()
			case 2:
				w.refusing = units.DataCentre(fmt.Sprint("dc-", rapid.IntRange(0, 3).Draw(t, "refusing")))
			case 3:
				w.reclaim(rapid.IntRange(0, 20).Draw(t, "reclaimed"))
			}
			w.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "for")) * tick)
			if got, want := w.problem, ""; got != want {
				t.Fatalf("broken rule: got %q, want none", got)
			}
		}
		w.loss = 0
		w.refusing = ""
		w.run(3 * time.Minute)
		if got, want := w.remaining(), w.demand.Slots; got < want {
			t.Fatalf("slots without the largest data centre: got %d, want at least %d", got, want)
		}
		for _, i := range w.instances {
			p := w.ledger[i.token]
			if got, want := p.GetState(), messages.PurchaseState_PURCHASE_STATE_LAUNCHED; i.endsAt.IsZero() && got != want {
				t.Fatalf("state of the purchase of a running instance: got %s, want %s", got, want)
			}
		}
	})
}

// Nothing fails while the fleet is bought over ten leaders; what runs in the
// end must be one plan's instances and not one more.
func TestNothingIsBoughtTwice(t *testing.T) {
	w := newWorld(5)
	planned := len(Plan(w.demand.Slots, nil, w.offers, w.demand.Load))
	for range 10 {
		w.run(3 * time.Second)
		w.elect()
	}
	w.run(time.Minute)
	if got, want := len(w.instances), planned; got != want {
		t.Errorf("instances launched: got %d, want %d", got, want)
	}
}

// The platform gives a minute's notice of one instance. Its replacement must be
// bought at the notice; begun at the loss, it would leave the service without
// its reserve until it has loaded.
func TestReplacementStartsAtTheNotice(t *testing.T) {
	w := newWorld(6)
	w.run(2 * time.Minute)
	w.notice = time.Minute
	w.reclaim(0)
	w.run(20 * time.Second)
	if got, want := w.remaining(), w.demand.Slots; got < want {
		t.Errorf("slots without the noticed instance and the largest data centre: got %d, want at least %d", got, want)
	}
	if got, want := w.instances[0].ended, false; got != want {
		t.Errorf("instance with the notice has ended: got %t, want %t", got, want)
	}
}

// The load swings by half every few seconds. Buying and giving back with it
// would pay for loading over and over: nothing may change but what the first
// rise brings.
func TestSwingingDemandChangesNothing(t *testing.T) {
	w := newWorld(7)
	w.demand.Slots = 0
	w.demand.Used = 60
	w.run(2 * time.Minute)
	before, releases := len(w.instances), w.released
	for i := range 100 {
		w.demand.Used = 60 - 30*(i%2)
		w.run(5 * time.Second)
	}
	if got, want := len(w.instances)+w.released, before+releases; got != want {
		t.Errorf("purchases and releases: got %d, want %d", got, want)
	}
}

// The demand falls to a third for good. Instances are given back one at a time
// after the cool-down, never below what the rest of the demand needs.
func TestSurplusIsGivenBack(t *testing.T) {
	w := newWorld(8)
	w.demand.Slots = 16
	w.demand.Used = 90
	w.run(2 * time.Minute)
	before := w.remaining()
	w.demand.Used = 20
	w.run(20 * time.Minute)
	if got, want := w.remaining() < before, true; got != want {
		t.Errorf("capacity has fallen from %d: got %t, want %t", before, got, want)
	}
	if got, want := w.remaining(), 25; got < want {
		t.Errorf("slots without the largest data centre: got %d, want at least %d", got, want)
	}
}

// A data centre is sold out. The buyer must turn to others and ask the sold-out
// one less and less, or each tick would bring it a request.
func TestRefusedOffersAreBackedOff(t *testing.T) {
	w := newWorld(9)
	w.refusing = "dc-0"
	w.run(3 * time.Minute)
	if got, want := w.remaining(), w.demand.Slots; got < want {
		t.Errorf("slots without the largest data centre: got %d, want at least %d", got, want)
	}
	if got, want := w.refused, 12; got > want {
		t.Errorf("refused requests in 3 minutes: got %d, want at most %d", got, want)
	}
}

// A leader that has lost its place still has proposals under way; committed
// late, they must not make an instance count again that was given back.
func TestStatesOnlyGoForward(t *testing.T) {
	states := []messages.PurchaseState{0, 1, 2, 3, 4, 5}
	for _, from := range states[1:] {
		for _, to := range states[:from+1] {
			got := Follows(&messages.Purchase{State: from}, &messages.Purchase{State: to})
			if want := false; got != want {
				t.Errorf("from %s to %s: got %t, want %t", from, to, got, want)
			}
		}
	}
	if got, want := Follows(nil, &messages.Purchase{State: 2}), false; got != want {
		t.Errorf("launched without a plan: got %t, want %t", got, want)
	}
}

// world is a leader, its log and the platform.
type world struct {
	now       time.Time
	random    *rand.Rand
	buyer     *Buyer
	term      units.Term
	offers    []Offer
	demand    Demand
	loss      float64
	refusing  units.DataCentre
	notice    time.Duration
	ledger    map[string]*messages.Purchase
	inLog     []*messages.Purchase
	instances []*instance
	refused   int
	released  int
	problem   string
	late      []*messages.Purchase
}

type instance struct {
	id, token string
	offer     Offer
	bootedAt  time.Time
	endsAt    time.Time
	ended     bool
}

func newWorld(seed uint64) *world {
	w := &world{
		now:    time.Unix(1000, 0),
		random: rand.New(rand.NewPCG(seed, 3)),
		ledger: make(map[string]*messages.Purchase),
		notice: 5 * time.Second,
		demand: Demand{
			Service:  "s",
			Slots:    64,
			OnDemand: 16,
			Most:     24,
			Load:     time.Minute,
		},
	}
	for d := range 4 {
		for c, class := range []units.MachineClass{"small", "large"} {
			w.offers = append(w.offers, Offer{
				DataCentre:      units.DataCentre(fmt.Sprint("dc-", d)),
				Class:           class,
				Price:           units.Price(float64(c+1) * (1 + 0.1*float64(d))),
				ReclaimsPerHour: 0.1,
				Slots:           8 * (c + 1),
			})
		}
		w.offers = append(w.offers, Offer{
			DataCentre: units.DataCentre(fmt.Sprint("dc-", d)),
			Class:      "small",
			OnDemand:   true,
			Price:      3,
			Slots:      8,
		})
	}
	w.elect()
	return w
}

// elect makes a new leader; what the old one proposed is committed or lost.
func (w *world) elect() {
	w.term++
	for _, p := range w.inLog {
		if w.random.IntN(2) == 0 {
			w.commit(p)
		}
	}
	w.inLog = nil
	w.buyer = &Buyer{Options: testOptions}
	w.buyer.Step(w.now, Led{Term: w.term})
}

func (w *world) commit(p *messages.Purchase) {
	if Follows(w.ledger[p.GetToken()], p) {
		w.ledger[p.GetToken()] = p
	}
}

func (w *world) run(span time.Duration) {
	for range span / tick {
		w.now = w.now.Add(tick)
		w.step()
	}
}

func (w *world) step() {
	// A proposal takes a while until it is committed, in order.
	for len(w.inLog) > 0 && w.random.IntN(3) > 0 {
		w.commit(w.inLog[0])
		w.inLog = w.inLog[1:]
	}
	// A request that was under way for long reaches the platform after others.
	if len(w.late) > 0 && w.random.IntN(20) == 0 {
		late := w.late[0]
		w.late = w.late[1:]
		w.launch(late)
	}
	listed := Listed{At: w.now}
	t := Ticked{
		Offers:   w.offers,
		Demands:  []Demand{w.demand},
		Starting: 8,
	}
	for _, i := range w.instances {
		i.ended = i.ended || !i.endsAt.IsZero() && w.now.After(i.endsAt)
		if i.ended {
			continue
		}
		listed.Instances = append(listed.Instances, Instance{
			ID:      i.id,
			Token:   i.token,
			Noticed: !i.endsAt.IsZero(),
		})
		if w.now.After(i.bootedAt) {
			t.Upstreams = append(t.Upstreams, Upstream{
				Instance:   i.id,
				Service:    "s",
				DataCentre: i.offer.DataCentre,
				Slots:      i.offer.Slots,
				Serving:    true,
				Leaving:    !i.endsAt.IsZero(),
			})
		}
	}
	for _, p := range w.ledger {
		t.Ledger = append(t.Ledger, p)
	}
	if w.random.Float64() >= w.loss {
		w.buyer.Step(w.now, listed)
	}
	for _, action := range w.buyer.Step(w.now, t) {
		w.carryOut(action)
	}
}

func (w *world) carryOut(action Action) {
	switch a := action.(type) {
	case Commit:
		w.inLog = append(w.inLog, a.Purchase)
	case Launch:
		w.launch(a.Purchase)
	case Release:
		for _, i := range w.instances {
			if i.token == a.Purchase.GetToken() && i.endsAt.IsZero() {
				w.released++
				i.endsAt = w.now.Add(w.notice)
			}
		}
	}
}

func (w *world) launch(p *messages.Purchase) {
	if w.random.Float64() < w.loss {
		w.late = append(w.late, p)
	}
	if w.ledger[p.GetToken()] == nil {
		w.problem = "a request before its purchase was committed"
	}
	if w.random.Float64() < w.loss {
		return
	}
	answer := Answered{Token: p.GetToken()}
	if known := slices.IndexFunc(w.instances, func(i *instance) bool { return i.token == p.GetToken() }); known >= 0 {
		answer.Instance = w.instances[known].id
	} else if p.GetDataCentre() == string(w.refusing) {
		w.refused++
		answer.Reason = "sold out"
	} else {
		answer.Instance = fmt.Sprint("i-", len(w.instances))
		offer := w.offers[slices.IndexFunc(w.offers, func(o Offer) bool { return o.key() == keyOf(p) })]
		w.instances = append(w.instances, &instance{
			id:       answer.Instance,
			token:    p.GetToken(),
			offer:    offer,
			bootedAt: w.now.Add(bootTime),
		})
	}
	if w.random.Float64() >= w.loss {
		for _, action := range w.buyer.Step(w.now, answer) {
			w.carryOut(action)
		}
	}
}

func (w *world) reclaim(index int) {
	if index < len(w.instances) && !w.instances[index].ended && w.instances[index].endsAt.IsZero() {
		w.instances[index].endsAt = w.now.Add(w.notice)
	}
}

func (w *world) remaining() int {
	capacity := make(map[units.DataCentre]int)
	for _, i := range w.instances {
		if i.endsAt.IsZero() {
			capacity[i.offer.DataCentre] += i.offer.Slots
		}
	}
	return Remaining(capacity)
}
