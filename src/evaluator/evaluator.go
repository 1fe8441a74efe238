package evaluator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// ejectionLevel is how improbable failures must be to eject the upstreams that have them: the probability
	// that, of a service's upstreams that all fail alike, any one or any group of up to maxGroup has as many.
	// A service is tested 18,000 times an hour in overlapping windows. It may have one wrong ejection
	// per hour, which TestFalseEjectionsAreRare shows with drawn counts.
	ejectionLevel = 7e-5
	// maxGroup is how many upstreams are ejected on common evidence. Faults often concern several
	// upstreams, and of each of them less evidence is then enough.
	maxGroup = 4
	// maxGroupMember is how improbable the failures of each upstream of a group must be.
	maxGroupMember = 0.01
	// minEntryFailures is how many failures of one entry always count. Beyond that, an entry's failures
	// count only up to those of the entry with the next most: a fault at one entry's side is no evidence,
	// also beside the usual failures of others.
	minEntryFailures = 2
	// returnLevel is how improbable the failures of a returning upstream must be to eject it again. Its
	// earlier failures make a persisting fault probable.
	returnLevel = 0.01
	// minRateFactor and minRateExcess are how far an upstream's failure rate must be above its peers':
	// with many calls, a difference that callers do not notice is improbable as well.
	minRateFactor = 2
	minRateExcess = 0.05
	// alikeFactor is the fraction of an upstream's failure rate from which a peer fails alike.
	alikeFactor = 0.5

	// baseEjection is the duration of a first ejection. It doubles with each further one, up to maxEjection.
	baseEjection = 2 * time.Second
	maxEjection  = 30 * time.Second
	// stepTime is the minimum duration of a step of the return, and maxStepTime the maximum: with few
	// calls, the next step brings the responses sooner.
	stepTime    = time.Second
	maxStepTime = 10 * time.Second
	// maxServiceRestrictions bounds the restricted upstreams of a service, and with them each response to an
	// entry, to 1.1 KB.
	maxServiceRestrictions = 64
	// reportTTL is how long the number of an entry's last report is kept.
	reportTTL = time.Minute
)

// returnSteps are the steps of the return of an upstream. With 8 calls per second in full, the first
// step takes five seconds.
var returnSteps = [...]struct {
	weight    Weight
	responses int
}{
	{weight: 0.1, responses: 4},
	{weight: 0.3, responses: 6},
	{weight: 1, responses: 8},
}

// Weight is the fraction, from 0 to 1, of the calls that would go to an upstream that do.
type Weight float64

// ReportNumber numbers the reports of one entry, in increasing order also across its restarts.
type ReportNumber uint64

// Fleet holds the upstreams of each service that take calls.
type Fleet map[units.Service][]units.IncarnationID

// Restriction is the weight of an upstream that gets fewer calls.
type Restriction struct {
	ID     units.IncarnationID
	Weight Weight
}

// Kind is what has changed for an upstream.
type Kind string

// The values of Kind.
const (
	Ejected   Kind = "ejected"
	Returning Kind = "returning"
	Returned  Kind = "returned"
)

// Change is a change of an upstream's restriction and the evidence for it.
type Change struct {
	Kind    Kind
	ID      units.IncarnationID
	Service units.Service
	Weight  Weight
	// Duration is how long an ejection lasts, and Ejections how many there were in a row.
	Duration  time.Duration
	Ejections int
	// Calls and Failures are the upstream's own, and PeerCalls and PeerFailures those of its peers at
	// the same time. Entries is how many entries reported failures, of which at most maxFailing are counted in a bucket.
	Calls        int
	Failures     int
	PeerCalls    int
	PeerFailures int
	Entries      int
	// Forced is set if the upstream returns because too many of its service would be restricted.
	Forced bool
}

// Rate returns the share of the upstream's calls that failed.
func (c Change) Rate() float64 {
	return sample{
		calls:    c.Calls,
		failures: c.Failures,
	}.rate()
}

// PeerRate returns the share of its peers' calls that failed.
func (c Change) PeerRate() float64 {
	return sample{
		calls:    c.PeerCalls,
		failures: c.PeerFailures,
	}.rate()
}

// Evaluator pools the outcomes of calls that entries report, and decides which upstreams are restricted.
// It is a state machine without a clock; MaxShare is set before the first call and Spare before each step.
type Evaluator struct {
	// MaxShare is the largest share of a service's upstreams that may have a weight below 1.
	MaxShare float64
	// Spare is how many upstreams each service has beyond those that its load needs. No more of them have a weight below
	// 1: an upstream that breaks calls off because it is overloaded fails more often than its peers, and without it
	// these become overloaded as well. A service whose load is not known is not in it, and only MaxShare bounds it.
	Spare map[units.Service]int

	upstreams map[units.IncarnationID]*upstream
	reports   map[units.Instance]lastReport
}

type lastReport struct {
	number ReportNumber
	at     time.Time
}

// phase is where an upstream is between full use and ejection.
type phase int

const (
	inUse phase = iota
	ejected
	returning
)

type upstream struct {
	history history
	phase   phase
	// since is when the phase, or the step of the return, began, and until when an ejection ends.
	since time.Time
	until time.Time
	// ejections counts ejections in a row; one that follows a completed return by more than
	// maxEjection is a first one.
	ejections int
	// step is the step of the return, responses the calls that ended in it, and returned the outcomes
	// since the return began.
	step      int
	responses int
	returned  sample
}

// weight returns the upstream's weight.
func (u *upstream) weight() Weight {
	switch u.phase {
	case ejected:
		return 0
	case returning:
		return returnSteps[u.step].weight
	case inUse:
	}
	return 1
}

// Record adds what an entry has counted since its last report. A report that is not newer than the last
// one is ignored.
func (e *Evaluator) Record(now time.Time, entry units.Instance, number ReportNumber, outcomes map[units.IncarnationID]Outcomes) {
	if e.reports == nil {
		e.reports = make(map[units.Instance]lastReport)
	}
	if last, known := e.reports[entry]; known && number <= last.number {
		return
	}
	e.reports[entry] = lastReport{
		number: number,
		at:     now,
	}
	for id, o := range outcomes {
		u := e.upstreams[id]
		if u == nil {
			continue
		}
		failures := min(max(0, o.Failures), maxOutcomes)
		counted := sample{
			calls:    failures + min(max(0, o.Answers), maxOutcomes),
			failures: failures,
		}
		u.history.record(now, entry, counted)
		if u.phase == returning {
			u.responses += counted.calls
			u.returned = u.returned.plus(counted)
		}
	}
}

// Step updates the upstreams in use, and returns what has changed.
func (e *Evaluator) Step(now time.Time, fleet Fleet) []Change {
	e.update(fleet)
	for entry, last := range e.reports {
		if now.Sub(last.at) > reportTTL {
			delete(e.reports, entry)
		}
	}
	var changes []Change
	services := make([]units.Service, 0, len(fleet))
	for service := range fleet {
		services = append(services, service)
	}
	slices.Sort(services)
	for _, service := range services {
		s := e.newServiceStep(now, service, fleet[service])
		s.release()
		s.proceed()
		s.eject()
		changes = append(changes, s.changes...)
	}
	return changes
}

// update adds the upstreams that are new, and drops those that take no more calls.
func (e *Evaluator) update(fleet Fleet) {
	if e.upstreams == nil {
		e.upstreams = make(map[units.IncarnationID]*upstream)
	}
	present := make(map[units.IncarnationID]bool, len(e.upstreams))
	for _, ids := range fleet {
		for _, id := range ids {
			present[id] = true
			if e.upstreams[id] == nil {
				e.upstreams[id] = &upstream{}
			}
		}
	}
	for id := range e.upstreams {
		if !present[id] {
			delete(e.upstreams, id)
		}
	}
}

// Restrictions returns all upstreams with a weight below 1, sorted by their ids.
func (e *Evaluator) Restrictions() []Restriction {
	var restrictions []Restriction
	for id, u := range e.upstreams {
		if weight := u.weight(); weight < 1 {
			restrictions = append(restrictions, Restriction{
				ID:     id,
				Weight: weight,
			})
		}
	}
	slices.SortFunc(restrictions, func(a, b Restriction) int { return cmp.Compare(a.ID, b.ID) })
	return restrictions
}

// WeightOf returns an upstream's weight.
func (e *Evaluator) WeightOf(id units.IncarnationID) Weight {
	if u := e.upstreams[id]; u != nil {
		return u.weight()
	}
	return 1
}

// maxRestricted returns how many of a service's upstreams may have a weight below 1.
func (e *Evaluator) maxRestricted(service units.Service, total int) int {
	if total < 2 {
		return 0
	}
	// A product such as 0.3 times 10 must not fall below the whole number.
	most := min(maxServiceRestrictions, int(math.Floor(e.MaxShare*float64(total)+1e-9)))
	if spare, known := e.Spare[service]; known {
		most = min(most, max(0, spare))
	}
	return most
}
