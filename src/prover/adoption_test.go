package prover

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/stager"
)

const (
	shortDrain = time.Second
	otherKey   = "forth-estates.example-secret"
	firstKey   = "strath-sweeps.example-secret"
)

// fullResponse is a response whose body was read to its end.
type fullResponse struct {
	status int
	header http.Header
	body   string
}

// requestFull sends one request; status 0 means that no complete response was received.
func requestFull(ctx context.Context, method, url, apiKey, body string) fullResponse {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return fullResponse{}
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fullResponse{}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return fullResponse{}
	}
	return fullResponse{
		status: response.StatusCode,
		header: response.Header,
		body:   string(content),
	}
}

// awaitAnswer waits until an entry returns the answer to a call.
func awaitAnswer(t *testing.T, entry *stager.Node, location string) string {
	t.Helper()
	var answer string
	await(t, "the answer at "+location, func() bool {
		response := requestFull(t.Context(), http.MethodGet, entry.CallerURL()+location, firstKey, "")
		answer = response.body
		return response.status == http.StatusOK
	})
	return answer
}

// An entry stops while a booking runs that takes longer than the drain timeout.
// Its caller must get the location of the answer. The booking must continue and run
// only once, and any other entry must return the answer to that client account only.
func TestStoppingEntryRedirectsBookingCaller(t *testing.T) {
	cluster, diary := startDiary(t, 4, 3*time.Second, hearthline)
	cluster.Entries[3].Kill()
	cluster.Timing.DrainTimeout = shortDrain
	if err := cluster.Start(cluster.Entries[3]); err != nil {
		t.Fatal(err)
	}
	if err := cluster.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	await(t, "the diary at the entry", func() bool { return len(entryDump(t, cluster.Entries[3]).Upstreams) > 0 })
	replies := make(chan fullResponse, 1)
	go func() {
		replies <- requestFull(context.WithoutCancel(t.Context()), http.MethodPost,
			cluster.Entries[3].CallerURL()+"/diary/bookings", firstKey, `{"flue":1}`)
	}()
	await(t, "the run", func() bool { return countDiaryRuns(t, diary) == 1 })
	cluster.Entries[3].Signal(syscall.SIGTERM)
	accepted := <-replies
	if got, want := accepted.status, http.StatusAccepted; got != want {
		t.Fatalf("status: got %d, want %d", got, want)
	}
	location := accepted.header.Get("Location")
	if got, want := location, "/v1/calls/"+accepted.header.Get("Idempotency-Key"); got != want {
		t.Errorf("location: got %q, want %q", got, want)
	}
	response := requestFull(t.Context(), http.MethodGet, cluster.Entries[0].CallerURL()+location, firstKey, "")
	if got, want := response.status, http.StatusAccepted; got != want {
		t.Errorf("status while the booking runs: got %d, want %d", got, want)
	}
	if got, want := awaitAnswer(t, cluster.Entries[0], location), `"flue":1`; !strings.Contains(got, want) {
		t.Errorf("collected answer: got %s, want %s in it", got, want)
	}
	response = requestFull(t.Context(), http.MethodGet, cluster.Entries[1].CallerURL()+location, otherKey, "")
	if got, want := response.status, http.StatusNotFound; got != want {
		t.Errorf("status for another client account: got %d, want %d", got, want)
	}
	if got, want := countDiaryRuns(t, diary), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// An entry stops while a stream runs that takes longer than the drain timeout. The
// stream must end with an event that names the location of the complete answer, and
// without the final marker; another entry takes over the call and returns all of it.
func TestStoppingEntryHandsOverStream(t *testing.T) {
	const tokens = 1500
	cluster := newCluster(t)
	cluster.Timing.DrainTimeout = shortDrain
	startFleet(t, cluster, 1, 3)
	if _, err := cluster.StartUpstream("engine", "ember-1", "--service", "ember-llm", "--model", "ember-1", "--data-centre", "dc-a"); err != nil {
		t.Fatal(err)
	}
	apply(t, cluster, hearthline)
	if err := cluster.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	await(t, "the engine at each entry", func() bool {
		return len(entryDump(t, cluster.Entries[0]).Upstreams) > 0 && len(entryDump(t, cluster.Entries[1]).Upstreams) > 0 &&
			len(entryDump(t, cluster.Entries[2]).Upstreams) > 0
	})
	body := fmt.Sprintf(`{"model":"ember-1","stream":true,"max_tokens":%d,"prompt":"a long summary"}`, tokens)
	contents := make(chan string, 1)
	go func() {
		contents <- requestFull(context.WithoutCancel(t.Context()), http.MethodPost,
			cluster.Entries[0].CallerURL()+"/v1/completions", firstKey, body).body
	}()
	await(t, "the stream at the entry", func() bool { return entryDump(t, cluster.Entries[0]).Upstreams[0].InFlight > 0 })
	cluster.Entries[0].Signal(syscall.SIGTERM)
	content := <-contents
	if got, want := content, "[DONE]"; strings.Contains(got, want) {
		t.Fatalf("end of the stream: got its final marker, want none")
	}
	_, event, found := strings.Cut(content, "event: moved\ndata: {\"location\":\"")
	location, _, _ := strings.Cut(event, `"`)
	if got, want := found, true; got != want {
		t.Fatalf("a moved event: got %t, want %t; the end is %q", got, want, content[max(0, len(content)-200):])
	}
	answer := awaitAnswer(t, cluster.Entries[1], location)
	if got, want := answer, fmt.Sprintf(`"completion_tokens":%d`, tokens); !strings.Contains(got, want) {
		t.Errorf("collected answer: got %.200s, want %s in it", got, want)
	}
}
