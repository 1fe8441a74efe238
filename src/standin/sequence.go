package standin

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sequence is one call's generation; the engine's lock guards what changes.
type sequence struct {
	call     string
	seed     uint64
	priority int
	blocks   []uint64
	// prompt and offset are the tokens that the sequence started from.
	prompt  int
	offset  int
	prefill int
	// cached is how many of the blocks were put into the prefix cache since.
	cached int
	// scheduled says that its turn to compute has come, again that an earlier
	// attempt may have computed the same.
	scheduled bool
	again     bool
	generated int
	most      int
	cancelled bool
	readers   int
	// orphanedAt is when the last reader went.
	orphanedAt time.Time
	// changed is closed and replaced whenever the sequence goes on.
	changed chan struct{}
}

func newSequence(version string, prompt Prompt) *sequence {
	return &sequence{
		call:      prompt.Call,
		seed:      xxhash.Sum64String(version + prompt.Text + prompt.Seed),
		priority:  prompt.Priority,
		blocks:    promptBlocks(prompt.Text),
		prompt:    len(prompt.Text) / bytesPerToken,
		offset:    prompt.Offset,
		generated: prompt.Offset,
		most:      prompt.Most,
		again:     prompt.Offset > 0 || prompt.Attempt > 1,
		readers:   1,
		changed:   make(chan struct{}),
	}
}

// context returns the tokens whose KV cache generation needs.
func (s *sequence) context() int { return s.prompt + s.generated }

func (s *sequence) finished() bool { return s.generated >= s.most }

func (s *sequence) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// token returns the text of a sequence's token at an index from 0; equal
// prompts, seeds and versions give equal tokens on every engine.
func (s *sequence) token(index int) string {
	return fmt.Sprintf("%03x ", xxhash.Sum64String(fmt.Sprintf("%x/%d", s.seed, index))&0xfff)
}
