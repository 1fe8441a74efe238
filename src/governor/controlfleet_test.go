package governor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// controlFleet is a simulated deployment: control instances, of which the first one leads with a log of its own, and
// entries that poll it. All messages between them are encoded and decoded.
type controlFleet struct {
	instances []*coordinator
	entries   []*followingEntry
}

// followingEntry is an entry's table of upstreams and its state in the exchange with the leader.
type followingEntry struct {
	table *enroller.Table
	// leaderTable and cursor are the leader's table that it follows, and how far.
	leaderTable, cursor uint64
}

func newControlFleet(t *testing.T, followers int) *controlFleet {
	_, leader := newLeader(t)
	leader.isLeader(timekeeper.Now())
	f := &controlFleet{instances: []*coordinator{leader}}
	for range followers {
		_, c := newInstance(t)
		f.instances = append(f.instances, c)
	}
	return f
}

// reset makes all instances forget what they know of upstreams, and leaves one entry.
func (f *controlFleet) reset() {
	f.entries = nil
	for _, c := range f.instances {
		forgetUpstreams(c)
	}
	f.addEntry()
}

// forgetUpstreams does what the loss of an instance's memory and disk does to its table.
func forgetUpstreams(c *coordinator) {
	c.settings.HeartbeatInterval = time.Second
	c.table = &enroller.Table{
		ID:       rand.Uint64(),
		Interval: time.Second,
	}
	c.table.IsWithheld = c.releases.isWithheld
	c.table.IsNamed = c.namesService
	c.configuration = &matcher.Configuration{Services: []matcher.Service{{Name: "s"}}}
	c.unsent = make(map[units.Upstream]bool)
	c.pages = pages{}
}

func (f *controlFleet) addEntry() {
	f.entries = append(f.entries, &followingEntry{table: &enroller.Table{ID: uint64(len(f.entries) + 1), Interval: time.Second}})
}

// send passes a batch to an instance, nil if it is lost on the way or cannot be encoded.
func (f *controlFleet) send(to *coordinator, batch *messages.UpstreamBatch, isLost bool) *messages.UpstreamBatchResponse {
	content, err := proto.Marshal(batch)
	received := &messages.UpstreamBatch{}
	if err != nil || isLost || proto.Unmarshal(content, received) != nil {
		return nil
	}
	return to.syncUpstreams(received)
}

// spread sends what an instance has received to the others, except those to which it is lost.
func (f *controlFleet) spread(from int, isLost func(to int) bool) {
	batch := f.instances[from].nextBatch(timekeeper.Now())
	if batch == nil {
		return
	}
	for to, c := range f.instances {
		if to != from {
			f.send(c, batch, isLost(to))
		}
	}
}

// announce passes an announcement to an instance. The departure of an upstream is committed by the leader.
func (f *controlFleet) announce(t rapid.TB, at int, r enroller.Registration) {
	reply := f.instances[at].handleAnnouncement(announcementReceived{registration: r})
	if reply.departs != nil && reply.committed == nil {
		f.instances[0].handleAnnouncement(announcementReceived{registration: r})
	}
	if err := f.instances[0].departures.tick(); err != nil {
		t.Fatal(err)
	}
}

// poll lets an entry poll the leader until it has the whole table, and returns an error if a response cannot be used.
func (f *controlFleet) poll(entry int) error {
	return f.entries[entry].follow(timekeeper.Now(), f.instances[0], fmt.Sprint(entry))
}

// follow lets an entry poll a leader until it has the whole table, and returns an error if a response cannot be used.
func (e *followingEntry) follow(now time.Time, leader *coordinator, name string) error {
	for {
		poll := &messages.EntryPoll{
			Entry:       name,
			Incarnation: 1,
			Serving:     true,
			TableId:     e.leaderTable,
			TableCursor: e.cursor,
			WallNs:      time.Now().UnixNano(),
		}
		leader.pages.sealedAt = time.Time{}
		content, err := proto.Marshal(leader.poll(poll))
		if err != nil {
			return fmt.Errorf("encode the response: %w", err)
		}
		response := &messages.EntryPollResponse{}
		if err := proto.Unmarshal(content, response); err != nil {
			return fmt.Errorf("decode the response: %w", err)
		}
		changes := response.GetUpstreams()
		for _, page := range response.GetPages() {
			decoded, err := DecodePage(page)
			if err != nil {
				return err
			}
			changes = append(changes, decoded...)
		}
		for _, m := range changes {
			e.table.Merge(now, m)
		}
		e.leaderTable, e.cursor = response.GetTableId(), response.GetTableCursor()
		if !response.GetMore() {
			return nil
		}
	}
}

// soundEngine is an engine of the fleet's own.
type soundEngine struct {
	registration enroller.Registration
}

func newSoundEngine(n int) *soundEngine {
	return &soundEngine{registration: enroller.Registration{
		ID:      units.Upstream(fmt.Sprintf("i-%d", n)),
		Service: "s",
		Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250),
		Slots:   8,
		State:   enroller.Ready,
	}}
}

// next returns an engine's next heartbeat, or its deregistration. An engine that has said that it leaves does not take that
// back.
func (e *soundEngine) next(state enroller.State) enroller.Registration {
	e.registration.State = max(e.registration.State, min(state, enroller.Leaving))
	if state == enroller.Gone {
		return enroller.NewDeparture(e.registration.ID, 0)
	}
	e.registration.Sequence++
	return e.registration
}

// drawForeign draws an announcement of another writer, which does not use the id of an engine of the fleet's own.
func drawForeign(t *rapid.T, sound []*soundEngine) enroller.Registration {
	text := rapid.OneOf(
		rapid.SampledFrom([]string{"", "s", "t", "x\xff", "\xc3\x28", "\x00", "10.0.0.1:80", "10.0.0.2:80"}),
		rapid.String(),
		rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 40), func(b []byte) string { return string(b) }),
		rapid.Map(rapid.IntRange(1, 70_000), func(n int) string { return string(make([]byte, n)) }),
	)
	id := units.Upstream("foreign-" + text.Draw(t, "id"))
	if slices.ContainsFunc(sound, func(e *soundEngine) bool { return e.registration.ID == id }) {
		id += "'"
	}
	if rapid.IntRange(0, 5).Draw(t, "deregisters") == 0 {
		return enroller.NewDeparture(id, 0)
	}
	return enroller.Registration{
		ID:          id,
		Service:     units.Service(text.Draw(t, "service")),
		Address:     text.Draw(t, "address"),
		DataCentre:  units.DataCentre(text.Draw(t, "data centre")),
		Release:     units.Release(text.Draw(t, "release")),
		Slots:       rapid.Int().Draw(t, "slots"),
		State:       enroller.State(rapid.IntRange(-1, 5).Draw(t, "state")),
		Incarnation: units.Incarnation(rapid.Int64().Draw(t, "incarnation")),
		Sequence:    rapid.Uint64().Draw(t, "sequence"),
		ColdFor:     time.Duration(rapid.Int64().Draw(t, "cold")),
		LeavesIn:    time.Duration(rapid.Int64().Draw(t, "leaves")),
	}
}
