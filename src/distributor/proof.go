package distributor

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// maxViews is the number of recent entry views that a proof considers.
const maxViews = 8

// Views are the most recent entry views, the newest last.
type Views []*messages.EntryView

// With returns the views with a newer one appended. Only the last maxViews are kept.
func (v Views) With(view *messages.EntryView) Views {
	next := append(slices.Clone(v), view)
	return next[max(0, len(next)-maxViews):]
}

// Newest returns the newest view, nil if there is none.
func (v Views) Newest() *messages.EntryView {
	if len(v) == 0 {
		return nil
	}
	return v[len(v)-1]
}

// Proof determines when every entry without the accepted version must have stopped serving.
//
// Control renews the lease of an entry without the version only from before the version was
// accepted. A majority of a view renews it only from before a majority of that view had the
// version: any two majorities have an entry in common, and that entry no longer agrees. One lease
// duration later, plus a margin for clock drift, both kinds of lease have expired, whether or not
// the entry can be reached.
type Proof struct {
	LeaseDuration time.Duration

	accepted units.Version
	// acceptedSince is when this leader first knew of the version or began to lead.
	acceptedSince time.Time
	// majoritySince maps view numbers to the time since when a majority of the view has had the
	// version.
	majoritySince map[uint64]time.Time
}

// driftMarginDivisor sets the margin for clock drift: one tenth of the lease duration.
const driftMarginDivisor = 10

// Observe records what the leader knows at the moment: the accepted version, the views, and which
// members have the version in force.
func (p *Proof) Observe(now time.Time, accepted units.Version, views Views, has func(*messages.EntryMember) bool) {
	if accepted != p.accepted || p.majoritySince == nil {
		p.accepted = accepted
		p.acceptedSince = now
		p.majoritySince = make(map[uint64]time.Time)
	}
	for _, view := range views {
		count := 0
		for _, member := range view.GetMembers() {
			if has(member) {
				count++
			}
		}
		_, known := p.majoritySince[view.GetNumber()]
		switch {
		case count <= len(view.GetMembers())/2:
			delete(p.majoritySince, view.GetNumber())
		case !known:
			p.majoritySince[view.GetNumber()] = now
		}
	}
}

// Reset discards all observations, when a leadership begins or ends.
func (p *Proof) Reset() {
	p.accepted = 0
	p.majoritySince = nil
}

// FencedSince returns the time by which an entry that lacks the version must have stopped, and whether
// that time has passed. reportedView is the newest view that the entry is known to have had.
func (p *Proof) FencedSince(now time.Time, views Views, reportedView uint64) (time.Time, bool) {
	if p.majoritySince == nil || len(views) > 0 && views[0].GetNumber() > max(reportedView, 1) {
		return time.Time{}, false
	}
	latest := p.acceptedSince
	for _, view := range views {
		if view.GetNumber() < reportedView {
			continue
		}
		since, hasMajority := p.majoritySince[view.GetNumber()]
		if !hasMajority {
			return time.Time{}, false
		}
		if since.After(latest) {
			latest = since
		}
	}
	stopped := latest.Add(p.LeaseDuration + p.LeaseDuration/driftMarginDivisor)
	return stopped, !now.Before(stopped)
}
