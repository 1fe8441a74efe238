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

// Cloud simulates the platform's cloud API. It launches instances and runs an
// engine without a model on each of them.
type Cloud struct {
	Listener net.Listener
	// Entries are the base URLs to which the engines announce themselves.
	Entries []string
	// BootTime is the time from a launch until the engine runs.
	BootTime time.Duration
	// NoticePeriod is the time between an instance's notice and its end.
	NoticePeriod time.Duration
	// Slots is how many sequences each engine runs at once.
	Slots int
	Store *WeightStore

	mu                 sync.Mutex
	instances          []*instanceState
	refusedDataCentres []string
	refused            int
	running            sync.WaitGroup
}

// LaunchRequest is the body of a launch. It is idempotent: the same token returns
// the same instance.
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
	// Noticed is set once the instance has got its notice; LeavesInMs is then the
	// time left until its end.
	Noticed    bool  `json:"noticed"`
	LeavesInMs int64 `json:"leaves_in_ms"`
}

// CloudList is the platform's list of instances that have not stopped.
type CloudList struct {
	Instances []CloudInstance `json:"instances"`
}

// CloudCounts is the number of launches and weight loads that the platform
// actually served and refused.
type CloudCounts struct {
	Launched int `json:"launched"`
	Refused  int `json:"refused"`
	// Loads and LoadsRefused are the weight store's counts.
	Loads        int `json:"loads"`
	LoadsRefused int `json:"loads_refused"`
}

type instanceState struct {
	CloudInstance
	request LaunchRequest
	stopped bool
	// stopsAt is set with the notice.
	stopsAt time.Time
	// cancel delivers the notice to the instance's engine.
	cancel context.CancelFunc
}

// Run serves until ctx ends.
func (c *Cloud) Run(ctx context.Context) error {
	container := restful.NewContainer()
	service := new(restful.WebService)
	service.Path("/v1/instances")
	service.Route(service.POST("").Consumes("application/json").To(func(request *restful.Request, response *restful.Response) {
		c.handleLaunch(ctx, request, response)
	}))
	service.Route(service.GET("").To(c.handleList))
	service.Route(service.DELETE("/{id}").To(c.handleRelease))
	container.Add(service)
	container.Add(c.controlService())
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

// controlService returns the routes by which tests cause refusals and reclaims and
// read the counts.
func (c *Cloud) controlService() *restful.WebService {
	service := new(restful.WebService)
	service.Path("/faults")
	service.Route(service.PUT("/refusals").To(func(request *restful.Request, response *restful.Response) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.refusedDataCentres = request.QueryParameters("data-centre")
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

func (c *Cloud) handleLaunch(ctx context.Context, request *restful.Request, response *restful.Response) {
	launch := LaunchRequest{}
	if err := request.ReadEntity(&launch); err != nil || launch.Token == "" {
		http.Error(response, "a JSON body with a token is needed", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	existing := slices.IndexFunc(c.instances, func(i *instanceState) bool { return i.Token == launch.Token })
	if existing >= 0 {
		writeJSON(response, c.instances[existing].CloudInstance)
		return
	}
	if slices.Contains(c.refusedDataCentres, launch.DataCentre) {
		c.refused++
		http.Error(response, "no capacity in "+launch.DataCentre, http.StatusConflict)
		return
	}
	instance := &instanceState{
		request: launch,
		CloudInstance: CloudInstance{
			ID:           fmt.Sprintf("i-%d", len(c.instances)+1),
			Token:        launch.Token,
			DataCentre:   launch.DataCentre,
			MachineClass: launch.MachineClass,
			OnDemand:     launch.OnDemand,
		},
	}
	runCtx, cancel := context.WithCancel(ctx)
	instance.cancel = cancel
	c.instances = append(c.instances, instance)
	c.running.Go(func() { c.runInstance(runCtx, instance) })
	writeJSON(response, instance.CloudInstance)
}

func (c *Cloud) handleList(_ *restful.Request, response *restful.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := &CloudList{
		Instances: []CloudInstance{},
	}
	for _, instance := range c.instances {
		if instance.stopped {
			continue
		}
		listed := instance.CloudInstance
		if listed.Noticed {
			listed.LeavesInMs = time.Until(instance.stopsAt).Milliseconds()
		}
		list.Instances = append(list.Instances, listed)
	}
	writeJSON(response, list)
}

func (c *Cloud) handleRelease(request *restful.Request, response *restful.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, instance := range c.instances {
		if instance.ID == request.PathParameter("id") {
			c.giveNotice(instance)
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
			c.giveNotice(instance)
		}
	}
}

func (c *Cloud) giveNotice(instance *instanceState) {
	if instance.Noticed {
		return
	}
	instance.Noticed = true
	instance.stopsAt = time.Now().Add(c.NoticePeriod)
	instance.cancel()
}

// runInstance boots the instance and runs its engine until the notice period has
// passed after ctx ended.
func (c *Cloud) runInstance(ctx context.Context, instance *instanceState) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		instance.stopped = true
	}()
	select {
	case <-ctx.Done():
		return
	case <-time.After(c.BootTime):
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return
	}
	_ = c.newHost(ctx, instance, listener).Run(ctx)
}

func (c *Cloud) newHost(ctx context.Context, instance *instanceState, listener net.Listener) *Host {
	engine := &Engine{
		Options: EngineOptions{
			Model:          instance.request.Model,
			Slots:          c.Slots,
			StepInterval:   engineStep,
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
		Listener:      listener,
		Entries:       c.Entries,
		Ledger:        server.Ledger,
		Faults:        server.Faults,
		NoticePeriod:  c.NoticePeriod,
		StopAccepting: func() { server.Leaving.Store(true) },
		Announcement: &messages.Announcement{
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
	orders := &OrderHandler{
		Server:        server,
		About:         host.Announcement,
		ChecksFencing: true,
		StoreURL:      "http://" + c.Listener.Addr().String(),
	}
	host.Services = append(server.Services(), orders.Services()...)
	host.UpdateAnnouncement = orders.Describe
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
