package server

import (
	"strings"
	"testing"
)

func TestContentInParts(t *testing.T) {
	parsed, err := parseModelRequest([]byte(`{"model":"m","messages":[` +
		`{"role":"user","content":[{"type":"text","text":"a"},{"type":"image_url"},{"type":"text","text":"b"}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := parsed.promptText(), "user\nab\n"; got != want {
		t.Errorf("prompt: got %q, want %q", got, want)
	}
}

// FuzzModelRequest wants no body to end the process or to yield a request beyond its limits.
func FuzzModelRequest(f *testing.F) {
	for _, seed := range []string{
		okBody, "", "{", "null", "[]", `{"model":1}`, `{"model":"m","messages":[{"content":[1]}]}`,
		`{"model":"m","messages":[null],"max_tokens":16777216}`, `{"model":"m","prompt":["a"]}`,
		`{"model":"m","messages":[{"content":null}]}`, strings.Repeat("[", 20000),
		`{"model":"m","prompt":"` + strings.Repeat("p", 3*blockBytes) + `"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, err := parseModelRequest(body)
		if err != nil {
			return
		}
		if parsed.MaxTokens <= 0 || parsed.MaxTokens > mostTokens || parsed.Model == "" {
			t.Errorf("request: got %+v, want it within limits", parsed)
		}
		prompt := parsed.promptText()
		if got, want := len(blockHashes(prompt)), min(len(prompt)/blockBytes, maxBlocks); got != want {
			t.Errorf("blocks: got %d, want %d", got, want)
		}
	})
}
