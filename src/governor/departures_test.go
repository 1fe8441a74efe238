package governor

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against departures that are acknowledged and do not reach an entry that polls the leader, whatever other writers
// announce and whichever messages between control instances are lost.
func TestAcknowledgedDeparturesReachEntries(t *testing.T) {
	f := newControlFleet(t, 2)
	rapid.Check(t, func(rt *rapid.T) {
		f.reset()
		f.publishAll()
		// Where instances forget what they knew, a departure that a bare majority holds may be lost with two of them.
		lastStep := rapid.SampledFrom([]string{"restart", "new leader", "kill of the leader"}).Draw(rt, "fault")
		killed := false
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
			case "kill of the leader":
				if !killed {
					f.killLeader(max(1, at))
					killed = true
				}
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

// Guards against a departure that the next leader never hears of, as it was cut off when that was acknowledged; the instance
// that received it is the one that led, and may be lost with it.
func TestDepartureReachesALeaderThatWasCutOff(t *testing.T) {
	f := newControlFleet(t, 2)
	none := func(int) bool { return false }
	toTheLast := func(to int) bool { return to == 2 }
	cases := map[string]func(){
		"the former leader runs": func() {
			f.spread(0, toTheLast)
			f.replaceLeader(2)
		},
		"the former leader is lost": func() { f.killLeader(2) },
	}
	for name, replace := range cases {
		t.Run(name, func(t *testing.T) {
			f.reset()
			f.publishAll()
			e := &soundEngine{registration: enroller.Registration{
				ID:      "i-0",
				Service: "s",
				Address: "10.0.0.1:80",
				Slots:   8,
				State:   enroller.Ready,
			}}
			f.announceState(0, e, enroller.Ready, none)
			f.spread(0, none)
			f.announceState(0, e, enroller.Gone, toTheLast)
			if len(f.left) == 0 {
				t.Fatal("deregistration: got no acknowledgement, want one of the leader and a majority")
			}
			replace()
			if err := f.poll(0); err != nil {
				t.Fatal(err)
			}
			for _, u := range f.entries[0].table.Upstreams() {
				if u.State != enroller.Gone {
					t.Errorf("state at an entry that the next leader serves: got %v, want %v", u.State, enroller.Gone)
				}
			}
		})
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
