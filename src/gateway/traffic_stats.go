package gateway

import (
	"context"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/rosecroft/rosecroft/src/admitter"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/framer"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/pathfinder"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
	"github.com/rosecroft/rosecroft/src/withholder"
)

// trafficStats collects statistics of calls and exchanges, for metrics and for control.
type trafficStats struct {
	scope       tally.Scope
	connections tally.Counter

	mu        sync.Mutex
	services  map[units.Service]*serviceStats
	calls     map[string]tally.Counter
	exchanges map[string]tally.Counter
	receipts  map[framer.Receipt]tally.Counter
	firstByte map[string]tally.Histogram
}

// serviceStats holds the statistics of one service since the start of this entry.
type serviceStats struct {
	calls  float64
	tokens float64
	// inFlight is the number of calls in flight, callTime the total time of all calls up to
	// updatedAt.
	inFlight  int
	callTime  time.Duration
	updatedAt time.Time
	// prefillPerToken is a low quantile of the prefill time per prompt token, in seconds,
	// estimated from prefillSamples prompts.
	prefillPerToken float64
	prefillSamples  int
	// answerTime is the moving average of how long answered calls took at upstreams, 0 for none.
	answerTime time.Duration
	// minWait is the shortest recent wait for a first byte, which additional upstreams would
	// not shorten.
	minWait time.Duration
}

// minWaitGrowth lets the shortest wait rise again when upstreams become slower.
const minWaitGrowth = 1.002

func newTrafficStats(m *meter.Meter) *trafficStats {
	return &trafficStats{
		scope:       m.Scope,
		connections: m.Scope.Counter("upstream_connections"),
		services:    make(map[units.Service]*serviceStats),
		calls:       make(map[string]tally.Counter),
		exchanges:   make(map[string]tally.Counter),
		receipts:    make(map[framer.Receipt]tally.Counter),
		firstByte:   make(map[string]tally.Histogram),
	}
}

// admitted counts an admitted call at once: if a call that lasts for seconds were counted at
// its end, its load would be reported too late. Calls that are refused by a limit, or by an
// entry without control, are no work for upstreams and are not counted.
func (t *trafficStats) admitted(now time.Time, call *dispatcher.Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(call.Service)
	s.advance(now)
	s.inFlight++
	s.calls++
	s.tokens += float64(call.UncachedTokens())
}

// finished records that an admitted call is over.
func (t *trafficStats) finished(now time.Time, service units.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(service)
	s.advance(now)
	s.inFlight--
}

// advance adds the time since the last update to the time of the calls in flight.
func (s *serviceStats) advance(now time.Time) {
	if passed := now.Sub(s.updatedAt); passed > 0 {
		s.callTime += time.Duration(s.inFlight) * passed
	}
	s.updatedAt = now
}

// served counts the end of one call. Routes come and go with configurations, so the metrics are
// tagged with outcome and service, not with a route's name.
//
// The upstream's slowdown at that moment, 0 if it stated none, is divided out of what is learnt
// about prefill: a service's upstreams differ, and each has slow moments. Relayed calls say nothing
// about the upstreams' speed.
func (t *trafficStats) served(call *dispatcher.Call, outcome string, firstByte time.Duration, trace *callTrace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(call.Service)
	if !trace.relayed {
		s.updateMinWait(firstByte)
		if trace.deferred {
			s.lowerPrefill(firstByte, call.UncachedTokens(), trace.slowdown)
		} else {
			s.updatePrefill(firstByte, call.UncachedTokens(), trace.slowdown)
		}
	}
	counter := t.calls[outcome]
	if counter == nil {
		counter = t.scope.Tagged(map[string]string{"outcome": outcome}).Counter("calls")
		t.calls[outcome] = counter
	}
	counter.Inc(1)
	if trace.limited {
		t.scope.Tagged(serviceTag(call.Service)).Counter("calls_at_attempt_limit").Inc(1)
	}
	if firstByte > 0 {
		t.firstByteHistogram(call.Service).RecordDuration(firstByte)
	}
}

// updateMinWait updates the shortest wait for a first byte.
func (s *serviceStats) updateMinWait(firstByte time.Duration) {
	if firstByte <= 0 {
		return
	}
	if s.minWait == 0 || firstByte < s.minWait {
		s.minWait = firstByte
	}
	s.minWait = time.Duration(float64(s.minWait) * minWaitGrowth)
}

const (
	// minMeasuredPrompt is the length from which a prompt is used to measure prefill, in
	// tokens: with shorter ones, the rest of the wait is longer than the prefill.
	minMeasuredPrompt = 4000
	// prefillQuantile is the fraction of prompts that were prefilled without a queue before
	// them, as far as this can be stated for every load at which the objective is met.
	prefillQuantile = 0.25
	// minPrefillStep is the smallest relative step of the estimate for one prompt, and
	// firstPrefillStep the step for the first prompt, which decreases with the square root of
	// their number. The first prompts find empty caches and take more than twice as long as
	// later ones; an entry of a large fleet gets one prompt a second, and with minPrefillStep
	// alone it reported the first ones' times for half a minute.
	minPrefillStep   = 0.08
	firstPrefillStep = 0.5
)

// updatePrefill moves the estimate of the prefill time per token towards its quantile.
func (s *serviceStats) updatePrefill(firstByte time.Duration, uncached units.Tokens, slowdown float64) {
	if firstByte <= s.minWait || uncached < minMeasuredPrompt {
		return
	}
	prefillPerToken := (firstByte - s.minWait).Seconds() / float64(uncached)
	if slowdown > 0 {
		prefillPerToken /= slowdown
	}
	s.prefillSamples++
	step := max(minPrefillStep, firstPrefillStep/math.Sqrt(float64(s.prefillSamples)))
	switch {
	case s.prefillPerToken == 0:
		s.prefillPerToken = prefillPerToken
	case prefillPerToken < s.prefillPerToken:
		s.prefillPerToken = max(prefillPerToken, s.prefillPerToken*(1-step*(1-prefillQuantile)))
	default:
		s.prefillPerToken = min(prefillPerToken, s.prefillPerToken*(1+step*prefillQuantile))
	}
}

// lowerPrefill is updatePrefill for a deferred call, which only lowers the estimate: the call has waited for a
// queue, and the time to its first byte is no more than an upper bound of its prefill.
func (s *serviceStats) lowerPrefill(firstByte time.Duration, uncached units.Tokens, slowdown float64) {
	estimate, samples := s.prefillPerToken, s.prefillSamples
	s.updatePrefill(firstByte, uncached, slowdown)
	if s.prefillPerToken > estimate {
		s.prefillPerToken, s.prefillSamples = estimate, samples
	}
}

// prefillPerToken returns the prefill time per token of a service's upstreams at their usual
// speed, 0 if it is not known.
func (t *trafficStats) prefillPerToken(service units.Service) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[service]; s != nil {
		return time.Duration(s.prefillPerToken * float64(time.Second))
	}
	return 0
}

func (t *trafficStats) firstByteHistogram(service units.Service) tally.Histogram {
	h := t.firstByte[string(service)]
	if h == nil {
		h = t.scope.Tagged(serviceTag(service)).Histogram("first_byte", meter.LatencyBuckets)
		t.firstByte[string(service)] = h
	}
	return h
}

func (t *trafficStats) service(name units.Service) *serviceStats {
	s := t.services[name]
	if s == nil {
		s = &serviceStats{}
		t.services[name] = s
	}
	return s
}

// answerTimeGain is the weight of the latest call in the moving average of answer times.
const answerTimeGain = 0.1

// exchangeAnswered records how long a call took at an upstream that answered it.
func (t *trafficStats) exchangeAnswered(service units.Service, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(service)
	if s.answerTime == 0 {
		s.answerTime = took
		return
	}
	s.answerTime += time.Duration(answerTimeGain * float64(took-s.answerTime))
}

// callTime returns how long answered calls of a service take at its upstreams, 0 if unknown.
func (t *trafficStats) callTime(service units.Service) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[service]; s != nil {
		return s.answerTime
	}
	return 0
}

// exchangeEnded counts an exchange by its result, and its answer by how it arrived.
func (t *trafficStats) exchangeEnded(u *tracker.Upstream, result dispatcher.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answerEnded(result.Receipt)
	key := string(u.Service) + " " + result.Kind.String()
	counter := t.exchanges[key]
	if counter == nil {
		counter = t.scope.Tagged(map[string]string{
			"service": string(u.Service),
			"end":     result.Kind.String(),
		}).Counter("exchanges")
		t.exchanges[key] = counter
	}
	counter.Inc(1)
}

// answerEnded counts an answer by its framing and its end; mu is held.
func (t *trafficStats) answerEnded(receipt framer.Receipt) {
	if receipt.Framing == "" {
		return
	}
	counter := t.receipts[receipt]
	if counter == nil {
		counter = t.scope.Tagged(map[string]string{
			"framing": string(receipt.Framing),
			"end":     string(receipt.End),
		}).Counter("upstream_answers")
		t.receipts[receipt] = counter
	}
	counter.Inc(1)
}

func serviceTag(service units.Service) map[string]string {
	return map[string]string{"service": string(service)}
}

// connectionCut counts a connection to an upstream that was cut during a call.
func (t *trafficStats) connectionCut(u *tracker.Upstream) {
	t.scope.Tagged(serviceTag(u.Service)).Counter("upstream_cuts").Inc(1)
}

// backoffRequested counts a call that an upstream refused with the wish for a back-off.
func (t *trafficStats) backoffRequested(u *tracker.Upstream) {
	t.scope.Tagged(serviceTag(u.Service)).Counter("upstream_backoffs").Inc(1)
}

// rejected counts a call that an upstream rejected for want of room.
func (t *trafficStats) rejected(u *tracker.Upstream) {
	t.scope.Tagged(serviceTag(u.Service)).Counter("upstream_rejections").Inc(1)
}

// limitRefused counts a call that its account's limit has refused, by its urgency within the account.
func (t *trafficStats) limitRefused(urgency int) {
	t.scope.Tagged(map[string]string{"urgency": strconv.Itoa(urgency)}).Counter("limit_refusals").Inc(1)
}

// callDeferred counts a call that was deferred.
func (t *trafficStats) callDeferred(service units.Service) {
	t.scope.Tagged(serviceTag(service)).Counter("deferred_calls").Inc(1)
}

// waitRefused counts a call that was refused because of its expected wait.
func (t *trafficStats) waitRefused(service units.Service) {
	t.scope.Tagged(serviceTag(service)).Counter("wait_refusals").Inc(1)
}

// malformed counts a header of an answer that could not be decoded, or only in part.
func (t *trafficStats) malformed(header string) {
	t.scope.Tagged(map[string]string{"header": header}).Counter("malformed_headers").Inc(1)
}

// offered counts an offer of a call to another entry.
func (t *trafficStats) offered(accepted bool) {
	t.scope.Tagged(map[string]string{"accepted": strconv.FormatBool(accepted)}).Counter("relay_offers").Inc(1)
}

// retried counts further attempts that the retry budget has allowed, and those that it has refused.
func (t *trafficStats) retried(allowed, refused int64) {
	t.scope.Tagged(map[string]string{"allowed": "true"}).Counter("retries").Inc(allowed)
	t.scope.Tagged(map[string]string{"allowed": "false"}).Counter("retries").Inc(refused)
}

// identified counts an answer of an upstream that was asked for its incarnation.
func (t *trafficStats) identified(identity exchanger.Identity) {
	t.scope.Tagged(map[string]string{"identity": identity.String()}).Counter("upstream_identities").Inc(1)
}

// carried counts a call of another entry by its result.
func (t *trafficStats) carried(result dispatcher.Result) {
	t.scope.Tagged(map[string]string{"end": result.Kind.String()}).Counter("relayed_calls").Inc(1)
}

// connectFailed counts an attempt to connect to an upstream that failed.
func (t *trafficStats) connectFailed(u *tracker.Upstream) {
	t.scope.Tagged(serviceTag(u.Service)).Counter("upstream_connect_failures").Inc(1)
}

// partitioned records whether a service is partitioned from this entry.
func (t *trafficStats) partitioned(reach pathfinder.Reach) {
	value := 0.0
	if reach.Partitioned {
		value = 1
	}
	t.scope.Tagged(serviceTag(reach.Service)).Gauge("service_partitioned").Update(value)
}

// releases records how many software versions a service's upstreams run or have lately run.
func (t *trafficStats) releases(service units.Service, count int) {
	t.scope.Tagged(serviceTag(service)).Gauge("service_releases").Update(float64(count))
}

// originFound counts a stream that a caller resumes, by what its origin is known from.
func (t *trafficStats) originFound(source originSource) {
	t.scope.Tagged(map[string]string{"source": string(source)}).Counter("stream_origins").Inc(1)
}

// upstreamCrashed counts an upstream that has crashed with calls of this entry.
func (t *trafficStats) upstreamCrashed(u *tracker.Upstream) {
	t.scope.Tagged(serviceTag(u.Service)).Counter("upstream_ends").Inc(1)
}

// loads returns the load of each service since the start.
func (t *trafficStats) loads(now time.Time) []*messages.ServiceLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make([]*messages.ServiceLoad, 0, len(t.services))
	for name, s := range t.services {
		s.advance(now)
		loads = append(loads, &messages.ServiceLoad{
			Service:         string(name),
			CallSeconds:     s.callTime.Seconds(),
			Calls:           s.calls,
			Tokens:          s.tokens,
			SecondsPerToken: s.prefillPerToken,
		})
	}
	return loads
}

// upstreamDump is the state of one upstream in a dump.
type upstreamDump struct {
	Name     string `yaml:"name"`
	Address  string `yaml:"address"`
	Silent   bool   `yaml:"silent"`
	Cold     bool   `yaml:"cold"`
	InFlight int64  `yaml:"in-flight"`
	// PrefillTokens is the number of prompt tokens of these calls that are waiting for prefill.
	PrefillTokens int64 `yaml:"unread"`
	// DeferredTokens is how many of these tokens are of deferred calls.
	DeferredTokens int64 `yaml:"deferred"`
	Idle           int64 `yaml:"idle-connections"`
	// OthersInFlight and OthersPrefillTokens are the loads of the other entries as of their last
	// polls, OthersStated is the load of others that the upstream stated in its last answer.
	OthersInFlight      int64 `yaml:"others-in-flight"`
	OthersPrefillTokens int64 `yaml:"others-unread"`
	OthersStated        int   `yaml:"stated"`
	// OthersDeferredTokens is how many of the other entries' tokens are of deferred calls.
	OthersDeferredTokens int64 `yaml:"others-deferred"`
	// Slowdown is how many times as long as usual work is expected to take there.
	Slowdown float64 `yaml:"slowdown"`
	Ejected  bool    `yaml:"ejected"`
	// Weight is the fraction of its calls that it gets by the leader's evaluation, nil if it is not restricted.
	Weight *float64 `yaml:"weight,omitempty"`
	// AnsweredMs is the time since its last answer, -1 for never.
	AnsweredMs int64 `yaml:"answered-ms"`
	// Limit is how many calls a second it accepts from all entries together, nil for no limit.
	Limit *float64 `yaml:"limit,omitempty"`
	// Withheld is why it gets no calls, "" if nothing forbids them, and BackoffMs the rest of the
	// back-off that it has asked for.
	Withheld  string `yaml:"withheld,omitempty"`
	BackoffMs int64  `yaml:"backoff-ms,omitempty"`
}

// entryDump is the state of an entry in a dump.
type entryDump struct {
	Version   uint64                    `yaml:"version"`
	Entries   int                       `yaml:"entries"`
	Lease     string                    `yaml:"lease"`
	Stopping  bool                      `yaml:"stopping"`
	Clients   admitter.State            `yaml:"clients"`
	Upstreams map[string][]upstreamDump `yaml:"upstreams"`
}

// dump returns the state of this entry.
func (g *Gateway) dump(context.Context) (any, error) {
	snap := g.snapshot.Load()
	d := &entryDump{
		Stopping:  g.Stopping(),
		Clients:   g.Clients.State(),
		Upstreams: make(map[string][]upstreamDump),
	}
	if snap == nil {
		return d, nil
	}
	if snap.table != nil {
		d.Version = uint64(snap.table.Configuration.Version)
	}
	d.Entries = snap.entries
	d.Lease = snap.lease.Sub(timekeeper.Now()).String()
	for service, candidates := range snap.fleet {
		for _, c := range candidates {
			d.Upstreams[string(service)] = append(d.Upstreams[string(service)], g.dumpUpstream(c))
		}
	}
	return d, nil
}

// dumpUpstream returns the calls that this entry has at an upstream and what it assumes about
// it.
func (g *Gateway) dumpUpstream(c *placer.Candidate) upstreamDump {
	now := timekeeper.Now()
	id := units.NewIncarnationID(c.Name, c.Incarnation)
	belief := g.placer.Assess(c)
	answered := int64(-1)
	if !belief.AnsweredAt.IsZero() {
		answered = now.Sub(belief.AnsweredAt).Milliseconds()
	}
	var limit *float64
	if rate, limited := g.gate.Limits()[id]; limited {
		value := float64(rate)
		limit = &value
	}
	withheld := ""
	if state := g.withholder.StateOf(now, id); state != withholder.Accepting {
		withheld = string(state)
	}
	var weight *float64
	if restricted := float64(belief.Weight); restricted < 1 {
		weight = &restricted
	}
	return upstreamDump{
		Name:                 string(c.Name),
		Address:              c.Address,
		Silent:               c.Silent,
		Cold:                 c.Cold,
		InFlight:             c.Local.InFlight.Load(),
		PrefillTokens:        c.Local.PrefillTokens.Load(),
		DeferredTokens:       c.Local.Queue.Deferred(),
		Idle:                 c.Local.IdleConnections.Load(),
		OthersInFlight:       belief.PeerLoad.Calls,
		OthersPrefillTokens:  belief.PeerLoad.PrefillTokens,
		OthersDeferredTokens: belief.PeerLoad.DeferredTokens,
		OthersStated:         belief.ReportedPeerCalls,
		Slowdown:             belief.Slowdown,
		Ejected:              belief.Ejected,
		Weight:               weight,
		AnsweredMs:           answered,
		Limit:                limit,
		Withheld:             withheld,
		BackoffMs:            g.withholder.BackoffLeft(now, id).Milliseconds(),
	}
}
