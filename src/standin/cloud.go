package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	engineStep    = 2 * time.Millisecond
	enginePrefill = 128
	engineBlocks  = 512
)

// Cloud sells instances and runs an engine without a model on each of them.
type Cloud struct {
	Listener net.Listener
	// Entries are the base URLs that take the engines' announcements.
	Entries []string
	Boot    time.Duration
	Notice  time.Duration
	Slots   int
	Store   *WeightStore

	mu        sync.Mutex
	instances []*cloudInstance
	refusing  []string
	refused   int
	running   sync.WaitGroup
}

// LaunchRequest asks for an instance; the same token gives the same instance.
type LaunchRequest struct {
	Token        string  `json:"token"`
	DataCentre   string  `json:"data_centre"`
	MachineClass string  `json:"machine_class"`
	OnDemand     bool    `json:"on_demand"`
	Price        float64 `json:"price"`
	Service      string  `json:"service"`
	Model        string  `json:"model"`
}

// CloudInstance is one instance as the platform lists it.
type CloudInstance struct {
	ID           string `json:"id"`
	Token        string `json:"token"`
	DataCentre   string `json:"data_centre"`
	MachineClass string `json:"machine_class"`
	OnDemand     bool   `json:"on_demand"`
	// Noticed is set once the instance is taken back, LeavesInMs until its end.
	Noticed    bool  `json:"noticed"`
	LeavesInMs int64 `json:"leaves_in_ms"`
}

// CloudList is the platform's list of instances that have not ended.
type CloudList struct {
	Instances []CloudInstance `json:"instances"`
}

// CloudCounts is the ground truth of what was sold.
type CloudCounts struct {
	Launched int `json:"launched"`
	Refused  int `json:"refused"`
	// Loads and LoadsRefused are the weight store's.
	Loads        int `json:"loads"`
	LoadsRefused int `json:"loads_refused"`
}

type cloudInstance struct {
	CloudInstance
	request LaunchRequest
	ended   bool
	endsAt  time.Time
	notify  context.CancelFunc
}

// Run serves until ctx ends.
func (c *Cloud) Run(ctx context.Context) error {
	container := restful.NewContainer()
	service := new(restful.WebService)
	service.Path("/v1/instances")
	service.Route(service.POST("").Consumes("application/json").To(func(request *restful.Request, response *restful.Response) {
		c.launch(ctx, request, response)
	}))
	service.Route(service.GET("").To(c.list))
	service.Route(service.DELETE("/{id}").To(c.release))
	container.Add(service)
	container.Add(c.faults())
	for _, store := range c.Store.Services() {
		container.Add(store)
	}
	server := &http.Server{
		Handler:           container,
		ReadHeaderTimeout: headerTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(c.Listener)
	c.running.Wait()
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve the cloud API: %w", err)
	}
	return nil
}

// faults returns the routes by which tests cause refusals and reclaims.
func (c *Cloud) faults() *restful.WebService {
	service := new(restful.WebService)
	service.Path("/faults")
	service.Route(service.PUT("/refusals").To(func(request *restful.Request, response *restful.Response) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.refusing = request.QueryParameters("data-centre")
		response.WriteHeader(http.StatusNoContent)
	}))
	service.Route(service.PUT("/reclaims").To(func(request *restful.Request, response *restful.Response) {
		c.reclaim(request.QueryParameter("data-centre"))
		response.WriteHeader(http.StatusNoContent)
	}))
	service.Route(service.GET("/counts").To(func(_ *restful.Request, response *restful.Response) {
		c.mu.Lock()
		defer c.mu.Unlock()
		counts := &CloudCounts{
			Launched: len(c.instances),
			Refused:  c.refused,
		}
		counts.Loads, counts.LoadsRefused = c.Store.counts()
		writeJSON(response, counts)
	}))
	return service
}

func (c *Cloud) launch(ctx context.Context, request *restful.Request, response *restful.Response) {
	wanted := LaunchRequest{}
	if err := request.ReadEntity(&wanted); err != nil || wanted.Token == "" {
		http.Error(response, "a JSON body with a token is needed", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := slices.IndexFunc(c.instances, func(i *cloudInstance) bool { return i.Token == wanted.Token })
	if known >= 0 {
		writeJSON(response, c.instances[known].CloudInstance)
		return
	}
	if slices.Contains(c.refusing, wanted.DataCentre) {
		c.refused++
		http.Error(response, "no capacity in "+wanted.DataCentre, http.StatusConflict)
		return
	}
	instance := &cloudInstance{
		request: wanted,
		CloudInstance: CloudInstance{
			ID:           fmt.Sprintf("i-%d", len(c.instances)+1),
			Token:        wanted.Token,
			DataCentre:   wanted.DataCentre,
			MachineClass: wanted.MachineClass,
			OnDemand:     wanted.OnDemand,
		},
	}
	noticed, notify := context.WithCancel(ctx)
	instance.notify = notify
	c.instances = append(c.instances, instance)
	c.running.Go(func() { c.play(noticed, instance) })
	writeJSON(response, instance.CloudInstance)
}

func (c *Cloud) list(_ *restful.Request, response *restful.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := &CloudList{
		Instances: []CloudInstance{},
	}
	for _, instance := range c.instances {
		if instance.ended {
			continue
		}
		listed := instance.CloudInstance
		if listed.Noticed {
			listed.LeavesInMs = time.Until(instance.endsAt).Milliseconds()
		}
		list.Instances = append(list.Instances, listed)
	}
	writeJSON(response, list)
}

func (c *Cloud) release(request *restful.Request, response *restful.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, instance := range c.instances {
		if instance.ID == request.PathParameter("id") {
			c.notice(instance)
		}
	}
	response.WriteHeader(http.StatusAccepted)
}

// reclaim gives notice to all reclaimable instances of a data centre.
func (c *Cloud) reclaim(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, instance := range c.instances {
		if instance.DataCentre == dataCentre && !instance.OnDemand {
			c.notice(instance)
		}
	}
}

func (c *Cloud) notice(instance *cloudInstance) {
	if instance.Noticed {
		return
	}
	instance.Noticed = true
	instance.endsAt = time.Now().Add(c.Notice)
	instance.notify()
}

// play runs the instance's engine until its notice has passed.
func (c *Cloud) play(ctx context.Context, instance *cloudInstance) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		instance.ended = true
	}()
	select {
	case <-ctx.Done():
		return
	case <-time.After(c.Boot):
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return
	}
	_ = c.host(ctx, instance, listener).Run(ctx)
}

func (c *Cloud) host(ctx context.Context, instance *cloudInstance, listener net.Listener) *Host {
	engine := &Engine{
		Options: EngineOptions{
			Model:          instance.request.Model,
			Slots:          c.Slots,
			Step:           engineStep,
			PrefillPerStep: enginePrefill,
			CacheBlocks:    engineBlocks,
		},
	}
	server := &ModelServer{
		Engine: engine,
		Ledger: &Ledger{},
		Faults: &Faults{},
	}
	server.Loading.Store(true)
	host := &Host{
		Listener: listener,
		Entries:  c.Entries,
		Ledger:   server.Ledger,
		Faults:   server.Faults,
		Notice:   c.Notice,
		Leave:    func() { server.Leaving.Store(true) },
		About: &messages.Announcement{
			Upstream:     "cloud-" + instance.ID,
			Service:      instance.request.Service,
			Address:      "http://" + listener.Addr().String(),
			DataCentre:   instance.DataCentre,
			MachineClass: instance.MachineClass,
			Reclaimable:  !instance.OnDemand,
			PricePerHour: instance.request.Price,
			Incarnation:  uint64(time.Now().UnixNano()),
			Model:        instance.request.Model,
			Slots:        uint32(c.Slots),
			StepMs:       float64(engineStep) / float64(time.Millisecond),
			Instance:     instance.ID,
		},
	}
	orders := &Orders{
		Server: server,
		About:  host.About,
		Checks: true,
		Store:  "http://" + c.Listener.Addr().String(),
	}
	host.Services = append(server.Services(), orders.Services()...)
	host.Describe = orders.Describe
	host.Load = func() *messages.Load {
		running, queued, tokens := engine.Load()
		return &messages.Load{
			Running:      uint32(running),
			Queued:       uint32(queued),
			QueuedTokens: uint64(tokens),
		}
	}
	go engine.Run(context.WithoutCancel(ctx))
	return host
}
