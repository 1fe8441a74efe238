package lender

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// A lender restarts and receives the view that still names its previous
// incarnation. It no longer knows what it lent a moment ago, so it must lend
// nothing. The incarnation that the view names lends at once in the first view.
func TestRestartedLenderGrantsNothingInOldView(t *testing.T) {
	cases := map[string]struct {
		incarnation uint64
		want        int
	}{
		"incarnation in the view": {incarnation: 1, want: 1},
		"a later incarnation":     {incarnation: 2, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := &Lender{
				Self:        "e1",
				Incarnation: c.incarnation,
				Lease:       time.Second,
				ViewTTL:     time.Second,
			}
			l.Step(now, ViewChanged{View: &messages.EntryView{
				Number:  1,
				Members: []*messages.EntryMember{{Entry: "e1", Incarnation: 1}},
			}})
			l.Step(now, ViewConfirmed{At: now})
			actions := l.Step(now, RequestReceived{Request: &messages.ShareRequest{
				Entry:      "e1",
				ViewNumber: 1,
				Demands:    []*messages.ShareDemand{{Limit: "account/a", Wanted: 1}},
			}})
			answer := actions[0].(SendResponse)
			if got := len(answer.Response.GetLoans()); got != c.want {
				t.Errorf("loans: got %d, want %d", got, c.want)
			}
		})
	}
}
