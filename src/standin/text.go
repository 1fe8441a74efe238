package standin

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Text returns the first tokens that every engine of a model version generates
// for a prompt at temperature 0.
func Text(modelVersion, prompt string, tokens int) string {
	s := &sequence{
		seed: xxhash.Sum64String(modelVersion + prompt),
	}
	var text strings.Builder
	for i := range tokens {
		text.WriteString(s.token(i))
	}
	return text.String()
}
