package tallier

// Teller leaves out of an entry's counts what whoever keeps the ledger has heard.
//
// An entry counts some windows of each account and tells them again and again, so that
// no loss matters. Told whole each time, they are most of what a leader of hundreds of
// entries reads, and nearly all of it is what it knows.
type Teller struct {
	heard map[key]int64
}

// Fresh returns the counts that were not heard yet.
func (t *Teller) Fresh(counts []Count) []Count {
	var fresh []Count
	for _, c := range counts {
		if t.heard[keyOf(c)] != c.Calls {
			fresh = append(fresh, c)
		}
	}
	return fresh
}

// Heard notes that counts have arrived; all is the list that they were taken from, and
// what it no longer holds is forgotten.
func (t *Teller) Heard(fresh, all []Count) {
	heard := make(map[key]int64, len(all))
	for _, c := range all {
		if calls, known := t.heard[keyOf(c)]; known {
			heard[keyOf(c)] = calls
		}
	}
	for _, c := range fresh {
		heard[keyOf(c)] = c.Calls
	}
	t.heard = heard
}

// Reset makes all counts fresh, for another ledger.
func (t *Teller) Reset() { t.heard = nil }

func keyOf(c Count) key {
	return key{
		window:  c.Window,
		account: c.Account,
	}
}
