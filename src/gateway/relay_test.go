package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/binder"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/pathfinder"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/relayer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// startProbedPeer starts an entry that reports whether it reaches upstreams.
func startProbedPeer(t *testing.T, response *messages.RelayProbeResponse) relayer.Peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &connector.Server{Listener: listener}
	connector.Handle(server, relayer.MethodProbe, func(context.Context, connector.Peer, *messages.RelayProbe) (*messages.RelayProbeResponse, error) {
		return response, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Run(ctx) }()
	return relayer.Peer{
		Name:    "peer",
		Address: listener.Addr().String(),
	}
}

// Guards against an answer without a length that looks complete although its upstream ended with it, because
// upstreams that end are taken for a partition of the entry.
func TestUpstreamHasEndedUnlessAnotherEntryReachesIt(t *testing.T) {
	cases := map[string]struct {
		// response is that of the only other entry, nil if there is none.
		response *messages.RelayProbeResponse
		want     bool
	}{
		"no other entry":               {want: true},
		"another entry reaches it":     {response: &messages.RelayProbeResponse{Reached: true}},
		"another entry does not":       {response: &messages.RelayProbeResponse{}, want: true},
		"another entry cannot tell":    {response: &messages.RelayProbeResponse{Refusal: messages.RelayRefusal_RELAY_REFUSAL_PARTITIONED}, want: true},
		"another entry knows it ended": {response: &messages.RelayProbeResponse{Refusal: messages.RelayRefusal_RELAY_REFUSAL_UNKNOWN_UPSTREAM}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newLimitedGateway(t, 0)
			upstream := &tracker.Upstream{Name: "u", Service: "s", Local: &tracker.LocalState{}}
			id := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
			g.pathfinder.SetPresent(timekeeper.Now(), map[units.Service][]units.IncarnationID{"s": {id}})
			g.pathfinder.RecordDial(pathfinder.Dial{Service: "s", Upstream: id, StartedAt: timekeeper.Now(), Failed: true})
			if !g.pathfinder.IsPartitioned("s") {
				t.Fatal("partitioned: got false, want the only upstream taken for a partition")
			}
			if c.response != nil {
				g.sender.SetPeers([]relayer.Peer{startProbedPeer(t, c.response)})
			}
			if got := g.hasEnded(t.Context(), upstream); got != c.want {
				t.Errorf("has ended: got %t, want %t", got, c.want)
			}
		})
	}
}

// recordingUpstreams are upstreams at the end of a path. They look up what is recorded of a stream when an attempt
// arrives, and bring one event.
type recordingUpstreams struct {
	gateway        *Gateway
	stream         binder.StreamID
	mayHaveChanged bool
	// recorded is what was found, one for each attempt.
	recorded []binder.Origin
}

func (r *recordingUpstreams) Admit(offer *messages.RelayOffer) (*tracker.Upstream, *relayer.RefusedError) {
	return &tracker.Upstream{
		Name:    units.Upstream(offer.GetUpstream()),
		Service: units.Service(offer.GetService()),
		Local:   &tracker.LocalState{},
	}, nil
}

func (r *recordingUpstreams) MayHaveChanged(*tracker.Upstream) bool { return r.mayHaveChanged }

func (r *recordingUpstreams) Stated(*tracker.Upstream) relayer.Stated { return relayer.Stated{} }

func (r *recordingUpstreams) Probe(context.Context, *tracker.Upstream) error { return nil }

func (r *recordingUpstreams) Exchange(_ context.Context, _ *dispatcher.Call, _ units.Attempt, upstream *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	origin, _ := r.gateway.journal.Find(timekeeper.Now(), r.stream)
	r.recorded = append(r.recorded, origin)
	if err := stream.Begin(nil, upstream, "1"); err != nil {
		return dispatcher.Result{Kind: dispatcher.Unresumable, Err: err}
	}
	if err := stream.Event(stream.Offset()+1, []byte("event"), nil); err != nil {
		return dispatcher.Result{Kind: dispatcher.CallerGone, Err: err}
	}
	return dispatcher.Result{Kind: dispatcher.Answered}
}

type discardingSink struct{}

func (discardingSink) Answer(*dispatcher.Answer) error  { return nil }
func (discardingSink) Begin(http.Header) error          { return nil }
func (discardingSink) Event(units.Tokens, []byte) error { return nil }
func (discardingSink) End() error                       { return nil }

// Guards against a stream whose version is recorded after its first event, or anew when it goes on, and against one
// that is not known elsewhere because its entry is partitioned while a peer reaches the upstream.
func TestVersionIsRecordedByThePathThatKnowsIt(t *testing.T) {
	v1 := binder.Origin{Service: "s", Release: "v1"}
	cases := map[string]struct {
		// partitioned is set if this entry does not reach the upstream.
		partitioned bool
		// returned is set if this entry reaches it again.
		returned bool
		// peerUncertain is set if the peer has not reached the upstream for a while.
		peerUncertain bool
		// bound is the origin of a stream that goes on, nil for a new one.
		bound *binder.Origin
		want  binder.Origin
		// refused is set if the attempt must not be made.
		refused bool
	}{
		"new stream":                              {want: v1},
		"new stream, upstream has returned":       {returned: true, want: binder.Unknown},
		"new stream, through a peer":              {partitioned: true, want: v1},
		"new stream, peer is uncertain":           {partitioned: true, peerUncertain: true, want: binder.Unknown},
		"stream goes on":                          {bound: &v1, want: v1},
		"stream goes on, upstream has returned":   {returned: true, bound: &v1, want: v1},
		"stream goes on through a peer":           {partitioned: true, bound: &v1, want: v1},
		"stream goes on, but a peer is uncertain": {partitioned: true, peerUncertain: true, bound: &v1, want: v1, refused: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := timekeeper.Now()
			g := newLimitedGateway(t, time.Minute)
			g.Settings = &parser.PlatformSettings{HeartbeatInterval: time.Minute, Descriptors: 1000, MemoryLimitMiB: 100}
			g.Client = &connector.Client{}
			g.pool = &exchanger.Pool{}
			g.placer = &placer.Placer{Now: timekeeper.Now, Fleet: func() placer.Fleet { return nil }}
			g.journal.MaxRecords = 10
			upstreams := &recordingUpstreams{gateway: g, stream: binder.NewStreamID("c"), mayHaveChanged: c.peerUncertain}
			g.prepareRelays(upstreams)
			g.sender.Guard = freeGuard{}
			g.sender.OnStarted = func(*dispatcher.Call, *tracker.Upstream) {}
			g.sender.OnAnswer = func(*tracker.Upstream, exchanger.Verdict, time.Time) {}
			g.sender.SetPeers([]relayer.Peer{startCarryingPeer(t, upstreams)})
			upstream := &tracker.Upstream{Name: "u", Service: "s", Release: "v1", Incarnation: 1, Local: &tracker.LocalState{}}
			id := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
			g.pathfinder.SetPresent(timekeeper.Now(), map[units.Service][]units.IncarnationID{"s": {id}})
			if c.partitioned || c.returned {
				g.recordDial(upstream, now, errUpstreamGone)
			}
			if c.returned {
				g.recordDial(upstream, now.Add(time.Millisecond), nil)
			}
			call := &dispatcher.Call{
				ID:      "c",
				Service: "s",
				Stream:  true,
				Trace:   &callTrace{stream: upstreams.stream, streamUntil: now.Add(time.Minute)},
			}
			stream := dispatcher.NewStream(discardingSink{}, 0)
			if c.bound != nil {
				stream.Bind(c.bound.Release)
				g.journal.Add(now, binder.Record{Stream: upstreams.stream, Origin: *c.bound, Until: now.Add(time.Minute)})
			}
			path := &pathExchanger{gateway: g, direct: upstreams}
			result := path.Exchange(t.Context(), call, 1, upstream, stream)
			if got := result.Kind == dispatcher.NotRun; got != c.refused || c.refused == (len(upstreams.recorded) > 0) {
				t.Fatalf("result: got %+v after %d attempts, want it refused: %t", result, len(upstreams.recorded), c.refused)
			}
			if got := upstreams.recorded; !c.refused && got[0] != c.want {
				t.Errorf("recorded before the first event: got %v, want %v", got[0], c.want)
			}
			if got, _ := g.journal.Find(now, upstreams.stream); got != c.want {
				t.Errorf("recorded after the attempt: got %v, want %v", got, c.want)
			}
		})
	}
}

type freeGuard struct{}

func (freeGuard) Check(*dispatcher.Call, *tracker.Upstream) (time.Duration, error) {
	return time.Second, nil
}

// startCarryingPeer starts an entry that carries calls.
func startCarryingPeer(t *testing.T, upstreams relayer.Upstreams) relayer.Peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &connector.Server{Listener: listener}
	(&relayer.Carrier{Upstreams: upstreams, TrueNow: timekeeper.Now}).Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Run(ctx) }()
	return relayer.Peer{
		Name:    "peer",
		Address: listener.Addr().String(),
	}
}

// Guards against upstreams that get no calls for long after they could not be connected to, although they can again.
func TestReachedUpstreamsAreReadmitted(t *testing.T) {
	g := newLimitedGateway(t, time.Minute)
	g.Settings = &parser.PlatformSettings{HeartbeatInterval: time.Second}
	upstream := &tracker.Upstream{Name: "u", Service: "s", Local: &tracker.LocalState{}}
	g.placer = &placer.Placer{Now: timekeeper.Now}
	candidate := g.placer.NewCandidate(upstream, false, false)
	other := g.placer.NewCandidate(&tracker.Upstream{Name: "v", Service: "s", Local: &tracker.LocalState{}}, false, false)
	g.placer.Fleet = func() placer.Fleet { return placer.Fleet{"s": {candidate, other}} }
	for range 20 {
		g.placer.Observe(upstream, dispatcher.Result{Kind: dispatcher.NotRun, ConnectFailed: true, Unsent: true})
	}
	if !g.placer.Assess(candidate).Ejected {
		t.Fatal("ejected after 20 failures: got false, want true")
	}
	g.recordDial(upstream, timekeeper.Now(), nil)
	if g.placer.Assess(candidate).Ejected {
		t.Error("ejected after a connection: got true, want false")
	}
}

// Guards against calls that go through another entry to an upstream that none can reach, while this one reaches others.
func TestCallsAreRelayedInAPartitionAlone(t *testing.T) {
	for name, c := range map[string]struct {
		failed int
		want   bool
	}{
		"one is unreached": {failed: 1},
		"two are":          {failed: 2},
		"a partition":      {failed: 3, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := newLimitedGateway(t, time.Minute)
			g.pool = &exchanger.Pool{}
			upstream := &tracker.Upstream{Name: "u", Service: "s", Local: &tracker.LocalState{}}
			first := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
			ids := []units.IncarnationID{first, 1, 2, 3}
			g.pathfinder.SetPresent(timekeeper.Now(), map[units.Service][]units.IncarnationID{"s": ids})
			for _, id := range ids[:c.failed] {
				g.pathfinder.RecordDial(pathfinder.Dial{Service: "s", Upstream: id, StartedAt: timekeeper.Now(), Failed: true})
			}
			if got := g.isRelayed(upstream, first); got != c.want {
				t.Errorf("relayed: got %t, want %t", got, c.want)
			}
			if !g.isUnreached(upstream, first) {
				t.Error("unreached: got false, want true")
			}
		})
	}
}
