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
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against requests that are blamed for an end which was none or was expected: an answer
// that was lost, an upstream that leaves, a caller who left, a call that had run for long.
func TestOnlyAnUpstreamsEndSpeaksAgainstItsRequests(t *testing.T) {
	cut := dispatcher.Result{Kind: dispatcher.Lost, Cut: true, Err: io.ErrUnexpectedEOF}
	cases := map[string]struct {
		result dispatcher.Result
		// ended says that the upstream takes no new connection, leaving that it takes no calls.
		ended   bool
		leaving bool
		want    int
	}{
		"an upstream that has ended":   {result: cut, ended: true, want: 1},
		"an answer that was lost":      {result: cut},
		"an upstream that leaves":      {result: cut, ended: true, leaving: true},
		"a caller who left":            {result: dispatcher.Result{Kind: dispatcher.CallerGone}, ended: true},
		"a call that had run for long": {result: dispatcher.Result{Kind: dispatcher.Broken, Cut: true, Answering: ranAfter}, ended: true},
		"a stream that had just begun": {result: dispatcher.Result{Kind: dispatcher.Broken, Cut: true, Answering: ranAfter / 2}, ended: true, want: 1},
		"a deadline":                   {result: dispatcher.Result{Kind: dispatcher.Lost}, ended: true},
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
			if c.ended {
				_ = listener.Close()
			} else {
				defer func() { _ = listener.Close() }()
			}
			g := limited(t, time.Minute)
			g.Log = zerolog.Nop()
			g.pool = &exchanger.Pool{Most: func(*tracker.Upstream) int { return 2 }}
			w := *g.world.Load()
			if !c.leaving {
				w.fleet = placer.Fleet{"s": {{Upstream: upstream}}}
			}
			g.world.Store(&w)
			l := &losses{
				Exchanger: &lostAt{result: c.result, after: func() {}},
				gateway:   g,
			}
			l.Exchange(t.Context(), &dispatcher.Call{Fingerprint: 7}, 1, upstream, &dispatcher.Stream{})
			l.wait()
			if got := len(g.evidence.After(timekeeper.Now(), 0, 10)); got != c.want {
				t.Errorf("losses told: got %d, want %d", got, c.want)
			}
		})
	}
}

// wait waits until no upstream is looked at.
func (l *losses) wait() {
	for {
		l.mu.Lock()
		looking := len(l.checked)
		l.mu.Unlock()
		if looking == 0 {
			return
		}
		time.Sleep(time.Millisecond) // Between two looks at what another goroutine does.
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
	g := limited(t, time.Minute)
	g.Log = zerolog.Nop()
	opened := counted(0)
	g.pool = &exchanger.Pool{
		Most:   func(*tracker.Upstream) int { return 50 },
		Opened: &opened,
	}
	w := *g.world.Load()
	w.fleet = placer.Fleet{"s": {{Upstream: upstream}}}
	g.world.Store(&w)
	l := &losses{
		Exchanger: &lostAt{result: dispatcher.Result{Kind: dispatcher.Lost, Cut: true, Err: io.EOF}, after: func() {}},
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

// counted counts.
type counted int64

func (c *counted) Inc(delta int64) { *c += counted(delta) }
