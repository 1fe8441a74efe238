package loader

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxIdle keeps a connection for each call under way to an entry.
const maxIdle = 512

// Loader makes calls at their due times, whether or not earlier ones have ended.
type Loader struct {
	Balancer  *Balancer
	Workloads []*Workload
	Span      time.Duration
	Seed      uint64
	// Name sets the references of one load apart from another's.
	Name string
	// Resend makes callers send refused calls again after Retry-After.
	Resend bool
}

// Run makes the calls and returns what became of each once all have ended.
func (l *Loader) Run(ctx context.Context) *Report {
	probing, stop := context.WithCancel(ctx)
	defer stop()
	go l.Balancer.Run(probing)
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdle,
		},
	}
	defer client.CloseIdleConnections()
	arrivals := plan(l.Workloads, l.Span, l.Seed)
	report := &Report{
		Outcomes: make([]*Outcome, 0, len(arrivals)),
		Span:     l.Span,
	}
	began := time.Now()
	var calls sync.WaitGroup
	for _, next := range arrivals {
		due := began.Add(next.at)
		if !sleepUntil(ctx, due) {
			break
		}
		c := l.caller(client, next, due)
		report.Outcomes = append(report.Outcomes, c.outcome)
		calls.Go(func() { c.run(ctx) })
	}
	calls.Wait()
	return report
}

func (l *Loader) caller(client *http.Client, next arrival, due time.Time) *caller {
	reference := fmt.Sprintf("%s-%d", l.Name, next.sequence)
	return &caller{
		client:   client,
		balancer: l.Balancer,
		workload: next.workload,
		body:     next.body(),
		due:      due,
		resend:   l.Resend,
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
