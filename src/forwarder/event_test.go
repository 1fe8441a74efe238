package forwarder

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/emicklei/go-restful/v3"
	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/standin"
	"github.com/rosecroft/rosecroft/src/units"
)

// Another engine resumes a stream from the text that the entry has kept of it. If
// scanning an event ever gave another text than decoding it, the rest of an answer would
// continue from a text that no caller has seen.
func TestScanEqualsDecoding(t *testing.T) {
	words := rapid.SampledFrom([]string{
		`"text":"`, `\"content\":\"`, `"`, `\`, `{`, `}`, "é", "\n", "usage", "stop", " ", "content", `":"`, "<", "a",
	})
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(words, 0, 6).Draw(t, "text"), "")
		choice := map[string]any{}
		switch rapid.IntRange(0, 3).Draw(t, "form") {
		case 0:
			choice["text"] = text
		case 1:
			choice["delta"] = map[string]any{"content": text, "role": "assistant"}
		case 2:
			choice["delta"] = map[string]any{"content": text, "note": strings.Join(rapid.SliceOfN(words, 0, 4).Draw(t, "note"), "")}
		case 3:
			choice["delta"] = map[string]any{"role": text}
		}
		if rapid.Bool().Draw(t, "finished") {
			choice["finish_reason"] = "stop"
		}
		id := rapid.SampledFrom([]string{"call-1", "call-2"}).Draw(t, "id")
		choices, err := json.Marshal([]any{choice})
		if err != nil {
			t.Fatal(err)
		}
		data := []byte(`{"id":"` + id + `","model":"m","choices":` + string(choices) + `}`)
		if cut := rapid.IntRange(0, 5).Draw(t, "cut"); cut == 0 {
			data = data[:rapid.IntRange(0, len(data)).Draw(t, "length")]
		}
		scanned := newEventReader("call-1")
		decoded := newEventReader("call-1")
		got, gotErr := scanned.read(data)
		want, wantErr := decoded.decode(data)
		if (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("%s: got error %v, want %v", data, gotErr, wantErr)
		}
		if !bytes.Equal(got, want) {
			t.Fatalf("%s: got %q, want %q", data, got, want)
		}
		if string(scanned.finish) != string(decoded.finish) {
			t.Fatalf("%s: got finish %q, want %q", data, scanned.finish, decoded.finish)
		}
	})
}

// engineHost serves a stand-in engine.
func engineHost(t *testing.T) *httptest.Server {
	t.Helper()
	engine := &standin.Engine{
		Options: standin.EngineOptions{
			Model:          "ember-1",
			ModelVersion:   "1",
			Slots:          4,
			StepInterval:   200_000,
			PrefillPerStep: 512,
			CacheBlocks:    8,
		},
	}
	server := &standin.ModelServer{
		Engine: engine,
		Ledger: &standin.Ledger{},
		Faults: &standin.Faults{},
	}
	container := restful.NewContainer()
	container.Add(server.Faults.Service())
	for _, service := range server.Services() {
		container.Add(service)
	}
	host := httptest.NewUnstartedServer(container)
	host.Config.ConnContext = server.Faults.NumberConnection
	host.Start()
	t.Cleanup(host.Close)
	go engine.Run(t.Context())
	return host
}

// A collected answer must not differ from one that was never streamed: finish reason,
// usage and text must be those that the engine gives to a call that is not streamed.
func TestCollectedAnswerEqualsTheEngines(t *testing.T) {
	host := engineHost(t)
	cases := map[string]struct {
		body string
	}{
		"collected":         {body: `{"model":"ember-1","seed":3,"max_tokens":40,"prompt":"x"}`},
		"not collectable":   {body: `{"model":"ember-1","seed":3,"max_tokens":40,"prompt":"x","logprobs":1}`},
		"several at a time": {body: `{"model":"ember-1","seed":3,"max_tokens":40,"prompt":"x","n":2}`},
	}
	var want wholeAnswer
	for _, name := range []string{"not collectable", "collected", "several at a time"} {
		call := streamCall()
		call.ID = units.CallID(name)
		call.Stream = false
		call.Model = "ember-1"
		call.Body = []byte(cases[name].body)
		f := &Forwarder{
			Pools: &Pools{},
		}
		result := f.exchangeAt(t, call, host.URL, &dispatcher.Stream{})
		if result.Kind != dispatcher.Answered {
			t.Fatalf("%s: got %v (error %v), want an answer", name, result.Kind, result.Err)
		}
		var got wholeAnswer
		if err := json.Unmarshal(result.Answer.Body, &got); err != nil {
			t.Fatal(err)
		}
		if name == "not collectable" {
			want = got
			continue
		}
		if got, want := *got.Choices[0].Text, *want.Choices[0].Text; got != want {
			t.Errorf("%s: got text %q, want %q", name, got, want)
		}
		if got, want := string(got.Usage), string(want.Usage); got != want {
			t.Errorf("%s: got usage %s, want %s", name, got, want)
		}
		if got, want := string(got.Choices[0].FinishReason), string(want.Choices[0].FinishReason); got != want {
			t.Errorf("%s: got finish reason %s, want %s", name, got, want)
		}
	}
}

// All connections to an engine go silent at the same time while several of them are idle.
// A call that waited for the watchdog on each of them in turn would wait long and then
// give up the engine; after the first silent one a new connection must be made.
func TestSilenceDiscardsThePool(t *testing.T) {
	host := engineHost(t)
	f := &Forwarder{
		Pools: &Pools{},
	}
	var running sync.WaitGroup
	for _, id := range []units.CallID{"a", "b", "c"} {
		running.Go(func() {
			call := streamCall()
			call.ID = id
			call.Body = []byte(`{"model":"ember-1","stream":true,"max_tokens":200,"prompt":"x"}`)
			f.exchangeAt(t, call, host.URL, &dispatcher.Stream{Sink: &recordingSink{}})
		})
	}
	running.Wait()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, host.URL+"/faults", strings.NewReader(`{"silence":true}`))
	if err != nil {
		t.Fatal(err)
	}
	response, err := new(http.Client).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	result := f.exchangeAt(t, streamCall(), host.URL, &dispatcher.Stream{Sink: &recordingSink{}})
	if got, want := result.Kind, dispatcher.Answered; got != want {
		t.Errorf("call after the silence: got %v (error %v), want %v", got, result.Err, want)
	}
}
