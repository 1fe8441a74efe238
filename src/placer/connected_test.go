package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// simulatedEntry is one entry with its own connections.
type simulatedEntry struct {
	*Placer
	fleet Fleet
	// idleSince holds the time of last use of each idle connection, by upstream.
	idleSince map[units.Upstream][]time.Time
}

// inFlightCall is a call in flight that ends at a given time.
type inFlightCall struct {
	entry    int
	upstream *tracker.Upstream
	ends     time.Time
}

// fleetSimulation configures a simulation of entries that place calls at upstreams.
type fleetSimulation struct {
	entries, upstreams int
	// rate is the number of calls per second at all entries together, and callDuration the
	// mean duration of one call.
	rate         float64
	callDuration time.Duration
	// idleTimeout is how long a connection may stay idle before it is closed.
	idleTimeout time.Duration
}

// simulationResult is the outcome of a run: the fraction of calls that opened a connection,
// and the ratio of the most calls at one upstream to the mean, averaged over the run.
type simulationResult struct {
	newConnections float64
	imbalance      float64
}

// runningSimulation is a simulation in progress.
type runningSimulation struct {
	fleetSimulation
	now    time.Time
	random *rand.Rand
	fleet  []*simulatedEntry
	calls  []inFlightCall
	// callsAt counts the calls at each upstream.
	callsAt                map[units.Upstream]int
	placed, newConnections int
	imbalance              float64
	samples                int
}

func (f fleetSimulation) simulate(seed uint64) simulationResult {
	const step = 20 * time.Millisecond
	const steps, warm, poll = 1000, 300, 10
	p := &runningSimulation{
		fleetSimulation: f,
		now:             start,
		random:          rand.New(rand.NewPCG(seed, 1)),
		callsAt:         make(map[units.Upstream]int),
	}
	for i := range f.entries {
		p.fleet = append(p.fleet, p.entry(i))
	}
	for n := range steps {
		p.now = p.now.Add(step)
		p.endCalls()
		if n%poll == 0 {
			p.poll()
		}
		if n == warm {
			p.placed, p.newConnections = 0, 0
		}
		for expected := f.rate * step.Seconds(); p.random.Float64() < expected; expected-- {
			p.place(p.random.IntN(f.entries))
		}
		if n > warm && n%poll == poll/2 {
			p.sample()
		}
	}
	return simulationResult{
		newConnections: float64(p.newConnections) / float64(p.placed),
		imbalance:      p.imbalance / float64(p.samples),
	}
}

func (r *runningSimulation) entry(i int) *simulatedEntry {
	e := &simulatedEntry{idleSince: make(map[units.Upstream][]time.Time)}
	e.Placer = &Placer{
		DataCentre:  units.DataCentre(fmt.Sprintf("dc-%d", i%6)),
		Now:         func() time.Time { return r.now },
		Fleet:       func() Fleet { return e.fleet },
		MaxInFlight: func(*tracker.Upstream) int { return 5 },
	}
	e.fleet = make(Fleet)
	for u := range r.upstreams {
		e.fleet["s"] = append(e.fleet["s"], e.NewCandidate(&tracker.Upstream{
			Name:       units.Upstream(fmt.Sprintf("u%03d", u)),
			Service:    "s",
			DataCentre: units.DataCentre(fmt.Sprintf("dc-%d", u%6)),
			Slots:      12,
			Local:      &tracker.LocalState{},
		}, false, false))
	}
	return e
}

// endCalls removes the calls that have ended and marks their connections idle.
func (r *runningSimulation) endCalls() {
	kept := r.calls[:0]
	for _, c := range r.calls {
		if r.now.Before(c.ends) {
			kept = append(kept, c)
			continue
		}
		e := r.fleet[c.entry]
		r.callsAt[c.upstream.Name]--
		c.upstream.Local.InFlight.Add(-1)
		c.upstream.Local.IdleConnections.Add(1)
		e.idleSince[c.upstream.Name] = append(e.idleSince[c.upstream.Name], r.now)
	}
	r.calls = kept
}

// poll gives each entry the load of the other entries, and closes connections that have
// been idle for longer than idleTimeout.
func (r *runningSimulation) poll() {
	total := make(map[Hash]InFlightLoad)
	for name, count := range r.callsAt {
		total[HashOf(name)] = InFlightLoad{Calls: int64(count)}
	}
	for _, e := range r.fleet {
		e.SetPeerLoads(&PeerLoads{
			At:    r.now,
			Loads: Subtract(total, e.InFlightLoads()),
		})
		for _, c := range e.fleet["s"] {
			idle := e.idleSince[c.Name]
			for len(idle) > 0 && r.now.Sub(idle[0]) > r.idleTimeout {
				idle = idle[1:]
				c.Local.IdleConnections.Add(-1)
			}
			e.idleSince[c.Name] = idle
		}
	}
}

func (r *runningSimulation) place(i int) {
	e := r.fleet[i]
	u := e.Pick(&dispatcher.Call{Service: "s"}, nil)
	u.Local.InFlight.Add(1)
	r.callsAt[u.Name]++
	r.placed++
	r.calls = append(r.calls, inFlightCall{
		entry:    i,
		upstream: u,
		ends:     r.now.Add(time.Duration((0.5 + r.random.Float64()) * float64(r.callDuration))),
	})
	idle := e.idleSince[u.Name]
	if len(idle) == 0 {
		r.newConnections++
		return
	}
	e.idleSince[u.Name] = idle[:len(idle)-1]
	u.Local.IdleConnections.Add(-1)
}

// sample records the current imbalance between upstreams.
func (r *runningSimulation) sample() {
	most := 0
	for _, count := range r.callsAt {
		most = max(most, count)
	}
	r.imbalance += float64(most) * float64(r.upstreams) / float64(max(1, len(r.calls)))
	r.samples++
}

// About two hundred entries place some calls per second each among a hundred upstreams.
// Placed by load alone, nearly every call goes to an upstream that its entry has no connection
// to: each call waits for connection setup, which also takes the upstreams' time and uses up
// their connection limits. Most calls must find an idle connection, and the load must be as
// even as without this preference.
func TestCallsPreferIdleConnections(t *testing.T) {
	cases := map[string]struct {
		run            fleetSimulation
		newConnections float64
		imbalance      float64
	}{
		"large fleet": {
			run:            fleetSimulation{entries: 195, upstreams: 100, rate: 600, callDuration: 600 * time.Millisecond, idleTimeout: 2500 * time.Millisecond},
			newConnections: 0.25,
			imbalance:      3,
		},
		"small fleet": {
			run:            fleetSimulation{entries: 8, upstreams: 18, rate: 150, callDuration: 600 * time.Millisecond, idleTimeout: 2500 * time.Millisecond},
			newConnections: 0.1,
			imbalance:      3,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := c.run.simulate(1)
			t.Logf("calls that opened a connection: %.2f; busiest upstream: %.1f times the mean load", got.newConnections, got.imbalance)
			if got.newConnections > c.newConnections {
				t.Errorf("fraction of calls that opened a connection: got %.2f, want at most %.2f", got.newConnections, c.newConnections)
			}
			if got.imbalance > c.imbalance {
				t.Errorf("load of the busiest upstream: got %.1f times the mean, want at most %.1f", got.imbalance, c.imbalance)
			}
		})
	}
}
