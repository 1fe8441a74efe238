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
	tickInterval = 200 * time.Millisecond
	bootTime     = 3 * time.Second
)

var testOptions = Options{
	WarmUp:          2 * time.Second,
	RetryInterval:   time.Second,
	Backoff:         5 * time.Second,
	MaxBackoff:      time.Minute,
	CoolDown:        time.Minute,
	AnnounceTimeout: 30 * time.Second,
}

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// A mix of offers that costs more than needed is paid for each hour. The planner's mix must
// survive the loss of any one data centre at the cost of the best mix that an exhaustive search
// finds.
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
		if got, want := RemainingSlots(capacity), need; got < want {
			t.Fatalf("slots without the largest data centre: got %d, want at least %d", got, want)
		}
		if got, want := cost, searchMinCost(need, base, offers, 0); math.Abs(got-want) > 1e-9 {
			t.Fatalf("cost of the plan: got %v, want %v", got, want)
		}
	})
}

// searchMinCost returns the minimum cost over all mixes of up to need+3 of each offer.
func searchMinCost(need int, capacity map[units.DataCentre]int, offers []Offer, from int) float64 {
	if RemainingSlots(capacity) >= need {
		return 0
	}
	if from == len(offers) {
		return math.Inf(1)
	}
	best := math.Inf(1)
	offer := offers[from]
	for count := range need + 4 {
		capacity[offer.DataCentre] += count * offer.Slots
		best = min(best, float64(count)*float64(offer.Price)+searchMinCost(need, capacity, offers, from+1))
		capacity[offer.DataCentre] -= count * offer.Slots
	}
	return best
}

// Leaders change every few seconds while a fleet is bought, requests and answers are lost, and
// proposals of a former leader may or may not be committed. Each instance must be bought
// exactly once and never be forgotten.
func TestPurchasesSurviveLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"))
		s.lossRate = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		for range 30 {
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				s.elect()
			case 2:
				s.soldOut = units.DataCentre(fmt.Sprint("dc-", rapid.IntRange(0, 3).Draw(t, "refusing")))
			case 3:
				s.reclaim(rapid.IntRange(0, 20).Draw(t, "reclaimed"))
			}
			s.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "for")) * tickInterval)
			if got, want := s.violation, ""; got != want {
				t.Fatalf("violated invariant: got %q, want none", got)
			}
		}
		s.lossRate = 0
		s.soldOut = ""
		s.run(3 * time.Minute)
		if got, want := s.remainingSlots(), s.demand.MinSlots; got < want {
			t.Fatalf("slots without the largest data centre: got %d, want at least %d", got, want)
		}
		for _, i := range s.instances {
			p := s.ledger[i.token]
			if got, want := p.GetState(), messages.PurchaseState_PURCHASE_STATE_LAUNCHED; i.endsAt.IsZero() && got != want {
				t.Fatalf("state of the purchase of a running instance: got %s, want %s", got, want)
			}
		}
	})
}

// Nothing fails while the fleet is bought over ten leaders; the instances in the end must be
// exactly those of one plan.
func TestNothingIsBoughtTwice(t *testing.T) {
	s := newSimulation(5)
	planned := len(Plan(s.demand.MinSlots, nil, s.offers, s.demand.LoadTime))
	for range 10 {
		s.run(3 * time.Second)
		s.elect()
	}
	s.run(time.Minute)
	if got, want := len(s.instances), planned; got != want {
		t.Errorf("instances launched: got %d, want %d", got, want)
	}
}

// The platform gives a minute's notice of one instance. Its replacement must be bought at the
// notice; bought at the loss, it would leave the service without its reserve until it has
// loaded.
func TestReplacementStartsAtTheNotice(t *testing.T) {
	s := newSimulation(6)
	s.run(2 * time.Minute)
	s.notice = time.Minute
	s.reclaim(0)
	s.run(20 * time.Second)
	if got, want := s.remainingSlots(), s.demand.MinSlots; got < want {
		t.Errorf("slots without the noticed instance and the largest data centre: got %d, want at least %d", got, want)
	}
	if got, want := s.instances[0].ended, false; got != want {
		t.Errorf("instance with the notice has ended: got %t, want %t", got, want)
	}
}

// The load changes by half every few seconds. Buying and releasing with it would pay for
// loading over and over: nothing may change after the first rise.
func TestSwingingDemandChangesNothing(t *testing.T) {
	s := newSimulation(7)
	s.demand.MinSlots = 0
	s.demand.UsedSlots = 60
	s.run(2 * time.Minute)
	before, releases := len(s.instances), s.released
	for i := range 100 {
		s.demand.UsedSlots = 60 - 30*(i%2)
		s.run(5 * time.Second)
	}
	if got, want := len(s.instances)+s.released, before+releases; got != want {
		t.Errorf("purchases and releases: got %d, want %d", got, want)
	}
}

// The demand falls to a third permanently. Instances are released one at a time after the
// cool-down, and never below what the remaining demand needs.
func TestSurplusIsGivenBack(t *testing.T) {
	s := newSimulation(8)
	s.demand.MinSlots = 16
	s.demand.UsedSlots = 90
	s.run(2 * time.Minute)
	before := s.remainingSlots()
	s.demand.UsedSlots = 20
	s.run(20 * time.Minute)
	if got, want := s.remainingSlots() < before, true; got != want {
		t.Errorf("capacity has fallen from %d: got %t, want %t", before, got, want)
	}
	if got, want := s.remainingSlots(), 25; got < want {
		t.Errorf("slots without the largest data centre: got %d, want at least %d", got, want)
	}
}

// A data centre is sold out. The buyer must turn to others and ask the sold-out one less and
// less often, or each tick would send it a request.
func TestRefusedOffersAreBackedOff(t *testing.T) {
	s := newSimulation(9)
	s.soldOut = "dc-0"
	s.run(3 * time.Minute)
	if got, want := s.remainingSlots(), s.demand.MinSlots; got < want {
		t.Errorf("slots without the largest data centre: got %d, want at least %d", got, want)
	}
	if got, want := s.refused, 12; got > want {
		t.Errorf("refused requests in 3 minutes: got %d, want at most %d", got, want)
	}
}

// A leader that has been replaced still has proposals in flight; committed late, they must not
// make an instance that was released count again.
func TestStatesOnlyGoForward(t *testing.T) {
	states := []messages.PurchaseState{0, 1, 2, 3, 4, 5}
	for _, from := range states[1:] {
		for _, to := range states[:from+1] {
			got := CanReplace(&messages.Purchase{State: from}, &messages.Purchase{State: to})
			if want := false; got != want {
				t.Errorf("from %s to %s: got %t, want %t", from, to, got, want)
			}
		}
	}
	if got, want := CanReplace(nil, &messages.Purchase{State: 2}), false; got != want {
		t.Errorf("launched without a planned state: got %t, want %t", got, want)
	}
}

// simulation is a leader, its log and the platform.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	buyer     *Buyer
	term      units.Term
	offers    []Offer
	demand    Demand
	lossRate  float64
	soldOut   units.DataCentre
	notice    time.Duration
	ledger    map[string]*messages.Purchase
	proposals []*messages.Purchase
	instances []*instance
	refused   int
	released  int
	violation string
	delayed   []*messages.Purchase
}

type instance struct {
	id, token string
	offer     Offer
	bootedAt  time.Time
	endsAt    time.Time
	ended     bool
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		now:    time.Unix(1000, 0),
		random: rand.New(rand.NewPCG(seed, 3)),
		ledger: make(map[string]*messages.Purchase),
		notice: 5 * time.Second,
		demand: Demand{
			Service:          "s",
			MinSlots:         64,
			MinOnDemandSlots: 16,
			MaxInstances:     24,
			LoadTime:         time.Minute,
		},
	}
	for d := range 4 {
		for c, class := range []units.MachineClass{"small", "large"} {
			s.offers = append(s.offers, Offer{
				DataCentre:      units.DataCentre(fmt.Sprint("dc-", d)),
				Class:           class,
				Price:           units.Price(float64(c+1) * (1 + 0.1*float64(d))),
				ReclaimsPerHour: 0.1,
				Slots:           8 * (c + 1),
			})
		}
		s.offers = append(s.offers, Offer{
			DataCentre: units.DataCentre(fmt.Sprint("dc-", d)),
			Class:      "small",
			OnDemand:   true,
			Price:      3,
			Slots:      8,
		})
	}
	s.elect()
	return s
}

// elect replaces the leader; what the old one proposed is committed or lost.
func (s *simulation) elect() {
	s.term++
	for _, p := range s.proposals {
		if s.random.IntN(2) == 0 {
			s.commit(p)
		}
	}
	s.proposals = nil
	s.buyer = &Buyer{Options: testOptions}
	s.buyer.Step(s.now, LeadershipGained{Term: s.term})
}

func (s *simulation) commit(p *messages.Purchase) {
	if CanReplace(s.ledger[p.GetToken()], p) {
		s.ledger[p.GetToken()] = p
	}
}

func (s *simulation) run(span time.Duration) {
	for range span / tickInterval {
		s.now = s.now.Add(tickInterval)
		s.step()
	}
}

func (s *simulation) step() {
	// Proposals are committed in order, each after a delay.
	for len(s.proposals) > 0 && s.random.IntN(3) > 0 {
		s.commit(s.proposals[0])
		s.proposals = s.proposals[1:]
	}
	// A delayed request reaches the platform after others.
	if len(s.delayed) > 0 && s.random.IntN(20) == 0 {
		delayed := s.delayed[0]
		s.delayed = s.delayed[1:]
		s.launch(delayed)
	}
	listed := InstancesListed{At: s.now}
	t := Ticked{
		Offers:      s.offers,
		Demands:     []Demand{s.demand},
		MaxStarting: 8,
	}
	for _, i := range s.instances {
		i.ended = i.ended || !i.endsAt.IsZero() && s.now.After(i.endsAt)
		if i.ended {
			continue
		}
		listed.Instances = append(listed.Instances, Instance{
			ID:             i.id,
			Token:          i.token,
			ReclaimNoticed: !i.endsAt.IsZero(),
		})
		if s.now.After(i.bootedAt) {
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
	for _, p := range s.ledger {
		t.Ledger = append(t.Ledger, p)
	}
	if s.random.Float64() >= s.lossRate {
		s.buyer.Step(s.now, listed)
	}
	for _, action := range s.buyer.Step(s.now, t) {
		s.carryOut(action)
	}
}

func (s *simulation) carryOut(action Action) {
	switch a := action.(type) {
	case Commit:
		s.proposals = append(s.proposals, a.Purchase)
	case Launch:
		s.launch(a.Purchase)
	case Release:
		for _, i := range s.instances {
			if i.token == a.Purchase.GetToken() && i.endsAt.IsZero() {
				s.released++
				i.endsAt = s.now.Add(s.notice)
			}
		}
	}
}

func (s *simulation) launch(p *messages.Purchase) {
	if s.random.Float64() < s.lossRate {
		s.delayed = append(s.delayed, p)
	}
	if s.ledger[p.GetToken()] == nil {
		s.violation = "a request before its purchase was committed"
	}
	if s.random.Float64() < s.lossRate {
		return
	}
	answer := LaunchAnswered{Token: p.GetToken()}
	if known := slices.IndexFunc(s.instances, func(i *instance) bool { return i.token == p.GetToken() }); known >= 0 {
		answer.Instance = s.instances[known].id
	} else if p.GetDataCentre() == string(s.soldOut) {
		s.refused++
		answer.Reason = "sold out"
	} else {
		answer.Instance = fmt.Sprint("i-", len(s.instances))
		offer := s.offers[slices.IndexFunc(s.offers, func(o Offer) bool { return o.key() == keyOf(p) })]
		s.instances = append(s.instances, &instance{
			id:       answer.Instance,
			token:    p.GetToken(),
			offer:    offer,
			bootedAt: s.now.Add(bootTime),
		})
	}
	if s.random.Float64() >= s.lossRate {
		for _, action := range s.buyer.Step(s.now, answer) {
			s.carryOut(action)
		}
	}
}

func (s *simulation) reclaim(index int) {
	if index < len(s.instances) && !s.instances[index].ended && s.instances[index].endsAt.IsZero() {
		s.instances[index].endsAt = s.now.Add(s.notice)
	}
}

func (s *simulation) remainingSlots() int {
	capacity := make(map[units.DataCentre]int)
	for _, i := range s.instances {
		if i.endsAt.IsZero() {
			capacity[i.offer.DataCentre] += i.offer.Slots
		}
	}
	return RemainingSlots(capacity)
}
