package governor

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/reserver"
	"github.com/rosecroft/rosecroft/src/scaler"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// observeInterval is how often the upstreams are searched for reclaims.
	observeInterval = planInterval
	// historyInterval is the shortest time between two records of reclaim histories in the log.
	historyInterval = 2 * time.Second
)

// reserves decides the reserve of each service against reclaims, if the settings enable it. Only the coordinator's
// goroutine uses it.
type reserves struct {
	coordinator *coordinator
	scope       tally.Scope
	byService   map[units.Service]*serviceReserve
	observedAt  time.Time
	proposedAt  time.Time
}

// serviceReserve decides one service's reserve. It passes true time to the reserver, so that times in the history mean
// the same to each leader.
type serviceReserve struct {
	coordinator *coordinator
	service     units.Service
	reserver    *reserver.Reserver
	last        reserver.Decision
	// proposed is the version of the history that was last proposed, 0 if none was.
	proposed uint64
	onDemand tally.Gauge
	losses   tally.Gauge
	reclaims tally.Counter
}

func newReserves(c *coordinator, metrics *meter.Meter) *reserves {
	r := &reserves{
		coordinator: c,
		scope:       tally.NoopScope,
	}
	if metrics != nil {
		r.scope = metrics.Scope
	}
	return r
}

// startLeadership starts with the histories in the log.
func (r *reserves) startLeadership() { r.byService = make(map[units.Service]*serviceReserve) }

// isEnabled reports whether reserves are decided here.
func (r *reserves) isEnabled() bool {
	return r.coordinator.settings.Reserve.Enabled && r.coordinator.duties.cloud != nil
}

// of returns the reserve of a service.
func (r *reserves) of(service units.Service) *serviceReserve {
	s := r.byService[service]
	if s != nil {
		return s
	}
	scope := r.scope.Tagged(map[string]string{"service": string(service)})
	s = &serviceReserve{
		coordinator: r.coordinator,
		service:     service,
		reserver: &reserver.Reserver{
			ShortageCost: r.coordinator.settings.Reserve.ShortageCost,
			MinLosses:    r.coordinator.settings.Reserve.MinLosses,
		},
		losses:   scope.Gauge("reserve_losses"),
		onDemand: scope.Gauge("reserve_on_demand"),
		reclaims: scope.Counter("reclaims"),
	}
	if m := r.coordinator.state.reclaimHistories[service]; m != nil {
		s.reserver.Continue(decodeHistory(m))
	}
	r.byService[service] = s
	return s
}

// tick searches the upstreams for reclaims and proposes a history that has changed.
func (r *reserves) tick(now time.Time) error {
	c := r.coordinator
	if !r.isEnabled() || c.configuration == nil || now.Sub(r.observedAt) < observeInterval {
		return nil
	}
	r.observedAt = now
	for name, s := range r.byService {
		if !isConfigured(c.configuration, name) {
			// The log drops its history, and gets it again if the service comes back.
			s.proposed = 0
		}
	}
	trueNow := c.trueTime(now)
	upstreams := reclaimableUpstreams(c.table)
	for i := range c.configuration.Services {
		service := &c.configuration.Services[i]
		if service.Scaling != nil && len(service.Scaling.Prices) > 0 {
			r.of(service.Name).observe(trueNow, upstreams[service.Name])
		}
	}
	return r.propose(now)
}

// propose proposes one history that has changed, at most once per historyInterval. One that is not committed is
// proposed again with its next change.
func (r *reserves) propose(now time.Time) error {
	if now.Sub(r.proposedAt) < historyInterval {
		return nil
	}
	for i := range r.coordinator.configuration.Services {
		s := r.byService[r.coordinator.configuration.Services[i].Name]
		if s == nil {
			continue
		}
		history, version := s.reserver.History()
		if version == s.proposed {
			continue
		}
		s.proposed = version
		r.proposedAt = now
		return r.coordinator.step(replicator.Proposed{
			Command: &messages.Command{
				Change: &messages.Command_ReclaimHistory{
					ReclaimHistory: encodeHistory(s.service, history),
				},
			},
		})
	}
	return nil
}

// reclaimableUpstreams returns the reclaimable upstreams of each service in all releases.
func reclaimableUpstreams(table *enroller.Table) map[units.Service][]reserver.Upstream {
	upstreams := make(map[units.Service][]reserver.Upstream)
	for _, e := range table.Upstreams() {
		if e.Reclaimable {
			upstreams[e.Service] = append(upstreams[e.Service], reserver.Upstream{
				ID:         units.NewIncarnationID(e.ID, e.Incarnation),
				DataCentre: e.DataCentre,
				Condition:  conditionOf(e),
			})
		}
	}
	return upstreams
}

func conditionOf(e *enroller.Upstream) reserver.Condition {
	switch {
	case e.State == enroller.Gone:
		return reserver.Gone
	case e.State == enroller.Leaving:
		return reserver.Leaving
	case e.Silent:
		return reserver.Silent
	}
	return reserver.Ready
}

func (s *serviceReserve) observe(trueNow time.Time, upstreams []reserver.Upstream) {
	for _, reclaim := range s.reserver.Observe(trueNow, upstreams) {
		s.reclaims.Inc(1)
		s.coordinator.log.Info().
			Str("service", string(s.service)).
			Str("data-centre", string(reclaim.DataCentre)).
			Int("upstreams", reclaim.Upstreams).
			Msg("reclaim-observed")
	}
}

// Reserve implements scaler.Reserver.
func (s *serviceReserve) Reserve(now time.Time, service *matcher.Service, needed int, ready, starting scaler.PoolSizes) scaler.Reserve {
	reserve := s.reserver.Reserve(s.coordinator.trueTime(now), service, needed, ready, starting)
	decision := s.reserver.Last()
	s.losses.Update(float64(decision.Losses))
	s.onDemand.Update(float64(decision.OnDemand))
	if decision.Losses != s.last.Losses || decision.Extra != s.last.Extra {
		s.coordinator.log.Info().
			Str("service", string(s.service)).
			Int("losses", decision.Losses).
			Int("losses-before", s.last.Losses).
			Int("extra", decision.Extra).
			Int("extra-before", s.last.Extra).
			Int("on-demand", decision.OnDemand).
			Int("needed", decision.Needed).
			Float64("reclaims-per-minute", decision.Rate*time.Minute.Seconds()).
			Int("reclaims", decision.Reclaims).
			Dur("unavailable-ms", decision.Unavailable).
			Msg("reserve-changed")
		s.last = decision
	}
	return reserve
}

// recordPlaced records an order of a pool of which some upstreams are ready: those that it releases are not reclaimed.
func (r *reserves) recordPlaced(service units.Service, order scaler.Order, at placement) {
	if r.isEnabled() && order.Reclaimable && order.Count < at.ready {
		r.of(service).reserver.OnReleased(r.coordinator.trueTime(at.at), order.DataCentre, at.ready-order.Count)
	}
}

// recordResult records whether the platform had reclaimable upstreams to order.
func (r *reserves) recordResult(now time.Time, e orderEnded) {
	if !r.isEnabled() || !e.order.Reclaimable || e.order.Count <= e.placement.ready {
		return
	}
	s := r.of(e.order.Service)
	var unavailable *NoCapacityError
	switch {
	case e.err == nil:
		s.reserver.OnAccepted(r.coordinator.trueTime(now), r.coordinator.trueTime(e.placement.at), e.order.DataCentre)
	case errors.As(e.err, &unavailable):
		s.reserver.OnRefused(r.coordinator.trueTime(now), e.order.DataCentre)
	}
}

func encodeHistory(service units.Service, h reserver.History) *messages.ReclaimHistory {
	m := &messages.ReclaimHistory{
		Service:         string(service),
		ObservedSinceNs: h.ObservedSince.UnixNano(),
	}
	for _, reclaim := range h.Reclaims {
		m.Reclaims = append(m.Reclaims, &messages.Reclaim{
			DataCentre:    string(reclaim.DataCentre),
			AtNs:          reclaim.At.UnixNano(),
			Upstreams:     uint32(reclaim.Upstreams),
			UnavailableNs: int64(reclaim.Unavailable),
		})
	}
	return m
}

func decodeHistory(m *messages.ReclaimHistory) reserver.History {
	h := reserver.History{}
	if m.GetObservedSinceNs() != 0 {
		h.ObservedSince = time.Unix(0, m.GetObservedSinceNs())
	}
	for _, reclaim := range m.GetReclaims() {
		h.Reclaims = append(h.Reclaims, reserver.Reclaim{
			DataCentre:  units.DataCentre(reclaim.GetDataCentre()),
			At:          time.Unix(0, reclaim.GetAtNs()),
			Upstreams:   int(reclaim.GetUpstreams()),
			Unavailable: time.Duration(reclaim.GetUnavailableNs()),
		})
	}
	return h
}

// applyReclaimHistory replaces what is known of a service's reclaims.
func (s *state) applyReclaimHistory(next *messages.ReclaimHistory) {
	if s.reclaimHistories == nil {
		s.reclaimHistories = make(map[units.Service]*messages.ReclaimHistory)
	}
	if surplus := len(next.GetReclaims()) - reserver.MaxReclaims; surplus > 0 {
		next = proto.CloneOf(next)
		next.Reclaims = next.Reclaims[surplus:]
	}
	s.reclaimHistories[units.Service(next.GetService())] = next
}

// retainReclaimHistories drops the histories of services that a configuration does not have; nil keeps all.
func (s *state) retainReclaimHistories(configuration *matcher.Configuration) {
	if configuration == nil {
		return
	}
	maps.DeleteFunc(s.reclaimHistories, func(service units.Service, _ *messages.ReclaimHistory) bool {
		return !isConfigured(configuration, service)
	})
}

func isConfigured(configuration *matcher.Configuration, name units.Service) bool {
	return slices.ContainsFunc(configuration.Services, func(service matcher.Service) bool { return service.Name == name })
}

// restoreReclaimHistories replaces the histories of reclaims by those of a snapshot. The snapshot is later in the log, also
// where its times are earlier: the clock of the leader that recorded them may have been behind. A snapshot without any
// history may be of an earlier version, and says nothing about them.
func (s *state) restoreReclaimHistories(states *messages.MachineStates) error {
	restored := &state{}
	for name, encoded := range states.GetStates() {
		if !strings.HasPrefix(name, reclaimKeyPrefix) {
			continue
		}
		history := &messages.ReclaimHistory{}
		if err := proto.Unmarshal(encoded, history); err != nil {
			return fmt.Errorf("decode a snapshot's reclaims: %w; run the same version on every control instance", err)
		}
		restored.applyReclaimHistory(history)
	}
	if len(restored.reclaimHistories) > 0 {
		s.reclaimHistories = restored.reclaimHistories
	}
	return nil
}
