package loader

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the final result of a call as its caller knows it.
type Result string

// The results of a call.
const (
	Answered Result = "answered"
	// NotRun is a refusal that states that the call was not run.
	NotRun Result = "not-run"
	// Unknown is a refusal that does not state whether the call ran.
	Unknown Result = "unknown"
	// Failed is an answer that is malformed or has the wrong number of tokens.
	Failed Result = "failed"
	// Lost is a call without a final answer before its deadline.
	Lost Result = "lost"
)

// Outcome is the outcome of one call as observed by its caller.
type Outcome struct {
	Reference string
	Workload  string
	Kind      Kind
	Key       string
	// Prompt is the complete prompt of a model call.
	Prompt string
	// Seed is the sampling seed of a model call.
	Seed   string
	Result Result
	// Scheduled is when the call was due, counted from the start of the load.
	Scheduled time.Duration
	// Latency is the time from the scheduled time to the end of the answer, and
	// FirstToken the time to its first token.
	Latency    time.Duration
	FirstToken time.Duration
	// GapP95 is the 95th percentile of the time between tokens.
	GapP95 time.Duration
	Tokens int
	// Attempts is how often the caller sent the call, and Cuts how many of its
	// streams ended early.
	Attempts int
	Cuts     int
	// RefusalLatency is the time from the last attempt to its refusal as not run.
	RefusalLatency time.Duration
	Status         int
	// Answer is the complete text of a stream or the body of another answer.
	Answer []byte
	Detail string
}

// Report holds the outcomes of a load.
type Report struct {
	Outcomes []*Outcome
	Duration time.Duration
}

const (
	maxLatency        = int64(2 * time.Minute)
	significantDigits = 3
)

// Count returns how many calls of a workload had a result; an empty name means all workloads.
func (r *Report) Count(workload string, result Result) int {
	count := 0
	for _, outcome := range r.Outcomes {
		if (workload == "" || outcome.Workload == workload) && outcome.Result == result {
			count++
		}
	}
	return count
}

// FirstTokenLatencies returns the times to the first token of the answered streams.
func (r *Report) FirstTokenLatencies() *hdrhistogram.Histogram {
	return r.histogram(func(o *Outcome) (time.Duration, bool) {
		return o.FirstToken, o.Kind == Stream && o.Result == Answered
	})
}

// TokenGaps returns the 95th percentiles of the time between tokens of the answered streams.
func (r *Report) TokenGaps() *hdrhistogram.Histogram {
	return r.histogram(func(o *Outcome) (time.Duration, bool) {
		return o.GapP95, o.Kind == Stream && o.Result == Answered
	})
}

// Latencies returns the latencies of the answered calls of a kind.
func (r *Report) Latencies(kind Kind) *hdrhistogram.Histogram {
	return r.histogram(func(o *Outcome) (time.Duration, bool) {
		return o.Latency, o.Kind == kind && o.Result == Answered
	})
}

// RefusalLatencies returns the latencies of the final refusals of calls that were not run.
func (r *Report) RefusalLatencies() *hdrhistogram.Histogram {
	return r.histogram(func(o *Outcome) (time.Duration, bool) {
		return o.RefusalLatency, o.Result == NotRun
	})
}

// CountWithinTargets returns how many answered streams met both latency targets.
func (r *Report) CountWithinTargets(firstToken, between time.Duration) int {
	count := 0
	for _, o := range r.Outcomes {
		if o.Kind == Stream && o.Result == Answered && o.FirstToken <= firstToken && o.GapP95 <= between {
			count++
		}
	}
	return count
}

// Tokens returns the total number of tokens that callers received.
func (r *Report) Tokens() int {
	count := 0
	for _, o := range r.Outcomes {
		count += o.Tokens
	}
	return count
}

func (r *Report) histogram(latency func(*Outcome) (time.Duration, bool)) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(1, maxLatency, significantDigits)
	for _, outcome := range r.Outcomes {
		if value, included := latency(outcome); included {
			_ = histogram.RecordValue(min(max(1, int64(value)), maxLatency))
		}
	}
	return histogram
}

// percentile returns the value below which a fraction of the durations lies. It
// sorts the durations.
func percentile(durations []time.Duration, fraction float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[min(len(durations)-1, int(fraction*float64(len(durations))))]
}

func sortAndNumber(arrivals []arrival) []arrival {
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range arrivals {
		arrivals[i].sequence = i
	}
	return arrivals
}
