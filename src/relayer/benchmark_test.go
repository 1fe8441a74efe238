package relayer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// countingListener counts the bytes of its connections, in both directions.
type countingListener struct {
	net.Listener
	bytes, connections atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	l.connections.Add(1)
	return &countingConn{Conn: conn, listener: l}, nil
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.bytes.Add(int64(n))
	return n, err //nolint:wrapcheck // The connection's own error.
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.bytes.Add(int64(n))
	return n, err //nolint:wrapcheck // The connection's own error.
}

// BenchmarkRelayedCall measures the bytes and the processor time that a relayed call costs sender and
// carrier together; the body and each event's data have 4 bytes.
func BenchmarkRelayedCall(b *testing.B) {
	const tokens = 232
	runs := map[string]func(context.Context, *dispatcher.Call, *dispatcher.Stream) dispatcher.Result{
		"answer": answered,
		"stream": func(_ context.Context, call *dispatcher.Call, s *dispatcher.Stream) dispatcher.Result {
			call.Trace.(*Trace).Started = true
			if err := s.Begin(http.Header{}, testUpstream, "v1"); err != nil {
				return dispatcher.Result{Kind: dispatcher.CallerGone, Err: err}
			}
			for n := range units.Tokens(tokens) {
				if err := s.Event(n+1, []byte("data"), []byte("T")); err != nil {
					return dispatcher.Result{Kind: dispatcher.CallerGone, Err: err}
				}
			}
			return dispatcher.Result{Kind: dispatcher.Answered}
		},
	}
	for name, run := range runs {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			counted := &countingListener{Listener: listener}
			carrier := &Carrier{Upstreams: &discardedCalls{fakeUpstreams{run: run}}, TrueNow: time.Now}
			server := &connector.Server{Listener: counted}
			carrier.Register(server)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = server.Run(ctx) }()
			s := newSender()
			s.SetPeers([]Peer{{Name: "a", Address: listener.Addr().String()}})
			before := processorTime(b)
			for b.Loop() {
				sink := &recordingSink{}
				if got := s.Exchange(ctx, newCall(true, name == "stream"), 1, testUpstream, dispatcher.NewStream(sink, 0)); got.Kind != dispatcher.Answered {
					b.Fatalf("relayed call: got %+v, want an answer", got)
				}
			}
			b.ReportMetric(float64(counted.bytes.Load())/float64(b.N), "wire-B/op")
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(counted.connections.Load()), "connections")
		})
	}
}

// discardedCalls keeps no record of the calls.
type discardedCalls struct {
	fakeUpstreams
}

func (d *discardedCalls) Exchange(ctx context.Context, call *dispatcher.Call, _ units.Attempt, _ *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	return d.run(ctx, call, stream)
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
