package exchanger

import (
	"testing"

	"github.com/rosecroft/rosecroft/src/dispatcher"
)

// Guards against an upstream's end that is taken for another fault, or another fault for its end,
// and against a call that had its answer taken for one that had not begun.
func TestLostExchangeSaysHowItEnded(t *testing.T) {
	events := okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct {
		answer    string
		cut       bool
		answering bool
	}{
		"no answer":               {answer: "", cut: true},
		"cut in the head":         {answer: "HTTP/1.1 200 OK\r\nId: c1" + closeMark, cut: true},
		"cut in the body":         {answer: okHead + "Content-Length: 5\r\n\r\nhi" + closeMark, cut: true, answering: true},
		"cut behind a head":       {answer: events + closeMark, cut: true},
		"cut in the first event":  {answer: events + chunk("id: 0\nda") + closeMark, cut: true},
		"cut behind an event":     {answer: events + chunk("id: 0\ndata: a\n\n") + closeMark, cut: true, answering: true},
		"no HTTP":                 {answer: "garbage\r\n\r\n" + closeMark},
		"of another call":         {answer: "HTTP/1.1 200 OK\r\nId: c2\r\nProof: p\r\nContent-Length: 2\r\n\r\nhi"},
		"whole":                   {answer: whole},
		"refused before it ran":   {answer: "HTTP/1.1 503 Busy\r\nId: c1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		"ends with its last byte": {answer: okHead + "\r\nhi" + closeMark},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(int, int, string) string { return c.answer })
			call := newCall()
			call.Stream = true
			result := newExchanger(&guard{}).Exchange(t.Context(), call, 1, u.Upstream, &dispatcher.Stream{Sink: &sink{}})
			if result.Cut != c.cut {
				t.Errorf("cut: got %t (%v), want %t", result.Cut, result.Err, c.cut)
			}
			if got := result.Cut && result.Answering > 0; got != c.answering {
				t.Errorf("answering: got %t, want %t", got, c.answering)
			}
		})
	}
}
