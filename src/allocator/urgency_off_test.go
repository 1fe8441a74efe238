package allocator

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against a change of decisions while the setting is off. The digests are those of the code as it was before
// limits by urgency, of all shares, levels and admissions of a drawn sequence of calls, polls, refunds, restarts and
// leader changes; waits are rounded to milliseconds and tokens to whole ones.
//
// The first digest of a sequence that has two ends before the first step at which that code charged nothing for a silent
// entry without a share of a new leader (5, 6), or took from a full bucket what silent entries were assumed to have admitted
// while no refill came (the others). The second is that of the code without these faults.
func TestDecisionsWithoutTheSettingAreUnchanged(t *testing.T) {
	want := []struct {
		steps           int
		digest, changed string
	}{
		0:  {steps: 136, digest: "51968533beda4105", changed: "b4c06fa4e67a5ab6"},
		1:  {steps: 1516, digest: "a3fca6ef0eeca95e", changed: "a619b5f937d91fee"},
		2:  {steps: digestSteps, digest: "e0097e649cf7d47b"},
		3:  {steps: 195, digest: "8d79ea44f21ee72a", changed: "ce6f193f921415e9"},
		4:  {steps: 1835, digest: "ccb69d53482f7479", changed: "ce3e77c75bb8521b"},
		5:  {steps: 1635, digest: "1402d18e1d9c4e0f", changed: "f4c64d641ce4f52d"},
		6:  {steps: 793, digest: "46ea7494ef5f2b47", changed: "94e228cac33f3317"},
		7:  {steps: 195, digest: "06a66d6f262e3c3d", changed: "272d8ffbc625be4e"},
		8:  {steps: digestSteps, digest: "a27643c1fdefecd2"},
		9:  {steps: 227, digest: "55aee9f179a4a166", changed: "e1146bf264c49e9f"},
		10: {steps: 621, digest: "23559b5793297a7f", changed: "dee467ecb819cd32"},
		11: {steps: 1583, digest: "b6680ec47a0ce1c6", changed: "d78188b947088e90"},
	}
	for seed, w := range want {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if got := digestOfDecisions(uint64(seed), w.steps); got != w.digest {
				t.Errorf("digest of the decisions of %d steps: got %s, want %s", w.steps, got, w.digest)
			}
			if w.changed == "" {
				return
			}
			if got := digestOfDecisions(uint64(seed), digestSteps); got != w.changed {
				t.Errorf("digest of all decisions: got %s, want %s", got, w.changed)
			}
		})
	}
}

// digestSteps is the number of steps of a whole sequence.
const digestSteps = 3000

// digestOfDecisions returns the digest of the decisions in the first steps of a sequence.
func digestOfDecisions(seed uint64, steps int) string {
	random := rand.New(rand.NewPCG(seed, 21))
	f := newFleet(2+random.IntN(12), false)
	incarnations := make([]units.Incarnation, len(f.meters))
	digest := fnv.New64a()
	record := func(values ...int64) {
		for _, v := range values {
			_ = binary.Write(digest, binary.LittleEndian, v)
		}
	}
	load, lostUntil := 0.4, 0
	meanSize := []float64{1_000, 5_000, 20_000}[random.IntN(3)]
	for n := range steps {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		switch random.IntN(400) {
		case 0:
			load = 6 * random.Float64()
		case 1:
			f.allocator = &Allocator{Lease: 4 * time.Second, Since: now, Window: window}
		case 2:
			lostUntil = n + random.IntN(150)
		case 3:
			i := random.IntN(len(f.meters))
			f.meters[i] = f.newMeter()
			incarnations[i]++
		}
		for i := range f.meters {
			if n < lostUntil {
				break
			}
			switch (n + i*7) % 20 {
			case 0:
				f.allocator.RecordDemand(now, entryName(i), incarnations[i], f.meters[i].ReportDemand(now))
			case 3:
				if share, level, known := f.allocator.Share(now, entryName(i), f.account); known {
					f.meters[i].SetShare(now, f.account, share, level)
					record(int64(share*1e6), int64(level))
				}
			}
		}
		for expected := load * f.account.Rate * 0.01 / meanSize; random.Float64() < expected; expected-- {
			i, size, urgency := random.IntN(len(f.meters)), meanSize*2*random.Float64(), random.IntN(3)
			wait, admitted := f.callOf(now, i, size, urgency)
			record(int64(i), int64(size), wait.Milliseconds())
			if admitted && random.IntN(20) == 0 {
				f.meters[i].Refund(f.account.Name, size)
				record(-1)
			}
		}
	}
	return fmt.Sprintf("%x", digest.Sum(nil))
}
