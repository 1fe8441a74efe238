package exchanger

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/dispatcher"
)

// statusTime is how long an answer whose status is none may take, far less than the time of a call.
const statusTime = time.Second

// Guards against answers of an upstream in trouble whose status is none: callers get them as answers, or wait for their time
// limit while what follows is read as the next head.
func TestStatusesThatAreNoneAreNoAnswers(t *testing.T) {
	const header = "Id: c1\r\nProof: p\r\n"
	cases := map[string]struct {
		answer string
		want   int
	}{
		"000":                         {answer: "HTTP/1.1 000 \r\n" + header + "Content-Length: 2\r\n\r\nhi"},
		"000, no length":              {answer: "HTTP/1.1 000 \r\n" + header + "\r\nhi" + closeMarker},
		"000, no body":                {answer: "HTTP/1.1 000 None\r\n" + header + "\r\n"},
		"000, then an answer":         {answer: "HTTP/1.1 000 None\r\n" + header + "Content-Length: 0\r\n\r\n" + wholeAnswer},
		"000, an answer as its body":  {answer: "HTTP/1.1 000 None\r\n" + header + "Content-Length: 70\r\n\r\n" + wholeAnswer},
		"001":                         {answer: "HTTP/1.1 001 \r\n" + header + "Content-Length: 2\r\n\r\nhi"},
		"099":                         {answer: "HTTP/1.1 099 \r\n" + header + "Content-Length: 2\r\n\r\nhi"},
		"a sign":                      {answer: "HTTP/1.1 +20 \r\n" + header + "Content-Length: 2\r\n\r\nhi"},
		"a negative zero":             {answer: "HTTP/1.1 -00 \r\n" + header + "Content-Length: 2\r\n\r\nhi"},
		"101":                         {answer: "HTTP/1.1 101 Switching Protocols\r\n" + header + "Connection: Upgrade\r\nUpgrade: x\r\n\r\nhi"},
		"101 with a length":           {answer: "HTTP/1.1 101 \r\n" + header + "Content-Length: 2\r\n\r\nhi"},
		"600":                         {answer: "HTTP/1.1 600 \r\n" + header + "Content-Length: 2\r\n\r\nhi"},
		"700":                         {answer: "HTTP/1.1 700 \r\n" + header + "Content-Length: 2\r\n\r\nhi"},
		"999":                         {answer: "HTTP/1.1 999 \r\n" + header + "Content-Length: 2\r\n\r\nhi"},
		"999, not run":                {answer: "HTTP/1.1 999 \r\n" + header + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		"000, not run":                {answer: "HTTP/1.1 000 \r\n" + header + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		"2000":                        {answer: "HTTP/1.1 2000 \r\n" + header + "Content-Length: 2\r\n\r\nhi"},
		"20":                          {answer: "HTTP/1.1 20 \r\n" + header + "Content-Length: 2\r\n\r\nhi"},
		"no status":                   {answer: "HTTP/1.1 \r\n" + header + "Content-Length: 2\r\n\r\nhi"},
		"letters":                     {answer: "HTTP/1.1 2OO OK\r\n" + header + "Content-Length: 2\r\n\r\nhi"},
		"informational, then 000":     {answer: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 \r\n" + header + "Content-Length: 2\r\n\r\nhi"},
		"informational, then answer":  {answer: "HTTP/1.1 103 Early Hints\r\n\r\n" + wholeAnswer, want: http.StatusOK},
		"unknown informational":       {answer: "HTTP/1.1 199 Whatever\r\n\r\n" + wholeAnswer, want: http.StatusOK},
		"the first that is one":       {answer: wholeAnswer, want: http.StatusOK},
		"one that has no name":        {answer: "HTTP/1.1 299 \r\n" + header + "Content-Length: 2\r\n\r\nhi", want: 299},
		"the last that is one":        {answer: "HTTP/1.1 599 \r\n" + header + "Content-Length: 2\r\n\r\nhi", want: 599},
		"an upstream's own failure":   {answer: "HTTP/1.1 500 \r\n" + header + "Content-Length: 2\r\n\r\nhi", want: http.StatusInternalServerError},
		"a redirection is passed on":  {answer: "HTTP/1.1 302 \r\n" + header + "Content-Length: 2\r\n\r\nhi", want: http.StatusFound},
		"an answer to another switch": {answer: "HTTP/1.1 426 \r\n" + header + "Content-Length: 2\r\n\r\nhi", want: http.StatusUpgradeRequired},
	}
	for name, c := range cases {
		for kind, isStream := range map[string]bool{"plain": false, "stream": true} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				u := newUpstream(t, func(int, int, string) string { return c.answer })
				x := newExchanger(&fakeGuard{})
				call := newCall()
				call.Stream = isStream
				startedAt := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 2*statusTime)
				defer cancel()
				result := x.Exchange(ctx, call, 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
				if took := time.Since(startedAt); took > statusTime {
					t.Errorf("time: got %v, want the result at once", took)
				}
				if c.want != 0 {
					if result.Kind != dispatcher.Answered || result.Answer.Status != c.want {
						t.Errorf("result: got %v (%v), want an answer with status %d", result.Kind, result.Err, c.want)
					}
					return
				}
				if got, want := result.Kind, dispatcher.OutcomeUnknown; got != want {
					t.Errorf("result: got %v (%v), want %v", got, result.Err, want)
				}
				// What follows on the connection belongs to no call.
				if x.Pool.HasIdle(u.Upstream) {
					t.Error("connection: got it kept for the next call, want it closed")
				}
			})
		}
	}
}

// Guards against a log line that does not say what was wrong with the answer.
func TestInvalidStatusIsNamed(t *testing.T) {
	u := newUpstream(t, func(int, int, string) string { return "HTTP/1.1 000 \r\nId: c1\r\nContent-Length: 0\r\n\r\n" })
	ctx, cancel := context.WithTimeout(t.Context(), 2*statusTime)
	defer cancel()
	result := newExchanger(&fakeGuard{}).Exchange(ctx, newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
	var invalid *capper.InvalidStatusError
	if !errors.As(result.Err, &invalid) || invalid.Status != 0 {
		t.Errorf("error: got %v, want one that names status 0", fmt.Sprint(result.Err))
	}
}
