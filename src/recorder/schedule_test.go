package recorder

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Callers send the same keys to several entries at once and again, while
// entries freeze, wake, die and restart empty, views change under way, and
// messages are late, crossed, repeated and lost. Whatever happens: no key runs
// twice, each resend that gets an answer gets the one of that run, who is told
// "not run" had no run, and a majority of the owners held each intent before
// its dispatch, which was not after the lease.
func TestKeysRunAtMostOnceUnderAllSchedules(t *testing.T) {
	reached := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t, reached)
		anyNode := func() *benchNode { return b.nodes[b.anyIndex(len(b.nodes))] }
		deliver := func(t *rapid.T) {
			b.t = t
			for range 8 {
				if index := b.anyIndex(len(b.wires)); index >= 0 {
					b.deliver(index, b.random.IntN(10) == 0)
				}
			}
		}
		advance := func(t *rapid.T) {
			b.t = t
			if index := b.anyIndex(len(b.calls)); index >= 0 {
				b.advance(b.calls[index])
			}
		}
		tick := func(t *rapid.T) {
			b.t = t
			b.tick(time.Duration(5+b.random.IntN(56)) * time.Millisecond)
		}
		learn := func(t *rapid.T) {
			b.t = t
			if node := anyNode(); !node.frozen {
				b.stepOwner(node, Viewed{View: NewView(b.view, benchSlots)})
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
			"":                func(*rapid.T) { reached["steps"]++ },
			"learn":           learn,
			"learn more":      learn,
			"begin": func(t *rapid.T) {
				b.t = t
				b.begin(anyNode())
			},
			"lose": func(t *rapid.T) {
				b.t = t
				if index := b.anyIndex(len(b.wires)); index >= 0 {
					b.wires = slices.Delete(b.wires, index, index+1)
				}
			},
			"end a lease": func(t *rapid.T) {
				b.t = t
				if b.random.IntN(13) == 0 {
					b.tick(benchLease + 2*leaseGrace)
				}
			},
			"restart": func(t *rapid.T) {
				b.t = t
				if b.random.IntN(25) == 0 {
					b.restart(b.anyIndex(len(b.nodes)))
				}
			},
			"freeze or wake": func(t *rapid.T) {
				b.t = t
				node := anyNode()
				node.frozen = !node.frozen && b.random.IntN(5) == 0
			},
			"change the view": func(t *rapid.T) {
				b.t = t
				if b.random.IntN(10) == 0 {
					// Most views lose one entry at most; some shrink to a few.
					most := benchEntries - 1
					if b.random.IntN(3) == 0 {
						most = 1
					}
					out := b.random.Perm(benchEntries + 1)[:1+b.random.IntN(benchEntries-most+1)]
					b.commit(func(i int) bool { return !slices.Contains(out, i) })
				}
			},
		})
	})
	for _, want := range []string{
		"beginning 1", "beginning 2", "beginning 4", "beginning 5",
		"intending 1", "intending 6", "ending 8",
	} {
		if got := reached[want]; got == 0 {
			t.Errorf("outcome %q over all schedules: got %d, want some", want, got)
		}
	}
	t.Log(reached)
}
