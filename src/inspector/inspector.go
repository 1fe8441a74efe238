package inspector

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/goccy/go-yaml"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	writeTimeout  = time.Minute
	idleTimeout   = 2 * time.Minute
	maxHeader     = 32 << 10
	yamlType      = "application/yaml"
	healthPath    = "/healthz"
	readinessPath = "/readyz"
)

// Inspector is a process's HTTP server for operators.
type Inspector struct {
	Listener net.Listener
	// TLS is nil only where the settings allow plain loopback.
	TLS *tls.Config
	// Dump returns the process's state without secrets, to be written as YAML.
	Dump func(context.Context) (any, error)
	// Ready says whether the balancer should send calls here.
	Ready   func() bool
	Metrics http.Handler
	// Explain returns what was decided about a call, or false where it is not
	// known; nil for a process without calls.
	Explain func(call units.CallID) (any, bool)
	// Services are the routes of the process's own duty.
	Services []*restful.WebService
}

// Run serves until ctx ends.
func (i *Inspector) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           i.handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	listener := i.Listener
	if i.TLS != nil {
		listener = tls.NewListener(listener, i.TLS)
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

func (i *Inspector) handler() http.Handler {
	container := restful.NewContainer()
	container.Filter(i.authorize)
	own := new(restful.WebService)
	own.Route(own.GET("/dump").To(i.dump))
	own.Route(own.GET(healthPath).To(i.health))
	own.Route(own.GET(readinessPath).To(i.readiness))
	own.Route(own.GET("/metrics").To(func(request *restful.Request, response *restful.Response) {
		i.Metrics.ServeHTTP(response.ResponseWriter, request.Request)
	}))
	if i.Explain != nil {
		own.Route(own.GET("/explain/{call}").To(i.explain))
	}
	container.Add(own)
	for _, service := range i.Services {
		container.Add(service)
	}
	return container
}

// authorize lets operators in, and anyone to the health that a balancer probes.
func (i *Inspector) authorize(request *restful.Request, response *restful.Response, chain *restful.FilterChain) {
	path := request.Request.URL.Path
	if path == healthPath || path == readinessPath {
		chain.ProcessFilter(request, response)
		return
	}
	if _, err := certifier.RequireRequest(request.Request, i.TLS != nil, certifier.Operator); err != nil {
		_ = response.WriteError(http.StatusForbidden, err)
		return
	}
	chain.ProcessFilter(request, response)
}

func (i *Inspector) dump(request *restful.Request, response *restful.Response) {
	state, err := i.Dump(request.Request.Context())
	if err != nil {
		_ = response.WriteError(http.StatusServiceUnavailable, err)
		return
	}
	writeYAML(response, state)
}

func (i *Inspector) explain(request *restful.Request, response *restful.Response) {
	explanation, known := i.Explain(units.CallID(request.PathParameter("call")))
	if !known {
		_ = response.WriteErrorString(http.StatusNotFound,
			"this process does not know the call; ask the entry that took it, soon after its end")
		return
	}
	writeYAML(response, explanation)
}

func writeYAML(response *restful.Response, state any) {
	content, err := yaml.Marshal(state)
	if err != nil {
		_ = response.WriteError(http.StatusInternalServerError, err)
		return
	}
	response.AddHeader("Content-Type", yamlType)
	_, _ = response.Write(content)
}

func (i *Inspector) health(_ *restful.Request, response *restful.Response) {
	response.WriteHeader(http.StatusOK)
}

func (i *Inspector) readiness(_ *restful.Request, response *restful.Response) {
	if !i.Ready() {
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	response.WriteHeader(http.StatusOK)
}
