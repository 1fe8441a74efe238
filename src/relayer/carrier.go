package relayer

import (
	"bytes"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// deadlineTolerance is by how much two entries may disagree on the true time. An attempt that
	// waited in a suspended carrier for longer has less time left than its sender stated.
	deadlineTolerance = 200 * time.Millisecond
	// responseTime is how long after the deadline of a call its sender may take to receive the rest
	// of the answer.
	responseTime = time.Second
)

// Carrier sends calls of other entries to upstreams; its exported fields are set before use.
type Carrier struct {
	Upstreams Upstreams
	// TrueNow returns the time of day that the fleet has agreed on; nil where there is none.
	TrueNow func() time.Time
	// MaxCalls and MaxBytes bound the calls that are carried at a time and their bodies together; 0
	// stands for no limit.
	MaxCalls int64
	MaxBytes int64
	Log      zerolog.Logger

	calls atomic.Int64
	bytes atomic.Int64
}

// Upstreams sends attempts to upstreams over this entry's own connections.
type Upstreams interface {
	// Admit returns the upstream of an offer, or why this entry cannot send a call to it.
	Admit(offer *messages.RelayOffer) (*tracker.Upstream, *RefusedError)
	// Exchange runs one attempt at an upstream.
	Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt, upstream *tracker.Upstream, stream *dispatcher.Stream) dispatcher.Result
	// MayHaveChanged reports whether an upstream may run another software version than it is known for.
	MayHaveChanged(upstream *tracker.Upstream) bool
	// Stated returns what an upstream has stated to this entry.
	Stated(upstream *tracker.Upstream) Stated
	// Probe returns why no connection to an upstream can be made, or nil.
	Probe(ctx context.Context, upstream *tracker.Upstream) error
}

// Stated is what an upstream has stated of itself.
type Stated struct {
	// RetryAfter is the rest of the back-off that it has asked for, 0 for none.
	RetryAfter time.Duration
	Leaving    bool
}

// Register registers the handlers for requests of other entries.
func (c *Carrier) Register(server *connector.Server) {
	if server.AllowedRoles == nil {
		server.AllowedRoles = make(map[connector.Method][]certifier.Role)
	}
	for _, method := range []connector.Method{MethodOffer, MethodSend, MethodProbe} {
		server.AllowedRoles[method] = []certifier.Role{certifier.Entry}
	}
	connector.Handle(server, MethodOffer, c.onOffer)
	connector.Handle(server, MethodSend, c.onSend)
	connector.Handle(server, MethodProbe, c.onProbe)
}

// Calls returns how many calls are being carried.
func (c *Carrier) Calls() int64 { return c.calls.Load() }

func (c *Carrier) onOffer(_ context.Context, peer connector.Peer, offer *messages.RelayOffer) (*messages.RelayOfferResponse, error) {
	if err := peer.RequireName(certifier.Entry, offer.GetEntry()); err != nil {
		return nil, err
	}
	if c.isBusy(int64(offer.GetBodyBytes())) {
		return &messages.RelayOfferResponse{Refusal: messages.RelayRefusal_RELAY_REFUSAL_BUSY}, nil
	}
	upstream, refused := c.Upstreams.Admit(offer)
	if refused != nil {
		return &messages.RelayOfferResponse{
			Refusal:   refused.Refusal,
			BackoffNs: int64(refused.BackoffLeft),
		}, nil
	}
	return &messages.RelayOfferResponse{
		Accepted:       true,
		MayHaveChanged: c.Upstreams.MayHaveChanged(upstream),
	}, nil
}

// isBusy reports whether no call with a body of this size fits beside those that are carried.
func (c *Carrier) isBusy(bodyBytes int64) bool {
	return c.MaxCalls > 0 && c.calls.Load() >= c.MaxCalls || c.MaxBytes > 0 && c.bytes.Load()+bodyBytes > c.MaxBytes
}

// onSend carries one attempt, and returns once it has ended. ctx ends with the connection to the sender.
func (c *Carrier) onSend(ctx context.Context, peer connector.Peer, m *messages.RelayedCall) (*messages.RelayEnd, error) {
	if err := peer.RequireName(certifier.Entry, m.GetOffer().GetEntry()); err != nil {
		return nil, err
	}
	bodyBytes := int64(len(m.GetBody()))
	calls, bytes := c.calls.Add(1), c.bytes.Add(bodyBytes)
	defer c.calls.Add(-1)
	defer c.bytes.Add(-bodyBytes)
	// Several offers may have been accepted before the calls came.
	if c.MaxCalls > 0 && calls > c.MaxCalls || c.MaxBytes > 0 && bytes > c.MaxBytes {
		return notSent(&RefusedError{Refusal: messages.RelayRefusal_RELAY_REFUSAL_BUSY}), nil
	}
	startedAt := timekeeper.Now()
	upstream, refused := c.Upstreams.Admit(m.GetOffer())
	left := c.timeLeft(m)
	if refused != nil || left <= 0 {
		return notSent(refused), nil
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	// A sender that reads nothing would keep the call here.
	disconnect := time.AfterFunc(left+responseTime, peer.Disconnect)
	defer disconnect.Stop()
	call := decodeCall(m)
	defer call.End()
	call.Deadline = time.Now().Add(left)
	call.BootTimeDeadline = startedAt.Add(left)
	trace := &Trace{}
	call.Trace = trace
	sink := &sink{
		ctx:  ctx,
		peer: peer,
	}
	sink.stream = dispatcher.NewResumedStream(sink, units.Tokens(m.GetOffset()), m.GetText(), units.ModelVersion(m.GetModelVersion()))
	sink.textSent = len(m.GetText())
	result := c.Upstreams.Exchange(ctx, call, units.Attempt(m.GetAttempt()), upstream, sink.stream)
	sink.flush()
	c.log(m, upstream, result, startedAt)
	return encodeResult(result, trace.Started, c.Upstreams.Stated(upstream)), nil
}

// notSent returns the end of an attempt that was not sent to its upstream.
func notSent(refused *RefusedError) *messages.RelayEnd {
	end := &messages.RelayEnd{
		Result: messages.RelayResult_RELAY_RESULT_NOT_RUN,
		Unsent: true,
		Error:  "the call's time has run out",
	}
	if refused != nil {
		end.ConnectFailed = refused.Refusal == messages.RelayRefusal_RELAY_REFUSAL_UNREACHED
		end.RetryAfterNs = int64(refused.BackoffLeft)
		end.Leaving = refused.Refusal == messages.RelayRefusal_RELAY_REFUSAL_LEAVING
		end.Error = refused.Error()
	}
	return end
}

// timeLeft returns how much time an attempt has left.
func (c *Carrier) timeLeft(m *messages.RelayedCall) time.Duration {
	if c.TrueNow == nil || m.GetDeadlineNs() == 0 {
		return time.Duration(m.GetLeftNs())
	}
	untilDeadline := time.Unix(0, m.GetDeadlineNs()).Sub(c.TrueNow())
	return min(time.Duration(m.GetLeftNs()), untilDeadline+deadlineTolerance)
}

func (c *Carrier) log(m *messages.RelayedCall, upstream *tracker.Upstream, result dispatcher.Result, startedAt time.Time) {
	c.Log.Info().
		Str("call", m.GetOffer().GetCall()).
		Str("entry", m.GetOffer().GetEntry()).
		Str("service", string(upstream.Service)).
		Str("upstream", string(upstream.Name)).
		Uint32("attempt", m.GetAttempt()).
		Str("result", result.Kind.String()).
		Int64("took-ms", timekeeper.Now().Sub(startedAt).Milliseconds()).
		AnErr("error", result.Err).
		Msg("relayed-call")
}

func (c *Carrier) onProbe(ctx context.Context, peer connector.Peer, m *messages.RelayProbe) (*messages.RelayProbeResponse, error) {
	if err := peer.RequireName(certifier.Entry, m.GetOffer().GetEntry()); err != nil {
		return nil, err
	}
	upstream, refused := c.Upstreams.Admit(m.GetOffer())
	if refused != nil && refused.Refusal != messages.RelayRefusal_RELAY_REFUSAL_UNREACHED {
		return &messages.RelayProbeResponse{Refusal: refused.Refusal}, nil
	}
	return &messages.RelayProbeResponse{Reached: refused == nil && c.Upstreams.Probe(ctx, upstream) == nil}, nil
}

// Trace records whether a carried call has begun to run.
type Trace struct {
	Started bool
}

// RecordStep does nothing, since the sender records the call's steps.
func (*Trace) RecordStep(dispatcher.Step, units.Upstream, string) {}

// RecordCandidate does nothing, since the sender has chosen the upstream.
func (*Trace) RecordCandidate(units.Upstream, float64) {}

// sink passes a stream to the sender of its call.
type sink struct {
	ctx    context.Context
	peer   connector.Peer
	stream *dispatcher.Stream
	// buffered are the events that are sent with the next one.
	buffering bool
	buffered  []*messages.RelayedEvent
	// textSent is how many bytes of the stream's text the sender has.
	textSent int
}

// Answer is not called: complete answers are part of the result.
func (s *sink) Answer(*dispatcher.Answer) error { return nil }

// Begin sends the head of the stream.
func (s *sink) Begin(header http.Header) error {
	return s.peer.Notify(s.ctx, methodHead, &messages.RelayedHead{
		Header:       encodeAnswerHeader(header),
		ModelVersion: string(s.stream.Version()),
	})
}

// Event sends an event, or keeps it for the next one while the sink is buffering.
func (s *sink) Event(offset units.Tokens, data []byte) error {
	s.buffered = append(s.buffered, &messages.RelayedEvent{
		Offset: int64(offset),
		Data:   bytes.Clone(data),
		Text:   s.stream.TextAfter(s.textSent),
	})
	s.textSent = s.stream.TextSize()
	if s.buffering {
		return nil
	}
	return s.send()
}

func (s *sink) send() error {
	err := s.peer.Notify(s.ctx, methodEvents, &messages.RelayedEvents{Events: s.buffered})
	s.buffered = s.buffered[:0]
	return err
}

// flush sends the events that were kept when the stream broke off. The sender may be gone.
func (s *sink) flush() {
	if len(s.buffered) > 0 {
		_ = s.send()
	}
}

// SetBuffering sets whether the events that follow are kept for the next one.
func (s *sink) SetBuffering(hold bool) { s.buffering = hold }

// End does nothing: the result marks the end of the stream.
func (s *sink) End() error { return nil }
