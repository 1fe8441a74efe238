package withholder

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// reportTTL is how long an entry's report counts: several polls.
const reportTTL = time.Second

// Summary combines the back-offs that entries report; it is a state machine without a clock.
type Summary struct {
	reports map[units.Instance]report
}

// report is what an entry last reported.
type report struct {
	at         time.Time
	backingOff []units.IncarnationID
}

// Record replaces an entry's report.
func (s *Summary) Record(now time.Time, entry units.Instance, backingOff []units.IncarnationID) {
	if s.reports == nil {
		s.reports = make(map[units.Instance]report)
	}
	if len(backingOff) == 0 {
		delete(s.reports, entry)
		return
	}
	s.reports[entry] = report{
		at:         now,
		backingOff: backingOff,
	}
}

// Fractions returns, for each upstream that some of the given number of entries back off from, the
// fraction of the entries that do.
func (s *Summary) Fractions(now time.Time, entries int) map[units.IncarnationID]float64 {
	if len(s.reports) == 0 {
		return nil
	}
	fractions := make(map[units.IncarnationID]float64)
	for entry, r := range s.reports {
		if now.Sub(r.at) >= reportTTL {
			delete(s.reports, entry)
			continue
		}
		for _, id := range r.backingOff {
			fractions[id] += 1 / float64(max(1, entries, len(s.reports)))
		}
	}
	return fractions
}
