package server

import (
	"strings"
	"testing"
)

func TestMessageContentParts(t *testing.T) {
	parsed, err := parseModelRequest([]byte(`{"model":"m","messages":[` +
		`{"role":"user","content":[{"type":"text","text":"a"},{"type":"image_url"},{"type":"text","text":"b"}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := parsed.promptText(), "user\nab\n"; got != want {
		t.Errorf("prompt: got %q, want %q", got, want)
	}
}

// FuzzModelRequest checks that no body causes a panic or yields a request outside the limits.
func FuzzModelRequest(f *testing.F) {
	for _, seed := range []string{
		validBody, "", "{", "null", "[]", `{"model":1}`, `{"model":"m","messages":[{"content":[1]}]}`,
		`{"model":"m","messages":[null],"max_tokens":16777216}`, `{"model":"m","prompt":["a"]}`,
		`{"model":"m","messages":[{"content":null}]}`, strings.Repeat("[", 20000),
		`{"model":"m","prompt":"` + strings.Repeat("p", 3*promptBlockBytes) + `"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, err := parseModelRequest(body)
		if err != nil {
			return
		}
		if parsed.MaxTokens <= 0 || parsed.MaxTokens > maxTokensLimit || parsed.Model == "" {
			t.Errorf("request: got %+v, want a model and max_tokens within the limits", parsed)
		}
		prompt := parsed.promptText()
		if got, want := len(blockHashes(prompt)), min(len(prompt)/promptBlockBytes, maxPromptBlocks); got != want {
			t.Errorf("blocks: got %d, want %d", got, want)
		}
	})
}
