package server

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// bytesPerToken is used to estimate the token count of prompts; engines count exactly.
	bytesPerToken = 4
	// promptBlockBytes is the size of the prompt blocks whose hashes are used for routing.
	promptBlockBytes = 256
	maxPromptBlocks  = 256
	defaultMaxTokens = 256
	// maxTokensLimit is larger than what any model generates for one call.
	maxTokensLimit = 1 << 24
)

// modelRequest is the part of an OpenAI-compatible request that routing needs.
type modelRequest struct {
	Model     units.Model  `json:"model"`
	Stream    bool         `json:"stream"`
	MaxTokens units.Tokens `json:"max_tokens"`
	Prompt    string       `json:"prompt"`
	Messages  []struct {
		Role    string  `json:"role"`
		Content content `json:"content"`
	} `json:"messages"`
}

// content is a message's text, sent either as one string or as a list of parts.
type content string

// UnmarshalJSON reads both forms; parts without text are ignored.
func (c *content) UnmarshalJSON(raw []byte) error {
	if len(raw) == 0 || raw[0] != '[' {
		return json.Unmarshal(raw, (*string)(c))
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return err
	}
	for _, part := range parts {
		*c += content(part.Text)
	}
	return nil
}

func parseModelRequest(body []byte) (*modelRequest, error) {
	request := &modelRequest{}
	if err := json.Unmarshal(body, request); err != nil {
		return nil, err
	}
	if request.Model == "" {
		return nil, errors.New("model is missing")
	}
	if request.MaxTokens < 0 || request.MaxTokens > maxTokensLimit {
		return nil, fmt.Errorf("max_tokens is not between 0 and %d", maxTokensLimit)
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	return request, nil
}

// promptText returns the text of the prompt, messages included, in the order in which
// engines read it.
func (r *modelRequest) promptText() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var text strings.Builder
	text.WriteString(r.Prompt)
	for _, message := range r.Messages {
		text.WriteString(message.Role)
		text.WriteByte('\n')
		text.WriteString(string(message.Content))
		text.WriteByte('\n')
	}
	return text.String()
}

// blockHashes returns the chained hash of each full block of a prompt, so that two prompts
// share a block's hash only if they are equal up to the end of that block.
func blockHashes(prompt string) []uint64 {
	count := min(len(prompt)/promptBlockBytes, maxPromptBlocks)
	hashes := make([]uint64, 0, count)
	var chain [8]byte
	for i := range count {
		digest := xxhash.New()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(prompt[i*promptBlockBytes : (i+1)*promptBlockBytes])
		hashes = append(hashes, digest.Sum64())
		binary.LittleEndian.PutUint64(chain[:], digest.Sum64())
	}
	return hashes
}
