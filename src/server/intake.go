package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	maxBody      = 8 << 20
	maxKey       = 255
	bodyTimeout  = 30 * time.Second
	unreadyRetry = time.Second
	slowRetry    = time.Second
	bearerPrefix = "Bearer "
	jsonType     = "application/json"

	headerKey    = "Idempotency-Key"
	headerCallID = "Rosecroft-Call-Id"
)

// newCallID gives the request its id, which every answer and every log line about it bears.
func newCallID(writer http.ResponseWriter) units.CallID {
	id := units.CallID(uuid.NewString())
	writer.Header().Set(headerCallID, string(id))
	return id
}

// identify finds who calls: the brand by Host, the account by API key.
func (s *Server) identify(request *http.Request) (*indexer.Snapshot, units.Brand, *parser.ClientAccount, *dispatcher.Refusal) {
	snapshot := s.Snapshot.Load()
	if snapshot == nil || !s.takes() {
		return nil, "", nil, unready(request)
	}
	brand, known := snapshot.Brand(request.Host)
	if !known {
		return nil, "", nil, refusalOf(http.StatusMisdirectedRequest, dispatcher.ProblemUnknownHost,
			"the Host header names no brand")
	}
	key, bearer := strings.CutPrefix(request.Header.Get("Authorization"), bearerPrefix)
	account, known := snapshot.Account(key)
	if !bearer || !known {
		return nil, "", nil, refusalOf(http.StatusUnauthorized, dispatcher.ProblemBadKey,
			"send the account's API key as Authorization: Bearer KEY")
	}
	if account.Brand != brand {
		return nil, "", nil, refusalOf(http.StatusForbidden, dispatcher.ProblemForbidden,
			"the API key belongs to an account of another brand; call that brand's host")
	}
	return snapshot, brand, account, nil
}

// unready refuses a request that this entry does not look at. One that bears an
// Idempotency-Key may be a resend: its caller takes "not run" for the call's end,
// and would be wrong where the first sending ran elsewhere.
func unready(request *http.Request) *dispatcher.Refusal {
	refusal := refusalOf(http.StatusServiceUnavailable, dispatcher.ProblemUnready, "this entry takes no calls now")
	refusal.RetryAfter = unreadyRetry
	if request.Header.Get(headerKey) != "" {
		refusal.Executed = dispatcher.ExecutedUnknown
	}
	return refusal
}

// accept identifies the caller and reads the whole request.
func (s *Server) accept(id units.CallID, request *http.Request, writer http.ResponseWriter) (*indexer.Snapshot, *dispatcher.Call, *dispatcher.Refusal) {
	snapshot, brand, account, refusal := s.identify(request)
	if refusal != nil {
		return nil, nil, refusal
	}
	key := request.Header.Get(headerKey)
	if len(key) > maxKey {
		return nil, nil, badRequest(fmt.Sprintf("the Idempotency-Key is longer than %d characters", maxKey))
	}
	body, refusal := s.readBody(request, writer)
	if refusal != nil {
		return nil, nil, refusal
	}
	given := key != ""
	if !given {
		key = dispatcher.GeneratedKeyPrefix + string(id)
	}
	writer.Header().Set(headerKey, key)
	return snapshot, &dispatcher.Call{
		ID:           id,
		Key:          key,
		HasCallerKey: given,
		Brand:        brand,
		Account:      account,
		Method:       request.Method,
		Path:         request.URL.Path,
		Query:        request.URL.RawQuery,
		Header:       request.Header,
		Body:         body,
	}, nil
}

// readBody reads the body within its time; net/http lifts the limit once the body has ended.
func (s *Server) readBody(request *http.Request, writer http.ResponseWriter) ([]byte, *dispatcher.Refusal) {
	control := http.NewResponseController(writer)
	_ = control.SetReadDeadline(time.Now().Add(s.bodyTimeout()))
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		return nil, bodyRefusal(err)
	}
	return body, nil
}

func (s *Server) bodyTimeout() time.Duration {
	if s.BodyTimeout == 0 {
		return bodyTimeout
	}
	return s.BodyTimeout
}

func bodyRefusal(err error) *dispatcher.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusalOf(http.StatusRequestEntityTooLarge, dispatcher.ProblemTooLarge,
			fmt.Sprintf("the body is larger than %d bytes", maxBody))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		refusal := refusalOf(http.StatusRequestTimeout, dispatcher.ProblemTooSlow, "the body did not arrive in time")
		refusal.RetryAfter = slowRetry
		return refusal
	}
	return badRequest("the body could not be read whole")
}

// checkJSON refuses a body that says it is something else; a caller that says nothing is believed.
func checkJSON(request *http.Request) *dispatcher.Refusal {
	stated := request.Header.Get("Content-Type")
	if stated == "" {
		return nil
	}
	if kind, _, err := mime.ParseMediaType(stated); err == nil && kind == jsonType {
		return nil
	}
	return refusalOf(http.StatusUnsupportedMediaType, dispatcher.ProblemMediaType, "send the body as "+jsonType)
}
