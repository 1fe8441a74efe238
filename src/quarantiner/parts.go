package quarantiner

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// FleetPartThreshold is the threshold at which the leader quarantines a part of prompts for all entries.
	// Many callers share a part, and harmless ones are lost with an upstream too, so that it is higher than
	// that of a request.
	FleetPartThreshold = 3 * unansweredLoss
	// EntryPartThreshold is the threshold at which one entry does so by itself. It is higher, as an entry
	// does not know whether the part has run at another one.
	EntryPartThreshold = 4 * unansweredLoss
	// PartSettleDelay is how long reports that a part has run may take to arrive: the polls with its loss,
	// with the suspects and with the run, of entries that poll at long intervals.
	PartSettleDelay = 800 * time.Millisecond
	// maxLossParts bounds the parts of one loss.
	maxLossParts = 64
	// maxSuspectParts and maxRanParts bound the parts that are kept, maxCrashes the crashes of one part.
	maxSuspectParts = 1024
	maxRanParts     = 4096
	maxCrashes      = 64
)

// PartDetector finds parts of prompts that crash the upstreams that answer them; its exported fields are set
// before use.
//
// Such a part is in the prompts of calls that were lost at several crashes, and no call with it has run. Other
// parts that all these calls have and that have not run either cannot be told from it. So a quarantine names
// all of them, and blocks requests that have all of them: a harmless request that shares some may run, which
// clears these.
type PartDetector struct {
	// Threshold is the number of points at which a part is quarantined.
	Threshold Points
	// SettleDelay is how long a part must have been at the threshold before it is due.
	SettleDelay time.Duration
	// Earlier returns the parts of an earlier quarantine that all are among the given ones, nil for none, and
	// whether it is still in force. One crash is enough for parts whose quarantine is over. It may be nil.
	Earlier func(parts []units.PromptPart) (earlier []units.PromptPart, inForce bool)

	suspects map[units.PromptPart]*suspectPart
	ran      map[units.PromptPart]time.Time
	// explained holds the upstream incarnations that quarantined parts have crashed.
	explained map[units.IncarnationID]time.Time
	version   uint64
}

// PartVerdict names parts whose combination is to be quarantined.
type PartVerdict struct {
	// Parts are sorted.
	Parts []units.PromptPart
	// Upstreams is the number of upstreams that crashed.
	Upstreams int
}

// KeyOfParts returns the fingerprint that stands for a set of parts, which must be sorted.
func KeyOfParts(parts []units.PromptPart) units.Fingerprint {
	content := []byte("parts")
	for _, part := range parts {
		content = binary.LittleEndian.AppendUint64(content, uint64(part))
	}
	sum := sha256.Sum256(content)
	return units.Fingerprint(binary.LittleEndian.Uint64(sum[:]))
}

// RecordLoss records that an upstream was lost with a call at the given time, whose prompt had these parts.
func (d *PartDetector) RecordLoss(now, at time.Time, loss Loss) {
	if _, explained := d.explained[loss.IncarnationID]; explained {
		return
	}
	parts := d.notRun(at, loss.Parts)
	earlier, inForce := d.earlier(parts)
	if inForce {
		// The call was sent before its entry knew of the quarantine.
		d.explain(now, loss.IncarnationID)
		return
	}
	points := unansweredLoss
	if loss.Answering {
		points = answeringLoss
	}
	for _, part := range parts {
		s := d.suspect(part, parts)
		s.lastLossAt = now
		if c, known := s.crashes[loss.IncarnationID]; known || len(s.crashes) < maxCrashes {
			// An incarnation crashes once, at the latest when the first of its calls was lost.
			if !known || at.Before(c.at) {
				c.at = at
			}
			c.points = max(points, c.points)
			s.crashes[loss.IncarnationID] = c
		}
		s.keepCommon(parts)
		if slices.Contains(earlier, part) {
			s.keepCommon(earlier)
			s.thresholdAt = now
		}
		d.updatePoints(now, s)
	}
	for len(d.suspects) > maxSuspectParts {
		d.evictOldestSuspect()
	}
}

// notRun returns those of the first parts that had not run within RanTTL before a loss, or since, each once.
func (d *PartDetector) notRun(at time.Time, all []units.PromptPart) []units.PromptPart {
	var parts []units.PromptPart
	for _, part := range all[:min(len(all), maxLossParts)] {
		if ranAt, ran := d.ran[part]; (!ran || at.Sub(ranAt) >= RanTTL) && !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return parts
}

func (d *PartDetector) earlier(parts []units.PromptPart) (earlier []units.PromptPart, inForce bool) {
	if d.Earlier == nil {
		return nil, false
	}
	return d.Earlier(parts)
}

// suspect returns the evidence against a part, which is new if the part was not suspected; all are the parts of
// the call that was lost.
func (d *PartDetector) suspect(part units.PromptPart, all []units.PromptPart) *suspectPart {
	if d.suspects == nil {
		d.suspects = make(map[units.PromptPart]*suspectPart)
	}
	s := d.suspects[part]
	if s == nil {
		s = &suspectPart{
			crashes: make(map[units.IncarnationID]crash),
			common:  slices.Clone(all),
		}
		d.suspects[part] = s
		d.version++
	}
	return s
}

// updatePoints updates the points of a part, and since when they are enough.
func (d *PartDetector) updatePoints(now time.Time, s *suspectPart) {
	s.points = s.sumPoints()
	if s.thresholdAt.IsZero() && s.points >= d.Threshold {
		s.thresholdAt = now
	}
}

// evictOldestSuspect drops the part whose last loss is the oldest.
func (d *PartDetector) evictOldestSuspect() {
	var oldest units.PromptPart
	var oldestAt time.Time
	for part, s := range d.suspects {
		if oldestAt.IsZero() || s.lastLossAt.Before(oldestAt) {
			oldest, oldestAt = part, s.lastLossAt
		}
	}
	d.drop(oldest)
}

// RecordRun records that a request with these parts ran at the given time, which shows that none of them crashed the
// upstreams that were lost before, or within RanTTL after. Reports of runs and losses may arrive in any order.
func (d *PartDetector) RecordRun(now, at time.Time, parts []units.PromptPart) {
	if d.ran == nil {
		d.ran = make(map[units.PromptPart]time.Time)
	}
	for _, part := range parts {
		if at.After(d.ran[part]) {
			d.ran[part] = at
		}
		if len(d.ran) > maxRanParts {
			deleteOldest(d.ran)
		}
		if s := d.suspects[part]; s != nil {
			earlier := s.before(at.Add(RanTTL - 1))
			d.removeCrashes(now, part, maps.Keys(earlier.crashes))
		}
	}
	for _, s := range d.suspects {
		s.common = slices.DeleteFunc(s.common, func(p units.PromptPart) bool { return slices.Contains(parts, p) && d.suspects[p] == nil })
	}
}

// drop discards the evidence against a part.
func (d *PartDetector) drop(part units.PromptPart) {
	if d.suspects[part] != nil {
		delete(d.suspects, part)
		d.version++
	}
}

// Drop discards the evidence against all parts of a verdict.
func (d *PartDetector) Drop(verdict PartVerdict) {
	for _, part := range verdict.Parts {
		d.drop(part)
	}
}

// Due returns the combinations to be quarantined, the likeliest causes first. They stay due until they are dropped.
// Calls that were lost beside those of a combination have lost the same upstreams; these no longer count
// against their parts.
func (d *PartDetector) Due(now time.Time) []PartVerdict {
	d.expire(now)
	var due []units.PromptPart
	for part, s := range d.suspects {
		if d.isDue(now, s) {
			due = append(due, part)
		}
	}
	slices.SortFunc(due, func(a, b units.PromptPart) int {
		return cmp.Or(d.suspects[b].compare(d.suspects[a]), cmp.Compare(a, b))
	})
	var verdicts []PartVerdict
	for _, part := range due {
		s := d.suspects[part]
		if s == nil || !d.isDue(now, s) || d.isDominated(now, s) {
			continue
		}
		verdict := PartVerdict{
			Parts:     slices.Sorted(slices.Values(s.common)),
			Upstreams: len(s.crashes),
		}
		if slices.ContainsFunc(verdicts, func(v PartVerdict) bool { return slices.Equal(v.Parts, verdict.Parts) }) {
			continue
		}
		verdicts = append(verdicts, verdict)
		d.explainCrashes(now, s)
	}
	return verdicts
}

func (d *PartDetector) isDue(now time.Time, s *suspectPart) bool {
	return !s.thresholdAt.IsZero() && now.Sub(s.thresholdAt) >= d.SettleDelay
}

// isDominated reports whether another part is the likelier cause of the same crashes. It is due as well once it has
// enough points and its reports have settled. Crashes that some entries may not have reported yet are left out.
func (d *PartDetector) isDominated(now time.Time, s *suspectPart) bool {
	known := s.before(now.Add(-d.SettleDelay))
	for _, other := range d.suspects {
		if other == s || !containsAll(other.crashes, known.crashes) {
			continue
		}
		if other.before(now.Add(-d.SettleDelay)).compare(known) > 0 {
			return true
		}
	}
	return false
}

// explainCrashes removes the crashes of a part from all suspects that are less likely their cause.
func (d *PartDetector) explainCrashes(now time.Time, cause *suspectPart) {
	for part, s := range d.suspects {
		if s != cause && s.compare(cause) < 0 {
			d.removeCrashes(now, part, maps.Keys(cause.crashes))
		}
	}
	for id := range cause.crashes {
		d.addExplained(now, id)
	}
}

// explain removes one crash, whose cause is known, from all suspects.
func (d *PartDetector) explain(now time.Time, id units.IncarnationID) {
	for part := range d.suspects {
		d.removeCrashes(now, part, slices.Values([]units.IncarnationID{id}))
	}
	d.addExplained(now, id)
}

// removeCrashes removes crashes from the evidence against a part.
func (d *PartDetector) removeCrashes(now time.Time, part units.PromptPart, ids iter.Seq[units.IncarnationID]) {
	s := d.suspects[part]
	for id := range ids {
		delete(s.crashes, id)
	}
	if len(s.crashes) == 0 {
		d.drop(part)
		return
	}
	s.thresholdAt = time.Time{}
	d.updatePoints(now, s)
}

func (d *PartDetector) addExplained(now time.Time, id units.IncarnationID) {
	if d.explained == nil {
		d.explained = make(map[units.IncarnationID]time.Time)
	}
	d.explained[id] = now
	if len(d.explained) > maxExplained {
		deleteOldest(d.explained)
	}
}

// expire removes entries past their TTL.
func (d *PartDetector) expire(now time.Time) {
	for part, s := range d.suspects {
		if now.Sub(s.lastLossAt) >= suspectTTL {
			d.drop(part)
		}
	}
	maps.DeleteFunc(d.ran, func(_ units.PromptPart, at time.Time) bool { return now.Sub(at) >= suspectTTL })
	maps.DeleteFunc(d.explained, func(_ units.IncarnationID, at time.Time) bool { return now.Sub(at) >= suspectTTL })
}

// Suspects returns the parts with which upstreams were lost, those with most points first and at most limit of them, and
// a version that changes with them.
func (d *PartDetector) Suspects(limit int) ([]units.PromptPart, uint64) {
	suspects := slices.SortedFunc(maps.Keys(d.suspects), func(a, b units.PromptPart) int {
		return cmp.Or(cmp.Compare(d.suspects[b].points, d.suspects[a].points), cmp.Compare(a, b))
	})
	return suspects[:min(len(suspects), limit)], d.version
}

// Version returns the version of the suspects.
func (d *PartDetector) Version() uint64 { return d.version }
