package governor

import (
	"context"
	"errors"
	"time"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/scaler"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// planInterval is how often the plan is recomputed; loads arrive with every poll.
	planInterval = 250 * time.Millisecond
	// logInterval is how often the load is logged.
	logInterval = 2 * time.Second
	// maxPendingOrders bounds the orders to the platform that are in flight at the same time.
	maxPendingOrders = 8
)

// orders orders upstreams while this instance leads. Only the coordinator's goroutine uses
// it.
type orders struct {
	loadMeter scaler.LoadMeter
	scalers   map[units.Service]*scaler.Scaler
	plannedAt time.Time
	loggedAt  time.Time
	pending   int
	// fenced are the services for which another holder has given orders since.
	fenced map[units.Service]bool
}

func (o *orders) startLeadership() {
	o.scalers = make(map[units.Service]*scaler.Scaler)
	o.fenced = make(map[units.Service]bool)
	o.pending = 0
}

// record stores an entry's load totals by service.
func (o *orders) record(now time.Time, entry units.Instance, incarnation units.Incarnation, loads []*messages.ServiceLoad) {
	o.loadMeter.Record(now, entry, incarnation, totalsOf(loads))
}

// totalsOf decodes load totals by service.
func totalsOf(loads []*messages.ServiceLoad) map[units.Service]scaler.Totals {
	totals := make(map[units.Service]scaler.Totals, len(loads))
	for _, l := range loads {
		totals[units.Service(l.GetService())] = scaler.Totals{
			Tokens:          l.GetTokens(),
			Calls:           l.GetCalls(),
			CallSeconds:     l.GetCallSeconds(),
			SecondsPerToken: l.GetSecondsPerToken(),
		}
	}
	return totals
}

// withCapacity returns a measured load with what is known of the capacity of the service's upstreams.
func (c *coordinator) withCapacity(now time.Time, service units.Service, load scaler.Load) scaler.Load {
	load.LimitedUpstreams = c.rateLimits.limitedUpstreams(now, service)
	load.BackedOffUpstreams = c.backoffs.upstreams(now, service)
	load.Slowdown = c.slowdowns.combined(service)
	return load
}

// tick recomputes the plan and sends the orders that are due.
func (o *orders) tick(ctx context.Context, now time.Time, duties *duties) {
	c := duties.coordinator
	if c.configuration == nil || now.Sub(o.plannedAt) < planInterval {
		return
	}
	o.plannedAt = now
	loads := o.loadMeter.Measure(now)
	for i := range c.configuration.Services {
		service := &c.configuration.Services[i]
		if service.Scaling == nil || len(service.Scaling.Prices) == 0 || o.fenced[service.Name] || o.pending > maxPendingOrders {
			continue
		}
		s := o.scalers[service.Name]
		if s == nil {
			s = &scaler.Scaler{}
			if c.reserves.isEnabled() {
				s.Reserver = c.reserves.of(service.Name)
			}
			o.scalers[service.Name] = s
		}
		load := c.withCapacity(now, service.Name, loads[service.Name])
		load.EjectedUpstreams = c.ejections.missing(service.Name)
		stock := readyUpstreams(c.table, service.Name, c.rollouts.separateRelease(service.Name))
		o.logLoad(now, duties, service.Name, s.Load(), stock)
		for _, order := range s.Step(now, service, load, stock) {
			c.log.Info().
				Str("service", string(service.Name)).
				Str("data-centre", string(order.DataCentre)).
				Bool("reclaimable", order.Reclaimable).
				Int("count", order.Count).
				Int("have", stock[order.Pool]).
				Float64("asked", load.Demand).
				Float64("seconds-each", load.SecondsPerUnit).
				Float64("slowdown", load.Slowdown).
				Float64("running", load.Concurrency).
				Int("limited", load.LimitedUpstreams).
				Float64("backed-off", load.BackedOffUpstreams).
				Float64("ejected", load.EjectedUpstreams).
				Uint64("fence", uint64(c.node.Term())).
				Msg("upstreams-ordered")
			at := placement{
				at:    now,
				ready: stock[order.Pool],
			}
			c.reserves.recordPlaced(service.Name, order, at)
			o.pending++
			go o.send(ctx, duties, c.node.Term(), at, Order{
				Service: service.Name,
				Order:   order,
			})
		}
	}
}

// logLoad logs the input of the plan, at most once per logInterval.
func (o *orders) logLoad(now time.Time, duties *duties, service units.Service, load scaler.Load, stock scaler.PoolSizes) {
	if now.Sub(o.loggedAt) < logInterval {
		return
	}
	o.loggedAt = now
	total := 0
	for _, count := range stock {
		total += count
	}
	duties.coordinator.log.Info().
		Str("service", string(service)).
		Float64("asked", load.Demand).
		Float64("seconds-each", load.SecondsPerUnit).
		Float64("slowdown", load.Slowdown).
		Float64("running", load.Concurrency).
		Int("upstreams", total).
		Msg("service-load")
}

// readyUpstreams counts a service's upstreams that accept calls. Upstreams of the excluded
// release are not counted: they run beside those that carry the service's load.
func readyUpstreams(table *enroller.Table, service units.Service, excluded units.Release) scaler.PoolSizes {
	stock := make(scaler.PoolSizes)
	for _, e := range table.Upstreams() {
		if e.Service == service && e.State == enroller.Ready && !e.Silent && (excluded == "" || e.Release != excluded) {
			stock[scaler.Pool{
				DataCentre:  e.DataCentre,
				Reclaimable: e.Reclaimable,
			}]++
		}
	}
	return stock
}

// send sends one order, unless the leadership has ended meanwhile.
func (o *orders) send(ctx context.Context, duties *duties, term units.Term, at placement, order Order) {
	c := duties.coordinator
	err := errLeadershipEnded
	if c.now().UnixNano() < c.leaderUntil.Load() {
		callContext, cancel := context.WithTimeout(ctx, cloudTimeout)
		err = duties.cloud.Scale(callContext, duties.holder(term), order)
		cancel()
	}
	select {
	case c.events <- orderEnded{
		term:      term,
		order:     order,
		placement: at,
		err:       err,
	}:
	case <-ctx.Done():
	}
}

// handleResult handles the result of an order.
func (o *orders) handleResult(e orderEnded, duties *duties) {
	c := duties.coordinator
	if e.term != c.node.Term() {
		return
	}
	o.pending = max(0, o.pending-1)
	s := o.scalers[e.order.Service]
	c.reserves.recordResult(c.now(), e)
	if e.err == nil || s == nil {
		return
	}
	var fenced *FencedError
	var unavailable *NoCapacityError
	switch {
	case errors.As(e.err, &fenced):
		o.fenced[e.order.Service] = true
	case errors.As(e.err, &unavailable):
		s.OnOrderRefused(c.now(), e.order.Pool)
	default:
		s.OnOrderFailed(e.order.Pool)
	}
	c.log.Warn().
		Err(e.err).
		Str("service", string(e.order.Service)).
		Str("data-centre", string(e.order.DataCentre)).
		Bool("reclaimable", e.order.Reclaimable).
		Int("count", e.order.Count).
		Msg("order-not-carried-out")
}
