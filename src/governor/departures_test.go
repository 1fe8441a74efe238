package governor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/connector"
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

// replaceLeader lets an instance lead in place of the one that does, and waits until what is repeated has arrived.
func (f *controlFleet) replaceLeader(at int) {
	leader, next := f.instances[0], f.instances[at]
	leader.table, next.table = next.table, leader.table
	leader.unsent, next.unsent = next.unsent, leader.unsent
	leader.departures, next.departures = next.departures, leader.departures
	leader.pages, next.pages = pages{}, pages{}
	for from := range f.instances {
		f.spread(from, func(int) bool { return false })
	}
	for _, e := range f.entries {
		e.cursor = 0
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

// Guards against departures that are acknowledged and do not reach an entry that polls the leader, whatever other writers
// announce and whichever messages between control instances are lost.
func TestAcknowledgedDeparturesReachEntries(t *testing.T) {
	f := newControlFleet(t, 2)
	rapid.Check(t, func(rt *rapid.T) {
		f.reset()
		f.publishAll()
		// Where instances forget what they knew, a departure that a bare majority holds may be lost with two of them.
		lastStep := rapid.SampledFrom([]string{"restart", "new leader"}).Draw(rt, "fault")
		hasIncarnations := rapid.Bool().Draw(rt, "incarnations")
		var sound []*soundEngine
		for n := range 3 {
			e := &soundEngine{registration: enroller.Registration{
				ID:      units.Upstream(fmt.Sprintf("i-%d", n)),
				Service: "s",
				Address: fmt.Sprintf("10.0.0.%d:80", n),
				Slots:   8,
				State:   enroller.Ready,
			}}
			if hasIncarnations {
				e.registration.Incarnation = units.Incarnation(100 + n)
			}
			sound = append(sound, e)
		}
		isLost := func(int) bool { return rapid.IntRange(0, 3).Draw(rt, "lost") == 0 }
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			at := rapid.IntRange(0, len(f.instances)-1).Draw(rt, "instance")
			e := rapid.SampledFrom(sound).Draw(rt, "engine")
			switch rapid.SampledFrom([]string{"heartbeat", "heartbeat", "foreign", "foreign", "drain", "deregister", "spread", "spread", "entry", lastStep}).Draw(rt, "step") {
			case "heartbeat":
				f.announceState(at, e, e.registration.State, isLost)
			case "foreign":
				f.announce(at, drawForeign(rt, sound), isLost)
			case "drain":
				f.announceState(at, e, enroller.Leaving, isLost)
			case "deregister":
				f.announceState(at, e, enroller.Gone, isLost)
			case "spread":
				f.spread(at, isLost)
			case "entry":
				f.addEntry()
			case "new leader":
				f.replaceLeader(at)
			case "restart":
				if at > 0 {
					forgetUpstreams(f.instances[at])
					f.publishAll()
				}
			}
			f.check(rt)
		}
	})
}

// Guards against deregistrations that are acknowledged by an instance that knows less of the upstream than the leader.
func TestDeregistrationsAtInstancesThatAreBehind(t *testing.T) {
	f := newControlFleet(t, 2)
	none := func(int) bool { return false }
	all := func(int) bool { return true }
	cases := map[string]struct {
		born units.Incarnation
		// missed is how many heartbeats reach the leader alone.
		missed int
		// forgets is set where the instance has lost what it knew.
		forgets bool
	}{
		"as far":                         {},
		"one heartbeat behind":           {missed: 1},
		"behind":                         {missed: 4},
		"behind, with a start time":      {missed: 4, born: 7},
		"lost its disk":                  {forgets: true},
		"lost its disk, with start time": {forgets: true, born: 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f.reset()
			f.publishAll()
			e := &soundEngine{registration: enroller.Registration{
				ID:          "i-0",
				Service:     "s",
				Address:     "10.0.0.1:80",
				Slots:       8,
				State:       enroller.Ready,
				Incarnation: c.born,
			}}
			f.announceState(0, e, enroller.Ready, none)
			f.spread(0, none)
			for range c.missed {
				f.announceState(0, e, enroller.Ready, none)
				f.spread(0, all)
			}
			if c.forgets {
				forgetUpstreams(f.instances[1])
			}
			if err := f.poll(0); err != nil {
				t.Fatal(err)
			}
			f.announceState(1, e, enroller.Gone, none)
			if err := f.poll(0); err != nil {
				t.Fatal(err)
			}
			_, acknowledged := f.left["i-0"]
			if got := f.entries[0].table.Upstreams()[0].State; acknowledged && got != enroller.Gone {
				t.Errorf("state at an entry after the acknowledgement: got %v, want %v", got, enroller.Gone)
			}
			if !acknowledged {
				t.Error("acknowledged: got false, want true as all instances respond")
			}
		})
	}
}

// Guards against a departure that is acknowledged though the leader, or a majority, has not taken it.
func TestDepartureIsHeldByLeaderAndMajority(t *testing.T) {
	taken, leader := &messages.UpstreamBatchResponse{}, &messages.UpstreamBatchResponse{Leads: true}
	lacks, leaderLacks := &messages.UpstreamBatchResponse{Lacks: true}, &messages.UpstreamBatchResponse{Leads: true, Lacks: true}
	cases := map[string]struct {
		leads     bool
		responses []*messages.UpstreamBatchResponse
		want      bool
	}{
		"by all":                       {responses: []*messages.UpstreamBatchResponse{leader, taken, taken, taken}, want: true},
		"by a majority":                {responses: []*messages.UpstreamBatchResponse{leader, taken, nil, nil}, want: true},
		"by the leader itself":         {leads: true, responses: []*messages.UpstreamBatchResponse{taken, taken, nil, nil}, want: true},
		"by a minority":                {responses: []*messages.UpstreamBatchResponse{leader, nil, nil, nil}},
		"not by the leader":            {responses: []*messages.UpstreamBatchResponse{nil, taken, taken, taken}},
		"the leader has not taken it":  {responses: []*messages.UpstreamBatchResponse{leaderLacks, taken, taken, taken}},
		"a majority has not taken it":  {leads: true, responses: []*messages.UpstreamBatchResponse{taken, lacks, lacks, lacks}},
		"no other instance is known":   {leads: true, want: true},
		"no other instance, no leader": {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			reply := announceReply{
				leaderReached: c.leads,
				peers:         make([]string, len(c.responses)),
			}
			if got := newDeparture(reply, c.responses).isHeld(5); got != c.want {
				t.Errorf("held: got %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against a process that stops sending to another one because of a message that cannot be encoded.
func TestUnencodableMessageSparesThoseBehindIt(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 10)
	server := &connector.Server{Listener: listener}
	connector.Handle(server, MethodUpstreamBatch, func(_ context.Context, _ connector.Peer, m *messages.UpstreamBatch) (*messages.UpstreamBatchResponse, error) {
		received <- m.GetFrom()
		return &messages.UpstreamBatchResponse{}, nil
	})
	go func() { _ = server.Run(t.Context()) }()
	o := &outbox{client: &connector.Client{}}
	queue := make(chan peerMessage, sendQueueSize)
	for _, from := range []string{"\xff", "first", "second"} {
		queue <- peerMessage{batch: &messages.UpstreamBatch{From: from}}
	}
	go o.deliver(t.Context(), listener.Addr().String(), queue)
	for _, want := range []string{"first", "second"} {
		select {
		case got := <-received:
			if got != want {
				t.Errorf("batch: got that of %q, want %q", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("batch of %q: got none, want it behind one that cannot be encoded", want)
		}
	}
}

// Guards against a departure that the next leader never hears of, as it was cut off when that was acknowledged.
func TestDepartureReachesALeaderThatWasCutOff(t *testing.T) {
	f := newControlFleet(t, 2)
	f.reset()
	f.publishAll()
	none := func(int) bool { return false }
	e := &soundEngine{registration: enroller.Registration{
		ID:      "i-0",
		Service: "s",
		Address: "10.0.0.1:80",
		Slots:   8,
		State:   enroller.Ready,
	}}
	f.announceState(0, e, enroller.Ready, none)
	f.spread(0, none)
	f.announceState(0, e, enroller.Gone, func(to int) bool { return to == 2 })
	if len(f.left) == 0 {
		t.Fatal("deregistration: got no acknowledgement, want one of the leader and a majority")
	}
	f.spread(0, func(to int) bool { return to == 2 })
	f.replaceLeader(2)
	if err := f.poll(0); err != nil {
		t.Fatal(err)
	}
	for _, u := range f.entries[0].table.Upstreams() {
		if u.State != enroller.Gone {
			t.Errorf("state at an entry that the next leader serves: got %v, want %v", u.State, enroller.Gone)
		}
	}
}

// Guards against an instance that has just started, knows no configuration yet, and takes a sound upstream for replaced by
// one of a service that calls are not for.
func TestInstanceWithoutConfigurationKeepsUpstreams(t *testing.T) {
	cases := map[string]*matcher.Configuration{
		"no configuration":    nil,
		"another service":     {Services: []matcher.Service{{Name: "s"}}},
		"no service any more": {},
	}
	for name, configuration := range cases {
		t.Run(name, func(t *testing.T) {
			_, c := newInstance(t)
			c.configuration = configuration
			r := enroller.Registration{
				ID:          "sound",
				Service:     "s",
				Address:     "10.0.0.1:80",
				Slots:       8,
				State:       enroller.Ready,
				Incarnation: 1,
			}
			c.handleAnnouncement(announcementReceived{registration: r})
			foreign := r
			foreign.ID, foreign.Service, foreign.Incarnation = "foreign", "other", 2
			c.handleAnnouncement(announcementReceived{registration: foreign})
			if !c.table.Holds("sound", 1, enroller.Ready) || c.table.Holds("sound", 1, enroller.Leaving) {
				t.Error("sound upstream: got it out of use, want it ready")
			}
		})
	}
}
