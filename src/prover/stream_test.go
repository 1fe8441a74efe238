package prover

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/stager"
)

const (
	callerKey        = "strath-sweeps.example-secret"
	streamSeed       = 7
	longStreamTokens = 600
	engineStep       = "2ms"
	streamTimeout    = 25 * time.Second
)

// streamRequest is a streamed model call.
type streamRequest struct {
	entry  *stager.Node
	prompt string
	tokens int
}

// stream makes the call and returns the text that the caller received; onToken is
// called after each token with the number of tokens so far.
func (s streamRequest) stream(ctx context.Context, onToken func(tokens int)) (string, error) {
	body := fmt.Sprintf(`{"model":"ember-1","stream":true,"seed":%d,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		streamSeed, s.tokens, s.prompt)
	return readStream(ctx, s.entry.CallerURL(), body, onToken)
}

// directStream makes a streamed call directly at an engine, without an entry.
func directStream(ctx context.Context, engine *stager.Upstream, a streamRequest, onToken func(tokens int)) (string, error) {
	return readStream(ctx, engine.URL, fmt.Sprintf(`{"model":"ember-1","stream":true,"max_tokens":%d,"prompt":%q}`, a.tokens, a.prompt), onToken)
}

func readStream(ctx context.Context, url, body string, onToken func(tokens int)) (string, error) {
	response, err := post(ctx, url+"/v1/chat/completions", body, "")
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	count := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) == 0 {
			return text.String(), fmt.Errorf("event %q: %w", data, err)
		}
		text.WriteString(event.Choices[0].Delta.Content)
		count++
		if onToken != nil {
			onToken(count)
		}
	}
	return text.String(), errors.Join(errors.New("the stream has no final marker"), lines.Err())
}

func post(ctx context.Context, url, body, key string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return http.DefaultClient.Do(request)
}

// startEngines starts one engine in each of the data centres.
func startEngines(t *testing.T, cluster *stager.Cluster, dataCentres []string, arguments ...string) []*stager.Upstream {
	t.Helper()
	var engines []*stager.Upstream
	for i, dataCentre := range dataCentres {
		all := append([]string{
			"--service", "ember-llm", "--model", "ember-1", "--step", engineStep, "--data-centre", dataCentre,
		}, arguments...)
		engine, err := cluster.StartUpstream("engine", fmt.Sprintf("ember-%d", i+1), all...)
		if err != nil {
			t.Fatal(err)
		}
		engines = append(engines, engine)
	}
	return engines
}

// awaitUpstreams waits until each entry knows at least count engines.
func awaitUpstreams(t *testing.T, cluster *stager.Cluster, count int) {
	t.Helper()
	for _, entry := range cluster.Entries {
		await(t, "the entry knows its upstreams", func() bool {
			return strings.Count(readPlainDump(t, entry), "service: ember-llm") >= count
		})
	}
}

func readPlainDump(t *testing.T, entry *stager.Node) string {
	t.Helper()
	content, err := fetch(t.Context(), entry.OperatorURL()+"/dump")
	if err != nil {
		return ""
	}
	return string(content)
}

// engineWork holds an engine's counts of its work, in tokens except for Cancelled,
// which counts calls.
type engineWork struct {
	Prefilled  int `json:"prefilled"`
	Recomputed int `json:"recomputed"`
	Generated  int `json:"generated"`
	Imported   int `json:"imported"`
	Cancelled  int `json:"cancelled"`
}

func readWork(t *testing.T, engine *stager.Upstream) engineWork {
	t.Helper()
	work := engineWork{}
	fetchJSON(t, engine.URL+"/work", &work)
	return work
}

// countRuns returns how many runs started at an upstream.
func countRuns(t *testing.T, upstream *stager.Upstream) int {
	t.Helper()
	runs := make(map[string]int)
	fetchJSON(t, upstream.URL+"/ledger", &runs)
	total := 0
	for _, count := range runs {
		total += count
	}
	return total
}

func fetchJSON(t *testing.T, url string, into any) {
	t.Helper()
	content, err := fetch(t.Context(), url)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(content, into); err != nil {
		t.Fatal(err)
	}
}

// setFault sets a fault at a simulated upstream, over a separate connection.
func setFault(t *testing.T, upstream *stager.Upstream, fault string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, upstream.URL+"/faults", strings.NewReader(fault))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if got, want := response.StatusCode, http.StatusNoContent; got != want {
		t.Fatalf("fault %s: got status %d, want %d", fault, got, want)
	}
}

// engineWithRun returns the engine that runs the only stream of a test.
func engineWithRun(t *testing.T, engines []*stager.Upstream) *stager.Upstream {
	t.Helper()
	for _, engine := range engines {
		if countRuns(t, engine) > 0 {
			return engine
		}
	}
	t.Fatal("no engine runs the stream")
	return nil
}

// startStreamTest starts a fleet with engines, and returns them with a call and the
// text that it must generate.
func startStreamTest(t *testing.T, engines int, arguments ...string) ([]*stager.Upstream, streamRequest, string) {
	t.Helper()
	cluster := newCluster(t)
	startFleet(t, cluster, 1, 1)
	dataCentres := []string{"dc-a", "dc-b", "dc-c", "dc-d"}
	started := startEngines(t, cluster, dataCentres[:engines], arguments...)
	apply(t, cluster, "../../examples/hearthline.yaml")
	awaitUpstreams(t, cluster, engines)
	call := streamRequest{
		entry:  cluster.Entries[0],
		prompt: "summary of the flue inspection " + strings.Repeat("soot ", 100),
		tokens: longStreamTokens,
	}
	text, err := referenceText(t.Context(), startReferenceEngine(t), call)
	if err != nil {
		t.Fatal(err)
	}
	return started, call, text
}

// startReferenceEngine starts a fast engine that no entry knows.
func startReferenceEngine(t *testing.T) *stager.Upstream {
	t.Helper()
	return startEngines(t, newCluster(t), []string{"dc-a"}, "--entries", "http://127.0.0.1:1", "--step", "200us")[0]
}

// referenceText returns an engine's answer to a call that is made directly, without an entry.
func referenceText(ctx context.Context, engine *stager.Upstream, call streamRequest) (string, error) {
	body := fmt.Sprintf(`{"model":"ember-1","seed":%d,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		streamSeed, call.tokens, call.prompt)
	url := engine.URL + "/v1/chat/completions"
	for {
		response, err := post(ctx, url, body, "")
		if err == nil {
			defer func() { _ = response.Body.Close() }()
			var answer struct {
				Choices []struct {
					Message struct {
						Content string `json:"content"`
					} `json:"message"`
				} `json:"choices"`
			}
			if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
				return "", err
			}
			return answer.Choices[0].Message.Content, nil
		}
		select {
		case <-ctx.Done():
			return "", err
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// A caller has read a third of a stream when its engine fails: it is killed, freezes,
// its open connections become silent, or it repeatedly ends the stream early. The
// caller must receive the complete text, equal to that of a run without faults, and
// the call must not run twice on the engines that still answer.
func TestStreamIsCompleteDespiteFaults(t *testing.T) {
	cases := map[string]struct {
		fault func(t *testing.T, engine *stager.Upstream)
		// wantRuns is the total over all engines that still answer.
		wantRuns int
	}{
		"engine killed": {
			fault:    func(_ *testing.T, engine *stager.Upstream) { engine.Kill() },
			wantRuns: 1,
		},
		"engine frozen": {
			fault:    func(_ *testing.T, engine *stager.Upstream) { engine.Signal(syscall.SIGSTOP) },
			wantRuns: 1,
		},
		"open connections silent": {
			fault:    func(t *testing.T, engine *stager.Upstream) { setFault(t, engine, `{"silence":true}`) },
			wantRuns: 1,
		},
		"stream cut every 50 tokens": {
			fault:    func(t *testing.T, engine *stager.Upstream) { setFault(t, engine, `{"cut-after":50}`) },
			wantRuns: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			engines, call, want := startStreamTest(t, 2)
			ctx, cancel := context.WithTimeout(t.Context(), streamTimeout)
			defer cancel()
			var failed *stager.Upstream
			got, err := call.stream(ctx, func(tokens int) {
				if tokens == longStreamTokens/3 {
					failed = engineWithRun(t, engines)
					c.fault(t, failed)
				}
			})
			if err != nil {
				t.Fatalf("stream: got error %v, want it complete", err)
			}
			if got != want {
				t.Errorf("text: got %.60q..., want %.60q...", got, want)
			}
			runs := 0
			for _, engine := range engines {
				if engine != failed || strings.Contains(name, "connections") || strings.Contains(name, "cut") {
					runs += countRuns(t, engine)
				}
			}
			if got, want := runs, c.wantRuns; got != want {
				t.Errorf("runs at engines that answer: got %d, want %d", got, want)
			}
		})
	}
}

// When a caller disconnects, its call must be cancelled at the engine, which would
// otherwise generate all tokens for no one, in a slot that other calls wait for.
func TestCallerDisconnectCancelsUpstreamWork(t *testing.T) {
	engines, call, _ := startStreamTest(t, 1)
	call.tokens = 20000
	ctx, cancel := context.WithCancel(t.Context())
	_, err := call.stream(ctx, func(tokens int) {
		if tokens == 20 {
			cancel()
		}
	})
	if err == nil {
		t.Fatal("stream: got it complete, want a cancelled call")
	}
	await(t, "the engine cancelled the call", func() bool { return readWork(t, engines[0]).Cancelled == 1 })
	if got, maxGenerated := readWork(t, engines[0]).Generated, call.tokens/2; got > maxGenerated {
		t.Errorf("generated tokens: got %d, want at most %d", got, maxGenerated)
	}
}

// An upstream accepts a booking and then does not answer, answers with another call's
// id, or sends a truncated answer. It is not known whether the booking was made, so
// the caller must be answered `unknown`, and no other upstream may run it again.
func TestUnansweredBookingIsUnknownAndRunsOnce(t *testing.T) {
	cases := map[string]string{
		"silent":    `{"delay-ms":60000}`,
		"crossed":   `{"cross":true}`,
		"truncated": `{"truncate":true}`,
	}
	cluster := newCluster(t)
	startFleet(t, cluster, 1, 1)
	content, err := os.ReadFile("../../examples/hearthline.yaml")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "short.yaml")
	short := strings.Replace(string(content), "deadline: 10s", "deadline: 1500ms", 1)
	if err := os.WriteFile(file, []byte(short), 0o600); err != nil {
		t.Fatal(err)
	}
	var diaries []*stager.Upstream
	for i := range 2 {
		diary, err := cluster.StartUpstream("plain", fmt.Sprintf("diary-%d", i+1), "--service", "diary-app", "--data-centre", "dc-a")
		if err != nil {
			t.Fatal(err)
		}
		diaries = append(diaries, diary)
	}
	apply(t, cluster, file)
	await(t, "the entry knows both diaries", func() bool {
		return strings.Count(readPlainDump(t, cluster.Entries[0]), "service: diary-app") == len(diaries)
	})
	before := 0
	for name, fault := range cases {
		for _, diary := range diaries {
			setFault(t, diary, fault)
		}
		status, answer := bookWithKey(t, cluster.Entries[0], name)
		if got, want := status, http.StatusBadGateway; got != want {
			t.Errorf("%s: got status %d, want %d", name, got, want)
		}
		if got, want := answer, `"executed":"unknown"`; !strings.Contains(got, want) {
			t.Errorf("%s: got %s, want %s in it", name, got, want)
		}
		runs := countRuns(t, diaries[0]) + countRuns(t, diaries[1])
		if got, want := runs-before, 1; got != want {
			t.Errorf("%s: got %d runs, want %d", name, got, want)
		}
		before = runs
	}
}

func bookWithKey(t *testing.T, entry *stager.Node, key string) (int, string) {
	t.Helper()
	response, err := post(t.Context(), entry.CallerURL()+"/diary/bookings", `{"flue":"`+key+`"}`, key)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer strings.Builder
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		answer.WriteString(lines.Text())
	}
	return response.StatusCode, answer.String()
}

// fetch returns the body of an answer, with each line ended by a newline.
func fetch(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var content strings.Builder
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		content.WriteString(lines.Text() + "\n")
	}
	return []byte(content.String()), lines.Err()
}
