package server

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
)

const (
	// drainParts is what part of the drain the balancer's notice at most, and the
	// handing over, get.
	drainParts = 4
	// adoptTimeout bounds the search for an entry that takes a call.
	adoptTimeout = 3 * time.Second
	// endGrace is how long after its deadline a call may still be ending.
	endGrace     = 2 * time.Second
	collectRetry = time.Second
	drainPoll    = 20 * time.Millisecond

	callsPath = "/v1/calls/"
)

// phase is how far a planned stop has come.
type phase int32

const (
	taking phase = iota
	// leaving takes calls although the balancer is told to send none.
	leaving
	refusing
)

// Adopter finds another entry that takes a call.
type Adopter interface {
	// Adopt returns nil once another entry has taken the call.
	Adopt(ctx context.Context, call *dispatcher.Call) error
}

// activeCall is a call under way at this entry.
type activeCall struct {
	call   *dispatcher.Call
	cancel context.CancelFunc
	// out is nil for a call that another entry handed over.
	out     *sink
	adopted atomic.Bool
}

// drain holds the calls under way and the phase of a stop.
type drain struct {
	phase  atomic.Int32
	mu     sync.Mutex
	active map[*activeCall]struct{}
	// background counts the calls without a caller's connection.
	background sync.WaitGroup
}

func (d *drain) enter(a *activeCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active == nil {
		d.active = make(map[*activeCall]struct{})
	}
	d.active[a] = struct{}{}
}

func (d *drain) leave(a *activeCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, a)
}

func (d *drain) calls() []*activeCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	calls := make([]*activeCall, 0, len(d.active))
	for a := range d.active {
		calls = append(calls, a)
	}
	return calls
}

// takes reports whether a new call is served. A balancer learns of a stop some
// time after it began; a call that it sends until then would be refused for nothing.
func (s *Server) takes() bool {
	switch phase(s.drain.phase.Load()) {
	case leaving:
		return true
	case refusing:
		return false
	default:
		return s.Ready()
	}
}

// stop ends the serving without cutting off a call: it first lets the balancer
// learn, then refuses new calls, then hands over what does not end in time.
func (s *Server) stop(ctx context.Context, server *http.Server) error {
	end := time.Now().Add(s.Drain)
	s.drain.phase.Store(int32(leaving))
	pause(ctx, min(s.UnreadyFor, s.Drain/drainParts))
	s.drain.phase.Store(int32(refusing))
	for len(s.drain.calls()) > 0 && time.Until(end) > s.Drain/drainParts {
		pause(ctx, drainPoll)
	}
	end = s.handOver(ctx, end)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := server.Shutdown(ctx)
	s.drain.background.Wait()
	return err
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// handOver tells the callers of the calls that still run where to collect their
// answers, and returns when the last of them will have ended.
func (s *Server) handOver(ctx context.Context, end time.Time) time.Time {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	var handing sync.WaitGroup
	for _, a := range s.drain.calls() {
		if !a.call.Repeatable && !a.call.Stream {
			// What may not run twice cannot move. It ends here, and the record
			// keeps its answer.
			a.out.collectLater(a.call)
			if last := a.call.Deadline.Add(endGrace); last.After(end) {
				end = last
			}
			continue
		}
		if a.call.Repeatable && s.Adopter != nil {
			handing.Go(func() { s.adoptElsewhere(ctx, a) })
		}
	}
	handing.Wait()
	return end
}

func (s *Server) adoptElsewhere(ctx context.Context, a *activeCall) {
	if err := s.Adopter.Adopt(ctx, a.call); err != nil {
		s.Log.Warn().Err(err).Str("call", string(a.call.ID)).Msg("call-not-adopted")
		return
	}
	s.Log.Info().Str("call", string(a.call.ID)).Msg("call-handed-over")
	a.adopted.Store(true)
	a.cancel()
}

// location returns where the answer to a call can be collected.
func location(call *dispatcher.Call) string { return callsPath + url.PathEscape(call.Key) }

// writeCollect tells a caller to collect the answer later.
func writeCollect(writer http.ResponseWriter, where string) {
	writer.Header().Set("Location", where)
	writer.Header().Set("Retry-After", strconv.Itoa(int(collectRetry.Seconds())))
	writer.Header().Set("Content-Length", "0")
	writer.WriteHeader(http.StatusAccepted)
}
