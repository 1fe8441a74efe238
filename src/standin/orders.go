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
	maxOrderBytes = 64 << 10
	// drainTimeout bounds how long an engine waits for running calls before it loads.
	drainTimeout      = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond
)

// OrderHandler handles the orders to an engine to load models and adapters.
type OrderHandler struct {
	Server *ModelServer
	// About is the announcement, from which the engine's name and incarnation are taken.
	About *messages.Announcement
	// ChecksFencing makes the engine refuse orders with a fencing number lower than one it has seen.
	ChecksFencing bool
	// StoreURL is the weight store's base URL; if it is empty, a load takes LoadDuration.
	StoreURL     string
	LoadDuration time.Duration

	mu          sync.Mutex
	fencing     uint64
	loading     *messages.Wanted
	adapters    []string
	role        string
	executed    []ExecutedOrder
	failedLoads int
}

// ExecutedOrder is one order for which the engine started a load.
type ExecutedOrder struct {
	Fencing uint64 `json:"fencing"`
	Version string `json:"version"`
	// AtMs is the time of the order in Unix milliseconds.
	AtMs int64 `json:"at_ms"`
}

// OrderLog lists the orders that an engine executed and counts its failed loads.
type OrderLog struct {
	Taken  []ExecutedOrder `json:"taken"`
	Failed int             `json:"failed"`
}

// Services returns the routes to send an order and to read the order log.
func (o *OrderHandler) Services() []*restful.WebService {
	service := new(restful.WebService)
	service.Path("/v1/orders")
	service.Route(service.POST("").To(o.handleOrder))
	service.Route(service.GET("").To(func(_ *restful.Request, response *restful.Response) {
		o.mu.Lock()
		defer o.mu.Unlock()
		writeJSON(response, &OrderLog{
			Taken:  o.executed,
			Failed: o.failedLoads,
		})
	}))
	return []*restful.WebService{service}
}

// Describe sets the fields of an announcement that depend on orders.
func (o *OrderHandler) Describe(a *messages.Announcement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.ModelVersion = o.Server.Engine.Version()
	a.Adapters = o.adapters
	a.Role = o.role
	a.ChecksFencing = o.ChecksFencing
	a.LoadingVersion = o.loading.GetModelVersion()
	if o.ChecksFencing {
		a.Fencing = o.fencing
	}
}

func (o *OrderHandler) handleOrder(request *restful.Request, response *restful.Response) {
	content, err := io.ReadAll(http.MaxBytesReader(response, request.Request.Body, maxOrderBytes))
	order := &messages.Order{}
	if err == nil {
		err = protojson.Unmarshal(content, order)
	}
	if err != nil {
		_ = response.WriteError(http.StatusBadRequest, err)
		return
	}
	result := o.apply(order)
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

func (o *OrderHandler) apply(order *messages.Order) *messages.OrderResult {
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
	if o.ChecksFencing && order.GetFencing() < o.fencing {
		result.Outcome = messages.OrderOutcome_ORDER_OUTCOME_OLD_FENCING
		result.Detail = fmt.Sprintf("fencing number %d has been seen", o.fencing)
		return result
	}
	o.fencing = max(o.fencing, order.GetFencing())
	result.Fencing = o.fencing
	result.Outcome = o.execute(order)
	return result
}

// execute starts a load unless the engine already has the wanted state or is loading.
func (o *OrderHandler) execute(order *messages.Order) messages.OrderOutcome {
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
	o.executed = append(o.executed, ExecutedOrder{
		Fencing: order.GetFencing(),
		Version: wanted.GetModelVersion(),
		AtMs:    time.Now().UnixMilli(),
	})
	o.Server.Loading.Store(true)
	go o.load(wanted)
	return messages.OrderOutcome_ORDER_OUTCOME_UNDER_WAY
}

// load waits for running calls, fetches the weights and resumes serving.
func (o *OrderHandler) load(wanted *messages.Wanted) {
	ctx := context.Background()
	o.drain()
	err := o.fetchWeights(ctx, wanted.GetModelVersion())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loading = nil
	if err != nil {
		o.failedLoads++
	} else {
		o.Server.Engine.SetVersion(wanted.GetModelVersion())
		o.adapters = wanted.GetAdapters()
	}
	o.Server.Loading.Store(o.Server.Engine.Version() == "")
}

func (o *OrderHandler) drain() {
	for deadline := time.Now().Add(drainTimeout); time.Now().Before(deadline); time.Sleep(drainPollInterval) {
		if running, queued, _ := o.Server.Engine.Load(); running+queued == 0 {
			return
		}
	}
}

func (o *OrderHandler) fetchWeights(ctx context.Context, version string) error {
	if o.StoreURL == "" {
		time.Sleep(o.LoadDuration)
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, o.StoreURL+"/v1/weights/"+version, nil)
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

// Version returns the loaded model version, "" before the first load.
func (e *Engine) Version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Options.ModelVersion
}

// SetVersion replaces the model and clears the prefix cache, whose KV cache
// belongs to the previous version.
func (e *Engine) SetVersion(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Options.ModelVersion = version
	e.cache.blocks = nil
}
