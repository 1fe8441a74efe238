package borrower

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// An entry requests a share, dies and restarts; the response arrives late, at its
// new incarnation, while the view still names the old one. The old incarnation may
// have reported that it no longer uses that loan, so the new one must not use it.
func TestResponseToPreviousIncarnationIsDropped(t *testing.T) {
	cases := map[string]struct {
		incarnation uint64
		want        int
	}{
		"the requesting incarnation": {incarnation: 1, want: 1},
		"a later incarnation":        {incarnation: 2, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := &Borrower{
				Self:        "e1",
				Incarnation: c.incarnation,
				ViewTTL:     time.Second,
			}
			b.Step(now, ViewChanged{View: &messages.EntryView{
				Number:  1,
				Members: []*messages.EntryMember{{Entry: "e1", Incarnation: 1}},
			}})
			b.Step(now, ResponseReceived{
				From:   "e2",
				SentAt: now,
				Response: &messages.ShareResponse{
					ViewNumber: 1,
					Loans:      []*messages.ShareLoan{{Limit: testLimit, Number: 1, Fraction: 0.1, LeaseMs: 1000}},
				},
			})
			if got := len(b.Shares(now, testLimit)); got != c.want {
				t.Errorf("loans in use: got %d, want %d", got, c.want)
			}
		})
	}
}
