package governor

import (
	"maps"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/evaluator"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/scaler"
	"github.com/rosecroft/rosecroft/src/units"
)

// comparisonInterval is how often upstreams are compared with their peers: about as often as entries report.
const comparisonInterval = 200 * time.Millisecond

// ejections restricts upstreams whose calls fail more often than those of their peers. Only the coordinator's
// goroutine uses it.
type ejections struct {
	coordinator *coordinator
	// scope receives the metrics; it is nil without them.
	scope     tally.Scope
	evaluator evaluator.Evaluator
	steppedAt time.Time
	// loadMeter and demands follow each service's load, also where this instance orders no upstreams.
	loadMeter scaler.LoadMeter
	demands   map[units.Service]*scaler.Demand
	// names are the upstreams by incarnation, for log lines, as of the last evaluation.
	names map[units.IncarnationID]units.Upstream
	// restricted is how many upstreams of each service have a weight below 1, as last reported to the
	// metrics.
	restricted map[units.Service]int
	// encoded are the restrictions as they are sent to all entries.
	encoded []*messages.UpstreamEjection
}

func (e *ejections) enabled() bool { return e.coordinator.settings.OutlierEjection.Enabled }

// startLeadership starts with nothing reported by entries.
func (e *ejections) startLeadership() {
	e.evaluator = evaluator.Evaluator{MaxShare: e.coordinator.settings.OutlierEjection.MaxShare}
	e.steppedAt = time.Time{}
	e.loadMeter = scaler.LoadMeter{}
	e.demands = make(map[units.Service]*scaler.Demand)
	e.encoded = nil
}

// record stores how calls of an entry have ended at upstreams, and its load.
func (e *ejections) record(now time.Time, entry units.Instance, poll *messages.EntryPoll) {
	if !e.enabled() {
		return
	}
	e.loadMeter.Record(now, entry, units.Incarnation(poll.GetIncarnation()), totalsOf(poll.GetLoads()))
	m := poll.GetOutcomes()
	if len(m.GetAnswers()) != len(m.GetLives()) || len(m.GetFailures()) != len(m.GetLives()) {
		return
	}
	outcomes := make(map[units.IncarnationID]evaluator.Outcomes, len(m.GetLives()))
	for i, life := range m.GetLives() {
		outcomes[units.IncarnationID(life)] = evaluator.Outcomes{
			Answers:  int(m.GetAnswers()[i]),
			Failures: int(m.GetFailures()[i]),
		}
	}
	e.evaluator.Record(now, entry, evaluator.ReportNumber(poll.GetNumber()), outcomes)
}

// report adds the restricted upstreams to a response.
func (e *ejections) report(response *messages.EntryPollResponse) { response.Ejections = e.encoded }

// tick compares the upstreams that take calls.
func (e *ejections) tick(now time.Time) {
	if !e.enabled() || now.Sub(e.steppedAt) < comparisonInterval {
		return
	}
	e.steppedAt = now
	fleet := make(evaluator.Fleet)
	e.names = make(map[units.IncarnationID]units.Upstream)
	for _, u := range e.coordinator.table.Upstreams() {
		if u.State == enroller.Ready {
			id := units.NewIncarnationID(u.ID, u.Incarnation)
			fleet[u.Service] = append(fleet[u.Service], id)
			e.names[id] = u.ID
		}
	}
	e.evaluator.Spare = e.spare(now)
	for _, change := range e.evaluator.Step(now, fleet) {
		e.log(change)
	}
	e.encode()
	e.count(fleet)
}

// spare returns how many upstreams of each service with a known load the others can take over from.
func (e *ejections) spare(now time.Time) map[units.Service]int {
	c := e.coordinator
	if c.configuration == nil {
		return nil
	}
	maps.DeleteFunc(e.demands, func(service units.Service, _ *scaler.Demand) bool { return !isConfigured(c.configuration, service) })
	loads := e.loadMeter.Measure(now)
	byService := make(map[units.Service]int)
	for i := range c.configuration.Services {
		service := &c.configuration.Services[i]
		demand := e.demands[service.Name]
		if demand == nil {
			demand = &scaler.Demand{}
			e.demands[service.Name] = demand
		}
		ready := 0
		for _, count := range readyUpstreams(c.table, service.Name, c.rollouts.separateRelease(service.Name)) {
			ready += count
		}
		if spare, measured := demand.Spare(now, service, c.withCapacity(now, service.Name, loads[service.Name]), ready); measured {
			byService[service.Name] = spare
		}
	}
	return byService
}

// encode encodes the restrictions once for all entries.
func (e *ejections) encode() {
	restrictions := e.evaluator.Restrictions()
	e.encoded = make([]*messages.UpstreamEjection, 0, len(restrictions))
	for _, r := range restrictions {
		e.encoded = append(e.encoded, &messages.UpstreamEjection{
			Life:   uint64(r.ID),
			Weight: float32(r.Weight),
		})
	}
}

// count reports how many upstreams of each service are ejected or return.
func (e *ejections) count(fleet evaluator.Fleet) {
	restricted := make(map[units.Service]int)
	services := make(map[units.Service]bool)
	for service, ids := range fleet {
		services[service] = true
		for _, id := range ids {
			if e.evaluator.WeightOf(id) < 1 {
				restricted[service]++
			}
		}
	}
	for service := range e.restricted {
		services[service] = true
	}
	for service := range services {
		if e.scope != nil && restricted[service] != e.restricted[service] {
			e.scope.Tagged(map[string]string{"service": string(service)}).Gauge("ejected_upstreams").Update(float64(restricted[service]))
		}
	}
	e.restricted = restricted
}

// missing returns how many of a service's upstreams that take calls are missing because calls fail there; one that
// returns counts in part.
func (e *ejections) missing(service units.Service) float64 {
	if !e.enabled() {
		return 0
	}
	total := 0.0
	for _, u := range e.coordinator.table.Upstreams() {
		if u.Service == service && u.State == enroller.Ready && !u.Silent {
			total += 1 - float64(e.evaluator.WeightOf(units.NewIncarnationID(u.ID, u.Incarnation)))
		}
	}
	return total
}

// weight returns an upstream's weight, nil if it is not restricted.
func (e *ejections) weight(id units.IncarnationID) *float64 {
	weight := float64(e.evaluator.WeightOf(id))
	if weight >= 1 {
		return nil
	}
	return &weight
}

// endLeadership clears the metrics of an earlier leadership.
func (e *ejections) endLeadership() {
	if len(e.restricted) > 0 {
		e.count(make(evaluator.Fleet))
	}
}

// messageOf returns the log line of a change.
func messageOf(kind evaluator.Kind) string {
	switch kind {
	case evaluator.Ejected:
		return "upstream-ejected"
	case evaluator.Returning:
		return "upstream-returning"
	case evaluator.Returned:
	}
	return "upstream-returned"
}

func (e *ejections) log(change evaluator.Change) {
	level := zerolog.InfoLevel
	if change.Kind == evaluator.Ejected {
		level = zerolog.WarnLevel
	}
	e.coordinator.log.WithLevel(level).
		Str("upstream", string(e.names[change.ID])).
		Uint64("life", uint64(change.ID)).
		Str("service", string(change.Service)).
		Float64("weight", float64(change.Weight)).
		Int64("for-ms", change.Duration.Milliseconds()).
		Int("ejections", change.Ejections).
		Float64("rate", change.Rate()).
		Float64("peer-rate", change.PeerRate()).
		Int("calls", change.Calls).
		Int("failures", change.Failures).
		Int("peer-calls", change.PeerCalls).
		Int("peer-failures", change.PeerFailures).
		Int("entries", change.Entries).
		Bool("too-many", change.Forced).
		Msg(messageOf(change.Kind))
}
