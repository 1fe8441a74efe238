package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rosecroft/rosecroft/src/allocator"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/granter"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxGrantWait is how long a call waits for a grant: two polls of an entry that has asked for the next one, and
	// their round trips. grantWaitFraction bounds that to a fraction of its remaining time.
	maxGrantWait      = 250 * time.Millisecond
	grantWaitFraction = 0.1
	// grantRetryAfter is when entries are likely to be granted more: admitted tokens leave the window all the time.
	grantRetryAfter = time.Second
	// maxRetryDivisor bounds a Retry-After to a part of the remaining time, so that a caller can still be served.
	maxRetryDivisor = 4
)

// checkLimit charges a call to its account, or returns its refusal.
func (g *Gateway) checkLimit(ctx context.Context, call *dispatcher.Call, account *matcher.Account) error {
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
		return g.takeGrant(ctx, call, account, remaining)
	}
	g.trafficStats.limitRefused(allocator.ClampUrgency(call.RouteUrgency))
	detail := fmt.Sprintf("the account's limit of %.0f a second is reached", account.Rate)
	if g.quota.ByUrgency {
		detail += fmt.Sprintf(" for calls of urgency %d, which leave a reserve of %.0f to more urgent ones", call.RouteUrgency, decision.Reserve)
	}
	return newRefusal(http.StatusTooManyRequests, dispatcher.ProblemLimit, detail+"; come back later or raise it", decision.RetryAfter)
}

// prepareGrants sets up what the leader grants this entry of accounts' limits.
func (g *Gateway) prepareGrants() {
	g.grants.Lease = time.Duration(leaseFraction * float64(g.Settings.RevocationTimeout))
	g.grants.Window = g.Settings.Quota.Window
	g.grants.Prompt = g.promptPoll
}

// promptPoll asks for the next poll soon.
func (g *Gateway) promptPoll() {
	select {
	case g.originReports.waiting <- struct{}{}:
	default:
	}
}

// takeGrant takes a call that is within its account's limit as far as this entry knows out of what the leader has granted,
// waits for a grant, or returns the call's refusal.
func (g *Gateway) takeGrant(ctx context.Context, call *dispatcher.Call, account *matcher.Account, remaining time.Duration) error {
	t, known := call.Trace.(*callTrace)
	startedAt := timekeeper.Now()
	if account.Rate > 0 && !g.grants.Take(startedAt, account.Name, call.LimitCost) {
		wait := maxGrantWait
		if remaining > 0 {
			wait = min(wait, time.Duration(grantWaitFraction*float64(remaining)))
		}
		admitted := g.grants.Await(ctx, timekeeper.Now, account.Name, call.LimitCost, wait)
		if known {
			t.grantWait = timekeeper.Now().Sub(startedAt)
		}
		if !admitted {
			g.quota.Refund(account.Name, call.LimitCost)
			g.trafficStats.limitRefused(allocator.ClampUrgency(call.RouteUrgency))
			detail := fmt.Sprintf("the entries have no more than the account's limit of %.0f a second left among them; come back later or raise it", account.Rate)
			retryAfter := grantRetryAfter
			if remaining > 0 {
				retryAfter = min(retryAfter, remaining/maxRetryDivisor)
			}
			return newRefusal(http.StatusTooManyRequests, dispatcher.ProblemLimit, detail, spreadWait(retryAfter))
		}
	}
	if known {
		t.charged = call.LimitCost
		// No later than the charge, also if the process is suspended between the two.
		t.chargedAt = startedAt
	}
	return nil
}

// refund returns what the account of a call was charged that has not run.
func (g *Gateway) refund(call *dispatcher.Call, t *callTrace) {
	g.quota.Refund(call.Account.Name, t.charged)
	g.grants.Refund(timekeeper.Now(), call.Account.Name, t.charged, t.chargedAt)
	t.refunded = t.charged
}

// reportGrants adds to a poll what this entry has admitted of accounts' limits.
func (g *Gateway) reportGrants(now time.Time, leadership uint64, poll *messages.EntryPoll) {
	usage := g.grants.Report(now, granter.Leadership(leadership))
	poll.GrantStamp = usage.Stamp
	poll.GrantsComplete = usage.Complete
	for account, use := range usage.Uses {
		poll.Grants = append(poll.Grants, &messages.AccountGrant{
			Account:  string(account),
			Admitted: use.Admitted,
			Refunded: use.Refunded,
			Ceiling:  use.Ceiling,
			Wanted:   use.Wanted,
		})
	}
}

// applyGrants applies what the leader grants. A leader without a stamp, of an earlier version or without any limit,
// grants nothing.
func (g *Gateway) applyGrants(now, sentAt time.Time, r *messages.EntryPollResponse) {
	if r.GetGrantStamp() == 0 {
		g.grants.Lift()
		return
	}
	response := granter.Response{
		Leadership: granter.Leadership(r.GetLeadership()),
		Grants:     r.GetGranted(),
		Stamp:      r.GetGrantStamp(),
		Ceilings:   make(map[units.Account]float64, len(r.GetGrants())),
	}
	for _, grant := range r.GetGrants() {
		response.Ceilings[units.Account(grant.GetAccount())] = grant.GetCeiling()
	}
	g.grants.Apply(now, sentAt, response)
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
