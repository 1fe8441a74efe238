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

// mostLine bounds one line of a log, in bytes.
const mostLine = 1 << 20

// callEnded is the message of the lines that are read; see docs/OPERATIONS.md.
const callEnded = "call-ended"

// Visit is one attempt of a call at an upstream.
type Visit struct {
	Upstream units.Upstream
	// End is how the attempt ended, such as "answered" or "lost".
	End string
}

// Call is one call as its entry's log tells of it.
type Call struct {
	Entry   units.Instance
	Service units.Service
	Route   string
	Ended   time.Time
	Took    time.Duration
	// First is the time to the first byte, Pause the longest pause between two events;
	// both are 0 where there was none.
	First time.Duration
	Pause time.Duration
	// Target and Gap are the most that callers want First and Pause to be, 0 for any.
	Target  time.Duration
	Gap     time.Duration
	Outcome string
	Visits  []Visit
}

// Began returns when the call arrived.
func (c *Call) Began() time.Time { return c.Ended.Add(-c.Took) }

// line is one line of a log.
type line struct {
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

// Read returns the calls that a log tells of, and how many lines could not be read: one
// that a crash has cut short does not hide the others.
func Read(log io.Reader) (calls []Call, unread int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, mostLine)
	for scanner.Scan() {
		content := scanner.Bytes()
		if !bytes.Contains(content, []byte(callEnded)) {
			continue
		}
		// Collectors of logs put the instance or a time before each line.
		start := bytes.IndexByte(content, '{')
		var l line
		if start < 0 || json.Unmarshal(content[start:], &l) != nil {
			unread++
			continue
		}
		if l.Message == callEnded {
			calls = append(calls, l.call())
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("read the log: %w; see that it has lines of at most %d bytes", err, mostLine)
	}
	return calls, unread, nil
}

func (l *line) call() Call {
	return Call{
		Entry:   units.Instance(l.Instance),
		Service: units.Service(l.Service),
		Route:   l.Route,
		Ended:   l.Time,
		Took:    milliseconds(l.TookMs),
		First:   milliseconds(l.FirstMs),
		Pause:   milliseconds(l.PauseMs),
		Target:  milliseconds(l.TargetMs),
		Gap:     milliseconds(l.GapMs),
		Outcome: l.Outcome,
		Visits:  visits(l.Attempts),
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// visits reads the attempts of a line, such as "a lost: reset; b answered".
func visits(attempts string) []Visit {
	var visits []Visit
	for _, attempt := range strings.Split(attempts, "; ") {
		upstream, end, found := strings.Cut(attempt, " ")
		if !found {
			continue
		}
		end, _, _ = strings.Cut(end, ":")
		visits = append(visits, Visit{
			Upstream: units.Upstream(upstream),
			End:      end,
		})
	}
	return visits
}
