package loader

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxIdleConnections is large enough to keep a connection for each concurrent call to an entry.
const maxIdleConnections = 512

// Loader makes calls at their scheduled times, whether or not earlier ones have ended.
type Loader struct {
	Balancer  *Balancer
	Workloads []*Workload
	// Duration is how long new calls are made.
	Duration time.Duration
	// Seed determines the arrivals and prompts.
	Seed uint64
	// Name is the prefix of the references, which distinguishes them from those of other loads.
	Name string
	// RetryRefused makes callers retry refused calls after Retry-After.
	RetryRefused bool
}

// Run makes the calls and returns their outcomes once all have ended.
func (l *Loader) Run(ctx context.Context) *Report {
	probeCtx, stop := context.WithCancel(ctx)
	defer stop()
	go l.Balancer.Run(probeCtx)
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections,
		},
	}
	defer client.CloseIdleConnections()
	arrivals := drawArrivals(l.Workloads, l.Duration, l.Seed)
	report := &Report{
		Outcomes: make([]*Outcome, 0, len(arrivals)),
		Duration: l.Duration,
	}
	start := time.Now()
	var calls sync.WaitGroup
	for _, next := range arrivals {
		due := start.Add(next.at)
		if !sleepUntil(ctx, due) {
			break
		}
		c := l.newCaller(client, next, due)
		report.Outcomes = append(report.Outcomes, c.outcome)
		calls.Go(func() { c.run(ctx) })
	}
	calls.Wait()
	return report
}

func (l *Loader) newCaller(client *http.Client, next arrival, due time.Time) *caller {
	reference := fmt.Sprintf("%s-%d", l.Name, next.sequence)
	return &caller{
		client:       client,
		balancer:     l.Balancer,
		workload:     next.workload,
		body:         next.body(),
		due:          due,
		retryRefused: l.RetryRefused,
		outcome: &Outcome{
			Reference: reference,
			Workload:  next.workload.Name,
			Kind:      next.workload.Kind,
			Key:       reference,
			Prompt:    next.prompt,
			Seed:      strconv.Itoa(next.sequence),
			Scheduled: next.at,
		},
	}
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
