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

// simulated is one entry of a fleet, with its own connections.
type simulated struct {
	*Placer
	fleet Fleet
	// idleSince holds when each idle connection was used last, by upstream.
	idleSince map[units.Upstream][]time.Time
}

// underWayCall is a call that ends at a moment.
type underWayCall struct {
	entry    int
	upstream *tracker.Upstream
	ends     time.Time
}

// fleetRun plays entries that place calls at upstreams for some time.
type fleetRun struct {
	entries, upstreams int
	// rate is the calls a second of the whole fleet, lasting how long one runs.
	rate    float64
	lasting time.Duration
	// keeps is how long a connection may idle.
	keeps time.Duration
}

// result is what a run came to: the part of calls that made a connection, and the most
// calls that were at one upstream beside the mean.
type result struct {
	made   float64
	uneven float64
}

// playedRun is a run under way.
type playedRun struct {
	fleetRun
	now    time.Time
	random *rand.Rand
	fleet  []*simulated
	calls  []underWayCall
	// at counts the calls at each upstream.
	at           map[units.Upstream]int
	placed, made int
	uneven       float64
	samples      int
}

func (r fleetRun) play(seed uint64) result {
	const step = 20 * time.Millisecond
	const steps, warm, poll = 1000, 300, 10
	p := &playedRun{
		fleetRun: r,
		now:      start,
		random:   rand.New(rand.NewPCG(seed, 1)),
		at:       make(map[units.Upstream]int),
	}
	for i := range r.entries {
		p.fleet = append(p.fleet, p.entry(i))
	}
	for n := range steps {
		p.now = p.now.Add(step)
		p.end()
		if n%poll == 0 {
			p.poll()
		}
		if n == warm {
			p.placed, p.made = 0, 0
		}
		for expected := r.rate * step.Seconds(); p.random.Float64() < expected; expected-- {
			p.place(p.random.IntN(r.entries))
		}
		if n > warm && n%poll == poll/2 {
			p.sample()
		}
	}
	return result{
		made:   float64(p.made) / float64(p.placed),
		uneven: p.uneven / float64(p.samples),
	}
}

func (p *playedRun) entry(i int) *simulated {
	e := &simulated{idleSince: make(map[units.Upstream][]time.Time)}
	e.Placer = &Placer{
		DataCentre: units.DataCentre(fmt.Sprintf("dc-%d", i%6)),
		Now:        func() time.Time { return p.now },
		Fleet:      func() Fleet { return e.fleet },
		MostCalls:  func(*tracker.Upstream) int { return 5 },
	}
	e.fleet = make(Fleet)
	for u := range p.upstreams {
		e.fleet["s"] = append(e.fleet["s"], e.Candidate(&tracker.Upstream{
			Name:       units.Upstream(fmt.Sprintf("u%03d", u)),
			Service:    "s",
			DataCentre: units.DataCentre(fmt.Sprintf("dc-%d", u%6)),
			Slots:      12,
			Live:       &tracker.Live{},
		}, false, false))
	}
	return e
}

// end takes out the calls that are over and leaves their connections idle.
func (p *playedRun) end() {
	kept := p.calls[:0]
	for _, c := range p.calls {
		if p.now.Before(c.ends) {
			kept = append(kept, c)
			continue
		}
		e := p.fleet[c.entry]
		p.at[c.upstream.Name]--
		c.upstream.Live.InFlight.Add(-1)
		c.upstream.Live.Idle.Add(1)
		e.idleSince[c.upstream.Name] = append(e.idleSince[c.upstream.Name], p.now)
	}
	p.calls = kept
}

// poll tells each entry what the others have under way, and closes what idles too long.
func (p *playedRun) poll() {
	total := make(map[Hash]UnderWay)
	for name, count := range p.at {
		total[HashOf(name)] = UnderWay{Calls: int64(count)}
	}
	for _, e := range p.fleet {
		e.SetOthers(&Others{
			At:    p.now,
			Loads: Less(total, e.UnderWay()),
		})
		for _, c := range e.fleet["s"] {
			idle := e.idleSince[c.Name]
			for len(idle) > 0 && p.now.Sub(idle[0]) > p.keeps {
				idle = idle[1:]
				c.Live.Idle.Add(-1)
			}
			e.idleSince[c.Name] = idle
		}
	}
}

func (p *playedRun) place(i int) {
	e := p.fleet[i]
	u := e.Pick(&dispatcher.Call{Service: "s"}, nil)
	u.Live.InFlight.Add(1)
	p.at[u.Name]++
	p.placed++
	p.calls = append(p.calls, underWayCall{
		entry:    i,
		upstream: u,
		ends:     p.now.Add(time.Duration((0.5 + p.random.Float64()) * float64(p.lasting))),
	})
	idle := e.idleSince[u.Name]
	if len(idle) == 0 {
		p.made++
		return
	}
	e.idleSince[u.Name] = idle[:len(idle)-1]
	u.Live.Idle.Add(-1)
}

// sample notes how uneven the upstreams are used at the moment.
func (p *playedRun) sample() {
	most := 0
	for _, count := range p.at {
		most = max(most, count)
	}
	p.uneven += float64(most) * float64(p.upstreams) / float64(max(1, len(p.calls)))
	p.samples++
}

// Two hundred entries place four calls a second each among a hundred upstreams. Placed
// by load alone, nearly every call goes where its entry has no connection: each waits for
// the set-up of one, and upstreams spend their time and their bound of connections on it.
// Most calls must find a connection, and upstreams must be used as evenly as before.
func TestCallsGoWhereConnectionsAre(t *testing.T) {
	cases := map[string]struct {
		run    fleetRun
		made   float64
		uneven float64
	}{
		"large fleet": {
			run:    fleetRun{entries: 195, upstreams: 100, rate: 600, lasting: 600 * time.Millisecond, keeps: 2500 * time.Millisecond},
			made:   0.25,
			uneven: 3,
		},
		"small fleet": {
			run:    fleetRun{entries: 8, upstreams: 18, rate: 150, lasting: 600 * time.Millisecond, keeps: 2500 * time.Millisecond},
			made:   0.1,
			uneven: 3,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := c.run.play(1)
			t.Logf("connections made by %.2f of calls, the fullest upstream has %.1f times the mean", got.made, got.uneven)
			if got.made > c.made {
				t.Errorf("calls that made a connection: got %.2f, want at most %.2f", got.made, c.made)
			}
			if got.uneven > c.uneven {
				t.Errorf("fullest upstream: got %.1f times the mean, want at most %.1f", got.uneven, c.uneven)
			}
		})
	}
}
