package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/control"
	"github.com/rosecroft/rosecroft/src/distributor"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	heartbeatTimeout  = 500 * time.Millisecond
	// peerContactDivisor sets when peers are contacted: after the lease duration divided by it
	// without contact with control.
	peerContactDivisor = 3
)

// controlClient reports to control what this entry has in force, fetches newer configurations and
// views, directly or through a relay, and renews the lease to serve.
type controlClient struct {
	settings    *parser.Settings
	client      *connector.Client
	coordinator *coordinator
	incarnation uint64
	view        *atomic.Pointer[messages.EntryView]
	stopping    *atomic.Bool
	// onViewConfirmed receives a time at which the view was certainly not yet replaced.
	onViewConfirmed func(at time.Time)
	pusher          *distributor.Pusher
	// leaseExpiry is when the lease to serve expires.
	leaseExpiry *atomic.Pointer[time.Time]
	// heartbeatRequests holds at most one request for an early heartbeat.
	heartbeatRequests chan struct{}

	// leader is the leader's address, "" if unknown.
	leader        string
	nextControl   int
	relaySelector distributor.RelaySelector

	mu    sync.Mutex
	lease distributor.Lease
	// children are the entries that report through this one.
	children map[string]*childEntry
}

// run sends heartbeats until ctx ends.
func (c *controlClient) run(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		c.sendHeartbeat(ctx)
		c.contactPeers(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.heartbeatRequests:
		}
	}
}

// requestHeartbeat makes the next heartbeat be sent at once, so that an operator who waits for a
// change to be in force does not wait for the interval.
func (c *controlClient) requestHeartbeat() {
	select {
	case c.heartbeatRequests <- struct{}{}:
	default:
	}
}

func (c *controlClient) sendHeartbeat(ctx context.Context) {
	relay := c.relaySelector.Target(distributor.Relays(c.view.Load(), c.settings.Name))
	if relay == nil {
		c.sendToControl(ctx)
		return
	}
	c.relaySelector.RecordResult(c.sendToRelay(ctx, relay.GetPeerAddress()))
}

func (c *controlClient) sendToControl(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	heartbeat := c.newHeartbeat()
	heartbeat.Relayed = c.unreportedHeartbeats()
	response := &messages.EntryHeartbeatResponse{}
	sentAt := time.Now()
	if err := c.client.Call(ctx, c.targetAddress(), control.MethodHeartbeat, heartbeat, response); err != nil {
		c.leader = ""
		c.nextControl++
		return
	}
	if !response.GetIsLeader() {
		c.leader = c.controlAddress(units.Instance(response.GetLeader()))
		c.nextControl++
		return
	}
	c.markReported(heartbeat.GetRelayed())
	c.applyNewer(response.GetUpdate(), response.GetView())
	c.renewLease(distributor.ControlConfirmed{
		SentAt:   sentAt,
		Accepted: units.Version(response.GetAcceptedVersion()),
	})
}

// sendToRelay reports to a relay and returns whether the relay is in contact with control.
func (c *controlClient) sendToRelay(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	response := &messages.EntryHeartbeatResponse{}
	sentAt := time.Now()
	if err := c.client.Call(ctx, address, distributor.MethodHeartbeat, c.newHeartbeat(), response); err != nil {
		return false
	}
	// A first configuration from a relay that is cut off could be older than the one that this
	// entry had in force before it restarted.
	if response.GetInContact() || c.coordinator.versionInForce.Load() > 0 {
		c.applyNewer(response.GetUpdate(), response.GetView())
	}
	if !response.GetInContact() {
		return false
	}
	c.renewLease(distributor.ControlConfirmed{
		SentAt:   sentAt.Add(-time.Duration(response.GetContactAgeMs()) * time.Millisecond),
		Accepted: units.Version(response.GetAcceptedVersion()),
	})
	return true
}

func (c *controlClient) applyNewer(update *messages.ConfigurationUpdate, view *messages.EntryView) {
	if update != nil {
		c.coordinator.events <- configurationReceived{update: update}
	}
	c.updateView(view)
}

// updateView stores a newer view. The view number decides, since a response of an earlier leader
// can arrive after that of a later one.
func (c *controlClient) updateView(view *messages.EntryView) {
	for {
		current := c.view.Load()
		if view.GetNumber() <= current.GetNumber() {
			return
		}
		if c.view.CompareAndSwap(current, view) {
			c.coordinator.events <- viewChanged{view: view}
			return
		}
	}
}

// renewLease applies a contact to the lease and publishes the lease's expiry.
func (c *controlClient) renewLease(event distributor.Event) {
	if confirmed, ok := event.(distributor.ControlConfirmed); ok {
		c.onViewConfirmed(confirmed.SentAt)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	expiry := c.lease.Step(distributor.EntryState{
		Entry:       c.settings.Name,
		Incarnation: c.incarnation,
		Version:     units.Version(c.coordinator.versionInForce.Load()),
		View:        c.view.Load(),
	}, event)
	c.leaseExpiry.Store(&expiry)
}

func (c *controlClient) controlContactAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.ControlContactAge(time.Now())
}

// controlAddress returns a control instance's address from this entry's settings. The address by
// which another instance knows it may not be reachable from here.
func (c *controlClient) controlAddress(name units.Instance) string {
	for _, configured := range c.settings.Control {
		if configured.Name == name {
			return configured.Address
		}
	}
	return ""
}

func (c *controlClient) targetAddress() string {
	if c.leader != "" {
		return c.leader
	}
	return c.settings.Control[c.nextControl%len(c.settings.Control)].Address
}

func (c *controlClient) newHeartbeat() *messages.EntryHeartbeat {
	return &messages.EntryHeartbeat{
		Entry:          string(c.settings.Name),
		DataCentre:     string(c.settings.DataCentre),
		PeerAddress:    c.settings.Peers.Address,
		Incarnation:    c.incarnation,
		VersionInForce: c.coordinator.versionInForce.Load(),
		Fenced:         isFenced(c.leaseExpiry),
		ViewNumber:     c.view.Load().GetNumber(),
		Stopping:       c.stopping.Load(),
	}
}

// isFenced reports whether the lease to serve has expired. A process that resumes from suspension
// sees this before it accepts its first call.
func isFenced(expiry *atomic.Pointer[time.Time]) bool {
	expiresAt := expiry.Load()
	return expiresAt == nil || !time.Now().Before(*expiresAt)
}
