package explainer

import (
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxCalls is how many calls a book keeps, some 4 MB.
	maxCalls = 2048
	// maxDecisions bounds one call's, for streams that move often.
	maxDecisions = 64
	// usualDecisions is room for a call with one attempt and its candidates.
	usualDecisions = 12
)

// Book keeps the trails of the last calls; the zero value is ready.
type Book struct {
	mu   sync.Mutex
	ring []*Trail
	byID map[units.CallID]*Trail
	next int
}

// Trail is what was decided about one call.
type Trail struct {
	id    units.CallID
	began time.Time

	mu        sync.Mutex
	decisions []decision
	left      int
}

type decision struct {
	after    time.Duration
	step     dispatcher.Step
	upstream units.Upstream
	score    float64
	detail   string
}

// Open starts a call's trail, which takes the place of the oldest one.
func (b *Book) Open(id units.CallID) *Trail {
	trail := &Trail{
		id:        id,
		began:     time.Now(),
		decisions: make([]decision, 0, usualDecisions),
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID == nil {
		b.byID = make(map[units.CallID]*Trail)
	}
	b.byID[id] = trail
	if len(b.ring) < maxCalls {
		b.ring = append(b.ring, trail)
		return trail
	}
	delete(b.byID, b.ring[b.next].id)
	b.ring[b.next] = trail
	b.next = (b.next + 1) % maxCalls
	return trail
}

// RecordStep records a decision.
func (t *Trail) RecordStep(step dispatcher.Step, upstream units.Upstream, detail string) {
	t.add(decision{
		step:     step,
		upstream: upstream,
		detail:   detail,
	})
}

// RecordCandidate records an upstream that could be chosen and its score, the lower the better.
func (t *Trail) RecordCandidate(upstream units.Upstream, score float64) {
	t.add(decision{
		step:     dispatcher.StepCandidate,
		upstream: upstream,
		score:    score,
	})
}

func (t *Trail) add(next decision) {
	next.after = time.Since(t.began)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.decisions) >= maxDecisions {
		// The end matters more than the middle: it says what became of the call.
		t.left++
		t.decisions[maxDecisions-1] = next
		return
	}
	t.decisions = append(t.decisions, next)
}

// Explanation is what an operator reads of one call.
type Explanation struct {
	Call      units.CallID `yaml:"call"`
	Began     time.Time    `yaml:"began"`
	Decisions []Decision   `yaml:"decisions"`
	// LeftOut counts decisions beyond what is kept.
	LeftOut int `yaml:"left-out"`
}

// Decision is one step of a call; Score is in seconds and set for candidates.
type Decision struct {
	After    time.Duration   `yaml:"after"`
	Step     dispatcher.Step `yaml:"step"`
	Upstream units.Upstream  `yaml:"upstream,omitempty"`
	Score    float64         `yaml:"score,omitempty"`
	Detail   string          `yaml:"detail,omitempty"`
}

// Explain returns what was decided about a call, or nil where it is not among the last ones.
func (b *Book) Explain(id units.CallID) *Explanation {
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
		LeftOut: trail.left,
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
