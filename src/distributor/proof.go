package distributor

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// keptViews is how many entry views a proof looks back over.
const keptViews = 8

// Views are the last entry views, the newest last.
type Views []*messages.EntryView

// With adds a newer view.
func (v Views) With(view *messages.EntryView) Views {
	next := append(slices.Clone(v), view)
	return next[max(0, len(next)-keptViews):]
}

// Newest returns the newest view, nil where there is none.
func (v Views) Newest() *messages.EntryView {
	if len(v) == 0 {
		return nil
	}
	return v[len(v)-1]
}

// Proof tells when every entry without the accepted version must have stopped.
//
// An entry without it can be renewed by control only from before the version was
// accepted, and by a majority of a view only from before a majority of that view
// had the version: any two majorities have an entry in common, and that one no
// longer agrees. A fence period later, and a share for the drift of clocks, both
// have ended, heard or unheard.
type Proof struct {
	Fence time.Duration

	accepted units.Version
	// since is when this leader knew of the version or began to lead.
	since time.Time
	// held is when each view, by number, last began to be held by a majority.
	held map[uint64]time.Time
}

// fenceMargin is the share of the fence by which clocks may drift apart in it.
const fenceMargin = 10

// Observe takes what the leader knows now: the accepted version, the views and
// which lives of entries have the version in force.
func (p *Proof) Observe(now time.Time, accepted units.Version, views Views, has func(*messages.EntryMember) bool) {
	if accepted != p.accepted || p.held == nil {
		p.accepted = accepted
		p.since = now
		p.held = make(map[uint64]time.Time)
	}
	for _, view := range views {
		count := 0
		for _, member := range view.GetMembers() {
			if has(member) {
				count++
			}
		}
		_, known := p.held[view.GetNumber()]
		switch {
		case count <= len(view.GetMembers())/2:
			delete(p.held, view.GetNumber())
		case !known:
			p.held[view.GetNumber()] = now
		}
	}
}

// Reset forgets all, when a leadership begins or ends.
func (p *Proof) Reset() {
	p.accepted = 0
	p.held = nil
}

// Fenced reports since when an entry that lacks the version must have stopped;
// heardView is the newest view that it is known to have had.
func (p *Proof) Fenced(now time.Time, views Views, heardView uint64) (time.Time, bool) {
	if p.held == nil || len(views) > 0 && views[0].GetNumber() > max(heardView, 1) {
		return time.Time{}, false
	}
	latest := p.since
	for _, view := range views {
		if view.GetNumber() < heardView {
			continue
		}
		at, held := p.held[view.GetNumber()]
		if !held {
			return time.Time{}, false
		}
		if at.After(latest) {
			latest = at
		}
	}
	stopped := latest.Add(p.Fence + p.Fence/fenceMargin)
	return stopped, !now.Before(stopped)
}
