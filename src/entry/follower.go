package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/control"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	heartbeatTimeout  = 500 * time.Millisecond
)

// follower tells control what this entry has in force and brings back what is newer.
type follower struct {
	settings    *parser.Settings
	client      *connector.Client
	coordinator *coordinator
	incarnation uint64
	view        *atomic.Pointer[messages.EntryView]
	stopping    *atomic.Bool
	reporter    *reporter
	// leader is the address to ask, "" while none is known.
	leader string
	next   int
}

// run sends heartbeats until ctx ends.
func (f *follower) run(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		f.beat(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (f *follower) beat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	response := &messages.EntryHeartbeatResponse{}
	err := f.client.Call(ctx, f.address(), control.MethodHeartbeat, f.heartbeat(), response)
	if err != nil {
		f.leader = ""
		f.next++
		return
	}
	if !response.GetIsLeader() {
		f.leader = response.GetLeaderAddress()
		f.next++
		return
	}
	if len(response.GetDocument()) > 0 {
		f.coordinator.box <- configured{document: response.GetDocument()}
	}
	f.follow(response.GetView())
	f.reporter.report(ctx, f.address())
}

// follow publishes a newer view; the number decides, since an answer of an
// earlier leader can arrive after that of a later one.
func (f *follower) follow(view *messages.EntryView) {
	if view.GetNumber() > f.view.Load().GetNumber() {
		f.view.Store(view)
		f.coordinator.box <- viewed{view: view}
	}
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
		ViewNumber:     f.view.Load().GetNumber(),
		Stopping:       f.stopping.Load(),
	}
}
