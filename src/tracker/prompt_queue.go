package tracker

import "sync/atomic"

// RankCount is the number of ranks that upstreams distinguish.
const RankCount = 10

// PromptQueue counts the prompt tokens that were sent to an upstream and whose calls have no first token
// yet, by the rank at which they were sent.
type PromptQueue struct {
	onTime   [RankCount]atomic.Int64
	deferred [RankCount]atomic.Int64
}

// RankTokens are numbers of prompt tokens by rank.
type RankTokens [RankCount]int64

// UpTo returns how many of the tokens have this rank or a more urgent one.
func (t *RankTokens) UpTo(rank int) int64 {
	sum := int64(0)
	for _, tokens := range t[:clampRank(rank)+1] {
		sum += tokens
	}
	return sum
}

// Total returns the tokens of all ranks.
func (t *RankTokens) Total() int64 { return t.UpTo(RankCount - 1) }

// Add adds other tokens.
func (t *RankTokens) Add(other *RankTokens) {
	for rank, tokens := range other {
		t[rank] += tokens
	}
}

// Tokens returns the queued tokens of calls that were not deferred, and of those that were.
func (q *PromptQueue) Tokens() (onTime, deferred RankTokens) {
	for rank := range RankCount {
		onTime[rank] = q.onTime[rank].Load()
		deferred[rank] = q.deferred[rank].Load()
	}
	return onTime, deferred
}

// Deferred returns the queued tokens of deferred calls.
func (q *PromptQueue) Deferred() int64 {
	sum := int64(0)
	for rank := range RankCount {
		sum += q.deferred[rank].Load()
	}
	return sum
}

// AddPrompt adds the tokens of a prompt to the prompts that wait for prefill; a negative number removes them.
func (l *LocalState) AddPrompt(tokens int64, rank int, deferred bool) {
	l.PrefillTokens.Add(tokens)
	if deferred {
		l.Queue.deferred[clampRank(rank)].Add(tokens)
		return
	}
	l.Queue.onTime[clampRank(rank)].Add(tokens)
}

func clampRank(rank int) int { return min(max(0, rank), RankCount-1) }
