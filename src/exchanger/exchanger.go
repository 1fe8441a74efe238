package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// mostAnswer bounds an answer that is kept whole before it is passed on.
	mostAnswer = 8 << 20
	// directBody is the largest body that is sent before the answer is awaited;
	// a larger one goes out beside it, since an upstream may answer before it has
	// read the body and read on only then.
	directBody = 32 << 10
)

// Verdict is what the head of an answer says.
type Verdict struct {
	// Own says that the answer names the attempt it belongs to.
	Own bool
	// NotRun says that the upstream has not run the call.
	NotRun bool
	// Whole says that the upstream vouches for the answer.
	Whole bool
	// Version names the weights that generate a stream, "" where it is not said.
	Version units.ModelVersion
	// Events says that the answer is a stream of events.
	Events bool
	// RetryAfter is what a refusing upstream asks for.
	RetryAfter time.Duration
	// Limit is what the upstream says of how many calls it takes, nil where the answer is
	// not that upstream's.
	Limit *Limit
}

// Limit is how many calls an upstream says that it takes.
type Limit struct {
	// Stated is false where it takes as many as come.
	Stated bool
	Rate   units.CallRate
}

// Sending is what the head of an attempt says beside its call.
type Sending struct {
	Upstream *tracker.Upstream
	// Donor is the upstream that may hold what this one lacks of the prompt, nil for
	// none.
	Donor *tracker.Upstream
	// Left is how long the caller waits.
	Left time.Duration
	// From is the event behind which a stream goes on.
	From units.Tokens
}

// Dialect knows the heads of requests and answers in the upstreams' protocol.
type Dialect interface {
	// Head returns the header of an attempt.
	Head(call *dispatcher.Call, sending Sending) http.Header
	// Read judges the head of an answer.
	Read(call *dispatcher.Call, upstream *tracker.Upstream, status int, header http.Header) Verdict
}

// Guard says whether a call may still go out.
type Guard interface {
	// Check returns what is left of the call's time, or why it may not go out.
	Check(call *dispatcher.Call) (left time.Duration, err error)
}

// Exchanger runs attempts; its fields are set before use.
type Exchanger struct {
	Pool    *Pool
	Dialect Dialect
	// Guard is asked right before the first byte of an attempt goes out.
	Guard Guard
	// Donor returns the upstream that may hold what the chosen one lacks of the
	// prompt, nil for none; it may be nil.
	Donor func(call *dispatcher.Call, chosen *tracker.Upstream) *tracker.Upstream
	// Began is told that a call has begun to run, or may have: of one whose answer
	// is lost nobody knows, and most have. It may be nil.
	Began func(call *dispatcher.Call, upstream *tracker.Upstream)
	// Limited takes what an upstream says of how many calls it takes, in an answer to a call
	// that was sent then; it may be nil.
	Limited func(upstream *tracker.Upstream, limit Limit, sentAt time.Time)
}

// ForeignError says that bytes arrived that do not answer the attempt.
type ForeignError struct {
	Upstream units.Upstream
	Reason   string
}

// Error names the remedy.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("%s sent bytes that do not answer the attempt (%s); the connection is closed, look at the upstream's own log", e.Upstream, e.Reason)
}

// Exchange runs one attempt.
func (x *Exchanger) Exchange(ctx context.Context, call *dispatcher.Call, _ units.Attempt, upstream *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	c, err := x.Pool.get(ctx, upstream, false)
	if err != nil {
		var full *FullError
		return dispatcher.Result{
			Kind:      dispatcher.NotRun,
			Unreached: !errors.As(err, &full) && ctx.Err() == nil,
			Unsent:    true,
			Err:       err,
		}
	}
	e := &exchange{
		Exchanger: x,
		conn:      c,
		call:      call,
		upstream:  upstream,
		stream:    stream,
	}
	// A caller who leaves, or a deadline, ends the wait at once.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	result := e.run(ctx)
	stopped := stop()
	if e.reusable && stopped && c.reader.Buffered() == 0 {
		_ = c.SetDeadline(time.Time{})
		x.Pool.put(c)
	} else {
		x.Pool.drop(c)
	}
	return result
}

// exchange is one attempt under way.
type exchange struct {
	*Exchanger
	conn     *conn
	call     *dispatcher.Call
	upstream *tracker.Upstream
	stream   *dispatcher.Stream
	// sent ends with the writing of a large body.
	sent     chan error
	reusable bool
	// told says that Began was called.
	told bool
	// resumed says that the caller has what the stream begins with.
	resumed bool
	// answeringAt is when the answer's first event came, or the head of one without events.
	answeringAt time.Time
}

func (e *exchange) run(ctx context.Context) dispatcher.Result {
	sentAt := timekeeper.Now()
	if result, sent := e.send(); !sent {
		return result
	}
	prompt := e.call.Unread()
	e.upstream.Local.PrefillTokens.Add(int64(prompt))
	response, result := e.head(ctx) //nolint:bodyclose // Closing would read a stream to its end; the connection is closed instead.
	e.upstream.Local.PrefillTokens.Add(-int64(prompt))
	if response == nil {
		return result
	}
	verdict := e.Dialect.Read(e.call, e.upstream, response.StatusCode, response.Header)
	if e.Limited != nil && verdict.Limit != nil {
		e.Limited(e.upstream, *verdict.Limit, sentAt)
	}
	if !verdict.Own {
		return e.foreign("it names another attempt")
	}
	if verdict.NotRun {
		// The body of a refusal is short; reading it saves the connection.
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, readBuffer))
		e.finish(response, err)
		return dispatcher.Result{
			Kind:       dispatcher.NotRun,
			RetryAfter: verdict.RetryAfter,
			Err:        fmt.Errorf("%s refused with status %d", e.upstream.Name, response.StatusCode),
		}
	}
	if !verdict.Whole {
		return e.foreign(fmt.Sprintf("status %d without the upstream's proof, or encoded", response.StatusCode))
	}
	e.began()
	if e.call.Stream && verdict.Events && response.StatusCode == http.StatusOK {
		return e.events(ctx, response, verdict)
	}
	return e.answer(ctx, response)
}

// began tells that the call has begun to run, once.
func (e *exchange) began() {
	if e.Began != nil && !e.told {
		e.told = true
		e.Began(e.call, e.upstream)
	}
}

// send writes the request; where nothing of it has left, it says so.
func (e *exchange) send() (dispatcher.Result, bool) {
	left, err := e.Guard.Check(e.call)
	if err != nil {
		e.reusable = true
		return dispatcher.Result{
			Kind: dispatcher.NotRun,
			Err:  err,
		}, false
	}
	sending := Sending{
		Upstream: e.upstream,
		Left:     left,
		From:     e.stream.Offset(),
	}
	if e.Donor != nil {
		sending.Donor = e.Donor(e.call, e.upstream)
	}
	header := e.Dialect.Head(e.call, sending)
	buffer := heads.Get().(*[]byte)
	defer heads.Put(buffer)
	*buffer = appendHead((*buffer)[:0], e.call, header)
	body := e.call.Body
	if len(body) <= directBody {
		*buffer = append(*buffer, body...)
		body = nil
	}
	n, err := e.conn.Write(*buffer)
	if err != nil {
		kind := dispatcher.Lost
		if n == 0 {
			kind = dispatcher.NotRun
		}
		return dispatcher.Result{
			Kind:   kind,
			Unsent: n == 0,
			Err:    fmt.Errorf("send to %s: %w", e.upstream.Name, err),
		}, false
	}
	if len(body) > 0 {
		e.sent = make(chan error, 1)
		go func() {
			_, err := e.conn.Write(body)
			e.sent <- err
		}()
	}
	return dispatcher.Result{}, true
}

// head reads the head of the answer, skipping those that only announce one.
func (e *exchange) head(ctx context.Context) (*http.Response, dispatcher.Result) {
	request := &http.Request{Method: e.call.Method}
	for {
		response, err := http.ReadResponse(e.conn.reader, request)
		if err != nil {
			return nil, e.lost(ctx, err)
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, dispatcher.Result{}
		}
	}
}

func (e *exchange) answer(ctx context.Context, response *http.Response) dispatcher.Result {
	e.answering()
	body, err := io.ReadAll(io.LimitReader(response.Body, mostAnswer+1))
	if err == nil && len(body) > mostAnswer {
		err = errors.New("the answer is too large")
	}
	if err != nil {
		return e.lost(ctx, err)
	}
	e.finish(response, nil)
	kind := dispatcher.Answered
	if response.StatusCode >= http.StatusInternalServerError && e.call.Repeatable {
		kind = dispatcher.Failed
	}
	return dispatcher.Result{
		Kind: kind,
		Answer: &dispatcher.Answer{
			Status: response.StatusCode,
			Header: response.Header,
			Body:   body,
		},
	}
}

// finish decides whether the connection may serve another call: not after an
// answer that came before the body had left, since the upstream would take the
// next call's head for the rest of it.
func (e *exchange) finish(response *http.Response, err error) {
	if e.sent != nil {
		select {
		case sendErr := <-e.sent:
			err = errors.Join(err, sendErr)
		default:
			return
		}
	}
	e.reusable = err == nil && !response.Close && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
	if seconds, found := keepAlive(response.Header.Get("Keep-Alive")); found {
		e.conn.idle = seconds
	}
}

// keepAlive reads the idle timeout that an upstream states.
func keepAlive(value string) (time.Duration, bool) {
	for _, field := range strings.Split(value, ",") {
		name, text, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// answering notes that the answer has begun to come.
func (e *exchange) answering() {
	if e.answeringAt.IsZero() {
		e.answeringAt = time.Now()
	}
}

// lost says that nobody knows whether the call ran.
func (e *exchange) lost(ctx context.Context, err error) dispatcher.Result {
	result := dispatcher.Result{
		Kind: dispatcher.Lost,
		Err:  err,
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		result.Kind = dispatcher.CallerGone
		result.Err = ctx.Err()
	} else if ctx.Err() == nil {
		e.began()
		result.Cut = isCut(err)
	}
	if !e.answeringAt.IsZero() {
		result.Answering = time.Since(e.answeringAt)
	}
	return result
}

// isCut reports whether an error says that the other end of a connection is gone.
func isCut(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

func (e *exchange) foreign(reason string) dispatcher.Result {
	return dispatcher.Result{
		Kind: dispatcher.Lost,
		Err: &ForeignError{
			Upstream: e.upstream.Name,
			Reason:   reason,
		},
	}
}
