package control

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/buyer"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	purchaseTick    = 200 * time.Millisecond
	purchaseSettle  = 3 * time.Second
	purchaseRetry   = 2 * time.Second
	refusalBackoff  = 5 * time.Second
	mostBackoff     = 5 * time.Minute
	surplusCoolDown = 10 * time.Minute
	startLimit      = 5 * time.Minute
	// bootTime is what an instance takes besides its weights.
	bootTime = time.Minute
	// startingPerLoad bounds the instances that wait for the weight store.
	startingPerLoad = 4
)

// purchaseDesk is the leader's duty to buy instances and give them back.
type purchaseDesk struct {
	log    zerolog.Logger
	ledger *purchaseLedger
	orders *orderDesk
	buyer  *buyer.Buyer
	queue  chan cloudRequest
	box    chan<- event
	client *http.Client

	leading  bool
	tickedAt time.Time
	recent   []PurchaseDump
}

// PurchaseDump is one decision of this leader.
type PurchaseDump struct {
	Token      string           `yaml:"token"`
	State      string           `yaml:"state"`
	DataCentre units.DataCentre `yaml:"data-centre"`
	Instance   string           `yaml:"instance"`
	Reason     string           `yaml:"reason"`
}

func newPurchaseDesk(log zerolog.Logger, ledger *purchaseLedger, orders *orderDesk, box chan<- event) *purchaseDesk {
	return &purchaseDesk{
		log:    log,
		ledger: ledger,
		orders: orders,
		box:    box,
		queue:  make(chan cloudRequest, cloudRequests),
		client: &http.Client{
			Timeout: cloudTimeout,
		},
		buyer: &buyer.Buyer{
			Options: buyer.Options{
				WarmUp:          purchaseSettle,
				RetryInterval:   purchaseRetry,
				Backoff:         refusalBackoff,
				MaxBackoff:      mostBackoff,
				CoolDown:        surplusCoolDown,
				AnnounceTimeout: startLimit,
			},
		},
	}
}

// Lead returns the purchases to commit and makes the requests for committed ones.
func (d *purchaseDesk) Lead(now time.Time, term units.Term) []*messages.Command {
	if !d.leading {
		d.leading = true
		d.buyer.Step(now, buyer.LeadershipGained{Term: term})
	}
	configuration := d.orders.configuration()
	if now.Sub(d.tickedAt) < purchaseTick || configuration == nil || configuration.Fleet.Cloud == "" {
		return nil
	}
	d.tickedAt = now
	d.post(cloudRequest{
		method:  http.MethodGet,
		address: configuration.Fleet.Cloud + "/v1/instances",
	})
	return d.carryOut(configuration, d.buyer.Step(now, buyer.Ticked{
		Ledger:      d.ledger.list(),
		Offers:      offersOf(configuration),
		Demands:     d.demands(now, configuration),
		Upstreams:   d.upstreams(now),
		MaxStarting: startingPerLoad * configuration.Fleet.WeightStore.LoadsAtOnce,
	}))
}

// Rest ends the leadership.
func (d *purchaseDesk) Rest() {
	d.leading = false
	d.buyer.Step(time.Time{}, buyer.LeadershipLost{})
}

func (d *purchaseDesk) carryOut(configuration *parser.Configuration, actions []buyer.Action) []*messages.Command {
	var commands []*messages.Command
	for _, action := range actions {
		switch a := action.(type) {
		case buyer.Commit:
			d.note(a.Purchase)
			commands = append(commands, &messages.Command{
				Change: &messages.Command_Purchase{
					Purchase: a.Purchase,
				},
			})
		case buyer.Launch:
			d.post(launchOf(configuration, a.Purchase))
		case buyer.Release:
			d.post(cloudRequest{
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
				Slots:           c.Fleet.Slots(offer.Class),
			})
		}
	}
	return offers
}

func (d *purchaseDesk) demands(now time.Time, c *parser.Configuration) []buyer.Demand {
	used := make(map[units.Service]int)
	for _, rumour := range d.orders.fleet.upstreams(now) {
		load := rumour.GetAnnouncement().GetLoad()
		used[units.Service(rumour.GetAnnouncement().GetService())] += int(load.GetRunning() + load.GetQueued())
	}
	var demands []buyer.Demand
	for i := range c.Services {
		s := &c.Services[i]
		if s.Fleet.Most == 0 {
			continue
		}
		load := bootTime
		if rate := c.Fleet.WeightStore.BytesPerSecond; rate > 0 {
			load += time.Duration(float64(c.Fleet.Bytes(s.WantedVersion())) / float64(rate) * float64(time.Second))
		}
		demands = append(demands, buyer.Demand{
			Service:          s.Name,
			MinSlots:         s.Fleet.Slots,
			UsedSlots:        used[s.Name],
			MinOnDemandSlots: s.Fleet.OnDemand,
			MaxInstances:     s.Fleet.Most,
			LoadTime:         load,
		})
	}
	return demands
}

func (d *purchaseDesk) upstreams(now time.Time) []buyer.Upstream {
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

func (d *purchaseDesk) note(p *messages.Purchase) {
	d.recent = append(d.recent, PurchaseDump{
		Token:      p.GetToken(),
		State:      p.GetState().String(),
		DataCentre: units.DataCentre(p.GetDataCentre()),
		Instance:   p.GetInstance(),
		Reason:     p.GetReason(),
	})
	d.recent = d.recent[max(0, len(d.recent)-ordersRetained):]
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

// answer brings the platform's answer to the buyer and returns what to commit.
func (d *purchaseDesk) answer(e cloudAnswered) []*messages.Command {
	if !d.leading {
		return nil
	}
	return d.carryOut(d.orders.parsed, d.buyer.Step(time.Now(), e.answer))
}
