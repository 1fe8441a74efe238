package server

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// bytesPerToken is the estimate for prompts; engines count exactly.
	bytesPerToken = 4
	// blockBytes is the size of a prompt block whose hash routes a call.
	blockBytes       = 256
	maxBlocks        = 256
	defaultMaxOutput = 256
)

// modelRequest is the part of an OpenAI-compatible request that routing needs.
type modelRequest struct {
	Model     units.Model  `json:"model"`
	Stream    bool         `json:"stream"`
	MaxTokens units.Tokens `json:"max_tokens"`
	Prompt    string       `json:"prompt"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

func parseModelRequest(body []byte) (*modelRequest, error) {
	request := &modelRequest{}
	if err := json.Unmarshal(body, request); err != nil {
		return nil, err
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxOutput
	}
	return request, nil
}

// promptText returns the prompt as the engines see it.
func (r *modelRequest) promptText() string {
	text := r.Prompt
	for _, message := range r.Messages {
		text += message.Role + "\n" + message.Content + "\n"
	}
	return text
}

// blockHashes returns the chained hash of each whole block of a prompt, so that
// two prompts share a hash only where they share all that stands before it.
func blockHashes(prompt string) []uint64 {
	count := min(len(prompt)/blockBytes, maxBlocks)
	hashes := make([]uint64, 0, count)
	var chain [8]byte
	for i := range count {
		digest := xxhash.New()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		hashes = append(hashes, digest.Sum64())
		binary.LittleEndian.PutUint64(chain[:], digest.Sum64())
	}
	return hashes
}
