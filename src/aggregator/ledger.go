package aggregator

import (
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// settleDelay is how long after a window's end its counts are considered complete: about
// twenty polls of each entry. Together with the duty delay after an election it still leaves
// half of the ten seconds within which the report is due.
const settleDelay = 3500 * time.Millisecond

// maxReports is how many committed windows are kept so that their reports can be repeated.
const maxReports = 8

// EntryRun is one run of an entry's process, whose counts begin at zero.
type EntryRun struct {
	Entry       units.Instance
	Incarnation units.Incarnation
}

// Report holds the final counts of one window.
type Report struct {
	Window Window
	Counts map[units.Account]int64
}

// Ledger adds up the counts of entries. It is a state machine without a clock of its own.
type Ledger struct {
	WindowLength time.Duration
	// MaxWait is how long after its end a window waits for entries that may have counts for
	// it and are not in contact.
	MaxWait time.Duration
	// MaxServing is how long an entry continues to serve after its last contact.
	MaxServing time.Duration

	// lastContact is when each entry last reported, in true time.
	lastContact map[units.Instance]time.Time
	received    map[Window]map[EntryRun]map[units.Account]int64
	// committed holds the reports in the log by window.
	committed     map[Window]Report
	lastCommitted Window
}

// Record stores the counts of one run of an entry; a count lower than before is outdated.
func (l *Ledger) Record(trueTime time.Time, run EntryRun, counts []Count) {
	if l.received == nil {
		l.received = make(map[Window]map[EntryRun]map[units.Account]int64)
		l.lastContact = make(map[units.Instance]time.Time)
	}
	l.lastContact[run.Entry] = trueTime
	for _, c := range counts {
		if c.Window <= l.lastCommitted {
			continue
		}
		runs := l.received[c.Window]
		if runs == nil {
			runs = make(map[EntryRun]map[units.Account]int64)
			l.received[c.Window] = runs
		}
		accounts := runs[run]
		if accounts == nil {
			accounts = make(map[units.Account]int64)
			runs[run] = accounts
		}
		accounts[c.Account] = max(accounts[c.Account], c.Calls)
	}
}

// Due returns the next window whose counts are due to be committed, with their sums.
func (l *Ledger) Due(trueTime time.Time) (Report, bool) {
	nextWindow, found := l.nextWindow()
	if !found || trueTime.Before(nextWindow.End(l.WindowLength).Add(settleDelay)) || l.mustWait(trueTime, nextWindow) {
		return Report{}, false
	}
	sums := make(map[units.Account]int64)
	for _, accounts := range l.received[nextWindow] {
		for account, calls := range accounts {
			sums[account] += calls
		}
	}
	return Report{
		Window: nextWindow,
		Counts: sums,
	}, true
}

// mustWait reports whether a window stays open for an entry that is not in contact.
//
// An entry that is cut off from control continues to serve for some seconds and reports its
// counts when it is back in contact. Without the wait its window would be closed by then,
// although the counts arrive before the report is due.
func (l *Ledger) mustWait(trueTime time.Time, w Window) bool {
	end := w.End(l.WindowLength)
	if !trueTime.Before(end.Add(l.MaxWait)) {
		return false
	}
	windowStart := end.Add(-l.WindowLength)
	for entry, at := range l.lastContact {
		if at.Add(l.MaxServing).Before(windowStart) {
			delete(l.lastContact, entry)
			continue
		}
		if at.Before(end) {
			return true
		}
	}
	return false
}

// nextWindow returns the first window that is not committed: the one after the last
// committed, or the earliest with counts where none is committed.
func (l *Ledger) nextWindow() (Window, bool) {
	if l.lastCommitted != 0 {
		return l.lastCommitted + 1, true
	}
	windows := slices.Sorted(maps.Keys(l.received))
	if len(windows) == 0 {
		return 0, false
	}
	return windows[0], true
}

// Commit stores a report from the log; a committed window does not change any more.
func (l *Ledger) Commit(r Report) {
	if l.committed == nil {
		l.committed = make(map[Window]Report)
	}
	if r.Window <= l.lastCommitted {
		return
	}
	l.committed[r.Window] = r
	l.lastCommitted = r.Window
	for window := range l.committed {
		if window <= l.lastCommitted-maxReports {
			delete(l.committed, window)
		}
	}
	for window := range l.received {
		if window <= l.lastCommitted {
			delete(l.received, window)
		}
	}
}

// Committed returns the reports in the log, the oldest first.
func (l *Ledger) Committed() []Report {
	reports := make([]Report, 0, len(l.committed))
	for _, window := range slices.Sorted(maps.Keys(l.committed)) {
		reports = append(reports, l.committed[window])
	}
	return reports
}
