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
	id        units.CallID
	startedAt time.Time

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
func (s *TraceStore) Start(id units.CallID) *Trace {
	trace := &Trace{
		id:        id,
		startedAt: time.Now(),
		decisions: make([]decision, 0, initialDecisions),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = make(map[units.CallID]*Trace)
	}
	s.byID[id] = trace
	if len(s.ring) < maxCalls {
		s.ring = append(s.ring, trace)
		return trace
	}
	delete(s.byID, s.ring[s.oldest].id)
	s.ring[s.oldest] = trace
	s.oldest = (s.oldest + 1) % maxCalls
	return trace
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
	next.after = time.Since(t.startedAt)
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
	StartedAt time.Time    `yaml:"began"`
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
func (s *TraceStore) Explain(id units.CallID) *Explanation {
	s.mu.Lock()
	trace := s.byID[id]
	s.mu.Unlock()
	if trace == nil {
		return nil
	}
	trace.mu.Lock()
	defer trace.mu.Unlock()
	explanation := &Explanation{
		Call:      trace.id,
		StartedAt: trace.startedAt,
		LeftOut:   trace.omitted,
	}
	for _, d := range trace.decisions {
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
