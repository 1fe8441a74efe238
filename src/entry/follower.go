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
	// alarmShare is the share of the fence without control after which peers are asked.
	alarmShare = 3
)

// follower tells control what this entry has in force and brings back what is
// newer, directly or by a relay, and keeps the lease to serve it.
type follower struct {
	settings    *parser.Settings
	client      *connector.Client
	coordinator *coordinator
	incarnation uint64
	view        *atomic.Pointer[messages.EntryView]
	stopping    *atomic.Bool
	// confirmed takes the time before which the view was surely not replaced.
	confirmed func(at time.Time)
	pusher    *distributor.Pusher
	// until is when the lease to serve ends.
	until *atomic.Pointer[time.Time]
	// news holds one wish for an early heartbeat.
	news chan struct{}

	// leader is the address to ask, "" while none is known.
	leader string
	next   int
	route  distributor.Route

	mu    sync.Mutex
	lease distributor.Lease
	// children are the entries that report through this one.
	children map[string]*child
}

// run sends heartbeats until ctx ends.
func (f *follower) run(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		f.beat(ctx)
		f.askPeers(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-f.news:
		}
	}
}

// hasNews lets the next heartbeat leave at once, so that the operator who waits
// for a change to be in force waits for no interval.
func (f *follower) hasNews() {
	select {
	case f.news <- struct{}{}:
	default:
	}
}

func (f *follower) beat(ctx context.Context) {
	relay := f.route.Target(distributor.Relays(f.view.Load(), f.settings.Name))
	if relay == nil {
		f.beatControl(ctx)
		return
	}
	f.route.Tried(f.beatRelay(ctx, relay.GetPeerAddress()))
}

func (f *follower) beatControl(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	heartbeat := f.heartbeat()
	heartbeat.Relayed = f.relayed()
	response := &messages.EntryHeartbeatResponse{}
	asked := time.Now()
	if err := f.client.Call(ctx, f.address(), control.MethodHeartbeat, heartbeat, response); err != nil {
		f.leader = ""
		f.next++
		return
	}
	if !response.GetIsLeader() {
		f.leader = f.controlAddress(units.Instance(response.GetLeader()))
		f.next++
		return
	}
	f.reported(heartbeat.GetRelayed())
	f.take(response.GetUpdate(), response.GetView())
	f.renew(distributor.ControlHeard{
		Asked:    asked,
		Accepted: units.Version(response.GetAcceptedVersion()),
	})
}

// beatRelay reports to a relay and returns whether it is in contact with control.
func (f *follower) beatRelay(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	response := &messages.EntryHeartbeatResponse{}
	asked := time.Now()
	if err := f.client.Call(ctx, address, distributor.MethodHeartbeat, f.heartbeat(), response); err != nil {
		return false
	}
	// A first configuration from a relay that is cut off could be older than one
	// that this entry had in force before it started again.
	if response.GetInContact() || f.coordinator.inForce.Load() > 0 {
		f.take(response.GetUpdate(), response.GetView())
	}
	if !response.GetInContact() {
		return false
	}
	f.renew(distributor.ControlHeard{
		Asked:    asked.Add(-time.Duration(response.GetContactAgeMs()) * time.Millisecond),
		Accepted: units.Version(response.GetAcceptedVersion()),
	})
	return true
}

func (f *follower) take(update *messages.ConfigurationUpdate, view *messages.EntryView) {
	if update != nil {
		f.coordinator.box <- configured{update: update}
	}
	f.follow(view)
}

// follow publishes a newer view; the number decides, since an answer of an
// earlier leader can arrive after that of a later one.
func (f *follower) follow(view *messages.EntryView) {
	for {
		held := f.view.Load()
		if view.GetNumber() <= held.GetNumber() {
			return
		}
		if f.view.CompareAndSwap(held, view) {
			f.coordinator.box <- viewed{view: view}
			return
		}
	}
}

// renew takes a contact into the lease and publishes its end.
func (f *follower) renew(event distributor.Event) {
	if heard, ok := event.(distributor.ControlHeard); ok {
		f.confirmed(heard.Asked)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	until := f.lease.Step(distributor.Holding{
		Entry:       f.settings.Name,
		Incarnation: f.incarnation,
		Version:     units.Version(f.coordinator.inForce.Load()),
		View:        f.view.Load(),
	}, event)
	f.until.Store(&until)
}

func (f *follower) controlAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lease.ControlAge(time.Now())
}

// controlAddress returns where this entry's settings say that a control instance
// is; the address that another instance knows it by need not be reachable from here.
func (f *follower) controlAddress(name units.Instance) string {
	for _, known := range f.settings.Control {
		if known.Name == name {
			return known.Address
		}
	}
	return ""
}

func (f *follower) address() string {
	if f.leader != "" {
		return f.leader
	}
	return f.settings.Control[f.next%len(f.settings.Control)].Address
}

func (f *follower) heartbeat() *messages.EntryHeartbeat {
	return &messages.EntryHeartbeat{
		Entry:          string(f.settings.Name),
		DataCentre:     string(f.settings.DataCentre),
		PeerAddress:    f.settings.Peers.Listen,
		Incarnation:    f.incarnation,
		VersionInForce: f.coordinator.inForce.Load(),
		Fenced:         fenced(f.until),
		ViewNumber:     f.view.Load().GetNumber(),
		Stopping:       f.stopping.Load(),
	}
}

// fenced reports whether the lease to serve has ended. A process that wakes from
// a freeze finds it so before it takes its first call.
func fenced(until *atomic.Pointer[time.Time]) bool {
	end := until.Load()
	return end == nil || !time.Now().Before(*end)
}
