package gateway

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosecroft/rosecroft/src/binder"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/governor"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against a stream that began anew at another version and that the leader, after its entry was killed,
// still has at the version of the first attempt.
func TestAttemptAtAnotherVersionWaitsForTheLeader(t *testing.T) {
	v1 := &tracker.Upstream{Name: "u1", Service: "s", Release: "v1", Incarnation: 1}
	v1Too := &tracker.Upstream{Name: "u2", Service: "s", Release: "v1", Incarnation: 1}
	v2 := &tracker.Upstream{Name: "u3", Service: "s", Release: "v2", Incarnation: 1}
	uncertain := &tracker.Upstream{Name: "u4", Service: "s", Release: "v1", Incarnation: 1}
	const reportedAfter = 80 * time.Millisecond
	cases := map[string]struct {
		first, second *tracker.Upstream
		unwanted      bool
		noLeader      bool
		callerGone    bool
		want          time.Duration
	}{
		"first attempt":                      {second: v1},
		"same upstream":                      {first: v1, second: v1},
		"same version":                       {first: v1, second: v1Too},
		"another version":                    {first: v1, second: v2, want: reportedAfter},
		"another version and back":           {first: v2, second: v1, want: reportedAfter},
		"version becomes uncertain":          {first: v1, second: uncertain, want: reportedAfter},
		"version was uncertain":              {first: uncertain, second: v2, want: reportedAfter},
		"uncertain version":                  {second: uncertain, want: reportedAfter / 2},
		"uncertain version, none are wanted": {second: uncertain, unwanted: true, want: reportedAfter / 2},
		"uncertain version, no leader":       {second: uncertain, noLeader: true, want: replaceTimeout},
		"another version, no leader":         {first: v1, second: v2, noLeader: true, want: replaceTimeout},
		"another version, caller gone":       {first: v1, second: v2, callerGone: true},
		"another version, none are reported": {first: v1, second: v2, unwanted: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newLimitedGateway(t, time.Minute)
				g.Settings = &parser.PlatformSettings{HeartbeatInterval: time.Second}
				g.journal.MaxRecords = 10
				g.snapshot.Store(&snapshot{wantsStreams: !c.unwanted})
				g.returns.recordDial(timekeeper.Now(), units.NewIncarnationID(uncertain.Name, uncertain.Incarnation), true)
				call := &dispatcher.Call{
					Stream: true,
					Trace: &callTrace{
						stream:      binder.NewStreamID("c"),
						streamUntil: timekeeper.Now().Add(time.Minute),
					},
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.first != nil {
					g.recordAttempt(ctx, call, c.first, &dispatcher.Stream{})
					g.originReports.set(2)
				}
				if c.callerGone {
					cancel()
				}
				if !c.noLeader {
					time.AfterFunc(reportedAfter/2, func() { g.originReports.set(3) })
					time.AfterFunc(reportedAfter, func() { g.originReports.set(4) })
				}
				startedAt := time.Now()
				g.recordAttempt(ctx, call, c.second, &dispatcher.Stream{})
				if got := time.Since(startedAt); got != c.want {
					t.Errorf("the attempt waited: got %v, want %v", got, c.want)
				}
			})
		})
	}
}

// Guards against attempts that wait for the whole interval of a large fleet's polls.
func TestAttemptsThatWaitArePolledForSoon(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	server := &connector.Server{Listener: listener}
	connector.Handle(server, governor.MethodPoll, func(context.Context, connector.Peer, *messages.EntryPoll) (*messages.EntryPollResponse, error) {
		return &messages.EntryPollResponse{
			Leader:       address,
			Leads:        true,
			Leadership:   1,
			Controls:     []string{address},
			Entries:      1000,
			Settled:      true,
			WantsStreams: true,
		}, nil
	})
	m := meter.New()
	t.Cleanup(func() { _ = m.Close() })
	g := &Gateway{
		Meter: m,
		Settings: &parser.PlatformSettings{
			Name:              "e1",
			Address:           "127.0.0.1",
			PeerPorts:         []int{7600, 7615},
			RevocationTimeout: 5 * time.Second,
			HeartbeatInterval: time.Second,
			Quota: parser.Quota{
				Window: 8 * time.Second,
			},
			Usage: parser.Usage{
				Window:   5 * time.Second,
				MaxDelay: 10 * time.Second,
			},
		},
	}
	g.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	p := &poller{gateway: g, table: &enroller.Table{Interval: time.Second}, leader: address}
	go func() { _ = server.Run(ctx) }()
	go p.run(ctx)
	for g.snapshot.Load() == nil || !g.snapshot.Load().wantsStreams {
		time.Sleep(time.Millisecond)
	}
	startedAt := time.Now()
	const attempts = 8
	for range attempts {
		number := g.journal.Add(timekeeper.Now(), binder.Record{
			Stream: 1,
			Origin: binder.Origin{Service: "s", Release: "v1"},
			Until:  timekeeper.Now().Add(time.Minute),
		})
		if !g.originReports.wait(ctx, number, time.Second) {
			t.Fatal("the leader does not know the attempt after 1 s")
		}
	}
	if got, want := time.Since(startedAt)/attempts, pollInterval(1000)/2; got > want {
		t.Errorf("an attempt waits: got %v, want at most half of the interval of polls, %v", got, want)
	}
}
