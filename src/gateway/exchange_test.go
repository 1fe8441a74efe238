package gateway

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/tallier"
	"github.com/rosecroft/rosecroft/src/units"
)

// polledTable is a control instance as one entry sees it.
type polledTable struct {
	*enroller.Table
	exchange exchange
	// sent counts the upstreams that its answers brought.
	sent int
}

// partSize is how many upstreams an answer brings.
const partSize = 2

// poll lets an entry's table follow an instance, as its poller does.
func (c *polledTable) poll(now time.Time, entry *enroller.Table, leads, newLeader bool) {
	var changes []*messages.RegisteredUpstream
	reached := uint64(0)
	if leads || c.exchange.tableID == c.ID && c.exchange.cursor > 0 {
		changes, reached = c.Part(now, c.exchange.tableID, c.exchange.cursor, c.Cursor(), partSize)
	}
	c.sent += len(changes)
	c.exchange.take(&messages.EntryPollResponse{
		TableId:     c.ID,
		TableCursor: reached,
		Leads:       leads,
	})
	if newLeader {
		c.exchange.follow()
	}
	for _, m := range changes {
		entry.Follow(now, m)
	}
}

// The first leader is cut off from an upstream's heartbeats and tells entries that it is
// silent. The next leader has heard it all the time, so that nothing has changed there;
// entries that asked it before would go on leaving the upstream out for ever.
func TestNewLeaderTakesBackSilence(t *testing.T) {
	const interval = time.Second
	now := time.Unix(1000, 0)
	first := &polledTable{Table: &enroller.Table{ID: 1, Interval: interval}}
	second := &polledTable{Table: &enroller.Table{ID: 2, Interval: interval}}
	entry := &enroller.Table{ID: 3, Interval: interval}
	beat := enroller.Registration{
		ID:       "u",
		Address:  "x",
		State:    enroller.Ready,
		Born:     1,
		Sequence: 1,
	}
	first.Hear(now, beat, 0)
	second.Hear(now, beat, 0)
	// The entry has all of the second one's table, from when that one led before.
	second.poll(now, entry, true, true)
	second.poll(now, entry, true, false)
	first.poll(now, entry, true, true)
	now = now.Add(5 * interval)
	beat.Sequence++
	second.Hear(now, beat, 0)
	first.Expire(now)
	first.poll(now, entry, true, false)
	if got := entry.Entries()[0].Silent; !got {
		t.Fatal("silent by the first leader: got false, want true")
	}
	second.poll(now, entry, true, true)
	second.poll(now, entry, true, false)
	if got := entry.Entries()[0].Silent; got {
		t.Error("silent by the second leader: got true, want false")
	}
}

// An election takes long, and an entry asks each instance twenty times a second who
// leads. What it has from an instance must not come again with every answer.
func TestSeekingBringsNothingTwice(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &polledTable{Table: &enroller.Table{ID: 1, Interval: time.Second}}
	for _, id := range []units.Upstream{"a", "b", "c"} {
		c.Hear(now, enroller.Registration{
			ID:       id,
			Address:  string(id),
			State:    enroller.Ready,
			Born:     1,
			Sequence: 1,
		}, 0)
	}
	entry := &enroller.Table{ID: 2, Interval: time.Second}
	for range 20 {
		c.poll(now, entry, false, false)
	}
	if got, want := c.sent, 0; got != want {
		t.Errorf("upstreams sent in 20 answers without a leader: got %d, want %d", got, want)
	}
	for n := range 20 {
		c.poll(now, entry, true, n == 0)
	}
	if got, want := c.sent, 3; got != want {
		t.Errorf("upstreams sent in 20 answers of the leader: got %d, want %d", got, want)
	}
	if got, want := len(entry.Entries()), 3; got != want {
		t.Errorf("upstreams that the entry knows: got %d, want %d", got, want)
	}
}

// An instance whose disk has failed answers without a voter, and has kept nothing of
// what it was told.
func TestAnswerWithoutAVoterHearsNothing(t *testing.T) {
	e := exchange{
		counts: []tallier.Count{{Window: 1, Account: "a", Calls: 1}},
		fresh:  []tallier.Count{{Window: 1, Account: "a", Calls: 1}},
	}
	e.take(&messages.EntryPollResponse{})
	if got, want := len(e.usage.Unacknowledged(e.counts)), 1; got != want {
		t.Errorf("counts to tell again: got %d, want %d", got, want)
	}
}
