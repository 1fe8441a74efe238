package mover

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// finishFraction is the fraction of the remaining time in which a stream must be expected to
	// finish to be left alone, since steps can slow down.
	finishFraction = 0.8
	// exportFraction is the fraction of the remaining time in which an export must fit.
	exportFraction = 0.8
	// exportOverhead is the duration of an export apart from transferring its bytes.
	exportOverhead = 20 * time.Millisecond
	// maxRecomputeLead is how long before the stop the remaining streams are recomputed
	// elsewhere. With a short notice it is the notice divided by recomputeLeadDivisor.
	maxRecomputeLead     = 500 * time.Millisecond
	recomputeLeadDivisor = 4
	// maxExports bounds the attempts to move one stream.
	maxExports = 2
	// departureRetention is how long an upstream is kept after its stop.
	departureRetention = 5 * time.Second
	// slowdownGain is the weight of the latest export in the measured slowdown.
	slowdownGain = 0.5
)

// Mover plans the streams of all leaving upstreams for one entry.
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
	// slowdown is the ratio of the measured to the announced export time, initially 1.
	slowdown float64
}

type stream struct {
	Stream
	exports int
	// decided is set once no further action will follow for the stream.
	decided bool
}

// Step takes one event and returns the actions to carry out, in order.
func (m *Mover) Step(now time.Time, event Event) []Action {
	if m.leaving == nil {
		m.leaving = make(map[Upstream]*departure)
	}
	switch e := event.(type) {
	case NoticeReceived:
		return m.handleNotice(now, e)
	case StreamStarted:
		if d := m.leaving[e.Upstream]; d != nil {
			d.addStream(e.Stream)
			return d.plan(now)
		}
	case StreamProgressed:
		if d := m.leaving[e.Upstream]; d != nil {
			d.updateStream(e.Stream)
		}
	case StreamEnded:
		if d := m.leaving[e.Upstream]; d != nil {
			d.removeStream(e.Stream)
			return d.plan(now)
		}
	case ExportEnded:
		if d := m.leaving[e.Upstream]; d != nil {
			d.handleExportEnded(e)
			return d.plan(now)
		}
	case Ticked:
		return m.tick(now)
	}
	return nil
}

// Active reports whether any upstream is leaving.
func (m *Mover) Active() bool { return len(m.leaving) > 0 }

// IsLeaving reports whether the mover has received the upstream's notice.
func (m *Mover) IsLeaving(upstream Upstream) bool { return m.leaving[upstream] != nil }

func (m *Mover) handleNotice(now time.Time, e NoticeReceived) []Action {
	d := m.leaving[e.Notice.Upstream]
	if d == nil {
		d = &departure{
			streams:  make(map[StreamID]*stream),
			slowdown: 1,
		}
		m.leaving[e.Notice.Upstream] = d
	}
	if !d.notice.LeavesAt.Equal(e.Notice.LeavesAt) {
		lead := min(maxRecomputeLead, max(0, e.Notice.LeavesAt.Sub(now))/recomputeLeadDivisor)
		d.recomputeAt = e.Notice.LeavesAt.Add(-lead)
	}
	d.notice = e.Notice
	for _, s := range e.Streams {
		d.addStream(s)
	}
	return d.plan(now)
}

// tick plans all departures, ordered by their stops.
func (m *Mover) tick(now time.Time) []Action {
	all := make([]*departure, 0, len(m.leaving))
	for upstream, d := range m.leaving {
		if now.Sub(d.notice.LeavesAt) > departureRetention {
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

func (d *departure) addStream(s Stream) {
	if d.streams[s.ID] == nil {
		d.streams[s.ID] = &stream{Stream: s}
	}
}

func (d *departure) updateStream(s Stream) {
	if known := d.streams[s.ID]; known != nil {
		known.Stream = s
	}
}

func (d *departure) removeStream(id StreamID) {
	delete(d.streams, id)
	if d.exporting == id {
		d.exporting = 0
	}
}

func (d *departure) handleExportEnded(e ExportEnded) {
	if d.exporting == e.Stream {
		d.exporting = 0
	}
	if nominal := d.nominalTransferTime(e.Tokens); !e.Failed && nominal > 0 {
		// Other entries share the upstream's link, so an export can take longer than announced.
		measured := float64(e.Duration) / float64(nominal)
		d.slowdown += slowdownGain * (max(1, measured) - d.slowdown)
	}
	if s := d.streams[e.Stream]; s != nil && !e.Failed {
		s.decided = true
	}
}

// plan returns the actions that are due.
func (d *departure) plan(now time.Time) []Action {
	// A stream that still runs at the stop is cut off: its caller waits for a watchdog timeout,
	// and its tokens are lost anyway. The lead leaves time to continue elsewhere before that,
	// also if an export hangs.
	if !now.Before(d.recomputeAt) {
		return d.recompute(now)
	}
	if d.exporting != 0 {
		return nil
	}
	best := d.bestExport(now)
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

// bestExport returns the stream whose export saves the most tokens per second, among those that
// cannot finish and whose export still fits.
func (d *departure) bestExport(now time.Time) *stream {
	if d.notice.BytesPerSecond <= 0 || d.notice.BytesPerToken <= 0 {
		return nil
	}
	remaining := d.recomputeAt.Sub(now)
	var best *stream
	for _, s := range d.streams {
		fits := d.exportTime(s.Context) <= time.Duration(exportFraction*float64(remaining))
		if s.decided || s.exports >= maxExports || !fits || d.canFinish(s, now) {
			continue
		}
		if best == nil || d.isBetter(s, best) {
			best = s
		}
	}
	return best
}

func (d *departure) isBetter(a, b *stream) bool {
	bySavings := cmp.Compare(d.savedPerSecond(a), d.savedPerSecond(b))
	return bySavings > 0 || bySavings == 0 && a.ID < b.ID
}

// savedPerSecond returns the number of tokens that a stream's export saves per second of its
// duration.
func (d *departure) savedPerSecond(s *stream) float64 {
	return float64(s.Context) / d.exportTime(s.Context).Seconds()
}

// exportTime predicts the duration of an export.
func (d *departure) exportTime(tokens units.Tokens) time.Duration {
	return exportOverhead + time.Duration(d.slowdown*float64(d.nominalTransferTime(tokens)))
}

func (d *departure) nominalTransferTime(tokens units.Tokens) time.Duration {
	if d.notice.BytesPerSecond <= 0 {
		return 0
	}
	size := float64(tokens) * float64(d.notice.BytesPerToken)
	return time.Duration(size / float64(d.notice.BytesPerSecond) * float64(time.Second))
}

func (d *departure) canFinish(s *stream, now time.Time) bool {
	remaining := time.Duration(finishFraction * float64(d.notice.LeavesAt.Sub(now)))
	return time.Duration(s.Remaining)*d.notice.Step <= remaining
}

// recompute moves the streams that cannot finish without their KV cache, the longest first, since
// it takes longest to recompute.
func (d *departure) recompute(now time.Time) []Action {
	var due []*stream
	for _, s := range d.streams {
		if !s.decided && !d.canFinish(s, now) {
			s.decided = true
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
