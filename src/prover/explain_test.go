package prover

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/rosecroft/rosecroft/src/launcher"
	"github.com/rosecroft/rosecroft/src/stager"
)

// askModel makes a model call and returns its id and status.
func askModel(t *testing.T, entry *stager.Node, body string) (string, int) {
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

// An operator asks why a call went where it did, without knowing which entry
// took it. The decisions must be there in their order: what the call is, that it
// was admitted, who could take it, who got it, how that ended, and the outcome.
func TestExplainTellsTheDecisionsInOrder(t *testing.T) {
	stage := newStage(t)
	startFleet(t, stage, 1, 2)
	startEngine(t, stage)
	apply(t, stage, exampleFile)
	id := ""
	await(t, "an answer", func() bool {
		call, status := askModel(t, stage.Entries[1], modelBody)
		id = call
		return status == http.StatusOK
	})
	code, output := runProgram(t, stage, "explain", id, stage.Entries[0].OperatorURL(), stage.Entries[1].OperatorURL())
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
			t.Fatalf("explanation: got %s, want %q after what stands before", output, want)
		}
		rest = after
	}
	code, output = runProgram(t, stage, "explain", "no-such-call", stage.Entries[0].OperatorURL())
	if want := "does not know the call"; code != launcher.ExitFailed || !strings.Contains(output, want) {
		t.Errorf("unknown call: got %d with %s, want %d with %q", code, output, launcher.ExitFailed, want)
	}
}

// A call is refused by its account's limit; the operator must read which one.
func TestExplainTellsTheLimit(t *testing.T) {
	stage := newStage(t)
	startFleet(t, stage, 1, 1)
	startEngine(t, stage)
	apply(t, stage, nextVersion(t, "1", "requests-per-second: 400", "requests-per-second: 1"))
	entry := stage.Entries[0]
	id := ""
	await(t, "a refusal by the limit", func() bool {
		call, status := askModel(t, entry, modelBody)
		id = call
		return status == http.StatusTooManyRequests
	})
	_, output := runProgram(t, stage, "explain", id, entry.OperatorURL())
	if want := "account/strath-sweeps has reached its limit requests-per-second"; !strings.Contains(output, want) {
		t.Errorf("explanation: got %s, want %q in it", output, want)
	}
}
