package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const lookTimeout = 3 * time.Second

// Looker tells what became of a call.
type Looker interface {
	// Lookup returns a kept answer, or whether the call runs; neither means that
	// nobody can say what became of it.
	Lookup(ctx context.Context, account units.Account, key string) (answer *dispatcher.Answer, running bool, err error)
}

// collect answers a caller that collects the answer to an earlier call. The
// account is part of the call's identity, so that no other account can have it.
func (s *Server) collect(request *restful.Request, response *restful.Response) {
	id := newCallID(response)
	_, _, account, refusal := s.identify(request.Request)
	if refusal != nil {
		s.refuse(response, id, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(request.Request.Context(), lookTimeout)
	defer cancel()
	key := request.PathParameter("id")
	answer, running, err := s.Records.Lookup(ctx, account.Name, key)
	switch {
	case answer != nil:
		_ = s.newSink(response.ResponseWriter, &dispatcher.Call{}, time.Now()).Answer(answer)
	case running:
		writeCollect(response.ResponseWriter, request.Request.URL.EscapedPath())
	default:
		s.refuse(response, id, notKnown(err))
	}
}

func notKnown(err error) *dispatcher.Refusal {
	refusal := &dispatcher.Refusal{
		Status:     http.StatusNotFound,
		Kind:       dispatcher.ProblemOutcomeUnknown,
		Detail:     "no answer is kept under this key; send the call again under it if its service lets you",
		Executed:   dispatcher.ExecutedUnknown,
		RetryAfter: collectRetry,
	}
	if err != nil {
		refusal.Status = http.StatusServiceUnavailable
		refusal.Detail = err.Error()
	}
	return refusal
}

// Adopt takes a call from an entry that stops; its answer goes into the record.
func (s *Server) Adopt(ctx context.Context, request *messages.AdoptRequest) *messages.AdoptResponse {
	snapshot := s.Snapshot.Load()
	if phase(s.drain.phase.Load()) != taking || snapshot == nil || !s.Ready() {
		return &messages.AdoptResponse{}
	}
	call, err := adoptedCall(snapshot, request)
	if err != nil {
		s.Log.Warn().Err(err).Msg("call-not-adopted")
		return &messages.AdoptResponse{}
	}
	s.drain.background.Go(func() { s.runAdopted(context.WithoutCancel(ctx), call) })
	return &messages.AdoptResponse{Taken: true}
}

func adoptedCall(snapshot *indexer.Snapshot, request *messages.AdoptRequest) (*dispatcher.Call, error) {
	service, known := snapshot.Service(units.Service(request.GetService()))
	if !known {
		return nil, fmt.Errorf("service %s is not in force here", request.GetService())
	}
	account := findAccount(snapshot, units.Account(request.GetAccount()))
	if account == nil {
		return nil, fmt.Errorf("client account %s is not in force here", request.GetAccount())
	}
	call := &dispatcher.Call{
		ID:           units.CallID(uuid.NewString()),
		Key:          request.GetKey(),
		HasCallerKey: true,
		Adopted:      true,
		Brand:        units.Brand(request.GetBrand()),
		Account:      account,
		Method:       request.GetMethod(),
		Path:         request.GetPath(),
		Query:        request.GetQuery(),
		Header:       make(http.Header),
		Body:         request.GetBody(),
	}
	for _, field := range request.GetHeader() {
		call.Header[field.GetName()] = field.GetValues()
	}
	fillService(call, service, time.Now())
	if !call.Repeatable {
		return nil, fmt.Errorf("calls of service %s like this one may not be repeated here", service.Name)
	}
	if call.Kind != parser.ModelService {
		return call, nil
	}
	return call, fillWhole(call)
}

// fillWhole makes a model call one that is answered whole, since no caller reads
// its stream. The record compares the request that the caller sent.
func fillWhole(call *dispatcher.Call) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(call.Body, &fields); err != nil {
		return fmt.Errorf("read the handed-over request: %w", err)
	}
	call.OriginalBody = call.Body
	fields["stream"] = json.RawMessage("false")
	body, err := json.Marshal(fields)
	if err != nil {
		return fmt.Errorf("form the handed-over request: %w", err)
	}
	call.Body = body
	parsed, err := parseModelRequest(body)
	if err != nil {
		return fmt.Errorf("read the handed-over request: %w", err)
	}
	fillModel(call, parsed)
	return nil
}

func findAccount(snapshot *indexer.Snapshot, name units.Account) *parser.ClientAccount {
	for i := range snapshot.Configuration.ClientAccounts {
		if account := &snapshot.Configuration.ClientAccounts[i]; account.Name == name {
			return account
		}
	}
	return nil
}

// runAdopted runs a handed-over call until it is answered or cannot be. It asks
// again after a refusal that did not run it: the caller was told to come back.
func (s *Server) runAdopted(ctx context.Context, call *dispatcher.Call) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	active := &activeCall{
		call:   call,
		cancel: cancel,
	}
	s.drain.enter(active)
	defer s.drain.leave(active)
	for {
		err := s.Dispatcher.Do(ctx, call, discard{})
		var refusal *dispatcher.Refusal
		again := errors.As(err, &refusal) && refusal.Executed == dispatcher.ExecutedNo && refusal.RetryAfter > 0
		if !again || ctx.Err() != nil {
			s.Log.Info().Err(err).Str("key", call.Key).Msg("adopted-call-ended")
			return
		}
		pause(ctx, refusal.RetryAfter)
	}
}

// discard is the sink of a call without a caller; the record keeps its answer.
type discard struct{}

// Answer drops the answer.
func (discard) Answer(*dispatcher.Answer) error { return nil }

// Begin drops the header.
func (discard) Begin(http.Header) error { return nil }

// Event drops the event.
func (discard) Event(units.Tokens, []byte) error { return nil }

// SetBuffering has nothing to hold.
func (discard) SetBuffering(bool) {}

// End drops the marker.
func (discard) End() error { return nil }
