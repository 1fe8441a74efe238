package entry

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/distributor"
	"github.com/rosecroft/rosecroft/src/explainer"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/inspector"
	"github.com/rosecroft/rosecroft/src/limiter"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/recorder"
	"github.com/rosecroft/rosecroft/src/server"
	"github.com/rosecroft/rosecroft/src/units"
)

// Entry is one entry process; its fields are set before Run.
type Entry struct {
	Settings *parser.Settings
	Log      zerolog.Logger
	Meter    *meter.Meter
	Client   *connector.Client
	// The listeners are bound to the addresses in the settings.
	Callers   net.Listener
	Upstreams net.Listener
	Operators net.Listener
	Peers     net.Listener
	// Certificates is nil only in tests.
	Certificates *certifier.Certifier

	snapshot    atomic.Pointer[indexer.Snapshot]
	view        atomic.Pointer[messages.EntryView]
	coordinator *coordinator
	traffic     *traffic
	shares      *shares
	stopping    atomic.Bool
	incarnation units.Incarnation
	recorder    *recorder.Recorder
	book        explainer.Book
	// until is when the lease to serve ends.
	until    atomic.Pointer[time.Time]
	follower *follower
	callers  *server.Server
	// leaving is set once the last call has ended; control then drops this entry.
	leaving atomic.Bool
}

// Run serves until ctx ends and the calls under way have finished.
func (e *Entry) Run(ctx context.Context) error {
	e.build()
	// The parts serve until the last call has its answer, which is after ctx has
	// ended.
	lasting, stopLasting := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLasting()
	group, lasting := errgroup.WithContext(lasting)
	e.coordinator.changed = func() { e.follower.pushDown(lasting) }
	for _, part := range e.parts() {
		group.Go(func() error { return part(lasting) })
	}
	group.Go(func() error {
		defer stopLasting()
		return e.serveCallers(ctx, lasting)
	})
	e.Log.Info().
		Str("callers", e.Callers.Addr().String()).
		Str("upstreams", e.Upstreams.Addr().String()).
		Str("operators", e.Operators.Addr().String()).
		Msg("started")
	return group.Wait()
}

// build makes the parts and ties them together.
func (e *Entry) build() {
	e.incarnation = units.Incarnation(time.Now().UnixNano())
	e.coordinator = newCoordinator(e.Settings, e.Log, &e.snapshot, &e.view)
	e.coordinator.messenger = newMessenger(e.Client, e.coordinator.box, e.Meter.Scope)
	e.shares = newShares(e.Client, e.View, e.Settings.Name, uint64(e.incarnation), e.Settings.Timing.Fence)
	e.shares.limiter = &limiter.Limiter{
		Snapshot:   &e.snapshot,
		Shares:     e.shares,
		EntryCount: func() int { return len(e.View().GetMembers()) },
		Scope:      e.Meter.Scope,
	}
	e.traffic = newTraffic(e)
	e.coordinator.departed = e.traffic.departed
	e.coordinator.cacheChanged = e.traffic.router.Cached
	e.recorder = e.newRecorder()
	e.callers = e.callerServer()
	e.follower = e.newFollower()
}

// parts returns the loops that run beside the calls, each until its context ends.
func (e *Entry) parts() []func(context.Context) error {
	return []func(context.Context) error{
		e.coordinator.run,
		e.coordinator.messenger.run,
		e.follower.run,
		e.reporter().run,
		e.receptionist().run,
		e.operatorServer().Run,
		e.peerServer().Run,
		e.recorder.Run,
		e.Certificates.Run,
		e.traffic.reclaimer.Run,
		e.shares.run,
	}
}

// serveCallers serves until the planned stop or the failure of another part.
func (e *Entry) serveCallers(ctx, lasting context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(lasting, cancel)()
	defer context.AfterFunc(ctx, func() { e.stopping.Store(true) })()
	if err := e.callers.Run(ctx); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	e.drainRecord(ctx)
	e.leaveView(ctx)
	e.Log.Info().Msg("drained")
	return nil
}

// View returns the newest entry view that control has committed, nil before the first.
func (e *Entry) View() *messages.EntryView { return e.view.Load() }

// ready says whether the balancer should send calls here. Without the record the
// entry would refuse every call that may not be repeated, so that callers saw
// refusals just after each start.
func (e *Entry) ready() bool {
	return !e.stopping.Load() && e.snapshot.Load() != nil && e.recorder.Ready() && !fenced(&e.until) &&
		e.shares.ready() && e.shares.limiter.Ready()
}

func (e *Entry) callerServer() *server.Server {
	return &server.Server{
		Listener:  e.Callers,
		TLS:       e.Certificates.Callers(),
		Log:       e.Log,
		Scope:     e.Meter.Scope,
		Snapshot:  &e.snapshot,
		Explainer: &e.book,
		Dispatcher: &dispatcher.Dispatcher{
			Limiter:   e.shares.limiter,
			Budget:    &limiter.RetryBudget{},
			Recorder:  e.recorder,
			Router:    e.traffic.router,
			Exchanger: e.traffic.forwarder,
			Observer:  e.traffic.router,
		},
		Ready:      e.ready,
		Drain:      e.Settings.Timing.Drain,
		UnreadyFor: unreadyFor,
		Adopter:    e,
		Records:    e.recorder,
	}
}

// peerServer answers the other processes of the system.
func (e *Entry) peerServer() *connector.Server {
	server := &connector.Server{
		Listener: e.Peers,
		TLS:      e.Certificates.Peers(),
		Traffic:  e.Client.Traffic,
	}
	connector.Handle(server, MethodGossip, e.onGossip)
	connector.Handle(server, MethodShare, e.shares.onShare)
	e.recorder.Handle(server)
	e.follower.serve(server)
	e.handleAdoption(server)
	return server
}

// reporter tells control of the upstreams that this entry hears.
func (e *Entry) reporter() *reporter {
	return &reporter{
		client:      e.Client,
		coordinator: e.coordinator,
		entry:       e.Settings.Name,
		incarnation: uint64(e.incarnation),
		controls:    e.Settings.Control,
	}
}

func (e *Entry) newFollower() *follower {
	return &follower{
		settings:    e.Settings,
		client:      e.Client,
		coordinator: e.coordinator,
		incarnation: uint64(e.incarnation),
		confirmed:   e.shares.confirm,
		view:        &e.view,
		stopping:    &e.leaving,
		pusher: &distributor.Pusher{
			Client: e.Client,
		},
		until: &e.until,
		news:  make(chan struct{}, 1),
		lease: distributor.Lease{
			Fence: e.Settings.Timing.Fence,
		},
	}
}

func (e *Entry) receptionist() *receptionist {
	return &receptionist{
		listener:    e.Upstreams,
		tls:         e.Certificates.Upstreams(),
		coordinator: e.coordinator,
	}
}

func (e *Entry) operatorServer() *inspector.Inspector {
	return &inspector.Inspector{
		Listener: e.Operators,
		TLS:      e.Certificates.Operators(),
		Dump:     e.dump,
		Explain:  e.explain,
		Ready:    e.ready,
		Metrics:  e.Meter.Handler,
	}
}

func (e *Entry) dump(ctx context.Context) (any, error) {
	reply := make(chan *Dump, 1)
	e.coordinator.box <- dumped{reply: reply}
	select {
	case dump := <-reply:
		dump.View = e.View().GetNumber()
		dump.Fenced = fenced(&e.until)
		return e.dumpRecord(ctx, dump)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (e *Entry) explain(call units.CallID) (any, bool) {
	explanation := e.book.Explain(call)
	return explanation, explanation != nil
}
