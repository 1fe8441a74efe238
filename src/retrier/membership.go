package retrier

import (
	"slices"
	"time"
)

// membership is what an entry knows of how many entries there are.
//
// What entries that are gone have spent still counts for a window, and nobody else knows it. If the others
// divided the slack among fewer at once, or an entry that has started again used its part, the fleet would
// use that part twice. So an entry divides the slack by the largest number of entries of a recent period, and
// uses its own part only after it has been counted for as long.
type membership struct {
	// since is when the contact with leaders began that lasts until lastContact.
	since       time.Time
	lastContact time.Time
	// counts are the numbers of entries that leaders have stated, oldest first. A number is dropped once a
	// later one is as large.
	counts []entryCount
}

// entryCount is a number of entries that a leader stated.
type entryCount struct {
	at      time.Time
	entries int
}

// record records a number of entries that a leader stated. Numbers older than the period are dropped.
func (m *membership) record(at time.Time, entries int, timeout, period time.Duration) {
	if at.Before(m.lastContact) {
		return
	}
	if m.lastContact.IsZero() || at.Sub(m.lastContact) > timeout {
		m.since = at
	}
	m.lastContact = at
	m.counts = slices.DeleteFunc(m.counts, func(c entryCount) bool { return c.entries <= entries || at.Sub(c.at) > period })
	m.counts = append(m.counts, entryCount{
		at:      at,
		entries: entries,
	})
}

// isMember reports whether the entry has been in contact for the period, and still is.
func (m *membership) isMember(now time.Time, timeout, period time.Duration) bool {
	return !m.lastContact.IsZero() && now.Sub(m.lastContact) <= timeout && now.Sub(m.since) >= period
}

// most returns the largest number of entries that a leader stated in the period, 0 for none.
func (m *membership) most(now time.Time, period time.Duration) int {
	most := 0
	for _, c := range m.counts {
		if now.Sub(c.at) <= period {
			most = max(most, c.entries)
		}
	}
	return most
}
