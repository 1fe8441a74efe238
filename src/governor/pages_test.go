package governor

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// follower is an entry's copy of a leader's table.
type follower struct {
	table  *enroller.Table
	cursor uint64
	id     uint64
	more   bool
}

func (f *follower) poll(t *rapid.T, c *coordinator) {
	now := timekeeper.Now()
	poll := &messages.EntryPoll{
		TableId:     f.id,
		TableCursor: f.cursor,
	}
	if f.cursor == 0 && len(f.table.Upstreams()) > 0 {
		poll.TableDigest = f.table.Digest()
	}
	response := &messages.EntryPollResponse{}
	c.addTableChanges(now, true, poll, response)
	changes := response.GetUpstreams()
	for _, page := range response.GetPages() {
		read, err := DecodePage(page)
		if err != nil {
			t.Fatal(err)
		}
		changes = append(changes, read...)
	}
	for _, m := range changes {
		f.table.Merge(now, m)
	}
	f.id, f.cursor, f.more = c.table.ID, response.GetTableCursor(), response.GetMore()
}

// Guards against an upstream that never reaches an entry: however entries poll, whether they
// poll late or lose their cursor, they end up with the leader's table.
func TestPagesReproduceTable(t *testing.T) {
	_, c := newLeader(t)
	rapid.Check(t, func(t *rapid.T) {
		c.table = &enroller.Table{ID: rapid.Uint64Min(1).Draw(t, "table"), Interval: time.Hour}
		c.pages = pages{}
		followers := make([]*follower, rapid.IntRange(1, 4).Draw(t, "entries"))
		for i := range followers {
			followers[i] = &follower{table: &enroller.Table{ID: 1, Interval: time.Hour}}
		}
		for n := range rapid.IntRange(1, 120).Draw(t, "heartbeats") {
			for range rapid.SampledFrom([]int{1, 1, 1, 40}).Draw(t, "at once") {
				id := fmt.Sprint(rapid.IntRange(0, 300).Draw(t, "upstream"))
				c.table.Record(timekeeper.Now(), enroller.Registration{
					ID:          units.Upstream(id),
					Address:     id,
					State:       enroller.State(rapid.IntRange(int(enroller.Ready), int(enroller.Gone)).Draw(t, "state")),
					Incarnation: 1,
					Sequence:    uint64(n + 1),
				}, 0)
			}
			c.pages.sealedAt = time.Time{}
			f := followers[rapid.IntRange(0, len(followers)-1).Draw(t, "entry")]
			switch rapid.IntRange(0, 9).Draw(t, "does") {
			case 0:
				f.cursor = 0
			case 1, 2, 3, 4, 5:
				f.poll(t, c)
			}
		}
		c.pages.sealedAt = time.Time{}
		for i, f := range followers {
			for f.poll(t, c); f.more; {
				f.poll(t, c)
			}
			known := make(map[units.Upstream]enroller.State)
			for _, e := range f.table.Upstreams() {
				known[e.ID] = e.State
			}
			for _, e := range c.table.Upstreams() {
				if got := known[e.ID]; got != e.State && (got != 0 || e.State != enroller.Gone) {
					t.Errorf("entry %d, upstream %s: got %v, want %v", i, e.ID, got, e.State)
				}
			}
		}
	})
}

// Guards against a leader that encodes each change separately for each of hundreds of
// entries.
func TestEntriesShareOnePage(t *testing.T) {
	f := fleet{upstreams: 3000}
	_, c := newLeader(t)
	f.populate(c)
	var first *messages.TablePage
	for entry := range 300 {
		response := &messages.EntryPollResponse{}
		c.addTableChanges(timekeeper.Now(), true, &messages.EntryPoll{}, response)
		if len(response.GetPages()) != 1 || len(response.GetUpstreams()) > 0 {
			t.Fatalf("answer to entry %d: got %d pages and %d upstreams, want a single page and no upstreams", entry, len(response.GetPages()), len(response.GetUpstreams()))
		}
		if first == nil {
			first = response.GetPages()[0]
		}
		if response.GetPages()[0] != first {
			t.Fatalf("page of entry %d: got a separate page, want the one that all entries share", entry)
		}
	}
	if got, maxSize := len(first.GetContent()), 60<<10; got > maxSize {
		t.Errorf("page of 3,000 upstreams: got %d bytes, want at most %d", got, maxSize)
	}
}

// Guards against one row that cannot be encoded and keeps all others from being encoded.
func TestRowsThatCannotBeEncodedSpareOthers(t *testing.T) {
	text := rapid.OneOf(
		rapid.String(),
		rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 8), func(b []byte) string { return string(b) }),
	)
	rapid.Check(t, func(t *rapid.T) {
		var rows []*messages.RegisteredUpstream
		var want []string
		for n := range rapid.IntRange(0, 12).Draw(t, "rows") {
			row := &messages.RegisteredUpstream{
				Id:       text.Draw(t, "id"),
				Service:  text.Draw(t, "service"),
				Version:  text.Draw(t, "version"),
				Sequence: uint64(n),
			}
			rows = append(rows, row)
			if utf8.ValidString(row.GetId()) && utf8.ValidString(row.GetService()) && utf8.ValidString(row.GetVersion()) {
				want = append(want, row.GetId())
			}
		}
		page, err := newTablePage(rows)
		if got := err != nil; got != (len(want) < len(rows)) {
			t.Errorf("error: got %v with %d of %d rows that can be encoded", err, len(want), len(rows))
		}
		decoded, err := DecodePage(page)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, row := range decoded {
			got = append(got, row.GetId())
		}
		if !slices.Equal(got, want) {
			t.Errorf("rows: got %q, want %q", got, want)
		}
	})
}

// Guards against a page that is larger than entries read.
func TestPagesOfLongestRowsCanBeRead(t *testing.T) {
	long := strings.Repeat("x", 256)
	var rows []*messages.RegisteredUpstream
	for n := range maxPageRows {
		r := enroller.Registration{
			ID:         units.Upstream(fmt.Sprintf("%06d%s", n, long[:250])),
			Service:    units.Service(long),
			Address:    long,
			DataCentre: units.DataCentre(long),
			Release:    units.Release(long),
			State:      enroller.Ready,
		}
		if err := r.Validate(); err != nil {
			t.Fatal(err)
		}
		rows = append(rows, r.Message(0))
	}
	page, err := newTablePage(rows)
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := DecodePage(page); err != nil || len(decoded) != maxPageRows {
		t.Errorf("page: got %d rows (%v), want %d", len(decoded), err, maxPageRows)
	}
}

// Guards against a log line for each repetition of one standing fault.
func TestStandingFaultIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	log := zerolog.New(&out)
	var fault standingFault
	for range 50 {
		fault.record(log, "table-not-kept", errors.New("disk full"))
	}
	fault.record(log, "table-not-kept", nil)
	fault.record(log, "table-not-kept", nil)
	if got, want := strings.Count(out.String(), "\n"), 2; got != want {
		t.Errorf("lines: got %d, want %d: %s", got, want, out.String())
	}
	if want := `"failures":50`; !strings.Contains(out.String(), want) {
		t.Errorf("last line: got %s, want it to hold %s", out.String(), want)
	}
}
