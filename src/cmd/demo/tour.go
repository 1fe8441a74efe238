package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rosecroft/rosecroft/src/stager"
)

const (
	apiKey      = "strath-sweeps.example-secret"
	tokens      = 120
	callTimeout = 20 * time.Second
	shortPause  = 50 * time.Millisecond
	settleTime  = 500 * time.Millisecond
)

// tour makes calls while an entry and an engine leave.
type tour struct {
	stage   *stager.Stage
	engines []*stager.Upstream
	diary   *stager.Upstream

	mu       sync.Mutex
	answered int
	lost     int
	bookings int
}

// visit makes rounds of calls; an engine gets its notice in the second and an entry in the fourth.
func (t *tour) visit(ctx context.Context) {
	var calls sync.WaitGroup
	for round := range rounds {
		calls.Go(func() { t.book(ctx, round) })
		calls.Go(func() { t.ask(ctx, round, false) })
		calls.Go(func() { t.ask(ctx, round, true) })
		time.Sleep(settleTime / 5)
		switch round {
		case 1:
			fmt.Println("-- engine ember-1 is reclaimed, with notice")
			t.engines[0].Signal(syscall.SIGTERM)
		case 3:
			fmt.Println("-- entry e3 stops")
			t.stage.Entries[2].Signal(syscall.SIGTERM)
		}
	}
	calls.Wait()
	fmt.Println("-- entry e2 dies without notice")
	t.stage.Entries[1].Kill()
	t.book(ctx, rounds)
	t.ask(ctx, rounds, true)
}

// book makes one booking, which must not run twice.
func (t *tour) book(ctx context.Context, round int) {
	body := fmt.Sprintf(`{"flue":%d}`, round)
	content, err := t.call(ctx, round, "/diary/bookings", body, fmt.Sprintf("booking-%d", round))
	t.mu.Lock()
	t.bookings++
	t.mu.Unlock()
	t.count("booking", content, err)
}

// ask makes one model call.
func (t *tour) ask(ctx context.Context, round int, stream bool) {
	body := fmt.Sprintf(`{"model":"ember-1","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"summary %d"}]}`,
		stream, tokens, round)
	content, err := t.call(ctx, round, "/v1/chat/completions", body, "")
	if err == nil && stream {
		content, err = streamText(content)
	}
	t.count(fmt.Sprintf("model stream=%t", stream), content, err)
}

// call asks the entries in turn, as the balancer would, for as long as it is
// told to come back; a resend under the same key cannot run twice.
func (t *tour) call(ctx context.Context, round int, path, body, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var last error
	for try := 0; ctx.Err() == nil; try++ {
		entry := t.stage.Entries[(round+try)%entries]
		if !entry.Running() {
			continue
		}
		content, pause, err := send(ctx, entry.CallerURL()+path, body, key)
		if err == nil || pause == 0 {
			return content, err
		}
		last = err
		time.Sleep(pause)
	}
	return nil, errors.Join(errors.New("no entry took the call"), last)
}

// send makes one try; pause is how long to wait before the next, 0 for no more.
func send(ctx context.Context, url, body, key string) (content []byte, pause time.Duration, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, shortPause, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err = io.ReadAll(response.Body)
	if err != nil {
		return nil, shortPause, err
	}
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		return nil, time.Duration(seconds) * time.Second, fmt.Errorf("status %d: %s", response.StatusCode, content)
	}
	return content, 0, nil
}

// streamText returns the text of a whole stream.
func streamText(content []byte) ([]byte, error) {
	var text []byte
	for line := range strings.Lines(string(content)) {
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text, nil
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return nil, err
		}
		for _, choice := range event.Choices {
			text = append(text, choice.Delta.Content...)
		}
	}
	return nil, errors.New("the stream has no final marker")
}

func (t *tour) count(what string, content []byte, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.lost++
		fmt.Printf("%s: LOST: %v\n", what, err)
		return
	}
	t.answered++
	fmt.Printf("%s: %.60s\n", what, bytes.TrimSpace(content))
}

// verdict compares what came back with the plain service's ledger.
func (t *tour) verdict(ctx context.Context) error {
	runs, err := ledger(ctx, t.diary.URL)
	if err != nil {
		return err
	}
	doubled := 0
	for _, count := range runs {
		doubled += count - 1
	}
	doubled += max(0, len(runs)-t.bookings)
	fmt.Printf("demo answered=%d lost=%d doubled=%d\n", t.answered, t.lost, doubled)
	if t.lost > 0 || doubled > 0 {
		return errors.New("calls were lost or doubled")
	}
	return nil
}

func ledger(ctx context.Context, url string) (map[string]int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/ledger", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read the ledger: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	runs := make(map[string]int)
	return runs, json.NewDecoder(response.Body).Decode(&runs)
}
