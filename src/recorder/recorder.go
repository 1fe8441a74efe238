package recorder

import (
	"bytes"
	"context"
	"crypto/sha256"
	"net/http"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

// Recorder keeps the calls of one entry.
type Recorder struct {
	// KeepFor is how long an answer is kept for resends.
	KeepFor time.Duration

	mu    sync.Mutex
	calls map[key]*record
}

type key struct {
	account units.Account
	key     string
}

// record is one call; answer and refusal are set before done is closed.
type record struct {
	hash    []byte
	done    chan struct{}
	answer  *dispatcher.Answer
	refusal *dispatcher.Refusal
}

// Begin returns the earlier answer to the same key, or nil for a new call.
func (r *Recorder) Begin(ctx context.Context, call *dispatcher.Call) (*dispatcher.Answer, error) {
	hash := contentHash(call)
	r.mu.Lock()
	if r.calls == nil {
		r.calls = make(map[key]*record)
	}
	id := keyOf(call)
	earlier := r.calls[id]
	if earlier == nil {
		r.calls[id] = &record{
			hash: hash,
			done: make(chan struct{}),
		}
		r.mu.Unlock()
		return nil, nil
	}
	r.mu.Unlock()
	if !bytes.Equal(earlier.hash, hash) {
		return nil, conflict()
	}
	return earlier.wait(ctx)
}

func (r *record) wait(ctx context.Context) (*dispatcher.Answer, error) {
	select {
	case <-r.done:
	case <-ctx.Done():
		return nil, &dispatcher.Refusal{
			Status:     http.StatusGatewayTimeout,
			Kind:       dispatcher.ProblemDeadline,
			Detail:     "an earlier call with this key still runs",
			Executed:   dispatcher.ExecutedUnknown,
			RetryAfter: time.Second,
		}
	}
	if r.refusal != nil {
		return nil, r.refusal
	}
	return r.answer, nil
}

// Dispatching lets every attempt go on; this entry's memory holds the record.
func (r *Recorder) Dispatching(context.Context, *dispatcher.Call, units.Attempt, units.Upstream) error {
	return nil
}

// Finish keeps the end of a call. A call that was refused and did not run, or
// whose stream is not kept, may be sent again under its key.
func (r *Recorder) Finish(_ context.Context, call *dispatcher.Call, answer *dispatcher.Answer, refusal *dispatcher.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := keyOf(call)
	held := r.calls[id]
	held.answer = answer
	held.refusal = refusal
	close(held.done)
	unknown := refusal != nil && refusal.Executed == dispatcher.ExecutedUnknown
	if answer == nil && !unknown {
		delete(r.calls, id)
		return
	}
	time.AfterFunc(r.KeepFor, func() { r.forget(id) })
}

func (r *Recorder) forget(id key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, id)
}

func keyOf(call *dispatcher.Call) key {
	return key{
		account: call.Account.Name,
		key:     call.Key,
	}
}

func contentHash(call *dispatcher.Call) []byte {
	hash := sha256.New()
	for _, part := range []string{call.Method, call.Path, call.Query} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(call.Body)
	return hash.Sum(nil)
}

func conflict() *dispatcher.Refusal {
	return &dispatcher.Refusal{
		Status:   http.StatusUnprocessableEntity,
		Kind:     dispatcher.ProblemConflict,
		Detail:   "another request was sent under this Idempotency-Key; use a new key for a new request",
		Executed: dispatcher.ExecutedNo,
	}
}
