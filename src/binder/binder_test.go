package binder

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// drawRecord draws the record of one of a few streams.
func drawRecord(t *rapid.T, now time.Time) Record {
	return Record{
		Stream: NewStreamID(units.CallID(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "stream")))),
		Origin: Origin{
			Service: rapid.SampledFrom([]units.Service{"s", "t"}).Draw(t, "service"),
			Release: rapid.SampledFrom([]units.Release{"", "v1", "v2", "v3"}).Draw(t, "release"),
		},
		Until: now.Add(time.Duration(rapid.IntRange(-1, 20).Draw(t, "left")) * time.Second),
	}
}

// remembered are an entry and a leader, and what they have to remember.
type remembered struct {
	journal  *Journal
	ledger   *Ledger
	now      time.Time
	reported Number
	want     map[StreamID]Record
}

// step draws one event and applies it.
func (r *remembered) step(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "step") {
	case 0, 1:
		record := drawRecord(t, r.now)
		if last, found := r.want[record.Stream]; found && last.Until.After(record.Until) {
			// A caller does not try for less long than it said.
			record.Until = last.Until
		}
		r.journal.Add(r.now, record)
		r.want[record.Stream] = record
	case 2:
		r.report(t, rapid.IntRange(1, 5).Draw(t, "most"), rapid.Bool().Draw(t, "acknowledged"))
	case 3:
		r.now = r.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "passed")) * time.Millisecond)
	case 4:
		// Another leader knows nothing yet.
		r.ledger, r.reported = &Ledger{MaxStreams: 1000}, 0
	}
}

// report reports some records to the leader, which may take them in any order, and returns whether there
// are more.
func (r *remembered) report(t *rapid.T, most int, acknowledged bool) bool {
	records, last := r.journal.After(r.now, r.reported, most)
	slices.Reverse(records)
	for _, record := range records {
		if record != r.want[record.Stream] {
			t.Fatalf("reported: got %v, want the last record %v", record, r.want[record.Stream])
		}
	}
	r.ledger.Record(r.now, records)
	more := last > r.reported
	if acknowledged {
		r.reported = last
	}
	return more
}

// Guards against a stream that is found with another origin than its last one, or not at all while its
// caller tries, at its entry and at a leader that gets what the entry reports, in part and again.
func TestStreamsKeepTheirLastOrigin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &remembered{
			journal: &Journal{MaxRecords: 1000},
			ledger:  &Ledger{MaxStreams: 1000},
			now:     start,
			want:    make(map[StreamID]Record),
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r.step(t)
		}
		for r.report(t, 3, true) {
			// The rest follows in further polls.
		}
		for stream, record := range r.want {
			for place, find := range map[string]func(time.Time, StreamID) (Origin, bool){"entry": r.journal.Find, "leader": r.ledger.Find} {
				got, found := find(r.now, stream)
				if r.now.Before(record.Until) && (!found || got != record.Origin) {
					t.Fatalf("stream %d at the %s: got %v (known %t), want %v", stream, place, got, found, record.Origin)
				}
			}
			if _, found := r.journal.Find(r.now, stream); found && !r.now.Before(record.Until) {
				t.Fatalf("stream %d: got it after its end", stream)
			}
		}
	})
}

// sharedStream is one of several streams with the same request.
type sharedStream struct {
	entry  int
	record Record
}

// Guards against a stream that goes on at the version of another stream with the same request, at the same entry or
// another one, and against one that is not found although all streams with its request began at one version.
func TestStreamsOfOneRequestAreToldApart(t *testing.T) {
	request := NewRequestID(units.Fingerprint(77))
	rapid.Check(t, func(t *rapid.T) {
		journals := []*Journal{{MaxRecords: 100}, {MaxRecords: 100}}
		reported := []Number{0, 0}
		ledger := &Ledger{MaxStreams: 1000}
		now := start
		report := func(entry int) {
			records, last := journals[entry].After(now, reported[entry], 100)
			ledger.Record(now, records)
			reported[entry] = last
		}
		var began []sharedStream
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			entry := rapid.IntRange(0, 1).Draw(t, "entry")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				record := drawRecord(t, now)
				record.Stream = request
				journals[entry].Add(now, record)
				began = append(began, sharedStream{entry: entry, record: record})
			case 2:
				report(entry)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "passed")) * time.Millisecond)
			}
		}
		report(0)
		report(1)
		ledger.Record(now, nil)
		checkShared(t, now, ledger, request, began)
	})
}

func checkShared(t *rapid.T, now time.Time, ledger *Ledger, request StreamID, began []sharedStream) {
	live, all := make(map[Origin]bool), make(map[Origin]bool)
	for _, s := range began {
		all[s.record.Origin] = true
		if now.Before(s.record.Until) {
			live[s.record.Origin] = true
		}
	}
	got, found := ledger.Find(now, request)
	switch {
	case len(live) > 1:
		if !found || got != Unknown {
			t.Fatalf("streams at %d origins: got %v (known %t), want %v", len(live), got, found, Unknown)
		}
	case len(live) == 1 && !live[got] && (len(all) == 1 || got != Unknown || !found):
		t.Fatalf("streams at %v: got %v (known %t)", live, got, found)
	}
}

// Guards against requests that are taken for streams, which keep their latest origin.
func TestIDsOfStreamsAndRequestsDiffer(t *testing.T) {
	for i := range 1000 {
		if NewStreamID(units.CallID(fmt.Sprint(i))).isRequest() {
			t.Errorf("call %d: got the id of a request", i)
		}
		if !NewRequestID(units.Fingerprint(i)).isRequest() {
			t.Errorf("request %d: got the id of a stream", i)
		}
	}
}

// Guards against an entry or a leader that runs out of memory because of many streams.
func TestMemoryOfStreamsIsBounded(t *testing.T) {
	const maxRecords = 100
	journal, ledger := &Journal{MaxRecords: maxRecords}, &Ledger{MaxStreams: maxRecords}
	dropped := 0
	for i := range 10 * maxRecords {
		record := Record{
			Stream: StreamID(i + 1),
			Origin: Origin{Service: "s", Release: "v1"},
			Until:  start.Add(time.Duration(1+i%20) * time.Second),
		}
		journal.Add(start, record)
		dropped += ledger.Record(start, []Record{record})
		if journal.Len() > maxRecords || len(journal.latest) > maxRecords || ledger.Len() > maxRecords {
			t.Fatalf("after %d streams: got %d and %d kept, want at most %d", i+1, journal.Len(), ledger.Len(), maxRecords)
		}
	}
	if dropped+ledger.Len() != 10*maxRecords {
		t.Errorf("streams at the leader: got %d kept and %d dropped of %d", ledger.Len(), dropped, 10*maxRecords)
	}
	if _, found := journal.Find(start, StreamID(10*maxRecords)); !found {
		t.Error("last stream: got it dropped, want the oldest dropped first")
	}
	later := start.Add(time.Hour)
	journal.Add(later, Record{Stream: 1, Until: later.Add(time.Second)})
	ledger.Record(later, nil)
	if journal.Len() != 1 || len(journal.latest) != 1 || ledger.Len() != 0 {
		t.Errorf("after all callers have given up: got %d and %d kept, want 1 and none", journal.Len(), ledger.Len())
	}
}

// Guards against streams that get the origin of others once more versions have served than fit an index.
func TestManyVersionsAreToldApart(t *testing.T) {
	ledger := &Ledger{MaxStreams: 1 << 20}
	for i := range 1<<16 + 10 {
		origin := Origin{Service: "s", Release: units.Release(fmt.Sprint(i))}
		ledger.Record(start, []Record{{Stream: StreamID(i), Origin: origin, Until: start.Add(time.Second)}})
		if got, found := ledger.Find(start, StreamID(i)); !found || got != origin {
			t.Fatalf("stream %d: got %v (known %t), want %v", i, got, found, origin)
		}
	}
}

// BenchmarkLedger measures what a leader remembers of the streams of 990 entries that begin 41,000 a second and
// are remembered for 12 s.
func BenchmarkLedger(b *testing.B) {
	const perSecond, seconds = 41_000, 12
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ledger := &Ledger{MaxStreams: 1 << 20}
	records := make([]Record, 8)
	for b.Loop() {
		// One poll of an entry: its streams of a fifth of a second.
		for i := range records {
			id := ledger.Len() + i
			records[i] = Record{
				Stream: StreamID(id) * 0x9e3779b97f4a7c15,
				Origin: Origin{Service: "s", Release: "v1"},
				Until:  start.Add(time.Duration(1+id%seconds) * time.Second),
			}
		}
		if ledger.Len() < perSecond*seconds {
			ledger.Record(start, records)
		}
	}
	for ledger.Len() < perSecond*seconds {
		id := ledger.Len()
		ledger.Record(start, []Record{{
			Stream: StreamID(id) * 0x9e3779b97f4a7c15,
			Origin: Origin{Service: "s", Release: "v1"},
			Until:  start.Add(time.Duration(1+id%seconds) * time.Second),
		}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
	runtime.KeepAlive(ledger)
}

// BenchmarkJournal measures what an entry remembers of its own streams, 41 a second for 12 s and as many as there
// is room for.
func BenchmarkJournal(b *testing.B) {
	for _, kept := range []int{41 * 12, 1 << 14} {
		b.Run(fmt.Sprint(kept), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			journal := &Journal{MaxRecords: kept}
			id := 0
			add := func() {
				id++
				journal.Add(start, Record{
					Stream: StreamID(id) * 0x9e3779b97f4a7c15,
					Origin: Origin{Service: "s", Release: "v1"},
					Until:  start.Add(12 * time.Second),
				})
			}
			for b.Loop() {
				add()
			}
			for id < 2*kept {
				add()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<10), "KiB")
			runtime.KeepAlive(journal)
		})
	}
}
