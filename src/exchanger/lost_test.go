package exchanger

import (
	"testing"

	"github.com/rosecroft/rosecroft/src/dispatcher"
)

// Guards against a lost upstream being reported as another fault or the reverse, and
// against an answer that had begun to arrive being reported as not begun.
func TestLostResultReportsTheCause(t *testing.T) {
	events := okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct {
		answer    string
		cut       bool
		answering bool
	}{
		"no answer":              {answer: "", cut: true},
		"cut in the head":        {answer: "HTTP/1.1 200 OK\r\nId: c1" + closeMarker, cut: true},
		"cut in the body":        {answer: okHead + "Content-Length: 5\r\n\r\nhi" + closeMarker, cut: true, answering: true},
		"cut after the head":     {answer: events + closeMarker, cut: true},
		"cut in the first event": {answer: events + chunk("id: 0\nda") + closeMarker, cut: true},
		"cut after an event":     {answer: events + chunk("id: 0\ndata: a\n\n") + closeMarker, cut: true, answering: true},
		"no HTTP":                {answer: "garbage\r\n\r\n" + closeMarker},
		"of another call":        {answer: "HTTP/1.1 200 OK\r\nId: c2\r\nProof: p\r\nContent-Length: 2\r\n\r\nhi"},
		"whole":                  {answer: wholeAnswer},
		"refused before it ran":  {answer: "HTTP/1.1 503 Busy\r\nId: c1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		"ends with connection":   {answer: okHead + "\r\nhi" + closeMarker},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(int, int, string) string { return c.answer })
			call := newCall()
			call.Stream = true
			result := newExchanger(&fakeGuard{}).Exchange(t.Context(), call, 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
			if result.ConnectionLost != c.cut {
				t.Errorf("cut: got %t (%v), want %t", result.ConnectionLost, result.Err, c.cut)
			}
			if got := result.ConnectionLost && result.AnswerDuration > 0; got != c.answering {
				t.Errorf("answering: got %t, want %t", got, c.answering)
			}
		})
	}
}
