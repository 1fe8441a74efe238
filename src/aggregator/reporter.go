package aggregator

// DeltaReporter omits the counts that the ledger has already acknowledged from an entry's reports.
//
// An entry counts some windows of each account and reports them repeatedly, so that lost
// messages do no harm. Reported in full each time, the counts are most of what a leader of
// hundreds of entries reads, and the leader knows nearly all of them already.
type DeltaReporter struct {
	acknowledged map[key]int64
}

// Unacknowledged returns the counts that are not acknowledged yet.
func (d *DeltaReporter) Unacknowledged(counts []Count) []Count {
	var fresh []Count
	for _, c := range counts {
		if d.acknowledged[keyOf(c)] != c.Calls {
			fresh = append(fresh, c)
		}
	}
	return fresh
}

// Acknowledge records that the counts in fresh were acknowledged. all is the list that they were
// taken from; counts that it no longer contains are forgotten.
func (d *DeltaReporter) Acknowledge(fresh, all []Count) {
	acknowledged := make(map[key]int64, len(all))
	for _, c := range all {
		if calls, known := d.acknowledged[keyOf(c)]; known {
			acknowledged[keyOf(c)] = calls
		}
	}
	for _, c := range fresh {
		acknowledged[keyOf(c)] = c.Calls
	}
	d.acknowledged = acknowledged
}

// Reset marks all counts as unacknowledged, for another ledger.
func (d *DeltaReporter) Reset() { d.acknowledged = nil }

func keyOf(c Count) key {
	return key{
		window:  c.Window,
		account: c.Account,
	}
}
