package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against evidence that weighs less, or more, with the next leader than with the one that collected it.
func TestRestoredEvidenceWeighsAsMuch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		requests := &Quarantiner{Threshold: FleetThreshold, SettleDelay: SettleDelay}
		parts := &PartDetector{Threshold: FleetPartThreshold, SettleDelay: PartSettleDelay}
		nextRequests := &Quarantiner{Threshold: FleetThreshold, SettleDelay: SettleDelay}
		nextParts := &PartDetector{Threshold: FleetPartThreshold, SettleDelay: PartSettleDelay}
		for range rapid.IntRange(1, 12).Draw(rt, "crashes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond)
			loss := Loss{
				Request:       units.Fingerprint(rapid.IntRange(1, 3).Draw(rt, "request")),
				IncarnationID: units.IncarnationID(rapid.IntRange(1, 9).Draw(rt, "incarnation")),
				Answering:     rapid.Bool().Draw(rt, "answering"),
				Parts:         rapid.SliceOfNDistinct(rapid.SampledFrom([]units.PromptPart{1, 2, 3, 4}), 0, 3, rapid.ID[units.PromptPart]).Draw(rt, "parts"),
			}
			requests.RecordLoss(now, loss)
			parts.RecordLoss(now, now, loss)
		}
		nextRequests.Restore(now, requests.Stored(100))
		nextParts.Restore(now, parts.Stored(100))
		now = now.Add(time.Minute)
		if got, want := fmt.Sprint(nextRequests.Due(now)), fmt.Sprint(requests.Due(now)); got != want {
			rt.Fatalf("requests to quarantine: got %s, want %s", got, want)
		}
		if got, want := fmt.Sprint(nextParts.Due(now)), fmt.Sprint(parts.Due(now)); got != want {
			rt.Fatalf("parts to quarantine: got %s, want %s", got, want)
		}
	})
}
