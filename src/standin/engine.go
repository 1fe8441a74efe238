package standin

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// orphanTimeout is how long a sequence without a reader is kept, so that its
// stream can be resumed over another connection.
const orphanTimeout = time.Second

var errCancelled = errors.New("the sequence was cancelled")

// EngineOptions configures a model engine.
type EngineOptions struct {
	Model        string
	ModelVersion string
	// Slots is how many sequences run at once.
	Slots int
	// StepInterval is the duration of one step.
	StepInterval time.Duration
	// PrefillPerStep is how many prompt tokens one step computes.
	PrefillPerStep int
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int
	// KVBytesPerToken and KVBytesPerSecond determine the size and the duration of
	// a KV cache export.
	KVBytesPerToken  int
	KVBytesPerSecond int
}

// Engine simulates an engine with continuous batching: each step generates one
// token for every running sequence whose prefill is done.
type Engine struct {
	Options EngineOptions
	// Journal records recomputed tokens; it may be nil.
	Journal *Journal

	mu        sync.Mutex
	queue     []*sequence
	running   []*sequence
	sequences map[string]*sequence
	cache     prefixCache
	imports   map[string]kvImport
	// linkFreeAt is when the link over which KV cache is exported will be idle.
	linkFreeAt time.Time
	work       WorkCounts
}

// WorkCounts counts an engine's work in tokens, except for Cancelled, which counts
// sequences.
type WorkCounts struct {
	// Prefilled counts all prompt tokens computed; Recomputed counts those of calls
	// that an earlier attempt may already have computed.
	Prefilled  int `json:"prefilled"`
	Recomputed int `json:"recomputed"`
	Generated  int `json:"generated"`
	Exported   int `json:"exported"`
	Imported   int `json:"imported"`
	Cancelled  int `json:"cancelled"`
}

// Prompt is the input of a sequence.
type Prompt struct {
	Call     string
	Attempt  int
	Priority int
	Seed     string
	Text     string
	// Continued is text of Offset tokens that another engine generated.
	Continued string
	Offset    int
	MaxTokens int
}

// Run executes steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	e.mu.Lock()
	e.init()
	e.mu.Unlock()
	ticker := time.NewTicker(e.Options.StepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.step(time.Now())
		}
	}
}

func (e *Engine) init() {
	if e.sequences != nil {
		return
	}
	e.sequences = make(map[string]*sequence)
	e.imports = make(map[string]kvImport)
	e.cache.maxBlocks = e.Options.CacheBlocks
}

// Start queues a new sequence, or attaches a reader to the one that the call
// already has in this engine. started reports whether the sequence is new.
func (e *Engine) Start(prompt Prompt) (s *sequence, started bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	if existing := e.sequences[prompt.Call]; existing != nil && existing.generated >= prompt.Offset {
		existing.readers++
		return existing, false
	}
	s = newSequence(e.Options.ModelVersion, prompt)
	s.prefillLeft = e.uncachedTokens(s)
	e.sequences[prompt.Call] = s
	e.queue = append(e.queue, s)
	// Priority 0 runs first; equal priorities keep their order of arrival.
	slices.SortStableFunc(e.queue, func(a, b *sequence) int { return cmp.Compare(a.priority, b.priority) })
	return s, true
}

// uncachedTokens returns how many of a sequence's tokens are not cached now; the
// caller holds the lock.
func (e *Engine) uncachedTokens(s *sequence) int {
	cached := e.cache.lookup(s.blocks) * blockBytes / bytesPerToken
	return max(0, s.contextTokens()-cached)
}

// schedule determines how many tokens a sequence must prefill. It runs when the
// sequence leaves the queue rather than when it arrives, since others may have
// filled the cache while it waited.
func (e *Engine) schedule(s *sequence) {
	s.scheduled = true
	s.prefillLeft = min(e.uncachedTokens(s), max(0, s.contextTokens()-e.takeImport(s.call)))
	e.work.Prefilled += s.prefillLeft
	if !s.retried {
		return
	}
	e.work.Recomputed += s.prefillLeft
	e.Journal.Write(JournalEvent{
		Kind:   TokensRecomputed,
		Call:   s.call,
		Tokens: s.prefillLeft,
	})
}

// prefill spends up to budget prompt tokens on a sequence, adds the blocks that
// are complete to the cache, and returns the remaining budget.
func (e *Engine) prefill(s *sequence, budget int) int {
	tokens := min(budget, s.prefillLeft)
	s.prefillLeft -= tokens
	computed := min(len(s.blocks), (s.contextTokens()-s.prefillLeft)*bytesPerToken/blockBytes)
	if computed > s.cachedBlocks {
		e.cache.add(s.blocks[s.cachedBlocks:computed])
		s.cachedBlocks = computed
	}
	return budget - tokens
}

// HasSequence reports whether the call has a sequence in this engine.
func (e *Engine) HasSequence(call string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sequences[call] != nil
}

// Detach removes a reader; a sequence without readers is kept for orphanTimeout.
func (e *Engine) Detach(s *sequence, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers == 0 {
		s.orphanedAt = now
	}
}

// Cancel discards the call's sequence at once.
func (e *Engine) Cancel(call string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.sequences[call]; s != nil {
		e.discard(s)
	}
}

// discard removes a sequence and wakes its readers; the caller holds the lock.
func (e *Engine) discard(s *sequence) {
	if !s.isFinished() {
		e.work.Cancelled++
	}
	s.cancelled = true
	s.wakeReaders()
	delete(e.sequences, s.call)
}

// Work returns the engine's counts so far.
func (e *Engine) Work() WorkCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.work
}

// Load returns the number of running and of queued sequences, and the prompt
// tokens that they still have to compute.
func (e *Engine) Load() (running, queued, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.queue {
		tokens += s.prefillLeft
	}
	for _, s := range e.running {
		tokens += s.prefillLeft
	}
	return len(e.running), len(e.queue), tokens
}

func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sequences {
		if s.readers == 0 && now.Sub(s.orphanedAt) > orphanTimeout {
			e.discard(s)
		}
	}
	e.queue = slices.DeleteFunc(e.queue, func(s *sequence) bool { return s.cancelled })
	for len(e.running) < e.Options.Slots && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	budget := e.Options.PrefillPerStep
	for _, s := range e.running {
		if !s.scheduled && budget == 0 {
			continue
		}
		if !s.scheduled {
			e.schedule(s)
		}
		if s.prefillLeft > 0 {
			budget = e.prefill(s, budget)
			continue
		}
		e.generateToken(s)
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		return s.cancelled || s.isFinished()
	})
}

func (e *Engine) generateToken(s *sequence) {
	if s.cancelled || s.isFinished() {
		return
	}
	if s.generated == s.startOffset {
		// Marks all blocks as recently used, also those that were cached before.
		e.cache.add(s.blocks)
	}
	s.generated++
	e.work.Generated++
	s.wakeReaders()
}

// waitForTokens blocks until the sequence has more than have tokens, is finished
// or is cancelled.
func (e *Engine) waitForTokens(ctx context.Context, s *sequence, have int) (generated int, err error) {
	for {
		e.mu.Lock()
		generated, changed := s.generated, s.changed
		finished := s.isFinished()
		cancelled := s.cancelled
		e.mu.Unlock()
		switch {
		case generated > have || finished:
			return generated, nil
		case cancelled:
			return generated, errCancelled
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return generated, ctx.Err()
		}
	}
}
