package server

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/rosecroft/rosecroft/src/admitter"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/explainer"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	maxHeaderBytes = 32 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
)

// Dispatcher runs calls.
type Dispatcher interface {
	// Do runs a call to its end and writes the answer to sink. A *dispatcher.Refusal as
	// its error is the call's final answer; any other error means that the caller is gone.
	Do(ctx context.Context, call *dispatcher.Call, sink dispatcher.Sink) error
}

// Server is an entry's HTTP server for callers; its fields are set before Run.
type Server struct {
	Listener   net.Listener
	TLS        *tls.Config
	Log        zerolog.Logger
	Scope      tally.Scope
	Snapshot   *atomic.Pointer[indexer.Snapshot]
	Dispatcher Dispatcher
	// Ready reports whether the entry may accept new calls.
	Ready func() bool
	// DrainTimeout is how long a planned shutdown waits for calls to finish.
	DrainTimeout time.Duration
	// UnreadyPeriod is how long a planned shutdown still accepts calls while the entry
	// reports itself unready, so that the load balancer can notice; a quarter of DrainTimeout at
	// most.
	UnreadyPeriod time.Duration
	// Clients bounds what callers hold, whose connections Listener counts; nil bounds nothing.
	Clients *admitter.Admitter
	// BodyTimeout bounds the reading of a whole request body, WriteTimeout each write to
	// a caller; 0 stands for the default.
	BodyTimeout  time.Duration
	WriteTimeout time.Duration

	// Adopter hands over calls that do not end within the drain; it may be nil.
	Adopter Adopter
	// Records looks up the outcome of earlier calls.
	Records RecordReader
	// Explainer may be nil.
	Explainer *explainer.TraceStore

	metrics metrics
	drain   drain
}

// Run serves until ctx ends and the calls in progress have finished.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s.Clients.Protect(server)
	listener := s.Listener
	if s.TLS != nil {
		listener = tls.NewListener(listener, s.TLS)
	}
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- server.Serve(listener) }()
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
	}
	return s.shutDown(context.WithoutCancel(ctx), server)
}

func (s *Server) handler() http.Handler {
	container := restful.NewContainer()
	container.Router(restful.CurlyRouter{})
	container.ServiceErrorHandler(func(failure restful.ServiceError, request *restful.Request, response *restful.Response) {
		s.refuse(response, newCallID(response), routeRefusal(failure.Code, request.Request))
	})
	models := new(restful.WebService)
	models.Path("/v1")
	models.Route(models.GET("/models").To(s.handleListModels))
	models.Route(models.GET("/calls/{id}").To(s.handleCollect))
	models.Route(models.POST("/chat/completions").To(s.handleModelCall))
	models.Route(models.POST("/completions").To(s.handleModelCall))
	container.Add(models)
	root := new(restful.WebService)
	root.Path("/")
	root.Route(root.GET("/healthz").To(s.handleHealth))
	root.Route(root.GET("/readyz").To(s.handleReadiness))
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		root.Route(root.Method(method).Path("/{path:*}").To(s.handlePlainCall))
	}
	container.Add(root)
	return container
}

func (s *Server) handleHealth(_ *restful.Request, response *restful.Response) {
	response.WriteHeader(http.StatusOK)
}

func (s *Server) handleReadiness(_ *restful.Request, response *restful.Response) {
	if !s.Ready() {
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	response.WriteHeader(http.StatusOK)
}

func (s *Server) handleListModels(request *restful.Request, response *restful.Response) {
	id := newCallID(response)
	snapshot, brand, _, refusal := s.identify(request.Request)
	if refusal != nil {
		s.refuse(response, id, refusal)
		return
	}
	type model struct {
		ID      units.Model `json:"id"`
		Object  string      `json:"object"`
		OwnedBy units.Brand `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{
		Object: "list",
	}
	for _, name := range snapshot.Models(brand) {
		list.Data = append(list.Data, model{
			ID:      name,
			Object:  "model",
			OwnedBy: brand,
		})
	}
	response.AddHeader("Content-Type", "application/json")
	_ = json.NewEncoder(response).Encode(list)
}

func (s *Server) handleModelCall(request *restful.Request, response *restful.Response) {
	id := newCallID(response)
	if refusal := checkContentType(request.Request); refusal != nil {
		s.refuse(response, id, refusal)
		return
	}
	snapshot, call, refusal := s.acceptCall(id, request.Request, response.ResponseWriter)
	if refusal != nil {
		s.refuse(response, id, refusal)
		return
	}
	parsed, err := parseModelRequest(call.Body)
	if err != nil {
		s.refuse(response, call.ID, badRequest("the body is not the JSON of a completion request: "+err.Error()))
		return
	}
	service, known := snapshot.ModelService(call.Brand, parsed.Model)
	if !known {
		s.refuse(response, call.ID, notFound("model "+string(parsed.Model)+" is not served to this brand"))
		return
	}
	setModelFields(call, parsed)
	s.dispatch(request.Request, response.ResponseWriter, service, call)
}

func (s *Server) handlePlainCall(request *restful.Request, response *restful.Response) {
	id := newCallID(response)
	snapshot, call, refusal := s.acceptCall(id, request.Request, response.ResponseWriter)
	if refusal != nil {
		s.refuse(response, id, refusal)
		return
	}
	service, known := snapshot.PlainService(call.Brand, call.Path)
	if !known {
		s.refuse(response, call.ID, notFound("no service of this brand answers "+call.Path))
		return
	}
	call.Path = strings.TrimPrefix(call.Path, service.Route)
	if call.Path == "" {
		call.Path = "/"
	}
	s.dispatch(request.Request, response.ResponseWriter, service, call)
}

func (s *Server) dispatch(request *http.Request, writer http.ResponseWriter, service *indexer.Service, call *dispatcher.Call) {
	startedAt := time.Now()
	setServiceFields(call, service, startedAt)
	s.startTrace(call)
	callerSink := s.newSink(writer, admitter.AccountOf(request.Context()), call, startedAt)
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	active := &activeCall{
		call:       call,
		cancel:     cancel,
		callerSink: callerSink,
	}
	s.drain.add(active)
	defer s.drain.remove(active)
	err := s.Dispatcher.Do(ctx, call, callerSink)
	var refusal *dispatcher.Refusal
	outcome := "answered"
	switch {
	case err != nil && active.handedOver.Load():
		outcome = "handed-over"
		callerSink.answerMoved(call)
	case errors.As(err, &refusal):
		outcome = string(refusal.Kind)
		callerSink.refuse(call.ID, refusal)
	case err != nil:
		outcome = "caller-gone"
	}
	s.countCall(call, outcome)
	s.recordOutcome(call, outcome, err)
	s.Log.Info().
		Str("call", string(call.ID)).
		Str("account", string(call.Account.Name)).
		Str("service", string(call.Service)).
		Str("outcome", outcome).
		Dur("took-ms", time.Since(startedAt)).
		Msg("call-ended")
}

// setServiceFields sets the fields of a call that depend on its service.
func setServiceFields(call *dispatcher.Call, service *indexer.Service, startedAt time.Time) {
	call.Service = service.Name
	call.Kind = service.Kind
	call.Policy = service.Policy
	call.Deadline = startedAt.Add(service.Deadline)
	call.InterTokenLatency = service.Target.TokenInterval
	call.Repeatable = service.IsRepeatable(call.Method, call.Path)
}

// setModelFields sets the fields of a call that come from its model request.
func setModelFields(call *dispatcher.Call, parsed *modelRequest) {
	prompt := parsed.promptText()
	call.Model = parsed.Model
	call.Stream = parsed.Stream
	call.PromptTokens = units.Tokens(len(prompt) / bytesPerToken)
	call.MaxOutput = parsed.MaxTokens
	call.BlockHashes = blockHashes(prompt)
}

func (s *Server) countCall(call *dispatcher.Call, outcome string) {
	s.Scope.Tagged(map[string]string{
		"service": string(call.Service),
		"outcome": outcome,
	}).Counter("calls").Inc(1)
}

func (s *Server) refuse(writer http.ResponseWriter, id units.CallID, refusal *dispatcher.Refusal) {
	s.Scope.Tagged(map[string]string{
		"problem": string(refusal.Kind),
	}).Counter("refusals").Inc(1)
	s.Log.Info().
		Str("call", string(id)).
		Str("problem", string(refusal.Kind)).
		Str("detail", refusal.Detail).
		Msg("call-refused")
	writeProblem(writer, id, refusal)
}
