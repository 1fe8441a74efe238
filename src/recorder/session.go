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
	// admissionLease is how long a call that may not be repeated can be held
	// before its intent is stored.
	admissionLease = 2 * time.Second
	// answerPatience is how long an answer waits for its owners.
	answerPatience = time.Second
)

// session is one call's proposer with what comes back from its owners.
type session struct {
	proposer *Proposer
	inbox    chan OwnerAnswered
	// dispatched says that the intent is stored and the call may have been sent.
	dispatched bool
}

func (r *Recorder) newSession(call *dispatcher.Call) *session {
	s := &session{
		proposer: r.newProposer(keyHash(call.Account.Name, call.Key), contentHash(call), call.ID),
		inbox:    make(chan OwnerAnswered, inboxSize),
	}
	s.proposer.Fresh = !call.KeyGiven
	s.proposer.Made = call.KeyGiven && !call.Adopted && strings.HasPrefix(call.Key, dispatcher.MadeKeyPrefix)
	return s
}

// drive steps a proposer from one event to its outcome; false means that ctx ended first.
func (r *Recorder) drive(ctx context.Context, s *session, event ProposerEvent) (Concluded, bool) {
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
				go r.carry(context.WithoutCancel(ctx), s, a)
			}
		}
		select {
		case answered := <-s.inbox:
			event = answered
		case <-ticker.C:
			event = r.tickOf(s)
		case <-ctx.Done():
			return Concluded{}, false
		}
	}
}

func (r *Recorder) tickOf(s *session) ProposerEvent {
	if view := r.view.Load(); view != s.proposer.View {
		return ViewChanged{View: view}
	}
	return ProposerTicked{}
}

func (r *Recorder) carry(ctx context.Context, s *session, question AskOwner) {
	response := r.ask(ctx, question)
	select {
	case s.inbox <- OwnerAnswered{Asked: question, Response: response}:
	default:
		// The proposer asks again; a full inbox must not hold this goroutine.
	}
}

// Begin returns the earlier answer to the same key, or nil for a new call.
func (r *Recorder) Begin(ctx context.Context, call *dispatcher.Call) (*dispatcher.Answer, error) {
	if !call.KeyGiven && call.Repeatable {
		return nil, nil
	}
	s := r.newSession(call)
	if s.proposer.View == nil {
		return nil, unlessRepeatable(call)
	}
	r.sessions.Store(call.ID, s)
	if !call.KeyGiven {
		return nil, nil
	}
	began := time.Now()
	concluded, ended := r.drive(ctx, s, Begun{Lease: leaseOf(call)})
	r.observe("record-begin", began)
	if ended && concluded.Outcome == Granted {
		return nil, nil
	}
	r.sessions.Delete(call.ID)
	if !ended {
		return nil, stillRuns()
	}
	return r.earlier(call, concluded)
}

// Look returns the answer kept for a key, or whether an entry works on its call.
func (r *Recorder) Look(ctx context.Context, account units.Account, key string) (*dispatcher.Answer, bool, error) {
	s := &session{
		proposer: r.newProposer(keyHash(account, key), nil, units.CallID(uuid.NewString())),
		inbox:    make(chan OwnerAnswered, inboxSize),
	}
	if s.proposer.View == nil {
		return nil, false, errUnreachable
	}
	concluded, ended := r.drive(ctx, s, Looked{})
	switch {
	case !ended || concluded.Outcome == Unavailable:
		return nil, false, errUnreachable
	case concluded.Outcome == Found:
		return answerOf(concluded.Record), false, nil
	default:
		return nil, concluded.Outcome == Running, nil
	}
}

// leaseOf returns how long a call may be held before its intent is stored; one
// that may be repeated stores none and runs under this lease.
func leaseOf(call *dispatcher.Call) time.Duration {
	left := time.Until(call.Deadline)
	if call.Repeatable {
		return left
	}
	return min(left, admissionLease)
}

func (r *Recorder) earlier(call *dispatcher.Call, concluded Concluded) (*dispatcher.Answer, error) {
	switch concluded.Outcome {
	case Found:
		if answer := answerOf(concluded.Record); answer != nil {
			r.Scope.Counter("record-resends-answered").Inc(1)
			return answer, nil
		}
		return nil, forgotten()
	case Conflicting:
		return nil, conflict()
	case Undecidable:
		r.Scope.Counter("record-unknown").Inc(1)
		return nil, unknown()
	default:
		r.Scope.Counter("record-unavailable").Inc(1)
		return nil, unlessRepeatable(call)
	}
}

// unlessRepeatable lets a call that does no harm when it runs twice go on without a record.
func unlessRepeatable(call *dispatcher.Call) error {
	if call.Repeatable {
		return nil
	}
	return withoutRecord(call)
}

// Dispatching returns once a majority of the owners holds the intent to run a
// call that may not be repeated.
func (r *Recorder) Dispatching(ctx context.Context, call *dispatcher.Call, attempt units.Attempt, upstream units.Upstream) error {
	if call.Repeatable {
		return nil
	}
	s := r.session(call)
	if s == nil {
		return withoutRecord(call)
	}
	began := time.Now()
	concluded, ended := r.drive(ctx, s, Dispatched{
		Attempt:  attempt,
		Upstream: upstream,
		Lease:    time.Until(call.Deadline),
	})
	r.observe("record-intent", began)
	switch {
	case !ended || concluded.Outcome == LeaseOver:
		return lateRefusal()
	case concluded.Outcome == Granted:
		s.dispatched = true
		return nil
	case concluded.Outcome == Overtaken:
		return overtaken()
	default:
		r.Scope.Counter("record-unavailable").Inc(1)
		return withoutRecord(call)
	}
}

func (r *Recorder) session(call *dispatcher.Call) *session {
	known, exists := r.sessions.Load(call.ID)
	if !exists {
		return nil
	}
	return known.(*session)
}

// Finish keeps the end of a call and returns the refusal to give. A refusal that
// says "not run" to a caller that may have sent the key before is proved first:
// another entry could have run the call while this one was frozen.
func (r *Recorder) Finish(ctx context.Context, call *dispatcher.Call, answer *dispatcher.Answer, refusal *dispatcher.Refusal) *dispatcher.Refusal {
	s := r.session(call)
	if s == nil {
		return refusal
	}
	r.sessions.Delete(call.ID)
	ended := endOf(call, s, answer, refusal)
	saysNo := refusal != nil && refusal.Executed == dispatcher.ExecutedNo
	if !saysNo || !call.KeyGiven || call.Repeatable {
		stored := r.storeLater(ctx, s, ended)
		if answer != nil && !call.Repeatable {
			await(stored, answerPatience)
		}
		return refusal
	}
	concluded, done := r.drive(context.WithoutCancel(ctx), s, ended)
	if done && concluded.Outcome == Stored {
		return refusal
	}
	weaker := *refusal
	weaker.Executed = dispatcher.ExecutedUnknown
	return &weaker
}

// storeLater stores the end of a call beside the caller's answer; the channel is
// closed once it is stored or given up.
func (r *Recorder) storeLater(ctx context.Context, s *session, ended Ended) <-chan struct{} {
	stored := make(chan struct{})
	r.storing.Go(func() {
		defer close(stored)
		r.drive(context.WithoutCancel(ctx), s, ended)
	})
	return stored
}

// await holds an answer until it is stored, so that a caller that has it can have
// it again, but not for long: the caller's answer is worth more than a resend's.
func await(stored <-chan struct{}, patience time.Duration) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-stored:
	case <-timer.C:
	}
}

func endOf(call *dispatcher.Call, s *session, answer *dispatcher.Answer, refusal *dispatcher.Refusal) Ended {
	switch {
	case answer != nil:
		return Ended{
			State:  messages.CallState_CALL_STATE_ANSWERED,
			Answer: storedAnswer(answer),
		}
	case call.Repeatable || !s.dispatched || refusal != nil && refusal.Executed == dispatcher.ExecutedNo:
		return Ended{State: messages.CallState_CALL_STATE_NOT_RUN}
	default:
		return Ended{State: messages.CallState_CALL_STATE_UNKNOWN}
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
	if call.RecordedBody != nil {
		body = call.RecordedBody
	}
	_, _ = hash.Write(body)
	return hash.Sum(nil)
}

func storedAnswer(answer *dispatcher.Answer) *messages.StoredAnswer {
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

// answerOf returns the answer that a record keeps, nil where it is kept no more.
func answerOf(record *messages.CallRecord) *dispatcher.Answer {
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
