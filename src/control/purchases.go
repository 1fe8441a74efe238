package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/buyer"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	purchaseTick    = 200 * time.Millisecond
	cloudTimeout    = 2 * time.Second
	purchaseSettle  = 3 * time.Second
	purchaseRetry   = 2 * time.Second
	refusalBackoff  = 5 * time.Second
	mostBackoff     = 5 * time.Minute
	surplusCoolDown = 10 * time.Minute
	startLimit      = 5 * time.Minute
	// bootTime is what an instance takes besides its weights.
	bootTime = time.Minute
	// startingPerLoad bounds the instances that wait for the weight store.
	startingPerLoad   = 4
	purchasesRetained = 1024
	cloudRequests     = 256
	cloudAtOnce       = 8
	maxCloudAnswer    = 8 << 20
)

// purchaseLedger is the replicated state of all purchases.
type purchaseLedger struct {
	purchases map[string]*messages.Purchase
	// finished are tokens in the order of their end; the oldest are forgotten.
	finished []string
}

// Name is the ledger's key in snapshots.
func (l *purchaseLedger) Name() string { return "purchases" }

// Apply takes one purchase's next state where it follows the one known.
func (l *purchaseLedger) Apply(_ units.Index, command *messages.Command) proto.Message {
	p := command.GetPurchase()
	if p == nil || !buyer.Follows(l.purchases[p.GetToken()], p) {
		return nil
	}
	l.put(p)
	return nil
}

func (l *purchaseLedger) put(p *messages.Purchase) {
	if l.purchases == nil {
		l.purchases = make(map[string]*messages.Purchase)
	}
	l.purchases[p.GetToken()] = p
	if p.GetState() < messages.PurchaseState_PURCHASE_STATE_REFUSED {
		return
	}
	l.finished = append(l.finished, p.GetToken())
	if len(l.finished) > purchasesRetained {
		delete(l.purchases, l.finished[0])
		l.finished = l.finished[1:]
	}
}

// list returns all purchases, the finished ones first and in their order.
func (l *purchaseLedger) list() []*messages.Purchase {
	list := make([]*messages.Purchase, 0, len(l.purchases))
	for _, token := range l.finished {
		list = append(list, l.purchases[token])
	}
	return append(list, l.open()...)
}

// open returns the purchases that have not ended.
func (l *purchaseLedger) open() []*messages.Purchase {
	var open []*messages.Purchase
	for _, token := range slices.Sorted(maps.Keys(l.purchases)) {
		if l.purchases[token].GetState() < messages.PurchaseState_PURCHASE_STATE_REFUSED {
			open = append(open, l.purchases[token])
		}
	}
	return open
}

// Snapshot returns all purchases.
func (l *purchaseLedger) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&messages.PurchaseLedger{Purchases: l.list()})
}

// Restore replaces all purchases.
func (l *purchaseLedger) Restore(content []byte) error {
	ledger := &messages.PurchaseLedger{}
	if err := proto.Unmarshal(content, ledger); err != nil {
		return fmt.Errorf("read the purchases of a snapshot: %w", err)
	}
	l.purchases = nil
	l.finished = nil
	for _, p := range ledger.GetPurchases() {
		l.put(p)
	}
	return nil
}

// cloudAnswered is the platform's answer to a launch or its list of instances.
type cloudAnswered struct {
	answer buyer.Event
}

func (cloudAnswered) event() {}

// cloudRequest is one request to the platform.
type cloudRequest struct {
	method   string
	address  string
	body     *launchRequest
	purchase *messages.Purchase
}

// launchRequest and cloudInstance follow the platform's protocol, docs/PLATFORM.md.
type launchRequest struct {
	Token        string  `json:"token"`
	DataCentre   string  `json:"data_centre"`
	MachineClass string  `json:"machine_class"`
	OnDemand     bool    `json:"on_demand"`
	Price        float64 `json:"price"`
	Service      string  `json:"service"`
	Model        string  `json:"model"`
}

type cloudInstance struct {
	ID      string `json:"id"`
	Token   string `json:"token"`
	Noticed bool   `json:"noticed"`
}

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
				Settle:      purchaseSettle,
				Retry:       purchaseRetry,
				Backoff:     refusalBackoff,
				MostBackoff: mostBackoff,
				CoolDown:    surplusCoolDown,
				Start:       startLimit,
			},
		},
	}
}

// Lead returns the purchases to commit and makes the requests for committed ones.
func (d *purchaseDesk) Lead(now time.Time, term units.Term) []*messages.Command {
	if !d.leading {
		d.leading = true
		d.buyer.Step(now, buyer.Led{Term: term})
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
		Ledger:    d.ledger.list(),
		Offers:    offersOf(configuration),
		Demands:   d.demands(now, configuration),
		Upstreams: d.upstreams(now),
		Starting:  startingPerLoad * configuration.Fleet.WeightStore.LoadsAtOnce,
	}))
}

// Rest ends the leadership.
func (d *purchaseDesk) Rest() {
	d.leading = false
	d.buyer.Step(time.Time{}, buyer.Lost{})
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
			Service:  s.Name,
			Slots:    s.Fleet.Slots,
			Used:     used[s.Name],
			OnDemand: s.Fleet.OnDemand,
			Most:     s.Fleet.Most,
			Load:     load,
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

// post queues a request; where the queue is full the buyer asks again later.
func (d *purchaseDesk) post(request cloudRequest) {
	select {
	case d.queue <- request:
	default:
	}
}

// answer brings the platform's answer to the buyer and returns what to commit.
func (d *purchaseDesk) answer(e cloudAnswered) []*messages.Command {
	if !d.leading {
		return nil
	}
	return d.carryOut(d.orders.parsed, d.buyer.Step(time.Now(), e.answer))
}

// run makes requests until ctx ends.
func (d *purchaseDesk) run(ctx context.Context) {
	for range cloudAtOnce {
		go d.work(ctx)
	}
}

func (d *purchaseDesk) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-d.queue:
			answer, err := d.request(ctx, request)
			if err != nil {
				d.log.Warn().Err(err).Msg("cloud-unanswered")
				continue
			}
			select {
			case d.box <- cloudAnswered{answer: answer}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// request makes one request; an error means that its outcome is not known.
func (d *purchaseDesk) request(ctx context.Context, r cloudRequest) (buyer.Event, error) {
	// The list tells of the moment before the request at the latest.
	asked := time.Now()
	content, err := json.Marshal(r.body)
	if err != nil {
		return nil, fmt.Errorf("form a request to the cloud: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, r.method, r.address, bytes.NewReader(content))
	if err != nil {
		return nil, fmt.Errorf("form a request to the cloud: %w", err)
	}
	request.Header.Set("Content-Type", jsonType)
	response, err := d.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("ask the cloud: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxCloudAnswer))
	if err != nil {
		return nil, fmt.Errorf("read the cloud's answer: %w", err)
	}
	switch r.method {
	case http.MethodGet:
		return listed(asked, response.StatusCode, answer)
	case http.MethodPost:
		return launched(r.purchase.GetToken(), response.StatusCode, answer)
	}
	return nil, nil
}

func listed(asked time.Time, status int, answer []byte) (buyer.Event, error) {
	list := struct {
		Instances []cloudInstance `json:"instances"`
	}{}
	if status != http.StatusOK {
		return nil, fmt.Errorf("the cloud lists no instances (status %d); check fleet.cloud", status)
	}
	if err := json.Unmarshal(answer, &list); err != nil {
		return nil, fmt.Errorf("read the cloud's instances: %w; check fleet.cloud", err)
	}
	event := buyer.Listed{
		At: asked,
	}
	for _, instance := range list.Instances {
		event.Instances = append(event.Instances, buyer.Instance{
			ID:      instance.ID,
			Token:   instance.Token,
			Noticed: instance.Noticed,
		})
	}
	return event, nil
}

// launched reads the answer to a launch. Only a definite refusal is one; after
// any other failure the instance may have been launched, and is asked for again.
func launched(token string, status int, answer []byte) (buyer.Event, error) {
	if status == http.StatusConflict {
		return buyer.Answered{
			Token:  token,
			Reason: string(answer),
		}, nil
	}
	instance := cloudInstance{}
	if err := json.Unmarshal(answer, &instance); err != nil {
		return nil, fmt.Errorf("read the cloud's answer to a launch: %w; check fleet.cloud", err)
	}
	if instance.ID == "" {
		return nil, fmt.Errorf("the cloud names no instance (status %d); check fleet.cloud", status)
	}
	return buyer.Answered{
		Token:    token,
		Instance: instance.ID,
	}, nil
}
