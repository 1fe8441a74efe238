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

// HeaderReference carries the load's own number of a call to the upstream's journal.
const HeaderReference = "X-Reference"

const headerCall = "Rosecroft-Call"

const (
	resendPause  = 50 * time.Millisecond
	maxPause     = 2 * time.Second
	maxEventLine = 1 << 20
)

// caller makes one call and asks again as a patient client would.
type caller struct {
	client   *http.Client
	balancer *Balancer
	outcome  *Outcome
	workload *Workload
	body     string
	// due is when the call was scheduled; latencies count from it.
	due  time.Time
	path string
	// resend says whether refused calls are sent again.
	resend bool
}

// reply is the end of one send.
type reply struct {
	result Result
	// again says that the caller may send the call once more.
	again bool
	pause time.Duration
}

// run sends the call until it has a final answer.
func (c *caller) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, c.due.Add(c.workload.Deadline))
	defer cancel()
	c.path = c.workload.Path
	for {
		c.outcome.Sends++
		sent := time.Now()
		end := c.send(ctx)
		c.outcome.Result = end.result
		c.outcome.Took = time.Since(c.due)
		if end.result == NotRun {
			c.outcome.RefusedIn = time.Since(sent)
		}
		if !end.again || (end.result == NotRun && !c.resend) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(end.pause):
		}
	}
}

func (c *caller) send(ctx context.Context) reply {
	request, err := c.request(ctx)
	if err != nil {
		return c.lost(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return c.lost(err)
	}
	defer func() { _ = response.Body.Close() }()
	c.outcome.Status = response.StatusCode
	switch {
	case response.StatusCode == http.StatusAccepted:
		return c.collectLater(response)
	case response.StatusCode >= http.StatusBadRequest:
		return c.refused(response)
	case strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		return c.readStream(response.Body)
	}
	return c.readWhole(response.Body)
}

func (c *caller) request(ctx context.Context) (*http.Request, error) {
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
	// An upstream that is called straight tells calls apart by this header; an
	// entry replaces it.
	request.Header.Set(headerCall, c.outcome.Reference)
	if c.workload.Kind == Once {
		request.Header["Idempotency-Key"] = []string{c.outcome.Key}
		request.GetBody = nil
	}
	return request, nil
}

// lost is a send whose answer did not come; a key makes asking again safe.
func (c *caller) lost(err error) reply {
	c.outcome.Detail = err.Error()
	return reply{
		result: Lost,
		again:  true,
		pause:  resendPause,
	}
}

// cut is a stream that ended early; the caller asks for all of it again.
func (c *caller) cut(err error) reply {
	c.outcome.Cuts++
	return c.lost(err)
}

func (c *caller) refused(response *http.Response) reply {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return c.lost(err)
	}
	var problem struct {
		Title    string `json:"title"`
		Detail   string `json:"detail"`
		Executed string `json:"executed"`
	}
	_ = json.Unmarshal(content, &problem)
	c.outcome.Detail = problem.Title + ": " + problem.Detail
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	// Asking again under the same key is how a caller learns what became of a
	// call; an answer without Retry-After is the last.
	end := reply{
		result: Unknown,
		again:  err == nil,
		pause:  min(max(resendPause, time.Duration(seconds)*time.Second), maxPause),
	}
	if problem.Executed == "no" {
		end.result = NotRun
	}
	return end
}

// collectLater follows an entry's word where the whole answer can be had.
func (c *caller) collectLater(response *http.Response) reply {
	c.path = response.Header.Get("Location")
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return reply{
		result: Lost,
		again:  c.path != "",
		pause:  max(resendPause, time.Duration(seconds)*time.Second),
	}
}

func (c *caller) readWhole(body io.Reader) reply {
	content, err := io.ReadAll(body)
	if err != nil {
		return c.lost(err)
	}
	c.outcome.Answer = content
	if !json.Valid(content) {
		c.outcome.Detail = "the answer is not whole JSON"
		return reply{result: Failed}
	}
	if c.workload.Kind == Whole {
		c.outcome.Tokens = c.workload.OutputTokens
	}
	return reply{result: Answered}
}

// event is the part of a stream's event that callers read.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func (c *caller) readStream(body io.Reader) reply {
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
			return c.ended(tokens, gaps, text.Bytes())
		}
		parsed := &event{}
		if err := json.Unmarshal([]byte(data), parsed); err != nil || len(parsed.Choices) == 0 {
			return c.cut(fmt.Errorf("the stream ended with %.200s", data))
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
	return c.cut(errors.Join(errors.New("the stream has no final marker"), lines.Err()))
}

func (c *caller) ended(tokens int, gaps []time.Duration, text []byte) reply {
	c.outcome.Tokens = tokens
	c.outcome.GapP95 = percentile(gaps, 0.95)
	c.outcome.Answer = text
	if tokens != c.workload.OutputTokens {
		c.outcome.Detail = fmt.Sprintf("%d tokens of %d", tokens, c.workload.OutputTokens)
		return reply{result: Failed}
	}
	return reply{result: Answered}
}
