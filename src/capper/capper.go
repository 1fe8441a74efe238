package capper

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// TotalFraction is the fraction of an instance's memory limit that all buffered answers together may hold.
const TotalFraction = 0.25

// maxSenders bounds the senders that have counters of their own: upstreams change their names, and counters are kept
// until the process ends.
const maxSenders = 256

// otherSenders is the sender in the counter of those beyond maxSenders.
const otherSenders = "other"

// Capper bounds what all answers of a process hold together and reports those that exceed a bound. Its fields are set
// before use; it is safe for concurrent use. A nil *Capper has no common bound and reports nothing.
type Capper struct {
	// MaxTotal is the common bound in bytes, 0 for none.
	MaxTotal int64
	Log      zerolog.Logger
	// Scope may be nil; nothing is counted then.
	Scope tally.Scope

	used    atomic.Int64
	mu      sync.Mutex
	senders map[string]bool
}

// Used returns how many bytes all answers hold now.
func (c *Capper) Used() int64 { return c.used.Load() }

// NewHold returns the account of one answer, which holds nothing yet.
func (c *Capper) NewHold() *Hold { return &Hold{capper: c} }

// Report logs and counts an answer or message of a sender, such as an upstream, if err says that it exceeds a bound.
func (c *Capper) Report(sender string, err error) {
	var exceeded *ExceededError
	if c == nil || !errors.As(err, &exceeded) {
		return
	}
	c.Log.Warn().
		Str("upstream", sender).
		Str("kind", string(exceeded.Kind)).
		Int64("limit", exceeded.Limit).
		Int64("held", c.Used()).
		Msg("answer-too-large")
	if c.Scope == nil {
		return
	}
	c.Scope.Tagged(map[string]string{
		"upstream": c.counted(sender),
		"kind":     string(exceeded.Kind),
	}).Counter("oversized_answers").Inc(1)
}

// counted returns the name under which a sender is counted.
func (c *Capper) counted(sender string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.senders[sender] {
		return sender
	}
	if len(c.senders) >= maxSenders {
		return otherSenders
	}
	if c.senders == nil {
		c.senders = make(map[string]bool)
	}
	c.senders[sender] = true
	return sender
}

// Hold is what one answer holds of the bound on all of them. A nil *Hold bounds nothing. Only one goroutine at a time
// may use it.
type Hold struct {
	capper *Capper
	bytes  int64
}

// Grow adds to what the answer holds. It fails with an *ExceededError if the answer would then hold more than is left
// for others: a few that are sent without end leave room for many small ones.
func (h *Hold) Grow(bytes int64) error {
	if h == nil || h.capper == nil || bytes == 0 {
		return nil
	}
	used := h.capper.used.Add(bytes)
	if limit := h.capper.MaxTotal; limit > 0 && h.bytes+bytes > limit-used {
		h.capper.used.Add(-bytes)
		return &ExceededError{
			Kind:  Total,
			Limit: limit,
		}
	}
	h.bytes += bytes
	return nil
}

// Shrink subtracts from what the answer holds.
func (h *Hold) Shrink(bytes int64) {
	if h == nil || h.capper == nil {
		return
	}
	h.bytes -= bytes
	h.capper.used.Add(-bytes)
}

// Release gives back all that the answer holds; it may be called again.
func (h *Hold) Release() {
	if h != nil {
		h.Shrink(h.bytes)
	}
}
