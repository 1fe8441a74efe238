package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/binder"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/governor"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// startFinder starts a control instance that answers questions about streams, one answer after another and
// the last one again, nil for none.
func startFinder(t *testing.T, answers ...*messages.FindStreamResponse) (address string, questions *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	questions = &atomic.Int64{}
	server := &connector.Server{Listener: listener}
	connector.Handle(server, governor.MethodFindStream, func(ctx context.Context, _ connector.Peer, _ *messages.FindStream) (*messages.FindStreamResponse, error) {
		answer := answers[min(int(questions.Add(1)), len(answers))-1]
		if answer == nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return answer, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Run(ctx) }()
	return listener.Addr().String(), questions
}

// routeOf returns a route to some services, or to the service s if there are none.
func routeOf(services []units.Service) *matcher.Route {
	if len(services) == 0 {
		services = []units.Service{"s"}
	}
	route := &matcher.Route{}
	for _, service := range services {
		route.Splits = append(route.Splits, matcher.Split{
			Service: service,
			Weight:  1,
		})
	}
	return route
}

func found(knowledge messages.StreamKnowledge, service, release string) *messages.FindStreamResponse {
	return &messages.FindStreamResponse{
		Knowledge: knowledge,
		Service:   service,
		Release:   release,
	}
}

// Guards against a stream that is continued at a guessed version, and against one that is refused though its
// version is known or comes to be known.
func TestOriginOfAResumedStream(t *testing.T) {
	const (
		reported = messages.StreamKnowledge_STREAM_KNOWLEDGE_REPORTED
		only     = messages.StreamKnowledge_STREAM_KNOWLEDGE_ONLY_VERSION
		unknown  = messages.StreamKnowledge_STREAM_KNOWLEDGE_UNKNOWN
	)
	nothing := &messages.FindStreamResponse{}
	one, two := []units.Release{"v1"}, []units.Release{"v1", "v2"}
	cases := map[string]struct {
		answers []*messages.FindStreamResponse
		// own is set if the stream began at this entry, unnamed if the caller names no call.
		own, unnamed bool
		services     []units.Service
		releases     []units.Release
		// silence is how long ago the leader last answered a poll.
		silence      time.Duration
		wantsStreams bool
		want         binder.Origin
		refused      bool
		maxQuestions int64
	}{
		"began at this entry":              {own: true, answers: []*messages.FindStreamResponse{found(unknown, "", "")}, want: binder.Origin{Service: "s", Release: "v2"}},
		"reported to the leader":           {answers: []*messages.FindStreamResponse{found(reported, "s", "v2")}, want: binder.Origin{Service: "s", Release: "v2"}, maxQuestions: 1},
		"reported a moment later":          {answers: []*messages.FindStreamResponse{found(unknown, "", ""), found(reported, "s", "v2")}, want: binder.Origin{Service: "s", Release: "v2"}, maxQuestions: 2},
		"only one version":                 {answers: []*messages.FindStreamResponse{found(only, "s", "v1")}, want: binder.Origin{Service: "s", Release: "v1"}, maxQuestions: 1},
		"new leader":                       {answers: []*messages.FindStreamResponse{nothing, nothing, found(reported, "s", "v2")}, want: binder.Origin{Service: "s", Release: "v2"}, maxQuestions: 3},
		"of another service of the route":  {answers: []*messages.FindStreamResponse{found(reported, "t", "v2")}, services: []units.Service{"s", "t"}, want: binder.Origin{Service: "t", Release: "v2"}, maxQuestions: 1},
		"of a service that lost the route": {answers: []*messages.FindStreamResponse{found(reported, "t", "v2")}, refused: true, maxQuestions: 1},
		"began at an uncertain version":    {answers: []*messages.FindStreamResponse{found(reported, "", "")}, refused: true, maxQuestions: 1},
		"not known":                        {answers: []*messages.FindStreamResponse{found(unknown, "", "")}, refused: true, releases: two, maxQuestions: 8},
		"not known, one version here":      {answers: []*messages.FindStreamResponse{found(unknown, "", "")}, refused: true, releases: one, maxQuestions: 8},
		"not named":                        {unnamed: true, answers: []*messages.FindStreamResponse{found(unknown, "", "")}, refused: true, maxQuestions: 8},
		"not named, reported":              {unnamed: true, answers: []*messages.FindStreamResponse{found(reported, "s", "v2")}, want: binder.Origin{Service: "s", Release: "v2"}, maxQuestions: 1},
		"not named, several of its kind":   {unnamed: true, own: true, answers: []*messages.FindStreamResponse{found(reported, "", "")}, refused: true, maxQuestions: 1},
		"not named, no leader":             {unnamed: true, own: true, answers: []*messages.FindStreamResponse{nothing}, releases: two, refused: true, maxQuestions: 20},
		"not named, only one version":      {unnamed: true, answers: []*messages.FindStreamResponse{found(only, "s", "v1")}, want: binder.Origin{Service: "s", Release: "v1"}, maxQuestions: 1},
		"no leader, one version here":      {answers: []*messages.FindStreamResponse{nothing}, releases: one, refused: true, maxQuestions: 20},
		"no answer, one version here":      {answers: []*messages.FindStreamResponse{nil}, releases: one, refused: true, maxQuestions: 5},
		"no leader, two versions":          {answers: []*messages.FindStreamResponse{nothing}, releases: two, refused: true, maxQuestions: 20},
		"no leader for long":               {answers: []*messages.FindStreamResponse{nothing}, releases: one, silence: 2 * time.Second, refused: true, maxQuestions: 20},
		"no leader, versions unknown":      {answers: []*messages.FindStreamResponse{nothing}, releases: one, wantsStreams: true, refused: true, maxQuestions: 20},
		"no leader, several services":      {answers: []*messages.FindStreamResponse{nothing}, releases: one, services: []units.Service{"s", "t"}, refused: true, maxQuestions: 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, questions := startFinder(t, c.answers...)
			g := &Gateway{
				Log:          zerolog.Nop(),
				Client:       &connector.Client{},
				trafficStats: newTrafficStats(meter.New()),
			}
			g.journal.MaxRecords = 10
			route := routeOf(c.services)
			now := timekeeper.Now()
			g.snapshot.Store(&snapshot{
				leader:       address,
				leaderAt:     now.Add(-c.silence),
				wantsStreams: c.wantsStreams,
				releases:     map[units.Service][]units.Release{"s": c.releases},
			})
			request, stream, until := resumingRequest(now, c.unnamed)
			if c.own {
				g.journal.Add(now, binder.Record{Stream: stream, Origin: binder.Origin{Service: "s", Release: "v2"}, Until: until})
			}
			call := &dispatcher.Call{ID: "second", Service: "s", Stream: true}
			err := g.findOrigin(t.Context(), request, route, call)
			if took := timekeeper.Now().Sub(now); took > findTimeout {
				t.Errorf("took %v, want at most a third of the caller's time", took)
			}
			if got := questions.Load(); got > c.maxQuestions {
				t.Errorf("questions: got %d, want at most %d", got, c.maxQuestions)
			}
			var refusal *dispatcher.Refusal
			if c.refused {
				if !errors.As(err, &refusal) || refusal.Status != http.StatusServiceUnavailable || refusal.Executed != dispatcher.ExecutedNo {
					t.Fatalf("got %v, origin %v, want it refused as not run", err, call.Origin)
				}
				return
			}
			if err != nil || call.Origin == nil || *call.Origin != c.want || call.Service != c.want.Service {
				t.Errorf("origin: got %v of service %s (%v), want %v", call.Origin, call.Service, err, c.want)
			}
			if kept, _ := g.journal.Find(now, stream); kept != c.want {
				t.Errorf("kept for the next resumption: got %v, want %v", kept, c.want)
			}
		})
	}
}

// resumingRequest returns a request that resumes a stream, the id by which that is found, and until when.
func resumingRequest(now time.Time, unnamed bool) (*Request, binder.StreamID, time.Time) {
	request := &Request{ID: "second", Resumes: "first", ResumeOffset: 3, Arrived: now, CallerTimeout: 2 * time.Second}
	stream, until := streamOf(request)
	if unnamed {
		request.Resumes = ""
		stream = binder.NewRequestID(0)
	}
	return request, stream, until
}

// Guards against a stream that is looked for at an instance that no longer leads.
func TestOriginIsAskedOfTheLeaderThatIsNamed(t *testing.T) {
	leader, questions := startFinder(t, found(messages.StreamKnowledge_STREAM_KNOWLEDGE_REPORTED, "s", "v2"))
	other, _ := startFinder(t, &messages.FindStreamResponse{Leader: leader})
	g := &Gateway{Client: &connector.Client{}}
	g.snapshot.Store(&snapshot{leader: other})
	if got := g.askOnce(t.Context(), &messages.FindStream{Stream: 1}); got.GetRelease() != "v2" || questions.Load() != 1 {
		t.Errorf("got version %q after %d questions, want v2 after one", got.GetRelease(), questions.Load())
	}
}

// Guards against streams that a leader does not get: those that began while it wanted none, those of a poll
// that was lost, and all of them after a change of the leader.
func TestStreamsAreReportedToEachLeader(t *testing.T) {
	journal := &binder.Journal{MaxRecords: 10}
	now := timekeeper.Now()
	add := func(stream binder.StreamID) {
		journal.Add(now, binder.Record{Stream: stream, Origin: binder.Origin{Service: "s", Release: "v1"}, Until: now.Add(time.Minute)})
	}
	p := &poller{gateway: &Gateway{}}
	reported := func() []uint64 {
		poll := &messages.EntryPoll{}
		p.originSync.report(now, p.snapshot.wantsStreams, journal, poll)
		var streams []uint64
		for _, m := range poll.GetStreamOrigins() {
			streams = append(streams, m.GetStreams()...)
		}
		return streams
	}
	respond := func(leadership uint64, wants bool) {
		r := &messages.EntryPollResponse{Leads: true, Leadership: leadership, WantsStreams: wants}
		p.updateSuspects(now, r)
		p.originSync.handleResponse(now, journal, r)
		p.snapshot.wantsStreams = wants
	}
	add(1)
	steps := []struct {
		what  string
		begin binder.StreamID
		// lost is set if the poll gets no response.
		lost       bool
		leadership uint64
		wants      bool
		want       []uint64
	}{
		{what: "the leader wants none", leadership: 1},
		{what: "the leader has asked for none yet", begin: 2, leadership: 1, wants: true},
		{what: "the leader wants them", begin: 3, lost: true, want: []uint64{1, 2, 3}},
		{what: "the poll was lost", leadership: 1, wants: true, want: []uint64{1, 2, 3}},
		{what: "the leader has them", leadership: 1, wants: true},
		{what: "another one begins", begin: 4, leadership: 2, wants: true, want: []uint64{4}},
		{what: "there is a new leader", leadership: 2, wants: false, want: []uint64{1, 2, 3, 4}},
		{what: "it wants none", begin: 5, leadership: 2, wants: true},
		{what: "it wants them again", leadership: 2, wants: true, want: []uint64{1, 2, 3, 4, 5}},
	}
	for _, step := range steps {
		if step.begin > 0 {
			add(step.begin)
		}
		if got := reported(); !slices.Equal(got, step.want) {
			t.Fatalf("%s: got %v reported, want %v", step.what, got, step.want)
		}
		if !step.lost {
			respond(step.leadership, step.wants)
		}
	}
}

// Guards against a stream that goes on at the only version that the leader knows, although it began at an upstream of
// uncertain version at another entry.
func TestUncertainStreamsAreReportedUnasked(t *testing.T) {
	journal := &binder.Journal{MaxRecords: 10}
	now := timekeeper.Now()
	o := &originSync{}
	certain := binder.Origin{Service: "s", Release: "v1"}
	steps := []struct {
		what   string
		begin  binder.StreamID
		origin binder.Origin
		after  time.Duration
		want   []uint64
	}{
		{what: "a certain one begins", begin: 2, origin: certain},
		{what: "an uncertain one begins", begin: 4, origin: binder.Unknown, want: []uint64{2, 4}},
		{what: "the leader has them"},
		{what: "a certain one begins meanwhile", begin: 6, origin: certain, want: []uint64{6}},
		{what: "all are forgotten", after: 2 * time.Minute},
		{what: "a certain one begins then", begin: 8, origin: certain},
		{what: "an uncertain one begins again", begin: 10, origin: binder.Unknown, want: []uint64{8, 10}},
	}
	for _, step := range steps {
		now = now.Add(step.after)
		if step.begin > 0 {
			journal.Add(now, binder.Record{Stream: step.begin, Origin: step.origin, Until: now.Add(time.Minute)})
		}
		poll := &messages.EntryPoll{}
		o.report(now, false, journal, poll)
		var got []uint64
		for _, m := range poll.GetStreamOrigins() {
			got = append(got, m.GetStreams()...)
		}
		slices.Sort(got)
		if !slices.Equal(got, step.want) {
			t.Fatalf("%s: got %v reported, want %v", step.what, got, step.want)
		}
		o.handleResponse(now, journal, &messages.EntryPollResponse{Leads: true})
	}
}

// Guards against a resumed stream that is recorded as one of its own, and against one that is remembered for
// longer than its caller tries.
func TestStreamOfARequest(t *testing.T) {
	arrived := time.Unix(1000, 0)
	cases := map[string]struct {
		request Request
		want    units.CallID
		until   time.Duration
	}{
		"new":                 {request: Request{ID: "a", CallerTimeout: 12 * time.Second}, want: "a", until: 12 * time.Second},
		"new, with a name":    {request: Request{ID: "a", Resumes: "b", CallerTimeout: 12 * time.Second}, want: "a", until: 12 * time.Second},
		"resumed":             {request: Request{ID: "a", Resumes: "b", ResumeOffset: 1, CallerTimeout: 3 * time.Second}, want: "b", until: 3 * time.Second},
		"resumed, not named":  {request: Request{ID: "a", ResumeOffset: 1, CallerTimeout: 3 * time.Second}, want: "a", until: 3 * time.Second},
		"caller states none":  {request: Request{ID: "a"}, want: "a", until: maxResumeTime},
		"caller states hours": {request: Request{ID: "a", CallerTimeout: 5 * time.Hour}, want: "a", until: maxResumeTime},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.request.Arrived = arrived
			stream, until := streamOf(&c.request)
			if stream != binder.NewStreamID(c.want) || until.Sub(arrived) != c.until {
				t.Errorf("got stream %d until %v, want that of %s until %v", stream, until.Sub(arrived), c.want, c.until)
			}
		})
	}
}

// Guards against streams at an upstream that has started again at another version, before control has told.
func TestUpstreamsThatReturnMayHaveChanged(t *testing.T) {
	now := timekeeper.Now()
	cases := map[string]struct {
		dials       []bool
		after       time.Duration
		incarnation units.Incarnation
		// silence is how long ago control was last heard of, and releases what the upstreams run.
		silence  time.Duration
		releases []units.Release
		want     bool
	}{
		"reached":                     {dials: []bool{true, true}, incarnation: 1},
		"not reached":                 {dials: []bool{true, false}, incarnation: 1, want: true},
		"reached again":               {dials: []bool{false, false, true}, incarnation: 1, want: true},
		"reached again a while ago":   {dials: []bool{false, true}, after: 4 * time.Second, incarnation: 1},
		"reached again and again":     {dials: []bool{false, true, true}, after: time.Second, incarnation: 1, want: true},
		"has a new name when it ends": {dials: []bool{false, true}},
		"control is silent":           {incarnation: 1, silence: 4 * time.Second, releases: []units.Release{"v1", "v2"}, want: true},
		"silent, one version":         {incarnation: 1, silence: 4 * time.Second, releases: []units.Release{"v1"}},
		"control was heard of":        {incarnation: 1, silence: time.Second, releases: []units.Release{"v1", "v2"}},
		"silent, has a new name then": {silence: 4 * time.Second, releases: []units.Release{"v1", "v2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newLimitedGateway(t, time.Minute)
			g.Settings = &parser.PlatformSettings{HeartbeatInterval: 1200 * time.Millisecond}
			g.snapshot.Store(&snapshot{
				leaderAt: now.Add(c.after - c.silence),
				releases: map[units.Service][]units.Release{"s": c.releases},
			})
			upstream := &tracker.Upstream{Name: "u", Service: "s", Incarnation: c.incarnation}
			id := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
			for _, reached := range c.dials {
				g.returns.recordDial(now, id, !reached)
			}
			if got := g.mayHaveChanged(now.Add(c.after), upstream, id); got != c.want {
				t.Errorf("may have changed: got %t, want %t", got, c.want)
			}
			g.returns.retain(nil)
			if g.returns.isRecent(now, id, time.Minute) {
				t.Error("an upstream that is gone: got it kept, want it forgotten")
			}
		})
	}
}

// Guards against a stream that goes on at the version that an upstream had before it started again, and at
// that of an earlier attempt.
func TestUncertainVersionsAreNotRecorded(t *testing.T) {
	g := newLimitedGateway(t, time.Minute)
	g.Settings = &parser.PlatformSettings{HeartbeatInterval: time.Second}
	g.journal.MaxRecords = 10
	now := timekeeper.Now()
	certain := &tracker.Upstream{Name: "u", Service: "s", Release: "v1", Incarnation: 1}
	uncertain := &tracker.Upstream{Name: "v", Service: "s", Release: "v1", Incarnation: 1}
	g.returns.recordDial(now, units.NewIncarnationID("v", 1), true)
	stream := binder.NewStreamID("c")
	call := &dispatcher.Call{Stream: true, Trace: &callTrace{stream: stream, streamUntil: now.Add(time.Minute)}}
	for _, attempt := range []struct {
		upstream *tracker.Upstream
		want     binder.Origin
	}{
		{upstream: certain, want: binder.Origin{Service: "s", Release: "v1"}},
		{upstream: uncertain, want: binder.Unknown},
		{upstream: certain, want: binder.Origin{Service: "s", Release: "v1"}},
	} {
		g.recordAttempt(context.Background(), call, attempt.upstream, &dispatcher.Stream{})
		if got, found := g.journal.Find(now, stream); !found || got != attempt.want {
			t.Errorf("after an attempt at %s: got %v (known %t), want %v", attempt.upstream.Name, got, found, attempt.want)
		}
	}
}
