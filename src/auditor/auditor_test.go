package auditor

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// endedLine returns the log line of a call that ended at an offset from noon.
func endedLine(entry, service string, offset time.Duration, took, first, pause int, outcome, attempts string) string {
	return fmt.Sprintf(`{"level":"info","instance":%q,"service":%q,"took-ms":%d,"first-ms":%d,"pause-ms":%d,"outcome":%q,"attempts":%q,"time":%q,"message":"call-ended"}`,
		entry, service, took, first, pause, outcome, attempts, noon.Add(offset).Format(time.RFC3339Nano))
}

// The logs of the entries are the only source of the load on each instance. They must show the
// load on each entry and each upstream, how long callers waited there, and how uneven the load
// was, even if the logs contain other lines or truncated ones.
func TestLogsTellWhoCarriesTheCalls(t *testing.T) {
	log := strings.Join([]string{
		`{"message":"started","instance":"e1"}`,
		endedLine("e1", "llm", 2*time.Second, 1000, 100, 30, "answered", "a answered"),
		"12.5 e1 " + endedLine("e1", "llm", 3*time.Second, 2000, 300, 600, "answered", "b lost: reset; a answered"),
		endedLine("e2", "llm", 4*time.Second, 1000, 200, 20, "answered", "b answered"),
		endedLine("e2", "app", 4*time.Second, 50, 50, 0, "no-upstream", "c not-run: dial tcp: refused"),
		endedLine("e2", "app", 4*time.Second, 0, 0, 0, "limit-reached", ""),
		`{"message":"call-ended","instance":"e2","ser`,
		endedLine("e1", "llm", -time.Minute, 1000, 100, 30, "answered", "a answered"),
	}, "\n")
	calls, unreadable, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := unreadable, 1; got != want {
		t.Errorf("lines that could not be read: got %d, want %d", got, want)
	}
	audit := NewAudit(calls, 4*time.Second)
	entries := map[string]struct {
		calls, answered, upstreams int
		concurrency                float64
	}{
		"e1": {calls: 2, answered: 2, upstreams: 2, concurrency: 0.75},
		"e2": {calls: 3, answered: 1, upstreams: 2, concurrency: 1.05 / 4},
	}
	for _, got := range audit.Entries {
		want := entries[got.Name]
		if got.Calls != want.calls || got.Answered != want.answered || got.Counterparts != want.upstreams || fmt.Sprintf("%.3f", got.Concurrency) != fmt.Sprintf("%.3f", want.concurrency) {
			t.Errorf("entry %s: got %+v, want %+v", got.Name, got, want)
		}
	}
	upstreams := map[string]struct {
		calls, answered, entries int
		late                     time.Duration
	}{
		"a": {calls: 2, answered: 2, entries: 1, late: 300 * time.Millisecond},
		"b": {calls: 2, answered: 1, entries: 2, late: 200 * time.Millisecond},
		"c": {calls: 1, entries: 1},
	}
	for _, got := range audit.Upstreams {
		want := upstreams[got.Name]
		if got.Calls != want.calls || got.Answered != want.answered || got.Counterparts != want.entries || got.P95FirstByte != want.late {
			t.Errorf("upstream %s: got %+v, want %+v", got.Name, got, want)
		}
	}
	var shares []string
	for _, s := range audit.Distributions {
		shares = append(shares, fmt.Sprintf("%s %d %.1f", s.Service, s.Instances, s.Imbalance))
	}
	if got, want := strings.Join(shares, ", "), " 2 1.5, app 1 1.0, llm 2 1.5"; got != want {
		t.Errorf("distributions: got %q, want %q", got, want)
	}
}

func TestAuditOfNothing(t *testing.T) {
	audit := NewAudit(nil, time.Second)
	var out strings.Builder
	if err := audit.Write(&out, 0); err != nil {
		t.Fatal(err)
	}
	if got, want := out.String(), "entries"; !strings.Contains(got, want) {
		t.Errorf("table: got %q, want %q in it", got, want)
	}
}

func TestTableShowsTheBusiest(t *testing.T) {
	var lines []string
	for i := range 5 {
		lines = append(lines, endedLine("e1", "llm", time.Second, 100*(i+1), 10, 0, "answered", fmt.Sprintf("u%d answered", i)))
	}
	calls, _, err := Read(strings.NewReader(strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	audit := NewAudit(calls, time.Second)
	var out strings.Builder
	if err := audit.Write(&out, 2); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]bool{"u4": true, "u3": true, "u2": false} {
		if got := strings.Contains(out.String(), name+" "); got != want {
			t.Errorf("%s in the table of two: got %t, want %t", name, got, want)
		}
	}
}
