package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/pathfinder"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/relayer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
	"github.com/rosecroft/rosecroft/src/withholder"
)

const (
	// relayDescriptorFraction is the fraction of this instance's file descriptors that connections of
	// other entries may use for relayed calls.
	relayDescriptorFraction = 0.08
	// RelayMemoryFraction is the fraction of the memory limit that bodies of relayed calls may use.
	RelayMemoryFraction = 0.08
)

// prepareRelays creates the components that send calls through other entries and carry theirs.
func (g *Gateway) prepareRelays(direct dispatcher.Exchanger) {
	g.sender = &relayer.Sender{
		Name:       g.Settings.Name,
		Client:     g.Client,
		Guard:      (*attemptGuard)(g),
		TrueNow:    g.trueNow,
		OnStarted:  g.countCall,
		OnAnswer:   g.recordAnswer,
		OnAccepted: g.recordOrigin,
		OnOffer:    g.recordOffer,
		Capper:     g.capper,
	}
	g.carrier = &relayer.Carrier{
		Upstreams: &carriedUpstreams{
			gateway: g,
			exchanger: &lossDetector{
				Exchanger: direct,
				gateway:   g,
			},
		},
		TrueNow:  g.trueNow,
		MaxCalls: int64(relayDescriptorFraction * float64(g.Settings.Descriptors)),
		MaxBytes: int64(RelayMemoryFraction * float64(g.Settings.MemoryLimitMiB) * (1 << 20)),
		Log:      g.Log,
	}
}

// runRelays carries calls of other entries until ctx ends.
func (g *Gateway) runRelays(ctx context.Context) error {
	if g.Relays == nil {
		return nil
	}
	server := &connector.Server{
		Listener: g.Relays,
		Log:      g.Log,
		Bounds:   g.Client.Bounds,
	}
	g.carrier.Register(server)
	return server.Run(ctx)
}

// RelayedCalls returns how many calls of other entries this one carries.
func (g *Gateway) RelayedCalls() int64 { return g.carrier.Calls() }

// trueNow returns the time of day that the fleet has agreed on.
func (g *Gateway) trueNow() time.Time {
	now := timekeeper.Now()
	if snap := g.snapshot.Load(); snap != nil {
		return now.Add(snap.trueTimeOffset)
	}
	return now
}

// recordOffer counts and logs an offer that a peer has not accepted.
func (g *Gateway) recordOffer(peer relayer.Peer, call *dispatcher.Call, err error) {
	g.trafficStats.offered(err == nil)
	if err == nil {
		return
	}
	g.Log.Warn().
		Err(err).
		Str("call", string(call.ID)).
		Str("service", string(call.Service)).
		Str("peer", string(peer.Name)).
		Msg("relay-refused")
}

// pathExchanger sends each attempt over this entry's own connections, or through another entry where
// the upstream cannot be connected to.
type pathExchanger struct {
	gateway *Gateway
	direct  dispatcher.Exchanger
}

// Exchange runs one attempt.
func (p *pathExchanger) Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt, upstream *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	g := p.gateway
	if !g.isRelayed(upstream, units.NewIncarnationID(upstream.Name, upstream.Incarnation)) {
		if _, isBound := stream.Release(); !isBound {
			g.recordAttempt(ctx, call, upstream, stream)
		}
		startedAt := timekeeper.Now()
		result := p.direct.Exchange(ctx, call, attempt, upstream, stream)
		if result.Kind == dispatcher.Answered {
			g.trafficStats.exchangeAnswered(call.Service, timekeeper.Now().Sub(startedAt))
		}
		if !result.ConnectFailed || !g.verifier.IsPartitioned(ctx, upstream.Service) {
			return result
		}
	}
	if t, known := call.Trace.(*callTrace); known {
		t.relayed = true
	}
	return g.sender.Exchange(ctx, call, attempt, upstream, stream)
}

// isRelayed reports whether calls to an upstream go through another entry.
func (g *Gateway) isRelayed(upstream *tracker.Upstream, id units.IncarnationID) bool {
	return g.pathfinder.IsPartitioned(upstream.Service) && g.isUnreached(upstream, id)
}

// isUnreached reports whether this entry may be unable to connect to an upstream. Connections that are known to work
// are used as long as there are any.
func (g *Gateway) isUnreached(upstream *tracker.Upstream, id units.IncarnationID) bool {
	return !g.pathfinder.DoubtfulSince(upstream.Service, id).IsZero() && !g.pool.HasIdle(upstream)
}

// carriedUpstreams sends calls of other entries to upstreams.
type carriedUpstreams struct {
	gateway   *Gateway
	exchanger dispatcher.Exchanger
}

// Admit returns the upstream of an offer, or why this entry cannot send a call to it.
func (c *carriedUpstreams) Admit(offer *messages.RelayOffer) (*tracker.Upstream, *relayer.RefusedError) {
	g := c.gateway
	refuse := func(refusal messages.RelayRefusal) (*tracker.Upstream, *relayer.RefusedError) {
		return nil, &relayer.RefusedError{
			Peer:    g.Settings.Name,
			Refusal: refusal,
		}
	}
	snap := g.snapshot.Load()
	if snap == nil || g.Stopping() {
		return refuse(messages.RelayRefusal_RELAY_REFUSAL_STOPPING)
	}
	service := units.Service(offer.GetService())
	name, incarnation := units.Upstream(offer.GetUpstream()), units.Incarnation(offer.GetIncarnation())
	id := units.NewIncarnationID(name, incarnation)
	if findUpstream(snap.leaving[service], name, incarnation) != nil {
		return refuse(messages.RelayRefusal_RELAY_REFUSAL_LEAVING)
	}
	upstream := findUpstream(snap.fleet[service], name, incarnation)
	if upstream == nil {
		return refuse(messages.RelayRefusal_RELAY_REFUSAL_UNKNOWN_UPSTREAM)
	}
	switch g.withholder.StateOf(timekeeper.Now(), id) {
	case withholder.Leaving:
		return refuse(messages.RelayRefusal_RELAY_REFUSAL_LEAVING)
	case withholder.BackingOff:
		_, refused := refuse(messages.RelayRefusal_RELAY_REFUSAL_BACKING_OFF)
		refused.BackoffLeft = g.withholder.BackoffLeft(timekeeper.Now(), id)
		return nil, refused
	case withholder.Accepting, withholder.Recovering:
	}
	if !g.isUnreached(upstream, id) {
		return upstream, nil
	}
	if g.pathfinder.IsPartitioned(service) {
		return refuse(messages.RelayRefusal_RELAY_REFUSAL_PARTITIONED)
	}
	return refuse(messages.RelayRefusal_RELAY_REFUSAL_UNREACHED)
}

func findUpstream(candidates []*placer.Candidate, name units.Upstream, incarnation units.Incarnation) *tracker.Upstream {
	for _, c := range candidates {
		if c.Name == name && c.Incarnation == incarnation {
			return c.Upstream
		}
	}
	return nil
}

// Exchange runs one attempt of another entry's call. That entry counts the call among those that the
// upstream has in flight.
func (c *carriedUpstreams) Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt, upstream *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	result := c.exchanger.Exchange(ctx, call, attempt, upstream, stream)
	if ctx.Err() == nil {
		(*observer)(c.gateway).Observe(upstream, result)
	}
	c.gateway.trafficStats.carried(result)
	return result
}

// MayHaveChanged reports whether an upstream may run another software version than it is known for.
func (c *carriedUpstreams) MayHaveChanged(upstream *tracker.Upstream) bool {
	return c.gateway.mayHaveChanged(timekeeper.Now(), upstream, units.NewIncarnationID(upstream.Name, upstream.Incarnation))
}

// Stated returns what an upstream has stated to this entry.
func (c *carriedUpstreams) Stated(upstream *tracker.Upstream) relayer.Stated {
	now := timekeeper.Now()
	id := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
	return relayer.Stated{
		RetryAfter: c.gateway.withholder.BackoffLeft(now, id),
		Leaving:    c.gateway.withholder.StateOf(now, id) == withholder.Leaving,
	}
}

// Probe returns why no connection to an upstream can be made, or nil.
func (c *carriedUpstreams) Probe(ctx context.Context, upstream *tracker.Upstream) error {
	return c.gateway.pool.Probe(ctx, upstream)
}

// prober returns the prober of upstreams that this entry could not connect to.
func (g *Gateway) prober() *pathfinder.Prober {
	return &pathfinder.Prober{
		Pathfinder: &g.pathfinder,
		Connect:    g.connect,
		OnChange:   g.changeReach,
	}
}

// connect attempts a connection to an upstream.
func (g *Gateway) connect(ctx context.Context, service units.Service, id units.IncarnationID) error {
	upstream := g.upstream(service, id)
	if upstream == nil {
		return errUpstreamGone
	}
	return g.pool.Probe(ctx, upstream)
}

// errUpstreamGone is the error of a probe of an upstream that is no longer in use.
var errUpstreamGone = errors.New("the upstream is no longer in use")

// upstream returns the upstream in use with an incarnation, nil if there is none.
func (g *Gateway) upstream(service units.Service, id units.IncarnationID) *tracker.Upstream {
	for _, c := range g.fleet()[service] {
		if units.NewIncarnationID(c.Name, c.Incarnation) == id {
			return c.Upstream
		}
	}
	return nil
}

// hasEnded reports whether an upstream that refuses connections from this entry has ended, as far as others do
// not reach it: an answer that ended with it must not look complete.
func (g *Gateway) hasEnded(ctx context.Context, upstream *tracker.Upstream) bool {
	reached, _ := g.sender.Probe(ctx, upstream)
	return !reached
}

// crashed reports whether an upstream that accepts no connection from this entry accepts none from
// others either. Behind a partition of its own, an entry cannot tell by itself.
func (g *Gateway) crashed(ctx context.Context, upstream *tracker.Upstream) bool {
	reached, err := g.sender.Probe(ctx, upstream)
	if err == nil {
		return !reached
	}
	return !g.pathfinder.IsPartitioned(upstream.Service)
}
