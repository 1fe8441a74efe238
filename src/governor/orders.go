package governor

import (
	"context"
	"errors"
	"time"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/scaler"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// planInterval is how often the plan is made anew; loads arrive with every poll.
	planInterval = 250 * time.Millisecond
	// tellInterval is how often the load is logged.
	tellInterval = 2 * time.Second
	// mostCalls bounds the orders that are on their way to the platform at once.
	mostCalls = 8
)

// orders gives orders for upstreams while this instance leads; the coordinator alone uses it.
type orders struct {
	survey    scaler.LoadMeter
	scalers   map[units.Service]*scaler.Scaler
	plannedAt time.Time
	toldAt    time.Time
	calls     int
	// fenced are the services whose orders another holder has given since.
	fenced map[units.Service]bool
}

func (d *orders) begin() {
	d.scalers = make(map[units.Service]*scaler.Scaler)
	d.fenced = make(map[units.Service]bool)
	d.calls = 0
}

// hear takes what an entry has seen of the services.
func (d *orders) hear(now time.Time, entry units.Instance, incarnation units.Incarnation, loads []*messages.ServiceLoad) {
	totals := make(map[units.Service]scaler.Totals, len(loads))
	for _, l := range loads {
		totals[units.Service(l.GetService())] = scaler.Totals{
			Tokens:          l.GetTokens(),
			Calls:           l.GetCalls(),
			CallSeconds:     l.GetCallSeconds(),
			SecondsPerToken: l.GetSecondsPerToken(),
		}
	}
	d.survey.Record(now, entry, incarnation, totals)
}

// work makes the plan anew and gives the orders that are due.
func (d *orders) work(ctx context.Context, now time.Time, duties *duties) {
	c := duties.coordinator
	if c.declared == nil || now.Sub(d.plannedAt) < planInterval {
		return
	}
	d.plannedAt = now
	loads := d.survey.Measure(now)
	for i := range c.declared.Services {
		service := &c.declared.Services[i]
		if service.Scaling == nil || len(service.Scaling.Prices) == 0 || d.fenced[service.Name] || d.calls > mostCalls {
			continue
		}
		s := d.scalers[service.Name]
		if s == nil {
			s = &scaler.Scaler{}
			d.scalers[service.Name] = s
		}
		load := loads[service.Name]
		load.LimitedUpstreams = c.pacing.short(now, service.Name)
		stock := stockOf(c.table, service.Name, c.rollouts.barred(service.Name))
		d.tell(now, duties, service.Name, s.Load(), stock)
		for _, order := range s.Step(now, service, load, stock) {
			c.log.Info().
				Str("service", string(service.Name)).
				Str("data-centre", string(order.DataCentre)).
				Bool("reclaimable", order.Reclaimable).
				Int("count", order.Count).
				Int("have", stock[order.Pool]).
				Float64("asked", load.Demand).
				Float64("seconds-each", load.SecondsPerUnit).
				Float64("running", load.Concurrency).
				Int("limited", load.LimitedUpstreams).
				Uint64("fence", uint64(c.node.Term())).
				Msg("upstreams-ordered")
			d.calls++
			go d.send(ctx, duties, c.node.Term(), Order{
				Service: service.Name,
				Order:   order,
			})
		}
	}
}

// tell logs what the plan goes by, now and then.
func (d *orders) tell(now time.Time, duties *duties, service units.Service, load scaler.Load, stock scaler.PoolSizes) {
	if now.Sub(d.toldAt) < tellInterval {
		return
	}
	d.toldAt = now
	total := 0
	for _, count := range stock {
		total += count
	}
	duties.coordinator.log.Info().
		Str("service", string(service)).
		Float64("asked", load.Demand).
		Float64("seconds-each", load.SecondsPerUnit).
		Float64("running", load.Concurrency).
		Int("upstreams", total).
		Msg("service-load")
}

// stockOf counts the upstreams of a service that take calls, but for a version that does
// not carry the service: they run beside those that do.
func stockOf(table *enroller.Table, service units.Service, barred units.Release) scaler.PoolSizes {
	stock := make(scaler.PoolSizes)
	for _, e := range table.Entries() {
		if e.Service == service && e.State == enroller.Ready && !e.Silent && (barred == "" || e.Release != barred) {
			stock[scaler.Pool{
				DataCentre:  e.DataCentre,
				Reclaimable: e.Reclaimable,
			}]++
		}
	}
	return stock
}

// send gives one order, unless the leadership has ended meanwhile.
func (d *orders) send(ctx context.Context, duties *duties, term units.Term, order Order) {
	c := duties.coordinator
	err := errRested
	if timekeeper.Now().UnixNano() < c.leadUntil.Load() {
		callContext, cancel := context.WithTimeout(ctx, cloudTimeout)
		err = duties.cloud.Scale(callContext, duties.holder(term), order)
		cancel()
	}
	select {
	case c.box <- orderEnded{
		term:  term,
		order: order,
		err:   err,
	}:
	case <-ctx.Done():
	}
}

// ended takes the end of an order.
func (d *orders) ended(e orderEnded, duties *duties) {
	c := duties.coordinator
	if e.term != c.node.Term() {
		return
	}
	d.calls = max(0, d.calls-1)
	s := d.scalers[e.order.Service]
	if e.err == nil || s == nil {
		return
	}
	var fenced *FencedError
	var unavailable *UnavailableError
	switch {
	case errors.As(e.err, &fenced):
		d.fenced[e.order.Service] = true
	case errors.As(e.err, &unavailable):
		s.OnOrderRefused(timekeeper.Now(), e.order.Pool)
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
