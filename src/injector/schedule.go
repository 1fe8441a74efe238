package injector

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Act is one kind of failure.
type Act string

// The failures that a schedule can hold.
const (
	KillEntry       Act = "kill-entry"
	StopEntry       Act = "stop-entry"
	FreezeEntry     Act = "freeze-entry"
	KillControl     Act = "kill-control"
	FreezeControl   Act = "freeze-control"
	LoseDisk        Act = "lose-disk"
	NoticeUpstream  Act = "notice-upstream"
	KillUpstream    Act = "kill-upstream"
	FreezeUpstream  Act = "freeze-upstream"
	Wave            Act = "wave"
	RacingOperators Act = "racing-operators"
)

// Acts are all kinds of failure, in a fixed order for the draw.
var Acts = []Act{
	KillEntry, StopEntry, FreezeEntry, KillControl, FreezeControl, LoseDisk,
	NoticeUpstream, KillUpstream, FreezeUpstream, Wave, RacingOperators,
}

// Step is one failure at its time.
type Step struct {
	At  time.Duration
	Act Act
	// Target picks among the processes that the act can hit.
	Target int
	// Lasts is how long a frozen process sleeps or a killed one stays down.
	Lasts time.Duration
}

// String returns the step as the run's log shows it.
func (s Step) String() string {
	return fmt.Sprintf("%s %s target=%d lasts=%s", s.At.Round(time.Millisecond), s.Act, s.Target, s.Lasts.Round(time.Millisecond))
}

const (
	quietStart   = time.Second
	shortestHold = 500 * time.Millisecond
	longestHold  = 5 * time.Second
)

// Draw returns a schedule of count steps over a span; equal seeds give equal schedules.
func Draw(seed uint64, span time.Duration, count int, acts []Act) []Step {
	random := rand.New(rand.NewPCG(seed, seed))
	steps := make([]Step, 0, count)
	for range count {
		steps = append(steps, Step{
			At:     quietStart + time.Duration(random.Int64N(int64(span-quietStart))),
			Act:    acts[random.IntN(len(acts))],
			Target: random.IntN(1 << 16),
			Lasts:  shortestHold + time.Duration(random.Int64N(int64(longestHold-shortestHold))),
		})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
