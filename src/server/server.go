package server

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	maxBody       = 8 << 20
	maxHeader     = 32 << 10
	maxKey        = 255
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	unreadyRetry  = time.Second
	bearerPrefix  = "Bearer "

	headerKey    = "Idempotency-Key"
	headerCallID = "Rosecroft-Call-Id"
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
}

// Run serves until ctx ends and the calls under way have finished.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
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
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Drain)
	defer cancel()
	return server.Shutdown(drain)
}

func (s *Server) handler() http.Handler {
	container := restful.NewContainer()
	container.Router(restful.CurlyRouter{})
	container.ServiceErrorHandler(func(failure restful.ServiceError, request *restful.Request, response *restful.Response) {
		s.refuse(response, "", &dispatcher.Refusal{
			Status:   failure.Code,
			Kind:     dispatcher.ProblemNotFound,
			Detail:   "no route answers " + request.Request.Method + " " + request.Request.URL.Path,
			Executed: dispatcher.ExecutedNo,
		})
	})
	models := new(restful.WebService)
	models.Path("/v1")
	models.Route(models.GET("/models").To(s.listModels))
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
	snapshot, brand, _, refusal := s.identify(request.Request)
	if refusal != nil {
		s.refuse(response, "", refusal)
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

// identify finds who calls: the brand by Host, the account by API key.
func (s *Server) identify(request *http.Request) (*indexer.Snapshot, units.Brand, *parser.ClientAccount, *dispatcher.Refusal) {
	snapshot := s.Snapshot.Load()
	if snapshot == nil || !s.Ready() {
		return nil, "", nil, &dispatcher.Refusal{
			Status:     http.StatusServiceUnavailable,
			Kind:       dispatcher.ProblemUnready,
			Detail:     "this entry takes no calls now",
			Executed:   dispatcher.ExecutedNo,
			RetryAfter: unreadyRetry,
		}
	}
	brand, known := snapshot.Brand(request.Host)
	if !known {
		return nil, "", nil, &dispatcher.Refusal{
			Status:   http.StatusMisdirectedRequest,
			Kind:     dispatcher.ProblemUnknownHost,
			Detail:   "the Host header names no brand",
			Executed: dispatcher.ExecutedNo,
		}
	}
	key, bearer := strings.CutPrefix(request.Header.Get("Authorization"), bearerPrefix)
	account, known := snapshot.Account(brand, key)
	if !bearer || !known {
		return nil, "", nil, &dispatcher.Refusal{
			Status:   http.StatusUnauthorized,
			Kind:     dispatcher.ProblemBadKey,
			Detail:   "send the account's API key as Authorization: Bearer KEY",
			Executed: dispatcher.ExecutedNo,
		}
	}
	return snapshot, brand, account, nil
}

func (s *Server) model(request *restful.Request, response *restful.Response) {
	snapshot, call, refusal := s.accept(request.Request, response)
	if refusal != nil {
		s.refuse(response, "", refusal)
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
	prompt := parsed.promptText()
	call.Model = parsed.Model
	call.Stream = parsed.Stream
	call.Prompt = units.Tokens(len(prompt) / bytesPerToken)
	call.MaxOutput = parsed.MaxTokens
	call.Blocks = blockHashes(prompt)
	s.dispatch(request.Request, response, service, call)
}

func (s *Server) plain(request *restful.Request, response *restful.Response) {
	snapshot, call, refusal := s.accept(request.Request, response)
	if refusal != nil {
		s.refuse(response, "", refusal)
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
	s.dispatch(request.Request, response, service, call)
}

// accept identifies the caller and reads the whole request.
func (s *Server) accept(request *http.Request, writer http.ResponseWriter) (*indexer.Snapshot, *dispatcher.Call, *dispatcher.Refusal) {
	snapshot, brand, account, refusal := s.identify(request)
	if refusal != nil {
		return nil, nil, refusal
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		return nil, nil, bodyRefusal(err)
	}
	id := units.CallID(uuid.NewString())
	key := request.Header.Get(headerKey)
	given := key != ""
	if len(key) > maxKey {
		return nil, nil, badRequest("the Idempotency-Key is longer than 255 characters")
	}
	if !given {
		key = dispatcher.MadeKeyPrefix + string(id)
	}
	writer.Header().Set(headerCallID, string(id))
	writer.Header().Set(headerKey, key)
	return snapshot, &dispatcher.Call{
		ID:       id,
		Key:      key,
		KeyGiven: given,
		Brand:    brand,
		Account:  account,
		Method:   request.Method,
		Path:     request.URL.Path,
		Query:    request.URL.RawQuery,
		Header:   request.Header,
		Body:     body,
	}, nil
}

func bodyRefusal(err error) *dispatcher.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &dispatcher.Refusal{
			Status:   http.StatusRequestEntityTooLarge,
			Kind:     dispatcher.ProblemTooLarge,
			Detail:   "the body is larger than 8 MiB",
			Executed: dispatcher.ExecutedNo,
		}
	}
	return badRequest("the body could not be read whole: " + err.Error())
}

func (s *Server) dispatch(request *http.Request, writer http.ResponseWriter, service *indexer.Service, call *dispatcher.Call) {
	began := time.Now()
	call.Service = service.Name
	call.Kind = service.Kind
	call.Policy = service.Policy
	call.Deadline = began.Add(service.Deadline)
	call.BetweenTokens = service.Target.BetweenTokens
	call.Repeatable = service.Repeatable(call.Method, call.Path)
	out := newSink(writer)
	err := s.Dispatcher.Do(request.Context(), call, out)
	var refusal *dispatcher.Refusal
	outcome := "answered"
	switch {
	case errors.As(err, &refusal):
		outcome = string(refusal.Kind)
		out.refuse(call.ID, refusal)
	case err != nil:
		outcome = "caller-gone"
	}
	s.count(call, outcome)
	s.Log.Info().
		Str("call", string(call.ID)).
		Str("account", string(call.Account.Name)).
		Str("service", string(call.Service)).
		Str("outcome", outcome).
		Dur("took-ms", time.Since(began)).
		Msg("call-ended")
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
	writeProblem(writer, id, refusal)
}
