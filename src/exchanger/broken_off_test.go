package exchanger

import (
	"context"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/framer"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against streams that their upstream broke off and that reach callers as complete.
func TestBrokenOffStreamsAreNotComplete(t *testing.T) {
	const (
		head   = okHead + "Content-Type: text/event-stream\r\nVersion: 1\r\n"
		first  = "id: 1\ndata: a\n\n"
		second = "id: 2\ndata: b\n\n"
	)
	cases := map[string]struct {
		answer string
		// got is what the caller may receive.
		got     string
		whole   bool
		receipt framer.Receipt
	}{
		"close-delimited, closed in an event": {
			answer:  head + "\r\n" + first + "id: 2\ndata" + closeMarker,
			got:     first,
			receipt: framer.Receipt{Framing: framer.CloseDelimited, End: framer.InsideEvent},
		},
		"close-delimited, closed in the first event": {
			answer:  head + "\r\nid: 1\nda" + closeMarker,
			receipt: framer.Receipt{Framing: framer.CloseDelimited, End: framer.InsideEvent},
		},
		"close-delimited, closed before the empty line": {
			answer:  head + "\r\n" + first + "id: 2\ndata: b\n" + closeMarker,
			got:     first,
			receipt: framer.Receipt{Framing: framer.CloseDelimited, End: framer.InsideEvent},
		},
		"close-delimited, closed in the empty line": {
			answer:  head + "\r\n" + first + "id: 2\r\ndata: b\r\n\r" + closeMarker,
			got:     first,
			receipt: framer.Receipt{Framing: framer.CloseDelimited, End: framer.InsideEvent},
		},
		"close-delimited, reset in an event": {
			answer:  head + "\r\n" + first + "id: 2\ndata" + resetMarker,
			got:     first,
			receipt: framer.Receipt{Framing: framer.CloseDelimited, End: framer.Reset},
		},
		"close-delimited, reset between events": {
			answer:  head + "\r\n" + first + resetMarker,
			got:     first,
			receipt: framer.Receipt{Framing: framer.CloseDelimited, End: framer.Reset},
		},
		"close-delimited, upstream ended between events": {
			answer:  head + "\r\n" + first + endMarker,
			got:     first,
			receipt: framer.Receipt{Framing: framer.CloseDelimited, End: framer.Closed},
		},
		"length reached in an event": {
			answer:  head + "Content-Length: 22\r\n\r\n" + first + "id: 2\nd",
			got:     first,
			receipt: framer.Receipt{Framing: framer.Length, End: framer.InsideEvent},
		},
		"last chunk in an event": {
			answer:  head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(first) + chunk("id: 2\nd") + "0\r\n\r\n",
			got:     first,
			receipt: framer.Receipt{Framing: framer.Chunked, End: framer.InsideEvent},
		},
		"close-delimited, whole": {
			answer:  head + "\r\n" + first + second + closeMarker,
			got:     first + second,
			whole:   true,
			receipt: framer.Receipt{Framing: framer.CloseDelimited, End: framer.Closed},
		},
		"close-delimited, whole without an event": {
			answer:  head + "\r\n" + closeMarker,
			whole:   true,
			receipt: framer.Receipt{Framing: framer.CloseDelimited, End: framer.Closed},
		},
	}
	for name, c := range cases {
		for kind, repeatable := range map[string]bool{"resumable": true, "not resumable": false} {
			t.Run(name+", "+kind, func(t *testing.T) {
				u := newUpstream(t, func(int, int, string) string { return c.answer })
				call := newCall()
				call.Stream = true
				call.Repeatable = repeatable
				s := &recordingSink{}
				result := newExchanger(&fakeGuard{}).Exchange(t.Context(), call, 1, u.Upstream, &dispatcher.Stream{Sink: s})
				want := dispatcher.Answered
				switch {
				case !c.whole && repeatable:
					want = dispatcher.OutcomeUnknown
				case !c.whole:
					want = dispatcher.Unresumable
				}
				if result.Kind != want {
					t.Errorf("result: got %v (%v), want %v", result.Kind, result.Err, want)
				}
				if got := s.text.String(); got != c.got || s.ended != c.whole {
					t.Errorf("caller received %q (ended %t), want %q (ended %t)", got, s.ended, c.got, c.whole)
				}
				if result.Receipt != c.receipt {
					t.Errorf("receipt: got %+v, want %+v", result.Receipt, c.receipt)
				}
			})
		}
	}
}

// TestEndsBeyondTheConnectionLimit guards against answers that count as complete as no connection more may be opened, as the
// maximum falls while entries are added, or as the upstream still accepts one while it ends.
func TestEndsBeyondTheConnectionLimit(t *testing.T) {
	for name, c := range map[string]struct {
		marker string
		want   dispatcher.ResultKind
	}{
		"upstream ended":        {marker: endMarker, want: dispatcher.OutcomeUnknown},
		"upstream ended slowly": {marker: slowEndMarker, want: dispatcher.OutcomeUnknown},
		"whole":                 {marker: closeMarker, want: dispatcher.Answered},
	} {
		for kind, limit := range map[string]int{"at the limit": 0, "below it": 2} {
			t.Run(name+", "+kind, func(t *testing.T) {
				var sent atomic.Bool
				u := newUpstream(t, func(int, int, string) string {
					sent.Store(true)
					return okHead + "\r\nhi" + c.marker
				})
				x := newExchanger(&fakeGuard{})
				x.Pool.MaxConnections = func(*tracker.Upstream) int {
					if sent.Load() {
						return limit
					}
					return 2
				}
				result := x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
				if result.Kind != c.want {
					t.Errorf("result: got %v (%v), want %v", result.Kind, result.Err, c.want)
				}
				if got := len(x.Pool.extra); got != 0 {
					t.Errorf("connections beyond the limit: got %d, want 0", got)
				}
			})
		}
	}
}

// resettingDialer opens connections, of which the first ones are reset while they are opened.
type resettingDialer struct{ resets int }

func (d *resettingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.resets > 0 {
		d.resets--
		return nil, syscall.ECONNRESET
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// TestUpstreamsThatResetConnectionsAreReached guards against whole answers that count as broken off, as their upstream has too
// many connections and resets those beyond.
func TestUpstreamsThatResetConnectionsAreReached(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	upstream := &tracker.Upstream{
		Name:    "u1",
		Address: listener.Addr().String(),
		Local:   &tracker.LocalState{},
	}
	for name, limit := range map[string]int{"at the limit": 0, "below it": 2} {
		for kind, resets := range map[string]int{"once open": 0, "while the first is opened": 1, "while both are opened": 2} {
			t.Run(name+", "+kind, func(t *testing.T) {
				p := &Pool{
					MaxConnections: func(*tracker.Upstream) int { return limit },
					Dialer:         &resettingDialer{resets: resets},
				}
				if err := p.ProbeFor(t.Context(), upstream, probeTime); err != nil {
					t.Errorf("probe: got %v, want no error", err)
				}
			})
		}
	}
}

// Guards against answers without a length that their upstream broke off and that reach callers as
// complete, and against whole ones that do not reach them.
func TestBrokenOffAnswersAreNotComplete(t *testing.T) {
	cases := map[string]struct {
		answer string
		// reached is set where another entry reaches the upstream.
		reached bool
		want    dispatcher.ResultKind
	}{
		"whole":                        {answer: okHead + "\r\nhi" + closeMarker, want: dispatcher.Answered},
		"reset":                        {answer: okHead + "\r\nhi" + resetMarker, want: dispatcher.OutcomeUnknown},
		"upstream ended":               {answer: okHead + "\r\nhi" + endMarker, want: dispatcher.OutcomeUnknown},
		"upstream refuses connections": {answer: okHead + "\r\nhi" + endMarker, reached: true, want: dispatcher.Answered},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(int, int, string) string { return c.answer })
			x := newExchanger(&fakeGuard{})
			x.HasEnded = func(context.Context, *tracker.Upstream) bool { return !c.reached }
			result := x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
			if result.Kind != c.want {
				t.Errorf("result: got %v (%v), want %v", result.Kind, result.Err, c.want)
			}
			if c.want == dispatcher.Answered && string(result.Answer.Body) != "hi" {
				t.Errorf("body: got %q, want %q", result.Answer.Body, "hi")
			}
		})
	}
}

// unreliableDialer opens the first connection, and fails to open the next ones with the given errors. Those after them
// are opened if opens is set.
type unreliableDialer struct {
	errs  []error
	opens bool

	dials int
}

func (d *unreliableDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.dials++
	switch failed := d.dials - 2; {
	case d.dials == 1, d.opens && failed >= len(d.errs):
		return (&net.Dialer{}).DialContext(ctx, network, address)
	default:
		return nil, d.errs[min(failed, len(d.errs)-1)]
	}
}

// Guards against a broken-off answer that counts as complete because the connection that would show whether its
// upstream still runs is not opened in time, and against a whole one that counts as broken off as soon as one is not.
func TestAnswersWithoutAKnownEndAreNotComplete(t *testing.T) {
	slow, refused := os.ErrDeadlineExceeded, syscall.ECONNREFUSED
	cases := map[string]struct {
		dialer unreliableDialer
		// reached is set where another entry reaches the upstream.
		reached bool
		whole   bool
	}{
		"no answer":                      {dialer: unreliableDialer{errs: []error{slow}}},
		"no answer, others reach it":     {dialer: unreliableDialer{errs: []error{slow}}, reached: true, whole: true},
		"refused after a time-out":       {dialer: unreliableDialer{errs: []error{slow, refused}}},
		"accepted after a time-out":      {dialer: unreliableDialer{errs: []error{slow}, opens: true}, whole: true},
		"accepted after three time-outs": {dialer: unreliableDialer{errs: []error{slow, slow, slow}, opens: true}, whole: true},
		"no file descriptors":            {dialer: unreliableDialer{errs: []error{syscall.EMFILE}}},
	}
	for name, c := range cases {
		for kind, isStream := range map[string]bool{"answer": false, "stream": true} {
			t.Run(name+", "+kind, func(t *testing.T) {
				u := newUpstream(t, func(int, int, string) string {
					return okHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n" + closeMarker
				})
				dialer := c.dialer
				x := newExchanger(&fakeGuard{})
				x.Pool.Dialer = &dialer
				x.HasEnded = func(context.Context, *tracker.Upstream) bool { return !c.reached }
				call := newCall()
				call.Stream = isStream
				call.Repeatable = true
				s := &recordingSink{}
				result := x.Exchange(t.Context(), call, 1, u.Upstream, &dispatcher.Stream{Sink: s})
				want := dispatcher.OutcomeUnknown
				if c.whole {
					want = dispatcher.Answered
				}
				if result.Kind != want || isStream && s.ended != c.whole {
					t.Errorf("result: got %v (%v) with the caller's stream ended %t, want %v", result.Kind, result.Err, s.ended, want)
				}
			})
		}
	}
}

// Guards against a broken-off answer that counts as complete because its call's time ends before it is known whether
// the upstream still runs.
func TestAnswersThatEndWithTheirTimeAreNotComplete(t *testing.T) {
	u := newUpstream(t, func(int, int, string) string { return okHead + "\r\nhi" + closeMarker })
	x := newExchanger(&fakeGuard{})
	x.Pool.Dialer = &unreliableDialer{errs: []error{os.ErrDeadlineExceeded}}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	result := x.Exchange(ctx, newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
	if got, want := result.Kind, dispatcher.OutcomeUnknown; got != want {
		t.Errorf("result: got %v (%v), want %v", got, result.Err, want)
	}
}

// batchingSink records what the caller has received, without the events that are buffered.
type batchingSink struct {
	recordingSink
	buffering bool
	buffered  []byte
}

func (s *batchingSink) SetBuffering(hold bool) { s.buffering = hold }

func (s *batchingSink) Event(offset units.Tokens, data []byte) error {
	s.buffered = append(s.buffered, data...)
	if s.buffering {
		return nil
	}
	data, s.buffered = s.buffered, nil
	return s.recordingSink.Event(offset, data)
}

// Guards against whole events that do not reach callers because the next one was broken off.
func TestWholeEventsDoNotWaitForTheNextOne(t *testing.T) {
	cases := map[string]string{
		"line feeds":       "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"carriage returns": "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
	}
	for name, whole := range cases {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(int, int, string) string {
				return okHead + "Content-Type: text/event-stream\r\n\r\n" + whole + "id: 3\ndata" + resetMarker
			})
			call := newCall()
			call.Stream = true
			s := &batchingSink{}
			result := newExchanger(&fakeGuard{}).Exchange(t.Context(), call, 1, u.Upstream, &dispatcher.Stream{Sink: s})
			if got, want := result.Kind, dispatcher.Unresumable; got != want {
				t.Errorf("result: got %v (%v), want %v", got, result.Err, want)
			}
			if got := s.text.String(); got != whole {
				t.Errorf("caller received %q, want %q", got, whole)
			}
		})
	}
}

// TestEndsReadAfterAPause guards against answers that count as complete as another process accepts connections in the place of
// the upstream, which ended while this process was frozen.
func TestEndsReadAfterAPause(t *testing.T) {
	cases := map[string]struct {
		identity    string
		incarnation units.Incarnation
		running     bool
		// later is set where the pause comes after the end was read.
		later    bool
		withheld bool
		want     dispatcher.ResultKind
	}{
		"process ran":               {identity: statedIdentity(8), incarnation: 7, running: true, want: dispatcher.Answered},
		"same incarnation":          {identity: statedIdentity(7), incarnation: 7, want: dispatcher.Answered},
		"another incarnation":       {identity: statedIdentity(8), incarnation: 7, want: dispatcher.OutcomeUnknown},
		"paused after the end":      {identity: statedIdentity(8), incarnation: 7, later: true, want: dispatcher.OutcomeUnknown},
		"states none":               {identity: noReport, incarnation: 7, want: dispatcher.OutcomeUnknown},
		"no answer to the question": {identity: "", incarnation: 7, want: dispatcher.OutcomeUnknown},
		"must not be asked":         {identity: statedIdentity(7), incarnation: 7, withheld: true, want: dispatcher.OutcomeUnknown},
		"new name at each start":    {identity: statedIdentity(0), want: dispatcher.OutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(_, _ int, head string) string {
				if strings.HasPrefix(head, "GET /identity ") {
					return c.identity
				}
				return okHead + "\r\nhi" + closeMarker
			})
			u.Incarnation = c.incarnation
			x := newExchanger(&fakeGuard{})
			asked := 0
			x.HasPaused = func() bool {
				asked++
				return !c.running && (!c.later || asked > 1)
			}
			x.MayAsk = func(*tracker.Upstream) bool { return !c.withheld }
			result := x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
			if result.Kind != c.want {
				t.Errorf("result: got %v (%v), want %v", result.Kind, result.Err, c.want)
			}
		})
	}
}
