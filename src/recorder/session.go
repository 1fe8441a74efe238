package recorder

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	inboxSize = 64
	// admissionLease is the maximum time between the admission of a non-repeatable call
	// and its intent.
	admissionLease = 2 * time.Second
	// storeTimeout is the maximum time for which an answer is held back until its owners
	// have stored it.
	storeTimeout = time.Second
)

// session is one call's proposer with the queue of its owners' responses.
type session struct {
	proposer *Proposer
	inbox    chan OwnerResponded
	// dispatched is set once the intent is stored and the call may have been sent.
	dispatched bool
}

func (r *Recorder) newSession(call *dispatcher.Call) *session {
	s := &session{
		proposer: r.newProposer(keyHash(call.Account.Name, call.Key), contentHash(call), call.ID),
		inbox:    make(chan OwnerResponded, inboxSize),
	}
	s.proposer.Fresh = !call.HasCallerKey
	s.proposer.GeneratedKey = call.HasCallerKey && !call.Adopted && strings.HasPrefix(call.Key, dispatcher.GeneratedKeyPrefix)
	return s
}

// runProposer steps a proposer from one event to its outcome; it returns false if ctx ends
// first.
func (r *Recorder) runProposer(ctx context.Context, s *session, event ProposerEvent) (Concluded, bool) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	if view := r.view.Load(); view != s.proposer.View {
		s.proposer.View = view
	}
	for {
		for _, action := range s.proposer.Step(time.Now(), event) {
			switch a := action.(type) {
			case Concluded:
				return a, true
			case AskOwner:
				go r.askAsync(context.WithoutCancel(ctx), s, a)
			}
		}
		select {
		case answered := <-s.inbox:
			event = answered
		case <-ticker.C:
			event = r.tickEvent(s)
		case <-ctx.Done():
			return Concluded{}, false
		}
	}
}

// tickEvent returns the event of a tick, which is a change of view if there is a newer one.
func (r *Recorder) tickEvent(s *session) ProposerEvent {
	if view := r.view.Load(); view != s.proposer.View {
		return ViewChanged{View: view}
	}
	return ProposerTicked{}
}

// askAsync sends a request to one owner and queues the response for the session.
func (r *Recorder) askAsync(ctx context.Context, s *session, ask AskOwner) {
	response := r.askOwner(ctx, ask)
	select {
	case s.inbox <- OwnerResponded{Ask: ask, Response: response}:
	default:
		// The proposer will ask again; a full inbox must not block this goroutine.
	}
}

// Begin returns the answer to an earlier call with the same key, or nil for a new call.
func (r *Recorder) Begin(ctx context.Context, call *dispatcher.Call) (*dispatcher.Answer, error) {
	if !call.HasCallerKey && call.Repeatable {
		return nil, nil
	}
	s := r.newSession(call)
	if s.proposer.View == nil {
		return nil, refuseUnlessRepeatable(call)
	}
	r.sessions.Store(call.ID, s)
	if !call.HasCallerKey {
		return nil, nil
	}
	began := time.Now()
	concluded, ended := r.runProposer(ctx, s, ClaimRequested{Lease: leaseOf(call)})
	r.recordLatency("record-begin", began)
	if ended && concluded.Outcome == Granted {
		return nil, nil
	}
	r.sessions.Delete(call.ID)
	if !ended {
		return nil, stillRunningRefusal()
	}
	return r.earlierAnswer(call, concluded)
}

// Lookup returns the stored answer for a key, and whether an entry is running its call.
func (r *Recorder) Lookup(ctx context.Context, account units.Account, key string) (*dispatcher.Answer, bool, error) {
	s := &session{
		proposer: r.newProposer(keyHash(account, key), nil, units.CallID(uuid.NewString())),
		inbox:    make(chan OwnerResponded, inboxSize),
	}
	if s.proposer.View == nil {
		return nil, false, errUnreachable
	}
	concluded, ended := r.runProposer(ctx, s, LookupRequested{})
	switch {
	case !ended || concluded.Outcome == Unavailable:
		return nil, false, errUnreachable
	case concluded.Outcome == Found:
		return restoreAnswer(concluded.Record), false, nil
	default:
		return nil, concluded.Outcome == Running, nil
	}
}

// leaseOf returns the maximum time from a call's admission until its intent is stored. A
// repeatable call stores no intent and runs within this lease until its deadline.
func leaseOf(call *dispatcher.Call) time.Duration {
	left := time.Until(call.Deadline)
	if call.Repeatable {
		return left
	}
	return min(left, admissionLease)
}

// earlierAnswer returns the answer to an earlier call with the same key, or the refusal that
// its outcome calls for; both are nil where the call may go on without a record.
func (r *Recorder) earlierAnswer(call *dispatcher.Call, concluded Concluded) (*dispatcher.Answer, error) {
	switch concluded.Outcome {
	case Found:
		if answer := restoreAnswer(concluded.Record); answer != nil {
			r.Scope.Counter("record-resends-answered").Inc(1)
			return answer, nil
		}
		return nil, evictedRefusal()
	case Conflicting:
		return nil, conflictRefusal()
	case RunUnknown:
		r.Scope.Counter("record-unknown").Inc(1)
		return nil, unknownRefusal()
	default:
		r.Scope.Counter("record-unavailable").Inc(1)
		return nil, refuseUnlessRepeatable(call)
	}
}

// refuseUnlessRepeatable refuses a call without a reachable record unless it is repeatable.
func refuseUnlessRepeatable(call *dispatcher.Call) error {
	if call.Repeatable {
		return nil
	}
	return unavailableRefusal(call)
}

// BeforeDispatch returns once a majority of the owners has stored the intent to run a
// non-repeatable call.
func (r *Recorder) BeforeDispatch(ctx context.Context, call *dispatcher.Call, attempt units.Attempt, upstream units.Upstream) error {
	if call.Repeatable {
		return nil
	}
	s := r.findSession(call)
	if s == nil {
		return unavailableRefusal(call)
	}
	began := time.Now()
	concluded, ended := r.runProposer(ctx, s, DispatchRequested{
		Attempt:  attempt,
		Upstream: upstream,
		Lease:    time.Until(call.Deadline),
	})
	r.recordLatency("record-intent", began)
	switch {
	case !ended || concluded.Outcome == LeaseExpired:
		return leaseExpiredRefusal()
	case concluded.Outcome == Granted:
		s.dispatched = true
		return nil
	case concluded.Outcome == Superseded:
		return supersededRefusal()
	default:
		r.Scope.Counter("record-unavailable").Inc(1)
		return unavailableRefusal(call)
	}
}

func (r *Recorder) findSession(call *dispatcher.Call) *session {
	known, exists := r.sessions.Load(call.ID)
	if !exists {
		return nil
	}
	return known.(*session)
}

// Finish stores the end of a call and returns the refusal to send. If the caller may have
// sent the key before, a refusal that says "not run" is returned only once a majority has
// stored it: another entry could have run the call while this one was suspended.
func (r *Recorder) Finish(ctx context.Context, call *dispatcher.Call, answer *dispatcher.Answer, refusal *dispatcher.Refusal) *dispatcher.Refusal {
	s := r.findSession(call)
	if s == nil {
		return refusal
	}
	r.sessions.Delete(call.ID)
	ended := endEvent(call, s, answer, refusal)
	notRun := refusal != nil && refusal.Executed == dispatcher.ExecutedNo
	if !notRun || !call.HasCallerKey || call.Repeatable {
		stored := r.storeAsync(ctx, s, ended)
		if answer != nil && !call.Repeatable {
			awaitStored(stored, storeTimeout)
		}
		return refusal
	}
	concluded, done := r.runProposer(context.WithoutCancel(ctx), s, ended)
	if done && concluded.Outcome == Stored {
		return refusal
	}
	weaker := *refusal
	weaker.Executed = dispatcher.ExecutedUnknown
	return &weaker
}

// storeAsync stores the end of a call in the background; the channel is closed once it is
// stored or the attempt has ended.
func (r *Recorder) storeAsync(ctx context.Context, s *session, ended CallEnded) <-chan struct{} {
	stored := make(chan struct{})
	r.pendingWrites.Go(func() {
		defer close(stored)
		r.runProposer(context.WithoutCancel(ctx), s, ended)
	})
	return stored
}

// awaitStored holds back an answer until it is stored, so that a resend of an answered call
// can get it too, but not beyond the timeout: the caller's answer matters more than a resend.
func awaitStored(stored <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-stored:
	case <-timer.C:
	}
}

func endEvent(call *dispatcher.Call, s *session, answer *dispatcher.Answer, refusal *dispatcher.Refusal) CallEnded {
	switch {
	case answer != nil:
		return CallEnded{
			State:  messages.CallState_CALL_STATE_ANSWERED,
			Answer: encodeAnswer(answer),
		}
	case call.Repeatable || !s.dispatched || refusal != nil && refusal.Executed == dispatcher.ExecutedNo:
		return CallEnded{State: messages.CallState_CALL_STATE_NOT_RUN}
	default:
		return CallEnded{State: messages.CallState_CALL_STATE_UNKNOWN}
	}
}

func keyHash(account units.Account, key string) []byte {
	sum := sha256.Sum256([]byte(string(account) + "\x00" + key))
	return sum[:]
}

func contentHash(call *dispatcher.Call) []byte {
	hash := sha256.New()
	for _, part := range []string{string(call.Service), call.Method, call.Path, call.Query} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	body := call.Body
	if call.OriginalBody != nil {
		body = call.OriginalBody
	}
	_, _ = hash.Write(body)
	return hash.Sum(nil)
}

func encodeAnswer(answer *dispatcher.Answer) *messages.StoredAnswer {
	stored := &messages.StoredAnswer{
		Status: int32(answer.Status),
		Body:   answer.Body,
	}
	for name, values := range answer.Header {
		stored.Header = append(stored.Header, &messages.HeaderField{
			Name:   name,
			Values: values,
		})
	}
	return stored
}

// restoreAnswer returns the answer in a record, or nil if it was evicted.
func restoreAnswer(record *messages.CallRecord) *dispatcher.Answer {
	stored := record.GetAnswer()
	if stored == nil {
		return nil
	}
	answer := &dispatcher.Answer{
		Status: int(stored.GetStatus()),
		Header: make(http.Header, len(stored.GetHeader())),
		Body:   stored.GetBody(),
	}
	for _, field := range stored.GetHeader() {
		answer.Header[field.GetName()] = field.GetValues()
	}
	return answer
}
