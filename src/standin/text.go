package standin

import "strings"

// ExpectedText returns the first tokens that every engine of a model version
// generates for a prompt and seed.
func ExpectedText(modelVersion, prompt, seed string, tokens int) string {
	s := newSequence(modelVersion, Prompt{
		Text: prompt,
		Seed: seed,
	})
	var text strings.Builder
	for i := range tokens {
		text.WriteString(s.token(i))
	}
	return text.String()
}
