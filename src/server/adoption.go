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

	"github.com/rosecroft/rosecroft/src/admitter"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const lookupTimeout = 3 * time.Second

// RecordReader looks up the outcome of an earlier call.
type RecordReader interface {
	// Lookup returns the stored answer, or reports that the call is still running. With
	// neither, the outcome of the call is unknown.
	Lookup(ctx context.Context, account units.Account, key string) (answer *dispatcher.Answer, running bool, err error)
}

// handleCollect returns the answer to an earlier call. The account is part of the
// call's identity, so that no other account can read the answer.
func (s *Server) handleCollect(request *restful.Request, response *restful.Response) {
	id := newCallID(response)
	_, _, account, refusal := s.identify(request.Request)
	if refusal != nil {
		s.refuse(response, id, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(request.Request.Context(), lookupTimeout)
	defer cancel()
	key := request.PathParameter("id")
	answer, running, err := s.Records.Lookup(ctx, account.Name, key)
	switch {
	case answer != nil:
		_ = s.newSink(response.ResponseWriter, admitter.AccountOf(request.Request.Context()), &dispatcher.Call{}, time.Now()).Answer(answer)
	case running:
		writeAccepted(response.ResponseWriter, request.Request.URL.EscapedPath())
	default:
		s.refuse(response, id, outcomeUnknown(err))
	}
}

func outcomeUnknown(err error) *dispatcher.Refusal {
	refusal := &dispatcher.Refusal{
		Status:     http.StatusNotFound,
		Kind:       dispatcher.ProblemOutcomeUnknown,
		Detail:     "no answer is kept under this key; send the call again under it if its service lets you",
		Executed:   dispatcher.ExecutedUnknown,
		RetryAfter: collectRetryAfter,
	}
	if err != nil {
		refusal.Status = http.StatusServiceUnavailable
		refusal.Detail = err.Error()
	}
	return refusal
}

// Adopt accepts a call from an entry that is shutting down and runs it; the answer goes
// into the call's record.
func (s *Server) Adopt(ctx context.Context, request *messages.AdoptRequest) *messages.AdoptResponse {
	snapshot := s.Snapshot.Load()
	if phase(s.drain.phase.Load()) != phaseServing || snapshot == nil || !s.Ready() {
		return &messages.AdoptResponse{}
	}
	call, err := newAdoptedCall(snapshot, request)
	if err != nil {
		s.Log.Warn().Err(err).Msg("call-not-adopted")
		return &messages.AdoptResponse{}
	}
	s.drain.background.Go(func() { s.runAdopted(context.WithoutCancel(ctx), call) })
	return &messages.AdoptResponse{Taken: true}
}

func newAdoptedCall(snapshot *indexer.Snapshot, request *messages.AdoptRequest) (*dispatcher.Call, error) {
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
	setServiceFields(call, service, time.Now())
	if !call.Repeatable {
		return nil, fmt.Errorf("calls of service %s like this one may not be repeated here", service.Name)
	}
	if call.Kind != parser.ModelService {
		return call, nil
	}
	return call, disableStreaming(call)
}

// disableStreaming turns a model call into one without streaming, since no caller is
// connected to read the stream. OriginalBody keeps the body that the caller sent, which
// is what the record compares.
func disableStreaming(call *dispatcher.Call) error {
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
	setModelFields(call, parsed)
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

// runAdopted runs a handed-over call until it is answered, fails permanently or reaches its
// deadline. A refusal that did not run the call and allows a retry is retried here, since
// the caller was told to collect the answer later.
func (s *Server) runAdopted(ctx context.Context, call *dispatcher.Call) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	active := &activeCall{
		call:   call,
		cancel: cancel,
	}
	s.drain.add(active)
	defer s.drain.remove(active)
	for {
		err := s.Dispatcher.Do(ctx, call, discard{})
		var refusal *dispatcher.Refusal
		retry := errors.As(err, &refusal) && refusal.Executed == dispatcher.ExecutedNo && refusal.RetryAfter > 0
		if !retry || ctx.Err() != nil {
			s.Log.Info().Err(err).Str("key", call.Key).Msg("adopted-call-ended")
			return
		}
		sleep(ctx, refusal.RetryAfter)
	}
}

// discard is the sink of a call without a connected caller; the record stores its answer.
type discard struct{}

// Answer discards the answer.
func (discard) Answer(*dispatcher.Answer) error { return nil }

// Begin discards the header.
func (discard) Begin(http.Header) error { return nil }

// Event discards the event.
func (discard) Event(units.Tokens, []byte) error { return nil }

// SetBuffering does nothing, since no events are written.
func (discard) SetBuffering(bool) {}

// End discards the end marker.
func (discard) End() error { return nil }
