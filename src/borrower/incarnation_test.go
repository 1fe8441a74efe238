package borrower

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// An entry asks for a share, dies and starts again; the answer arrives late, at
// its new life, while the view still names the old one. The old life may have
// told the lender that it uses no such loan any more, so the new one must not.
func TestAnswerToAnEarlierLifeIsDropped(t *testing.T) {
	cases := map[string]struct {
		incarnation uint64
		want        int
	}{
		"the life that asked": {incarnation: 1, want: 1},
		"a later life":        {incarnation: 2, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := &Borrower{
				Self:        "e1",
				Incarnation: c.incarnation,
				Hold:        time.Second,
			}
			b.Step(now, Viewed{View: &messages.EntryView{
				Number:  1,
				Members: []*messages.EntryMember{{Entry: "e1", Incarnation: 1}},
			}})
			b.Step(now, Answered{
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
