package explainer

import (
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxCalls is how many calls are kept, about 4 MB.
	maxCalls = 2048
	// maxDecisions bounds the decisions kept for one call; a stream may move often.
	maxDecisions = 64
	// initialDecisions is the initial capacity, enough for a call with one attempt and its
	// candidates.
	initialDecisions = 12
)

// TraceStore keeps the decisions about the most recent calls; the zero value is ready to use.
type TraceStore struct {
	mu     sync.Mutex
	ring   []*Trace
	byID   map[units.CallID]*Trace
	oldest int
}

// Trace records the decisions about one call.
type Trace struct {
	id    units.CallID
	began time.Time

	mu        sync.Mutex
	decisions []decision
	omitted   int
}

type decision struct {
	after    time.Duration
	step     dispatcher.Step
	upstream units.Upstream
	score    float64
	detail   string
}

// Start starts recording a call; the oldest call is dropped once maxCalls are kept.
func (b *TraceStore) Start(id units.CallID) *Trace {
	trail := &Trace{
		id:        id,
		began:     time.Now(),
		decisions: make([]decision, 0, initialDecisions),
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID == nil {
		b.byID = make(map[units.CallID]*Trace)
	}
	b.byID[id] = trail
	if len(b.ring) < maxCalls {
		b.ring = append(b.ring, trail)
		return trail
	}
	delete(b.byID, b.ring[b.oldest].id)
	b.ring[b.oldest] = trail
	b.oldest = (b.oldest + 1) % maxCalls
	return trail
}

// RecordStep records a decision.
func (t *Trace) RecordStep(step dispatcher.Step, upstream units.Upstream, detail string) {
	t.add(decision{
		step:     step,
		upstream: upstream,
		detail:   detail,
	})
}

// RecordCandidate records an upstream that could be chosen and its score, where lower is better.
func (t *Trace) RecordCandidate(upstream units.Upstream, score float64) {
	t.add(decision{
		step:     dispatcher.StepCandidate,
		upstream: upstream,
		score:    score,
	})
}

func (t *Trace) add(next decision) {
	next.after = time.Since(t.began)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.decisions) >= maxDecisions {
		// Overwrite the last decision: the final one states the outcome, which matters more than
		// those in the middle.
		t.omitted++
		t.decisions[maxDecisions-1] = next
		return
	}
	t.decisions = append(t.decisions, next)
}

// Explanation is what operators see of one call.
type Explanation struct {
	Call      units.CallID `yaml:"call"`
	Began     time.Time    `yaml:"began"`
	Decisions []Decision   `yaml:"decisions"`
	// LeftOut is the number of decisions that were not kept.
	LeftOut int `yaml:"left-out"`
}

// Decision is one decision about a call; Score is in seconds and only set for candidates.
type Decision struct {
	After    time.Duration   `yaml:"after"`
	Step     dispatcher.Step `yaml:"step"`
	Upstream units.Upstream  `yaml:"upstream,omitempty"`
	Score    float64         `yaml:"score,omitempty"`
	Detail   string          `yaml:"detail,omitempty"`
}

// Explain returns the decisions about a call, or nil if it is not among the most recent ones.
func (b *TraceStore) Explain(id units.CallID) *Explanation {
	b.mu.Lock()
	trail := b.byID[id]
	b.mu.Unlock()
	if trail == nil {
		return nil
	}
	trail.mu.Lock()
	defer trail.mu.Unlock()
	explanation := &Explanation{
		Call:    trail.id,
		Began:   trail.began,
		LeftOut: trail.omitted,
	}
	for _, d := range trail.decisions {
		explanation.Decisions = append(explanation.Decisions, Decision{
			After:    d.after,
			Step:     d.step,
			Upstream: d.upstream,
			Score:    d.score,
			Detail:   d.detail,
		})
	}
	return explanation
}
