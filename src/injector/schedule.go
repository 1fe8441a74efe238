package injector

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The faults that a schedule can contain.
const (
	KillEntry          FaultKind = "kill-entry"
	StopEntry          FaultKind = "stop-entry"
	FreezeEntry        FaultKind = "freeze-entry"
	KillControl        FaultKind = "kill-control"
	FreezeControl      FaultKind = "freeze-control"
	LoseDisk           FaultKind = "lose-disk"
	NoticeUpstream     FaultKind = "notice-upstream"
	KillUpstream       FaultKind = "kill-upstream"
	FreezeUpstream     FaultKind = "freeze-upstream"
	ReclaimDataCentre  FaultKind = "wave"
	SubmitConcurrently FaultKind = "racing-operators"
)

// FaultKinds lists all kinds of faults, in a fixed order so that equal seeds draw equal schedules.
var FaultKinds = []FaultKind{
	KillEntry, StopEntry, FreezeEntry, KillControl, FreezeControl, LoseDisk,
	NoticeUpstream, KillUpstream, FreezeUpstream, ReclaimDataCentre, SubmitConcurrently,
}

// ScheduledFault is one fault at its time.
type ScheduledFault struct {
	At   time.Duration
	Kind FaultKind
	// Target selects one of the processes to which the act applies, modulo their number.
	Target int
	// Duration is how long a process stays frozen or down.
	Duration time.Duration
}

// String returns the step as it appears in the log of a run.
func (s ScheduledFault) String() string {
	return fmt.Sprintf("%s %s target=%d lasts=%s", s.At.Round(time.Millisecond), s.Kind, s.Target, s.Duration.Round(time.Millisecond))
}

const (
	warmUp           = time.Second
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 5 * time.Second
)

// RandomSchedule returns a random schedule of count steps over a span; equal seeds give equal schedules.
func RandomSchedule(seed uint64, span time.Duration, count int, acts []FaultKind) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, seed))
	steps := make([]ScheduledFault, 0, count)
	for range count {
		steps = append(steps, ScheduledFault{
			At:       warmUp + time.Duration(random.Int64N(int64(span-warmUp))),
			Kind:     acts[random.IntN(len(acts))],
			Target:   random.IntN(1 << 16),
			Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		})
	}
	slices.SortStableFunc(steps, func(a, b ScheduledFault) int { return cmp.Compare(a.At, b.At) })
	return steps
}
