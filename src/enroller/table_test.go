package enroller

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"
	"unicode"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

const interval = 1200 * time.Millisecond

var start = time.Unix(1000, 0)

func registration(id, address string, born units.Incarnation, sequence uint64, state State) Registration {
	return Registration{
		ID:          units.Upstream(id),
		Service:     "s",
		Address:     address,
		Slots:       8,
		State:       state,
		Incarnation: born,
		Sequence:    sequence,
	}
}

func newTable() *Table {
	return &Table{ID: 1, Interval: interval}
}

func (t *Table) state(id string) State {
	upstream := t.upstreams[units.Upstream(id)]
	if upstream == nil {
		return 0
	}
	return upstream.State
}

// Guards against calls that are sent to an upstream that no longer exists or is leaving.
// Heartbeats are overtaken, arrive twice, and come from an earlier incarnation. Only the newest
// one of the newest incarnation counts, and leaving is final.
func TestOldHeartbeatsChangeNothing(t *testing.T) {
	cases := map[string]struct {
		heartbeats []Registration
		want       map[string]State
	}{
		"overtaken": {
			heartbeats: []Registration{registration("a", "x", 5, 2, Leaving), registration("a", "x", 5, 1, Ready)},
			want:       map[string]State{"a": Leaving},
		},
		"ready after leaving": {
			heartbeats: []Registration{registration("a", "x", 5, 2, Leaving), registration("a", "x", 5, 3, Ready)},
			want:       map[string]State{"a": Leaving},
		},
		"restarted with the same ID and sequence numbers from 1": {
			heartbeats: []Registration{registration("a", "x", 5, 9, Leaving), registration("a", "x", 6, 1, Ready)},
			want:       map[string]State{"a": Ready},
		},
		"from an earlier incarnation": {
			heartbeats: []Registration{registration("a", "x", 6, 1, Ready), registration("a", "x", 5, 9, Leaving)},
			want:       map[string]State{"a": Ready},
		},
		"address reused": {
			heartbeats: []Registration{registration("a", "x", 5, 1, Ready), registration("b", "x", 6, 1, Ready)},
			want:       map[string]State{"a": Gone, "b": Ready},
		},
		"delayed until the address was reused": {
			heartbeats: []Registration{registration("b", "x", 6, 1, Ready), registration("a", "x", 5, 1, Ready)},
			want:       map[string]State{"a": 0, "b": Ready},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			for _, r := range c.heartbeats {
				table.Record(start, r, 0)
			}
			for id, want := range c.want {
				if got := table.state(id); got != want {
					t.Errorf("state of %s: got %v, want %v", id, got, want)
				}
			}
		})
	}
}

// An entry that follows a table by its cursor must reach the same states as the table, in
// whatever order heartbeats arrive and however often it polls, also when it switches to another
// control instance in between.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{newTable(), {ID: 2, Interval: interval}}
		entry := &Table{ID: 3, Interval: interval}
		var id, cursor uint64
		follow := func(now time.Time, from *Table) {
			for _, m := range from.ChangesSince(now, id, cursor) {
				entry.Merge(now, m)
			}
			id, cursor = from.ID, from.Cursor()
		}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "passes")) * time.Millisecond)
			r := registration(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), "",
				units.Incarnation(rapid.IntRange(1, 3).Draw(t, "born")),
				rapid.Uint64Range(1, 8).Draw(t, "sequence"),
				State(rapid.IntRange(1, 2).Draw(t, "state")))
			r.Address = string(r.ID)
			// Heartbeats reach both tables, since control instances forward them to each other.
			for _, table := range tables {
				table.Record(now, r, 0)
				table.Expire(now)
			}
			if rapid.Bool().Draw(t, "asks") {
				follow(now, tables[rapid.IntRange(0, 1).Draw(t, "from")])
			}
		}
		follow(now, tables[0])
		for _, want := range tables[0].Upstreams() {
			got := entry.upstreams[want.ID]
			if got == nil || got.Incarnation != want.Incarnation || got.State != want.State || got.Silent != want.Silent {
				t.Fatalf("entry of %s: got %+v, want %+v", want.ID, got, want)
			}
		}
	})
}

func TestSilenceIsReportedAndCleared(t *testing.T) {
	table := newTable()
	table.Record(start, registration("a", "x", 5, 1, Ready), 0)
	if table.Expire(start.Add(2 * interval)) {
		t.Error("silent after two intervals: got true, want false")
	}
	later := start.Add(4 * interval)
	if !table.Expire(later) || !table.upstreams["a"].Silent {
		t.Error("silent after four intervals: got false, want true")
	}
	if !table.Record(later, registration("a", "x", 5, 2, Ready), 0) || table.upstreams["a"].Silent {
		t.Error("after a heartbeat: got still silent, want not silent")
	}
}

// Thousands of upstreams announce themselves, restart, move and end. Whoever follows the table
// must receive each one's latest change after its cursor, once, and no address may have two
// upstreams that accept calls: one of them would receive the other's calls.
func TestChangesAndAddressesAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable()
		now := start
		var cursors []uint64
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "passes")) * time.Millisecond)
			id := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "id"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				table.MarkGone(now, units.Upstream(id), units.Incarnation(rapid.IntRange(1, 5).Draw(t, "gone")))
			case 1:
				table.Expire(now)
			case 2:
				cursors = append(cursors, table.Cursor())
			default:
				table.Record(now, registration(id, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "address")),
					units.Incarnation(rapid.IntRange(1, 5).Draw(t, "born")),
					rapid.Uint64Range(1, 30).Draw(t, "sequence"),
					State(rapid.IntRange(1, 2).Draw(t, "state"))), 0)
			}
		}
		live := make(map[string]units.Upstream)
		for _, e := range table.Upstreams() {
			if e.State == Gone {
				continue
			}
			if other, taken := live[e.Address]; taken {
				t.Fatalf("upstreams at address %s: got %s and %s, want one", e.Address, other, e.ID)
			}
			live[e.Address] = e.ID
		}
		for _, cursor := range append(cursors, 0) {
			want := make(map[string]int)
			for _, e := range table.Upstreams() {
				if e.changed > cursor {
					want[string(e.ID)] = 1
				}
			}
			got := make(map[string]int)
			for _, m := range table.ChangesSince(now, table.ID, cursor) {
				got[m.GetId()]++
			}
			if !maps.Equal(got, want) {
				t.Fatalf("changes after cursor %d: got %v, want %v", cursor, got, want)
			}
		}
	})
}

// Guards against a large table that never arrives over a slow link: each response carries a page,
// and the pages together must bring every change, including those made meanwhile.
func TestPagesReproduceTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := &Table{ID: 1, Interval: time.Second}
		reader := &Table{ID: 2, Interval: time.Second}
		maxChanges := rapid.IntRange(1, 9).Draw(t, "most")
		cursor := uint64(0)
		read := func() {
			changes, reached := table.Page(now, table.ID, cursor, table.Cursor(), maxChanges)
			if len(changes) > maxChanges {
				t.Fatalf("changes in a page: got %d, want at most %d", len(changes), maxChanges)
			}
			for _, m := range changes {
				reader.Merge(now, m)
			}
			cursor = reached
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "heartbeats") {
			id := rapid.IntRange(0, 20).Draw(t, "upstream")
			table.Record(now, Registration{
				ID:          units.Upstream(fmt.Sprint(id)),
				Address:     fmt.Sprint(id),
				State:       State(rapid.IntRange(int(Ready), int(Gone)).Draw(t, "state")),
				Incarnation: 1,
				Sequence:    uint64(n + 1),
			}, 0)
			if rapid.Bool().Draw(t, "read") {
				read()
			}
		}
		for cursor < table.Cursor() {
			read()
		}
		for _, e := range table.Upstreams() {
			if got := reader.upstreams[e.ID]; got == nil || got.State != e.State {
				t.Errorf("upstream %s: got %v, want state %v", e.ID, got, e.State)
			}
		}
	})
}

// Guards against a table that holds what other processes cannot be told, and one that grows with what other writers
// announce.
func TestTableHoldsOnlyWhatCanBePassedOn(t *testing.T) {
	text := rapid.OneOf(
		rapid.String(),
		rapid.SampledFrom([]string{"", "\xff", "i-1\r\nX-Tenant: t2", "i-1 ", strings.Repeat("x", MaxTextBytes), strings.Repeat("x", 10*MaxTextBytes)}),
		rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 8), func(b []byte) string { return string(b) }),
	)
	rapid.Check(t, func(t *rapid.T) {
		table := newTable()
		for range rapid.IntRange(1, 20).Draw(t, "registrations") {
			table.Record(start, Registration{
				ID:          units.Upstream(text.Draw(t, "id")),
				Service:     units.Service(text.Draw(t, "service")),
				Address:     text.Draw(t, "address"),
				DataCentre:  units.DataCentre(text.Draw(t, "data centre")),
				Release:     units.Release(text.Draw(t, "release")),
				Slots:       rapid.Int().Draw(t, "slots"),
				State:       State(rapid.IntRange(-1, 5).Draw(t, "state")),
				Incarnation: units.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
				Sequence:    rapid.Uint64().Draw(t, "sequence"),
			}, 0)
		}
		for _, m := range table.ChangesSince(start, 0, 0) {
			for _, passedOn := range []string{m.GetId(), m.GetService(), m.GetAddress(), m.GetDataCentre(), m.GetVersion()} {
				if strings.ContainsFunc(passedOn, unicode.IsControl) {
					t.Errorf("text of a row: got %q, want none with a control character", passedOn)
				}
			}
			if got, want := m.GetId(), strings.TrimSpace(m.GetId()); got != want {
				t.Errorf("id of a row: got %q, want %q", got, want)
			}
			content, err := proto.Marshal(m)
			if err != nil {
				t.Fatalf("encode: got %v, want no error", err)
			}
			if maxRow := 5*(MaxTextBytes+3) + 80; len(content) > maxRow {
				t.Errorf("encoded row: got %d bytes, want %d at most", len(content), maxRow)
			}
		}
	})
	table := newTable()
	for n := range maxUpstreams + 10 {
		table.Record(start, registration(fmt.Sprint(n), fmt.Sprint(n), 1, 1, Ready), 0)
	}
	if got := len(table.Upstreams()); got != maxUpstreams {
		t.Errorf("upstreams: got %d, want %d", got, maxUpstreams)
	}
	if !table.MarkGone(start, "1", 1) {
		t.Error("departure from a full table: got no change, want one")
	}
}

// Guards against sound upstreams that are out of use, or find no room, as another writer announces their addresses or many
// upstreams under a service that calls are not for.
func TestUnnamedServicesChangeNothingOfOthers(t *testing.T) {
	cases := map[string]struct {
		service units.Service
		born    units.Incarnation
		want    State
	}{
		"of no named service":                {service: "other", born: 9, want: Ready},
		"of no named service, an older one":  {service: "other", born: 1, want: Ready},
		"of the named service, a later one":  {service: "s", born: 9, want: Gone},
		"of the named service, an older one": {service: "s", born: 1, want: Ready},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			table.IsNamed = func(service units.Service) bool { return service == "s" }
			table.Record(start, registration("a", "x", 5, 1, Ready), 0)
			foreign := registration("b", "x", c.born, 1, Ready)
			foreign.Service = c.service
			table.Record(start, foreign, 0)
			if got := table.state("a"); got != c.want {
				t.Errorf("state after the announcement: got %v, want %v", got, c.want)
			}
			table.Record(start, registration("a", "x", 5, 2, Ready), 0)
			if got := table.state("a"); got != c.want {
				t.Errorf("state after its next heartbeat: got %v, want %v", got, c.want)
			}
		})
	}
	table := newTable()
	table.IsNamed = func(service units.Service) bool { return service == "s" }
	for n := range 3 * maxUnnamed {
		foreign := registration(fmt.Sprint("foreign-", n), fmt.Sprint(n), 1, 1, Ready)
		foreign.Service = "other"
		table.Record(start, foreign, 0)
		table.MarkGone(start, units.Upstream(fmt.Sprint("departed-", n)), 1)
	}
	if got := len(table.Upstreams()); got != maxUnnamed {
		t.Errorf("upstreams of other services: got %d, want %d", got, maxUnnamed)
	}
	if !table.Record(start, registration("a", "x", 5, 1, Ready), 0) {
		t.Error("upstream of a named service: got no room, want it recorded")
	}
}
