package standin

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// lingerFor is how long a sequence waits for a reader to come back, so that a
// stream can go on over another connection.
const lingerFor = time.Second

var errEnded = errors.New("the sequence was cancelled")

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
	// KVBytesPerToken and KVBytesPerSecond say what an export costs.
	KVBytesPerToken  int
	KVBytesPerSecond int
}

// Engine batches sequences continuously; one step gives each running one a token.
type Engine struct {
	Options EngineOptions
	// Journal keeps what was computed again; it may be nil.
	Journal *Journal

	mu        sync.Mutex
	queue     []*sequence
	running   []*sequence
	sequences map[string]*sequence
	cache     prefixCache
	imports   map[string]imported
	// linkFree is when the link that exports KV cache is free again.
	linkFree time.Time
	work     Work
}

// Work counts what an engine computed, in tokens.
type Work struct {
	// Prefilled counts all prompt tokens computed, Recomputed those that had
	// been computed before for the same call.
	Prefilled  int `json:"prefilled"`
	Recomputed int `json:"recomputed"`
	Generated  int `json:"generated"`
	Exported   int `json:"exported"`
	Imported   int `json:"imported"`
	Cancelled  int `json:"cancelled"`
}

// Prompt is what a sequence starts from.
type Prompt struct {
	Call     string
	Attempt  int
	Priority int
	Seed     string
	Text     string
	// Continued is text generated elsewhere, of Offset tokens.
	Continued string
	Offset    int
	Most      int
}

// Run steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	e.mu.Lock()
	e.init()
	e.mu.Unlock()
	ticker := time.NewTicker(e.Options.Step)
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
	e.imports = make(map[string]imported)
	e.cache.most = e.Options.CacheBlocks
}

// Start queues a sequence, or returns the one that the call already has here;
// begun says which.
func (e *Engine) Start(prompt Prompt) (s *sequence, begun bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	if known := e.sequences[prompt.Call]; known != nil && known.generated >= prompt.Offset {
		known.readers++
		return known, false
	}
	s = newSequence(e.Options.ModelVersion, prompt)
	s.prefill = e.uncached(s)
	e.sequences[prompt.Call] = s
	e.queue = append(e.queue, s)
	// Priority 0 goes first; equal priorities keep their order.
	slices.SortStableFunc(e.queue, func(a, b *sequence) int { return cmp.Compare(a.priority, b.priority) })
	return s, true
}

// uncached returns the tokens of a sequence that are not cached now; the lock is held.
func (e *Engine) uncached(s *sequence) int {
	cached := e.cache.hit(s.blocks) * blockBytes / bytesPerToken
	return max(0, s.context()-cached)
}

// schedule looks up what a sequence must compute, at the moment when its turn
// comes: what others computed while it waited is cached by then.
func (e *Engine) schedule(s *sequence) {
	s.scheduled = true
	s.prefill = min(e.uncached(s), max(0, s.context()-e.takeImport(s.call)))
	e.work.Prefilled += s.prefill
	if !s.again {
		return
	}
	e.work.Recomputed += s.prefill
	e.Journal.Write(Line{
		Happening: Recomputed,
		Call:      s.call,
		Tokens:    s.prefill,
	})
}

// compute spends prefill budget on a sequence and returns what is left of it.
func (e *Engine) compute(s *sequence, budget int) int {
	done := min(budget, s.prefill)
	s.prefill -= done
	computed := min(len(s.blocks), (s.context()-s.prefill)*bytesPerToken/blockBytes)
	if computed > s.cached {
		e.cache.add(s.blocks[s.cached:computed])
		s.cached = computed
	}
	return budget - done
}

// Runs reports whether the call has a sequence here.
func (e *Engine) Runs(call string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sequences[call] != nil
}

// Detach takes a reader away; a sequence without one is kept for a while.
func (e *Engine) Detach(s *sequence, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers == 0 {
		s.orphanedAt = now
	}
}

// Cancel ends the call's sequence at once.
func (e *Engine) Cancel(call string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.sequences[call]; s != nil {
		e.end(s)
	}
}

// end takes a sequence away; the lock is held.
func (e *Engine) end(s *sequence) {
	if !s.finished() {
		e.work.Cancelled++
	}
	s.cancelled = true
	s.wake()
	delete(e.sequences, s.call)
}

// Work returns what the engine computed so far.
func (e *Engine) Work() Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.work
}

// Load returns the counts of running and queued sequences and of prompt tokens to compute.
func (e *Engine) Load() (running, queued, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.queue {
		tokens += s.prefill
	}
	for _, s := range e.running {
		tokens += s.prefill
	}
	return len(e.running), len(e.queue), tokens
}

func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sequences {
		if s.readers == 0 && now.Sub(s.orphanedAt) > lingerFor {
			e.end(s)
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
		if s.prefill > 0 {
			budget = e.compute(s, budget)
			continue
		}
		e.generate(s)
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		return s.cancelled || s.finished()
	})
}

func (e *Engine) generate(s *sequence) {
	if s.cancelled || s.finished() {
		return
	}
	if s.generated == s.offset {
		// Marks the blocks as used; those that were cached before count too.
		e.cache.add(s.blocks)
	}
	s.generated++
	e.work.Generated++
	s.wake()
}

// wait blocks until the sequence has more than have tokens or is at its end.
func (e *Engine) wait(ctx context.Context, s *sequence, have int) (generated int, err error) {
	for {
		e.mu.Lock()
		generated, changed := s.generated, s.changed
		ended := s.finished()
		cancelled := s.cancelled
		e.mu.Unlock()
		switch {
		case generated > have || ended:
			return generated, nil
		case cancelled:
			return generated, errEnded
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return generated, ctx.Err()
		}
	}
}
