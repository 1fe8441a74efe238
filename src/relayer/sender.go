package relayer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/pathfinder"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// offerTimeout is how long a peer may take to accept an offer, including the connection to it: a
	// busy peer answers within some tens of milliseconds, and callers wait meanwhile.
	offerTimeout = 300 * time.Millisecond
	// maxOffers is how many peers are asked to carry one attempt.
	maxOffers = 3
)

// Sender sends attempts through peers; its exported fields are set before use.
type Sender struct {
	// Name is this entry's name.
	Name   units.Instance
	Client *connector.Client
	// Guard is checked right before an attempt is sent to the peer.
	Guard exchanger.Guard
	// TrueNow returns the time of day that the fleet has agreed on; nil where there is none.
	TrueNow func() time.Time
	// OnStarted is called once a call has started to run or may have.
	OnStarted func(call *dispatcher.Call, upstream *tracker.Upstream)
	// OnAnswer is called with what an upstream states of itself to the peer, or has stated before,
	// and the time at which the attempt was sent.
	OnAnswer func(upstream *tracker.Upstream, verdict exchanger.Verdict, sentAt time.Time)
	// OnAccepted is called before an attempt that may bring a stream's first event is sent to a peer, with whether the
	// upstream may run another software version than it is known for, as far as the peer knows; it may be nil.
	OnAccepted func(ctx context.Context, call *dispatcher.Call, upstream *tracker.Upstream, stream *dispatcher.Stream, mayHaveChanged bool)
	// OnOffer is called with how an offer ended, nil if the peer has accepted it; it may be nil.
	OnOffer func(peer Peer, call *dispatcher.Call, err error)
	// Capper bounds what all answers hold together, until their calls end; nil bounds each answer alone.
	Capper *capper.Capper

	mu     sync.Mutex
	peers  []Peer
	states map[units.Instance]*peerState
}

// NoPeerError is the error where no peer can carry a call.
type NoPeerError struct {
	Service units.Service
}

// Error names the remedy.
func (e *NoPeerError) Error() string {
	return fmt.Sprintf("no other entry can send a call to service %s; check the network between entries and upstreams", e.Service)
}

// PeerError is the error of an attempt at a peer.
type PeerError struct {
	Peer   units.Instance
	Reason string
}

// Error names the peer.
func (e *PeerError) Error() string { return fmt.Sprintf("through %s: %s", e.Peer, e.Reason) }

// RefusedError is the error where a peer does not carry a call.
type RefusedError struct {
	Peer    units.Instance
	Refusal messages.RelayRefusal
	// BackoffLeft is the rest of the upstream's back-off that the peer keeps, 0 for none.
	BackoffLeft time.Duration
}

// Error names the peer and its reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("%s refused: %s", e.Peer, e.Refusal) }

// UncertainVersionError is the error where a stream must not go on at an upstream.
type UncertainVersionError struct {
	Peer     units.Instance
	Upstream units.Upstream
}

// Error names the peer and the upstream.
func (e *UncertainVersionError) Error() string {
	return fmt.Sprintf("%s may have started again at another software version, as far as %s knows", e.Upstream, e.Peer)
}

// Exchange runs one attempt through a peer.
func (s *Sender) Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt, upstream *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	var tried []units.Instance
	result := dispatcher.Result{
		Kind:   dispatcher.NotRun,
		Unsent: true,
		NoPath: true,
		Err:    &NoPeerError{Service: call.Service},
	}
	for range maxOffers {
		peer, found := s.choose(timekeeper.Now(), call.Service, tried)
		if !found {
			break
		}
		tried = append(tried, peer.Name)
		session, mayHaveChanged, err := s.offerTo(ctx, peer, call, upstream)
		_, isBound := stream.Release()
		if err == nil && isBound && mayHaveChanged {
			s.putIdle(peer, session)
			s.release(peer)
			result.NoPath = false
			result.Err = &UncertainVersionError{
				Peer:     peer.Name,
				Upstream: upstream.Name,
			}
			break
		}
		if err == nil {
			if s.OnAccepted != nil && !isBound {
				s.OnAccepted(ctx, call, upstream, stream, mayHaveChanged)
			}
			result = s.send(ctx, peer, session, call, attempt, upstream, stream)
			s.release(peer)
			return result
		}
		s.release(peer)
		result.Err = err
		if ctx.Err() != nil {
			break
		}
		var refused *RefusedError
		if errors.As(err, &refused) && s.isAboutUpstream(upstream, refused) {
			result.NoPath = false
			result.ConnectFailed = refused.Refusal == messages.RelayRefusal_RELAY_REFUSAL_UNREACHED
			break
		}
	}
	return result
}

// isAboutUpstream reports whether a peer refused because of the upstream, so that another peer would
// refuse as well, and records what the upstream has stated to the peer.
func (s *Sender) isAboutUpstream(upstream *tracker.Upstream, refused *RefusedError) bool {
	switch refused.Refusal {
	case messages.RelayRefusal_RELAY_REFUSAL_UNREACHED, messages.RelayRefusal_RELAY_REFUSAL_UNKNOWN_UPSTREAM:
		return true
	case messages.RelayRefusal_RELAY_REFUSAL_BACKING_OFF, messages.RelayRefusal_RELAY_REFUSAL_LEAVING:
		s.OnAnswer(upstream, exchanger.Verdict{
			NotRun:     true,
			RetryAfter: refused.BackoffLeft,
			Leaving:    refused.Refusal == messages.RelayRefusal_RELAY_REFUSAL_LEAVING,
		}, timekeeper.Now())
		return true
	}
	return false
}

// offerTo offers an attempt to a peer, and returns the session on which the peer awaits it, and whether the peer
// knows that the upstream may run another software version.
func (s *Sender) offerTo(ctx context.Context, peer Peer, call *dispatcher.Call, upstream *tracker.Upstream) (session *connector.Session, mayHaveChanged bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	request := s.offer(call, upstream)
	response := &messages.RelayOfferResponse{}
	session = s.takeIdle(peer)
	err = errNoSession
	if session != nil {
		err = session.Call(ctx, MethodOffer, request, response, nil)
	}
	if err != nil && ctx.Err() == nil {
		// The peer may have closed the idle session.
		if session, err = s.Client.OpenSession(ctx, peer.Address); err == nil {
			err = session.Call(ctx, MethodOffer, request, response, nil)
		}
	}
	if err == nil && !response.GetAccepted() {
		s.putIdle(peer, session)
		err = &RefusedError{
			Peer:        peer.Name,
			Refusal:     response.GetRefusal(),
			BackoffLeft: time.Duration(response.GetBackoffNs()),
		}
	}
	s.judge(peer, err)
	if s.OnOffer != nil {
		s.OnOffer(peer, call, err)
	}
	return session, response.GetMayHaveChanged(), err
}

// errNoSession is the error where no idle session with a peer exists.
var errNoSession = errors.New("no session")

// judge keeps offers from a peer that has not accepted one, unless the upstream is the reason.
func (s *Sender) judge(peer Peer, err error) {
	var refused *RefusedError
	switch {
	case err == nil:
	case !errors.As(err, &refused):
		s.avoid(timekeeper.Now(), peer, peerRetryDelay)
	case refused.Refusal == messages.RelayRefusal_RELAY_REFUSAL_BUSY:
		s.avoid(timekeeper.Now(), peer, busyRetryDelay)
	case refused.Refusal == messages.RelayRefusal_RELAY_REFUSAL_STOPPING, refused.Refusal == messages.RelayRefusal_RELAY_REFUSAL_PARTITIONED:
		s.avoid(timekeeper.Now(), peer, peerRetryDelay)
	}
}

// send sends an attempt to a peer that has accepted it.
func (s *Sender) send(ctx context.Context, peer Peer, session *connector.Session, call *dispatcher.Call, attempt units.Attempt,
	upstream *tracker.Upstream, stream *dispatcher.Stream,
) dispatcher.Result {
	left, err := s.Guard.Check(call, upstream)
	if err != nil {
		s.putIdle(peer, session)
		var withheld *exchanger.WithheldError
		return dispatcher.Result{
			Kind:   dispatcher.NotRun,
			Unsent: errors.As(err, &withheld),
			Err:    err,
		}
	}
	e := &exchange{
		sender:   s,
		peer:     peer,
		session:  session,
		call:     call,
		upstream: upstream,
		stream:   stream,
		sentAt:   timekeeper.Now(),
		hold:     s.Capper.NewHold(),
	}
	// The text of a stream is kept for the attempts that follow.
	call.OnEnd(e.hold.Release)
	message := encodeCall(s.offer(call, upstream), call, attempt, stream)
	message.LeftNs = int64(left)
	if s.TrueNow != nil {
		message.DeadlineNs = s.TrueNow().Add(left).UnixNano()
	}
	end := &messages.RelayEnd{}
	err = session.Call(ctx, MethodSend, message, end, e.receive)
	result := e.result(ctx, end, err)
	result.Through = peer.Name
	result.NoRoom = result.NoRoom || capper.IsTotal(result.Err) || session.LacksRoom()
	s.Capper.Report(string(upstream.Name), result.Err)
	if err == nil && e.err == nil {
		s.putIdle(peer, session)
	} else {
		session.Close()
	}
	return result
}

// exchange is one attempt that a peer has accepted.
type exchange struct {
	sender   *Sender
	peer     Peer
	session  *connector.Session
	call     *dispatcher.Call
	upstream *tracker.Upstream
	stream   *dispatcher.Stream
	sentAt   time.Time
	// startReported is set once OnStarted was called.
	startReported bool
	// firstEventAt is when the first event arrived, zero if none has.
	firstEventAt time.Time
	// hold is what the answer takes of this entry's memory.
	hold *capper.Hold
	// begun is set once the head of a stream has arrived; a carrier sends one for each attempt.
	begun bool
	// err is why the stream could not be passed on, and kind how the attempt ends then.
	err  error
	kind dispatcher.ResultKind
}

// receive handles a message that arrives before the end of the attempt.
func (e *exchange) receive(method connector.Method, decode func(proto.Message) error) {
	if e.err != nil {
		return
	}
	switch method {
	case methodHead:
		head := &messages.RelayedHead{}
		if e.fail(dispatcher.OutcomeUnknown, decode(head)) {
			return
		}
		e.begin(head)
	case methodEvents:
		events := &messages.RelayedEvents{}
		if e.fail(dispatcher.OutcomeUnknown, decode(events)) {
			return
		}
		e.forwardAll(events.GetEvents())
	}
}

// fail ends the attempt if there is an error.
func (e *exchange) fail(kind dispatcher.ResultKind, err error) bool {
	if err == nil {
		return false
	}
	e.kind, e.err = kind, err
	e.session.Close()
	return true
}

func (e *exchange) begin(head *messages.RelayedHead) {
	e.reportStart()
	header := decodeHeader(head.GetHeader())
	if e.fail(dispatcher.OutcomeUnknown, e.checkHead(header)) {
		return
	}
	err := e.stream.Begin(header, e.upstream, units.ModelVersion(head.GetModelVersion()))
	var versionErr *dispatcher.VersionError
	if errors.As(err, &versionErr) {
		e.fail(dispatcher.Unresumable, versionErr)
		return
	}
	e.fail(dispatcher.CallerGone, err)
}

// forwardAll passes events on, in one write where the caller's sink can.
func (e *exchange) forwardAll(events []*messages.RelayedEvent) {
	batcher, batches := e.stream.Sink.(dispatcher.Batcher)
	for i, event := range events {
		if batches {
			batcher.SetBuffering(i < len(events)-1)
		}
		if e.forward(event); e.err != nil {
			return
		}
	}
}

func (e *exchange) forward(event *messages.RelayedEvent) {
	if e.firstEventAt.IsZero() {
		e.firstEventAt = time.Now()
	}
	offset := units.Tokens(event.GetOffset())
	if e.fail(dispatcher.OutcomeUnknown, e.checkBody(e.stream.TextSize(), len(event.GetText()))) {
		return
	}
	if offset > e.stream.Offset() {
		e.fail(dispatcher.CallerGone, e.stream.EventWithOwnText(offset, event.GetData(), event.GetText()))
		return
	}
	// The carrier sends no event twice, so this one has no position of its own.
	e.fail(dispatcher.CallerGone, e.stream.EventWithoutOffset(event.GetData()))
}

func (e *exchange) reportStart() {
	if !e.startReported {
		e.startReported = true
		e.sender.OnStarted(e.call, e.upstream)
	}
}

// result returns how the attempt has ended; err is set where the peer's response did not arrive.
func (e *exchange) result(ctx context.Context, end *messages.RelayEnd, err error) dispatcher.Result {
	result := dispatcher.Result{
		Kind: e.kind,
		Err:  e.err,
	}
	switch {
	case e.err != nil:
	case err == nil:
		result = decodeResult(e.peer, end)
		e.reportAnswer(result.Kind, end)
		if e.fail(dispatcher.OutcomeUnknown, e.checkAnswer(result.Answer)) {
			result = dispatcher.Result{
				Kind: e.kind,
				Err:  e.err,
			}
		}
	case errors.Is(ctx.Err(), context.Canceled):
		result.Kind, result.Err = dispatcher.CallerGone, ctx.Err()
	case isUnread(err):
		result.Kind, result.Unsent, result.Err = dispatcher.NotRun, true, err
	default:
		result.Kind, result.Err = dispatcher.OutcomeUnknown, err
		if ctx.Err() == nil {
			e.reportStart()
		}
	}
	if result.Kind == dispatcher.Answered && e.call.Stream && result.Answer == nil {
		if err := e.stream.End(); err != nil {
			result.Kind, result.Err = dispatcher.CallerGone, err
		}
	}
	if result.Kind == dispatcher.OutcomeUnknown && !e.firstEventAt.IsZero() && !e.call.Repeatable {
		result.Kind = dispatcher.Unresumable
	}
	if !e.firstEventAt.IsZero() {
		result.AnswerDuration = time.Since(e.firstEventAt)
	}
	return result
}

// isUnread reports whether the peer has refused a request that it cannot read, before it sent anything. An error
// without a code comes from the handler, which may have sent the call.
func isUnread(err error) bool {
	var rpcError *jsonrpc2.Error
	return errors.As(err, &rpcError) && rpcError.Code != 0
}

// reportAnswer reports what the upstream has stated in the answer, as far as it concerns this entry
// too.
func (e *exchange) reportAnswer(kind dispatcher.ResultKind, end *messages.RelayEnd) {
	// A carrier that is being ended does not know the result.
	if end.GetStarted() || end.GetResult() == messages.RelayResult_RELAY_RESULT_UNSPECIFIED {
		e.reportStart()
	}
	refused := kind == dispatcher.NotRun && !end.GetUnsent()
	if kind != dispatcher.Answered && kind != dispatcher.Failed && !refused && !end.GetLeaving() {
		return
	}
	e.sender.OnAnswer(e.upstream, exchanger.Verdict{
		NotRun:     kind == dispatcher.NotRun,
		RetryAfter: time.Duration(end.GetRetryAfterNs()),
		Leaving:    end.GetLeaving(),
	}, e.sentAt)
}

// ErrUnanswered is the error of a probe that no peer has answered in time, although one may be able to. Without peers it
// is the same, as the leader assigns none that it has not heard from for a second.
var ErrUnanswered = errors.New("no other entry has answered in time; check the network between entries and their load")

// Probe reports whether a peer can connect to an upstream. The error is ErrUnanswered, or says why no peer can tell.
func (s *Sender) Probe(ctx context.Context, upstream *tracker.Upstream) (reached bool, err error) {
	unanswered := s.awaitsPeer(timekeeper.Now(), upstream.Service)
	err = &NoPeerError{Service: upstream.Service}
	var tried []units.Instance
	for range maxOffers {
		peer, found := s.choose(timekeeper.Now(), upstream.Service, tried)
		if !found {
			break
		}
		tried = append(tried, peer.Name)
		response, probeErr := s.probe(ctx, peer, upstream)
		s.release(peer)
		var rpcError *jsonrpc2.Error
		switch {
		case errors.As(probeErr, &rpcError):
			err = probeErr
		case probeErr != nil:
			unanswered = true
		case response.GetRefusal() != messages.RelayRefusal_RELAY_REFUSAL_UNSPECIFIED:
			err = &RefusedError{
				Peer:    peer.Name,
				Refusal: response.GetRefusal(),
			}
		default:
			return response.GetReached(), nil
		}
	}
	if unanswered {
		return false, ErrUnanswered
	}
	return false, err
}

// Ask returns what other entries tell of an upstream, nil if it is no longer in use, and logs it.
func (s *Sender) Ask(ctx context.Context, upstream *tracker.Upstream, log zerolog.Logger) pathfinder.Answer {
	if upstream == nil {
		return pathfinder.AnswerUnreached
	}
	answer := pathfinder.AnswerUnreached
	reached, err := s.Probe(ctx, upstream)
	switch {
	case errors.Is(err, ErrUnanswered):
		answer = pathfinder.AnswerNone
	case err != nil:
		answer = pathfinder.AnswerUnknown
	case reached:
		answer = pathfinder.AnswerReached
	}
	log.Info().
		Str("service", string(upstream.Service)).
		Str("upstream", string(upstream.Name)).
		Bool("reached", answer == pathfinder.AnswerReached).
		Bool("known", answer == pathfinder.AnswerReached || answer == pathfinder.AnswerUnreached).
		Bool("answered", answer != pathfinder.AnswerNone).
		AnErr("error", err).
		Msg("peer-reach")
	return answer
}

// probeTimeout is how long a peer may take to connect to an upstream and respond.
const probeTimeout = time.Second

func (s *Sender) probe(ctx context.Context, peer Peer, upstream *tracker.Upstream) (*messages.RelayProbeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response := &messages.RelayProbeResponse{}
	session := s.takeIdle(peer)
	if session == nil {
		var err error
		if session, err = s.Client.OpenSession(ctx, peer.Address); err != nil {
			s.judge(peer, err)
			return nil, err
		}
	}
	err := session.Call(ctx, MethodProbe, &messages.RelayProbe{Offer: s.offer(&dispatcher.Call{}, upstream)}, response, nil)
	s.judge(peer, err)
	if err == nil {
		s.putIdle(peer, session)
	}
	return response, err
}
