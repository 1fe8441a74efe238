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
	// drainDivisor divides the drain: the load balancer's notice period takes at most
	// 1/drainDivisor of it, and 1/drainDivisor is reserved for the handover.
	drainDivisor = 4
	// adoptTimeout bounds the search for an entry that accepts a call.
	adoptTimeout = 3 * time.Second
	// completionGrace is how long after its deadline a call may take to finish.
	completionGrace   = 2 * time.Second
	collectRetryAfter = time.Second
	drainPollInterval = 20 * time.Millisecond

	callsPath = "/v1/calls/"
)

// phase is the stage of a planned shutdown.
type phase int32

const (
	phaseServing phase = iota
	// phaseNotifying still accepts calls, while the entry reports itself unready to the
	// load balancer.
	phaseNotifying
	phaseRefusing
)

// Adopter hands calls over to other entries.
type Adopter interface {
	// Adopt returns nil once another entry has accepted the call.
	Adopt(ctx context.Context, call *dispatcher.Call) error
}

// activeCall is a call in progress at this entry.
type activeCall struct {
	call   *dispatcher.Call
	cancel context.CancelFunc
	// callerSink is nil for a call that another entry handed over.
	callerSink *sink
	// handedOver is set once another entry has accepted the call.
	handedOver atomic.Bool
}

// drain holds the calls in progress and the phase of a shutdown.
type drain struct {
	phase  atomic.Int32
	mu     sync.Mutex
	active map[*activeCall]struct{}
	// background tracks adopted calls, which have no caller connection.
	background sync.WaitGroup
}

func (d *drain) add(a *activeCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active == nil {
		d.active = make(map[*activeCall]struct{})
	}
	d.active[a] = struct{}{}
}

func (d *drain) remove(a *activeCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, a)
}

func (d *drain) activeCalls() []*activeCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	activeCalls := make([]*activeCall, 0, len(d.active))
	for a := range d.active {
		activeCalls = append(activeCalls, a)
	}
	return activeCalls
}

// acceptsCalls reports whether new calls are accepted. The load balancer notices a
// shutdown only some time after it began; calls that it sends until then are served, since
// refusing them would gain nothing.
func (s *Server) acceptsCalls() bool {
	switch phase(s.drain.phase.Load()) {
	case phaseNotifying:
		return true
	case phaseRefusing:
		return false
	default:
		return s.Ready()
	}
}

// shutDown stops the server without interrupting calls: it waits for the load balancer to
// notice, then refuses new calls, then hands over the calls that do not end in time.
func (s *Server) shutDown(ctx context.Context, server *http.Server) error {
	end := time.Now().Add(s.DrainTimeout)
	s.drain.phase.Store(int32(phaseNotifying))
	sleep(ctx, min(s.UnreadyPeriod, s.DrainTimeout/drainDivisor))
	s.drain.phase.Store(int32(phaseRefusing))
	for len(s.drain.activeCalls()) > 0 && time.Until(end) > s.DrainTimeout/drainDivisor {
		sleep(ctx, drainPollInterval)
	}
	end = s.handOver(ctx, end)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := server.Shutdown(ctx)
	s.drain.background.Wait()
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// handOver hands repeatable calls over to other entries and tells the callers of calls
// that are neither repeatable nor streamed where to collect their answers. It returns the
// time by which the last of the latter will have ended, or the given end if it is later.
func (s *Server) handOver(ctx context.Context, end time.Time) time.Time {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	var handovers sync.WaitGroup
	for _, a := range s.drain.activeCalls() {
		if !a.call.Repeatable && !a.call.Stream {
			// A call that may not run twice cannot be handed over. It ends here, and
			// the record stores its answer.
			a.callerSink.answerCollectLater(a.call)
			if callEnd := a.call.Deadline.Add(completionGrace); callEnd.After(end) {
				end = callEnd
			}
			continue
		}
		if a.call.Repeatable && s.Adopter != nil {
			handovers.Go(func() { s.handOverCall(ctx, a) })
		}
	}
	handovers.Wait()
	return end
}

func (s *Server) handOverCall(ctx context.Context, a *activeCall) {
	if err := s.Adopter.Adopt(ctx, a.call); err != nil {
		s.Log.Warn().Err(err).Str("call", string(a.call.ID)).Msg("call-not-adopted")
		return
	}
	s.Log.Info().Str("call", string(a.call.ID)).Msg("call-handed-over")
	a.handedOver.Store(true)
	a.cancel()
}

// collectPath returns the path at which the answer to a call can be collected.
func collectPath(call *dispatcher.Call) string { return callsPath + url.PathEscape(call.Key) }

// writeAccepted answers 202 with the location from which to collect the answer later.
func writeAccepted(writer http.ResponseWriter, location string) {
	writer.Header().Set("Location", location)
	writer.Header().Set("Retry-After", strconv.Itoa(int(collectRetryAfter.Seconds())))
	writer.Header().Set("Content-Length", "0")
	writer.WriteHeader(http.StatusAccepted)
}
