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

// controlFleet is a simulated deployment: control instances, of which the first one leads, and entries that poll it. All
// messages between them are encoded and decoded.
type controlFleet struct {
	instances []*coordinator
	entries   []*followingEntry
	// left holds the incarnations whose departure was acknowledged.
	left map[units.Upstream]units.Incarnation
}

// followingEntry is an entry's table of upstreams and its state in the exchange with the leader.
type followingEntry struct {
	table  *enroller.Table
	cursor uint64
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
	f.entries, f.left = nil, make(map[units.Upstream]units.Incarnation)
	for _, c := range f.instances {
		forgetUpstreams(c)
	}
	f.addEntry()
}

// publishAll lets entries learn of all upstreams, of whatever service and version.
func (f *controlFleet) publishAll() {
	for _, c := range f.instances {
		c.table.IsWithheld = nil
	}
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
	c.departures = make(departures)
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

// announce passes an announcement to an instance, and reports whether it is acknowledged.
func (f *controlFleet) announce(at int, a announcementReceived, isLost func(to int) bool) bool {
	reply := f.instances[at].handleAnnouncement(a)
	if reply.unrecorded {
		return false
	}
	if reply.mustReplicate == nil {
		return true
	}
	reply.peers = nil
	var answers []*messages.UpstreamBatchResponse
	for to, c := range f.instances {
		if to == at {
			continue
		}
		reply.peers = append(reply.peers, fmt.Sprint(to))
		batch := &messages.UpstreamBatch{
			From:      fmt.Sprint(at),
			WallNs:    time.Now().UnixNano(),
			Upstreams: reply.mustReplicate,
		}
		answers = append(answers, f.send(c, batch, isLost(to)))
	}
	return newDeparture(reply, answers).isHeld(len(f.instances))
}

// poll lets an entry poll the leader until it has the whole table, and returns an error if a response cannot be used.
func (f *controlFleet) poll(entry int) error {
	e := f.entries[entry]
	for {
		poll := &messages.EntryPoll{
			Entry:       fmt.Sprint(entry),
			Incarnation: 1,
			Serving:     true,
			TableId:     f.instances[0].table.ID,
			TableCursor: e.cursor,
			WallNs:      time.Now().UnixNano(),
		}
		f.instances[0].pages.sealedAt = time.Time{}
		content, err := proto.Marshal(f.instances[0].poll(poll))
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
			e.table.Merge(timekeeper.Now(), m)
		}
		e.cursor = response.GetTableCursor()
		if !response.GetMore() {
			return nil
		}
	}
}

// check lets all entries poll, and reports upstreams in use whose departure was acknowledged.
func (f *controlFleet) check(t *rapid.T) {
	for n, e := range f.entries {
		if err := f.poll(n); err != nil {
			t.Fatalf("poll of entry %d: %v", n, err)
		}
		for _, u := range e.table.Upstreams() {
			if left, hasLeft := f.left[u.ID]; hasLeft && u.State == enroller.Ready && u.Incarnation <= left {
				t.Fatalf("entry %d: got upstream %q of %d in use, want it out of use since its departure was acknowledged", n, u.ID, u.Incarnation)
			}
		}
	}
}

// swapLeader lets an instance lead with what it knows of upstreams; entries begin anew with its table.
func (f *controlFleet) swapLeader(at int) {
	leader, next := f.instances[0], f.instances[at]
	leader.table, next.table = next.table, leader.table
	leader.unsent, next.unsent = next.unsent, leader.unsent
	leader.departures, next.departures = next.departures, leader.departures
	leader.pages, next.pages = pages{}, pages{}
	for _, e := range f.entries {
		e.cursor = 0
	}
}

// replaceLeader lets an instance lead in place of the one that does, and waits until what is repeated has arrived.
func (f *controlFleet) replaceLeader(at int) {
	f.swapLeader(at)
	for from := range f.instances {
		f.spread(from, func(int) bool { return false })
	}
}

// killLeader lets an instance lead in place of one that has lost its memory and disk, after it has asked all others for the
// departures that they hold.
func (f *controlFleet) killLeader(at int) {
	forgetUpstreams(f.instances[0])
	f.instances[0].table.IsWithheld = nil
	f.swapLeader(at)
	leader := f.instances[0]
	for from, c := range f.instances[1:] {
		leader.inheritance.learn(timekeeper.Now(), departuresHeld{
			from:       fmt.Sprint(from),
			departures: f.send(c, leader.inheritance.question(), false).GetDepartures(),
		})
	}
}

// soundEngine is an engine of the fleet's own.
type soundEngine struct {
	registration enroller.Registration
}

// announceState sends an engine's next heartbeat, or its deregistration, and records an acknowledged departure. An engine
// that has said that it leaves does not take that back.
func (f *controlFleet) announceState(at int, e *soundEngine, state enroller.State, isLost func(to int) bool) {
	e.registration.State = max(e.registration.State, min(state, enroller.Leaving))
	a := announcementReceived{registration: enroller.NewDeparture(e.registration.ID, 0)}
	if state != enroller.Gone {
		e.registration.Sequence++
		a.registration = e.registration
	}
	if f.announce(at, a, isLost) && e.registration.State != enroller.Ready {
		f.left[e.registration.ID] = e.registration.Incarnation
	}
}

// drawForeign draws an announcement of another writer, which does not use the id of an engine of the fleet's own.
func drawForeign(t *rapid.T, sound []*soundEngine) announcementReceived {
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
		return announcementReceived{registration: enroller.NewDeparture(id, 0)}
	}
	return announcementReceived{
		registration: enroller.Registration{
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
		},
	}
}
