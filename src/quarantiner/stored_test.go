package quarantiner

import (
	"fmt"
	"slices"
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

// TestRepeatedLossesKeepTheTimeOfACrash guards against evidence that weighs less with the next leader, as a later loss at an
// upstream that has crashed moves that crash next to another one.
func TestRepeatedLossesKeepTheTimeOfACrash(t *testing.T) {
	now := time.Unix(1000, 0)
	parts := &PartDetector{Threshold: FleetPartThreshold, SettleDelay: PartSettleDelay}
	next := &PartDetector{Threshold: FleetPartThreshold, SettleDelay: PartSettleDelay}
	record := func(id units.IncarnationID) {
		parts.RecordLoss(now, now, Loss{
			Request:       1,
			IncarnationID: id,
			Parts:         []units.PromptPart{2},
		})
	}
	record(1)
	now = now.Add(crashGap)
	record(2)
	now = now.Add(crashGap)
	record(3)
	record(1)
	next.Restore(now, parts.Stored(100))
	now = now.Add(time.Minute)
	if got, want := fmt.Sprint(next.Due(now)), "[{[2] 3}]"; got != want {
		t.Errorf("parts to quarantine: got %s, want %s", got, want)
	}
}

// TestVerdictsDoNotDependOnOrder guards against a request that loses its own evidence, or spares another one, by the order in
// which requests are gone through, as an earlier verdict explains some of its losses.
func TestVerdictsDoNotDependOnOrder(t *testing.T) {
	for range 50 {
		now := time.Unix(1000, 0)
		q := &Quarantiner{Threshold: FleetThreshold, SettleDelay: SettleDelay}
		for request, ids := range map[units.Fingerprint][]units.IncarnationID{
			3: {1, 2, 3, 4, 5},
			2: {5, 6, 7, 8},
			1: {6, 7, 8},
		} {
			for _, id := range ids {
				q.RecordLoss(now, Loss{
					Request:       request,
					IncarnationID: id,
				})
			}
		}
		var got []units.Fingerprint
		for _, verdict := range q.Due(now.Add(time.Minute)) {
			got = append(got, verdict.Request)
		}
		if want := []units.Fingerprint{3, 2}; !slices.Equal(got, want) {
			t.Fatalf("requests to quarantine: got %v, want %v", got, want)
		}
	}
}
