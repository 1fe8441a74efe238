package tallier

import (
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// settleTime is how long after a window's end its counts are taken as they are:
// some twenty polls of each entry, and the duty's pause after an election still
// leaves half of the ten seconds within which they are wanted.
const settleTime = 3500 * time.Millisecond

// keptReports is how many closed windows are remembered for a repeated report.
const keptReports = 8

// Life is one start of one entry, whose counts begin at zero.
type Life struct {
	Entry       units.Instance
	Incarnation units.Incarnation
}

// Report is the fixed counts of one window.
type Report struct {
	Window Window
	Counts map[units.Account]int64
}

// Ledger adds up what entries count; it is a state machine without a clock.
type Ledger struct {
	Length time.Duration
	// Patience is how long after its end a window waits for entries that may have
	// counts of it and are not heard.
	Patience time.Duration
	// Serves is how long an entry goes on serving after it was last heard.
	Serves time.Duration

	// entries holds when each entry was last heard, in true time.
	entries map[units.Instance]time.Time
	heard   map[Window]map[Life]map[units.Account]int64
	// fixed are the reports that stand in the log, by window.
	fixed map[Window]Report
	last  Window
}

// Hear takes the counts of one life of an entry; a lower one than before is old.
func (l *Ledger) Hear(trueTime time.Time, from Life, counts []Count) {
	if l.heard == nil {
		l.heard = make(map[Window]map[Life]map[units.Account]int64)
		l.entries = make(map[units.Instance]time.Time)
	}
	l.entries[from.Entry] = trueTime
	for _, c := range counts {
		if c.Window <= l.last {
			continue
		}
		lives := l.heard[c.Window]
		if lives == nil {
			lives = make(map[Life]map[units.Account]int64)
			l.heard[c.Window] = lives
		}
		accounts := lives[from]
		if accounts == nil {
			accounts = make(map[units.Account]int64)
			lives[from] = accounts
		}
		accounts[c.Account] = max(accounts[c.Account], c.Calls)
	}
}

// Due returns the next window whose counts are to be fixed, with their sums.
func (l *Ledger) Due(trueTime time.Time) (Report, bool) {
	next, found := l.next()
	if !found || trueTime.Before(next.End(l.Length).Add(settleTime)) || l.waits(trueTime, next) {
		return Report{}, false
	}
	sums := make(map[units.Account]int64)
	for _, accounts := range l.heard[next] {
		for account, calls := range accounts {
			sums[account] += calls
		}
	}
	return Report{
		Window: next,
		Counts: sums,
	}, true
}

// waits reports whether a window is held open for an entry that is not heard.
//
// An entry that is cut off from control serves for some seconds on and tells its
// counts when the cut is over. By then its window would be closed without them,
// though they are back before the report is wanted.
func (l *Ledger) waits(trueTime time.Time, w Window) bool {
	end := w.End(l.Length)
	if !trueTime.Before(end.Add(l.Patience)) {
		return false
	}
	began := end.Add(-l.Length)
	for entry, at := range l.entries {
		if at.Add(l.Serves).Before(began) {
			delete(l.entries, entry)
			continue
		}
		if at.Before(end) {
			return true
		}
	}
	return false
}

// next returns the first window that is not fixed: the one behind the last, or
// the earliest heard of where none was.
func (l *Ledger) next() (Window, bool) {
	if l.last != 0 {
		return l.last + 1, true
	}
	windows := slices.Sorted(maps.Keys(l.heard))
	if len(windows) == 0 {
		return 0, false
	}
	return windows[0], true
}

// Fix takes over a report from the log; a window that is fixed stays as it is.
func (l *Ledger) Fix(r Report) {
	if l.fixed == nil {
		l.fixed = make(map[Window]Report)
	}
	if r.Window <= l.last {
		return
	}
	l.fixed[r.Window] = r
	l.last = r.Window
	for window := range l.fixed {
		if window <= l.last-keptReports {
			delete(l.fixed, window)
		}
	}
	for window := range l.heard {
		if window <= l.last {
			delete(l.heard, window)
		}
	}
}

// Fixed returns the reports that stand in the log, the oldest first.
func (l *Ledger) Fixed() []Report {
	reports := make([]Report, 0, len(l.fixed))
	for _, window := range slices.Sorted(maps.Keys(l.fixed)) {
		reports = append(reports, l.fixed[window])
	}
	return reports
}
