package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"time"
)

// answer is what a client received.
type answer struct {
	attempt   string
	sentAt    time.Time
	status    int
	signature string
	body      []byte
	// complete is set if the answer ended as complete.
	complete bool
	err      error
}

var eventID = regexp.MustCompile(`(?m)^id: *(\d+)$`)

// events returns how many events a stream brought.
func (a *answer) events() int { return len(eventID.FindAll(a.body, -1)) }

// call sends one request for a stream, on a connection of its own and with an attempt id of its own.
func (d *deployment) call(entry *member) *answer {
	ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
	defer cancel()
	a := &answer{
		attempt: fmt.Sprintf("%016x", rand.Uint64()),
		sentAt:  time.Now(),
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.address(entry, portMain)+streamPath, bytes.NewReader([]byte("body of "+a.attempt)))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = callerHost
	request.Header.Set("X-Attempt-Id", a.attempt)
	request.Header.Set("X-Key", d.keys[0])
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(streamLimit.Milliseconds()))
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	a.signature = response.Header.Get("X-Engine-Signature")
	a.body, a.err = io.ReadAll(response.Body)
	a.complete = a.err == nil
	return a
}
