package injector

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Act is a kind of fault.
type Act string

// The faults that a schedule can contain.
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

// Acts lists all kinds of faults, in a fixed order so that equal seeds draw equal schedules.
var Acts = []Act{
	KillEntry, StopEntry, FreezeEntry, KillControl, FreezeControl, LoseDisk,
	NoticeUpstream, KillUpstream, FreezeUpstream, Wave, RacingOperators,
}

// Step is one fault at its time.
type Step struct {
	At  time.Duration
	Act Act
	// Target selects one of the processes to which the act applies, modulo their number.
	Target int
	// Lasts is how long a process stays frozen or down.
	Lasts time.Duration
}

// String returns the step as it appears in the log of a run.
func (s Step) String() string {
	return fmt.Sprintf("%s %s target=%d lasts=%s", s.At.Round(time.Millisecond), s.Act, s.Target, s.Lasts.Round(time.Millisecond))
}

const (
	warmUp           = time.Second
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 5 * time.Second
)

// Draw returns a random schedule of count steps over a span; equal seeds give equal schedules.
func Draw(seed uint64, span time.Duration, count int, acts []Act) []Step {
	random := rand.New(rand.NewPCG(seed, seed))
	steps := make([]Step, 0, count)
	for range count {
		steps = append(steps, Step{
			At:     warmUp + time.Duration(random.Int64N(int64(span-warmUp))),
			Act:    acts[random.IntN(len(acts))],
			Target: random.IntN(1 << 16),
			Lasts:  minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
