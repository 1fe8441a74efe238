package placer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// A call goes to an upstream that has not read its long shared part. It must be told
// to fetch the part from where it lives, the same place from every entry, and never
// from itself; read again, the part delays that call and those behind it.
func TestDonorIsWhereThePartLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstreams := rapid.IntRange(2, 20).Draw(t, "upstreams")
		call := prompt(rapid.Uint64().Draw(t, "part"))
		a, b := newWorld(upstreams), newWorld(upstreams)
		homes := homesOf(call.Parts[1].ID, a.fleet["s"])
		for _, c := range a.fleet["s"] {
			want := homes[0].Name
			if c.Name == want {
				want = homes[1].Name
			}
			for _, w := range []*world{a, b} {
				if got := w.Donor(call, c.Upstream); got == nil || got.Name != want {
					t.Fatalf("donor for %s: got %v, want %s", c.Name, got, want)
				}
			}
		}
	})
}

func TestDonor(t *testing.T) {
	call := prompt(7)
	leave := func(w *world, until time.Time) {
		home := homesOf(7, w.fleet["s"])[0]
		home.Until = until
		w.Leaving = func() Fleet { return Fleet{"s": {home}} }
		var left []*Candidate
		for _, c := range w.fleet["s"] {
			if c != home {
				left = append(left, c)
			}
		}
		w.fleet = Fleet{"s": left}
	}
	cases := map[string]struct {
		change func(w *world)
		call   *dispatcher.Call
		// want is the place in the part's order of homes, -1 for none.
		want int
	}{
		"the home":                     {call: call},
		"the home that is leaving":     {call: call, change: func(w *world) { leave(w, w.now.Add(time.Second)) }},
		"not the home that has left":   {call: call, change: func(w *world) { leave(w, w.now) }, want: 1},
		"not one that is silent":       {call: call, change: func(w *world) { homesOf(7, w.fleet["s"])[0].Silent = true }, want: 1},
		"not one that fails":           {call: call, change: func(w *world) { w.fail(homesOf(7, w.fleet["s"])[0].Upstream) }, want: 1},
		"none for a call by itself":    {call: &dispatcher.Call{Service: "s", Prompt: 5000, Parts: call.Parts[2:]}, want: -1},
		"none for a short shared part": {call: &dispatcher.Call{Service: "s", Prompt: 110, Parts: []dispatcher.Part{{ID: 7, Tokens: 100}, {ID: 9, Tokens: 10}}}, want: -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(6)
			homes := homesOf(7, w.fleet["s"])
			var chosen *tracker.Upstream
			for _, other := range w.fleet["s"] {
				if other != homes[0] && other != homes[1] {
					chosen = other.Upstream
				}
			}
			if c.change != nil {
				c.change(w)
			}
			var got, want units.Upstream
			if donor := w.Donor(c.call, chosen); donor != nil {
				got = donor.Name
			}
			if c.want >= 0 {
				want = homes[c.want].Name
			}
			if got != want {
				t.Errorf("donor: got %q, want %q", got, want)
			}
		})
	}
}

// fail makes an upstream fail until it is left out.
func (w *world) fail(u *tracker.Upstream) {
	for range 3 {
		w.Observe(u, dispatcher.Result{Kind: dispatcher.Lost})
	}
}
