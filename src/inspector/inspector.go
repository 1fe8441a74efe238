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
	headerTimeout   = 5 * time.Second
	readTimeout     = 30 * time.Second
	writeTimeout    = time.Minute
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 32 << 10
	yamlContentType = "application/yaml"
	healthPath      = "/healthz"
	readinessPath   = "/readyz"
)

// Inspector is a process's HTTP server for operators.
type Inspector struct {
	Listener net.Listener
	// TLS is nil only where the settings allow unencrypted loopback connections.
	TLS *tls.Config
	// Dump returns the process's state without secrets, which is served as YAML.
	Dump func(context.Context) (any, error)
	// Ready reports whether the load balancer should send calls here.
	Ready   func() bool
	Metrics http.Handler
	// Explain returns the decisions about a call, or false if the call is not known; it
	// is nil for a process that handles no calls.
	Explain func(call units.CallID) (any, bool)
	// WebServices are the operator routes that are specific to the process.
	WebServices []*restful.WebService
	// Protect bounds what clients of the server hold, whose Listener counts them; it may be nil.
	Protect func(*http.Server)
}

// Run serves until ctx ends.
func (i *Inspector) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           i.handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if i.Protect != nil {
		i.Protect(server)
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
	routes := new(restful.WebService)
	routes.Route(routes.GET("/dump").To(i.handleDump))
	routes.Route(routes.GET(healthPath).To(i.handleHealth))
	routes.Route(routes.GET(readinessPath).To(i.handleReadiness))
	routes.Route(routes.GET("/metrics").To(func(request *restful.Request, response *restful.Response) {
		i.Metrics.ServeHTTP(response.ResponseWriter, request.Request)
	}))
	if i.Explain != nil {
		routes.Route(routes.GET("/explain/{call}").To(i.handleExplain))
	}
	container.Add(routes)
	for _, service := range i.WebServices {
		container.Add(service)
	}
	return container
}

// authorize admits operators; the health and readiness paths, which load balancers probe, are
// open to everyone.
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

func (i *Inspector) handleDump(request *restful.Request, response *restful.Response) {
	state, err := i.Dump(request.Request.Context())
	if err != nil {
		_ = response.WriteError(http.StatusServiceUnavailable, err)
		return
	}
	writeYAML(response, state)
}

func (i *Inspector) handleExplain(request *restful.Request, response *restful.Response) {
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
	response.AddHeader("Content-Type", yamlContentType)
	_, _ = response.Write(content)
}

func (i *Inspector) handleHealth(_ *restful.Request, response *restful.Response) {
	response.WriteHeader(http.StatusOK)
}

func (i *Inspector) handleReadiness(_ *restful.Request, response *restful.Response) {
	if !i.Ready() {
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	response.WriteHeader(http.StatusOK)
}
