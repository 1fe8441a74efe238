package limiter

import (
	"sync"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// retryRatio is how many retries one answered call earns.
	retryRatio = 0.2
	// maxSavedRetries is the largest number of retries that a service may save up;
	// a budget starts with as many.
	maxSavedRetries = 100
)

// RetryBudget bounds each service's retries to a fraction of its answered calls.
type RetryBudget struct {
	mu    sync.Mutex
	spent map[units.Service]float64
}

// RecordAnswer records a call that was answered.
func (b *RetryBudget) RecordAnswer(service units.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent[service] > 0 {
		b.spent[service] = max(0, b.spent[service]-retryRatio)
	}
}

// AllowRetry reports whether one more attempt may be made, and counts it.
func (b *RetryBudget) AllowRetry(service units.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent[service]+1 > maxSavedRetries {
		return false
	}
	if b.spent == nil {
		b.spent = make(map[units.Service]float64)
	}
	b.spent[service]++
	return true
}

// AllowResume counts a stream that is resumed at another upstream. It is always allowed:
// the caller already has half an answer, and the stream is not new work.
func (b *RetryBudget) AllowResume(service units.Service) bool {
	_ = b.AllowRetry(service)
	return true
}
