package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/distributor"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// childExpiry is how long an entry is a child after its last heartbeat.
	childExpiry    = 2 * time.Second
	contactTimeout = 300 * time.Millisecond
	// mostContacts bounds the questions to peers that are under way at once.
	mostContacts = 64
)

// child is an entry that reports through this one.
type child struct {
	heartbeat *messages.EntryHeartbeat
	at        time.Time
	// reported says that control has had the heartbeat.
	reported bool
}

// serve registers what this entry answers to control and to other entries.
func (f *follower) serve(server *connector.Server) {
	if server.Allowed == nil {
		server.Allowed = make(map[connector.Method][]certifier.Role)
	}
	server.Allowed[distributor.MethodHeartbeat] = []certifier.Role{certifier.Entry}
	server.Allowed[distributor.MethodContact] = []certifier.Role{certifier.Entry}
	server.Allowed[distributor.MethodUpdate] = []certifier.Role{certifier.Control, certifier.Entry}
	connector.Handle(server, distributor.MethodHeartbeat, f.onHeartbeat)
	connector.Handle(server, distributor.MethodContact, f.onContact)
	connector.Handle(server, distributor.MethodUpdate, f.onUpdate)
}

// onHeartbeat answers a child in control's place; the child's lease counts from
// this entry's own contact, so that a relay that is cut off renews nobody's.
func (f *follower) onHeartbeat(_ context.Context, peer connector.Peer, heartbeat *messages.EntryHeartbeat) (*messages.EntryHeartbeatResponse, error) {
	if err := peer.Speaks(certifier.Entry, heartbeat.GetEntry()); err != nil {
		return nil, err
	}
	now := time.Now()
	f.mu.Lock()
	if f.children == nil {
		f.children = make(map[string]*child)
	}
	if last := f.children[heartbeat.GetEntry()]; last != nil && last.heartbeat.GetVersionInForce() < heartbeat.GetVersionInForce() {
		f.hasNews()
	}
	f.children[heartbeat.GetEntry()] = &child{
		heartbeat: heartbeat,
		at:        now,
	}
	age := f.lease.ControlAge(now)
	f.mu.Unlock()
	source := f.coordinator.source.Load()
	response := &messages.EntryHeartbeatResponse{
		AcceptedVersion: uint64(source.Version()),
		Update:          source.Update(units.Version(heartbeat.GetVersionInForce())),
		// A relay that is cut off says so early: its children need the rest of their
		// leases to find another way.
		InContact: age < f.settings.Timing.Fence/alarmShare,
	}
	if response.GetInContact() {
		response.ContactAgeMs = uint64(age.Milliseconds()) + 1
	}
	if view := f.view.Load(); heartbeat.GetViewNumber() < view.GetNumber() {
		response.View = view
	}
	return response, nil
}

// onUpdate takes a pushed version; an older one changes nothing.
func (f *follower) onUpdate(_ context.Context, _ connector.Peer, update *messages.ConfigurationUpdate) (*messages.ConfigurationPushResponse, error) {
	f.take(update, nil)
	return &messages.ConfigurationPushResponse{
		VersionInForce: f.coordinator.inForce.Load(),
	}, nil
}

// onContact tells a peer what this entry has, and gives it what it lacks. A peer
// without any version gets none here: it is to hear the newest from control.
func (f *follower) onContact(_ context.Context, _ connector.Peer, contact *messages.PeerContact) (*messages.PeerContactResponse, error) {
	response := &messages.PeerContactResponse{
		Entry:          string(f.settings.Name),
		Incarnation:    f.incarnation,
		VersionInForce: f.coordinator.inForce.Load(),
		ViewNumber:     f.view.Load().GetNumber(),
	}
	if contact.GetVersionInForce() > 0 {
		response.Update = f.coordinator.source.Load().Update(units.Version(contact.GetVersionInForce()))
	}
	if view := f.view.Load(); contact.GetViewNumber() < view.GetNumber() {
		response.View = view
	}
	return response, nil
}

// relayed returns the children's heartbeats that control has not had.
func (f *follower) relayed() []*messages.EntryHeartbeat {
	f.mu.Lock()
	defer f.mu.Unlock()
	var fresh []*messages.EntryHeartbeat
	for name, c := range f.children {
		if time.Since(c.at) > childExpiry {
			delete(f.children, name)
			continue
		}
		if !c.reported {
			fresh = append(fresh, c.heartbeat)
		}
	}
	return fresh
}

// reported notes that control has had these heartbeats.
func (f *follower) reported(heartbeats []*messages.EntryHeartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, heartbeat := range heartbeats {
		if c := f.children[heartbeat.GetEntry()]; c != nil && c.heartbeat == heartbeat {
			c.reported = true
		}
	}
}

// pushDown sends a new version on to the children.
func (f *follower) pushDown(ctx context.Context) {
	f.hasNews()
	source := f.coordinator.source.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.children {
		f.pusher.Push(ctx, c.heartbeat.GetPeerAddress(), source.Update(units.Version(c.heartbeat.GetVersionInForce())))
	}
}

// askPeers asks the entries of the view once control has been out of reach for a
// part of the fence. Calm entries ask nobody.
func (f *follower) askPeers(ctx context.Context) {
	view := f.view.Load()
	if f.controlAge() < f.settings.Timing.Fence/alarmShare || f.coordinator.inForce.Load() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	asked := time.Now()
	answers := make([]*messages.PeerContactResponse, len(view.GetMembers()))
	group := &errgroup.Group{}
	group.SetLimit(mostContacts)
	for i, member := range view.GetMembers() {
		if member.GetEntry() == string(f.settings.Name) {
			continue
		}
		group.Go(func() error {
			answers[i] = f.askPeer(ctx, member.GetPeerAddress(), view.GetNumber())
			return nil
		})
	}
	_ = group.Wait()
	for _, answer := range answers {
		f.take(answer.GetUpdate(), answer.GetView())
	}
	f.renew(distributor.PeersHeard{
		Asked:   asked,
		Answers: answers,
	})
}

// askPeer returns a peer's answer, nil where there was none.
func (f *follower) askPeer(ctx context.Context, address string, view uint64) *messages.PeerContactResponse {
	answer := &messages.PeerContactResponse{}
	err := f.client.Call(ctx, address, distributor.MethodContact, &messages.PeerContact{
		VersionInForce: f.coordinator.inForce.Load(),
		ViewNumber:     view,
	}, answer)
	if err != nil {
		return nil
	}
	return answer
}
