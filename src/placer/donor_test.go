package placer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
	"github.com/rosecroft/rosecroft/src/withholder"
)

// A call goes to an upstream that has not cached its long prompt prefix. The donor must be
// the prefix's owner, the same one at every entry, and never the chosen upstream itself. An
// upstream that computes the prefix again delays the call and those behind it.
func TestDonorOwnsPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstreams := rapid.IntRange(2, 20).Draw(t, "upstreams")
		call := callWithPrefix(rapid.Uint64().Draw(t, "part"))
		a, b := newFixture(upstreams), newFixture(upstreams)
		owners := ownersOf(call.Prefixes[1].ID, a.fleet["s"])
		for _, c := range a.fleet["s"] {
			want := owners[0].Name
			if c.Name == want {
				want = owners[1].Name
			}
			for _, f := range []*fixture{a, b} {
				if got := f.Donor(call, c.Upstream); got == nil || got.Name != want {
					t.Fatalf("donor for %s: got %v, want %s", c.Name, got, want)
				}
			}
		}
	})
}

func TestDonor(t *testing.T) {
	call := callWithPrefix(7)
	leave := func(f *fixture, until time.Time) {
		owner := ownersOf(7, f.fleet["s"])[0]
		owner.TerminatesAt = until
		f.Leaving = func() Fleet { return Fleet{"s": {owner}} }
		var left []*Candidate
		for _, c := range f.fleet["s"] {
			if c != owner {
				left = append(left, c)
			}
		}
		f.fleet = Fleet{"s": left}
	}
	cases := map[string]struct {
		change func(f *fixture)
		call   *dispatcher.Call
		// want is the index of the donor among the prefix's owners, -1 for none.
		want int
	}{
		"the owner":                  {call: call},
		"the owner while it leaves":  {call: call, change: func(f *fixture) { leave(f, f.now.Add(time.Second)) }},
		"not an owner that has left": {call: call, change: func(f *fixture) { leave(f, f.now) }, want: 1},
		"not a silent owner":         {call: call, change: func(f *fixture) { ownersOf(7, f.fleet["s"])[0].Silent = true }, want: 1},
		"not an ejected owner":       {call: call, change: func(f *fixture) { f.eject(ownersOf(7, f.fleet["s"])[0].Upstream) }, want: 1},
		"not an owner that backs off": {call: call, change: func(f *fixture) {
			f.withhold(map[units.Upstream]withholder.State{ownersOf(7, f.fleet["s"])[0].Name: withholder.BackingOff})
		}, want: 1},
		"an owner that says it leaves": {call: call, change: func(f *fixture) {
			f.withhold(map[units.Upstream]withholder.State{ownersOf(7, f.fleet["s"])[0].Name: withholder.Leaving})
		}},
		"none without a shared prefix": {call: &dispatcher.Call{Service: "s", PromptTokens: 5000, Prefixes: call.Prefixes[2:]}, want: -1},
		"none for a short prefix":      {call: &dispatcher.Call{Service: "s", PromptTokens: 110, Prefixes: []dispatcher.PromptPrefix{{ID: 7, Tokens: 100}, {ID: 9, Tokens: 10}}}, want: -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(6)
			owners := ownersOf(7, f.fleet["s"])
			var chosen *tracker.Upstream
			for _, other := range f.fleet["s"] {
				if other != owners[0] && other != owners[1] {
					chosen = other.Upstream
				}
			}
			if c.change != nil {
				c.change(f)
			}
			var got, want units.Upstream
			if donor := f.Donor(c.call, chosen); donor != nil {
				got = donor.Name
			}
			if c.want >= 0 {
				want = owners[c.want].Name
			}
			if got != want {
				t.Errorf("donor: got %q, want %q", got, want)
			}
		})
	}
}

// eject makes calls fail at an upstream until it is ejected.
func (f *fixture) eject(u *tracker.Upstream) {
	for range 3 {
		f.Observe(u, dispatcher.Result{Kind: dispatcher.OutcomeUnknown})
	}
}
