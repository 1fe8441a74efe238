package recorder

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Callers send the same keys to several entries concurrently and repeatedly, while
// entries are suspended, resume, crash and restart without records, views change, and
// messages are delayed, reordered, duplicated and lost. In all schedules: no key runs
// twice; each resend that gets an answer gets the answer of that run; a key that is
// reported as not run has not run; and each call is dispatched only within its lease and
// after a majority of the owners has stored its intent.
func TestKeysRunAtMostOnceUnderAllSchedules(t *testing.T) {
	outcomes := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, outcomes)
		anyNode := func() *simNode { return s.nodes[s.anyIndex(len(s.nodes))] }
		deliver := func(t *rapid.T) {
			s.t = t
			for range 8 {
				if index := s.anyIndex(len(s.inFlight)); index >= 0 {
					s.deliver(index, s.random.IntN(10) == 0)
				}
			}
		}
		advance := func(t *rapid.T) {
			s.t = t
			if index := s.anyIndex(len(s.calls)); index >= 0 {
				s.advance(s.calls[index])
			}
		}
		tick := func(t *rapid.T) {
			s.t = t
			s.tick(time.Duration(5+s.random.IntN(56)) * time.Millisecond)
		}
		deliverView := func(t *rapid.T) {
			s.t = t
			if node := anyNode(); !node.frozen {
				s.stepOwner(node, ViewCommitted{View: NewView(s.view, simSlots)})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"deliver":         deliver,
			"deliver more":    deliver,
			"deliver again":   deliver,
			"deliver further": deliver,
			"advance":         advance,
			"advance another": advance,
			"tick":            tick,
			"tick on":         tick,
			"":                func(*rapid.T) { outcomes["steps"]++ },
			"learn":           deliverView,
			"learn more":      deliverView,
			"begin": func(t *rapid.T) {
				s.t = t
				s.begin(anyNode())
			},
			"lose": func(t *rapid.T) {
				s.t = t
				if index := s.anyIndex(len(s.inFlight)); index >= 0 {
					s.inFlight = slices.Delete(s.inFlight, index, index+1)
				}
			},
			"end a lease": func(t *rapid.T) {
				s.t = t
				if s.random.IntN(13) == 0 {
					s.tick(simLease + 2*leaseGrace)
				}
			},
			"restart": func(t *rapid.T) {
				s.t = t
				if s.random.IntN(25) == 0 {
					s.restart(s.anyIndex(len(s.nodes)))
				}
			},
			"freeze or wake": func(t *rapid.T) {
				s.t = t
				node := anyNode()
				node.frozen = !node.frozen && s.random.IntN(5) == 0
			},
			"change the view": func(t *rapid.T) {
				s.t = t
				if s.random.IntN(10) == 0 {
					// Most views lose at most one entry; some shrink to a few.
					minMembers := simEntries - 1
					if s.random.IntN(3) == 0 {
						minMembers = 1
					}
					absent := s.random.Perm(simEntries + 1)[:1+s.random.IntN(simEntries-minMembers+1)]
					s.commit(func(i int) bool { return !slices.Contains(absent, i) })
				}
			},
		})
	})
	for _, want := range []string{
		"beginning 1", "beginning 2", "beginning 4", "beginning 5",
		"intending 1", "intending 6", "ending 8",
	} {
		if got := outcomes[want]; got == 0 {
			t.Errorf("outcome %q over all schedules: got %d, want some", want, got)
		}
	}
	t.Log(outcomes)
}
