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
	// childExpiry is how long an entry remains a child after its last heartbeat.
	childExpiry    = 2 * time.Second
	contactTimeout = 300 * time.Millisecond
	// maxConcurrentContacts bounds the contact requests to peers that are in flight at once.
	maxConcurrentContacts = 64
)

// childEntry is an entry that reports through this one.
type childEntry struct {
	heartbeat  *messages.EntryHeartbeat
	receivedAt time.Time
	// reported is set once control has received the heartbeat.
	reported bool
}

// register registers the handlers for requests of control and of other entries.
func (c *controlClient) register(server *connector.Server) {
	if server.AllowedRoles == nil {
		server.AllowedRoles = make(map[connector.Method][]certifier.Role)
	}
	server.AllowedRoles[distributor.MethodHeartbeat] = []certifier.Role{certifier.Entry}
	server.AllowedRoles[distributor.MethodContact] = []certifier.Role{certifier.Entry}
	server.AllowedRoles[distributor.MethodUpdate] = []certifier.Role{certifier.Control, certifier.Entry}
	connector.Handle(server, distributor.MethodHeartbeat, c.onHeartbeat)
	connector.Handle(server, distributor.MethodContact, c.onContact)
	connector.Handle(server, distributor.MethodUpdate, c.onUpdate)
}

// onHeartbeat answers a child on behalf of control. The child's lease counts from this entry's
// own contact with control, so a relay that is cut off renews no lease.
func (c *controlClient) onHeartbeat(_ context.Context, peer connector.Peer, heartbeat *messages.EntryHeartbeat) (*messages.EntryHeartbeatResponse, error) {
	if err := peer.RequireName(certifier.Entry, heartbeat.GetEntry()); err != nil {
		return nil, err
	}
	now := time.Now()
	c.mu.Lock()
	if c.children == nil {
		c.children = make(map[string]*childEntry)
	}
	if last := c.children[heartbeat.GetEntry()]; last != nil && last.heartbeat.GetVersionInForce() < heartbeat.GetVersionInForce() {
		c.requestHeartbeat()
	}
	c.children[heartbeat.GetEntry()] = &childEntry{
		heartbeat:  heartbeat,
		receivedAt: now,
	}
	age := c.lease.ControlContactAge(now)
	c.mu.Unlock()
	source := c.coordinator.source.Load()
	response := &messages.EntryHeartbeatResponse{
		AcceptedVersion: uint64(source.Version()),
		Update:          source.Update(units.Version(heartbeat.GetVersionInForce())),
		// A relay that is cut off reports it early: its children need the rest of their leases to
		// find another way to control.
		InContact: age < c.settings.Timing.FenceTimeout/peerContactDivisor,
	}
	if response.GetInContact() {
		response.ContactAgeMs = uint64(age.Milliseconds()) + 1
	}
	if view := c.view.Load(); heartbeat.GetViewNumber() < view.GetNumber() {
		response.View = view
	}
	return response, nil
}

// onUpdate applies a pushed version; an older one changes nothing.
func (c *controlClient) onUpdate(_ context.Context, _ connector.Peer, update *messages.ConfigurationUpdate) (*messages.ConfigurationPushResponse, error) {
	c.applyNewer(update, nil)
	return &messages.ConfigurationPushResponse{
		VersionInForce: c.coordinator.versionInForce.Load(),
	}, nil
}

// onContact reports to a peer what this entry has, and sends it what it lacks. A peer without any
// version gets none here: it must receive the newest from control.
func (c *controlClient) onContact(_ context.Context, _ connector.Peer, contact *messages.PeerContact) (*messages.PeerContactResponse, error) {
	response := &messages.PeerContactResponse{
		Entry:          string(c.settings.Name),
		Incarnation:    c.incarnation,
		VersionInForce: c.coordinator.versionInForce.Load(),
		ViewNumber:     c.view.Load().GetNumber(),
	}
	if contact.GetVersionInForce() > 0 {
		response.Update = c.coordinator.source.Load().Update(units.Version(contact.GetVersionInForce()))
	}
	if view := c.view.Load(); contact.GetViewNumber() < view.GetNumber() {
		response.View = view
	}
	return response, nil
}

// unreportedHeartbeats returns the children's heartbeats that control has not received.
func (c *controlClient) unreportedHeartbeats() []*messages.EntryHeartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unreported []*messages.EntryHeartbeat
	for name, child := range c.children {
		if time.Since(child.receivedAt) > childExpiry {
			delete(c.children, name)
			continue
		}
		if !child.reported {
			unreported = append(unreported, child.heartbeat)
		}
	}
	return unreported
}

// markReported records that control has received these heartbeats.
func (c *controlClient) markReported(heartbeats []*messages.EntryHeartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, heartbeat := range heartbeats {
		if child := c.children[heartbeat.GetEntry()]; child != nil && child.heartbeat == heartbeat {
			child.reported = true
		}
	}
}

// pushToChildren pushes a new version to the children.
func (c *controlClient) pushToChildren(ctx context.Context) {
	c.requestHeartbeat()
	source := c.coordinator.source.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, child := range c.children {
		c.pusher.Push(ctx, child.heartbeat.GetPeerAddress(), source.Update(units.Version(child.heartbeat.GetVersionInForce())))
	}
}

// contactPeers contacts the entries of the view once control has been out of reach for the lease
// duration divided by peerContactDivisor. While control is in reach, no peer is contacted.
func (c *controlClient) contactPeers(ctx context.Context) {
	view := c.view.Load()
	if c.controlContactAge() < c.settings.Timing.FenceTimeout/peerContactDivisor || c.coordinator.versionInForce.Load() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	sentAt := time.Now()
	responses := make([]*messages.PeerContactResponse, len(view.GetMembers()))
	group := &errgroup.Group{}
	group.SetLimit(maxConcurrentContacts)
	for i, member := range view.GetMembers() {
		if member.GetEntry() == string(c.settings.Name) {
			continue
		}
		group.Go(func() error {
			responses[i] = c.contactPeer(ctx, member.GetPeerAddress(), view.GetNumber())
			return nil
		})
	}
	_ = group.Wait()
	for _, response := range responses {
		c.applyNewer(response.GetUpdate(), response.GetView())
	}
	c.renewLease(distributor.PeersResponded{
		SentAt:    sentAt,
		Responses: responses,
	})
}

// contactPeer returns a peer's response, nil if there was none.
func (c *controlClient) contactPeer(ctx context.Context, address string, view uint64) *messages.PeerContactResponse {
	response := &messages.PeerContactResponse{}
	err := c.client.Call(ctx, address, distributor.MethodContact, &messages.PeerContact{
		VersionInForce: c.coordinator.versionInForce.Load(),
		ViewNumber:     view,
	}, response)
	if err != nil {
		return nil
	}
	return response
}
