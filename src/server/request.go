package server

import (
	"context"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/rosecroft/rosecroft/src/admitter"
	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	maxBodyBytes       = 8 << 20
	maxKeyLength       = 255
	defaultBodyTimeout = 30 * time.Second
	unreadyRetryAfter  = time.Second
	slowBodyRetryAfter = time.Second
	noRoomRetryAfter   = time.Second
	bearerPrefix       = "Bearer "
	jsonContentType    = "application/json"

	headerKey    = "Idempotency-Key"
	headerCallID = "Rosecroft-Call-Id"
)

// newCallID assigns the request its id, which appears in every response and log line
// about it.
func newCallID(writer http.ResponseWriter) units.CallID {
	id := units.CallID(uuid.NewString())
	writer.Header().Set(headerCallID, string(id))
	return id
}

// identify determines the caller: the brand from the Host header, the account from the API
// key.
func (s *Server) identify(request *http.Request) (*indexer.Snapshot, units.Brand, *parser.ClientAccount, *dispatcher.Refusal) {
	snapshot := s.Snapshot.Load()
	if snapshot == nil || !s.acceptsCalls() {
		return nil, "", nil, unreadyRefusal(request)
	}
	brand, known := snapshot.Brand(request.Host)
	if !known {
		return nil, "", nil, newRefusal(http.StatusMisdirectedRequest, dispatcher.ProblemUnknownHost,
			"the Host header names no brand")
	}
	key, bearer := strings.CutPrefix(request.Header.Get("Authorization"), bearerPrefix)
	account, known := snapshot.Account(key)
	if !bearer || !known {
		return nil, "", nil, newRefusal(http.StatusUnauthorized, dispatcher.ProblemBadKey,
			"send the account's API key as Authorization: Bearer KEY")
	}
	if account.Brand != brand {
		return nil, "", nil, newRefusal(http.StatusForbidden, dispatcher.ProblemForbidden,
			"the API key belongs to an account of another brand; call that brand's host")
	}
	return snapshot, brand, account, nil
}

// unreadyRefusal refuses a request that this entry does not examine. A request with an
// Idempotency-Key may be a resend whose first attempt ran at another entry. It is answered
// with "executed: unknown", since its caller would take "no" as final.
func unreadyRefusal(request *http.Request) *dispatcher.Refusal {
	refusal := newRefusal(http.StatusServiceUnavailable, dispatcher.ProblemUnready, "this entry takes no calls now")
	refusal.RetryAfter = unreadyRetryAfter
	if request.Header.Get(headerKey) != "" {
		refusal.Executed = dispatcher.ExecutedUnknown
	}
	return refusal
}

// acceptCall identifies the caller, reads the whole request and makes a call of it.
func (s *Server) acceptCall(id units.CallID, request *http.Request, writer http.ResponseWriter) (*indexer.Snapshot, *dispatcher.Call, *dispatcher.Refusal) {
	snapshot, brand, account, refusal := s.identify(request)
	if refusal != nil {
		return nil, nil, refusal
	}
	key := request.Header.Get(headerKey)
	if len(key) > maxKeyLength {
		return nil, nil, badRequest(fmt.Sprintf("the Idempotency-Key is longer than %d characters", maxKeyLength))
	}
	body, refusal := s.readBody(request, writer)
	if refusal != nil {
		return nil, nil, refusal
	}
	keyGiven := key != ""
	if !keyGiven {
		key = dispatcher.GeneratedKeyPrefix + string(id)
	}
	writer.Header().Set(headerKey, key)
	return snapshot, &dispatcher.Call{
		ID:           id,
		Key:          key,
		HasCallerKey: keyGiven,
		Brand:        brand,
		Account:      account,
		Method:       request.Method,
		Path:         request.URL.Path,
		Query:        request.URL.RawQuery,
		Header:       request.Header,
		Body:         body,
	}, nil
}

// readBody reads the body within the body timeout; net/http clears the read deadline once
// the body has ended.
func (s *Server) readBody(request *http.Request, writer http.ResponseWriter) ([]byte, *dispatcher.Refusal) {
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(s.bodyTimeout()))
	body, err := admitter.ReadBody(request, maxBodyBytes)
	if err != nil {
		admitter.CloseUnread(writer, request)
		return nil, bodyRefusal(err)
	}
	return body, nil
}

func (s *Server) bodyTimeout() time.Duration {
	if s.BodyTimeout == 0 {
		return defaultBodyTimeout
	}
	return s.BodyTimeout
}

func bodyRefusal(err error) *dispatcher.Refusal {
	var tooLarge *capper.ExceededError
	var refused *admitter.RefusedError
	if errors.As(err, &refused) && refused.Kind != admitter.RequestTimeout {
		refusal := newRefusal(http.StatusServiceUnavailable, dispatcher.ProblemOverload, err.Error())
		refusal.RetryAfter = noRoomRetryAfter
		return refusal
	}
	if errors.As(err, &tooLarge) {
		return newRefusal(http.StatusRequestEntityTooLarge, dispatcher.ProblemTooLarge,
			fmt.Sprintf("the body is larger than %d bytes", maxBodyBytes))
	}
	if refused != nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		refusal := newRefusal(http.StatusRequestTimeout, dispatcher.ProblemTooSlow, "the body did not arrive in time")
		refusal.RetryAfter = slowBodyRetryAfter
		return refusal
	}
	return badRequest("the body could not be read whole")
}

// checkContentType refuses a body whose Content-Type is not JSON; a missing header is
// accepted.
func checkContentType(request *http.Request) *dispatcher.Refusal {
	contentType := request.Header.Get("Content-Type")
	if contentType == "" {
		return nil
	}
	if mediaType, _, err := mime.ParseMediaType(contentType); err == nil && mediaType == jsonContentType {
		return nil
	}
	return newRefusal(http.StatusUnsupportedMediaType, dispatcher.ProblemMediaType, "send the body as "+jsonContentType)
}
