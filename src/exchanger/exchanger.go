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

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/framer"
	"github.com/rosecroft/rosecroft/src/rationer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxAnswerBytes bounds an answer that is buffered before it is forwarded.
	maxAnswerBytes = 8 << 20
	// maxInlineBody is the size of the largest body that is sent before the answer
	// is read. A larger one is sent concurrently, since an upstream may answer
	// before it has read the body and read the rest only afterwards.
	maxInlineBody = 32 << 10
)

// Verdict is what a Dialect reads from the head of an answer.
type Verdict struct {
	// MatchesAttempt is set where the answer names this attempt.
	MatchesAttempt bool
	// NotRun is set where the upstream states that it did not run the call.
	NotRun bool
	// Verified is set where the answer carries the upstream's proof that the protocol requires.
	Verified bool
	// ModelVersion is the version of the weights that generate a stream, "" if not stated.
	ModelVersion units.ModelVersion
	// IsEventStream is set where the answer is a stream of events.
	IsEventStream bool
	// RetryAfter is how long a refusing upstream wants no calls from this entry, 0 if it does
	// not ask for a back-off.
	RetryAfter time.Duration
	// Leaving is set where the upstream states that it is leaving.
	Leaving bool
	// Full is set where the upstream rejects the call for want of room, and asks for no back-off.
	Full bool
	// Brittle is what the upstream states about falling over, nil if the answer is not from that
	// upstream or its statement is not known.
	Brittle *rationer.Statement
	// Limit is the call rate limit that the upstream states, nil if the answer is not
	// from that upstream or its limit cannot be read.
	Limit *Limit
}

// Limit is an upstream's own limit on its rate of calls.
type Limit struct {
	// HasRate is false where the upstream states no limit and takes any number of calls.
	HasRate bool
	Rate    units.CallRate
}

// RequestInfo is what the head of a request contains besides its call.
type RequestInfo struct {
	Upstream *tracker.Upstream
	// Donor is the upstream that may hold the prompt prefixes that this one lacks, nil
	// for none.
	Donor *tracker.Upstream
	// CallerTimeout is how much longer the caller waits.
	CallerTimeout time.Duration
	// ResumeAfter is the position of the event after which a stream resumes.
	ResumeAfter units.Tokens
	// Deferred is set where the attempt yields to calls that can still be on time.
	Deferred bool
}

// Dialect writes and reads heads of requests and answers in the upstreams' protocol.
type Dialect interface {
	// RequestHeader returns the header of an attempt's request.
	RequestHeader(call *dispatcher.Call, sending RequestInfo) http.Header
	// CheckAnswer checks the head of an answer.
	CheckAnswer(call *dispatcher.Call, upstream *tracker.Upstream, status int, header http.Header) Verdict
	// IdentityPath returns the path at which upstreams state their incarnation.
	IdentityPath() string
	// ParseIdentity returns the incarnation that an answer from that path states, false for none.
	ParseIdentity(status int, body []byte) (units.Incarnation, bool)
}

// Guard decides whether a call may still be sent to an upstream.
type Guard interface {
	// Check returns the time left for the call, or why it may not be sent; a *WithheldError if
	// another upstream may still get it.
	Check(call *dispatcher.Call, upstream *tracker.Upstream) (left time.Duration, err error)
}

// WithheldError is the error for an upstream that must not receive a call now.
type WithheldError struct {
	Upstream units.Upstream
	// State is why, such as "backing-off".
	State string
}

// Error names the upstream and its state.
func (e *WithheldError) Error() string {
	return fmt.Sprintf("%s is %s; use another upstream", e.Upstream, e.State)
}

// Exchanger runs attempts; its fields are set before use.
type Exchanger struct {
	Pool    *Pool
	Dialect Dialect
	// Guard is checked right before the first byte of an attempt is sent.
	Guard Guard
	// Donor returns the upstream that may hold the prompt prefixes that the chosen one
	// lacks, nil for none; it may be nil.
	Donor func(call *dispatcher.Call, chosen *tracker.Upstream) *tracker.Upstream
	// IsDeferred reports whether an attempt that is about to be sent yields to calls that can still be on
	// time; nil defers none.
	IsDeferred func(call *dispatcher.Call, upstream *tracker.Upstream, stream *dispatcher.Stream) bool
	// OnStarted is called once a call has started to run or may have: it includes calls whose
	// answer is lost, most of which have run. It may be nil.
	OnStarted func(call *dispatcher.Call, upstream *tracker.Upstream)
	// OnAnswer is called with the head of each answer to its attempt, and the time at which the
	// attempt was sent; it may be nil.
	OnAnswer func(upstream *tracker.Upstream, verdict Verdict, sentAt time.Time)
	// HasEnded reports whether an upstream that accepts no connection from this entry has ended; nil
	// takes each such upstream for ended.
	HasEnded func(ctx context.Context, upstream *tracker.Upstream) bool
	// HasPaused reports whether what is read now may have arrived long ago, as this process did not run; nil stands for
	// never.
	HasPaused func() bool
	// MayAsk reports whether an upstream may be asked for its incarnation now; nil asks none.
	MayAsk func(upstream *tracker.Upstream) bool
	// OnIdentity is called with the answer of an upstream that was asked for its incarnation, before the
	// part of a stream that can be resumed is sent to it; an error keeps it from being sent.
	OnIdentity func(call *dispatcher.Call, upstream *tracker.Upstream, stream *dispatcher.Stream, identity Identity) error
	// OnUnanswered is called when an upstream has not answered the question for its incarnation; it may be nil.
	OnUnanswered func(upstream *tracker.Upstream)
	// Capper bounds what all answers hold together, until their calls end; nil bounds each answer alone.
	Capper *capper.Capper

	identities identities
}

// InvalidAnswerError is the error for received bytes that do not answer the attempt.
type InvalidAnswerError struct {
	Upstream units.Upstream
	Reason   string
}

// Error names the remedy.
func (e *InvalidAnswerError) Error() string {
	return fmt.Sprintf("%s sent bytes that do not answer the attempt (%s); the connection is closed, look at the upstream's own log", e.Upstream, e.Reason)
}

// Exchange runs one attempt.
func (x *Exchanger) Exchange(ctx context.Context, call *dispatcher.Call, _ units.Attempt, upstream *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	c, err := x.Pool.get(ctx, upstream, false)
	if err != nil {
		var limitErr *ConnectionLimitError
		return dispatcher.Result{
			Kind:          dispatcher.NotRun,
			ConnectFailed: !errors.As(err, &limitErr) && ctx.Err() == nil,
			Unsent:        true,
			Err:           err,
		}
	}
	e := &exchange{
		Exchanger: x,
		conn:      c,
		call:      call,
		upstream:  upstream,
		stream:    stream,
		hold:      x.Capper.NewHold(),
	}
	// Ends blocking reads and writes at once when the caller leaves or the deadline passes.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	result := e.runIdentified(ctx)
	result.Receipt = e.receipt
	x.Capper.Report(string(upstream.Name), result.Err)
	if result.Answer != nil {
		call.OnEnd(e.hold.Release)
	} else {
		e.hold.Release()
	}
	stopped := stop()
	switch {
	case e.dropped:
	case e.reusable && stopped && c.reader.Buffered() == 0:
		_ = c.SetDeadline(time.Time{})
		x.Pool.put(c)
	default:
		x.Pool.drop(c)
	}
	return result
}

// exchange is one running attempt.
type exchange struct {
	*Exchanger
	conn     *conn
	call     *dispatcher.Call
	upstream *tracker.Upstream
	stream   *dispatcher.Stream
	// bodySent receives the result of writing a body that is sent concurrently, nil
	// where the body was sent with the head.
	bodySent chan error
	reusable bool
	// dropped is set once the connection was dropped.
	dropped bool
	// startReported is set once OnStarted was called.
	startReported bool
	// replaying is set while the stream may repeat events that the caller has.
	replaying bool
	// answerStartedAt is when the first event of a streamed answer arrived, or the head of
	// another answer.
	answerStartedAt time.Time
	receipt         framer.Receipt
	// hold is what the answer takes of the entry's memory.
	hold *capper.Hold
	// deferred is set where the attempt was sent at the rank for deferred calls.
	deferred bool
}

// runIdentified runs the attempt unless the upstream is another incarnation than the known one.
func (e *exchange) runIdentified(ctx context.Context) dispatcher.Result {
	err := e.identify(ctx, e.conn, e.call, e.upstream, e.stream)
	if err == nil {
		return e.run(ctx)
	}
	var replaced *ReplacedError
	return dispatcher.Result{
		Kind:          dispatcher.NotRun,
		ConnectFailed: !errors.As(err, &replaced) && ctx.Err() == nil,
		Unsent:        true,
		Err:           err,
	}
}

func (e *exchange) run(ctx context.Context) dispatcher.Result {
	sentAt := timekeeper.Now()
	if result, ok := e.send(); !ok {
		return result
	}
	prompt := e.call.UncachedTokens()
	rank := e.rank()
	e.upstream.Local.AddPrompt(int64(prompt), rank, e.deferred)
	response, err := e.conn.reader.ReadResponse(&http.Request{Method: e.call.Method}, e.hold) //nolint:bodyclose // Closing would read a stream to its end; the connection is closed instead.
	e.upstream.Local.AddPrompt(-int64(prompt), rank, e.deferred)
	if err != nil {
		return e.lostResult(ctx, err)
	}
	e.receipt.Framing = framer.FramingOf(response)
	verdict := e.Dialect.CheckAnswer(e.call, e.upstream, response.StatusCode, response.Header)
	if !verdict.MatchesAttempt {
		return e.foreignResult("it names another attempt")
	}
	if e.OnAnswer != nil {
		e.OnAnswer(e.upstream, verdict, sentAt)
	}
	if verdict.NotRun {
		// The body of a refusal is short; reading it allows the connection to be reused.
		err := capper.Drain(response.Body, readBuffer)
		e.Capper.Report(string(e.upstream.Name), err)
		e.finish(response, err)
		return dispatcher.Result{
			Kind:       dispatcher.NotRun,
			RetryAfter: verdict.RetryAfter,
			Err:        fmt.Errorf("%s refused with status %d", e.upstream.Name, response.StatusCode),
		}
	}
	if !verdict.Verified {
		return e.foreignResult(fmt.Sprintf("status %d without the upstream's proof, or encoded", response.StatusCode))
	}
	e.reportStart()
	if e.call.Stream && verdict.IsEventStream && response.StatusCode == http.StatusOK {
		return e.forwardStream(ctx, response, verdict)
	}
	return e.readAnswer(ctx, response)
}

// rank returns the rank at which the attempt was sent.
func (e *exchange) rank() int {
	if e.deferred {
		return e.call.DeferredRank
	}
	return e.call.Rank
}

// reportStart calls OnStarted, at most once.
func (e *exchange) reportStart() {
	if e.OnStarted != nil && !e.startReported {
		e.startReported = true
		e.OnStarted(e.call, e.upstream)
	}
}

// send writes the request. If that fails it returns false and the result, which
// distinguishes whether any byte was sent.
func (e *exchange) send() (dispatcher.Result, bool) {
	left, err := e.Guard.Check(e.call, e.upstream)
	if err != nil {
		e.reusable = true
		var withheld *WithheldError
		return dispatcher.Result{
			Kind:   dispatcher.NotRun,
			Unsent: errors.As(err, &withheld),
			Err:    err,
		}, false
	}
	sending := RequestInfo{
		Upstream:      e.upstream,
		CallerTimeout: left,
		ResumeAfter:   e.stream.Offset(),
	}
	if e.Donor != nil {
		sending.Donor = e.Donor(e.call, e.upstream)
	}
	e.deferred = e.IsDeferred != nil && e.IsDeferred(e.call, e.upstream, e.stream)
	sending.Deferred = e.deferred
	header := e.Dialect.RequestHeader(e.call, sending)
	buffer := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(buffer)
	*buffer, err = appendHead((*buffer)[:0], e.call, header)
	if err != nil {
		e.reusable = true
		return dispatcher.Result{
			Kind:   dispatcher.NotRun,
			Unsent: true,
			Err:    fmt.Errorf("send to %s: %w", e.upstream.Name, err),
		}, false
	}
	body := e.call.Body
	if len(body) <= maxInlineBody {
		*buffer = append(*buffer, body...)
		body = nil
	}
	n, err := e.conn.Write(*buffer)
	if err != nil {
		kind := dispatcher.OutcomeUnknown
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
		e.bodySent = make(chan error, 1)
		go func() {
			_, err := e.conn.Write(body)
			e.bodySent <- err
		}()
	}
	return dispatcher.Result{}, true
}

func (e *exchange) readAnswer(ctx context.Context, response *http.Response) dispatcher.Result {
	e.markAnswerStarted()
	body, err := capper.ReadAll(capper.Source{
		Body:   response.Body,
		Kind:   capper.Body,
		Length: response.ContentLength,
		Limit:  maxAnswerBytes,
	}, e.hold)
	e.receipt.End = framer.EndOf(e.receipt.Framing, err)
	if err == nil {
		err = e.checkEnd(ctx)
	}
	if err != nil {
		return e.lostResult(ctx, err)
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

// finish decides whether the connection may be reused. It may not after an answer that
// arrived before the whole body was sent, since the upstream would take the next call's
// head for the rest of the body.
func (e *exchange) finish(response *http.Response, err error) {
	if e.bodySent != nil {
		select {
		case sendErr := <-e.bodySent:
			err = errors.Join(err, sendErr)
		default:
			return
		}
	}
	e.reusable = err == nil && !response.Close && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
	if seconds, found := parseKeepAlive(response.Header.Get("Keep-Alive")); found {
		e.conn.idleTimeout = seconds
	}
}

// parseKeepAlive returns the idle timeout in a Keep-Alive header.
func parseKeepAlive(value string) (time.Duration, bool) {
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

// markAnswerStarted records when the answer began to arrive.
func (e *exchange) markAnswerStarted() {
	if e.answerStartedAt.IsZero() {
		e.answerStartedAt = time.Now()
	}
}

// lostResult returns the result for an exchange of which it is unknown whether the call
// ran, or that ended because the caller left.
func (e *exchange) lostResult(ctx context.Context, err error) dispatcher.Result {
	result := dispatcher.Result{
		Kind:   dispatcher.OutcomeUnknown,
		NoRoom: capper.IsTotal(err),
		Err:    err,
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		result.Kind = dispatcher.CallerGone
		result.Err = ctx.Err()
	} else if ctx.Err() == nil {
		e.reportStart()
		result.ConnectionLost = isDisconnect(err)
	}
	if !e.answerStartedAt.IsZero() {
		result.AnswerDuration = time.Since(e.answerStartedAt)
	}
	return result
}

// isDisconnect reports whether an error means that the peer has closed or lost the
// connection.
func isDisconnect(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

func (e *exchange) foreignResult(reason string) dispatcher.Result {
	return dispatcher.Result{
		Kind: dispatcher.OutcomeUnknown,
		Err: &InvalidAnswerError{
			Upstream: e.upstream.Name,
			Reason:   reason,
		},
	}
}
