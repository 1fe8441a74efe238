package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HeaderReference carries the load generator's identifier of a call to the
// upstream's journal.
const HeaderReference = "X-Reference"

const headerCall = "Rosecroft-Call"

const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	maxEventLine  = 1 << 20
)

// caller makes one call and retries it until its deadline, like a client that
// follows Retry-After.
type caller struct {
	client   *http.Client
	balancer *Balancer
	outcome  *Outcome
	workload *Workload
	body     string
	// due is the scheduled time of the call, from which latencies are measured.
	due time.Time
	// path is the path of the next attempt; it changes to the location of the
	// answer where an entry returned one.
	path string
	// retryRefused makes the caller retry calls that were refused as not run.
	retryRefused bool
}

// attempt is the result of sending the call once.
type attempt struct {
	result Result
	// retry reports whether the call may be sent again, after retryDelay.
	retry      bool
	retryDelay time.Duration
}

// run sends the call until it has a final answer or its deadline has passed.
func (c *caller) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, c.due.Add(c.workload.Deadline))
	defer cancel()
	c.path = c.workload.Path
	for {
		c.outcome.Attempts++
		sent := time.Now()
		last := c.send(ctx)
		c.outcome.Result = last.result
		c.outcome.Latency = time.Since(c.due)
		if last.result == NotRun {
			c.outcome.RefusalLatency = time.Since(sent)
		}
		if !last.retry || (last.result == NotRun && !c.retryRefused) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(last.retryDelay):
		}
	}
}

func (c *caller) send(ctx context.Context) attempt {
	request, err := c.newRequest(ctx)
	if err != nil {
		return c.lostAttempt(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return c.lostAttempt(err)
	}
	defer func() { _ = response.Body.Close() }()
	c.outcome.Status = response.StatusCode
	switch {
	case response.StatusCode == http.StatusAccepted:
		return c.followLocation(response)
	case response.StatusCode >= http.StatusBadRequest:
		return c.readRefusal(response)
	case strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		return c.readStream(response.Body)
	}
	return c.readBody(response.Body)
}

func (c *caller) newRequest(ctx context.Context) (*http.Request, error) {
	method := http.MethodPost
	if c.workload.Kind == Read || c.path != c.workload.Path {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, c.balancer.Pick()+c.path, strings.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	request.Host = c.workload.Host
	request.Header.Set("Authorization", "Bearer "+c.workload.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderReference, c.outcome.Reference)
	// An upstream that is called without an entry identifies calls by this header;
	// an entry replaces it.
	request.Header.Set(headerCall, c.outcome.Reference)
	if c.workload.Kind == NonRepeatable {
		request.Header["Idempotency-Key"] = []string{c.outcome.Key}
		request.GetBody = nil
	}
	return request, nil
}

// lostAttempt returns the result of an attempt without a complete answer. It is
// retried, which the idempotency key makes safe.
func (c *caller) lostAttempt(err error) attempt {
	c.outcome.Detail = err.Error()
	return attempt{
		result:     Lost,
		retry:      true,
		retryDelay: minRetryDelay,
	}
}

// cutAttempt returns the result of an attempt whose stream ended early; the retry
// requests the whole stream again.
func (c *caller) cutAttempt(err error) attempt {
	c.outcome.Cuts++
	return c.lostAttempt(err)
}

func (c *caller) readRefusal(response *http.Response) attempt {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return c.lostAttempt(err)
	}
	var problem struct {
		Title    string `json:"title"`
		Detail   string `json:"detail"`
		Executed string `json:"executed"`
	}
	_ = json.Unmarshal(content, &problem)
	c.outcome.Detail = problem.Title + ": " + problem.Detail
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	// A retry with the same key returns the outcome of the call; an answer without
	// Retry-After is final.
	refusal := attempt{
		result:     Unknown,
		retry:      err == nil,
		retryDelay: min(max(minRetryDelay, time.Duration(seconds)*time.Second), maxRetryDelay),
	}
	if problem.Executed == "no" {
		refusal.result = NotRun
	}
	return refusal
}

// followLocation directs the next attempt to where the entry says that the answer
// can be collected.
func (c *caller) followLocation(response *http.Response) attempt {
	c.path = response.Header.Get("Location")
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return attempt{
		result:     Lost,
		retry:      c.path != "",
		retryDelay: max(minRetryDelay, time.Duration(seconds)*time.Second),
	}
}

func (c *caller) readBody(body io.Reader) attempt {
	content, err := io.ReadAll(body)
	if err != nil {
		return c.lostAttempt(err)
	}
	c.outcome.Answer = content
	if !json.Valid(content) {
		c.outcome.Detail = "the answer is not whole JSON"
		return attempt{result: Failed}
	}
	if c.workload.Kind == NonStreaming {
		c.outcome.Tokens = c.workload.OutputTokens
	}
	return attempt{result: Answered}
}

// event holds the fields of a stream event that callers read.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func (c *caller) readStream(body io.Reader) attempt {
	var gaps []time.Duration
	var text bytes.Buffer
	tokens := 0
	last := time.Now()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLine)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return c.finishStream(tokens, gaps, text.Bytes())
		}
		parsed := &event{}
		if err := json.Unmarshal([]byte(data), parsed); err != nil || len(parsed.Choices) == 0 {
			return c.cutAttempt(fmt.Errorf("the stream ended with %.200s", data))
		}
		now := time.Now()
		if tokens == 0 {
			c.outcome.FirstToken = now.Sub(c.due)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
		tokens++
		text.WriteString(parsed.Choices[0].Text)
	}
	return c.cutAttempt(errors.Join(errors.New("the stream has no final marker"), lines.Err()))
}

func (c *caller) finishStream(tokens int, gaps []time.Duration, text []byte) attempt {
	c.outcome.Tokens = tokens
	c.outcome.GapP95 = percentile(gaps, 0.95)
	c.outcome.Answer = text
	if tokens != c.workload.OutputTokens {
		c.outcome.Detail = fmt.Sprintf("%d tokens of %d", tokens, c.workload.OutputTokens)
		return attempt{result: Failed}
	}
	return attempt{result: Answered}
}
