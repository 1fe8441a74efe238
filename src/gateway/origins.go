package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/binder"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/governor"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxResumeTime bounds how long a stream is remembered, whatever its caller says.
	maxResumeTime = time.Minute
	// maxJournal bounds the records of this entry's streams that are remembered, two for each.
	maxJournal = 1 << 15
	// maxStreamsPerPoll bounds the records of streams in one poll, to some kilobytes.
	maxStreamsPerPoll = 512
	// findTimeout is how long the origin of a stream is asked for; most elections are over by then.
	// findFraction is the fraction of the caller's time that it may take.
	findTimeout  = 1500 * time.Millisecond
	findFraction = 1.0 / 3
	// findInterval is the delay between two questions, and findAttempt how long one may take.
	findInterval = 60 * time.Millisecond
	findAttempt  = 250 * time.Millisecond
	// findUnknownTimeout is how long a stream is asked for that the leader does not know: its entry reports
	// it with its next poll.
	findUnknownTimeout = 2 * maxInterval
	// replaceTimeout is how long an attempt at another version than the last one waits until the leader knows
	// that: a poll, also if one was just sent. Without a leader the attempt is made all the same.
	replaceTimeout = maxInterval + 100*time.Millisecond
)

// originSource is what a stream's origin is known from.
type originSource string

const (
	sourceOwn         originSource = "own"
	sourceLeader      originSource = "leader"
	sourceOnlyVersion originSource = "only-version"
	// sourceNone means that the origin is not known.
	sourceNone originSource = "none"
)

// recordAttempt remembers at which version a stream begins if an attempt of this entry's own brings its first event.
func (g *Gateway) recordAttempt(ctx context.Context, call *dispatcher.Call, upstream *tracker.Upstream, stream *dispatcher.Stream) {
	id := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
	g.recordOrigin(ctx, call, upstream, stream, g.mayHaveChanged(timekeeper.Now(), upstream, id))
}

// recordOrigin remembers at which version a stream begins, unless the upstream may have changed. It does so before the
// upstream has sent the first event, so that the leader knows it by then. Another attempt before that event replaces
// it, and waits until the leader knows that: it would name the wrong version if this entry ended first. So does a stream
// that begins at an uncertain version, of which the leader may not know yet that there is one.
func (g *Gateway) recordOrigin(ctx context.Context, call *dispatcher.Call, upstream *tracker.Upstream, stream *dispatcher.Stream, mayHaveChanged bool) {
	t, known := call.Trace.(*callTrace)
	if !known || !call.Stream {
		return
	}
	stream.SetDoubted(mayHaveChanged)
	now := timekeeper.Now()
	origin := binder.Origin{
		Service: upstream.Service,
		Release: upstream.Release,
	}
	if mayHaveChanged {
		origin = binder.Unknown
	}
	earlier, isReplaced := g.journal.Find(now, t.stream)
	g.journal.Add(now, binder.Record{
		Stream: t.request,
		Origin: origin,
		Until:  t.streamUntil,
	})
	number := g.journal.Add(now, binder.Record{
		Stream: t.stream,
		Origin: origin,
		Until:  t.streamUntil,
	})
	mustWait := isReplaced && earlier != origin && g.snapshot.Load().wantsStreams
	if !mustWait && !mayHaveChanged {
		return
	}
	reported := g.originReports.wait(ctx, number, replaceTimeout)
	g.Log.Info().
		Str("call", string(call.ID)).
		Str("release", string(origin.Release)).
		Str("before", string(earlier.Release)).
		Bool("uncertain", mayHaveChanged).
		Bool("reported", reported).
		Int64("took-ms", timekeeper.Now().Sub(now).Milliseconds()).
		Msg("stream-origin-replaced")
}

// streamOf returns the id of the stream that a request begins or resumes, and until when its caller tries.
func streamOf(r *Request) (binder.StreamID, time.Time) {
	stream := r.ID
	if r.ResumeOffset > 0 && r.Resumes != "" {
		stream = r.Resumes
	}
	left := maxResumeTime
	if r.CallerTimeout > 0 {
		left = min(left, r.CallerTimeout)
	}
	return binder.NewStreamID(stream), r.Arrived.Add(left)
}

// findOrigin sets where the stream began that a call resumes, or returns why the call is refused.
func (g *Gateway) findOrigin(ctx context.Context, r *Request, route *matcher.Route, call *dispatcher.Call) error {
	stream, until := streamOf(r)
	if r.Resumes == "" {
		stream = binder.NewRequestID(call.Fingerprint)
	}
	startedAt := timekeeper.Now()
	origin, source := g.originOf(ctx, r, route, stream)
	served := source != sourceNone && origin != binder.Unknown && slices.ContainsFunc(route.Splits, func(s matcher.Split) bool { return s.Service == origin.Service })
	g.trafficStats.originFound(source)
	g.Log.Info().
		Str("call", string(call.ID)).
		Str("resumes", string(r.Resumes)).
		Str("source", string(source)).
		Str("service", string(origin.Service)).
		Str("release", string(origin.Release)).
		Bool("served", served).
		Int64("took-ms", timekeeper.Now().Sub(startedAt).Milliseconds()).
		Msg("stream-origin")
	if !served {
		return unknownStreamRefusal(r)
	}
	call.Service = origin.Service
	call.Origin = &origin
	g.journal.Add(startedAt, binder.Record{
		Stream: stream,
		Origin: origin,
		Until:  until,
	})
	return nil
}

func unknownStreamRefusal(r *Request) *dispatcher.Refusal {
	detail := "it is not known which software version began the stream; begin it anew"
	if r.Resumes == "" {
		detail = "several software versions serve; name the call that brought the stream's first event, or begin the stream anew"
	}
	return newRefusal(http.StatusServiceUnavailable, dispatcher.ProblemUnknownStream, detail, 0)
}

// originOf returns where a stream began, and from what that is known. Only the leader knows all streams of a request.
func (g *Gateway) originOf(ctx context.Context, r *Request, route *matcher.Route, stream binder.StreamID) (binder.Origin, originSource) {
	if r.Resumes != "" {
		if origin, known := g.journal.Find(timekeeper.Now(), stream); known {
			return origin, sourceOwn
		}
	}
	request := &messages.FindStream{Stream: uint64(stream)}
	for _, split := range route.Splits {
		request.Services = append(request.Services, string(split.Service))
	}
	return g.askForOrigin(ctx, r, request)
}

// askForOrigin asks the leader where a stream began, until it knows or time runs out. What this entry believes of versions
// says nothing of those that others have heard of since.
func (g *Gateway) askForOrigin(ctx context.Context, r *Request, request *messages.FindStream) (binder.Origin, originSource) {
	limit := findTimeout
	if r.CallerTimeout > 0 {
		limit = min(limit, time.Duration(findFraction*float64(r.CallerTimeout)))
	}
	startedAt := timekeeper.Now()
	for {
		response := g.askOnce(ctx, request)
		switch response.GetKnowledge() {
		case messages.StreamKnowledge_STREAM_KNOWLEDGE_REPORTED:
			return decodeOrigin(response), sourceLeader
		case messages.StreamKnowledge_STREAM_KNOWLEDGE_ONLY_VERSION:
			return decodeOrigin(response), sourceOnlyVersion
		case messages.StreamKnowledge_STREAM_KNOWLEDGE_UNKNOWN:
			limit = min(limit, findUnknownTimeout)
		case messages.StreamKnowledge_STREAM_KNOWLEDGE_UNSPECIFIED:
		}
		if ctx.Err() != nil || timekeeper.Now().Sub(startedAt)+findInterval > limit {
			return binder.Origin{}, sourceNone
		}
		sleep(ctx, findInterval)
	}
}

func decodeOrigin(m *messages.FindStreamResponse) binder.Origin {
	return binder.Origin{
		Service: units.Service(m.GetService()),
		Release: units.Release(m.GetRelease()),
	}
}

// askOnce asks the last known leader, and the one that it names, once each.
func (g *Gateway) askOnce(ctx context.Context, request *messages.FindStream) *messages.FindStreamResponse {
	address := g.snapshot.Load().leader
	for range 2 {
		if address == "" {
			break
		}
		attempt, cancel := context.WithTimeout(ctx, findAttempt)
		response := &messages.FindStreamResponse{}
		err := g.Client.Call(attempt, address, governor.MethodFindStream, request, response)
		cancel()
		if err != nil {
			return nil
		}
		if response.GetKnowledge() != messages.StreamKnowledge_STREAM_KNOWLEDGE_UNSPECIFIED || response.GetLeader() == address {
			return response
		}
		address = response.GetLeader()
	}
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// originSync is the state of a poller's reports of streams to the leader.
type originSync struct {
	// reported is the last record that the leader has acknowledged, sent the last one in the poll in flight.
	reported binder.Number
	sent     binder.Number
}

// report adds the streams that the leader does not know to a poll, while it wants them or the version of one is not
// certain: the leader would take it for the only one that it knows.
func (o *originSync) report(now time.Time, wanted bool, journal *binder.Journal, poll *messages.EntryPoll) {
	o.sent = o.reported
	if !wanted && !journal.HoldsUncertain(now) {
		return
	}
	var records []binder.Record
	records, o.sent = journal.After(now, o.reported, maxStreamsPerPoll)
	poll.StreamOrigins = governor.EncodeOrigins(now, records)
}

// handleResponse applies the leader's response. A leader that wants no streams forgets none, but those that begin
// meanwhile are not reported: once it wants them again, it gets all.
func (o *originSync) handleResponse(now time.Time, journal *binder.Journal, response *messages.EntryPollResponse) {
	o.reported = o.sent
	if !response.GetWantsStreams() && !journal.HoldsUncertain(now) {
		o.reported = 0
	}
}
