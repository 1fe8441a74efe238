package limiter

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const retryAfter = time.Second

// Limiter holds this entry's share of each account's limits.
type Limiter struct {
	mu       sync.Mutex
	accounts map[units.Account]*account
}

type account struct {
	limits   parser.Limits
	requests *rate.Limiter
	running  int
}

// Admit admits a call at once or refuses it; release must be called once at its end.
func (l *Limiter) Admit(_ context.Context, call *dispatcher.Call) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.account(call.Account)
	if held.limits.Concurrency > 0 && held.running >= held.limits.Concurrency {
		return nil, refusal(call.Account, "concurrency")
	}
	if held.requests != nil && !held.requests.Allow() {
		return nil, refusal(call.Account, "requests-per-second")
	}
	held.running++
	return func() { l.release(held) }, nil
}

func (l *Limiter) release(held *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held.running--
}

func (l *Limiter) account(configured *parser.ClientAccount) *account {
	if l.accounts == nil {
		l.accounts = make(map[units.Account]*account)
	}
	held := l.accounts[configured.Name]
	if held == nil {
		held = &account{}
		l.accounts[configured.Name] = held
	}
	if held.limits != configured.Limits {
		held.limits = configured.Limits
		held.requests = newRate(configured.Limits.RequestsPerSecond)
	}
	return held
}

func newRate(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func refusal(configured *parser.ClientAccount, limit string) *dispatcher.Refusal {
	return &dispatcher.Refusal{
		Status:     http.StatusTooManyRequests,
		Kind:       dispatcher.ProblemLimit,
		Detail:     fmt.Sprintf("client account %s has reached its limit %s", configured.Name, limit),
		Executed:   dispatcher.ExecutedNo,
		RetryAfter: retryAfter,
	}
}
