package standin

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sequence is the generation for one call; the engine's lock guards its mutable fields.
type sequence struct {
	call         string
	seed         uint64
	priority     int
	blocks       []uint64
	promptTokens int
	// startOffset is how many tokens had been generated before the sequence started.
	startOffset int
	// prefillLeft is how many tokens must still be computed before the next one is
	// generated.
	prefillLeft int
	// cachedBlocks is how many of the blocks this sequence has added to the prefix cache.
	cachedBlocks int
	// scheduled is set once prefillLeft has been determined.
	scheduled bool
	// retried reports that an earlier attempt may have computed the same tokens.
	retried   bool
	generated int
	maxTokens int
	cancelled bool
	readers   int
	// orphanedAt is when the last reader detached.
	orphanedAt time.Time
	// changed is closed and replaced whenever a token is generated or the sequence is discarded.
	changed chan struct{}
}

func newSequence(version string, prompt Prompt) *sequence {
	return &sequence{
		call:         prompt.Call,
		seed:         xxhash.Sum64String(version + prompt.Text + prompt.Seed),
		priority:     prompt.Priority,
		blocks:       promptBlocks(prompt.Text),
		promptTokens: len(prompt.Text) / bytesPerToken,
		startOffset:  prompt.Offset,
		generated:    prompt.Offset,
		maxTokens:    prompt.MaxTokens,
		retried:      prompt.Offset > 0 || prompt.Attempt > 1,
		readers:      1,
		changed:      make(chan struct{}),
	}
}

// contextTokens returns the number of tokens whose KV cache is needed to generate the next one.
func (s *sequence) contextTokens() int { return s.promptTokens + s.generated }

func (s *sequence) isFinished() bool { return s.generated >= s.maxTokens }

func (s *sequence) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// token returns the text of the token at an index, from 0. Equal prompts, seeds and
// model versions give equal tokens on every engine.
func (s *sequence) token(index int) string {
	return fmt.Sprintf("%03x ", xxhash.Sum64String(fmt.Sprintf("%x/%d", s.seed, index))&0xfff)
}
