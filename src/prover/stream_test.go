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
	callerKey   = "strath-sweeps.example-secret"
	streamSeed  = 7
	longStream  = 600
	fastStep    = "2ms"
	streamLimit = 25 * time.Second
)

// ask is one streamed request of these tests.
type ask struct {
	entry  *stager.Node
	prompt string
	tokens int
}

// stream makes a streamed call and returns the text that the caller has got; at is
// called with the count of tokens after each.
func (a ask) stream(ctx context.Context, at func(tokens int)) (string, error) {
	body := fmt.Sprintf(`{"model":"ember-1","stream":true,"seed":%d,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		streamSeed, a.tokens, a.prompt)
	return readStream(ctx, a.entry.CallerURL(), body, at)
}

// directStream makes the call at an engine without any entry between.
func directStream(ctx context.Context, engine *stager.Upstream, a ask, at func(tokens int)) (string, error) {
	return readStream(ctx, engine.URL, fmt.Sprintf(`{"model":"ember-1","stream":true,"max_tokens":%d,"prompt":%q}`, a.tokens, a.prompt), at)
}

func readStream(ctx context.Context, url, body string, at func(tokens int)) (string, error) {
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
		if at != nil {
			at(count)
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

// startEngines starts engines in the data centres given, one each.
func startEngines(t *testing.T, stage *stager.Stage, dataCentres []string, arguments ...string) []*stager.Upstream {
	t.Helper()
	var engines []*stager.Upstream
	for i, dataCentre := range dataCentres {
		all := append([]string{
			"--service", "ember-llm", "--model", "ember-1", "--step", fastStep, "--data-centre", dataCentre,
		}, arguments...)
		engine, err := stage.StartUpstream("engine", fmt.Sprintf("ember-%d", i+1), all...)
		if err != nil {
			t.Fatal(err)
		}
		engines = append(engines, engine)
	}
	return engines
}

// awaitUpstreams waits until each entry knows so many usable upstreams.
func awaitUpstreams(t *testing.T, stage *stager.Stage, count int) {
	t.Helper()
	for _, entry := range stage.Entries {
		await(t, "the entry knows its upstreams", func() bool {
			return strings.Count(dump(t, entry), "service: ember-llm") >= count
		})
	}
}

func dump(t *testing.T, entry *stager.Node) string {
	t.Helper()
	content, err := fetch(t.Context(), entry.OperatorURL()+"/dump")
	if err != nil {
		return ""
	}
	return string(content)
}

// engineWork is what an engine counted.
type engineWork struct {
	Prefilled  int `json:"prefilled"`
	Recomputed int `json:"recomputed"`
	Generated  int `json:"generated"`
	Imported   int `json:"imported"`
	Cancelled  int `json:"cancelled"`
}

func workOf(t *testing.T, engine *stager.Upstream) engineWork {
	t.Helper()
	work := engineWork{}
	fetchJSON(t, engine.URL+"/work", &work)
	return work
}

// runsAt returns how many runs began at an upstream.
func runsAt(t *testing.T, upstream *stager.Upstream) int {
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

// inject puts a fault in force at a stand-in, over a connection of its own.
func inject(t *testing.T, upstream *stager.Upstream, fault string) {
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

// busiest returns the engine that runs the one stream of a test.
func busiest(t *testing.T, engines []*stager.Upstream) *stager.Upstream {
	t.Helper()
	for _, engine := range engines {
		if runsAt(t, engine) > 0 {
			return engine
		}
	}
	t.Fatal("no engine runs the stream")
	return nil
}

// startStreams starts a fleet with engines, and returns the text of an undisturbed run.
func startStreams(t *testing.T, engines int, arguments ...string) ([]*stager.Upstream, ask, string) {
	t.Helper()
	stage := newStage(t)
	startFleet(t, stage, 1, 1)
	places := []string{"dc-a", "dc-b", "dc-c", "dc-d"}
	started := startEngines(t, stage, places[:engines], arguments...)
	apply(t, stage, "../../examples/hearthline.yaml")
	awaitUpstreams(t, stage, engines)
	call := ask{
		entry:  stage.Entries[0],
		prompt: "summary of the flue inspection " + strings.Repeat("soot ", 100),
		tokens: longStream,
	}
	text, err := directText(t.Context(), undisturbed(t), call)
	if err != nil {
		t.Fatal(err)
	}
	return started, call, text
}

// undisturbed returns a fast engine that no entry knows.
func undisturbed(t *testing.T) *stager.Upstream {
	t.Helper()
	return startEngines(t, newStage(t), []string{"dc-a"}, "--entries", "http://127.0.0.1:1", "--step", "200us")[0]
}

// directText returns what an engine gives to a call without any entry between.
func directText(ctx context.Context, engine *stager.Upstream, call ask) (string, error) {
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

// A caller reads a stream of which two thirds are still to come when what
// serves it fails: the engine dies, freezes, its connections go silent, or it
// drops the stream again and again. The caller must get the whole text, equal to
// that of an undisturbed run, and nobody may run the call twice at one engine.
func TestStreamIsWholeThroughFaults(t *testing.T) {
	cases := map[string]struct {
		fault func(t *testing.T, engine *stager.Upstream)
		// wantRuns is over all engines that still answer.
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
			fault:    func(t *testing.T, engine *stager.Upstream) { inject(t, engine, `{"silence":true}`) },
			wantRuns: 1,
		},
		"stream cut every 50 tokens": {
			fault:    func(t *testing.T, engine *stager.Upstream) { inject(t, engine, `{"cut-after":50}`) },
			wantRuns: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			engines, call, want := startStreams(t, 2)
			ctx, cancel := context.WithTimeout(t.Context(), streamLimit)
			defer cancel()
			var failed *stager.Upstream
			got, err := call.stream(ctx, func(tokens int) {
				if tokens == longStream/3 {
					failed = busiest(t, engines)
					c.fault(t, failed)
				}
			})
			if err != nil {
				t.Fatalf("the stream: got %v, want it whole", err)
			}
			if got != want {
				t.Errorf("text: got %.60q..., want %.60q...", got, want)
			}
			runs := 0
			for _, engine := range engines {
				if engine != failed || strings.Contains(name, "connections") || strings.Contains(name, "cut") {
					runs += runsAt(t, engine)
				}
			}
			if got, want := runs, c.wantRuns; got != want {
				t.Errorf("runs at engines that answer: got %d, want %d", got, want)
			}
		})
	}
}

// A caller who hangs up must cost no more tokens: the engine would generate to
// the end for nobody, in a slot that others wait for.
func TestCallerWhoHangsUpCancelsTheUpstreamsWork(t *testing.T) {
	engines, call, _ := startStreams(t, 1)
	call.tokens = 20000
	ctx, cancel := context.WithCancel(t.Context())
	_, err := call.stream(ctx, func(tokens int) {
		if tokens == 20 {
			cancel()
		}
	})
	if err == nil {
		t.Fatal("the stream: got its end, want a cancelled call")
	}
	await(t, "the engine cancelled the call", func() bool { return workOf(t, engines[0]).Cancelled == 1 })
	if got, most := workOf(t, engines[0]).Generated, call.tokens/2; got > most {
		t.Errorf("generated tokens: got %d, want at most %d", got, most)
	}
}

// A booking's upstream takes it and its connection goes silent for good. Nobody
// knows whether the booking stands, so the caller must hear `unknown`, and no
// other upstream may book it a second time.
func TestSilentBookingIsUnknownAndRunsOnce(t *testing.T) {
	cases := map[string]string{
		"silent":    `{"delay-ms":60000}`,
		"crossed":   `{"cross":true}`,
		"truncated": `{"truncate":true}`,
	}
	stage := newStage(t)
	startFleet(t, stage, 1, 1)
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
		diary, err := stage.StartUpstream("plain", fmt.Sprintf("diary-%d", i+1), "--service", "diary-app", "--data-centre", "dc-a")
		if err != nil {
			t.Fatal(err)
		}
		diaries = append(diaries, diary)
	}
	apply(t, stage, file)
	await(t, "the entry knows both diaries", func() bool {
		return strings.Count(dump(t, stage.Entries[0]), "service: diary-app") == len(diaries)
	})
	before := 0
	for name, fault := range cases {
		for _, diary := range diaries {
			inject(t, diary, fault)
		}
		status, answer := book(t, stage.Entries[0], name)
		if got, want := status, http.StatusBadGateway; got != want {
			t.Errorf("%s: got status %d, want %d", name, got, want)
		}
		if got, want := answer, `"executed":"unknown"`; !strings.Contains(got, want) {
			t.Errorf("%s: got %s, want %s in it", name, got, want)
		}
		runs := runsAt(t, diaries[0]) + runsAt(t, diaries[1])
		if got, want := runs-before, 1; got != want {
			t.Errorf("%s: got %d runs, want %d", name, got, want)
		}
		before = runs
	}
}

func book(t *testing.T, entry *stager.Node, key string) (int, string) {
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

// fetch returns the body of an answer with status 200.
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
