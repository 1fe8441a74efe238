package allocator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

var (
	start  = time.Unix(1000, 0)
	window = Window{Length: 8 * time.Second, Overage: 0.1, Slack: 140_000}
)

// fleet is a number of entries that poll one allocator.
type fleet struct {
	account   *matcher.Account
	allocator *Allocator
	meters    []*LocalLimiter
	ran       []admittedCall
	// random is the source for limits by urgency, nil while they are off.
	random *rand.Rand
	// grants bounds what the entries admit, nil in tests of the shares alone.
	grants *grantFleet
	// unbounded lets sendByUrgency send calls that are larger than the account's burst.
	unbounded bool
}

type admittedCall struct {
	at   time.Time
	size float64
}

func newFleet(entries int, byUrgency bool) *fleet {
	f := &fleet{
		account:   &matcher.Account{Name: "hot", CountsTokens: true, Rate: 200_000, Burst: 200_000},
		allocator: &Allocator{Lease: 4 * time.Second, Since: start.Add(-time.Hour), Window: window},
	}
	if byUrgency {
		f.random = rand.New(rand.NewPCG(uint64(entries), 31))
	}
	for range entries {
		f.meters = append(f.meters, f.newMeter())
	}
	return f
}

// poll sends an entry's poll to the allocator; respond delivers the response.
func (f *fleet) poll(now time.Time, i int) { f.pollOf(now, i, 1) }

func (f *fleet) respond(now time.Time, i int) {
	if share, level, known := f.allocator.Share(now, entryName(i), f.account); known {
		f.meters[i].SetEntries(f.allocator.CountEntries(now))
		f.meters[i].SetShare(now, f.account, share, level)
	}
	if f.grants != nil {
		f.grants.respond(now, i)
	}
}

// pollInTurn lets the entries poll at different steps of a 20-step cycle; n is the
// current step. A response takes three steps.
func (f *fleet) pollInTurn(now time.Time, n int) {
	for i := range f.meters {
		switch (n + i*7) % 20 {
		case 0:
			f.poll(now, i)
		case 3:
			f.respond(now, i)
		}
	}
}

// sendBurst sends calls of random size to an entry that come to the given number of
// tokens on average.
func (f *fleet) sendBurst(now time.Time, random *rand.Rand, i int, tokens, meanSize float64) {
	for expected := tokens / meanSize; random.Float64() < expected; expected-- {
		f.call(now, i, meanSize*2*random.Float64())
	}
}

func entryName(i int) units.Instance { return units.Instance(fmt.Sprint(i)) }

func (f *fleet) call(now time.Time, i int, size float64) bool {
	urgency := 0
	if f.random != nil {
		urgency = f.random.IntN(3)
	}
	_, admitted := f.callOf(now, i, size, urgency)
	return admitted
}

// callOf sends a call of an urgency to an entry.
func (f *fleet) callOf(now time.Time, i int, size float64, urgency int) (time.Duration, bool) {
	return f.ask(now, i, Ask{
		Size:    size,
		Urgency: urgency,
	})
}

// ask sends a call to an entry.
func (f *fleet) ask(now time.Time, i int, ask Ask) (time.Duration, bool) {
	decision := f.meters[i].Decide(now, f.account, ask)
	if decision.Admitted && f.grants != nil && !f.grants.take(now, i, ask.Size) {
		f.meters[i].Refund(f.account.Name, ask.Size)
		return minWait, false
	}
	if decision.Admitted {
		f.ran = append(f.ran, admittedCall{at: now, size: ask.Size})
	}
	return decision.RetryAfter, decision.Admitted
}

// inBothModes runs a test with limits by urgency off and on; a property of the limits must hold with either.
func inBothModes(t *testing.T, test func(t *testing.T, byUrgency bool)) {
	t.Helper()
	for name, byUrgency := range map[string]bool{"by size": false, "by urgency": true} {
		t.Run(name, func(t *testing.T) { test(t, byUrgency) })
	}
}

// newMeter returns the meter of an entry that has just started.
func (f *fleet) newMeter() *LocalLimiter {
	m := &LocalLimiter{
		Window:    window,
		ByUrgency: f.random != nil,
	}
	if f.random != nil {
		m.Random = f.random.Float64
	}
	return m
}

// maximum returns the largest number of tokens that ran in any window.
func (f *fleet) maximum() float64 {
	maximum, sum, first := 0.0, 0.0, 0
	for _, r := range f.ran {
		sum += r.size
		for r.at.Sub(f.ran[first].at) > window.Length {
			sum -= f.ran[first].size
			first++
		}
		maximum = max(maximum, sum)
	}
	return maximum
}

func (f *fleet) allowed() float64 {
	return (f.account.Rate*window.Length.Seconds()+f.account.Burst)*(1+window.Overage) + window.Slack
}

// enqueue gives a refused call of a caller with unbounded time its place in the virtual queue, and returns its turn.
func (u *urgencies) enqueue(d *urgencyDemand, size, lacking, rate float64) time.Duration {
	turn := u.turn(d, size, lacking, rate)
	u.place(d, size, turn+time.Duration(float64(turn)*queueJitter))
	return turn
}
