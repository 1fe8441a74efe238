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

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/explainer"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	maxHeader     = 32 << 10
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Dispatcher runs a call to its end.
type Dispatcher interface {
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
	// Ready says whether the entry may take new calls.
	Ready func() bool
	// Drain is how long a planned stop waits for calls to finish.
	Drain time.Duration
	// UnreadyFor is how long a planned stop goes on taking calls while it is not
	// ready, so that the balancer learns of it; a quarter of Drain at most.
	UnreadyFor time.Duration
	// BodyTimeout and WriteTimeout replace the defaults where they are set: the
	// time for a whole request body, and for each write to a caller.
	BodyTimeout  time.Duration
	WriteTimeout time.Duration

	// Adopter finds another entry for a call that does not end within the
	// drain; it may be nil.
	Adopter Adopter
	// Records tells what became of earlier calls.
	Records Looker
	// Explainer may be nil.
	Explainer *explainer.Book

	meters meters
	drain  drain
}

// Run serves until ctx ends and the calls under way have finished.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	listener := s.Listener
	if s.TLS != nil {
		listener = tls.NewListener(listener, s.TLS)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	return s.stop(context.WithoutCancel(ctx), server)
}

func (s *Server) handler() http.Handler {
	container := restful.NewContainer()
	container.Router(restful.CurlyRouter{})
	container.ServiceErrorHandler(func(failure restful.ServiceError, request *restful.Request, response *restful.Response) {
		s.refuse(response, newCallID(response), routeRefusal(failure.Code, request.Request))
	})
	models := new(restful.WebService)
	models.Path("/v1")
	models.Route(models.GET("/models").To(s.listModels))
	models.Route(models.GET("/calls/{id}").To(s.collect))
	models.Route(models.POST("/chat/completions").To(s.model))
	models.Route(models.POST("/completions").To(s.model))
	container.Add(models)
	plain := new(restful.WebService)
	plain.Path("/")
	plain.Route(plain.GET("/healthz").To(s.health))
	plain.Route(plain.GET("/readyz").To(s.readiness))
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		plain.Route(plain.Method(method).Path("/{path:*}").To(s.plain))
	}
	container.Add(plain)
	return container
}

func (s *Server) health(_ *restful.Request, response *restful.Response) {
	response.WriteHeader(http.StatusOK)
}

func (s *Server) readiness(_ *restful.Request, response *restful.Response) {
	if !s.Ready() {
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	response.WriteHeader(http.StatusOK)
}

func (s *Server) listModels(request *restful.Request, response *restful.Response) {
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

func (s *Server) model(request *restful.Request, response *restful.Response) {
	id := newCallID(response)
	if refusal := checkJSON(request.Request); refusal != nil {
		s.refuse(response, id, refusal)
		return
	}
	snapshot, call, refusal := s.accept(id, request.Request, response.ResponseWriter)
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
	fillModel(call, parsed)
	s.dispatch(request.Request, response.ResponseWriter, service, call)
}

func (s *Server) plain(request *restful.Request, response *restful.Response) {
	id := newCallID(response)
	snapshot, call, refusal := s.accept(id, request.Request, response.ResponseWriter)
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
	began := time.Now()
	fillService(call, service, began)
	s.open(call)
	out := s.newSink(writer, call, began)
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	active := &activeCall{
		call:   call,
		cancel: cancel,
		out:    out,
	}
	s.drain.enter(active)
	defer s.drain.leave(active)
	err := s.Dispatcher.Do(ctx, call, out)
	var refusal *dispatcher.Refusal
	outcome := "answered"
	switch {
	case err != nil && active.adopted.Load():
		outcome = "handed-over"
		out.moved(call)
	case errors.As(err, &refusal):
		outcome = string(refusal.Kind)
		out.refuse(call.ID, refusal)
	case err != nil:
		outcome = "caller-gone"
	}
	s.count(call, outcome)
	s.conclude(call, outcome, err)
	s.Log.Info().
		Str("call", string(call.ID)).
		Str("account", string(call.Account.Name)).
		Str("service", string(call.Service)).
		Str("outcome", outcome).
		Dur("took-ms", time.Since(began)).
		Msg("call-ended")
}

// fillService sets what the call's service decides.
func fillService(call *dispatcher.Call, service *indexer.Service, began time.Time) {
	call.Service = service.Name
	call.Kind = service.Kind
	call.Policy = service.Policy
	call.Deadline = began.Add(service.Deadline)
	call.InterTokenLatency = service.Target.BetweenTokens
	call.Repeatable = service.Repeatable(call.Method, call.Path)
}

// fillModel sets what the call's model request decides.
func fillModel(call *dispatcher.Call, parsed *modelRequest) {
	prompt := parsed.promptText()
	call.Model = parsed.Model
	call.Stream = parsed.Stream
	call.PromptTokens = units.Tokens(len(prompt) / bytesPerToken)
	call.MaxOutput = parsed.MaxTokens
	call.BlockHashes = blockHashes(prompt)
}

func (s *Server) count(call *dispatcher.Call, outcome string) {
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
