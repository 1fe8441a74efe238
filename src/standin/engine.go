package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EngineOptions describes one model engine.
type EngineOptions struct {
	Model        string
	ModelVersion string
	// Slots is how many sequences run at once.
	Slots int
	Step  time.Duration
	// PrefillPerStep is how many prompt tokens one step computes.
	PrefillPerStep int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
}

// Engine batches sequences continuously; one step gives each running one a token.
type Engine struct {
	Options EngineOptions

	mu        sync.Mutex
	queue     []*sequence
	running   []*sequence
	sequences map[string]*sequence
	cache     prefixCache
	// recomputed counts prompt tokens computed for a stream that went on here.
	recomputed int
	generated  int
}

// sequence is one call's generation.
type sequence struct {
	call      string
	seed      uint64
	prefill   int
	blocks    []uint64
	offset    int
	generated int
	most      int
	cancelled bool
	// changed is closed and replaced whenever generated grows.
	changed chan struct{}
}

// Prompt is what a sequence starts from.
type Prompt struct {
	Call string
	Text string
	// Continued is text generated elsewhere, of Offset tokens.
	Continued string
	Offset    int
	Most      int
}

// Run steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	e.mu.Lock()
	e.sequences = make(map[string]*sequence)
	e.cache.most = e.Options.CacheBlocks
	e.mu.Unlock()
	ticker := time.NewTicker(e.Options.Step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.step()
		}
	}
}

// Start queues a sequence, or returns the one that the call already has here.
func (e *Engine) Start(prompt Prompt) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.sequences[prompt.Call]; known != nil && !known.cancelled {
		return known
	}
	blocks := promptBlocks(prompt.Text)
	cached := e.cache.hit(blocks) * blockBytes
	computed := max(0, len(prompt.Text)-cached) + len(prompt.Continued)
	s := &sequence{
		call:      prompt.Call,
		seed:      xxhash.Sum64String(e.Options.ModelVersion + prompt.Text),
		prefill:   computed / bytesPerToken,
		blocks:    blocks,
		offset:    prompt.Offset,
		generated: prompt.Offset,
		most:      prompt.Most,
		changed:   make(chan struct{}),
	}
	if prompt.Offset > 0 {
		e.recomputed += s.prefill
	}
	e.sequences[prompt.Call] = s
	e.queue = append(e.queue, s)
	return s
}

// Cancel ends a sequence whose reader is gone.
func (e *Engine) Cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.cancelled = true
	delete(e.sequences, s.call)
}

// Load returns the counts of running and queued sequences and of queued prompt tokens.
func (e *Engine) Load() (running, queued, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.queue {
		tokens += s.prefill
	}
	return len(e.running), len(e.queue), tokens
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue = slices.DeleteFunc(e.queue, func(s *sequence) bool { return s.cancelled })
	for len(e.running) < e.Options.Slots && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	budget := e.Options.PrefillPerStep
	for _, s := range e.running {
		if s.prefill > 0 {
			done := min(budget, s.prefill)
			budget -= done
			s.prefill -= done
			continue
		}
		e.generate(s)
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		return s.cancelled || s.generated >= s.most
	})
}

func (e *Engine) generate(s *sequence) {
	if s.generated == s.offset {
		e.cache.add(s.blocks)
	}
	s.generated++
	e.generated++
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait blocks until the sequence has more than have tokens or is at its end.
func (e *Engine) wait(ctx context.Context, s *sequence, have int) (generated int, err error) {
	for {
		e.mu.Lock()
		generated, changed := s.generated, s.changed
		ended := s.generated >= s.most || s.cancelled
		e.mu.Unlock()
		if generated > have || ended {
			return generated, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return generated, ctx.Err()
		}
	}
}

// token returns the text of a sequence's token at an index from 0; equal
// prompts and versions give equal tokens on every engine.
func (s *sequence) token(index int) string {
	return fmt.Sprintf("%03x ", xxhash.Sum64String(fmt.Sprintf("%x/%d", s.seed, index))&0xfff)
}
