package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	maxOrder = 64 << 10
	// drainTime bounds how long an engine finishes what runs before it loads.
	drainTime = 2 * time.Second
	drainPoll = 20 * time.Millisecond
)

// Orders takes an engine's orders to load models and adapters.
type Orders struct {
	Server *ModelServer
	// About is the announcement, for its name and incarnation.
	About *messages.Announcement
	// Checks makes the engine refuse orders with an old fencing number.
	Checks bool
	// Store is the weight store's base URL; without one a load takes LoadTime.
	Store    string
	LoadTime time.Duration

	mu       sync.Mutex
	fencing  uint64
	loading  *messages.Wanted
	adapters []string
	role     string
	taken    []TakenOrder
	failed   int
}

// TakenOrder is one order that the engine carried out.
type TakenOrder struct {
	Fencing uint64 `json:"fencing"`
	Version string `json:"version"`
	// AtMs is in milliseconds of Unix time.
	AtMs int64 `json:"at_ms"`
}

// OrderLog is what an engine tells of its orders.
type OrderLog struct {
	Taken  []TakenOrder `json:"taken"`
	Failed int          `json:"failed"`
}

// Services returns the routes.
func (o *Orders) Services() []*restful.WebService {
	service := new(restful.WebService)
	service.Path("/v1/orders")
	service.Route(service.POST("").To(o.order))
	service.Route(service.GET("").To(func(_ *restful.Request, response *restful.Response) {
		o.mu.Lock()
		defer o.mu.Unlock()
		writeJSON(response, &OrderLog{
			Taken:  o.taken,
			Failed: o.failed,
		})
	}))
	return []*restful.WebService{service}
}

// Describe adds the state that orders change to an announcement.
func (o *Orders) Describe(a *messages.Announcement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.ModelVersion = o.Server.Engine.Version()
	a.Adapters = o.adapters
	a.Role = o.role
	a.ChecksFencing = o.Checks
	a.LoadingVersion = o.loading.GetModelVersion()
	if o.Checks {
		a.Fencing = o.fencing
	}
}

func (o *Orders) order(request *restful.Request, response *restful.Response) {
	content, err := io.ReadAll(http.MaxBytesReader(response, request.Request.Body, maxOrder))
	order := &messages.Order{}
	if err == nil {
		err = protojson.Unmarshal(content, order)
	}
	if err != nil {
		_ = response.WriteError(http.StatusBadRequest, err)
		return
	}
	result := o.take(order)
	answer, err := protojson.Marshal(result)
	if err != nil {
		_ = response.WriteError(http.StatusInternalServerError, err)
		return
	}
	response.AddHeader("Content-Type", "application/json")
	response.WriteHeader(orderStatus(result.GetOutcome()))
	_, _ = response.Write(answer)
}

func orderStatus(outcome messages.OrderOutcome) int {
	switch outcome {
	case messages.OrderOutcome_ORDER_OUTCOME_DONE:
		return http.StatusOK
	case messages.OrderOutcome_ORDER_OUTCOME_UNDER_WAY:
		return http.StatusAccepted
	}
	return http.StatusConflict
}

func (o *Orders) take(order *messages.Order) *messages.OrderResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	result := &messages.OrderResult{
		Fencing: o.fencing,
	}
	if order.GetUpstream() != o.About.GetUpstream() || order.GetIncarnation() != o.About.GetIncarnation() {
		result.Outcome = messages.OrderOutcome_ORDER_OUTCOME_REFUSED
		result.Detail = "the order is for another upstream or incarnation"
		return result
	}
	if o.Checks && order.GetFencing() < o.fencing {
		result.Outcome = messages.OrderOutcome_ORDER_OUTCOME_OLD_FENCING
		result.Detail = fmt.Sprintf("fencing number %d has been seen", o.fencing)
		return result
	}
	o.fencing = max(o.fencing, order.GetFencing())
	result.Fencing = o.fencing
	result.Outcome = o.carryOut(order)
	return result
}

// carryOut begins what the order wants unless it is so already.
func (o *Orders) carryOut(order *messages.Order) messages.OrderOutcome {
	wanted := order.GetWanted()
	if wanted == nil {
		return messages.OrderOutcome_ORDER_OUTCOME_DONE
	}
	o.role = wanted.GetRole()
	if o.loading != nil {
		return messages.OrderOutcome_ORDER_OUTCOME_UNDER_WAY
	}
	if wanted.GetModelVersion() == o.Server.Engine.Version() && len(wanted.GetAdapters()) == len(o.adapters) {
		return messages.OrderOutcome_ORDER_OUTCOME_DONE
	}
	o.loading = wanted
	o.taken = append(o.taken, TakenOrder{
		Fencing: order.GetFencing(),
		Version: wanted.GetModelVersion(),
		AtMs:    time.Now().UnixMilli(),
	})
	o.Server.Loading.Store(true)
	go o.load(wanted)
	return messages.OrderOutcome_ORDER_OUTCOME_UNDER_WAY
}

// load finishes what runs, fetches the weights and serves again.
func (o *Orders) load(wanted *messages.Wanted) {
	ctx := context.Background()
	o.drain()
	err := o.fetch(ctx, wanted.GetModelVersion())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loading = nil
	if err != nil {
		o.failed++
	} else {
		o.Server.Engine.SetVersion(wanted.GetModelVersion())
		o.adapters = wanted.GetAdapters()
	}
	o.Server.Loading.Store(o.Server.Engine.Version() == "")
}

func (o *Orders) drain() {
	for end := time.Now().Add(drainTime); time.Now().Before(end); time.Sleep(drainPoll) {
		if running, queued, _ := o.Server.Engine.Load(); running+queued == 0 {
			return
		}
	}
}

func (o *Orders) fetch(ctx context.Context, version string) error {
	if o.Store == "" {
		time.Sleep(o.LoadTime)
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, o.Store+"/v1/weights/"+version, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("fetch version %s: %s", version, response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Version returns the loaded version, "" before the first load.
func (e *Engine) Version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Options.ModelVersion
}

// SetVersion replaces the model and empties the prefix cache, which held the old one's.
func (e *Engine) SetVersion(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Options.ModelVersion = version
	e.cache.blocks = nil
}
