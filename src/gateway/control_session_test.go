package gateway

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// polledTable is a control instance as seen by one entry.
type polledTable struct {
	*enroller.Table
	controlSession controlSession
	// sent counts the upstreams in its responses.
	sent int
}

// pageSize is how many upstreams one response contains.
const pageSize = 2

// poll updates an entry's table from the instance, as the entry's poller does.
func (p *polledTable) poll(now time.Time, entry *enroller.Table, leads, newLeader bool) {
	var changes []*messages.RegisteredUpstream
	reached := uint64(0)
	if leads || p.controlSession.tableID == p.ID && p.controlSession.cursor > 0 {
		changes, reached = p.Page(now, p.controlSession.tableID, p.controlSession.cursor, p.Cursor(), pageSize)
	}
	p.sent += len(changes)
	p.controlSession.handleResponse(&messages.EntryPollResponse{
		TableId:     p.ID,
		TableCursor: reached,
		Leads:       leads,
	})
	if newLeader {
		p.controlSession.requestFullTable()
	}
	for _, m := range changes {
		entry.Merge(now, m)
	}
}

// The first leader is cut off from an upstream's heartbeats and reports to entries that it is
// silent. The next leader has received the heartbeats throughout, so nothing changes in its
// table; entries that polled it before would exclude the upstream forever.
func TestNewLeaderClearsSilence(t *testing.T) {
	const interval = time.Second
	now := time.Unix(1000, 0)
	first := &polledTable{Table: &enroller.Table{ID: 1, Interval: interval}}
	second := &polledTable{Table: &enroller.Table{ID: 2, Interval: interval}}
	entry := &enroller.Table{ID: 3, Interval: interval}
	heartbeat := enroller.Registration{
		ID:          "u",
		Address:     "x",
		State:       enroller.Ready,
		Incarnation: 1,
		Sequence:    1,
	}
	first.Record(now, heartbeat, 0)
	second.Record(now, heartbeat, 0)
	// The entry has the whole table of the second instance from an earlier leadership of that
	// instance.
	second.poll(now, entry, true, true)
	second.poll(now, entry, true, false)
	first.poll(now, entry, true, true)
	now = now.Add(5 * interval)
	heartbeat.Sequence++
	second.Record(now, heartbeat, 0)
	first.Expire(now)
	first.poll(now, entry, true, false)
	if got := entry.Upstreams()[0].Silent; !got {
		t.Fatal("silent by the first leader: got false, want true")
	}
	second.poll(now, entry, true, true)
	second.poll(now, entry, true, false)
	if got := entry.Upstreams()[0].Silent; got {
		t.Error("silent by the second leader: got true, want false")
	}
}

// An election takes long, and an entry asks each instance twenty times a second who leads.
// Upstreams that it has received from an instance must not be sent again with every response.
func TestSearchForALeaderRepeatsNoUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	control := &polledTable{Table: &enroller.Table{ID: 1, Interval: time.Second}}
	for _, id := range []units.Upstream{"a", "b", "c"} {
		control.Record(now, enroller.Registration{
			ID:          id,
			Address:     string(id),
			State:       enroller.Ready,
			Incarnation: 1,
			Sequence:    1,
		}, 0)
	}
	entry := &enroller.Table{ID: 2, Interval: time.Second}
	for range 20 {
		control.poll(now, entry, false, false)
	}
	if got, want := control.sent, 0; got != want {
		t.Errorf("upstreams sent in 20 answers without a leader: got %d, want %d", got, want)
	}
	for n := range 20 {
		control.poll(now, entry, true, n == 0)
	}
	if got, want := control.sent, 3; got != want {
		t.Errorf("upstreams sent in 20 answers of the leader: got %d, want %d", got, want)
	}
	if got, want := len(entry.Upstreams()), 3; got != want {
		t.Errorf("upstreams that the entry knows: got %d, want %d", got, want)
	}
}

// An instance whose disk has failed answers without a voter, and has kept nothing of what was
// reported to it.
func TestResponseWithoutAVoterAcknowledgesNothing(t *testing.T) {
	session := controlSession{
		counts:     []aggregator.Count{{Window: 1, Account: "a", Calls: 1}},
		unreported: []aggregator.Count{{Window: 1, Account: "a", Calls: 1}},
	}
	session.handleResponse(&messages.EntryPollResponse{})
	if got, want := len(session.usageReporter.Unacknowledged(session.counts)), 1; got != want {
		t.Errorf("counts to report again: got %d, want %d", got, want)
	}
}
