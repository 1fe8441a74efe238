package control

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/buyer"
	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	purchaseInterval = 200 * time.Millisecond
	// purchaseSettlePeriod is how long a new leader collects reports before it plans.
	purchaseSettlePeriod  = 3 * time.Second
	purchaseRetryInterval = 2 * time.Second
	// refusalBackoff is how long an offer is skipped after a refusal; it doubles up to
	// maxRefusalBackoff.
	refusalBackoff    = 5 * time.Second
	maxRefusalBackoff = 5 * time.Minute
	// surplusCoolDown is how long there must be surplus capacity before it is released.
	surplusCoolDown = 10 * time.Minute
	// startTimeout is how long a launched instance may take to announce itself.
	startTimeout = 5 * time.Minute
	// bootTime is how long an instance takes to start, without loading its weights.
	bootTime = time.Minute
	// startingPerLoad bounds the starting instances per concurrent load of the weight
	// store, and so those that wait for it.
	startingPerLoad = 4
)

// purchaser is the leader task that buys and releases instances.
type purchaser struct {
	log    zerolog.Logger
	capper *capper.Capper
	ledger *purchaseLedger
	orders *orderSender
	buyer  *buyer.Buyer
	queue  chan cloudRequest
	events chan<- event
	client *http.Client

	leading  bool
	tickedAt time.Time
	recent   []PurchaseDump
}

// PurchaseDump is one purchase that this leader has proposed, in its state then.
type PurchaseDump struct {
	Token      string           `yaml:"token"`
	State      string           `yaml:"state"`
	DataCentre units.DataCentre `yaml:"data-centre"`
	Instance   string           `yaml:"instance"`
	Reason     string           `yaml:"reason"`
}

func newPurchaser(log zerolog.Logger, ledger *purchaseLedger, orders *orderSender, events chan<- event) *purchaser {
	return &purchaser{
		log:    log,
		ledger: ledger,
		orders: orders,
		events: events,
		queue:  make(chan cloudRequest, cloudQueueSize),
		client: &http.Client{
			Transport: capper.NewDefaultTransport(),
			Timeout:   cloudTimeout,
		},
		buyer: &buyer.Buyer{
			Options: buyer.Options{
				WarmUp:          purchaseSettlePeriod,
				RetryInterval:   purchaseRetryInterval,
				Backoff:         refusalBackoff,
				MaxBackoff:      maxRefusalBackoff,
				CoolDown:        surplusCoolDown,
				AnnounceTimeout: startTimeout,
			},
		},
	}
}

// Lead returns the purchases to commit and queues the requests for committed ones.
func (d *purchaser) Lead(now time.Time, term units.Term) []*messages.Command {
	if !d.leading {
		d.leading = true
		d.buyer.Step(now, buyer.LeadershipGained{Term: term})
	}
	configuration := d.orders.configuration()
	if now.Sub(d.tickedAt) < purchaseInterval || configuration == nil || configuration.Fleet.Cloud == "" {
		return nil
	}
	d.tickedAt = now
	d.enqueue(cloudRequest{
		method:  http.MethodGet,
		address: configuration.Fleet.Cloud + "/v1/instances",
	})
	return d.carryOut(configuration, d.buyer.Step(now, buyer.Ticked{
		Ledger:      d.ledger.list(),
		Offers:      offersOf(configuration),
		Demands:     d.demands(now, configuration),
		Upstreams:   d.upstreams(now),
		MaxStarting: startingPerLoad * configuration.Fleet.WeightStore.MaxConcurrentLoads,
	}))
}

// StopLeading ends the leadership.
func (d *purchaser) StopLeading() {
	d.leading = false
	d.buyer.Step(time.Time{}, buyer.LeadershipLost{})
}

func (d *purchaser) carryOut(configuration *parser.Configuration, actions []buyer.Action) []*messages.Command {
	var commands []*messages.Command
	for _, action := range actions {
		switch a := action.(type) {
		case buyer.Commit:
			d.recordPurchase(a.Purchase)
			commands = append(commands, &messages.Command{
				Change: &messages.Command_Purchase{
					Purchase: a.Purchase,
				},
			})
		case buyer.Launch:
			d.enqueue(launchOf(configuration, a.Purchase))
		case buyer.Release:
			d.enqueue(cloudRequest{
				method:  http.MethodDelete,
				address: configuration.Fleet.Cloud + "/v1/instances/" + a.Purchase.GetInstance(),
			})
		}
	}
	return commands
}

func launchOf(c *parser.Configuration, p *messages.Purchase) cloudRequest {
	body := &launchRequest{
		Token:        p.GetToken(),
		DataCentre:   p.GetDataCentre(),
		MachineClass: p.GetMachineClass(),
		OnDemand:     p.GetOnDemand(),
		Service:      p.GetService(),
	}
	for i := range c.Services {
		if c.Services[i].Name == units.Service(p.GetService()) {
			body.Model = string(c.Services[i].Models[0])
		}
	}
	for _, offer := range offersOf(c) {
		if string(offer.DataCentre) == body.DataCentre && string(offer.Class) == body.MachineClass && offer.OnDemand == body.OnDemand {
			body.Price = float64(offer.Price)
		}
	}
	return cloudRequest{
		method:   http.MethodPost,
		address:  c.Fleet.Cloud + "/v1/instances",
		body:     body,
		purchase: p,
	}
}

func offersOf(c *parser.Configuration) []buyer.Offer {
	var offers []buyer.Offer
	for _, dataCentre := range c.Fleet.DataCentres {
		for _, offer := range dataCentre.Offers {
			offers = append(offers, buyer.Offer{
				DataCentre:      dataCentre.Name,
				Class:           offer.Class,
				OnDemand:        offer.OnDemand,
				Price:           offer.Price,
				ReclaimsPerHour: offer.ReclaimsPerHour,
				Slots:           c.Fleet.SlotsOf(offer.Class),
			})
		}
	}
	return offers
}

func (d *purchaser) demands(now time.Time, c *parser.Configuration) []buyer.Demand {
	used := make(map[units.Service]int)
	for _, rumour := range d.orders.fleet.upstreams(now) {
		load := rumour.GetAnnouncement().GetLoad()
		used[units.Service(rumour.GetAnnouncement().GetService())] += int(load.GetRunning() + load.GetQueued())
	}
	var demands []buyer.Demand
	for i := range c.Services {
		s := &c.Services[i]
		if s.Fleet.MaxInstances == 0 {
			continue
		}
		load := bootTime
		if rate := c.Fleet.WeightStore.BytesPerSecond; rate > 0 {
			load += time.Duration(float64(c.Fleet.WeightBytes(s.WantedVersion())) / float64(rate) * float64(time.Second))
		}
		demands = append(demands, buyer.Demand{
			Service:          s.Name,
			MinSlots:         s.Fleet.MinSlots,
			UsedSlots:        used[s.Name],
			MinOnDemandSlots: s.Fleet.MinOnDemand,
			MaxInstances:     s.Fleet.MaxInstances,
			LoadTime:         load,
		})
	}
	return demands
}

func (d *purchaser) upstreams(now time.Time) []buyer.Upstream {
	var upstreams []buyer.Upstream
	for _, rumour := range d.orders.fleet.upstreams(now) {
		a := rumour.GetAnnouncement()
		upstreams = append(upstreams, buyer.Upstream{
			Instance:   a.GetInstance(),
			Service:    units.Service(a.GetService()),
			DataCentre: units.DataCentre(a.GetDataCentre()),
			OnDemand:   !a.GetReclaimable(),
			Slots:      int(a.GetSlots()),
			Serving:    a.GetModelVersion() != "" && rumour.GetState() == messages.UpstreamState_UPSTREAM_STATE_ANNOUNCED,
			Leaving:    a.GetLeaving(),
		})
	}
	return upstreams
}

func (d *purchaser) recordPurchase(p *messages.Purchase) {
	d.recent = append(d.recent, PurchaseDump{
		Token:      p.GetToken(),
		State:      p.GetState().String(),
		DataCentre: units.DataCentre(p.GetDataCentre()),
		Instance:   p.GetInstance(),
		Reason:     p.GetReason(),
	})
	d.recent = d.recent[max(0, len(d.recent)-maxRecentDumps):]
	d.log.Info().
		Str("token", p.GetToken()).
		Stringer("state", p.GetState()).
		Str("service", p.GetService()).
		Str("data-centre", p.GetDataCentre()).
		Str("class", p.GetMachineClass()).
		Bool("on-demand", p.GetOnDemand()).
		Str("instance", p.GetInstance()).
		Str("reason", p.GetReason()).
		Msg("purchase-proposed")
}

// answer handles the platform's answer and returns the commands to propose.
func (d *purchaser) answer(e cloudAnswered) []*messages.Command {
	if !d.leading {
		return nil
	}
	return d.carryOut(d.orders.parsed, d.buyer.Step(time.Now(), e.answer))
}
