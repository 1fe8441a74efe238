package mover

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	testTick = 20 * time.Millisecond
	testStep = 2 * time.Millisecond
)

// TestMain fixes the seed and the number of checks of the property tests.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func testNotice(now time.Time, left time.Duration) Notice {
	return Notice{
		Upstream:       Upstream{Name: "ember-1", Incarnation: 1},
		LeavesAt:       now.Add(left),
		Step:           testStep,
		BytesPerToken:  4096,
		BytesPerSecond: 4096 * 10000,
	}
}

// Streams of different lengths run at an engine with two seconds of notice. A stream that can
// finish is left alone. The link has time to export some of the others, whose callers then see no
// pause. The longest are exported first, since they are the most expensive to recompute.
func TestExportChoice(t *testing.T) {
	cases := map[string]struct {
		streams []Stream
		want    string
	}{
		"finishes in time": {
			streams: []Stream{{ID: 1, Context: 5000, Remaining: 100}},
			want:    "[]",
		},
		"longest context first": {
			streams: []Stream{{ID: 1, Context: 500, Remaining: 5000}, {ID: 2, Context: 5000, Remaining: 5000}},
			want:    "[{{ember-1 1} 2}]",
		},
		"too large for the link": {
			streams: []Stream{{ID: 1, Context: 500, Remaining: 5000}, {ID: 2, Context: 50000, Remaining: 5000}},
			want:    "[{{ember-1 1} 1}]",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			m := &Mover{}
			actions := m.Step(now, NoticeReceived{
				Notice:  testNotice(now, 2*time.Second),
				Streams: c.streams,
			})
			if got := fmt.Sprint(actions); got != c.want {
				t.Errorf("actions: got %s, want %s", got, c.want)
			}
		})
	}
}

// simulation is a leaving engine with the streams that still run there.
type simulation struct {
	now        time.Time
	machine    Mover
	notice     Notice
	streams    map[StreamID]*Stream
	exporting  map[StreamID]time.Time
	recomputed map[StreamID]bool
	lastID     StreamID
}

func (sim *simulation) step(t *rapid.T, e Event) {
	for _, action := range sim.machine.Step(sim.now, e) {
		switch a := action.(type) {
		case Export:
			sim.checkRunning(t, a.Stream)
			if got, want := len(sim.exporting), 0; got != want {
				t.Fatalf("exports in progress: got %d, want %d", got, want)
			}
			if sim.recomputed[a.Stream] {
				t.Fatalf("stream %d: got an export after it was recomputed, want none", a.Stream)
			}
			sim.exporting[a.Stream] = sim.now
		case Recompute:
			sim.checkRunning(t, a.Stream)
			if sim.recomputed[a.Stream] {
				t.Fatalf("stream %d: got recomputed twice, want once", a.Stream)
			}
			sim.recomputed[a.Stream] = true
		}
	}
}

func (sim *simulation) checkRunning(t *rapid.T, id StreamID) {
	if sim.streams[id] == nil {
		t.Fatalf("stream %d: got an action after it ended, want none", id)
	}
}

// tick advances the time by one tick: each stream generates tokens, and completed streams end.
func (sim *simulation) tick(t *rapid.T) {
	sim.now = sim.now.Add(testTick)
	for id := StreamID(1); id <= sim.lastID; id++ {
		s := sim.streams[id]
		if s == nil {
			continue
		}
		s.Remaining -= units.Tokens(testTick / testStep)
		s.Context += units.Tokens(testTick / testStep)
		if s.Remaining > 0 {
			sim.step(t, StreamProgressed{Upstream: sim.notice.Upstream, Stream: *s})
			continue
		}
		sim.endStream(t, id)
	}
	sim.step(t, Ticked{})
}

func (sim *simulation) endStream(t *rapid.T, id StreamID) {
	delete(sim.streams, id)
	delete(sim.exporting, id)
	sim.step(t, StreamEnded{Upstream: sim.notice.Upstream, Stream: id})
}

// Guards against streams that are cut off when an engine is reclaimed while streams start, end
// and fail to move in any order. By the stop, each stream must have finished, been moved, or been
// recomputed elsewhere in time, and be recomputed only once.
func TestNoStreamIsLeftAtTheStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{
			now:        time.Unix(0, 0),
			streams:    make(map[StreamID]*Stream),
			exporting:  make(map[StreamID]time.Time),
			recomputed: make(map[StreamID]bool),
		}
		sim.notice = testNotice(sim.now, time.Duration(rapid.IntRange(0, 3000).Draw(t, "notice-ms"))*time.Millisecond)
		for range rapid.IntRange(0, 20).Draw(t, "streams") {
			sim.startStream(t)
		}
		sim.step(t, sim.noticed())
		for sim.now.Before(sim.notice.LeavesAt) {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				sim.step(t, StreamStarted{Upstream: sim.notice.Upstream, Stream: *sim.startStream(t)})
			case 1:
				sim.finishExport(t, true)
			case 2:
				sim.finishExport(t, false)
			case 3:
				sim.step(t, sim.noticed())
			}
			sim.tick(t)
		}
		for id, s := range sim.streams {
			if !sim.recomputed[id] {
				t.Fatalf("stream %d with %d tokens left: got no action by the stop, want it moved or recomputed", id, s.Remaining)
			}
		}
	})
}

// noticed returns the notice, which may arrive repeatedly, with the streams that run now.
func (sim *simulation) noticed() NoticeReceived {
	event := NoticeReceived{Notice: sim.notice}
	for id := StreamID(1); id <= sim.lastID; id++ {
		if s := sim.streams[id]; s != nil {
			event.Streams = append(event.Streams, *s)
		}
	}
	return event
}

func (sim *simulation) startStream(t *rapid.T) *Stream {
	sim.lastID++
	s := &Stream{
		ID:        sim.lastID,
		Context:   units.Tokens(rapid.IntRange(1, 20000).Draw(t, "context")),
		Remaining: units.Tokens(rapid.IntRange(1, 4000).Draw(t, "left")),
	}
	sim.streams[s.ID] = s
	return s
}

// finishExport ends the export in progress. A stream whose export succeeded leaves this engine.
func (sim *simulation) finishExport(t *rapid.T, failed bool) {
	for id, startedAt := range sim.exporting {
		tokens := sim.streams[id].Context
		delete(sim.exporting, id)
		sim.step(t, ExportEnded{
			Upstream: sim.notice.Upstream,
			Stream:   id,
			Tokens:   tokens,
			Duration: sim.now.Sub(startedAt),
			Failed:   failed,
		})
		if !failed {
			sim.endStream(t, id)
		}
		return
	}
}

// Guards against exports that are incomplete at the stop, whose tokens are lost: the link is
// slower than announced, since other entries export over it too, so the plan must shrink with the
// measured export time.
func TestPlanFollowsMeasuredExportTime(t *testing.T) {
	now := time.Unix(0, 0)
	m := &Mover{}
	notice := testNotice(now, 2*time.Second)
	first := m.Step(now, NoticeReceived{
		Notice: notice,
		Streams: []Stream{
			{ID: 1, Context: 6000, Remaining: 5000},
			{ID: 2, Context: 5000, Remaining: 5000},
			{ID: 3, Context: 1000, Remaining: 5000},
		},
	})
	if got, want := fmt.Sprint(first), "[{{ember-1 1} 1}]"; got != want {
		t.Fatalf("first export: got %s, want %s", got, want)
	}
	now = now.Add(700 * time.Millisecond)
	second := m.Step(now, ExportEnded{
		Upstream: notice.Upstream,
		Stream:   1,
		Tokens:   1000,
		Duration: 400 * time.Millisecond,
	})
	if got, want := fmt.Sprint(second), "[{{ember-1 1} 3}]"; got != want {
		t.Errorf("next export on a slow link: got %s, want %s", got, want)
	}
}
