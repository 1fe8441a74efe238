package auditor

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// ended is a line of a call that ended so long after noon.
func ended(entry, service string, after time.Duration, took, first, pause int, outcome, attempts string) string {
	return fmt.Sprintf(`{"level":"info","instance":%q,"service":%q,"took-ms":%d,"first-ms":%d,"pause-ms":%d,"outcome":%q,"attempts":%q,"time":%q,"message":"call-ended"}`,
		entry, service, took, first, pause, outcome, attempts, noon.Add(after).Format(time.RFC3339Nano))
}

// From outside nobody can tell which instances carry the calls. The logs of the entries
// must say it: what each entry and each upstream carried, how long callers waited there,
// and how uneven it was; lines of other kinds, or cut short, must not hide it.
func TestLogsTellWhoCarriesTheCalls(t *testing.T) {
	log := strings.Join([]string{
		`{"message":"started","instance":"e1"}`,
		ended("e1", "llm", 2*time.Second, 1000, 100, 30, "answered", "a answered"),
		"12.5 e1 " + ended("e1", "llm", 3*time.Second, 2000, 300, 600, "answered", "b lost: reset; a answered"),
		ended("e2", "llm", 4*time.Second, 1000, 200, 20, "answered", "b answered"),
		ended("e2", "app", 4*time.Second, 50, 50, 0, "no-upstream", "c not-run: dial tcp: refused"),
		ended("e2", "app", 4*time.Second, 0, 0, 0, "limit-reached", ""),
		`{"message":"call-ended","instance":"e2","ser`,
		ended("e1", "llm", -time.Minute, 1000, 100, 30, "answered", "a answered"),
	}, "\n")
	calls, unread, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := unread, 1; got != want {
		t.Errorf("lines that could not be read: got %d, want %d", got, want)
	}
	audit := Take(calls, 4*time.Second)
	entries := map[string]struct {
		calls, answered, upstreams int
		underWay                   float64
	}{
		"e1": {calls: 2, answered: 2, upstreams: 2, underWay: 0.75},
		"e2": {calls: 3, answered: 1, upstreams: 2, underWay: 1.05 / 4},
	}
	for _, got := range audit.Entries {
		want := entries[got.Name]
		if got.Calls != want.calls || got.Answered != want.answered || got.Others != want.upstreams || fmt.Sprintf("%.3f", got.UnderWay) != fmt.Sprintf("%.3f", want.underWay) {
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
		if got.Calls != want.calls || got.Answered != want.answered || got.Others != want.entries || got.Late != want.late {
			t.Errorf("upstream %s: got %+v, want %+v", got.Name, got, want)
		}
	}
	var shares []string
	for _, s := range audit.Shares {
		shares = append(shares, fmt.Sprintf("%s %d %.1f", s.Of, s.Instances, s.Uneven))
	}
	if got, want := strings.Join(shares, ", "), " 2 1.5, app 1 1.0, llm 2 1.5"; got != want {
		t.Errorf("how uneven: got %q, want %q", got, want)
	}
}

func TestAuditOfNothing(t *testing.T) {
	audit := Take(nil, time.Second)
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
		lines = append(lines, ended("e1", "llm", time.Second, 100*(i+1), 10, 0, "answered", fmt.Sprintf("u%d answered", i)))
	}
	calls, _, err := Read(strings.NewReader(strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	audit := Take(calls, time.Second)
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
