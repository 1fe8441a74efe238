package gateway

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/pathfinder"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against blaming requests where the upstream did not crash or was expected to
// terminate: an answer that was lost, an upstream that leaves, a caller who left, a call that
// had run for long.
func TestOnlyACrashCountsAgainstRequests(t *testing.T) {
	cut := dispatcher.Result{Kind: dispatcher.OutcomeUnknown, ConnectionLost: true, Err: io.ErrUnexpectedEOF}
	cases := map[string]struct {
		result dispatcher.Result
		// crashed makes the upstream accept no new connection, leaving makes it accept no calls.
		crashed bool
		leaving bool
		// saidItLeaves is set where the upstream has said so in an answer.
		saidItLeaves bool
		// partitioned is set where the entry can connect to no upstream of the service.
		partitioned bool
		want        int
	}{
		"upstream that crashed":        {result: cut, crashed: true, want: 1},
		"lost answer":                  {result: cut},
		"leaving upstream":             {result: cut, crashed: true, leaving: true},
		"upstream that said it leaves": {result: cut, crashed: true, saidItLeaves: true},
		"partitioned entry":            {result: cut, crashed: true, partitioned: true},
		"caller who left":              {result: dispatcher.Result{Kind: dispatcher.CallerGone}, crashed: true},
		"call that had run for long":   {result: dispatcher.Result{Kind: dispatcher.Unresumable, ConnectionLost: true, AnswerDuration: minRunTime}, crashed: true},
		"stream that had just started": {result: dispatcher.Result{Kind: dispatcher.Unresumable, ConnectionLost: true, AnswerDuration: minRunTime / 2}, crashed: true, want: 1},
		"deadline":                     {result: dispatcher.Result{Kind: dispatcher.OutcomeUnknown}, crashed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			upstream := &tracker.Upstream{
				Name:    "u",
				Service: "s",
				Address: listener.Addr().String(),
				Local:   &tracker.LocalState{},
			}
			if c.crashed {
				_ = listener.Close()
			} else {
				defer func() { _ = listener.Close() }()
			}
			g := newLimitedGateway(t, time.Minute)
			g.Log = zerolog.Nop()
			g.pool = &exchanger.Pool{MaxConnections: func(*tracker.Upstream) int { return 2 }}
			snap := *g.snapshot.Load()
			if !c.leaving {
				snap.fleet = placer.Fleet{"s": {{Upstream: upstream}}}
			}
			g.snapshot.Store(&snap)
			if c.partitioned {
				g.pathfinder.RecordDial(pathfinder.Dial{Service: "s", Upstream: 1, StartedAt: timekeeper.Now(), Failed: true})
			}
			if c.saidItLeaves {
				g.recordAnswer(upstream, exchanger.Verdict{Leaving: true}, timekeeper.Now())
			}
			l := &lossDetector{
				Exchanger: &fixedExchanger{result: c.result, after: func() {}},
				gateway:   g,
			}
			l.Exchange(t.Context(), &dispatcher.Call{Fingerprint: 7}, 1, upstream, &dispatcher.Stream{})
			l.wait()
			if got := len(g.evidence.ObservationsAfter(timekeeper.Now(), 0, 10)); got != c.want {
				t.Errorf("losses recorded: got %d, want %d", got, c.want)
			}
		})
	}
}

// wait waits until no upstream is being checked.
func (l *lossDetector) wait() {
	for {
		l.mu.Lock()
		checking := len(l.pending)
		l.mu.Unlock()
		if checking == 0 {
			return
		}
		time.Sleep(time.Millisecond) // The interval between two checks.
	}
}

// Guards against several checks of one upstream, each of which costs it a connection.
func TestUpstreamIsCheckedOnceForAllItsCalls(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	upstream := &tracker.Upstream{Name: "u", Service: "s", Address: listener.Addr().String(), Local: &tracker.LocalState{}}
	g := newLimitedGateway(t, time.Minute)
	g.Log = zerolog.Nop()
	opened := testCounter(0)
	g.pool = &exchanger.Pool{
		MaxConnections: func(*tracker.Upstream) int { return 50 },
		OpenedCounter:  &opened,
	}
	snap := *g.snapshot.Load()
	snap.fleet = placer.Fleet{"s": {{Upstream: upstream}}}
	g.snapshot.Store(&snap)
	l := &lossDetector{
		Exchanger: &fixedExchanger{result: dispatcher.Result{Kind: dispatcher.OutcomeUnknown, ConnectionLost: true, Err: io.EOF}, after: func() {}},
		gateway:   g,
	}
	for n := range 20 {
		l.Exchange(context.Background(), &dispatcher.Call{Fingerprint: units.Fingerprint(n)}, 1, upstream, &dispatcher.Stream{})
	}
	l.wait()
	if opened != 1 {
		t.Errorf("connections for 20 lost calls: got %d, want 1", opened)
	}
}

// testCounter is a counter of opened connections.
type testCounter int64

func (c *testCounter) Inc(delta int64) { *c += testCounter(delta) }
