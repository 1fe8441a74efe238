package mover

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// finishShare is the part of the time left that a stream must finish in to
	// be left alone; steps can slow down.
	finishShare = 0.8
	// exportShare is the part of the time left that an export must fit in.
	exportShare = 0.8
	// exportCost is what each export takes besides its bytes.
	exportCost = 20 * time.Millisecond
	// maxLead is how long before the stop what remains is recomputed elsewhere;
	// with a short notice it is the part of the notice below.
	maxLead   = 500 * time.Millisecond
	leadShare = 4
	// maxExports bounds the tries to move one stream.
	maxExports = 2
	// forgetAfter is how long after its stop an upstream is remembered.
	forgetAfter = 5 * time.Second
	// paceGain is the weight of the newest export in the measured pace.
	paceGain = 0.5
)

// Mover plans the streams of all leaving upstreams of one entry.
type Mover struct {
	leaving map[Upstream]*departure
}

// departure is one leaving upstream.
type departure struct {
	notice Notice
	// recomputeAt is when the streams that still run are recomputed elsewhere.
	recomputeAt time.Time
	streams     map[StreamID]*stream
	exporting   StreamID
	// pace is how much longer exports take than announced, 1 at first.
	pace float64
}

type stream struct {
	Stream
	exports int
	// gone says that the last action for the stream was given.
	gone bool
}

// Step takes one event and returns the actions to carry out, in order.
func (m *Mover) Step(now time.Time, event Event) []Action {
	if m.leaving == nil {
		m.leaving = make(map[Upstream]*departure)
	}
	switch e := event.(type) {
	case Noticed:
		return m.notice(now, e)
	case Joined:
		if d := m.leaving[e.Upstream]; d != nil {
			d.join(e.Stream)
			return d.plan(now)
		}
	case Progressed:
		if d := m.leaving[e.Upstream]; d != nil {
			d.progress(e.Stream)
		}
	case Ended:
		if d := m.leaving[e.Upstream]; d != nil {
			d.end(e.Stream)
			return d.plan(now)
		}
	case Exported:
		if d := m.leaving[e.Upstream]; d != nil {
			d.exported(e)
			return d.plan(now)
		}
	case Ticked:
		return m.tick(now)
	}
	return nil
}

// Active reports whether any upstream is leaving.
func (m *Mover) Active() bool { return len(m.leaving) > 0 }

// Leaving reports whether an upstream has had its notice.
func (m *Mover) Leaving(upstream Upstream) bool { return m.leaving[upstream] != nil }

func (m *Mover) notice(now time.Time, e Noticed) []Action {
	d := m.leaving[e.Notice.Upstream]
	if d == nil {
		d = &departure{
			streams: make(map[StreamID]*stream),
			pace:    1,
		}
		m.leaving[e.Notice.Upstream] = d
	}
	if !d.notice.LeavesAt.Equal(e.Notice.LeavesAt) {
		lead := min(maxLead, max(0, e.Notice.LeavesAt.Sub(now))/leadShare)
		d.recomputeAt = e.Notice.LeavesAt.Add(-lead)
	}
	d.notice = e.Notice
	for _, s := range e.Streams {
		d.join(s)
	}
	return d.plan(now)
}

// tick plans each departure, in the order of their stops.
func (m *Mover) tick(now time.Time) []Action {
	all := make([]*departure, 0, len(m.leaving))
	for upstream, d := range m.leaving {
		if now.Sub(d.notice.LeavesAt) > forgetAfter {
			delete(m.leaving, upstream)
			continue
		}
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b *departure) int {
		return cmp.Or(a.notice.LeavesAt.Compare(b.notice.LeavesAt),
			cmp.Compare(a.notice.Upstream.Name, b.notice.Upstream.Name))
	})
	var actions []Action
	for _, d := range all {
		actions = append(actions, d.plan(now)...)
	}
	return actions
}

func (d *departure) join(s Stream) {
	if d.streams[s.ID] == nil {
		d.streams[s.ID] = &stream{Stream: s}
	}
}

func (d *departure) progress(s Stream) {
	if known := d.streams[s.ID]; known != nil {
		known.Stream = s
	}
}

func (d *departure) end(id StreamID) {
	delete(d.streams, id)
	if d.exporting == id {
		d.exporting = 0
	}
}

func (d *departure) exported(e Exported) {
	if d.exporting == e.Stream {
		d.exporting = 0
	}
	if expected := d.announced(e.Tokens); !e.Failed && expected > 0 {
		// Other entries share the upstream's link; the pace tells how much of it is left.
		measured := float64(e.Took) / float64(expected)
		d.pace += paceGain * (max(1, measured) - d.pace)
	}
	if s := d.streams[e.Stream]; s != nil && !e.Failed {
		s.gone = true
	}
}

// plan gives the actions that are due.
func (d *departure) plan(now time.Time) []Action {
	// A stream that still runs at the stop is cut: its caller waits for a
	// watchdog, and its tokens are lost all the same. The lead leaves time to go
	// on elsewhere before that, also where an export hangs.
	if !now.Before(d.recomputeAt) {
		return d.recompute(now)
	}
	if d.exporting != 0 {
		return nil
	}
	best := d.best(now)
	if best == nil {
		return nil
	}
	best.exports++
	d.exporting = best.ID
	return []Action{Export{
		Upstream: d.notice.Upstream,
		Stream:   best.ID,
	}}
}

// best returns the stream whose export saves the most tokens for each second of
// notice, among those that cannot finish and whose export still fits.
func (d *departure) best(now time.Time) *stream {
	if d.notice.BytesPerSecond <= 0 || d.notice.BytesPerToken <= 0 {
		return nil
	}
	left := d.recomputeAt.Sub(now)
	var best *stream
	for _, s := range d.streams {
		fits := d.transfer(s.Context) <= time.Duration(exportShare*float64(left))
		if s.gone || s.exports >= maxExports || !fits || d.finishes(s, now) {
			continue
		}
		if best == nil || d.before(s, best) {
			best = s
		}
	}
	return best
}

func (d *departure) before(a, b *stream) bool {
	saved := cmp.Compare(d.value(a), d.value(b))
	return saved > 0 || saved == 0 && a.ID < b.ID
}

// value is the tokens that a stream's export saves for each second it takes.
func (d *departure) value(s *stream) float64 {
	return float64(s.Context) / d.transfer(s.Context).Seconds()
}

// transfer predicts how long an export takes.
func (d *departure) transfer(tokens units.Tokens) time.Duration {
	return exportCost + time.Duration(d.pace*float64(d.announced(tokens)))
}

func (d *departure) announced(tokens units.Tokens) time.Duration {
	if d.notice.BytesPerSecond <= 0 {
		return 0
	}
	size := float64(tokens) * float64(d.notice.BytesPerToken)
	return time.Duration(size / float64(d.notice.BytesPerSecond) * float64(time.Second))
}

func (d *departure) finishes(s *stream, now time.Time) bool {
	left := time.Duration(finishShare * float64(d.notice.LeavesAt.Sub(now)))
	return time.Duration(s.Left)*d.notice.Step <= left
}

// recompute gives up what cannot finish, the longest first, which takes longest elsewhere.
func (d *departure) recompute(now time.Time) []Action {
	var due []*stream
	for _, s := range d.streams {
		if !s.gone && !d.finishes(s, now) {
			s.gone = true
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(b.Context, a.Context), cmp.Compare(a.ID, b.ID))
	})
	actions := make([]Action, 0, len(due))
	for _, s := range due {
		actions = append(actions, Recompute{
			Upstream: d.notice.Upstream,
			Stream:   s.ID,
		})
	}
	return actions
}
