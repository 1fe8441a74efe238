package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rosecroft/rosecroft/src/admitter"
	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/allocator"
	"github.com/rosecroft/rosecroft/src/appraiser"
	"github.com/rosecroft/rosecroft/src/binder"
	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/evaluator"
	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/granter"
	"github.com/rosecroft/rosecroft/src/inspector"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/pacer"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/pathfinder"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/quarantiner"
	"github.com/rosecroft/rosecroft/src/rationer"
	"github.com/rosecroft/rosecroft/src/relayer"
	"github.com/rosecroft/rosecroft/src/retrier"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
	"github.com/rosecroft/rosecroft/src/withholder"
)

// sharedConnectionFraction is the fraction of an upstream's connections that is divided among
// the entries; the rest covers connections that the upstream has not yet seen closed.
const sharedConnectionFraction = 0.85

// upstreamDescriptorFraction is the fraction of this instance's file descriptors that connections to
// upstreams may use; callers need at least as many.
const upstreamDescriptorFraction = 0.45

// minConnections is how many connections an entry may always have to an upstream.
const minConnections = 2

// Gateway is one entry process; its exported fields are set before Run.
type Gateway struct {
	Settings *parser.PlatformSettings
	Log      zerolog.Logger
	Meter    *meter.Meter
	// Decode parses a configuration in the operators' format.
	Decode func(document []byte) (*matcher.Configuration, error)
	// Dialect is the protocol of the upstreams.
	Dialect exchanger.Dialect
	// UpstreamDialer opens connections to upstreams; nil opens them over TCP.
	UpstreamDialer exchanger.Dialer
	// Metrics listens on the address given in the settings; nil serves no metrics.
	Metrics net.Listener
	// Relays listens for calls of other entries; nil carries none.
	Relays net.Listener
	// Clients bounds what the clients of Metrics hold; nil bounds nothing.
	Clients *admitter.Admitter
	// Client calls control and other entries; Prepare sets its bounds.
	Client *connector.Client

	incarnation units.Incarnation
	snapshot    atomic.Pointer[snapshot]
	// stop is when the process exits, nil while it is not about to.
	stop           atomic.Pointer[stopPlan]
	cutoff         timekeeper.Cutoff
	startupBarrier *startupBarrier
	// seeds are the control instances that the current settings name.
	seeds         atomic.Pointer[[]string]
	placer        *placer.Placer
	quota         *allocator.LocalLimiter
	grants        granter.Holder
	retryBudget   *retrier.Budget
	usageCounter  *aggregator.Counter
	trafficStats  *trafficStats
	rolloutStats  rolloutStats
	pool          *exchanger.Pool
	pauses        timekeeper.Pauses
	direct        *exchanger.Exchanger
	dispatcher    *dispatcher.Dispatcher
	evidence      quarantiner.Evidence
	quarantine    quarantine
	gate          pacer.Gate
	withholder    withholder.Withholder
	slowdowns     appraiser.Collector
	outcomes      evaluator.Collector
	pathfinder    pathfinder.Pathfinder
	verifier      pathfinder.Verifier
	rationer      rationer.Rationer
	journal       binder.Journal
	originReports originReports
	returns       returns
	sender        *relayer.Sender
	carrier       *relayer.Carrier
	capper        *capper.Capper
}

// Prepare creates the components; it is called once, before Run and Serve.
func (g *Gateway) Prepare() {
	g.incarnation = units.Incarnation(time.Now().UnixNano())
	g.startupBarrier = newStartupBarrier(timekeeper.Now())
	g.Reload(g.Settings)
	if g.Client == nil {
		g.Client = &connector.Client{}
	}
	g.prepareCapper()
	g.trafficStats = newTrafficStats(g.Meter)
	g.placer = &placer.Placer{
		DataCentre:     g.Settings.DataCentre,
		Now:            timekeeper.Now,
		Fleet:          g.fleet,
		Leaving:        g.leaving,
		Split:          g.split,
		PrefillTime:    g.trafficStats.prefillPerToken,
		MaxInFlight:    g.connections,
		Gate:           &g.gate,
		Withholder:     &g.withholder,
		Rationer:       &g.rationer,
		CallTime:       g.trafficStats.callTime,
		Entries:        g.entryCount,
		IsRelayed:      g.isRelayed,
		IsUnreached:    g.isUnreached,
		MayHaveChanged: g.mayHaveChanged,
		Deferral:       g.Settings.Deferral.Enabled,
		OnRefused:      g.recordWaitRefusal,
	}
	g.quota = &allocator.LocalLimiter{
		Window:    allocator.NewWindow(g.Settings.Quota),
		ByUrgency: g.Settings.Quota.ByUrgency,
		Random:    rand.Float64,
	}
	g.prepareGrants()
	g.retryBudget = &retrier.Budget{
		Window:     g.Settings.Retries.Window,
		Ratio:      g.Settings.Retries.Ratio,
		Slack:      g.Settings.Retries.Slack,
		Lease:      g.Settings.RevocationTimeout,
		FirstStart: g.Settings.FirstStart,
		Now:        timekeeper.Now,
	}
	g.pathfinder.AsksPeers = true
	g.verifier = pathfinder.Verifier{
		Pathfinder: &g.pathfinder,
		Ask:        g.askPeers,
		Connect:    g.connect,
		OnChange:   g.changeReach,
	}
	g.journal.MaxRecords = maxJournal
	g.originReports.waiting = make(chan struct{}, 1)
	g.usageCounter = &aggregator.Counter{WindowLength: g.Settings.Usage.Window}
	g.pool = &exchanger.Pool{
		Dialer:         g.UpstreamDialer,
		MaxConnections: g.connections,
		MaxTotal:       int(upstreamDescriptorFraction * float64(g.Settings.Descriptors)),
		OpenedCounter:  g.trafficStats.connections,
		OnDialed:       g.recordDial,
		UsableSince: func(u *tracker.Upstream) time.Time {
			return g.pathfinder.DoubtfulSince(u.Service, units.NewIncarnationID(u.Name, u.Incarnation))
		},
	}
	direct := &exchanger.Exchanger{
		Pool:       g.pool,
		Dialect:    g.Dialect,
		Guard:      (*attemptGuard)(g),
		Donor:      g.placer.Donor,
		IsDeferred: g.isDeferred,
		OnStarted:  g.countCall,
		OnAnswer:   g.recordAnswer,
		HasEnded:   g.hasEnded,
		HasPaused:  g.pauses.IsRecent,
		MayAsk:     g.mayAsk,
		OnIdentity: g.recordIdentity,
		Capper:     g.capper,
	}
	asker := &identityAsker{
		Ask:      direct.Ask,
		IsInUse:  g.isInUse,
		OnAnswer: g.recordAnsweredQuestion,
	}
	direct.OnUnanswered = asker.AskAgain
	g.direct = direct
	counted := g.countedExchanger(direct)
	g.prepareRelays(counted)
	g.dispatcher = &dispatcher.Dispatcher{
		Cutoff:   &g.cutoff,
		Limiter:  (*accountLimiter)(g),
		Recorder: (*attemptRecorder)(g),
		Router:   g.placer,
		Exchanger: &lossDetector{
			Exchanger: &measuredExchanger{
				Exchanger: &pathExchanger{
					gateway: g,
					direct:  counted,
				},
				gateway: g,
			},
			gateway: g,
		},
		Observer: (*observer)(g),
		Budget:   g.retryBudget,
		MayRetryRefused: func(call *dispatcher.Call) bool {
			_, brittle := g.rationer.Brittle(timekeeper.Now(), call.Service)
			return !brittle
		},
		BackoffLeft: func(call *dispatcher.Call) time.Duration {
			return spreadWait(g.placer.BackoffLeft(call))
		},
		HasEnded:  g.hasEndedSince,
		QueueTime: g.placer.RetryAfter,
	}
}

// Run polls control until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	p := &poller{
		gateway: g,
		table: &enroller.Table{
			Interval: g.Settings.HeartbeatInterval,
		},
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		p.run(ctx)
		return nil
	})
	group.Go(func() error {
		g.pool.Run(ctx)
		return nil
	})
	group.Go(func() error {
		g.pauses.Run(ctx)
		return nil
	})
	group.Go(func() error {
		g.prober().Run(ctx)
		return nil
	})
	group.Go(func() error {
		g.reportRetries(ctx)
		return nil
	})
	group.Go(func() error { return g.runRelays(ctx) })
	if g.Metrics != nil {
		group.Go(func() error {
			return (&inspector.Inspector{
				Listener: g.Metrics,
				Dump:     g.dump,
				Ready:    g.Ready,
				Metrics:  g.Meter.Handler,
				Protect:  g.Clients.Protect,
			}).Run(ctx)
		})
	}
	return group.Wait()
}

// Reload applies new settings. Only the seeds take effect while the process runs.
func (g *Gateway) Reload(settings *parser.PlatformSettings) {
	seeds := settings.SeedPeers()
	g.seeds.Store(&seeds)
}

// stopPlan is when a process that is about to exit does what, on the clock that counts suspension.
type stopPlan struct {
	// acceptUntil is until when it takes every call, cutAt when it ends those that still run.
	acceptUntil, cutAt time.Time
}

// Stop announces that the process is about to exit. It takes every call until a time, later ones only if they are over when
// those that still run are cut, by Cut.
func (g *Gateway) Stop(acceptUntil, cutAt time.Time) {
	g.stop.Store(&stopPlan{
		acceptUntil: acceptUntil,
		cutAt:       cutAt,
	})
}

// Stopping reports whether the process is about to exit.
func (g *Gateway) Stopping() bool { return g.stop.Load() != nil }

// Cut ends all calls as if their deadlines had passed, so that their callers get an answer before the process exits.
func (g *Gateway) Cut() { g.cutoff.End() }

// checkStop returns a refusal for a call that might still run when the process exits. Its caller has time to send it to
// another entry.
func (g *Gateway) checkStop(call *dispatcher.Call) error {
	plan := g.stop.Load()
	if plan == nil || timekeeper.Now().Before(plan.acceptUntil) || call.BootTimeDeadline.Before(plan.cutAt) {
		return nil
	}
	return newRefusal(http.StatusServiceUnavailable, dispatcher.ProblemStopping, "this entry is about to exit; send the call to another one", shortRetryAfter)
}

// Ready reports whether the load balancer should send callers here: the entry has a
// configuration, and control has confirmed it recently.
func (g *Gateway) Ready() bool {
	snap := g.snapshot.Load()
	if snap == nil || snap.table == nil || g.Stopping() {
		return false
	}
	// The lease ends leaseFraction of the revocation period after the last contact.
	margin := time.Duration((leaseFraction - readyFraction) * float64(g.Settings.RevocationTimeout))
	return timekeeper.Now().Add(margin).Before(snap.lease)
}

// Limits returns the limits on a caller's request, or false before there is a configuration.
func (g *Gateway) Limits() (matcher.Limits, bool) {
	snap := g.snapshot.Load()
	if snap == nil || snap.table == nil {
		return matcher.Limits{}, false
	}
	return snap.table.Configuration.Limits, true
}

func (g *Gateway) fleet() placer.Fleet {
	if snap := g.snapshot.Load(); snap != nil {
		return snap.fleet
	}
	return nil
}

func (g *Gateway) leaving() placer.Fleet {
	if snap := g.snapshot.Load(); snap != nil {
		return snap.leaving
	}
	return nil
}

func (g *Gateway) entryCount() int {
	if snap := g.snapshot.Load(); snap != nil {
		return max(1, snap.entries)
	}
	return 1
}

// connections returns how many connections this entry may have to an upstream, whose limit
// applies to all entries together.
func (g *Gateway) connections(u *tracker.Upstream) int {
	snap := g.snapshot.Load()
	if snap == nil || snap.table == nil {
		return minConnections
	}
	service := snap.table.Service(u.Service)
	if service == nil || service.MaxConnections <= 0 {
		return u.Slots
	}
	share := sharedConnectionFraction * float64(service.MaxConnections) / float64(max(1, snap.entries))
	return max(minConnections, int(share))
}

// countCall counts a call that has started to run in its account's usage, once however many
// upstreams it runs at. The entry that took it from its caller counts a relayed one.
func (g *Gateway) countCall(call *dispatcher.Call, _ *tracker.Upstream) {
	if relayed, known := call.Trace.(*relayer.Trace); known {
		relayed.Started = true
		return
	}
	t, known := call.Trace.(*callTrace)
	if call.Account == nil || !known || t.usageCounted {
		return
	}
	t.usageCounted = true
	snap := g.snapshot.Load()
	g.usageCounter.Add(timekeeper.Now().Add(snap.trueTimeOffset), call.Account.Name)
}

// RecordLoad records the load that an upstream stated in the answer to a call.
func (g *Gateway) RecordLoad(call *dispatcher.Call, u *tracker.Upstream, load placer.ReportedLoad) {
	g.placer.RecordLoad(u, load)
	g.rationer.RecordLoad(timekeeper.Now(), u.Service, units.NewIncarnationID(u.Name, u.Incarnation), load.Running+load.Waiting, load.Waiting)
	if load.Slowdown <= 0 {
		return
	}
	g.slowdowns.Record(units.NewIncarnationID(u.Name, u.Incarnation), load.Slowdown)
	if t, known := call.Trace.(*callTrace); known {
		t.slowdown = load.Slowdown
	}
}

// RecordMalformed counts and logs a header of an upstream's answer that could not be decoded, or
// only in part.
func (g *Gateway) RecordMalformed(u *tracker.Upstream, header, value string) {
	g.trafficStats.malformed(header)
	g.Log.Warn().
		Str("upstream", string(u.Name)).
		Uint64("born", uint64(u.Incarnation)).
		Str("header", header).
		Str("value", value).
		Msg("header-malformed")
}

func (g *Gateway) logUpstream(m *messages.RegisteredUpstream) {
	g.Log.Info().
		Str("upstream", m.GetId()).
		Str("service", m.GetService()).
		Str("address", m.GetAddress()).
		Stringer("state", enroller.State(m.GetState())).
		Str("release", m.GetVersion()).
		Bool("silent", m.GetSilent()).
		Int64("born", m.GetBornMs()).
		Uint64("sequence", m.GetSequence()).
		Int64("age-ms", m.GetAgeMs()).
		Msg("upstream-changed")
}
