package control

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/orderer"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	orderInterval = 200 * time.Millisecond
	orderTimeout  = time.Second
	// clockDrift bounds by how much two clocks may drift apart during one lease.
	clockDrift = 200 * time.Millisecond
	// orderObservePeriod is how long a change at an upstream takes to be announced here.
	orderObservePeriod = 2 * time.Second
	// orderResendInterval is the time before an order without effect is resent; it
	// doubles with each resend, up to maxOrderResendInterval.
	orderResendInterval    = 2 * time.Second
	maxOrderResendInterval = 30 * time.Second
	orderQueueSize         = 256
	orderWorkers           = 16
	maxRecentDumps         = 32
	maxOrderResultBytes    = 64 << 10
)

// orderAnswered carries an upstream's answer to an order; the result is nil if there
// was none.
type orderAnswered struct {
	send   orderer.Send
	result *messages.OrderResult
}

func (orderAnswered) event() {}

// orderSender is the leader task that sends orders to upstreams.
type orderSender struct {
	log     zerolog.Logger
	capper  *capper.Capper
	state   *configurationMachine
	fleet   *fleet
	orderer *orderer.Orderer
	queue   chan orderer.Send
	events  chan<- event
	client  *http.Client

	leading  bool
	tickedAt time.Time
	parsed   *parser.Configuration
	recent   []OrderDump
}

// OrderDump is one order that this leader has issued.
type OrderDump struct {
	Upstream units.Upstream     `yaml:"upstream"`
	Fencing  units.Term         `yaml:"fencing"`
	Version  units.ModelVersion `yaml:"version"`
	Reason   string             `yaml:"reason"`
}

func newOrderSender(settings *parser.Settings, log zerolog.Logger, state *configurationMachine, fleet *fleet, events chan<- event) *orderSender {
	return &orderSender{
		log:    log,
		state:  state,
		fleet:  fleet,
		events: events,
		queue:  make(chan orderer.Send, orderQueueSize),
		client: &http.Client{Transport: capper.NewDefaultTransport()},
		orderer: &orderer.Orderer{
			Options: orderer.Options{
				Lease:             settings.Timing.ElectionTimeout,
				MaxClockDrift:     clockDrift,
				Timeout:           orderTimeout,
				AnnounceDelay:     orderObservePeriod,
				ResendInterval:    orderResendInterval,
				MaxResendInterval: maxOrderResendInterval,
			},
		},
	}
}

// Lead sends the orders that are due. Orders are not commands of the log, so it
// returns none.
func (o *orderSender) Lead(now time.Time, term units.Term) []*messages.Command {
	if !o.leading {
		o.leading = true
		o.orderer.Step(now, orderer.LeadershipGained{Term: term})
	}
	if now.Sub(o.tickedAt) < orderInterval {
		return nil
	}
	o.tickedAt = now
	configuration := o.configuration()
	if configuration == nil {
		return nil
	}
	services := wantedServices(configuration)
	if len(services) == 0 {
		return nil
	}
	sends := o.orderer.Step(now, orderer.Ticked{
		Services:  services,
		Upstreams: orderUpstreams(o.fleet.upstreams(now)),
		StoreLimits: orderer.StoreLimits{
			BytesPerSecond:     configuration.Fleet.WeightStore.BytesPerSecond,
			MaxConcurrentLoads: configuration.Fleet.WeightStore.MaxConcurrentLoads,
		},
	})
	for _, send := range sends {
		o.enqueue(send)
	}
	return nil
}

// StopLeading ends the leadership and discards the queued orders.
func (o *orderSender) StopLeading() {
	o.leading = false
	o.orderer.Step(time.Time{}, orderer.LeadershipLost{})
	for {
		select {
		case <-o.queue:
		default:
			return
		}
	}
}

// configuration returns the accepted configuration, parsed once for each version.
func (o *orderSender) configuration() *parser.Configuration {
	if o.state.Version() == 0 {
		return nil
	}
	if o.parsed != nil && o.parsed.Version == o.state.Version() {
		return o.parsed
	}
	parsed, err := parser.ParseConfiguration("accepted", o.state.Document())
	if err != nil {
		o.log.Error().Err(err).Msg("configuration-unreadable")
		return nil
	}
	o.parsed = parsed
	return parsed
}

// wantedServices returns the services that receive orders, with their wanted state.
func wantedServices(c *parser.Configuration) []orderer.Service {
	var services []orderer.Service
	for i := range c.Services {
		s := &c.Services[i]
		if !s.Fleet.AllowOrders {
			continue
		}
		service := orderer.Service{
			Name:       s.Name,
			Versions:   []units.ModelVersion{s.ModelVersion},
			MinServing: s.Fleet.MinInService,
			Bytes:      c.Fleet.WeightBytes(s.WantedVersion()),
			Wanted: &messages.Wanted{
				Model:        string(s.Models[0]),
				ModelVersion: string(s.WantedVersion()),
				Adapters:     s.Fleet.Adapters,
				Role:         s.Fleet.Role,
			},
		}
		if s.NextVersion != "" {
			service.Versions = append(service.Versions, s.NextVersion)
		}
		services = append(services, service)
	}
	return services
}

func orderUpstreams(rumours map[units.Upstream]*messages.Rumour) []orderer.Upstream {
	upstreams := make([]orderer.Upstream, 0, len(rumours))
	for name, rumour := range rumours {
		a := rumour.GetAnnouncement()
		upstreams = append(upstreams, orderer.Upstream{
			Name:          name,
			Service:       units.Service(a.GetService()),
			Address:       a.GetAddress(),
			Incarnation:   units.Incarnation(a.GetIncarnation()),
			Model:         a.GetModel(),
			Version:       units.ModelVersion(a.GetModelVersion()),
			Adapters:      a.GetAdapters(),
			Role:          a.GetRole(),
			Loading:       units.ModelVersion(a.GetLoadingVersion()),
			ChecksFencing: a.GetChecksFencing(),
			Fencing:       units.Term(a.GetFencing()),
			Live:          rumour.GetState() == messages.UpstreamState_UPSTREAM_STATE_ANNOUNCED,
		})
	}
	return upstreams
}

// enqueue logs an order and queues it, and drops it if the queue is full.
func (o *orderSender) enqueue(send orderer.Send) {
	o.recent = append(o.recent, OrderDump{
		Upstream: units.Upstream(send.Order.GetUpstream()),
		Fencing:  units.Term(send.Order.GetFencing()),
		Version:  units.ModelVersion(send.Order.GetWanted().GetModelVersion()),
		Reason:   send.Reason,
	})
	o.recent = o.recent[max(0, len(o.recent)-maxRecentDumps):]
	o.log.Info().
		Str("upstream", send.Order.GetUpstream()).
		Uint64("fencing", send.Order.GetFencing()).
		Str("version", send.Order.GetWanted().GetModelVersion()).
		Str("reason", send.Reason).
		Msg("order-given")
	select {
	case o.queue <- send:
	default:
	}
}

// run starts the workers that send orders until ctx ends.
func (o *orderSender) run(ctx context.Context) {
	for range orderWorkers {
		go o.runWorker(ctx)
	}
}

func (o *orderSender) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case send := <-o.queue:
			result, err := o.send(ctx, send)
			if err != nil {
				o.capper.Report(send.Order.GetUpstream(), err)
				o.log.Warn().Err(err).Str("upstream", send.Order.GetUpstream()).Msg("order-unanswered")
			}
			select {
			case o.events <- orderAnswered{send: send, result: result}:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (o *orderSender) send(ctx context.Context, send orderer.Send) (*messages.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	content, err := protojson.Marshal(send.Order)
	if err != nil {
		return nil, fmt.Errorf("form an order: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, send.Address+"/v1/orders", bytes.NewReader(content))
	if err != nil {
		return nil, fmt.Errorf("form an order: %w", err)
	}
	request.Header.Set("Content-Type", jsonType)
	response, err := o.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send an order: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := capper.ReadAll(capper.Source{
		Body:   response.Body,
		Kind:   capper.Body,
		Length: response.ContentLength,
		Limit:  maxOrderResultBytes,
	}, nil)
	if err != nil {
		return nil, fmt.Errorf("read the answer to an order: %w", err)
	}
	result := &messages.OrderResult{}
	if err := protojson.Unmarshal(answer, result); err != nil {
		return nil, fmt.Errorf("decode the answer to an order (%s): %w; enable orders at the upstream or disable them for its service", response.Status, err)
	}
	return result, nil
}

func (o *orderSender) answer(e orderAnswered) {
	name := units.Upstream(e.send.Order.GetUpstream())
	o.orderer.Step(time.Now(), orderer.OrderAnswered{
		Upstream: name,
		Order:    e.send.Order,
		Result:   e.result,
	})
	switch e.result.GetOutcome() {
	case messages.OrderOutcome_ORDER_OUTCOME_OLD_FENCING, messages.OrderOutcome_ORDER_OUTCOME_REFUSED:
		o.log.Warn().
			Str("upstream", string(name)).
			Stringer("outcome", e.result.GetOutcome()).
			Str("detail", e.result.GetDetail()).
			Msg("order-refused")
	}
}
