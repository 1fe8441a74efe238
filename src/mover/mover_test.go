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

// TestMain fixes the seed of the property tests unless the command line names one.
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

// Streams of different lengths run at an engine with two seconds of notice. What
// can finish is left alone; of the rest the link has time for some, and callers
// of those see no pause. The longest go first, since they cost most elsewhere.
func TestChoice(t *testing.T) {
	cases := map[string]struct {
		streams []Stream
		want    string
	}{
		"finishes in time": {
			streams: []Stream{{ID: 1, Context: 5000, Left: 100}},
			want:    "[]",
		},
		"longest context first": {
			streams: []Stream{{ID: 1, Context: 500, Left: 5000}, {ID: 2, Context: 5000, Left: 5000}},
			want:    "[{{ember-1 1} 2}]",
		},
		"too large for the link": {
			streams: []Stream{{ID: 1, Context: 500, Left: 5000}, {ID: 2, Context: 50000, Left: 5000}},
			want:    "[{{ember-1 1} 1}]",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			m := &Mover{}
			actions := m.Step(now, Noticed{
				Notice:  testNotice(now, 2*time.Second),
				Streams: c.streams,
			})
			if got := fmt.Sprint(actions); got != c.want {
				t.Errorf("actions: got %s, want %s", got, c.want)
			}
		})
	}
}

// world is a leaving engine with the streams that the machine has not yet taken away.
type world struct {
	now       time.Time
	machine   Mover
	notice    Notice
	streams   map[StreamID]*Stream
	exporting map[StreamID]time.Time
	recompute map[StreamID]bool
	lastID    StreamID
}

func (w *world) step(t *rapid.T, e Event) {
	for _, action := range w.machine.Step(w.now, e) {
		switch a := action.(type) {
		case Export:
			w.check(t, a.Stream)
			if got, want := len(w.exporting), 0; got != want {
				t.Fatalf("exports at once: got %d more, want %d", got, want)
			}
			if w.recompute[a.Stream] {
				t.Fatalf("stream %d: got an export after it was given up, want none", a.Stream)
			}
			w.exporting[a.Stream] = w.now
		case Recompute:
			w.check(t, a.Stream)
			if w.recompute[a.Stream] {
				t.Fatalf("stream %d: got given up twice, want once", a.Stream)
			}
			w.recompute[a.Stream] = true
		}
	}
}

func (w *world) check(t *rapid.T, id StreamID) {
	if w.streams[id] == nil {
		t.Fatalf("stream %d: got an action after its end, want none", id)
	}
}

// tick lets time pass: each stream generates, and those that are done end.
func (w *world) tick(t *rapid.T) {
	w.now = w.now.Add(testTick)
	for id := StreamID(1); id <= w.lastID; id++ {
		s := w.streams[id]
		if s == nil {
			continue
		}
		s.Left -= units.Tokens(testTick / testStep)
		s.Context += units.Tokens(testTick / testStep)
		if s.Left > 0 {
			w.step(t, Progressed{Upstream: w.notice.Upstream, Stream: *s})
			continue
		}
		w.end(t, id)
	}
	w.step(t, Ticked{})
}

func (w *world) end(t *rapid.T, id StreamID) {
	delete(w.streams, id)
	delete(w.exporting, id)
	w.step(t, Ended{Upstream: w.notice.Upstream, Stream: id})
}

// An engine is taken back while streams run, begin, end and fail to move, in any
// order. Its callers must not be cut: by the stop, each stream has finished, has
// moved, or was told in time to go on elsewhere, and is told only once.
func TestNoStreamIsLeftAtTheStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			now:       time.Unix(0, 0),
			streams:   make(map[StreamID]*Stream),
			exporting: make(map[StreamID]time.Time),
			recompute: make(map[StreamID]bool),
		}
		w.notice = testNotice(w.now, time.Duration(rapid.IntRange(0, 3000).Draw(t, "notice-ms"))*time.Millisecond)
		for range rapid.IntRange(0, 20).Draw(t, "streams") {
			w.begin(t)
		}
		w.step(t, w.noticed())
		for w.now.Before(w.notice.LeavesAt) {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				w.step(t, Joined{Upstream: w.notice.Upstream, Stream: *w.begin(t)})
			case 1:
				w.finishExport(t, true)
			case 2:
				w.finishExport(t, false)
			case 3:
				w.step(t, w.noticed())
			}
			w.tick(t)
		}
		for id, s := range w.streams {
			if !w.recompute[id] {
				t.Fatalf("stream %d with %d tokens left: got nothing by the stop, want it moved or given up", id, s.Left)
			}
		}
	})
}

// noticed is the notice, which can come again, with the streams of now.
func (w *world) noticed() Noticed {
	event := Noticed{Notice: w.notice}
	for id := StreamID(1); id <= w.lastID; id++ {
		if s := w.streams[id]; s != nil {
			event.Streams = append(event.Streams, *s)
		}
	}
	return event
}

func (w *world) begin(t *rapid.T) *Stream {
	w.lastID++
	s := &Stream{
		ID:      w.lastID,
		Context: units.Tokens(rapid.IntRange(1, 20000).Draw(t, "context")),
		Left:    units.Tokens(rapid.IntRange(1, 4000).Draw(t, "left")),
	}
	w.streams[s.ID] = s
	return s
}

// finishExport ends the export under way; a stream that arrived leaves this engine.
func (w *world) finishExport(t *rapid.T, failed bool) {
	for id, began := range w.exporting {
		tokens := w.streams[id].Context
		delete(w.exporting, id)
		w.step(t, Exported{
			Upstream: w.notice.Upstream,
			Stream:   id,
			Tokens:   tokens,
			Took:     w.now.Sub(began),
			Failed:   failed,
		})
		if !failed {
			w.end(t, id)
		}
		return
	}
}

// The link is slower than announced, since other entries export over it too.
// What is planned must shrink with the measured pace, or the last exports would
// not be whole at the stop and their tokens be lost after all.
func TestPaceFollowsTheLink(t *testing.T) {
	now := time.Unix(0, 0)
	m := &Mover{}
	notice := testNotice(now, 2*time.Second)
	first := m.Step(now, Noticed{
		Notice: notice,
		Streams: []Stream{
			{ID: 1, Context: 6000, Left: 5000},
			{ID: 2, Context: 5000, Left: 5000},
			{ID: 3, Context: 1000, Left: 5000},
		},
	})
	if got, want := fmt.Sprint(first), "[{{ember-1 1} 1}]"; got != want {
		t.Fatalf("first export: got %s, want %s", got, want)
	}
	now = now.Add(700 * time.Millisecond)
	second := m.Step(now, Exported{
		Upstream: notice.Upstream,
		Stream:   1,
		Tokens:   1000,
		Took:     400 * time.Millisecond,
	})
	if got, want := fmt.Sprint(second), "[{{ember-1 1} 3}]"; got != want {
		t.Errorf("next export on a link at a fraction of its pace: got %s, want %s", got, want)
	}
}
