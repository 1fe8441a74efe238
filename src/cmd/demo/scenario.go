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
	apiKey       = "strath-sweeps.example-secret"
	outputTokens = 120
	callTimeout  = 20 * time.Second
	retryDelay   = 50 * time.Millisecond
	settleTime   = 500 * time.Millisecond
)

// scenario makes calls while an engine and two entries leave, and counts the results.
type scenario struct {
	cluster      *stager.Cluster
	engines      []*stager.Upstream
	plainService *stager.Upstream

	mu           sync.Mutex
	answered     int
	lost         int
	bookingCount int
}

// run makes rounds of calls. An engine gets its notice in the second round and an entry
// is stopped in the fourth; after the last round another entry is killed.
func (s *scenario) run(ctx context.Context) {
	var calls sync.WaitGroup
	for round := range rounds {
		calls.Go(func() { s.makeBooking(ctx, round) })
		calls.Go(func() { s.callModel(ctx, round, false) })
		calls.Go(func() { s.callModel(ctx, round, true) })
		time.Sleep(settleTime / 5)
		switch round {
		case 1:
			fmt.Println("-- engine ember-1 is reclaimed, with notice")
			s.engines[0].Signal(syscall.SIGTERM)
		case 3:
			fmt.Println("-- entry e3 stops")
			s.cluster.Entries[2].Signal(syscall.SIGTERM)
		}
	}
	calls.Wait()
	fmt.Println("-- entry e2 dies without notice")
	s.cluster.Entries[1].Kill()
	s.makeBooking(ctx, rounds)
	s.callModel(ctx, rounds, true)
}

// makeBooking calls the plain service with an idempotency key; the call must not run twice.
func (s *scenario) makeBooking(ctx context.Context, round int) {
	body := fmt.Sprintf(`{"flue":%d}`, round)
	content, err := s.sendWithRetries(ctx, round, "/diary/bookings", body, fmt.Sprintf("booking-%d", round))
	s.mu.Lock()
	s.bookingCount++
	s.mu.Unlock()
	s.recordResult("booking", content, err)
}

// callModel makes one model call, streamed or whole.
func (s *scenario) callModel(ctx context.Context, round int, stream bool) {
	body := fmt.Sprintf(`{"model":"ember-1","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"summary %d"}]}`,
		stream, outputTokens, round)
	content, err := s.sendWithRetries(ctx, round, "/v1/chat/completions", body, "")
	if err == nil && stream {
		content, err = streamText(content)
	}
	s.recordResult(fmt.Sprintf("model stream=%t", stream), content, err)
}

// sendWithRetries sends a call to the entries in turn, as the platform's balancer would,
// and retries for as long as the responses allow it. A resend with the same idempotency
// key does not run twice.
func (s *scenario) sendWithRetries(ctx context.Context, round int, path, body, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var lastErr error
	for attempt := 0; ctx.Err() == nil; attempt++ {
		entry := s.cluster.Entries[(round+attempt)%entries]
		if !entry.Running() {
			continue
		}
		content, delay, err := sendOnce(ctx, entry.CallerURL()+path, body, key)
		if err == nil || delay == 0 {
			return content, err
		}
		lastErr = err
		time.Sleep(delay)
	}
	return nil, errors.Join(errors.New("no entry answered the call before the timeout"), lastErr)
}

// sendOnce makes one attempt; delay is how long to wait before the next, or 0 where the
// call is not to be retried.
func sendOnce(ctx context.Context, url, body, key string) (content []byte, delay time.Duration, err error) {
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
		return nil, retryDelay, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err = io.ReadAll(response.Body)
	if err != nil {
		return nil, retryDelay, err
	}
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		return nil, time.Duration(seconds) * time.Second, fmt.Errorf("status %d: %s", response.StatusCode, content)
	}
	return content, 0, nil
}

// streamText returns the concatenated text of a complete event stream.
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
	return nil, errors.New("the stream ended without its final [DONE] event")
}

func (s *scenario) recordResult(kind string, content []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.lost++
		fmt.Printf("%s: LOST: %v\n", kind, err)
		return
	}
	s.answered++
	fmt.Printf("%s: %.60s\n", kind, bytes.TrimSpace(content))
}

// checkResults compares the results with the plain service's ledger and fails where a
// call was lost or ran twice.
func (s *scenario) checkResults(ctx context.Context) error {
	runsByCall, err := fetchLedger(ctx, s.plainService.URL)
	if err != nil {
		return err
	}
	duplicates := 0
	for _, count := range runsByCall {
		duplicates += count - 1
	}
	duplicates += max(0, len(runsByCall)-s.bookingCount)
	fmt.Printf("demo answered=%d lost=%d doubled=%d\n", s.answered, s.lost, duplicates)
	if s.lost > 0 || duplicates > 0 {
		return errors.New("calls were lost or ran twice")
	}
	return nil
}

// fetchLedger returns how often each call ran on the plain service.
func fetchLedger(ctx context.Context, url string) (map[string]int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/ledger", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read the ledger of the plain service: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	runsByCall := make(map[string]int)
	return runsByCall, json.NewDecoder(response.Body).Decode(&runsByCall)
}
