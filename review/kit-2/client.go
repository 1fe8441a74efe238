package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is what a client asks for.
type request struct {
	path      string
	timeLimit time.Duration
	stream    bool
}

// answer is what a client got.
type answer struct {
	attempt string
	sentAt  time.Time
	status  int
	// signed is set if the answer bears an engine's signature.
	signed bool
	// events is how many events of a stream arrived, and total how many its engine has stated.
	events, total int
	// complete is set if the answer did not look broken off.
	complete bool
}

// clients keep their connections.
var clients = &http.Client{Transport: &http.Transport{
	DisableCompression:  true,
	MaxIdleConnsPerHost: 64,
	IdleConnTimeout:     10 * time.Second,
}}

// send sends one request to an entry and reads its answer.
func (f *fleet) send(entry *process, r request) answer {
	a := answer{
		attempt: fmt.Sprintf("%016x", rand.Uint64()),
		sentAt:  time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.timeLimit)
	defer cancel()
	sent, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.outsideAddress()+r.path, strings.NewReader("one request"))
	if err != nil {
		f.record.add("request %s: %v", a.attempt, err)
		return a
	}
	// The body can be read once only: the transport does not send the request again by itself.
	sent.GetBody = nil
	sent.Host = host
	sent.Header.Set("X-Attempt-Id", a.attempt)
	sent.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.timeLimit.Milliseconds(), 10))
	sent.Header.Set("X-Key", apiKey)
	if r.stream {
		sent.Header.Set("X-Model", "m")
		sent.Header.Set("X-Token-Counts", "660,385")
		sent.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:400,%s:260", a.attempt))
	}
	f.record.add("request %s sent to %s: %s", a.attempt, entry.name, r.path)
	response, err := clients.Do(sent)
	if err != nil {
		f.record.add("request %s has no answer: %v", a.attempt, err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	a.signed = response.Header.Get(headerSignature) != ""
	if r.stream && a.status == http.StatusOK {
		a.readEvents(response.Body)
	} else {
		_, err = io.Copy(io.Discard, response.Body)
		a.complete = err == nil
	}
	f.record.add("request %s gets %d, signed %t, complete %t, events %d of %d", a.attempt, a.status, a.signed, a.complete, a.events, a.total)
	return a
}

// readEvents reads a stream to its end. The data of each event is its number, from 1, and that of all.
func (a *answer) readEvents(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		number, total, _ := strings.Cut(data, "/")
		n, err := strconv.Atoi(number)
		if err != nil || n != a.events+1 {
			return
		}
		a.events = n
		a.total, _ = strconv.Atoi(total)
	}
	a.complete = lines.Err() == nil
}

// bookSteadily lets clients book one after the other at all entries in turn, with a pause after each answer, until the
// returned function is called, which returns the answers.
func (f *fleet) bookSteadily(clientCount int, pause time.Duration) (stop func() []answer) {
	var mu sync.Mutex
	var answers []answer
	stopped := make(chan struct{})
	var group sync.WaitGroup
	for i := range clientCount {
		group.Go(func() {
			for n := i; ; n++ {
				a := f.send(f.entries[n%len(f.entries)], request{path: bookPath, timeLimit: 1500 * time.Millisecond})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				select {
				case <-stopped:
					return
				case <-time.After(pause):
				}
			}
		})
	}
	return func() []answer {
		close(stopped)
		group.Wait()
		return answers
	}
}
