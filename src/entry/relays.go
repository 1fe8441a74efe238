package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/forwarder"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/pathfinder"
	"github.com/rosecroft/rosecroft/src/relayer"
	"github.com/rosecroft/rosecroft/src/router"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxRelayedCalls and maxRelayedBytes bound the calls of other entries that one entry carries: a
	// quarter of what it has open at full load.
	maxRelayedCalls = 80
	maxRelayedBytes = 64 << 20
	// relayDrainTimeout bounds the wait for relayed calls at a stop, relayPollInterval is the time
	// between two looks.
	relayDrainTimeout = 10 * time.Second
	relayPollInterval = 20 * time.Millisecond
)

// relays sends attempts over this entry's own connections, or through another entry where the
// upstream cannot be connected to, and carries attempts of other entries.
type relays struct {
	name      units.Instance
	log       zerolog.Logger
	snapshot  *atomic.Pointer[indexer.Snapshot]
	stopping  *atomic.Bool
	pools     *forwarder.Pools
	router    *router.Router
	direct    *forwarder.Forwarder
	carried   *forwarder.Forwarder
	sender    *relayer.Sender
	carrier   *relayer.Carrier
	reach     pathfinder.Pathfinder
	verifier  pathfinder.Verifier
	addresses atomic.Pointer[map[string]*tracker.Upstream]
}

func newRelays(e *Entry, t *traffic) *relays {
	r := &relays{
		name:     e.Settings.Name,
		log:      e.Log,
		snapshot: &e.snapshot,
		stopping: &e.stopping,
		pools:    t.pools,
		router:   t.router,
		direct:   t.forwarder,
		// Streams of other entries are not moved: their movers do not know this entry's upstreams.
		carried: &forwarder.Forwarder{
			Pools:  t.pools,
			Capper: t.capper,
		},
	}
	r.sender = &relayer.Sender{
		Name:      e.Settings.Name,
		Client:    e.Client,
		Guard:     deadlineGuard{},
		OnStarted: func(*dispatcher.Call, *tracker.Upstream) {},
		OnAnswer:  func(*tracker.Upstream, exchanger.Verdict, time.Time) {},
		OnOffer:   r.logRefusal,
		Capper:    t.capper,
	}
	r.carrier = &relayer.Carrier{
		Upstreams: r,
		MaxCalls:  maxRelayedCalls,
		MaxBytes:  maxRelayedBytes,
		Log:       e.Log,
	}
	r.reach.AsksPeers = true
	r.verifier = pathfinder.Verifier{
		Pathfinder: &r.reach,
		Ask:        r.askPeers,
		Connect:    r.connect,
		OnChange:   r.changeReach,
	}
	t.pools.OnDialed = r.recordDial
	return r
}

// register registers the handlers for requests of other entries.
func (r *relays) register(server *connector.Server) { r.carrier.Register(server) }

// run probes upstreams that this entry could not connect to, until ctx ends.
func (r *relays) run(ctx context.Context) error {
	prober := &pathfinder.Prober{
		Pathfinder: &r.reach,
		Connect:    r.connect,
		OnChange:   r.changeReach,
	}
	prober.Run(ctx)
	return nil
}

// drain waits until no call of another entry is carried.
func (r *relays) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), relayDrainTimeout)
	defer cancel()
	ticker := time.NewTicker(relayPollInterval)
	defer ticker.Stop()
	for r.carrier.Calls() > 0 {
		select {
		case <-ctx.Done():
			r.log.Warn().Int64("calls", r.carrier.Calls()).Msg("relayed-calls-cut")
			return
		case <-ticker.C:
		}
	}
}

// onView assigns the peers of this entry by a new view.
func (r *relays) onView(view *messages.EntryView) {
	now := timekeeper.Now()
	ring := &relayer.Ring{}
	for _, member := range view.GetMembers() {
		ring.Record(now, relayer.Peer{
			Name:    units.Instance(member.GetEntry()),
			Address: member.GetPeerAddress(),
		})
	}
	r.sender.SetPeers(ring.PeersOf(now, r.name))
}

// onSnapshot records which upstreams there are.
func (r *relays) onSnapshot(snapshot *indexer.Snapshot) {
	present := make(map[units.Service][]units.IncarnationID)
	addresses := make(map[string]*tracker.Upstream)
	for _, service := range snapshot.Services() {
		for _, upstream := range service.UsableUpstreams {
			present[service.Name] = append(present[service.Name], incarnationID(upstream))
			addresses[upstream.Address] = upstream
		}
	}
	r.addresses.Store(&addresses)
	for _, reach := range r.reach.SetPresent(timekeeper.Now(), present) {
		r.changeReach(reach)
	}
}

// recordDial records the outcome of an attempt to connect to the upstream at an address.
func (r *relays) recordDial(address string, startedAt time.Time, err error) {
	addresses := r.addresses.Load()
	if addresses == nil || (*addresses)[address] == nil {
		return
	}
	upstream := (*addresses)[address]
	reach, changed := r.reach.RecordDial(pathfinder.Dial{
		Service:   upstream.Service,
		Upstream:  incarnationID(upstream),
		StartedAt: startedAt,
		Failed:    err != nil,
	})
	if changed {
		r.changeReach(reach)
	}
	if err == nil {
		r.router.OnReached(upstream)
		return
	}
	r.verifier.Verify(upstream.Service)
}

// changeReach applies that a service has become partitioned from this entry, or is so no longer.
func (r *relays) changeReach(reach pathfinder.Reach) {
	if reach.Partitioned {
		r.router.OnPartition(reach.Service)
		r.discardConnections(reach.Service)
	}
	r.logReach(reach)
}

// askPeers returns what other entries tell of an upstream.
func (r *relays) askPeers(ctx context.Context, service units.Service, id units.IncarnationID) pathfinder.Answer {
	return r.sender.Ask(ctx, r.upstream(service, id), r.log)
}

// discardConnections gives up the idle connections to a service's upstreams, which may be silent.
func (r *relays) discardConnections(service units.Service) {
	for address, upstream := range *r.addresses.Load() {
		if upstream.Service == service {
			r.pools.Discard(address, r.pools.Client(address))
		}
	}
}

func (r *relays) logReach(reach pathfinder.Reach) {
	message := "service-reached"
	if reach.Partitioned {
		message = "service-partitioned"
	}
	r.log.Info().
		Str("service", string(reach.Service)).
		Int("unreached", reach.Unreached).
		Int("down", reach.Down).
		Int("present", reach.Present).
		Msg(message)
}

func (r *relays) logRefusal(peer relayer.Peer, call *dispatcher.Call, err error) {
	if err == nil {
		return
	}
	r.log.Warn().
		Err(err).
		Str("call", string(call.ID)).
		Str("service", string(call.Service)).
		Str("peer", string(peer.Name)).
		Msg("relay-refused")
}

// pathExchanger runs the attempts of this entry's callers.
type pathExchanger struct {
	relays *relays
}

// Exchange runs one attempt.
func (p *pathExchanger) Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt, upstream *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	r := p.relays
	if !r.isRelayed(upstream) {
		result := r.direct.Exchange(ctx, call, attempt, upstream, stream)
		if !result.ConnectFailed || !r.verifier.IsPartitioned(ctx, upstream.Service) {
			return result
		}
	}
	result := r.sender.Exchange(ctx, call, attempt, upstream, stream)
	if result.Kind == dispatcher.OutcomeUnknown && stream.Offset() > 0 && !forwarder.IsResumable(call) {
		result.Kind = dispatcher.Unresumable
	}
	return result
}

func (r *relays) isRelayed(upstream *tracker.Upstream) bool {
	return r.reach.IsPartitioned(upstream.Service) && r.isUnreached(upstream)
}

func (r *relays) isUnreached(upstream *tracker.Upstream) bool {
	return !r.reach.DoubtfulSince(upstream.Service, incarnationID(upstream)).IsZero()
}

// Admit returns the upstream of another entry's offer, or why this entry cannot send a call to it.
func (r *relays) Admit(offer *messages.RelayOffer) (*tracker.Upstream, *relayer.RefusedError) {
	refuse := func(refusal messages.RelayRefusal) (*tracker.Upstream, *relayer.RefusedError) {
		return nil, &relayer.RefusedError{
			Peer:    r.name,
			Refusal: refusal,
		}
	}
	if r.stopping.Load() {
		return refuse(messages.RelayRefusal_RELAY_REFUSAL_STOPPING)
	}
	upstream := r.upstream(units.Service(offer.GetService()),
		units.NewIncarnationID(units.Upstream(offer.GetUpstream()), units.Incarnation(offer.GetIncarnation())))
	switch {
	case upstream == nil:
		return refuse(messages.RelayRefusal_RELAY_REFUSAL_UNKNOWN_UPSTREAM)
	case !r.isUnreached(upstream):
		return upstream, nil
	case r.reach.IsPartitioned(upstream.Service):
		return refuse(messages.RelayRefusal_RELAY_REFUSAL_PARTITIONED)
	}
	return refuse(messages.RelayRefusal_RELAY_REFUSAL_UNREACHED)
}

// Exchange runs one attempt of another entry's call.
func (r *relays) Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt, upstream *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	result := r.carried.Exchange(ctx, call, attempt, upstream, stream)
	if ctx.Err() == nil {
		r.router.Observe(upstream, result)
	}
	return result
}

// MayHaveChanged returns false: upstreams state no version of their software.
func (r *relays) MayHaveChanged(*tracker.Upstream) bool { return false }

// Stated returns nothing, as upstreams state nothing of themselves in answers.
func (r *relays) Stated(*tracker.Upstream) relayer.Stated { return relayer.Stated{} }

// Probe returns why no connection to an upstream can be made, or nil.
func (r *relays) Probe(ctx context.Context, upstream *tracker.Upstream) error {
	return r.pools.Probe(ctx, upstream.Address)
}

// errUpstreamGone is the error of a probe of an upstream that is no longer in use.
var errUpstreamGone = errors.New("the upstream is no longer in use")

// connect attempts a connection to an upstream.
func (r *relays) connect(ctx context.Context, service units.Service, id units.IncarnationID) error {
	upstream := r.upstream(service, id)
	if upstream == nil {
		return errUpstreamGone
	}
	return r.pools.Probe(ctx, upstream.Address)
}

// upstream returns the upstream in use with an incarnation, nil if there is none.
func (r *relays) upstream(name units.Service, id units.IncarnationID) *tracker.Upstream {
	snapshot := r.snapshot.Load()
	if snapshot == nil {
		return nil
	}
	service, known := snapshot.Service(name)
	if !known {
		return nil
	}
	for _, upstream := range service.UsableUpstreams {
		if incarnationID(upstream) == id {
			return upstream
		}
	}
	return nil
}

func incarnationID(upstream *tracker.Upstream) units.IncarnationID {
	return units.NewIncarnationID(upstream.Name, upstream.Incarnation)
}

// deadlineGuard lets attempts pass until their calls' deadlines.
type deadlineGuard struct{}

// Check returns the time that a call has left.
func (deadlineGuard) Check(call *dispatcher.Call, _ *tracker.Upstream) (time.Duration, error) {
	return time.Until(call.Deadline), nil
}
