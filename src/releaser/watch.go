package releaser

import (
	"fmt"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// finish is how long all calls go to the target before the time limit, in which those
	// at the other version end; a short roll-out keeps finishPart of its time for it.
	finish     = 2500 * time.Millisecond
	finishPart = 0.4
	// margin is left of the time limit when the roll-out ends: the end is kept by a
	// majority, and the operator may ask late.
	margin = 500 * time.Millisecond
	// drained is the least time that all calls go to the target before the roll-out is
	// completed: entries hear of it one after another.
	drained = 600 * time.Millisecond
	// enough is the part of the other version's upstreams that the target must have
	// before it gets all calls.
	enough = 0.5
	// settle is how long a new leader hears entries before it raises a share.
	settle = 800 * time.Millisecond
	// outvoted is how many upstreams the target must have answered at for the worst of them,
	// trimmed of all, to be left out of the judgement: they may be slow or fail for reasons
	// of their own.
	outvoted = 3
	trimmed  = 0.25
	// recently is the span over which a version is judged besides all of the time, in
	// recentParts of which the figures are kept.
	recently    = 2500 * time.Millisecond
	recentParts = 5
)

// State is what became of a roll-out.
type State int

// The states of a roll-out; the last two are final.
const (
	Running State = iota + 1
	Completed
	RolledBack
)

// String returns the state's name as logs show it.
func (s State) String() string {
	return [...]string{"unknown", "running", "completed", "rolled-back"}[s]
}

// Route names a route as entries tell it.
type Route string

// Place names an upstream of the target by its hash; 0 stands for all upstreams of other
// versions together.
type Place uint64

// Teller is one life of one entry.
type Teller struct {
	Entry       units.Instance
	Incarnation units.Incarnation
}

// Figures is what a teller has seen at a place on a route since the roll-out began.
type Figures struct {
	Place  Place
	Route  Route
	Sample Sample
}

// Stock is how many upstreams of a service take calls, and how many calls run at those of
// other versions than the target.
type Stock struct {
	Target  int
	Other   int
	Running int
}

// Decision is what a roll-out comes to at a moment.
type Decision struct {
	// Share is the part of the calls that the target may get.
	Share float64
	// End is Running, or the state that the roll-out ends in and why.
	End    State
	Reason string
	// Target and Other are what the decision went by.
	Target Sample
	Other  Sample
}

// Watch follows one running roll-out at the leader; it is a state machine without a clock,
// and its exported fields are set before use.
type Watch struct {
	// Ordered is when the roll-out was ordered, Limit how long it may take.
	Ordered time.Time
	Limit   time.Duration
	// Since is when this leader began to watch.
	Since time.Time
	// Exposure bounds what a bad version may get.
	Exposure Exposure
	// Way sets the share before all calls go to the target; nil stands for Evidence.
	Way Way

	heard map[Teller][]Figures
	past  []earlier
	// movedAt is when all calls went to the target.
	movedAt time.Time
	end     State
	reason  string
}

// Hear takes all that an entry has seen of the roll-out since it began.
func (w *Watch) Hear(teller Teller, figures []Figures) {
	if w.heard == nil {
		w.heard = make(map[Teller][]Figures)
	}
	w.heard[teller] = figures
}

// Step returns what the roll-out comes to now, by the clock that Ordered is of.
func (w *Watch) Step(now time.Time, stock Stock) Decision {
	sums := w.sums()
	d := Decision{
		End:    Running,
		Target: sums.target,
		Other:  sums.other,
	}
	if w.end == 0 {
		w.end, w.reason = w.judge(now, stock, sums)
	}
	if w.end != 0 {
		d.End = w.end
		d.Reason = w.reason
		if w.end == Completed {
			d.Share = 1
		}
		return d
	}
	switch {
	case now.Sub(w.Since) < settle && now.Sub(w.Ordered) > settle:
		// What entries have seen under the leader before is not known yet.
	case !w.movedAt.IsZero():
		d.Share = 1
	case now.Sub(w.Ordered) >= w.Limit-w.finish() && float64(stock.Target) >= enough*float64(stock.Other):
		w.movedAt = now
		d.Share = 1
	case stock.Target > 0:
		d.Share = w.way().Share(w.Exposure, w.stage(now, sums))
	}
	return d
}

func (w *Watch) stage(now time.Time, s *sums) Stage {
	had := s.target.Answers + s.target.Running
	return Stage{
		Since: now.Sub(w.Ordered),
		Until: w.Limit - w.finish(),
		Limit: w.Limit,
		Had:   had,
		All:   had + s.other.Answers + s.other.Running,
	}
}

func (w *Watch) way() Way {
	if w.Way == nil {
		return Evidence{}
	}
	return w.Way
}

// finish returns how long before the time limit all calls go to the target.
func (w *Watch) finish() time.Duration {
	return min(finish, time.Duration(finishPart*float64(w.Limit)))
}

// judge returns the state in which the roll-out ends now and why, 0 while it runs.
func (w *Watch) judge(now time.Time, stock Stock, sums *sums) (State, string) {
	if reason := w.verdict(now, sums); reason != "" {
		return RolledBack, reason
	}
	late := now.Sub(w.Ordered) >= w.Limit-margin
	moved := !w.movedAt.IsZero() && now.Sub(w.movedAt) >= drained
	switch {
	case moved && (late || stock.Running == 0):
		return Completed, "no sign against the target"
	case late && stock.Target == 0:
		return RolledBack, "no upstream of the target takes calls"
	case late && w.movedAt.IsZero():
		return RolledBack, fmt.Sprintf("the target has %d upstreams for the calls of %d", stock.Target, stock.Other)
	}
	return 0, ""
}

func (w *Watch) sums() *sums {
	s := newSums()
	for _, figures := range w.heard {
		for i := range figures {
			s.add(&figures[i], 1)
		}
	}
	return s
}

// earlier is what had been seen at a moment.
type earlier struct {
	at   time.Time
	sums *sums
}

// verdict judges what was seen since the roll-out began, and lately: a version that turns
// bad has a good past.
func (w *Watch) verdict(now time.Time, all *sums) string {
	if reason := all.verdict(); reason != "" {
		return reason
	}
	if len(w.past) == 0 || now.Sub(w.past[len(w.past)-1].at) >= recently/recentParts {
		w.past = append(w.past, earlier{
			at:   now,
			sums: all,
		})
	}
	for len(w.past) > 1 && now.Sub(w.past[1].at) >= recently {
		w.past = w.past[1:]
	}
	lately := all.since(w.past[0].sums)
	if lately.other.Answers < lately.target.Answers {
		// Hardly any calls are left at the other version, the slowest ones.
		lately.compareWith(all)
	}
	if reason := lately.verdict(); reason != "" {
		return "lately, " + reason
	}
	return ""
}
