package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rosecroft/rosecroft/src/allocator"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/timekeeper"
)

// checkLimit charges a call to its account, or returns its refusal.
func (g *Gateway) checkLimit(call *dispatcher.Call, account *matcher.Account) error {
	now := timekeeper.Now()
	remaining := remainingTime(now, call)
	decision := g.quota.Decide(now, account, allocator.Ask{
		Size:      call.LimitCost,
		Urgency:   call.RouteUrgency,
		Remaining: remaining,
	})
	if t, known := call.Trace.(*callTrace); known && g.quota.ByUrgency && account.Rate > 0 {
		t.limitedByUrgency = true
		t.limitReserve = decision.Reserve
		t.limitRemaining = remaining
	}
	if decision.Admitted {
		recordCharge(call)
		return nil
	}
	g.trafficStats.limitRefused(allocator.ClampUrgency(call.RouteUrgency))
	detail := fmt.Sprintf("the account's limit of %.0f a second is reached", account.Rate)
	if g.quota.ByUrgency {
		detail += fmt.Sprintf(" for calls of urgency %d, which leave a reserve of %.0f to more urgent ones", call.RouteUrgency, decision.Reserve)
	}
	return newRefusal(http.StatusTooManyRequests, dispatcher.ProblemLimit, detail+"; come back later or raise it", decision.RetryAfter)
}

// recordCharge records that the account of a call was charged for it.
func recordCharge(call *dispatcher.Call) {
	if t, known := call.Trace.(*callTrace); known {
		t.charged = call.LimitCost
	}
}

// remainingTime returns the time until a call's deadline, 0 if it has none.
func remainingTime(now time.Time, call *dispatcher.Call) time.Duration {
	if call.BootTimeDeadline.IsZero() {
		return 0
	}
	return max(time.Nanosecond, call.BootTimeDeadline.Sub(now))
}

// logExcesses logs accounts that began to ask for more than their limit, and those that no longer do.
func (g *Gateway) logExcesses(now time.Time) {
	for _, e := range g.quota.TakeExcesses(now) {
		g.Log.Info().
			Str("account", string(e.Account)).
			Bool("exceeded", e.Exceeded).
			Float64("demand", e.Demand).
			Float64("limit", e.Limit).
			Msg("limit-exceeded")
	}
}
