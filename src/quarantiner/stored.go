package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// StoredCrash is the crash of an upstream with calls of a suspect.
type StoredCrash struct {
	IncarnationID units.IncarnationID
	Points        Points
	At            time.Time
}

// StoredRequest is the evidence against a request, as it is kept across leaderships.
type StoredRequest struct {
	Request units.Fingerprint
	Crashes []StoredCrash
}

// StoredPart is the evidence against a part of prompts, as it is kept across leaderships.
type StoredPart struct {
	Part    units.PromptPart
	Crashes []StoredCrash
	// Common holds the parts, itself included, that all lost calls with it have in common.
	Common []units.PromptPart
}

// Stored returns the evidence to keep: that of the requests with most points, at most limit of them.
func (q *Quarantiner) Stored(limit int) []StoredRequest {
	suspects := slices.SortedFunc(maps.Keys(q.suspects), func(a, b units.Fingerprint) int {
		return cmp.Or(cmp.Compare(q.suspects[b].points, q.suspects[a].points), cmp.Compare(a, b))
	})
	var stored []StoredRequest
	for _, request := range suspects[:min(len(suspects), limit)] {
		s := q.suspects[request]
		kept := StoredRequest{Request: request}
		for _, id := range slices.Sorted(maps.Keys(s.byIncarnation)) {
			kept.Crashes = append(kept.Crashes, StoredCrash{
				IncarnationID: id,
				Points:        s.byIncarnation[id],
				At:            s.lastLossAt,
			})
		}
		stored = append(stored, kept)
	}
	return stored
}

// Restore adds evidence that an earlier leadership has kept.
func (q *Quarantiner) Restore(now time.Time, stored []StoredRequest) {
	for _, kept := range stored {
		for _, crash := range kept.Crashes {
			q.RecordLoss(crash.At, Loss{
				Request:       kept.Request,
				IncarnationID: crash.IncarnationID,
				Answering:     crash.Points == answeringLoss,
			})
		}
		if s := q.suspects[kept.Request]; s != nil && !s.thresholdAt.IsZero() {
			s.thresholdAt = now // Entries may report its runs first.
		}
	}
}

// Stored returns the evidence to keep: that of the parts with most points, at most limit of them.
func (d *PartDetector) Stored(limit int) []StoredPart {
	suspects, _ := d.Suspects(limit)
	var stored []StoredPart
	for _, part := range suspects {
		s := d.suspects[part]
		kept := StoredPart{
			Part:   part,
			Common: slices.Sorted(slices.Values(s.common)),
		}
		for _, id := range slices.Sorted(maps.Keys(s.crashes)) {
			kept.Crashes = append(kept.Crashes, StoredCrash{
				IncarnationID: id,
				Points:        s.crashes[id].points,
				At:            s.crashes[id].at,
			})
		}
		stored = append(stored, kept)
	}
	return stored
}

// Restore adds evidence that an earlier leadership has kept.
func (d *PartDetector) Restore(now time.Time, stored []StoredPart) {
	for _, kept := range stored {
		s := d.suspect(kept.Part, kept.Common)
		for _, c := range kept.Crashes {
			s.crashes[c.IncarnationID] = crash{
				at:     c.At,
				points: c.Points,
			}
			if c.At.After(s.lastLossAt) {
				s.lastLossAt = c.At
			}
		}
		d.updatePoints(now, s)
	}
}
