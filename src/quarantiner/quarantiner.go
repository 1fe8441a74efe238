package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Loss reports that an upstream crashed while it was running a request.
type Loss struct {
	Request       units.Fingerprint
	IncarnationID units.IncarnationID
	// Answering reports that part of the answer had been received. A request that crashes an
	// upstream does so when it starts to run, mostly before the first byte of the answer.
	Answering bool
	// Parts are the parts of the request's prompt that other requests may share and that have not run
	// lately.
	Parts []units.PromptPart
}

// Points weigh the evidence against a request.
type Points int

// unansweredLoss and answeringLoss are the points of one loss, before and after the start of
// the answer.
const (
	unansweredLoss Points = 2
	answeringLoss  Points = 1
)

const (
	// FleetThreshold is the threshold at which the leader quarantines a request for all entries.
	FleetThreshold = 2 * unansweredLoss
	// EntryThreshold is the threshold at which one entry quarantines a request by itself. It is
	// higher, as an entry does not know whether the request has run at another entry.
	EntryThreshold = 3 * unansweredLoss
)

const (
	// SettleDelay is how long the reports of one upstream's crash may take to arrive from all
	// entries: several polls.
	SettleDelay = 300 * time.Millisecond
	// suspectTTL is how long a loss counts: callers repeat requests after minutes.
	suspectTTL = 10 * time.Minute
	// RanTTL is how long a request, or a part, that has run cannot become a suspect. Entries
	// remember such requests for the same time.
	RanTTL = time.Minute
	// maxSuspects and maxRan bound the requests that are kept.
	maxSuspects = 512
	maxRan      = 1024
	// maxExplained bounds the crashed upstreams whose cause is known.
	maxExplained = 256
)

// Quarantiner weighs the evidence against requests; its exported fields are set before use.
type Quarantiner struct {
	// Threshold is the number of points at which a request is quarantined.
	Threshold Points
	// SettleDelay is how long a request must have been at the threshold before it is due.
	SettleDelay time.Duration
	// WasQuarantined reports whether a request was quarantined before, in which case one loss is
	// enough; it may be nil.
	WasQuarantined func(units.Fingerprint) bool

	suspects map[units.Fingerprint]*suspect
	ran      map[units.Fingerprint]time.Time
	// explained holds the upstream incarnations that a quarantined request has ended.
	explained map[units.IncarnationID]time.Time
	version   uint64
}

// suspect is the evidence against one request.
type suspect struct {
	byIncarnation map[units.IncarnationID]Points
	points        Points
	lastLossAt    time.Time
	// thresholdAt is when the points reached the threshold, zero while they are below it.
	thresholdAt time.Time
}

// Verdict is a request that is to be quarantined.
type Verdict struct {
	Request units.Fingerprint
	// Upstreams is the number of upstreams that crashed with it.
	Upstreams int
	Points    Points
}

// RecordLoss records that an upstream was lost with a request.
func (q *Quarantiner) RecordLoss(now time.Time, loss Loss) {
	if at, ran := q.ran[loss.Request]; ran && now.Sub(at) < RanTTL {
		return
	}
	if _, explained := q.explained[loss.IncarnationID]; explained {
		return
	}
	if q.suspects == nil {
		q.suspects = make(map[units.Fingerprint]*suspect)
	}
	s := q.suspects[loss.Request]
	if s == nil {
		s = &suspect{byIncarnation: make(map[units.IncarnationID]Points)}
		q.suspects[loss.Request] = s
		q.version++
	}
	points := unansweredLoss
	if loss.Answering {
		points = answeringLoss
	}
	// Several calls of one request at one upstream count as one loss.
	s.byIncarnation[loss.IncarnationID] = max(points, s.byIncarnation[loss.IncarnationID])
	s.lastLossAt = now
	q.updatePoints(now, loss.Request, s)
	if len(q.suspects) > maxSuspects {
		q.evictOldestSuspect()
	}
}

// updatePoints recomputes the points of a request and whether they reach the threshold.
func (q *Quarantiner) updatePoints(now time.Time, request units.Fingerprint, s *suspect) {
	s.points = 0
	for _, points := range s.byIncarnation {
		s.points += points
	}
	enough := s.points >= q.Threshold || q.WasQuarantined != nil && q.WasQuarantined(request) && s.points >= unansweredLoss
	switch {
	case !enough:
		s.thresholdAt = time.Time{}
	case s.thresholdAt.IsZero():
		s.thresholdAt = now
	}
}

// evictOldestSuspect drops the suspect whose last loss is the oldest.
func (q *Quarantiner) evictOldestSuspect() {
	var oldest units.Fingerprint
	for request, s := range q.suspects {
		if at := q.suspects[oldest]; at == nil || s.lastLossAt.Before(at.lastLossAt) {
			oldest = request
		}
	}
	q.Drop(oldest)
}

// RecordRun records that a request has run to completion, or for longer than one that crashes
// upstreams would.
func (q *Quarantiner) RecordRun(now time.Time, request units.Fingerprint) {
	q.Drop(request)
	if q.ran == nil {
		q.ran = make(map[units.Fingerprint]time.Time)
	}
	q.ran[request] = now
	if len(q.ran) > maxRan {
		deleteOldest(q.ran)
	}
}

// Drop discards the evidence against a request.
func (q *Quarantiner) Drop(request units.Fingerprint) {
	if q.suspects[request] != nil {
		delete(q.suspects, request)
		q.version++
	}
}

// Due returns the requests to be quarantined, most points first. They stay due until they are
// dropped.
//
// The calls that an upstream was running beside such a request are lost with it, and some of
// them are retried at the next upstream that crashes. Once a request explains a crash, the loss
// no longer counts against these calls.
func (q *Quarantiner) Due(now time.Time) []Verdict {
	q.expire(now)
	var due []Verdict
	for request, s := range q.suspects {
		if !s.thresholdAt.IsZero() && now.Sub(s.thresholdAt) >= q.SettleDelay {
			due = append(due, Verdict{
				Request:   request,
				Upstreams: len(s.byIncarnation),
				Points:    s.points,
			})
		}
	}
	slices.SortFunc(due, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.Points, a.Points), cmp.Compare(a.Request, b.Request))
	})
	kept := due[:0]
	for _, verdict := range due {
		// A request with as many points is due as well: it may be the cause too.
		if s := q.suspects[verdict.Request]; s != nil && !s.thresholdAt.IsZero() {
			kept = append(kept, verdict)
			q.explainLosses(now, verdict)
		}
	}
	return kept
}

// explainLosses removes the incarnations that a request has ended from all suspects with fewer
// points.
func (q *Quarantiner) explainLosses(now time.Time, verdict Verdict) {
	if q.explained == nil {
		q.explained = make(map[units.IncarnationID]time.Time)
	}
	incarnations := q.suspects[verdict.Request].byIncarnation
	for request, s := range q.suspects {
		// Its own points may be fewer by now, if an earlier verdict explains some of its losses.
		if request == verdict.Request || s.points >= verdict.Points {
			continue
		}
		for id := range incarnations {
			delete(s.byIncarnation, id)
		}
		q.updatePoints(now, request, s)
		if len(s.byIncarnation) == 0 {
			q.Drop(request)
		}
	}
	for id := range incarnations {
		q.explained[id] = now
		if len(q.explained) > maxExplained {
			deleteOldest(q.explained)
		}
	}
}

// expire removes entries past their TTL.
func (q *Quarantiner) expire(now time.Time) {
	for request, s := range q.suspects {
		if now.Sub(s.lastLossAt) >= suspectTTL {
			q.Drop(request)
		}
	}
	maps.DeleteFunc(q.ran, func(_ units.Fingerprint, at time.Time) bool { return now.Sub(at) >= RanTTL })
	maps.DeleteFunc(q.explained, func(_ units.IncarnationID, at time.Time) bool { return now.Sub(at) >= suspectTTL })
}

// Suspects returns the requests with which upstreams were lost, in order, and a version that
// changes with them.
func (q *Quarantiner) Suspects() ([]units.Fingerprint, uint64) {
	return slices.Sorted(maps.Keys(q.suspects)), q.version
}

// Version returns the version of the suspects.
func (q *Quarantiner) Version() uint64 { return q.version }

// deleteOldest removes the oldest key.
func deleteOldest[K comparable](kept map[K]time.Time) {
	var oldest K
	var at time.Time
	for key, t := range kept {
		if at.IsZero() || t.Before(at) {
			oldest, at = key, t
		}
	}
	delete(kept, oldest)
}
