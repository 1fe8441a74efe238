package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

var start = time.Unix(1000, 0)

type world struct {
	*Placer
	now   time.Time
	fleet Fleet
}

func newWorld(upstreams int) *world {
	w := &world{now: start}
	w.Placer = &Placer{
		DataCentre: "dc-0",
		Now:        func() time.Time { return w.now },
		Fleet:      func() Fleet { return w.fleet },
		MostCalls:  func(*tracker.Upstream) int { return 20 },
	}
	w.fleet = make(Fleet)
	for i := range upstreams {
		w.fleet["s"] = append(w.fleet["s"], w.Candidate(&tracker.Upstream{
			Name:       units.Upstream(fmt.Sprintf("u%d", i)),
			Service:    "s",
			DataCentre: units.DataCentre(fmt.Sprintf("dc-%d", i%2)),
			Slots:      8,
			Live:       &tracker.Live{},
		}, false, false))
	}
	return w
}

func prompt(shared uint64) *dispatcher.Call {
	return &dispatcher.Call{
		Service: "s",
		Prompt:  5110,
		Parts:   []dispatcher.Part{{ID: 1, Tokens: 100}, {ID: shared, Tokens: 5000}, {ID: 99, Tokens: 10}},
	}
}

// Calls that share a long part must meet at one upstream, from every entry, or
// each upstream reads the part again; a hot part must spread before its home is full.
func TestSharedPartsStayTogetherUntilTheirHomeIsBusy(t *testing.T) {
	a, b := newWorld(6), newWorld(6)
	for shared := range uint64(20) {
		first := a.Pick(prompt(shared), nil).Name
		if got := b.Pick(prompt(shared), nil).Name; got != first {
			t.Errorf("home of part %d: got %s at another entry, want %s", shared, got, first)
		}
	}
	used := make(map[units.Upstream]int)
	for range 30 {
		u := a.Pick(prompt(7), nil)
		u.Live.InFlight.Add(1)
		used[u.Name]++
	}
	for name, calls := range used {
		if calls > 8 {
			t.Errorf("calls at %s: got %d, want at most its 8 places", name, calls)
		}
	}
}

func TestPickLeavesOut(t *testing.T) {
	cases := map[string]struct {
		change func(w *world)
		never  units.Upstream
	}{
		"the busiest": {
			change: func(w *world) { w.fleet["s"][0].Live.InFlight.Store(6) },
			never:  "u0",
		},
		"one that others keep busy": {
			change: func(w *world) { w.State(w.fleet["s"][0].Upstream, Load{Running: 6, Waiting: 2, Slots: 8}) },
			never:  "u0",
		},
		"one that cannot be reached": {
			change: func(w *world) {
				w.Observe(w.fleet["s"][0].Upstream, dispatcher.Result{Kind: dispatcher.NotRun, Unreached: true})
			},
			never: "u0",
		},
		"one that fails again and again": {
			change: func(w *world) {
				for range 3 {
					w.Observe(w.fleet["s"][0].Upstream, dispatcher.Result{Kind: dispatcher.Lost})
				}
			},
			never: "u0",
		},
		"a silent one": {
			change: func(w *world) { w.fleet["s"][0].Silent = true },
			never:  "u0",
		},
		"one at its bound of calls": {
			change: func(w *world) { w.fleet["s"][0].Live.InFlight.Store(20) },
			never:  "u0",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(3)
			c.change(w)
			for range 50 {
				if got := w.Pick(&dispatcher.Call{Service: "s"}, nil).Name; got == c.never {
					t.Fatalf("picked %s", got)
				}
			}
		})
	}
}

// A cut between the upstreams and control makes all of them silent at once, while
// calls from here still reach them. They must stay in use.
func TestSilentUpstreamsStayInUseWhereNoneIsBetter(t *testing.T) {
	w := newWorld(3)
	for _, c := range w.fleet["s"] {
		c.Silent = true
	}
	if w.Pick(&dispatcher.Call{Service: "s"}, nil) == nil {
		t.Error("upstream while all are silent: got none, want one")
	}
	w.Observe(w.fleet["s"][1].Upstream, dispatcher.Result{Kind: dispatcher.Answered})
	for range 20 {
		if got, want := w.Pick(&dispatcher.Call{Service: "s"}, nil).Name, units.Upstream("u1"); got != want {
			t.Fatalf("upstream: got %s, want %s, which has just answered", got, want)
		}
	}
}

func TestPickPrefersItsDataCentreAmongEquals(t *testing.T) {
	w := newWorld(4)
	near := 0
	for range 200 {
		if w.Pick(&dispatcher.Call{Service: "s"}, nil).DataCentre == w.DataCentre {
			near++
		}
	}
	if near < 190 {
		t.Errorf("calls in the own data centre: got %d of 200, want nearly all", near)
	}
}

// A long prompt is being read at an upstream on account of another entry. A call
// that comes here must not wait behind it, though this entry has sent nothing there.
func TestPickAvoidsWhatOthersKeepReading(t *testing.T) {
	w := newWorld(3)
	busy := w.fleet["s"][0].Name
	w.SetOthers(&Others{
		At:    w.now,
		Loads: map[Hash]UnderWay{HashOf(busy): {Calls: 1, Prefill: 50_000}},
	})
	for range 50 {
		if got := w.Pick(&dispatcher.Call{Service: "s"}, nil).Name; got == busy {
			t.Fatalf("picked %s, which reads a long prompt", got)
		}
	}
	w.now = w.now.Add(2 * othersExpiry)
	used := 0
	for range 200 {
		if w.Pick(&dispatcher.Call{Service: "s"}, nil).Name == busy {
			used++
		}
	}
	if used == 0 {
		t.Error("picked after the word of it is old: got never, want again")
	}
}

// A burst is more than all upstreams can read in time. Calls that would come far
// too late are refused at once, so that the others are in time; the most urgent
// and those whose wait is short are placed.
func TestHopelessCallsAreRefused(t *testing.T) {
	cases := map[string]struct {
		backlog int64
		each    time.Duration
		urgency int
		route   int
		tried   []units.Upstream
		want    bool
	}{
		"a short wait":         {backlog: 20_000, urgency: 2, route: 2, want: true},
		"long at slow ones":    {backlog: 20_000, each: 40 * time.Microsecond, urgency: 2, route: 2},
		"short at fast ones":   {backlog: 200_000, each: 3 * time.Microsecond, urgency: 2, route: 2, want: true},
		"far too long":         {backlog: 200_000, urgency: 2, route: 2},
		"far too long, urgent": {backlog: 200_000, urgency: 0, route: 2, want: true},
		"first of its account": {backlog: 200_000, urgency: 2, route: 0, want: true},
		"under way":            {backlog: 200_000, urgency: 2, route: 2, tried: []units.Upstream{"u0"}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(4)
			w.Each = func(units.Service) time.Duration { return c.each }
			for _, candidate := range w.fleet["s"] {
				candidate.Live.Prefill.Store(c.backlog)
			}
			call := prompt(7)
			call.Urgency = c.urgency
			call.RouteUrgency = c.route
			call.Target = 500 * time.Millisecond
			if got := w.Pick(call, c.tried) != nil; got != c.want {
				t.Errorf("placed: got %t, want %t", got, c.want)
			}
		})
	}
}

func BenchmarkPick(b *testing.B) {
	w := newWorld(18)
	call := prompt(7)
	b.ReportAllocs()
	for b.Loop() {
		w.Pick(call, nil)
	}
}
