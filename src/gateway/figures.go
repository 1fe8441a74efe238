package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// figures counts what callers and upstreams see, for metrics and for control.
type figures struct {
	scope       tally.Scope
	connections tally.Counter

	mu       sync.Mutex
	services map[units.Service]*serviceFigures
	calls    map[string]tally.Counter
	ends     map[string]tally.Counter
	first    map[string]tally.Histogram
}

// serviceFigures is what this entry has seen of a service since its start.
type serviceFigures struct {
	calls  float64
	tokens float64
	// inFlight is how many calls are under way, callTime how long all of them
	// together were until at.
	inFlight int
	callTime time.Duration
	at       time.Time
	// each is a low quantile of how long a prompt token took to read, in seconds,
	// learnt from so many prompts.
	each float64
	read int
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
		services:    make(map[units.Service]*serviceFigures),
		calls:       make(map[string]tally.Counter),
		ends:        make(map[string]tally.Counter),
		first:       make(map[string]tally.Histogram),
	}
}

// admitted counts a call that was let in, at once: one that lasts for seconds
// would else be told as load when it is over. What a limit refuses, or an entry
// without control, is no work for upstreams and does not come here.
func (f *figures) admitted(now time.Time, call *dispatcher.Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(call.Service)
	s.pass(now)
	s.inFlight++
	s.calls++
	s.tokens += float64(call.Unread())
}

// left notes that a call that was let in is over.
func (f *figures) left(now time.Time, service units.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(service)
	s.pass(now)
	s.inFlight--
}

// pass adds up the time of the calls under way.
func (s *serviceFigures) pass(now time.Time) {
	if passed := now.Sub(s.at); passed > 0 {
		s.callTime += time.Duration(s.inFlight) * passed
	}
	s.at = now
}

// served counts the end of one call. Routes come and go with configurations, so that
// the metrics go by its outcome and service and not by a route's name.
func (f *figures) served(call *dispatcher.Call, outcome string, first time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(call.Service)
	s.wait(first)
	s.learn(first, call.Unread())
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

// wait follows the shortest wait for a first byte.
func (s *serviceFigures) wait(first time.Duration) {
	if first <= 0 {
		return
	}
	if s.least == 0 || first < s.least {
		s.least = first
	}
	s.least = time.Duration(float64(s.least) * leastGrowth)
}

const (
	// longPrompt is the least prompt by which the speed of reading is measured, in
	// tokens: with shorter ones the rest of the wait is more than the reading.
	longPrompt = 4000
	// readQuantile is the part of prompts that were read without a queue before
	// them, as far as may be said at any load that meets its objective.
	readQuantile = 0.25
	// readStep is how far one prompt moves the measure at least, firstStep how far the
	// first ones do, less with the root of their number. The first prompts find nothing
	// kept and take more than twice as long as later ones; an entry of a large fleet gets
	// one a second, and by readStep alone told that for half a minute.
	readStep  = 0.08
	firstStep = 0.5
)

// learn moves the measure of the speed of reading towards its quantile.
func (s *serviceFigures) learn(first time.Duration, unread units.Tokens) {
	if first <= s.least || unread < longPrompt {
		return
	}
	each := (first - s.least).Seconds() / float64(unread)
	s.read++
	step := max(readStep, firstStep/math.Sqrt(float64(s.read)))
	switch {
	case s.each == 0:
		s.each = each
	case each < s.each:
		s.each = max(each, s.each*(1-step*(1-readQuantile)))
	default:
		s.each = min(each, s.each*(1+step*readQuantile))
	}
}

// each returns how long a service's upstreams take to read a token, 0 where nobody knows.
func (f *figures) each(service units.Service) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.services[service]; s != nil {
		return time.Duration(s.each * float64(time.Second))
	}
	return 0
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

// cut counts a connection that an upstream was lost over, with a call.
func (f *figures) cut(u *tracker.Upstream) {
	f.scope.Tagged(map[string]string{"service": string(u.Service)}).Counter("upstream_cuts").Inc(1)
}

// upstreamEnded counts an upstream that has ended with calls of this entry.
func (f *figures) upstreamEnded(u *tracker.Upstream) {
	f.scope.Tagged(map[string]string{"service": string(u.Service)}).Counter("upstream_ends").Inc(1)
}

// loads returns what was seen of each service since the start.
func (f *figures) loads(now time.Time) []*messages.ServiceLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := make([]*messages.ServiceLoad, 0, len(f.services))
	for name, s := range f.services {
		s.pass(now)
		loads = append(loads, &messages.ServiceLoad{
			Service:         string(name),
			CallSeconds:     s.callTime.Seconds(),
			Calls:           s.calls,
			Tokens:          s.tokens,
			SecondsPerToken: s.each,
		})
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
	// Unread is how many prompt tokens of these calls wait to be read.
	Unread int64 `yaml:"unread"`
	Idle   int64 `yaml:"idle-connections"`
	// OthersInFlight and OthersUnread are the other entries' by their last polls, Stated
	// what the upstream did for others by its last answer.
	OthersInFlight int64 `yaml:"others-in-flight"`
	OthersUnread   int64 `yaml:"others-unread"`
	Stated         int   `yaml:"stated"`
	Ejected        bool  `yaml:"ejected"`
	// AnsweredMs is how long ago it last answered, -1 for never.
	AnsweredMs int64 `yaml:"answered-ms"`
	// Limit is how many calls a second it takes from all entries together, nil for as many
	// as come.
	Limit *float64 `yaml:"limit,omitempty"`
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
			d.Upstreams[string(service)] = append(d.Upstreams[string(service)], g.dumpUpstream(c))
		}
	}
	return d, nil
}

// dumpUpstream returns what this entry has at an upstream and believes of it.
func (g *Gateway) dumpUpstream(c *placer.Candidate) dumpedUpstream {
	belief := g.placer.Assess(c)
	answered := int64(-1)
	if !belief.AnsweredAt.IsZero() {
		answered = timekeeper.Now().Sub(belief.AnsweredAt).Milliseconds()
	}
	var limit *float64
	if rate, limited := g.gate.Limits()[units.LifeOf(c.Name, c.Incarnation)]; limited {
		value := float64(rate)
		limit = &value
	}
	return dumpedUpstream{
		Name:           string(c.Name),
		Address:        c.Address,
		Silent:         c.Silent,
		Cold:           c.Cold,
		InFlight:       c.Local.InFlight.Load(),
		Unread:         c.Local.PrefillTokens.Load(),
		Idle:           c.Local.IdleConnections.Load(),
		OthersInFlight: belief.PeerLoad.Calls,
		OthersUnread:   belief.PeerLoad.Prefill,
		Stated:         belief.ReportedPeerCalls,
		Ejected:        belief.Ejected,
		AnsweredMs:     answered,
		Limit:          limit,
	}
}
