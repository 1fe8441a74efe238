package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Loss says that an upstream ended while it had a request.
type Loss struct {
	Request units.Fingerprint
	Life    units.Life
	// Answering says that a part of the answer had come: what ends an upstream does so
	// when it begins to run, mostly before that.
	Answering bool
}

// Points weigh what speaks against a request.
type Points int

// silentLoss and answeringLoss are what one loss weighs.
const (
	silentLoss    Points = 2
	answeringLoss Points = 1
)

const (
	// FleetPoints are enough to quarantine a request for all entries.
	FleetPoints = 2 * silentLoss
	// EntryPoints are enough for one entry, which does not know whether the request has run
	// at another.
	EntryPoints = 3 * silentLoss
)

const (
	// Settle is how long the news of one upstream's end may take to come together: some
	// polls of all entries.
	Settle = 300 * time.Millisecond
	// suspectFor is how long a loss counts: requests come again after minutes.
	suspectFor = 10 * time.Minute
	// ranFor is how long a request that has run to its end is above suspicion. It is in
	// step with how long entries remember it.
	ranFor = time.Minute
	// mostSuspects and mostRan bound what is kept.
	mostSuspects = 512
	mostRan      = 1024
	// mostExplained bounds the ended upstreams of which the cause is known.
	mostExplained = 256
)

// Quarantiner weighs what speaks against requests; its fields are set before use.
type Quarantiner struct {
	// Enough is what must speak against a request to quarantine it.
	Enough Points
	// Settle is how long it must have done so.
	Settle time.Duration
	// Repeated reports whether a request was quarantined before, so that one loss is
	// enough; it may be nil.
	Repeated func(units.Fingerprint) bool

	suspects map[units.Fingerprint]*suspect
	ran      map[units.Fingerprint]time.Time
	// explained holds the lives that a quarantined request has ended.
	explained map[units.Life]time.Time
	version   uint64
}

// suspect is what speaks against one request.
type suspect struct {
	lives  map[units.Life]Points
	points Points
	lostAt time.Time
	// enoughAt is when there were enough points, zero before.
	enoughAt time.Time
}

// Verdict is a request that is to be quarantined.
type Verdict struct {
	Request units.Fingerprint
	// Upstreams is how many have ended with it.
	Upstreams int
	Points    Points
}

// Lose takes the loss of an upstream with a request.
func (q *Quarantiner) Lose(now time.Time, loss Loss) {
	if at, ran := q.ran[loss.Request]; ran && now.Sub(at) < ranFor {
		return
	}
	if _, explained := q.explained[loss.Life]; explained {
		return
	}
	if q.suspects == nil {
		q.suspects = make(map[units.Fingerprint]*suspect)
	}
	s := q.suspects[loss.Request]
	if s == nil {
		s = &suspect{lives: make(map[units.Life]Points)}
		q.suspects[loss.Request] = s
		q.version++
	}
	points := silentLoss
	if loss.Answering {
		points = answeringLoss
	}
	// Several calls of one request at one upstream are one loss.
	s.lives[loss.Life] = max(points, s.lives[loss.Life])
	s.lostAt = now
	q.add(now, loss.Request, s)
	if len(q.suspects) > mostSuspects {
		q.evict()
	}
}

// add sums up what speaks against a request.
func (q *Quarantiner) add(now time.Time, request units.Fingerprint, s *suspect) {
	s.points = 0
	for _, points := range s.lives {
		s.points += points
	}
	enough := s.points >= q.Enough || q.Repeated != nil && q.Repeated(request) && s.points >= silentLoss
	switch {
	case !enough:
		s.enoughAt = time.Time{}
	case s.enoughAt.IsZero():
		s.enoughAt = now
	}
}

// evict forgets the suspect whose last loss is the oldest.
func (q *Quarantiner) evict() {
	var oldest units.Fingerprint
	for request, s := range q.suspects {
		if at := q.suspects[oldest]; at == nil || s.lostAt.Before(at.lostAt) {
			oldest = request
		}
	}
	q.Drop(oldest)
}

// Ran takes that a request has run to its end, or for long, which those that end upstreams
// never do.
func (q *Quarantiner) Ran(now time.Time, request units.Fingerprint) {
	q.Drop(request)
	if q.ran == nil {
		q.ran = make(map[units.Fingerprint]time.Time)
	}
	q.ran[request] = now
	if len(q.ran) > mostRan {
		forgetOldest(q.ran)
	}
}

// Drop forgets what speaks against a request.
func (q *Quarantiner) Drop(request units.Fingerprint) {
	if q.suspects[request] != nil {
		delete(q.suspects, request)
		q.version++
	}
}

// Due returns the requests to be quarantined. They stay due until they are dropped.
//
// The calls that an upstream had beside such a request are lost with it, and some of them at
// the next one too. What explains the end of an upstream takes it off them.
func (q *Quarantiner) Due(now time.Time) []Verdict {
	q.expire(now)
	var due []Verdict
	for request, s := range q.suspects {
		if !s.enoughAt.IsZero() && now.Sub(s.enoughAt) >= q.Settle {
			due = append(due, Verdict{
				Request:   request,
				Upstreams: len(s.lives),
				Points:    s.points,
			})
		}
	}
	slices.SortFunc(due, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.Points, a.Points), cmp.Compare(a.Request, b.Request))
	})
	kept := due[:0]
	for _, verdict := range due {
		// One that was as often there may be the cause as well.
		if s := q.suspects[verdict.Request]; s != nil && !s.enoughAt.IsZero() {
			kept = append(kept, verdict)
			q.explain(now, verdict)
		}
	}
	return kept
}

// explain takes the lives that a request has ended off all that have fewer points.
func (q *Quarantiner) explain(now time.Time, verdict Verdict) {
	if q.explained == nil {
		q.explained = make(map[units.Life]time.Time)
	}
	lives := q.suspects[verdict.Request].lives
	for request, s := range q.suspects {
		if s.points >= verdict.Points {
			continue
		}
		for life := range lives {
			delete(s.lives, life)
		}
		q.add(now, request, s)
		if len(s.lives) == 0 {
			q.Drop(request)
		}
	}
	for life := range lives {
		q.explained[life] = now
		if len(q.explained) > mostExplained {
			forgetOldest(q.explained)
		}
	}
}

// expire forgets what is too old to count.
func (q *Quarantiner) expire(now time.Time) {
	for request, s := range q.suspects {
		if now.Sub(s.lostAt) >= suspectFor {
			q.Drop(request)
		}
	}
	maps.DeleteFunc(q.ran, func(_ units.Fingerprint, at time.Time) bool { return now.Sub(at) >= ranFor })
	maps.DeleteFunc(q.explained, func(_ units.Life, at time.Time) bool { return now.Sub(at) >= suspectFor })
}

// Suspects returns the requests that upstreams were lost with, in order, and a number that
// changes with them.
func (q *Quarantiner) Suspects() ([]units.Fingerprint, uint64) {
	return slices.Sorted(maps.Keys(q.suspects)), q.version
}

// Version returns the number that changes with the suspects.
func (q *Quarantiner) Version() uint64 { return q.version }

// forgetOldest removes the oldest key.
func forgetOldest[K comparable](kept map[K]time.Time) {
	var oldest K
	var at time.Time
	for key, t := range kept {
		if at.IsZero() || t.Before(at) {
			oldest, at = key, t
		}
	}
	delete(kept, oldest)
}
