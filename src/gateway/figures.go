package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// figures counts what callers and upstreams see, for metrics and for control.
type figures struct {
	scope       tally.Scope
	connections tally.Counter

	mu       sync.Mutex
	since    time.Time
	services map[units.Service]*serviceFigures
	calls    map[string]tally.Counter
	ends     map[string]tally.Counter
	first    map[string]tally.Histogram
}

type serviceFigures struct {
	calls   int
	pressed int
	running time.Duration
	waiting time.Duration
	tokens  int64
	// each is a low quantile of how long a prompt token took to read, in seconds.
	each float64
	// least is the shortest wait for a first byte lately, which no upstream more
	// would shorten.
	least time.Duration
}

// leastGrowth lets the shortest wait follow an upstream that has become slower.
const leastGrowth = 1.002

func newFigures(m *meter.Meter) *figures {
	return &figures{
		scope:       m.Scope,
		connections: m.Scope.Counter("upstream_connections"),
		since:       timekeeper.Now(),
		services:    make(map[units.Service]*serviceFigures),
		calls:       make(map[string]tally.Counter),
		ends:        make(map[string]tally.Counter),
		first:       make(map[string]tally.Histogram),
	}
}

// served counts one call. Routes come and go with configurations, so that the
// metrics go by the route's kind of urgency and not by its name.
func (f *figures) served(call *dispatcher.Call, route *matcher.Route, outcome string, first, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(call.Service)
	s.running += took
	s.wait(first)
	s.read(first, call.Unread())
	// What a limit refuses, or an entry without control, is no work for upstreams;
	// as work it would make each call seem to need less of them than it does.
	if outcome != string(dispatcher.ProblemLimit) && outcome != string(dispatcher.ProblemUnready) {
		s.calls++
		s.tokens += int64(call.Unread())
	}
	if outcome == string(dispatcher.ProblemNoUpstream) || first > route.Target {
		s.pressed++
	}
	counter := f.calls[outcome]
	if counter == nil {
		counter = f.scope.Tagged(map[string]string{"outcome": outcome}).Counter("calls")
		f.calls[outcome] = counter
	}
	counter.Inc(1)
	if first > 0 {
		f.latency(call.Service).RecordDuration(first)
	}
}

// wait adds one call's wait for its first byte, beyond what every call waits.
func (s *serviceFigures) wait(first time.Duration) {
	if first <= 0 {
		return
	}
	if s.least == 0 || first < s.least {
		s.least = first
	}
	s.waiting += first - s.least
	s.least = time.Duration(float64(s.least) * leastGrowth)
}

const (
	// longPrompt is the least prompt by which the speed of reading is measured, in
	// tokens: with shorter ones the rest of the wait is more than the reading.
	longPrompt = 4000
	// readQuantile is the part of prompts that were read without a queue before
	// them, as far as may be said at any load that meets its objective.
	readQuantile = 0.25
	// readStep is how far one prompt moves the measure.
	readStep = 0.08
)

// read moves the measure of the speed of reading towards its quantile.
func (s *serviceFigures) read(first time.Duration, unread units.Tokens) {
	if first <= s.least || unread < longPrompt {
		return
	}
	each := (first - s.least).Seconds() / float64(unread)
	switch {
	case s.each == 0:
		s.each = each
	case each < s.each:
		s.each *= 1 - readStep*(1-readQuantile)
	default:
		s.each *= 1 + readStep*readQuantile
	}
}

func (f *figures) latency(service units.Service) tally.Histogram {
	h := f.first[string(service)]
	if h == nil {
		h = f.scope.Tagged(map[string]string{"service": string(service)}).Histogram("first_byte", meter.LatencyBuckets)
		f.first[string(service)] = h
	}
	return h
}

func (f *figures) service(name units.Service) *serviceFigures {
	s := f.services[name]
	if s == nil {
		s = &serviceFigures{}
		f.services[name] = s
	}
	return s
}

// ended counts how one exchange ended.
func (f *figures) ended(u *tracker.Upstream, result dispatcher.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := string(u.Service) + " " + result.Kind.String()
	counter := f.ends[key]
	if counter == nil {
		counter = f.scope.Tagged(map[string]string{
			"service": string(u.Service),
			"end":     result.Kind.String(),
		}).Counter("exchanges")
		f.ends[key] = counter
	}
	counter.Inc(1)
}

// loads returns what was seen of each service since the last time, a second.
func (f *figures) loads(now time.Time) []*messages.ServiceLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	passed := now.Sub(f.since).Seconds()
	f.since = now
	if passed <= 0 {
		return nil
	}
	var loads []*messages.ServiceLoad
	for name, s := range f.services {
		loads = append(loads, &messages.ServiceLoad{
			Service: string(name),
			Running: s.running.Seconds() / passed,
			Waiting: s.waiting.Seconds() / passed,
			Calls:   float64(s.calls) / passed,
			Pressed: float64(s.pressed) / passed,
			Tokens:  float64(s.tokens) / passed,

			SecondsPerToken: s.each,
		})
		*s = serviceFigures{
			least: s.least,
			each:  s.each,
		}
	}
	return loads
}

// dumpedUpstream is one upstream as a dump shows it.
type dumpedUpstream struct {
	Name     string `yaml:"name"`
	Address  string `yaml:"address"`
	Silent   bool   `yaml:"silent"`
	Cold     bool   `yaml:"cold"`
	InFlight int64  `yaml:"in-flight"`
}

// dumped is an entry's state as a dump shows it.
type dumped struct {
	Version   uint64                      `yaml:"version"`
	Entries   int                         `yaml:"entries"`
	Lease     string                      `yaml:"lease"`
	Stopping  bool                        `yaml:"stopping"`
	Upstreams map[string][]dumpedUpstream `yaml:"upstreams"`
}

// dump returns the entry's state.
func (g *Gateway) dump(context.Context) (any, error) {
	w := g.world.Load()
	d := &dumped{
		Stopping:  g.stopping.Load(),
		Upstreams: make(map[string][]dumpedUpstream),
	}
	if w == nil {
		return d, nil
	}
	if w.table != nil {
		d.Version = uint64(w.table.Declaration.Version)
	}
	d.Entries = w.entries
	d.Lease = w.lease.Sub(timekeeper.Now()).String()
	for service, candidates := range w.fleet {
		for _, c := range candidates {
			d.Upstreams[string(service)] = append(d.Upstreams[string(service)], dumpedUpstream{
				Name:     string(c.Name),
				Address:  c.Address,
				Silent:   c.Silent,
				Cold:     c.Cold,
				InFlight: c.Live.InFlight.Load(),
			})
		}
	}
	return d, nil
}
