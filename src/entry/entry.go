package entry

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rosecroft/rosecroft/src/admitter"
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

// Entry is one entry process. Its fields are set before Run.
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

	snapshot     atomic.Pointer[indexer.Snapshot]
	view         atomic.Pointer[messages.EntryView]
	coordinator  *coordinator
	traffic      *traffic
	relays       *relays
	shares       *shares
	stopping     atomic.Bool
	incarnation  units.Incarnation
	recorder     *recorder.Recorder
	explanations explainer.TraceStore
	// leaseExpiry is when the lease to serve expires.
	leaseExpiry   atomic.Pointer[time.Time]
	controlClient *controlClient
	callers       *server.Server
	// clients bounds what the clients of all listeners hold.
	clients *admitter.Admitter
	// leaving is set once the last call has ended; control then removes this entry from the view.
	leaving atomic.Bool
}

// Run serves until ctx ends and the calls in progress have finished.
func (e *Entry) Run(ctx context.Context) error {
	e.build()
	// The components run until the last call has its answer, which is after ctx has ended.
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	group, componentsCtx := errgroup.WithContext(componentsCtx)
	e.coordinator.onConfigurationChange = func() { e.controlClient.pushToChildren(componentsCtx) }
	for _, component := range e.components() {
		group.Go(func() error { return component(componentsCtx) })
	}
	group.Go(func() error {
		defer stopComponents()
		return e.serveCallers(ctx, componentsCtx)
	})
	e.Log.Info().
		Str("callers", e.Callers.Addr().String()).
		Str("upstreams", e.Upstreams.Addr().String()).
		Str("operators", e.Operators.Addr().String()).
		Msg("started")
	return group.Wait()
}

// build creates the components and connects them.
func (e *Entry) build() {
	e.incarnation = units.Incarnation(time.Now().UnixNano())
	e.coordinator = newCoordinator(e.Settings, e.Log, &e.snapshot, &e.view)
	e.coordinator.gossipSender = newGossipSender(e.Client, e.coordinator.events, e.Meter.Scope)
	e.shares = newShares(e.Client, e.View, e.Settings.Name, uint64(e.incarnation), e.Settings.Timing.FenceTimeout)
	e.shares.limiter = &limiter.Limiter{
		Snapshot:   &e.snapshot,
		Shares:     e.shares,
		EntryCount: func() int { return len(e.View().GetMembers()) },
		Scope:      e.Meter.Scope,
	}
	e.traffic = newTraffic(e)
	e.clients = newAdmitter(e)
	e.Client.Bounds = connector.Bounds{
		MaxMessageBytes: maxBufferedBytes,
		Capper:          e.traffic.capper,
	}
	e.relays = newRelays(e, e.traffic)
	e.coordinator.onDeparture = e.traffic.handleDeparture
	e.coordinator.onSnapshot = e.relays.onSnapshot
	e.coordinator.onView = e.relays.onView
	e.coordinator.onCacheEvents = e.traffic.router.OnCacheEvents
	e.recorder = e.newRecorder()
	e.callers = e.newCallerServer()
	e.controlClient = e.newControlClient()
}

// components returns the loops that run beside the callers' server, each until its context ends.
func (e *Entry) components() []func(context.Context) error {
	return []func(context.Context) error{
		e.coordinator.run,
		e.coordinator.gossipSender.run,
		e.controlClient.run,
		e.newReporter().run,
		e.newAnnouncementServer().run,
		e.newOperatorServer().Run,
		e.newPeerServer().Run,
		e.clients.Run,
		e.recorder.Run,
		e.Certificates.Run,
		e.traffic.migrator.Run,
		e.relays.run,
		e.shares.run,
	}
}

// serveCallers serves until the planned stop or the failure of another component.
func (e *Entry) serveCallers(ctx, componentsCtx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(componentsCtx, cancel)()
	defer context.AfterFunc(ctx, func() { e.stopping.Store(true) })()
	if err := e.callers.Run(ctx); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	e.relays.drain(ctx)
	e.drainRecord(ctx)
	e.leaveView(ctx)
	e.Log.Info().Msg("drained")
	return nil
}

// View returns the newest entry view that control has committed, nil before the first.
func (e *Entry) View() *messages.EntryView { return e.view.Load() }

// isReady reports whether the load balancer should send calls here. Without the record the entry
// would refuse every call that may not be repeated, so callers would see refusals just after each
// start.
func (e *Entry) isReady() bool {
	return !e.stopping.Load() && e.snapshot.Load() != nil && e.recorder.Ready() && !isFenced(&e.leaseExpiry) &&
		e.shares.isReady() && e.shares.limiter.Ready()
}

func (e *Entry) newCallerServer() *server.Server {
	return &server.Server{
		Listener:  e.callersListener(),
		Clients:   e.clients,
		TLS:       e.Certificates.CallerConfig(),
		Log:       e.Log,
		Scope:     e.Meter.Scope,
		Snapshot:  &e.snapshot,
		Explainer: &e.explanations,
		Dispatcher: &dispatcher.Dispatcher{
			Limiter:   e.shares.limiter,
			Budget:    &limiter.RetryBudget{},
			Recorder:  e.recorder,
			Router:    e.traffic.router,
			Exchanger: &pathExchanger{relays: e.relays},
			Observer:  e.traffic.router,
		},
		Ready:         e.isReady,
		DrainTimeout:  e.Settings.Timing.DrainTimeout,
		UnreadyPeriod: unreadyFor,
		Adopter:       e,
		Records:       e.recorder,
	}
}

// newPeerServer returns the server for the other processes of the system.
func (e *Entry) newPeerServer() *connector.Server {
	server := &connector.Server{
		Listener: e.clients.NewPeerListener(e.Peers, admitter.PeerFraction, 0),
		TLS:      e.Certificates.PeerConfig(),
		Traffic:  e.Client.Traffic,
		Bounds:   e.Client.Bounds,
	}
	connector.Handle(server, MethodGossip, e.onGossip)
	connector.Handle(server, MethodShare, e.shares.onShare)
	e.recorder.Handle(server)
	e.controlClient.register(server)
	e.handleAdoption(server)
	e.relays.register(server)
	return server
}

// newReporter returns the reporter of the upstreams that announce themselves to this entry.
func (e *Entry) newReporter() *reporter {
	return &reporter{
		client:      e.Client,
		coordinator: e.coordinator,
		entry:       e.Settings.Name,
		incarnation: uint64(e.incarnation),
		controls:    e.Settings.Control,
	}
}

func (e *Entry) newControlClient() *controlClient {
	return &controlClient{
		settings:        e.Settings,
		client:          e.Client,
		coordinator:     e.coordinator,
		incarnation:     uint64(e.incarnation),
		onViewConfirmed: e.shares.confirmView,
		view:            &e.view,
		stopping:        &e.leaving,
		pusher: &distributor.Pusher{
			Client: e.Client,
		},
		leaseExpiry:       &e.leaseExpiry,
		heartbeatRequests: make(chan struct{}, 1),
		lease: distributor.Lease{
			Duration: e.Settings.Timing.FenceTimeout,
		},
	}
}

func (e *Entry) newAnnouncementServer() *announcementServer {
	return &announcementServer{
		listener:    e.clients.NewListener(e.Upstreams, "upstreams", admitter.UpstreamFraction, 0),
		tls:         e.Certificates.UpstreamConfig(),
		coordinator: e.coordinator,
		protect:     e.clients.Protect,
	}
}

func (e *Entry) newOperatorServer() *inspector.Inspector {
	return &inspector.Inspector{
		Listener: e.clients.NewListener(e.Operators, "operators", admitter.ProbeFraction, 0),
		Protect:  e.clients.Protect,
		TLS:      e.Certificates.OperatorConfig(),
		Dump:     e.dump,
		Explain:  e.explain,
		Ready:    e.isReady,
		Metrics:  e.Meter.Handler,
	}
}

func (e *Entry) dump(ctx context.Context) (any, error) {
	reply := make(chan *Dump, 1)
	e.coordinator.events <- dumpRequested{reply: reply}
	select {
	case dump := <-reply:
		dump.View = e.View().GetNumber()
		dump.Fenced = isFenced(&e.leaseExpiry)
		return e.dumpRecord(ctx, dump)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (e *Entry) explain(call units.CallID) (any, bool) {
	explanation := e.explanations.Explain(call)
	return explanation, explanation != nil
}
