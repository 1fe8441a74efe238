package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rosecroft/rosecroft/src/apportioner"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/inspector"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/pacer"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/quarantiner"
	"github.com/rosecroft/rosecroft/src/retrier"
	"github.com/rosecroft/rosecroft/src/tallier"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// connectionUse is the part of an upstream's connections that the entries share
// out; the rest is for those that the upstream has not yet seen closed.
const connectionUse = 0.85

// leastConnections is what an entry may always have to an upstream.
const leastConnections = 2

// Gateway is one entry process; its exported fields are set before Run.
type Gateway struct {
	Settings *parser.Deployment
	Log      zerolog.Logger
	Meter    *meter.Meter
	// Decode reads a configuration in the operators' format.
	Decode func(document []byte) (*matcher.Declaration, error)
	// Dialect is the upstreams' protocol.
	Dialect exchanger.Dialect
	// Metrics is bound to the address of the settings; nil serves none.
	Metrics net.Listener
	Client  *connector.Client

	incarnation units.Incarnation
	world       atomic.Pointer[world]
	stopping    atomic.Bool
	opening     *opening
	// seeds are the control instances that the settings name now.
	seeds      atomic.Pointer[[]string]
	placer     *placer.Placer
	quota      *apportioner.LocalLimiter
	budget     *retrier.Budget
	counter    *tallier.Counter
	figures    *figures
	versions   versions
	pool       *exchanger.Pool
	dispatcher *dispatcher.Dispatcher
	evidence   quarantiner.Evidence
	quarantine quarantine
	gate       pacer.Gate
}

// Prepare makes the parts; it is called once, before Run and Serve.
func (g *Gateway) Prepare() {
	g.incarnation = units.Incarnation(time.Now().UnixNano())
	g.opening = newOpening(timekeeper.Now())
	g.Reload(g.Settings)
	if g.Client == nil {
		g.Client = &connector.Client{}
	}
	g.figures = newFigures(g.Meter)
	g.placer = &placer.Placer{
		DataCentre:  g.Settings.DataCentre,
		Now:         timekeeper.Now,
		Fleet:       g.fleet,
		Leaving:     g.leaving,
		Split:       g.split,
		PrefillTime: g.figures.each,
		MaxInFlight: g.connections,
		Gate:        &g.gate,
	}
	g.quota = &apportioner.LocalLimiter{Window: apportioner.NewWindow(g.Settings.Quota)}
	g.budget = &retrier.Budget{
		Window: g.Settings.Retries.Window,
		Ratio:  g.Settings.Retries.Ratio,
		Slack:  g.Settings.Retries.Slack,
		Now:    timekeeper.Now,
	}
	g.counter = &tallier.Counter{WindowLength: g.Settings.Usage.Window}
	g.pool = &exchanger.Pool{
		Most:   g.connections,
		Opened: g.figures.connections,
	}
	g.dispatcher = &dispatcher.Dispatcher{
		Limiter:  (*limits)(g),
		Recorder: (*attempts)(g),
		Router:   g.placer,
		Exchanger: &losses{
			Exchanger: &judged{
				Exchanger: &exchanger.Exchanger{
					Pool:    g.pool,
					Dialect: g.Dialect,
					Guard:   (*guard)(g),
					Donor:   g.placer.Donor,
					Began:   g.began,
					Limited: g.limited,
				},
				gateway: g,
			},
			gateway: g,
		},
		Observer: (*observer)(g),
		Budget:   g.budget,
	}
}

// Run follows control until ctx ends.
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
	if g.Metrics != nil {
		group.Go(func() error {
			return (&inspector.Inspector{
				Listener: g.Metrics,
				Dump:     g.dump,
				Ready:    g.Ready,
				Metrics:  g.Meter.Handler,
			}).Run(ctx)
		})
	}
	return group.Wait()
}

// Reload takes over new settings, of which the seeds count while the process runs.
func (g *Gateway) Reload(settings *parser.Deployment) {
	seeds := settings.SeedPeers()
	g.seeds.Store(&seeds)
}

// Stop tells that the process is about to end: it wants no more callers.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Stopping reports whether the process is about to end.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// Ready reports whether the balancer should send callers here: the entry knows a
// configuration, and control has confirmed it lately.
func (g *Gateway) Ready() bool {
	w := g.world.Load()
	if w == nil || w.table == nil || g.stopping.Load() {
		return false
	}
	// The lease ends leaseUse of the revocation period after the last contact.
	margin := time.Duration((leaseUse - readyUse) * float64(g.Settings.Revocation))
	return timekeeper.Now().Add(margin).Before(w.lease)
}

// Limits returns what bounds a caller's request, or false before a configuration
// is known.
func (g *Gateway) Limits() (matcher.Limits, bool) {
	w := g.world.Load()
	if w == nil || w.table == nil {
		return matcher.Limits{}, false
	}
	return w.table.Declaration.Limits, true
}

func (g *Gateway) fleet() placer.Fleet {
	if w := g.world.Load(); w != nil {
		return w.fleet
	}
	return nil
}

func (g *Gateway) leaving() placer.Fleet {
	if w := g.world.Load(); w != nil {
		return w.leaving
	}
	return nil
}

// connections returns how many connections this entry may have to an upstream,
// whose bound is on all entries together.
func (g *Gateway) connections(u *tracker.Upstream) int {
	w := g.world.Load()
	if w == nil || w.table == nil {
		return leastConnections
	}
	service := w.table.Service(u.Service)
	if service == nil || service.Connections <= 0 {
		return u.Slots
	}
	part := connectionUse * float64(service.Connections) / float64(max(1, w.entries))
	return max(leastConnections, int(part))
}

// began counts a call that has begun to run, at its first upstream alone.
func (g *Gateway) began(call *dispatcher.Call, _ *tracker.Upstream) {
	t, known := call.Trail.(*trail)
	if call.Account == nil || !known || t.counted {
		return
	}
	t.counted = true
	w := g.world.Load()
	g.counter.Add(timekeeper.Now().Add(w.trueOffset), call.Account.Name)
}

// State takes the load that an upstream stated in an answer.
func (g *Gateway) State(u *tracker.Upstream, load placer.ReportedLoad) { g.placer.RecordLoad(u, load) }

func (g *Gateway) logUpstream(m *messages.RegisteredUpstream) {
	g.Log.Info().
		Str("upstream", m.GetId()).
		Str("service", m.GetService()).
		Str("address", m.GetAddress()).
		Stringer("state", enroller.State(m.GetState())).
		Bool("silent", m.GetSilent()).
		Int64("born", m.GetBornMs()).
		Uint64("sequence", m.GetSequence()).
		Int64("age-ms", m.GetAgeMs()).
		Msg("upstream-changed")
}
