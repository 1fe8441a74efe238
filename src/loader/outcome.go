package loader

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a caller knows in the end.
type Result string

// The ends of a call.
const (
	Answered Result = "answered"
	// NotRun is a refusal that says the call was not run.
	NotRun Result = "not-run"
	// Unknown is a refusal that leaves open whether the call ran.
	Unknown Result = "unknown"
	// Failed is an answer that is not whole or not the caller's own.
	Failed Result = "failed"
	// Lost is a call without any final answer before its deadline.
	Lost Result = "lost"
)

// Outcome is one call as its caller saw it.
type Outcome struct {
	Reference string
	Workload  string
	Kind      Kind
	Key       string
	// Prompt is a model call's whole prompt.
	Prompt string
	// Seed is what the call asked the engine to draw with.
	Seed   string
	Result Result
	// Scheduled is when the call was due, from the start of the load.
	Scheduled time.Duration
	// Took runs from then to the end of the answer, FirstToken to its first token.
	Took       time.Duration
	FirstToken time.Duration
	// GapP95 is the 95th percentile of the time between tokens.
	GapP95 time.Duration
	Tokens int
	// Sends is how often the caller sent the call, Cuts how many of its streams
	// ended early.
	Sends int
	Cuts  int
	// RefusedIn is how long the last refusal took.
	RefusedIn time.Duration
	Status    int
	// Answer is the whole text or body that the caller received.
	Answer []byte
	Detail string
}

// Report is the sum of a load.
type Report struct {
	Outcomes []*Outcome
	Span     time.Duration
}

const (
	histogramMost   = int64(2 * time.Minute)
	histogramDigits = 3
)

// Count returns how many calls of a workload ended so; an empty name counts all.
func (r *Report) Count(workload string, result Result) int {
	count := 0
	for _, outcome := range r.Outcomes {
		if (workload == "" || outcome.Workload == workload) && outcome.Result == result {
			count++
		}
	}
	return count
}

// FirstTokens returns the times to the first token of the answered model calls.
func (r *Report) FirstTokens() *hdrhistogram.Histogram {
	return r.histogram(func(o *Outcome) (time.Duration, bool) {
		return o.FirstToken, o.Kind == Stream && o.Result == Answered
	})
}

// Gaps returns the 95th percentile gaps of the answered streams.
func (r *Report) Gaps() *hdrhistogram.Histogram {
	return r.histogram(func(o *Outcome) (time.Duration, bool) {
		return o.GapP95, o.Kind == Stream && o.Result == Answered
	})
}

// Latencies returns how long the answered calls of a kind took.
func (r *Report) Latencies(kind Kind) *hdrhistogram.Histogram {
	return r.histogram(func(o *Outcome) (time.Duration, bool) {
		return o.Took, o.Kind == kind && o.Result == Answered
	})
}

// Refusals returns how long the last refusals took.
func (r *Report) Refusals() *hdrhistogram.Histogram {
	return r.histogram(func(o *Outcome) (time.Duration, bool) {
		return o.RefusedIn, o.Result == NotRun
	})
}

// Within returns how many streams met both latency targets.
func (r *Report) Within(firstToken, between time.Duration) int {
	count := 0
	for _, o := range r.Outcomes {
		if o.Kind == Stream && o.Result == Answered && o.FirstToken <= firstToken && o.GapP95 <= between {
			count++
		}
	}
	return count
}

// Tokens returns how many tokens callers received.
func (r *Report) Tokens() int {
	count := 0
	for _, o := range r.Outcomes {
		count += o.Tokens
	}
	return count
}

func (r *Report) histogram(value func(*Outcome) (time.Duration, bool)) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(1, histogramMost, histogramDigits)
	for _, outcome := range r.Outcomes {
		if taken, counts := value(outcome); counts {
			_ = histogram.RecordValue(min(max(1, int64(taken)), histogramMost))
		}
	}
	return histogram
}

// percentile returns the value below which a share of the durations lies.
func percentile(durations []time.Duration, share float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[min(len(durations)-1, int(share*float64(len(durations))))]
}

func sortByTime(arrivals []arrival) []arrival {
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range arrivals {
		arrivals[i].sequence = i
	}
	return arrivals
}
