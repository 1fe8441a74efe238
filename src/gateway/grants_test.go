package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/timekeeper"
)

// newGrantedGateway returns a gateway with one account, of which the leader has granted a ceiling.
func newGrantedGateway(t *testing.T, ceiling float64) *Gateway {
	t.Helper()
	g := newLimitedGateway(t, time.Minute)
	g.Settings = &parser.PlatformSettings{RevocationTimeout: time.Minute}
	g.Settings.Quota.Window = 8 * time.Second
	g.originReports.waiting = make(chan struct{}, 1)
	g.prepareGrants()
	g.quota.Window.Slack = 140_000
	now := timekeeper.Now()
	g.quota.SetEntries(1)
	g.quota.SetShare(now, g.snapshot.Load().table.Account("a"), 1, 100_000)
	grantCeiling(g, ceiling)
	return g
}

func grantCeiling(g *Gateway, ceiling float64) {
	now := timekeeper.Now()
	g.applyGrants(now, now, &messages.EntryPollResponse{
		Leadership: 1,
		GrantStamp: now.UnixNano(),
		Granted:    true,
		Grants: []*messages.AccountGrant{{
			Account: "a",
			Ceiling: ceiling,
		}},
	})
}

// Guards against calls beyond what the leader has granted, which other entries may admit as well.
func TestCallNeedsAGrant(t *testing.T) {
	cases := map[string]struct {
		ceiling float64
		later   float64
		want    bool
	}{
		"granted":                {ceiling: 1000, want: true},
		"granted while it waits": {later: 1000, want: true},
		"not granted":            {ceiling: 999},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGrantedGateway(t, c.ceiling)
			g.grants.Prompt = func() {
				g.promptPoll()
				if c.later > 0 {
					grantCeiling(g, c.later)
				}
			}
			before := g.quota.ReportDemand(timekeeper.Now())["a"].Spent
			_, err := (*accountLimiter)(g).Admit(t.Context(), newLimitedCall(0))
			if got := err == nil; got != c.want {
				t.Errorf("call admitted: got %v, want %t", err, c.want)
			}
			spent := g.quota.ReportDemand(timekeeper.Now())["a"].Spent - before
			if want := map[bool]float64{true: 1000}[c.want]; spent != want {
				t.Errorf("tokens charged: got %.0f, want %.0f", spent, want)
			}
			if got, want := len(g.originReports.waiting) > 0, c.ceiling < 1000; got != want {
				t.Errorf("next poll prompted: got %t, want %t", got, want)
			}
		})
	}
}

// Guards against a call that waits for a grant while no leader answers.
func TestCallWithoutAGrantIsRefusedAtOnceWithoutContact(t *testing.T) {
	g := newGrantedGateway(t, 0)
	sentAt := timekeeper.Now().Add(-500 * time.Millisecond)
	g.applyGrants(timekeeper.Now(), sentAt, &messages.EntryPollResponse{
		Leadership: 1,
		GrantStamp: 1,
		Granted:    true,
	})
	call := newLimitedCall(0)
	_, err := (*accountLimiter)(g).Admit(t.Context(), call)
	var refusal *dispatcher.Refusal
	if !errors.As(err, &refusal) || refusal.Executed != dispatcher.ExecutedNo {
		t.Errorf("call: got %v, want a refusal that has not run", err)
	}
	if got := call.Trace.(*callTrace).grantWait; got >= maxGrantWait/2 {
		t.Errorf("wait: got %v, want none", got)
	}
}

// Guards against a call that did not run and yet counts against its account's limit.
func TestRefundIsReported(t *testing.T) {
	g := newGrantedGateway(t, 5000)
	call := newLimitedCall(0)
	if _, err := (*accountLimiter)(g).Admit(t.Context(), call); err != nil {
		t.Fatal(err)
	}
	refusal := newUnreadyRefusal("gone")
	g.finishCall(g.snapshot.Load(), call, &matcher.Route{Name: "r"}, call.Trace.(*callTrace), &timedSink{}, refusal)
	poll := &messages.EntryPoll{}
	g.reportGrants(timekeeper.Now(), 1, poll)
	if len(poll.GetGrants()) != 1 {
		t.Fatalf("reported accounts: got %d, want 1", len(poll.GetGrants()))
	}
	if got := poll.GetGrants()[0]; got.GetAdmitted() != 1000 || got.GetRefunded() != 1000 || got.GetCeiling() != 5000 {
		t.Errorf("report: got %v, want 1000 admitted and refunded, and a ceiling of 5000", got)
	}
}
