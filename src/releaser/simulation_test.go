package releaser

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// version is how the target's upstreams behave in a simulation.
type version struct {
	// failureRate is the fraction of answers that fail, slowdown the factor on their latency.
	failureRate float64
	slowdown    float64
	// onset is the fraction of the time limit after which the version behaves so, route the
	// only route affected, "" for all.
	onset float64
	route Route
	// underLoad is set if only upstreams with their usual load are affected.
	underLoad bool
}

func (v version) bad() bool { return v.failureRate > 0 || v.slowdown > 1 }

// scenario is one kind of roll-out to simulate.
type scenario struct {
	version   version
	strategy  Strategy
	limit     time.Duration
	rate      float64
	fleet     int
	hasFaults bool
	bound     Exposure
}

// outcome is the result of a simulation.
type outcome struct {
	end State
	// exposed is the number of calls at the target until the time limit, all the number of all
	// calls.
	exposed float64
	all     float64
	// rollbackDelay is the time from the 50th bad answer to the last call at the target, 0 if
	// there was no such answer.
	rollbackDelay time.Duration
	// duration is the time until the roll-out ended.
	duration time.Duration
}

// violated reports whether a bad version got more calls than the bounds allow.
func (o outcome) violated(bound Exposure, rollback time.Duration) bool {
	return o.exposed > bound.Ratio*o.all+bound.Slack || o.rollbackDelay > rollback
}

const (
	tick = 75 * time.Millisecond
	// bootTime is how long the target's upstreams take to start.
	bootTime = 2 * time.Second
)

// pendingAnswer is an answer in flight.
type pendingAnswer struct {
	at            time.Duration
	hash          UpstreamHash
	route         Route
	failed        bool
	bad           bool
	first         time.Duration
	eventInterval time.Duration
}

// testRoutes are the routes of a simulation; plain answers have no events, and a fraction of
// them always fails.
var testRoutes = []Route{"long", "short", "plain"}

// simulation is a scenario in progress.
type simulation struct {
	scenario
	random     *rand.Rand
	faults     map[int]version
	byUpstream map[UpstreamHash]map[Route]*Sample
	pending    []pendingAnswer
	bad        int
	// fiftiethBadAt is when the 50th bad answer arrived, negative before.
	fiftiethBadAt time.Duration
	outcome       outcome
}

// run simulates the roll-out; entries receive a share two ticks after it was decided.
func (s *scenario) run(random *rand.Rand) outcome {
	p := &simulation{
		scenario:      *s,
		random:        random,
		faults:        make(map[int]version),
		byUpstream:    make(map[UpstreamHash]map[Route]*Sample),
		fiftiethBadAt: -1,
	}
	for i := range 2 * s.fleet {
		if s.hasFaults && random.Float64() < 0.12 {
			p.faults[i] = version{failureRate: 0.4 * float64(random.IntN(2)), slowdown: 1 + 3*float64(random.IntN(2))}
		}
	}
	startTime := time.Unix(1000, 0)
	w := &Monitor{
		OrderedAt:      startTime,
		Limit:          s.limit,
		MonitoredSince: startTime,
		Exposure:       s.bound,
		Strategy:       s.strategy,
	}
	shares := []float64{0, 0}
	for at := time.Duration(0); at < s.limit; at += tick {
		p.receive(at)
		p.sendCalls(at, shares[0])
		w.Record(EntryIncarnation{Entry: "e"}, p.figures())
		d := w.Step(startTime.Add(at), p.status(at))
		shares = append(shares[1:], d.Share)
		if d.End != Running && p.outcome.end == 0 {
			p.outcome.end = d.End
			p.outcome.duration = at
		}
	}
	return p.outcome
}

// receive records the answers that have arrived by now.
func (s *simulation) receive(at time.Duration) {
	rest := s.pending[:0]
	for _, a := range s.pending {
		if a.at > at {
			rest = append(rest, a)
			continue
		}
		sample := s.byUpstream[a.hash][a.route]
		sample.Running--
		sample.RecordAnswer(a.failed, a.first, a.eventInterval)
		if !a.bad {
			continue
		}
		if s.bad++; s.bad == 50 {
			s.fiftiethBadAt = at
		}
	}
	s.pending = rest
}

// sendCalls sends the calls of one tick.
func (s *simulation) sendCalls(at time.Duration, share float64) {
	canaries := max(1, int(math.Ceil(share*float64(s.fleet))))
	loaded := share/float64(canaries) > 0.6/float64(s.fleet)
	for range int(s.rate * tick.Seconds() * (0.7 + 0.6*s.random.Float64())) {
		s.outcome.all++
		route := testRoutes[s.random.IntN(len(testRoutes))]
		if s.random.Float64() >= share {
			s.send(at, 0, s.random.IntN(s.fleet), route, version{slowdown: 1})
			continue
		}
		s.outcome.exposed++
		if s.fiftiethBadAt >= 0 {
			s.outcome.rollbackDelay = at - s.fiftiethBadAt
		}
		upstream := s.fleet + s.random.IntN(canaries)
		s.send(at, UpstreamHash(upstream), upstream, route, s.behaviour(at, route, loaded))
	}
}

// behaviour returns how the target treats a call.
func (s *simulation) behaviour(at time.Duration, route Route, loaded bool) version {
	v := s.version
	begun := at >= time.Duration(v.onset*float64(s.limit))
	if begun && (v.route == "" || v.route == route) && (!v.underLoad || loaded) {
		return v
	}
	return version{slowdown: 1}
}

// send starts one call at an upstream.
func (s *simulation) send(at time.Duration, hash UpstreamHash, upstream int, route Route, v version) {
	bad := v.bad()
	if t, found := s.faults[upstream]; found {
		v.failureRate, v.slowdown = max(v.failureRate, t.failureRate), v.slowdown*t.slowdown
	}
	baseline := 0.0
	if route == "plain" {
		baseline = 0.14
	}
	slowdown := max(1, v.slowdown)
	a := pendingAnswer{hash: hash, route: route, failed: s.random.Float64() < max(baseline, v.failureRate)}
	a.bad = bad && (a.failed || v.slowdown > 1)
	a.first = time.Duration(float64(100*time.Millisecond) * slowdown * math.Exp(0.6*s.random.NormFloat64()))
	if route != "plain" {
		a.eventInterval = time.Duration(float64(30*time.Millisecond) * slowdown * math.Exp(0.25*s.random.NormFloat64()))
	}
	a.at = at + a.first + 20*a.eventInterval
	if s.byUpstream[hash] == nil {
		s.byUpstream[hash] = make(map[Route]*Sample)
		for _, testRoute := range testRoutes {
			s.byUpstream[hash][testRoute] = &Sample{}
		}
	}
	s.byUpstream[hash][route].Running++
	s.pending = append(s.pending, a)
}

func (s *simulation) figures() []Figures {
	var figures []Figures
	for hash, samples := range s.byUpstream {
		for route, sample := range samples {
			figures = append(figures, Figures{UpstreamHash: hash, Route: route, Sample: *sample})
		}
	}
	return figures
}

func (s *simulation) status(at time.Duration) FleetStatus {
	status := FleetStatus{Other: s.fleet}
	for _, sample := range s.byUpstream[0] {
		status.Running += int(sample.Running)
	}
	if at >= bootTime {
		status.Target = s.fleet
	}
	return status
}

var testExposure = Exposure{Ratio: 0.1, Slack: 50}

const maxRollbackDelay = 5 * time.Second

// runs is the number of simulations of each scenario.
var runs = flag.Int("replays", 12, "roll-outs to draw of each kind")

var badVersions = map[string]version{
	"fails 10 of 100":         {failureRate: 0.1, slowdown: 1},
	"fails 45 of 100":         {failureRate: 0.45, slowdown: 1},
	"twice as slow":           {slowdown: 2},
	"five times as slow":      {slowdown: 5},
	"fails from half on":      {failureRate: 0.45, slowdown: 1, onset: 0.4},
	"slow from half on":       {slowdown: 4, onset: 0.4},
	"fails on one route":      {failureRate: 0.45, slowdown: 1, route: "long"},
	"slow on the plain route": {slowdown: 4, route: "plain"},
	"fails under load":        {failureRate: 0.45, slowdown: 1, underLoad: true},
	"slow under load":         {slowdown: 4, underLoad: true},
}

var strategies = map[string]Strategy{
	"ladder":   Ladder{},
	"evidence": EvidenceBased{},
}

// tally is the result of all simulations of one scenario.
type tally struct {
	ended    map[State]int
	violated int
	exposure float64
	duration time.Duration
}

func simulateAll(s scenario, seed uint64) tally {
	t := tally{ended: make(map[State]int)}
	for i := range uint64(*runs) {
		o := s.run(rand.New(rand.NewPCG(seed, i)))
		t.ended[o.end]++
		t.exposure += o.exposed / o.all / float64(*runs)
		t.duration += o.duration / time.Duration(*runs)
		if o.violated(s.bound, maxRollbackDelay) {
			t.violated++
		}
	}
	return t
}

// Guards against a bad version that gets more calls than the bounds allow, or is completed.
func TestBadVersionsAreRolledBack(t *testing.T) {
	for name, v := range badVersions {
		for strategyName, strategy := range strategies {
			t.Run(name+" by "+strategyName, func(t *testing.T) { wantRolledBack(t, v, strategy, strategyName == "evidence") })
		}
	}
}

// Guards against a version that is completed though it fails a few percent of its calls.
func TestSlightlyBadVersionsAreTakenBack(t *testing.T) {
	for strategyName, strategy := range strategies {
		t.Run(strategyName, func(t *testing.T) {
			wantRolledBack(t, version{failureRate: 0.03, slowdown: 1}, strategy, strategyName == "evidence")
		})
	}
}

// wantRolledBack simulates a version at two call rates; with strict set, all simulations must
// be rolled back within the bounds.
func wantRolledBack(t *testing.T, v version, strategy Strategy, strict bool) {
	t.Helper()
	for _, rate := range []float64{300, 900} {
		got := simulateAll(scenario{
			version:   v,
			strategy:  strategy,
			limit:     12 * time.Second,
			rate:      rate,
			fleet:     60,
			hasFaults: false,
			bound:     testExposure,
		}, 1)
		t.Logf("%4.0f calls per second: rolled back %d of %d, out of bounds %d, exposed %.3f, after %v",
			rate, got.ended[RolledBack], *runs, got.violated, got.exposure, got.duration)
		if strict && (got.violated > 0 || got.ended[RolledBack] < *runs) {
			t.Errorf("at %.0f calls per second: got %d rolled back and %d out of bounds, want all %d and none",
				rate, got.ended[RolledBack], got.violated, *runs)
		}
	}
}

// Guards against rolling back good versions because some upstreams are slow or fail.
func TestGoodVersionsAreCompleted(t *testing.T) {
	for _, hasFaults := range []bool{false, true} {
		for strategyName, strategy := range strategies {
			t.Run(fmt.Sprintf("troubled %v by %s", hasFaults, strategyName), func(t *testing.T) {
				for _, rate := range []float64{40, 300, 900} {
					got := simulateAll(scenario{
						version:   version{slowdown: 1},
						strategy:  strategy,
						limit:     12 * time.Second,
						rate:      rate,
						fleet:     60,
						hasFaults: hasFaults,
						bound:     testExposure,
					}, 2)
					t.Logf("%4.0f calls per second: completed %d of %d after %v", rate, got.ended[Completed], *runs, got.duration)
					if !hasFaults && got.ended[Completed] < *runs {
						t.Errorf("at %.0f calls per second: got %d completed, want all %d", rate, got.ended[Completed], *runs)
					}
				}
			})
		}
	}
}

// Guards against giving all calls to a version on evidence too weak to roll it back at once.
func TestDoubtfulVersionsDoNotGetAllCalls(t *testing.T) {
	cases := map[string]struct {
		failures  int
		wantEnd   State
		wantShare float64
	}{
		"no answer failed": {
			failures:  0,
			wantEnd:   Running,
			wantShare: 1,
		},
		"three in a hundred did": {
			failures:  6,
			wantEnd:   RolledBack,
			wantShare: 0,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := &Monitor{
				OrderedAt:      time.Unix(1000, 0),
				Limit:          12 * time.Second,
				MonitoredSince: time.Unix(1000, 0),
				Exposure:       testExposure,
			}
			figures := []Figures{{
				Route:  "long",
				Sample: Sample{Answers: 1800},
			}}
			for i := range 10 {
				sample := Sample{Answers: 20}
				if i < tc.failures {
					sample.Failures = 1
				}
				figures = append(figures, Figures{
					UpstreamHash: UpstreamHash(i + 1),
					Route:        "long",
					Sample:       sample,
				})
			}
			w.Record(EntryIncarnation{Entry: "e"}, figures)
			status := FleetStatus{
				Target:  60,
				Other:   60,
				Running: 9,
			}
			if d := w.Step(time.Unix(1009, 0), status); d.End != Running {
				t.Fatalf("while it is judged: got %v (%s), want it running", d.End, d.Reason)
			}
			d := w.Step(time.Unix(1010, 0), status)
			if d.End != tc.wantEnd || d.Share != tc.wantShare {
				t.Errorf("got %v (%s) with a share of %v, want %v and %v", d.End, d.Reason, d.Share, tc.wantEnd, tc.wantShare)
			}
		})
	}
}

// Guards against rolling back a good version because of one upstream that is faulty itself.
func TestGoodVersionsSurviveFaultyUpstreams(t *testing.T) {
	cases := map[string]version{
		"one fails":   {failureRate: 0.6, slowdown: 1},
		"one is slow": {slowdown: 6},
	}
	for name, faulty := range cases {
		t.Run(name, func(t *testing.T) {
			w := &Monitor{
				OrderedAt:      time.Unix(1000, 0),
				Limit:          12 * time.Second,
				MonitoredSince: time.Unix(1000, 0),
				Exposure:       testExposure,
			}
			p := &simulation{
				scenario:   scenario{fleet: 60},
				random:     rand.New(rand.NewPCG(3, 4)),
				byUpstream: make(map[UpstreamHash]map[Route]*Sample),
			}
			for n := range 3000 {
				route := testRoutes[n%len(testRoutes)]
				p.send(0, 0, n%60, route, version{slowdown: 1})
				hash := UpstreamHash(60 + n%8)
				v := version{slowdown: 1}
				if hash == 60 {
					v = faulty
				}
				p.send(0, hash, int(hash), route, v)
			}
			p.receive(time.Hour)
			w.Record(EntryIncarnation{Entry: "e"}, p.figures())
			d := w.Step(time.Unix(1004, 0), FleetStatus{Target: 60, Other: 60})
			if d.End != Running {
				t.Errorf("end: got %v (%s), want it running", d.End, d.Reason)
			}
			d = w.Step(time.Unix(1010, 0), FleetStatus{Target: 60, Other: 60})
			if d.End != Running || d.Share != 1 {
				t.Errorf("when it is time for all calls: got %v (%s) with a share of %v, want it running with all of them", d.End, d.Reason, d.Share)
			}
		})
	}
}
