package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Headers between entries and upstreams; docs/UPSTREAMS.md describes them.
const (
	HeaderCall         = "Rosecroft-Call"
	HeaderAttempt      = "Rosecroft-Attempt"
	HeaderExecuted     = "Rosecroft-Executed"
	HeaderModelVersion = "Rosecroft-Model-Version"
	HeaderLastEvent    = "Last-Event-ID"
)

const (
	maxAnswer       = 16 << 20
	connectTimeout  = 500 * time.Millisecond
	idlePerUpstream = 64
)

// hopHeaders are not passed on in either direction; Authorization holds the
// caller's key, which is no upstream's business.
//
// Idempotency-Key must stay out too: the HTTP client takes a request that bears
// it for one that it may send again by itself, so that a charge would run twice.
var hopHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Host", "Idempotency-Key", "X-Idempotency-Key",
	"Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Forwarder exchanges calls with upstreams; its fields are set before use.
type Forwarder struct {
	Client *http.Client
}

// NewClient returns an HTTP client for exchanges with upstreams.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerUpstream,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Exchange runs one attempt and says how it ended.
func (f *Forwarder) Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt,
	upstream *tracker.Upstream, stream *dispatcher.Stream,
) dispatcher.Result {
	request, err := f.request(ctx, call, attempt, upstream, stream)
	if err != nil {
		return notRun(err)
	}
	response, err := f.Client.Do(request)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get(HeaderExecuted) == string(dispatcher.ExecutedNo) {
		return refused(response)
	}
	// A connection that crossed answers would hand one caller another's; the id
	// tells, and an answer without the right one counts as lost.
	if echoed := response.Header.Get(HeaderCall); echoed != string(call.ID) {
		return lost(fmt.Errorf("the upstream answered call %q", echoed))
	}
	if call.Stream && response.StatusCode == http.StatusOK {
		return f.passStream(call, response, stream)
	}
	return f.passWhole(call, response)
}

func (f *Forwarder) request(ctx context.Context, call *dispatcher.Call, attempt units.Attempt,
	upstream *tracker.Upstream, stream *dispatcher.Stream,
) (*http.Request, error) {
	body, err := resumeBody(call, stream)
	if err != nil {
		return nil, err
	}
	address := upstream.Address + call.Path
	if call.Query != "" {
		address += "?" + call.Query
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, address, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("form the request to %s: %w", upstream.Name, err)
	}
	// Without a way to read the body anew the client cannot repeat the request
	// on its own; repeating is the dispatcher's decision.
	request.GetBody = nil
	request.Header = passHeaders(call.Header)
	request.Header.Set(HeaderCall, string(call.ID))
	request.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
	if stream.Offset() > 0 {
		request.Header.Set(HeaderLastEvent, strconv.FormatInt(int64(stream.Offset()), 10))
		request.Header.Set(HeaderModelVersion, string(stream.Version()))
	}
	return request, nil
}

// resumeBody returns the call's body, with the text so far where a stream goes on.
func resumeBody(call *dispatcher.Call, stream *dispatcher.Stream) ([]byte, error) {
	if stream.Offset() == 0 {
		return call.Body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(call.Body, &fields); err != nil {
		return nil, fmt.Errorf("read the request to resume: %w", err)
	}
	text, err := json.Marshal(string(stream.Text()))
	if err != nil {
		return nil, fmt.Errorf("form the request to resume: %w", err)
	}
	fields["continue_text"] = text
	return json.Marshal(fields)
}

func (f *Forwarder) passWhole(call *dispatcher.Call, response *http.Response) dispatcher.Result {
	// An answer whose end is only the connection's end may have been cut.
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return lost(errors.New("the upstream's answer has no length"))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return lost(fmt.Errorf("read the answer: %w", err))
	}
	if len(body) > maxAnswer {
		return lost(fmt.Errorf("the answer is longer than %d bytes", maxAnswer))
	}
	if call.Kind == parser.ModelService && !json.Valid(body) {
		return lost(errors.New("the answer is not whole JSON"))
	}
	return dispatcher.Result{
		Kind: dispatcher.Answered,
		Answer: &dispatcher.Answer{
			Status: response.StatusCode,
			Header: passHeaders(response.Header),
			Body:   body,
		},
	}
}

func passHeaders(header http.Header) http.Header {
	passed := header.Clone()
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	for _, name := range []string{HeaderCall, HeaderAttempt, HeaderExecuted, HeaderModelVersion} {
		passed.Del(name)
	}
	return passed
}

// failed classes an error before any answer. Only a connection that was never
// made proves that nothing ran.
func failed(err error) dispatcher.Result {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return notRun(err)
	}
	return lost(err)
}

func refused(response *http.Response) dispatcher.Result {
	result := notRun(fmt.Errorf("the upstream refused with status %d", response.StatusCode))
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	return result
}

func notRun(err error) dispatcher.Result {
	return dispatcher.Result{
		Kind: dispatcher.NotRun,
		Err:  err,
	}
}

func lost(err error) dispatcher.Result {
	return dispatcher.Result{
		Kind: dispatcher.Lost,
		Err:  err,
	}
}
