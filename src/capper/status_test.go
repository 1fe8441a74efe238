package capper

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a status that is none and is passed on, or taken for an informational response, by either of the two ways in
// which answers are read.
func TestStatusesThatAreNoneAreErrors(t *testing.T) {
	cases := map[string]int{"000": -1, "001": -1, "099": -1, "101": -1, "600": -1, "999": -1, "200": 200, "302": 302, "599": 599}
	for status, want := range cases {
		answer := "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nhi"
		read := map[string]func() (*http.Response, error){
			"reader": func() (*http.Response, error) {
				return NewReader(strings.NewReader(answer), testBuffer).ReadResponse(&http.Request{Method: http.MethodPost}, (&Capper{}).NewHold())
			},
			"transport": func() (*http.Response, error) { return roundTrip(t, answer) },
		}
		for kind, response := range read {
			t.Run(status+", "+kind, func(t *testing.T) {
				got, err := response()
				if got != nil {
					defer func() { _ = got.Body.Close() }()
				}
				var invalid *InvalidStatusError
				switch {
				case want < 0 && (!errors.As(err, &invalid) || fmt.Sprintf("%03d", invalid.Status) != status):
					t.Errorf("error: got %v, want one that names the status", err)
				case want >= 0 && (err != nil || got.StatusCode != want):
					t.Errorf("answer: got error %v, want status %d", err, want)
				}
			})
		}
	}
}

// roundTrip makes one request to a server that gives an answer.
func roundTrip(t *testing.T, answer string) (*http.Response, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.ReadAtLeast(c, make([]byte, testBuffer), len("POST / HTTP/1.1\r\n\r\n"))
		_, _ = io.WriteString(c, answer)
		_, _ = io.Copy(io.Discard, c)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String(), http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	return NewDefaultTransport().RoundTrip(request)
}
