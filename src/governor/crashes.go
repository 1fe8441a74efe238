package governor

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/quarantiner"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxStoredSuspects bounds the requests, and the parts, whose evidence is in the log.
	maxStoredSuspects = 64
	// evidenceInterval is the shortest time between two records of evidence.
	evidenceInterval = 250 * time.Millisecond
)

// storedEvidence keeps the evidence against requests and parts of prompts in the log. Entries report what they have seen to
// each leader, but if all processes end, nobody is left who has seen a crash, and as many more upstreams would have to crash
// as before. Only the coordinator's goroutine uses it.
type storedEvidence struct {
	coordinator *coordinator
	proposedAt  time.Time
}

// startLeadership takes over the evidence of earlier leaders.
func (s *storedEvidence) startLeadership(now time.Time, requests *quarantiner.Quarantiner, parts *quarantiner.PartDetector) {
	c := s.coordinator
	s.proposedAt = time.Time{}
	at := func(m *messages.SuspectCrash) time.Time {
		return now.Add(-max(0, c.trueTime(now).Sub(time.Unix(0, m.GetAtNs()))))
	}
	requests.Restore(now, decodeSuspectRequests(c.state.crashEvidence.GetRequests(), at))
	parts.Restore(now, decodeSuspectParts(c.state.crashEvidence.GetParts(), at))
}

// tick proposes the evidence where it differs from that in the log.
func (s *storedEvidence) tick(now time.Time, requests *quarantiner.Quarantiner, parts *quarantiner.PartDetector) error {
	if now.Sub(s.proposedAt) < evidenceInterval {
		return nil
	}
	c := s.coordinator
	at := func(at time.Time) int64 { return c.trueTime(now).Add(at.Sub(now)).UnixNano() }
	next := &messages.CrashEvidence{
		Requests: encodeSuspectRequests(requests.Stored(maxStoredSuspects), at),
		Parts:    encodeSuspectParts(parts.Stored(maxStoredSuspects), at),
	}
	if isSameEvidence(c.state.crashEvidence, next) {
		return nil
	}
	s.proposedAt = now
	return c.step(replicator.Proposed{
		Command: &messages.Command{
			Change: &messages.Command_CrashEvidence{CrashEvidence: next},
		},
	})
}

// isSameEvidence compares evidence, but for the times, whose estimates vary.
func isSameEvidence(a, b *messages.CrashEvidence) bool {
	if len(a.GetRequests()) != len(b.GetRequests()) || len(a.GetParts()) != len(b.GetParts()) {
		return false
	}
	for i, request := range a.GetRequests() {
		other := b.GetRequests()[i]
		if request.GetRequest() != other.GetRequest() || !areSameCrashes(request.GetCrashes(), other.GetCrashes()) {
			return false
		}
	}
	for i, part := range a.GetParts() {
		other := b.GetParts()[i]
		if part.GetPart() != other.GetPart() || !areSameCrashes(part.GetCrashes(), other.GetCrashes()) || len(part.GetCommon()) != len(other.GetCommon()) {
			return false
		}
	}
	return true
}

func areSameCrashes(a, b []*messages.SuspectCrash) bool {
	if len(a) != len(b) {
		return false
	}
	for i, crash := range a {
		if crash.GetLife() != b[i].GetLife() || crash.GetPoints() != b[i].GetPoints() {
			return false
		}
	}
	return true
}

func encodeSuspectRequests(stored []quarantiner.StoredRequest, at func(time.Time) int64) []*messages.SuspectRequest {
	var list []*messages.SuspectRequest
	for _, request := range stored {
		list = append(list, &messages.SuspectRequest{
			Request: uint64(request.Request),
			Crashes: encodeCrashes(request.Crashes, at),
		})
	}
	return list
}

func encodeSuspectParts(stored []quarantiner.StoredPart, at func(time.Time) int64) []*messages.SuspectPart {
	var list []*messages.SuspectPart
	for _, part := range stored {
		list = append(list, &messages.SuspectPart{
			Part:    uint64(part.Part),
			Crashes: encodeCrashes(part.Crashes, at),
			Common:  encodeParts(part.Common),
		})
	}
	return list
}

func encodeCrashes(stored []quarantiner.StoredCrash, at func(time.Time) int64) []*messages.SuspectCrash {
	var list []*messages.SuspectCrash
	for _, crash := range stored {
		list = append(list, &messages.SuspectCrash{
			Life:   uint64(crash.IncarnationID),
			Points: uint32(crash.Points),
			AtNs:   at(crash.At),
		})
	}
	return list
}

func decodeSuspectRequests(list []*messages.SuspectRequest, at func(*messages.SuspectCrash) time.Time) []quarantiner.StoredRequest {
	var stored []quarantiner.StoredRequest
	for _, m := range list {
		stored = append(stored, quarantiner.StoredRequest{
			Request: units.Fingerprint(m.GetRequest()),
			Crashes: decodeCrashes(m.GetCrashes(), at),
		})
	}
	return stored
}

func decodeSuspectParts(list []*messages.SuspectPart, at func(*messages.SuspectCrash) time.Time) []quarantiner.StoredPart {
	var stored []quarantiner.StoredPart
	for _, m := range list {
		stored = append(stored, quarantiner.StoredPart{
			Part:    units.PromptPart(m.GetPart()),
			Crashes: decodeCrashes(m.GetCrashes(), at),
			Common:  decodeParts(m.GetCommon()),
		})
	}
	return stored
}

func decodeCrashes(list []*messages.SuspectCrash, at func(*messages.SuspectCrash) time.Time) []quarantiner.StoredCrash {
	var stored []quarantiner.StoredCrash
	for _, m := range list {
		stored = append(stored, quarantiner.StoredCrash{
			IncarnationID: units.IncarnationID(m.GetLife()),
			Points:        quarantiner.Points(m.GetPoints()),
			At:            at(m),
		})
	}
	return stored
}

// restoreCrashEvidence replaces the evidence by that of a snapshot, which is later in the log.
func (s *state) restoreCrashEvidence(encoded []byte) error {
	m := &messages.CrashEvidence{}
	if err := proto.Unmarshal(encoded, m); err != nil {
		return fmt.Errorf("decode a snapshot's evidence of crashes: %w; run the same version on every control instance", err)
	}
	s.crashEvidence = m
	return nil
}
