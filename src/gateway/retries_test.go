package gateway

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/retrier"
)

// Guards against an entry that uses its part of the slack while it stops, as others use it too.
func TestStoppingEntryGivesUpItsSlack(t *testing.T) {
	now := time.Unix(1000, 0)
	g := &Gateway{
		retryBudget: &retrier.Budget{
			Window: 10 * time.Second,
			Slack:  40,
			Lease:  5 * time.Second,
			Now:    func() time.Time { return now },
		},
	}
	stayInContact := func(duration time.Duration) {
		for end := now.Add(duration); now.Before(end); {
			now = now.Add(100 * time.Millisecond)
			g.recordContact(now, 4)
		}
	}
	stayInContact(20 * time.Second)
	if !g.retryBudget.AllowRetry("s") {
		t.Error("retry of an entry in contact: got refused, want allowed")
	}
	g.Stop(time.Time{}, time.Time{})
	stayInContact(3 * time.Second)
	if g.retryBudget.AllowRetry("s") {
		t.Error("retry of an entry that is stopping: got allowed, want refused")
	}
}
