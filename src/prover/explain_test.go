package prover

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/rosecroft/rosecroft/src/launcher"
	"github.com/rosecroft/rosecroft/src/stager"
)

// callModel makes a model call and returns its id and status code.
func callModel(t *testing.T, entry *stager.Node, body string) (string, int) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.CallerURL()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", exampleKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Header.Get("Rosecroft-Call-Id"), response.StatusCode
}

// An operator asks for the explanation of a call without knowing which entry served
// it. The decisions must be printed in order: the call, its admission, the
// candidates, the attempt with its upstream and result, and the outcome.
func TestExplainPrintsDecisionsInOrder(t *testing.T) {
	cluster := newCluster(t)
	startFleet(t, cluster, 1, 2)
	startEngine(t, cluster)
	apply(t, cluster, exampleFile)
	id := ""
	await(t, "an answer", func() bool {
		call, status := callModel(t, cluster.Entries[1], modelBody)
		id = call
		return status == http.StatusOK
	})
	code, output := runProgram(t, cluster, "explain", id, cluster.Entries[0].OperatorURL(), cluster.Entries[1].OperatorURL())
	if code != launcher.ExitOK {
		t.Fatalf("exit: got %d with %s, want %d", code, output, launcher.ExitOK)
	}
	rest := output
	for _, want := range []string{
		"call: " + id, "account strath-sweeps of brand hearthline, service ember-llm", "step: admitted",
		"step: candidate", "upstream: ember-1", "score: ", "step: attempt", "detail: answered", "step: outcome",
	} {
		_, after, found := strings.Cut(rest, want)
		if !found {
			t.Fatalf("explanation: got %s, want %q after the preceding parts", output, want)
		}
		rest = after
	}
	code, output = runProgram(t, cluster, "explain", "no-such-call", cluster.Entries[0].OperatorURL())
	if want := "does not know the call"; code != launcher.ExitFailed || !strings.Contains(output, want) {
		t.Errorf("unknown call: got %d with %s, want %d with %q", code, output, launcher.ExitFailed, want)
	}
}

// A call is refused by a limit of its client account; the explanation must name the limit.
func TestExplainPrintsExceededLimit(t *testing.T) {
	cluster := newCluster(t)
	startFleet(t, cluster, 1, 1)
	startEngine(t, cluster)
	apply(t, cluster, writeExample(t, "1", "requests-per-second: 400", "requests-per-second: 1"))
	entry := cluster.Entries[0]
	id := ""
	await(t, "a refusal by the limit", func() bool {
		call, status := callModel(t, entry, modelBody)
		id = call
		return status == http.StatusTooManyRequests
	})
	_, output := runProgram(t, cluster, "explain", id, entry.OperatorURL())
	if want := "account/strath-sweeps has reached its limit requests-per-second"; !strings.Contains(output, want) {
		t.Errorf("explanation: got %s, want %q in it", output, want)
	}
}
