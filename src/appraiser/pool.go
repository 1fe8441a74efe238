package appraiser

import (
	"slices"
	"sort"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// minStatements is how many statements of an upstream are combined before it is reported.
	minStatements = 4
	// minChange is the relative change of an estimate from which it is reported anew: a slow
	// moment must not be sent to all entries.
	minChange = 0.15
	// maxStatements bounds the statements taken from one report of an entry.
	maxStatements = 64
)

// Version numbers the changes of a Pool.
type Version uint64

// Change is an upstream's slowdown as it is reported to entries.
type Change struct {
	ID units.IncarnationID
	// Slowdown is how many times as long as usual work takes, From the value reported before, 0
	// for none.
	Slowdown float64
	From     float64
}

// Pool combines the statements that all entries report. It is a state machine without a clock.
type Pool struct {
	upstreams map[units.IncarnationID]*pooled
	version   Version
	// log holds the upstreams by the version at which they changed; one that has changed again
	// is in it more than once.
	log []logged
}

type pooled struct {
	estimate Estimate
	reported float64
	version  Version
}

type logged struct {
	version Version
	id      units.IncarnationID
}

// Record adds an entry's statements of an upstream, and returns the change of what is reported,
// nil for none.
func (p *Pool) Record(id units.IncarnationID, statements Estimate) *Change {
	if !(statements.Mean > 0) || statements.Statements <= 0 {
		return nil
	}
	if p.upstreams == nil {
		p.upstreams = make(map[units.IncarnationID]*pooled)
	}
	u := p.upstreams[id]
	if u == nil {
		u = &pooled{}
		p.upstreams[id] = u
	}
	u.estimate.Record(statements.Mean, min(statements.Statements, maxStatements))
	if u.estimate.Statements < minStatements || isNear(u.estimate.Mean, u.reported) {
		return nil
	}
	change := &Change{
		ID:       id,
		Slowdown: u.estimate.Mean,
		From:     u.reported,
	}
	p.version++
	u.reported, u.version = u.estimate.Mean, p.version
	p.log = append(p.log, logged{
		version: p.version,
		id:      id,
	})
	if len(p.log) > 2*len(p.upstreams) {
		p.compact()
	}
	return change
}

func isNear(mean, reported float64) bool {
	return mean < reported*(1+minChange) && mean*(1+minChange) > reported
}

// compact drops what has changed again since.
func (p *Pool) compact() {
	p.log = slices.DeleteFunc(p.log, func(l logged) bool {
		u := p.upstreams[l.id]
		return u == nil || u.version != l.version
	})
}

// ChangesAfter returns at most limit changes after a version, and the version up to which they
// are complete.
func (p *Pool) ChangesAfter(version Version, limit int) ([]Change, Version) {
	from := sort.Search(len(p.log), func(i int) bool { return p.log[i].version > version })
	var changes []Change
	for _, l := range p.log[from:] {
		u := p.upstreams[l.id]
		if u == nil || u.version != l.version {
			continue
		}
		if len(changes) == limit {
			return changes, version
		}
		changes = append(changes, Change{
			ID:       l.id,
			Slowdown: u.reported,
		})
		version = l.version
	}
	return changes, max(version, p.version)
}

// Retain drops the upstreams that are gone.
func (p *Pool) Retain(isKnown func(units.IncarnationID) bool) {
	for id := range p.upstreams {
		if !isKnown(id) {
			delete(p.upstreams, id)
		}
	}
	p.compact()
}

// Reported returns an upstream's slowdown as it is reported to entries, 0 if it has stated too
// little.
func (p *Pool) Reported(id units.IncarnationID) float64 {
	if u := p.upstreams[id]; u != nil {
		return u.reported
	}
	return 0
}
