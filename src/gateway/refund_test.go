package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/allocator"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/timekeeper"
)

// Guards against calls that are refused before they are charged and refunded all the same, which gives their account
// more than its limit.
func TestRefusedCallIsRefundedOnlyWhatItWasCharged(t *testing.T) {
	cases := map[string]struct {
		lease    time.Duration
		deadline time.Duration
	}{
		"entry without control": {lease: -time.Second, deadline: time.Minute},
		"deadline has passed":   {lease: time.Minute, deadline: -time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newLimitedGateway(t, c.lease)
			g.quota.Window = allocator.Window{Length: 8 * time.Second, Slack: 140_000}
			now := timekeeper.Now()
			account := g.snapshot.Load().table.Account("a")
			g.quota.SetEntries(1)
			g.quota.SetShare(now, account, 1, 0)
			before := g.quota.ReportDemand(now)["a"].Spent
			for range 100 {
				call := newLimitedCall(0)
				call.BootTimeDeadline = now.Add(c.deadline)
				var refusal *dispatcher.Refusal
				if _, err := (*accountLimiter)(g).Admit(t.Context(), call); !errors.As(err, &refusal) {
					t.Fatalf("call: got %v, want a refusal", err)
				}
				g.finishCall(g.snapshot.Load(), call, &matcher.Route{Name: "r"}, call.Trace.(*callTrace), &timedSink{}, refusal)
			}
			if got := g.quota.ReportDemand(now)["a"].Spent; got != before {
				t.Errorf("tokens admitted after 100 refused calls: got %.0f, want %.0f as before", got, before)
			}
			if _, admitted := g.quota.Admit(now, account, 50_000); admitted {
				t.Error("call of an account without room, after the refusals: got admitted, want refused")
			}
		})
	}
}
