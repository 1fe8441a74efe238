package enroller

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

const interval = 1200 * time.Millisecond

var start = time.Unix(1000, 0)

func registration(id, address string, born units.Incarnation, sequence uint64, state State) Registration {
	return Registration{
		ID:       units.Upstream(id),
		Service:  "s",
		Address:  address,
		Slots:    8,
		State:    state,
		Born:     born,
		Sequence: sequence,
	}
}

func newTable() *Table {
	return &Table{ID: 1, Interval: interval}
}

func (t *Table) state(id string) State {
	entry := t.entries[units.Upstream(id)]
	if entry == nil {
		return 0
	}
	return entry.State
}

// A caller's booking would reach an upstream that is no more, or that has left.
// Heartbeats are overtaken, come twice, and come from a life that is over; only
// the newest one of the newest life counts, and leaving is for good.
func TestOldHeartbeatsChangeNothing(t *testing.T) {
	cases := map[string]struct {
		heard []Registration
		want  map[string]State
	}{
		"overtaken": {
			heard: []Registration{registration("a", "x", 5, 2, Leaving), registration("a", "x", 5, 1, Ready)},
			want:  map[string]State{"a": Leaving},
		},
		"ready after leaving": {
			heard: []Registration{registration("a", "x", 5, 2, Leaving), registration("a", "x", 5, 3, Ready)},
			want:  map[string]State{"a": Leaving},
		},
		"born again under its id, counting anew": {
			heard: []Registration{registration("a", "x", 5, 9, Leaving), registration("a", "x", 6, 1, Ready)},
			want:  map[string]State{"a": Ready},
		},
		"from an earlier life": {
			heard: []Registration{registration("a", "x", 6, 1, Ready), registration("a", "x", 5, 9, Leaving)},
			want:  map[string]State{"a": Ready},
		},
		"address used again": {
			heard: []Registration{registration("a", "x", 5, 1, Ready), registration("b", "x", 6, 1, Ready)},
			want:  map[string]State{"a": Gone, "b": Ready},
		},
		"held up until the address was used again": {
			heard: []Registration{registration("b", "x", 6, 1, Ready), registration("a", "x", 5, 1, Ready)},
			want:  map[string]State{"a": 0, "b": Ready},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			for _, r := range c.heard {
				table.Hear(start, r, 0)
			}
			for id, want := range c.want {
				if got := table.state(id); got != want {
					t.Errorf("state of %s: got %v, want %v", id, got, want)
				}
			}
		})
	}
}

// An entry that follows a table by its cursor must come to the same states as
// the table, in whatever order heartbeats arrive and however often it asks; also
// when it turns to another control instance in between.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{newTable(), {ID: 2, Interval: interval}}
		entry := &Table{ID: 3, Interval: interval}
		var id, cursor uint64
		follow := func(now time.Time, from *Table) {
			for _, m := range from.Since(now, id, cursor) {
				entry.Follow(now, m)
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
			// Heartbeats reach both tables, as control spreads them.
			for _, table := range tables {
				table.Hear(now, r, 0)
				table.Expire(now)
			}
			if rapid.Bool().Draw(t, "asks") {
				follow(now, tables[rapid.IntRange(0, 1).Draw(t, "from")])
			}
		}
		follow(now, tables[0])
		for _, want := range tables[0].Entries() {
			got := entry.entries[want.ID]
			if got == nil || got.Born != want.Born || got.State != want.State || got.Silent != want.Silent {
				t.Fatalf("entry of %s: got %+v, want %+v", want.ID, got, want)
			}
		}
	})
}

func TestSilenceIsToldAndTakenBack(t *testing.T) {
	table := newTable()
	table.Hear(start, registration("a", "x", 5, 1, Ready), 0)
	if table.Expire(start.Add(2 * interval)) {
		t.Error("silent after two intervals: got true, want false")
	}
	later := start.Add(4 * interval)
	if !table.Expire(later) || !table.entries["a"].Silent {
		t.Error("silent after four intervals: got false, want true")
	}
	if !table.Hear(later, registration("a", "x", 5, 2, Ready), 0) || table.entries["a"].Silent {
		t.Error("heard again: got still silent, want not")
	}
}

// Thousands of upstreams announce themselves, come again, move and end. Whoever follows
// the table must get each one's last change behind its cursor, once, and no address may
// have two upstreams that take calls: one of them would get the other's.
func TestChangesAndAddressesHoldForAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable()
		now := start
		var cursors []uint64
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "passes")) * time.Millisecond)
			id := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "id"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				table.Leave(now, units.Upstream(id))
			case 1:
				table.Expire(now)
			case 2:
				cursors = append(cursors, table.Cursor())
			default:
				table.Hear(now, registration(id, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "address")),
					units.Incarnation(rapid.IntRange(1, 5).Draw(t, "born")),
					rapid.Uint64Range(1, 30).Draw(t, "sequence"),
					State(rapid.IntRange(1, 2).Draw(t, "state"))), 0)
			}
		}
		live := make(map[string]units.Upstream)
		for _, e := range table.Entries() {
			if e.State == Gone {
				continue
			}
			if other, taken := live[e.Address]; taken {
				t.Fatalf("upstreams at %s: got %s and %s, want one", e.Address, other, e.ID)
			}
			live[e.Address] = e.ID
		}
		for _, cursor := range append(cursors, 0) {
			want := make(map[string]int)
			for _, e := range table.Entries() {
				if e.changed > cursor {
					want[string(e.ID)] = 1
				}
			}
			got := make(map[string]int)
			for _, m := range table.Since(now, table.ID, cursor) {
				got[m.GetId()]++
			}
			if !maps.Equal(got, want) {
				t.Fatalf("changes behind %d: got %v, want %v", cursor, got, want)
			}
		}
	})
}

// Guards against a large table that never arrives over a slow link: each answer brings a part,
// and all parts together bring every change, also those made meanwhile.
func TestPartsBringTheWholeTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := &Table{ID: 1, Interval: time.Second}
		reader := &Table{ID: 2, Interval: time.Second}
		most := rapid.IntRange(1, 9).Draw(t, "most")
		cursor := uint64(0)
		read := func() {
			changes, reached := table.Part(now, table.ID, cursor, table.Cursor(), most)
			if len(changes) > most {
				t.Fatalf("changes in a part: got %d, want at most %d", len(changes), most)
			}
			for _, m := range changes {
				reader.Follow(now, m)
			}
			cursor = reached
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "heartbeats") {
			id := rapid.IntRange(0, 20).Draw(t, "upstream")
			table.Hear(now, Registration{
				ID:       units.Upstream(fmt.Sprint(id)),
				Address:  fmt.Sprint(id),
				State:    State(rapid.IntRange(int(Ready), int(Gone)).Draw(t, "state")),
				Born:     1,
				Sequence: uint64(n + 1),
			}, 0)
			if rapid.Bool().Draw(t, "read") {
				read()
			}
		}
		for cursor < table.Cursor() {
			read()
		}
		for _, e := range table.Entries() {
			if got := reader.entries[e.ID]; got == nil || got.State != e.State {
				t.Errorf("upstream %s: got %v, want state %v", e.ID, got, e.State)
			}
		}
	})
}
