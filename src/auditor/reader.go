package auditor

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// callEndedMessage is the message of the log lines that are evaluated; see docs/OPERATIONS.md.
const callEndedMessage = "call-ended"

// Attempt is one attempt of a call at an upstream.
type Attempt struct {
	Upstream units.Upstream
	// Result is how the attempt ended, for example "answered" or "lost".
	Result string
}

// Call is one call as logged by its entry.
type Call struct {
	Entry    units.Instance
	Service  units.Service
	Route    string
	EndedAt  time.Time
	Duration time.Duration
	// FirstByte is the time to the first byte, LongestPause the longest pause between two
	// events; both are 0 where there was none.
	FirstByte    time.Duration
	LongestPause time.Duration
	// FirstByteTarget and PauseTarget are the limits that callers want for FirstByte and
	// LongestPause, 0 for none.
	FirstByteTarget time.Duration
	PauseTarget     time.Duration
	Outcome         string
	Attempts        []Attempt
}

// StartedAt returns when the call arrived.
func (c *Call) StartedAt() time.Time { return c.EndedAt.Add(-c.Duration) }

// logLine is one line of a log.
type logLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"message"`
	Instance string    `json:"instance"`
	Service  string    `json:"service"`
	Route    string    `json:"route"`
	TookMs   int64     `json:"took-ms"`
	FirstMs  int64     `json:"first-ms"`
	PauseMs  int64     `json:"pause-ms"`
	TargetMs int64     `json:"target-ms"`
	GapMs    int64     `json:"gap-ms"`
	Outcome  string    `json:"outcome"`
	Attempts string    `json:"attempts"`
}

// Read returns the calls in a log and the number of lines that could not be decoded. A line that
// a crash has truncated does not prevent the others from being read.
func Read(log io.Reader) (calls []Call, unreadable int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		content := scanner.Bytes()
		if !bytes.Contains(content, []byte(callEndedMessage)) {
			continue
		}
		// Log collectors prefix lines with the instance or a time.
		start := bytes.IndexByte(content, '{')
		var l logLine
		if start < 0 || json.Unmarshal(content[start:], &l) != nil {
			unreadable++
			continue
		}
		if l.Message == callEndedMessage {
			calls = append(calls, l.call())
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("read log: %w; make sure that its lines have at most %d bytes", err, maxLineBytes)
	}
	return calls, unreadable, nil
}

func (l *logLine) call() Call {
	return Call{
		Entry:           units.Instance(l.Instance),
		Service:         units.Service(l.Service),
		Route:           l.Route,
		EndedAt:         l.Time,
		Duration:        milliseconds(l.TookMs),
		FirstByte:       milliseconds(l.FirstMs),
		LongestPause:    milliseconds(l.PauseMs),
		FirstByteTarget: milliseconds(l.TargetMs),
		PauseTarget:     milliseconds(l.GapMs),
		Outcome:         l.Outcome,
		Attempts:        parseAttempts(l.Attempts),
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// parseAttempts parses the attempts of a log line, for example "a lost: reset; b answered".
func parseAttempts(attempts string) []Attempt {
	var visits []Attempt
	for _, attempt := range strings.Split(attempts, "; ") {
		upstream, end, found := strings.Cut(attempt, " ")
		if !found {
			continue
		}
		end, _, _ = strings.Cut(end, ":")
		visits = append(visits, Attempt{
			Upstream: units.Upstream(upstream),
			Result:   end,
		})
	}
	return visits
}
