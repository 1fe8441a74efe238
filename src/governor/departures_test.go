package governor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// departureMachine draws what happens to engines that leave and to control instances; its exported methods are the actions
// that rapid chooses from.
type departureMachine struct {
	fleet *replicatedFleet
	sound []*soundEngine
	// late are heartbeats that may arrive at any time.
	late []enroller.Registration
	// disks is how many disks may still be lost.
	disks int
}

func (m *departureMachine) instance(t *rapid.T) *fleetMember {
	return m.fleet.members[rapid.IntRange(0, len(m.fleet.members)-1).Draw(t, "instance")]
}

func (m *departureMachine) engine(t *rapid.T) *soundEngine {
	return m.sound[rapid.IntRange(0, len(m.sound)-1).Draw(t, "engine")]
}

func (m *departureMachine) Heartbeat(t *rapid.T) {
	e := m.engine(t)
	m.fleet.announceState(m.instance(t), e, e.registration.State)
}

func (m *departureMachine) Drain(t *rapid.T) {
	m.fleet.announceState(m.instance(t), m.engine(t), enroller.Leaving)
}

func (m *departureMachine) Deregister(t *rapid.T) {
	m.fleet.announceState(m.instance(t), m.engine(t), enroller.Gone)
}

func (m *departureMachine) Foreign(t *rapid.T) {
	m.fleet.announce(m.instance(t), drawForeign(t, m.sound))
}

func (m *departureMachine) LateHeartbeat(t *rapid.T) {
	m.fleet.announce(m.instance(t), m.late[rapid.IntRange(0, len(m.late)-1).Draw(t, "heartbeat")])
}

func (m *departureMachine) Time(t *rapid.T) {
	m.fleet.run(time.Duration(rapid.IntRange(20, 1500).Draw(t, "ms")) * time.Millisecond)
}

func (m *departureMachine) Entry(*rapid.T) { m.fleet.addEntry() }

func (m *departureMachine) Kill(t *rapid.T) { m.instance(t).kill() }

func (m *departureMachine) Start(*rapid.T) { m.fleet.startAll() }

func (m *departureMachine) KillAll(*rapid.T) { m.fleet.killAll() }

func (m *departureMachine) CutOff(t *rapid.T) { m.instance(t).isCutOff = true }

func (m *departureMachine) Heal(*rapid.T) { m.fleet.heal() }

func (m *departureMachine) LoseDisk(t *rapid.T) {
	if m.disks > 0 {
		m.disks--
		m.instance(t).loseDisk()
	}
}

func (m *departureMachine) Check(t *rapid.T) {
	if found, err := m.fleet.usedAfterDeparture(); found != "" || err != nil {
		t.Fatalf("upstreams in use after their departure was acknowledged: got %s (%v), want none", found, err)
	}
}

// Guards against departures that are acknowledged and lost: by an entry that polls the leader, by the next leader, or by all
// processes, whichever messages between control instances are lost and as many disks as may be.
func TestAcknowledgedDeparturesReachEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		instances := rapid.SampledFrom([]int{1, 3, 5}).Draw(rt, "instances")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		f := newReplicatedFleet(t, instances, random)
		lossRate := rapid.SampledFrom([]float64{0, 0, 0.1, 0.4}).Draw(rt, "lost messages")
		f.isLost = func(_, _ *fleetMember) bool { return random.Float64() < lossRate }
		m := &departureMachine{
			fleet: f,
			disks: (instances - 1) / 2,
		}
		hasIncarnations := rapid.Bool().Draw(rt, "incarnations")
		for n := range 3 {
			e := newSoundEngine(n)
			if hasIncarnations {
				e.registration.Incarnation = units.Incarnation(100 + n)
			}
			m.sound = append(m.sound, e)
			m.late = append(m.late, e.next(enroller.Ready))
			f.announceState(f.members[n%instances], e, enroller.Ready)
		}
		rt.Repeat(rapid.StateMachineActions(m))
		f.isLost = func(_, _ *fleetMember) bool { return false }
		f.heal()
		f.startAll()
		f.awaitLeader()
		f.addEntry()
		for _, r := range m.late {
			f.announce(m.instance(rt), r)
		}
		f.run(time.Second)
		f.awaitLeader()
		m.Check(rt)
	})
}

// Guards against deregistrations that are acknowledged by an instance that knows less of the upstream than the leader.
func TestDeregistrationsAtInstancesThatAreBehind(t *testing.T) {
	cases := map[string]struct {
		born units.Incarnation
		// missed is how many heartbeats reach the leader alone.
		missed int
		// forgets is set where the instance has lost its disk.
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
			f := newReplicatedFleet(t, 3, rand.New(rand.NewPCG(1, 0)))
			leader, other := f.leader(), f.followers()[0]
			e := newSoundEngine(0)
			e.registration.Incarnation = c.born
			f.announceState(leader, e, enroller.Ready)
			f.run(time.Second)
			// The batches of the leader are lost; the messages of the log are as few as arrive.
			f.isBatchLost = true
			for range c.missed {
				f.announceState(leader, e, enroller.Ready)
				f.run(100 * time.Millisecond)
			}
			if c.forgets {
				other.loseDisk()
				f.run(3 * time.Second)
			}
			if err := f.pollAll(); err != nil {
				t.Fatal(err)
			}
			if !f.announceState(other, e, enroller.Gone) {
				t.Error("acknowledged: got false, want true as all instances respond")
			}
			found, err := f.usedAfterDeparture()
			if found != "" || err != nil {
				t.Errorf("in use after the acknowledgement: got %s (%v), want none", found, err)
			}
		})
	}
}

// Guards against a departure that is acknowledged though it is on too few disks: the leader, or the instance that receives
// it, is suspended or killed right after its reply.
func TestDepartureIsCommittedBeforeAcknowledgement(t *testing.T) {
	cases := map[string]struct {
		// toFollower is set where the upstream announces its departure to an instance that does not lead.
		toFollower bool
		// cutOff are the followers that are cut off, of four.
		cutOff []int
		// leaderCutOff is set where the leader is.
		leaderCutOff bool
		// isNew is set where nobody has noticed the cut yet.
		isNew bool
		want  bool
	}{
		"all instances":                          {want: true},
		"at a follower":                          {toFollower: true, want: true},
		"a majority":                             {cutOff: []int{2, 3}, want: true},
		"a majority, at a follower":              {toFollower: true, cutOff: []int{2, 3}, want: true},
		"a minority":                             {cutOff: []int{1, 2, 3}},
		"a minority, at a follower":              {toFollower: true, cutOff: []int{1, 2, 3}},
		"a minority has just been left":          {cutOff: []int{1, 2, 3}, isNew: true},
		"the leader alone":                       {cutOff: []int{0, 1, 2, 3}},
		"the leader has just been left alone":    {cutOff: []int{0, 1, 2, 3}, isNew: true},
		"the leader has just been cut off":       {toFollower: true, leaderCutOff: true, isNew: true},
		"the leader was cut off, another leads":  {toFollower: true, leaderCutOff: true, want: true},
		"at a follower that is cut off itself":   {toFollower: true, cutOff: []int{0}},
		"at a follower, all others are cut off":  {toFollower: true, cutOff: []int{1, 2, 3}, leaderCutOff: true},
		"at the leader, which is alone for long": {cutOff: []int{0, 1, 2, 3}, leaderCutOff: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newReplicatedFleet(t, 5, rand.New(rand.NewPCG(2, 0)))
			leader, followers := f.leader(), f.followers()
			at := leader
			if c.toFollower {
				at = followers[0]
			}
			e := newSoundEngine(0)
			f.announceState(leader, e, enroller.Ready)
			f.run(time.Second)
			for _, n := range c.cutOff {
				followers[n].isCutOff = true
			}
			leader.isCutOff = c.leaderCutOff
			if !c.isNew && (c.leaderCutOff || len(c.cutOff) > 0) {
				f.run(2 * time.Second)
			}
			if got := f.announceState(at, e, enroller.Leaving); got != c.want {
				t.Errorf("acknowledged: got %t, want %t", got, c.want)
			}
			if found, err := f.usedAfterDeparture(); found != "" || err != nil {
				t.Errorf("in use after the acknowledgement: got %s (%v), want none", found, err)
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

// Guards against a departure that the next leader does not know, as it was cut off when that was acknowledged.
func TestDepartureReachesALeaderThatWasCutOff(t *testing.T) {
	cases := map[string]func(former *fleetMember){
		"the former leader runs":       func(former *fleetMember) { former.isCutOff = true },
		"the former leader is killed":  (*fleetMember).kill,
		"the former leader's disk too": (*fleetMember).loseDisk,
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			f := newReplicatedFleet(t, 3, rand.New(rand.NewPCG(3, 0)))
			leader, followers := f.leader(), f.followers()
			e := newSoundEngine(0)
			late := e.next(enroller.Ready)
			f.announceState(leader, e, enroller.Ready)
			f.run(time.Second)
			followers[1].isCutOff = true
			if !f.announceState(leader, e, enroller.Gone) {
				t.Fatal("deregistration: got no acknowledgement, want one of the leader and a majority")
			}
			end(leader)
			followers[1].isCutOff = false
			f.run(2 * time.Second)
			f.awaitLeader()
			f.announce(followers[1], late)
			f.run(time.Second)
			f.addEntry()
			if found, err := f.usedAfterDeparture(); found != "" || err != nil {
				t.Errorf("in use at an entry that the next leader serves: got %s (%v), want none", found, err)
			}
		})
	}
}

// Guards against a departure that ends the incarnation which has taken the place of the one that left, and against one of an
// earlier incarnation that comes back after all processes were killed.
func TestDepartureOfOneIncarnation(t *testing.T) {
	f := newReplicatedFleet(t, 3, rand.New(rand.NewPCG(4, 0)))
	earlier, later := newSoundEngine(0), newSoundEngine(0)
	earlier.registration.Incarnation, later.registration.Incarnation = 100, 200
	late := earlier.next(enroller.Ready)
	f.announceState(f.members[0], earlier, enroller.Ready)
	f.announceState(f.members[1], later, enroller.Ready)
	f.run(time.Second)
	if !f.announce(f.members[2], enroller.NewDeparture(earlier.registration.ID, 100)) {
		t.Fatal("deregistration of the earlier incarnation: got no acknowledgement, want one")
	}
	for _, wantState := range []enroller.State{enroller.Ready, enroller.Gone} {
		if wantState == enroller.Gone {
			f.killAll()
			for _, m := range f.members {
				m.coordinator.table = &enroller.Table{Interval: time.Second, IsNamed: m.coordinator.namesService} // Of before the later one.
			}
			f.awaitLeader()
			f.addEntry()
			f.announce(f.members[0], late)
			f.run(time.Second)
		}
		if err := f.pollAll(); err != nil {
			t.Fatal(err)
		}
		for _, u := range f.entries[len(f.entries)-1].table.Upstreams() {
			if u.State != wantState {
				t.Errorf("upstream of incarnation %d: got %v, want %v", u.Incarnation, u.State, wantState)
			}
		}
	}
}

// Guards against a departure that is lost with the records that a snapshot has replaced.
func TestDeparturesOutliveASnapshot(t *testing.T) {
	f := newReplicatedFleet(t, 3, rand.New(rand.NewPCG(6, 0)))
	var late []enroller.Registration
	for n := range 2 * int(snapshotRecords) {
		e := newSoundEngine(n)
		late = append(late, e.next(enroller.Ready))
		if at := f.members[n%len(f.members)]; !f.announceState(at, e, enroller.Ready) || !f.announceState(at, e, enroller.Leaving) {
			t.Fatalf("departure %d: got no acknowledgement, want one", n)
		}
	}
	for _, m := range f.members {
		if m.disk.contents.Snapshot.GetIndex() < uint64(snapshotRecords) {
			t.Fatalf("snapshot of %s: got it at %d, want it after the first departures", m.settings.Name, m.disk.contents.Snapshot.GetIndex())
		}
		if err := os.RemoveAll(m.settings.DataFolder); err != nil { // The tables that were saved.
			t.Fatal(err)
		}
		if err := os.MkdirAll(m.settings.DataFolder, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	f.killAll()
	f.awaitLeader()
	f.addEntry()
	for _, r := range late {
		f.announce(f.members[0], r)
	}
	f.run(time.Second)
	if found, err := f.usedAfterDeparture(); found != "" || err != nil {
		t.Errorf("in use after the acknowledgement: got %s (%v), want none", found, err)
	}
}

// Guards against a sync of the disk for each of hundreds of upstreams that leave at the same moment.
func TestDeparturesAreCommittedTogether(t *testing.T) {
	const leaving = 600
	f := newReplicatedFleet(t, 3, rand.New(rand.NewPCG(5, 0)))
	leader := f.leader()
	var committed []<-chan declareReply
	for n := range leaving {
		e := newSoundEngine(n)
		leader.coordinator.handleAnnouncement(announcementReceived{registration: e.next(enroller.Ready)})
		committed = append(committed, leader.coordinator.handleAnnouncement(announcementReceived{registration: e.next(enroller.Leaving)}).committed)
	}
	f.run(100 * time.Millisecond)
	for n, c := range committed {
		select {
		case outcome := <-c:
			if !outcome.accepted {
				t.Errorf("departure %d: got it refused, want it accepted", n)
			}
		default:
			t.Fatalf("departure %d: got no outcome within 100 ms, want one", n)
		}
	}
	got := 0
	for _, record := range leader.disk.contents.Records {
		if record.GetCommand().GetDepartures() != nil {
			got++
		}
	}
	if want := 1 + leaving/maxDepartureBatch; got != want {
		t.Errorf("records of %d departures: got %d, want %d", leaving, got, want)
	}
}

// Guards against departures in the log without a bound, and against those that are kept for ever or dropped too soon.
func TestDeparturesInTheLogAreBounded(t *testing.T) {
	_, c := newLeader(t)
	c.isLeader(c.now())
	start := time.Unix(5000, 0)
	full := &messages.Departures{}
	for n := range maxDepartures {
		full.Departures = append(full.Departures, &messages.Departure{Upstream: fmt.Sprint(n), GoneBornMs: 1, AtNs: start.UnixNano()})
	}
	depart := func(id string, at time.Time) bool {
		reply := make(chan declareReply, 1)
		if !c.departures.commit(c.now(), &messages.Departure{Upstream: id, GoneBornMs: 1, AtNs: at.UnixNano()}, reply) {
			t.Fatal("commit: got false, want true at the leader")
		}
		if err := c.departures.tick(); err != nil {
			t.Fatal(err)
		}
		return (<-reply).accepted
	}
	c.state.applyDepartures(full.GetDepartures())
	c.now = func() time.Time { return start }
	c.estimator.Record(start, "other", start)
	c.estimator.Record(start, "third", start)
	if depart("more", start) {
		t.Error("one more than may be: got it accepted, want it refused")
	}
	if !depart("7", start) {
		t.Error("one that the log holds: got it refused, want it accepted")
	}
	later := start.Add(departureRetention + time.Second)
	c.now = func() time.Time { return later }
	c.estimator.Record(later, "other", later)
	c.estimator.Record(later, "third", later)
	if !c.departures.commit(later, &messages.Departure{Upstream: "later", GoneBornMs: 1, AtNs: later.UnixNano()}, make(chan declareReply, 1)) || len(c.departures.pending) != 1 {
		t.Error("one after the others have been kept for long enough: got it refused, want it proposed")
	}
	c.state.applyDepartures([]*messages.Departure{{Upstream: "later", GoneBornMs: 1, AtNs: later.UnixNano()}})
	if got, want := len(c.state.departures), 1; got != want {
		t.Errorf("departures in the log after %v: got %d, want %d", departureRetention, got, want)
	}
	content, err := c.state.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := &state{ledger: &aggregator.Ledger{WindowLength: time.Second}}
	if err := restored.restore(content); err != nil {
		t.Fatal(err)
	}
	if got := restored.departures["later"].GetGoneBornMs(); got != 1 {
		t.Errorf("incarnation of the departure in a snapshot: got %d, want 1", got)
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
