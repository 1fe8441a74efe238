package reserver

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// reclaimWindow is the time within which a data centre's upstreams leave together in a reclaim.
	reclaimWindow = 2 * time.Second
	// minReclaimed is the smallest number of upstreams that leave together in a reclaim. A single one that leaves may
	// have crashed or been replaced.
	minReclaimed = 2
	// minReclaimedShare is the smallest share of a data centre's reclaimable upstreams that leave in a reclaim. The
	// platform reclaims all of them; some may have become ready meanwhile. In a roll-out one after the other leaves, and
	// its replacement takes calls.
	minReclaimedShare = 0.75
	// maxNotice is longer than the platform announces a reclaim ahead. Upstreams that a new leader finds leaving belong to
	// a reclaim that is in the history if it is not older.
	maxNotice = 15 * time.Second
	// releaseTimeout is how long an upstream that an order released may take to leave.
	releaseTimeout = 8 * time.Second
)

// Upstream is a reclaimable upstream.
type Upstream struct {
	ID         units.IncarnationID
	DataCentre units.DataCentre
	Condition  Condition
}

// Condition is whether an upstream stays.
type Condition int

// The conditions of an upstream.
const (
	Ready Condition = iota + 1
	// Silent is the condition of an upstream that has announced nothing lately. It may be behind a network partition or
	// have crashed, which are not reclaims.
	Silent
	Leaving
	Gone
)

// departure is the end of an upstream's time as a ready one.
type departure struct {
	at         time.Time
	dataCentre units.DataCentre
}

// detector finds reclaims among the changes of upstreams.
type detector struct {
	observed bool
	// readySince holds since when each ready upstream counts as ready.
	readySince map[units.IncarnationID]time.Time
	// silent holds the upstreams that were silent when last observed.
	silent map[units.IncarnationID]bool
	// departures are those within reclaimWindow that no order explains.
	departures []departure
	// releases are the upstreams that orders have released and that have not left yet.
	releases map[units.DataCentre]release
}

type release struct {
	count int
	until time.Time
}

// observe returns the reclaims that the upstreams' conditions show; lastAt returns when a data centre was last
// reclaimed.
func (d *detector) observe(now time.Time, upstreams []Upstream, lastAt func(units.DataCentre) time.Time) []Reclaim {
	if d.readySince == nil {
		d.readySince = make(map[units.IncarnationID]time.Time)
	}
	remaining := make(map[units.DataCentre]int)
	present := make(map[units.IncarnationID]bool, len(upstreams))
	// All that left during a network partition show it when the partition ends, and have not left together.
	wasSilent := d.silent
	d.silent = silentOf(upstreams)
	for _, u := range upstreams {
		present[u.ID] = true
		since, wasReady := d.readySince[u.ID]
		switch {
		case u.Condition == Silent:
		case u.Condition == Ready:
			remaining[u.DataCentre]++
			if !wasReady {
				d.readySince[u.ID] = d.firstReadyAt(now, lastAt(u.DataCentre))
			}
		case wasReady:
			delete(d.readySince, u.ID)
			// The last ones of a reclaimed data centre may announce it later than the others.
			if since.After(lastAt(u.DataCentre)) && !wasSilent[u.ID] {
				d.depart(now, u.DataCentre)
			}
		case !d.observed && u.Condition == Leaving && now.Sub(lastAt(u.DataCentre)) > maxNotice:
			d.depart(now, u.DataCentre)
		}
	}
	d.observed = true
	for id := range d.readySince {
		if !present[id] {
			delete(d.readySince, id)
		}
	}
	return d.reclaims(now, remaining)
}

// silentOf returns the silent ones of some upstreams.
func silentOf(upstreams []Upstream) map[units.IncarnationID]bool {
	silent := make(map[units.IncarnationID]bool)
	for _, u := range upstreams {
		if u.Condition == Silent {
			silent[u.ID] = true
		}
	}
	return silent
}

// firstReadyAt returns since when an upstream that is seen ready for the first time counts as ready. Upstreams that a new
// leader finds may have been ready before a reclaim in the history, and may announce late that they belong to it.
func (d *detector) firstReadyAt(now, reclaimedAt time.Time) time.Time {
	if !d.observed && now.Sub(reclaimedAt) <= maxNotice {
		return reclaimedAt
	}
	return now
}

// depart records an upstream that leaves, unless an order has released one.
func (d *detector) depart(now time.Time, centre units.DataCentre) {
	if r := d.releases[centre]; r.count > 0 && now.Before(r.until) {
		r.count--
		d.releases[centre] = r
		return
	}
	d.departures = append(d.departures, departure{
		at:         now,
		dataCentre: centre,
	})
}

// release records that an order has released some upstreams.
func (d *detector) release(now time.Time, centre units.DataCentre, count int) {
	if d.releases == nil {
		d.releases = make(map[units.DataCentre]release)
	}
	d.releases[centre] = release{
		count: count,
		until: now.Add(releaseTimeout),
	}
}

// reclaims returns the data centres of which enough upstreams have left.
func (d *detector) reclaims(now time.Time, remaining map[units.DataCentre]int) []Reclaim {
	counts := make(map[units.DataCentre]int)
	kept := d.departures[:0]
	for _, departed := range d.departures {
		if now.Sub(departed.at) <= reclaimWindow {
			kept = append(kept, departed)
			counts[departed.dataCentre]++
		}
	}
	d.departures = kept
	var found []Reclaim
	for _, departed := range kept {
		centre := departed.dataCentre
		count := counts[centre]
		if count < minReclaimed || float64(count) < minReclaimedShare*float64(count+remaining[centre]) {
			continue
		}
		found = append(found, Reclaim{
			DataCentre: centre,
			At:         departed.at,
			Upstreams:  count,
		})
		counts[centre] = 0
		d.departures = slices.DeleteFunc(slices.Clone(d.departures), func(other departure) bool { return other.dataCentre == centre })
	}
	return found
}
