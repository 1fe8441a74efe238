package allocator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/granter"
	"github.com/rosecroft/rosecroft/src/units"
)

// lateCase is how badly polls fare while an account turns from 0.3 to 7.5 times its limit.
type lateCase struct {
	entries int
	// silence is for how long no leader answers from the moment at which the account turns hot, and then again in
	// each cycle; cycle is 0 if it is silent only once.
	silence, cycle time.Duration
	// delay is how late responses are, and restartInterval the time between restarts of one entry after another.
	delay           time.Duration
	restartInterval time.Duration
}

// run plays the case and returns the greatest number of tokens in a window, relative to what is allowed.
func (c lateCase) run(seed uint64) float64 {
	const (
		step     = 10 * time.Millisecond
		meanSize = 12_000.0
		hotFrom  = 10 * time.Second
		length   = 30 * time.Second
	)
	f := newFleet(c.entries, false)
	f.grants = newGrantFleet(f)
	random := rand.New(rand.NewPCG(seed, 5))
	incarnations := make([]units.Incarnation, c.entries)
	restarted, dueAt := 0, hotFrom
	for passed := time.Duration(0); passed < length; passed += step {
		now := start.Add(passed)
		n := int(passed / step)
		hot := passed - hotFrom
		silent := hot >= 0 && (hot < c.silence || c.cycle > 0 && hot%c.cycle < c.silence)
		for i := range f.meters {
			// An entry that waits for its response sends no other poll.
			phase := (n + i*7) % max(20, int(c.delay/step)+5)
			switch {
			case silent:
			case phase == 0:
				f.pollOf(now, i, incarnations[i])
			case phase == 3+int(c.delay/step):
				f.respond(now, i)
			}
		}
		if c.restartInterval > 0 && passed >= dueAt {
			i := restarted % c.entries
			incarnations[i]++
			f.restartEntry(i)
			restarted++
			dueAt += c.restartInterval
		}
		times := 0.3
		if hot >= 0 {
			times = 7.5
		}
		for expected := times * f.account.Rate * step.Seconds() / meanSize; random.Float64() < expected; expected-- {
			f.call(now, random.IntN(c.entries), meanSize*2*random.Float64())
		}
	}
	return f.maximum() / f.allowed()
}

// Guards against a limit that holds only while polls are on time and no entry restarts.
func TestLimitHoldsWithLatePollsAndRestarts(t *testing.T) {
	cases := map[string]lateCase{
		"no leader for 4 s, 7 entries":  {entries: 7, silence: 4 * time.Second},
		"no leader for 4 s, 62 entries": {entries: 62, silence: 4 * time.Second},
		"restarts, a leader that is often silent, late responses": {
			entries:         62,
			silence:         3 * time.Second,
			cycle:           4 * time.Second,
			delay:           400 * time.Millisecond,
			restartInterval: 200 * time.Millisecond,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				got := c.run(seed)
				t.Logf("seed %d: %.3f of what is allowed", seed, got)
				if want := 1.0; got > want {
					t.Errorf("seed %d, tokens run in one window: got %.3f of what is allowed, want at most %.0f", seed, got, want)
				}
			}
		})
	}
}

// pollOf sends a poll of an entry's incarnation to the allocator and, with grants, to the ledger.
func (f *fleet) pollOf(now time.Time, i int, incarnation units.Incarnation) {
	f.allocator.RecordDemand(now, entryName(i), incarnation, f.meters[i].ReportDemand(now))
	if f.grants != nil {
		f.grants.poll(now, i, incarnation)
	}
}

// restartEntry starts an entry again, which knows nothing of before.
func (f *fleet) restartEntry(i int) {
	f.meters[i] = f.newMeter()
	f.grants.restart(i)
}

// grantFleet is what the entries of a fleet are granted.
type grantFleet struct {
	fleet     *fleet
	ledger    *granter.Ledger
	holders   []*granter.Holder
	responses []*granter.Response
	sentAt    []time.Time
	number    uint64
}

func newGrantFleet(f *fleet) *grantFleet {
	g := &grantFleet{
		fleet: f,
		ledger: &granter.Ledger{
			Window: window.Length,
			Lease:  f.allocator.Lease,
			Since:  f.allocator.Since,
		},
		holders:   make([]*granter.Holder, len(f.meters)),
		responses: make([]*granter.Response, len(f.meters)),
		sentAt:    make([]time.Time, len(f.meters)),
	}
	for i := range g.holders {
		g.restart(i)
	}
	return g
}

func (g *grantFleet) restart(i int) {
	g.responses[i] = nil
	g.holders[i] = &granter.Holder{
		Lease:  g.fleet.allocator.Lease * 9 / 10,
		Window: window.Length,
	}
	// Before the first response, an entry serves no calls.
	g.holders[i].Apply(start, start, granter.Response{})
}

func (g *grantFleet) poll(now time.Time, i int, incarnation units.Incarnation) {
	const leadership = 1
	g.number++
	usage := g.holders[i].Report(now, leadership)
	response := &granter.Response{
		Leadership: leadership,
		Stamp:      now.UnixNano(),
		Ceilings:   make(map[units.Account]float64),
	}
	response.Grants = g.ledger.Record(now, granter.Report{
		Entry:       entryName(i),
		Incarnation: incarnation,
		Number:      g.number,
		Stamp:       usage.Stamp,
		Uses:        usage.Uses,
	})
	account := g.fleet.account
	share := g.fleet.allocator.DemandShare(now, entryName(i), account.Name)
	if ceiling, changed := g.ledger.Grant(now, entryName(i), account.Name, window.Allowed(account), share); changed {
		response.Ceilings[account.Name] = ceiling
	}
	if g.ledger.Propose(now, map[units.Account]float64{account.Name: window.Allowed(account)}) != nil {
		g.ledger.Commit()
	}
	g.responses[i], g.sentAt[i] = response, now
}

func (g *grantFleet) respond(now time.Time, i int) {
	if g.responses[i] != nil {
		g.holders[i].Apply(now, g.sentAt[i], *g.responses[i])
		g.responses[i] = nil
	}
}

func (g *grantFleet) take(now time.Time, i int, size float64) bool {
	return g.holders[i].Take(now, g.fleet.account.Name, size)
}
