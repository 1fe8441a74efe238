package aggregator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// settleDelay is how long after a window's end its counts are considered complete: about
// twenty polls of each entry. Together with the duty delay after an election it still leaves
// half of the ten seconds within which the report is due.
const settleDelay = 3500 * time.Millisecond

// pollAge is how old the counts of a poll may be when it is recorded: it is given up by its entry after 0.45 s,
// and by a control instance that is behind after 0.4 s. A contact proves that a window's counts are complete
// only if it is later than the window's end by more than this.
const pollAge = time.Second

// silentAfter is how long after its last contact the counts of an entry's run are forwarded to the other control
// instances: above the interval of polls and that of the leader's batches together, so that nothing is
// forwarded of an entry in contact.
const silentAfter = 1500 * time.Millisecond

// maxForwardedCounts bounds the counts that are forwarded at once, to some 60 KB.
const maxForwardedCounts = 4096

// maxReports is how many committed windows are kept so that their reports can be repeated.
const maxReports = 8

// EntryRun is one run of an entry's process, whose counts begin at zero.
type EntryRun struct {
	Entry       units.Instance
	Incarnation units.Incarnation
}

// Contact is the last contact with an entry.
type Contact struct {
	Run EntryRun
	At  time.Time
}

// RunCounts are counts of one run of an entry.
type RunCounts struct {
	Run    EntryRun
	Counts []Count
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

	// lastContact is each entry's last contact with this instance or with a leader, in true time, and reportedAt
	// the last with this instance, which has all counts that the entry had then.
	lastContact map[units.Instance]Contact
	reportedAt  map[units.Instance]time.Time
	// forwarded is the last run whose counts were forwarded.
	forwarded EntryRun
	received  map[Window]map[EntryRun]map[units.Account]int64
	// committed holds the reports in the log by window.
	committed     map[Window]Report
	lastCommitted Window
}

// Record stores the counts of one run of an entry, received from it; a count lower than before is outdated.
func (l *Ledger) Record(trueTime time.Time, run EntryRun, counts []Count) {
	l.RecordContact(Contact{
		Run: run,
		At:  trueTime,
	})
	l.RecordForwarded(run, counts)
	if l.reportedAt == nil {
		l.reportedAt = make(map[units.Instance]time.Time)
	}
	l.reportedAt[run.Entry] = trueTime
}

// RecordContact stores an entry's last contact with a leader, which may not have passed on its counts.
func (l *Ledger) RecordContact(contact Contact) {
	if l.lastContact == nil {
		l.lastContact = make(map[units.Instance]Contact)
	}
	if contact.At.After(l.lastContact[contact.Run.Entry].At) {
		l.lastContact[contact.Run.Entry] = contact
	}
}

// RecordForwarded stores the counts of one run of an entry, received from another control instance.
func (l *Ledger) RecordForwarded(run EntryRun, counts []Count) {
	if l.received == nil {
		l.received = make(map[Window]map[EntryRun]map[units.Account]int64)
	}
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

// Contacts returns the last contact with each entry, sorted by entry. The next leader, which may never have been
// in contact with an entry that is cut off, waits for it as this one would.
func (l *Ledger) Contacts() []Contact {
	contacts := make([]Contact, 0, len(l.lastContact))
	for _, entry := range slices.Sorted(maps.Keys(l.lastContact)) {
		contacts = append(contacts, l.lastContact[entry])
	}
	return contacts
}

// SilentRuns returns the counts of the runs that are not in contact any more, of the windows that are not
// committed. Such a run may never report them again, and this instance may be lost before it commits them. Where
// they are too many, the next call returns the others.
func (l *Ledger) SilentRuns(trueTime time.Time) []RunCounts {
	silent := make(map[EntryRun][]Count)
	for window, runs := range l.received {
		for run, accounts := range runs {
			if last := l.lastContact[run.Entry]; last.Run == run && trueTime.Sub(last.At) < silentAfter {
				continue
			}
			for account, calls := range accounts {
				silent[run] = append(silent[run], Count{
					Window:  window,
					Account: account,
					Calls:   calls,
				})
			}
		}
	}
	runs := slices.SortedFunc(maps.Keys(silent), compareRuns)
	next, _ := slices.BinarySearchFunc(runs, l.forwarded, func(run, last EntryRun) int {
		if compareRuns(run, last) <= 0 {
			return -1
		}
		return 1
	})
	var chosen []RunCounts
	size := 0
	for i := range runs {
		run := runs[(next+i)%len(runs)]
		if size += len(silent[run]); size > maxForwardedCounts && len(chosen) > 0 {
			break
		}
		l.forwarded = run
		chosen = append(chosen, RunCounts{
			Run:    run,
			Counts: silent[run],
		})
	}
	return chosen
}

func compareRuns(a, b EntryRun) int {
	return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Incarnation, b.Incarnation))
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
	for entry, last := range l.lastContact {
		if !last.At.Add(l.MaxServing).Before(windowStart) && l.reportedAt[entry].Before(end.Add(pollAge)) {
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
	// An entry that was last in contact so long ago has no counts of later windows.
	next := l.lastCommitted.End(l.WindowLength)
	for entry, last := range l.lastContact {
		if last.At.Add(l.MaxServing).Before(next) {
			delete(l.lastContact, entry)
			delete(l.reportedAt, entry)
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
