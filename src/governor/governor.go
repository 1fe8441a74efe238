package governor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rosecroft/rosecroft/src/admitter"
	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/inspector"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/persister"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// reopenDelay is how long a voter whose disk failed waits before it reopens its data
	// folder and resumes from the contents.
	reopenDelay = 500 * time.Millisecond
	// callTimeout bounds a call that is handled here or forwarded to another control
	// instance.
	callTimeout = 700 * time.Millisecond
)

// UnconfirmedError is returned where this instance cannot give a definite answer now.
type UnconfirmedError struct {
	Leader string
}

// Error states the cause and the remedy.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("this control instance cannot answer now (leader %q); ask again, or ask another one", e.Leader)
}

// Governor is one control process; its fields are set before Run.
type Governor struct {
	Settings *parser.PlatformSettings
	Log      zerolog.Logger
	Meter    *meter.Meter
	// Decode decodes a configuration in the operators' format. A configuration that it
	// rejects is never committed.
	Decode func(document []byte) (*matcher.Configuration, error)
	// Cloud is nil where the platform offers no API.
	Cloud  Cloud
	Client *connector.Client
	// Peers and Metrics are listeners on the addresses in the settings; Metrics may be nil.
	Peers   net.Listener
	Metrics net.Listener
	// Clock returns the time since the boot of the instance, timekeeper.Now if nil, and Wall its time of day, time.Now
	// if nil.
	Clock func() time.Time
	Wall  func() time.Time
	// Clients bounds what the clients of Metrics hold; nil bounds nothing.
	Clients *admitter.Admitter

	events chan event
	// polls is a queue of its own, so that no number of entries delays other events.
	polls chan pollReceived
}

// Prepare must be called once, before Run and any other method.
func (g *Governor) Prepare() {
	if g.Client == nil {
		g.Client = &connector.Client{}
	}
	g.Client.Bounds = g.messageBounds()
	if g.Clock == nil {
		g.Clock = timekeeper.Now
	}
	if g.Wall == nil {
		g.Wall = time.Now
	}
	g.events = make(chan event, eventQueueSize)
	g.polls = make(chan pollReceived, pollQueueSize)
}

// MessageFraction is the fraction of the memory limit that the messages of other processes may hold until they are
// handled. The greatest is a snapshot of the log.
const MessageFraction = 0.5

// messageBounds returns the bounds on what other processes send.
func (g *Governor) messageBounds() connector.Bounds {
	bounds := connector.Bounds{
		MaxMessageBytes: int64(MessageFraction * float64(g.Settings.MemoryLimitMiB) * (1 << 20)),
		Capper:          &capper.Capper{Log: g.Log},
	}
	bounds.Capper.MaxTotal = bounds.MaxMessageBytes
	if g.Meter != nil {
		bounds.Capper.Scope = g.Meter.Scope
	}
	return bounds
}

// Run serves until ctx ends. A voter whose disk fails does not end the process: the other
// voters continue without it, and it restarts from the contents of its disk, until writes
// succeed again.
func (g *Governor) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.peerServer().Run(ctx) })
	if g.Metrics != nil {
		group.Go(func() error {
			return (&inspector.Inspector{
				Listener: g.Metrics,
				Dump:     g.dump,
				Ready:    func() bool { return true },
				Metrics:  g.Meter.Handler,
				Protect:  g.Clients.Protect,
			}).Run(ctx)
		})
	}
	group.Go(func() error {
		for ctx.Err() == nil {
			if err := g.runVoter(ctx); err != nil {
				g.Log.Error().Err(err).Msg("voter-stopped")
				g.waitToReopen(ctx)
			}
		}
		return nil
	})
	return group.Wait()
}

// runVoter runs one voter until ctx ends or its disk fails.
func (g *Governor) runVoter(ctx context.Context) (err error) {
	storage, stored, err := persister.OpenWithoutInodeCheck(g.Settings.DataFolder, units.Instance(g.Settings.OwnPeerAddress()))
	if err != nil {
		return fmt.Errorf("open the data folder: %w", err)
	}
	defer func() { err = errors.Join(err, storage.Close()) }()
	c, err := newCoordinator(g, storage, stored)
	if err != nil {
		return err
	}
	g.Log.Info().
		Str("voter", string(stored.ID)).
		Str("log", stored.Snapshot.GetLogId()).
		Int("records", len(stored.Records)).
		Bool("first-start", g.Settings.FirstStart).
		Strs("seeds", g.Settings.SeedPeers()).
		Msg("voter-started")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	return c.run(ctx)
}

// waitToReopen waits for a failed disk to recover, and replies meanwhile to all events that
// the instance is unavailable.
func (g *Governor) waitToReopen(ctx context.Context) {
	timer := time.NewTimer(reopenDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case e := <-g.events:
			replyUnavailable(e)
		case p := <-g.polls:
			replyUnavailable(p)
		}
	}
}

// replyUnavailable replies to an event while there is no voter.
func replyUnavailable(e event) {
	switch e := e.(type) {
	case declareRequested:
		e.reply <- declareReply{}
	case readRequested:
		e.reply <- readReply{}
	case pollReceived:
		e.reply <- &messages.EntryPollResponse{}
	case announcementReceived:
		e.reply <- announceReply{}
	case findStreamRequested:
		e.reply <- &messages.FindStreamResponse{}
	case upstreamBatchReceived:
		e.reply <- &messages.UpstreamBatchResponse{}
	case rolloutRequested:
		e.reply <- rolloutReply{}
	case rolloutReadRequested:
		e.reply <- rolloutReadReply{}
	case dumpRequested:
		e.reply <- &Dump{}
	case ticked, logMessageReceived, usageReportEnded, orderEnded, settingsReloaded:
	}
}

func (g *Governor) peerServer() *connector.Server {
	server := &connector.Server{
		Listener: g.Peers,
		Log:      g.Log,
		Bounds:   g.Client.Bounds,
	}
	connector.Handle(server, MethodLog, func(ctx context.Context, _ connector.Peer, m *messages.LogMessage) (*messages.LogMessage, error) {
		return &messages.LogMessage{}, g.postEvent(ctx, logMessageReceived{message: m})
	})
	connector.Handle(server, MethodPoll, func(ctx context.Context, _ connector.Peer, m *messages.EntryPoll) (*messages.EntryPollResponse, error) {
		return g.poll(ctx, m)
	})
	connector.Handle(server, MethodUpstreamBatch, func(ctx context.Context, _ connector.Peer, m *messages.UpstreamBatch) (*messages.UpstreamBatchResponse, error) {
		return sendAndWait(ctx, g, func(reply chan<- *messages.UpstreamBatchResponse) event {
			return upstreamBatchReceived{
				batch: m,
				reply: reply,
			}
		})
	})
	connector.Handle(server, MethodDeclare, func(ctx context.Context, _ connector.Peer, m *messages.DeclareRequest) (*messages.DeclareResponse, error) {
		reply, err := g.declareLocally(ctx, m.GetDeclaration())
		return &messages.DeclareResponse{
			Accepted: reply.accepted,
			Leader:   reply.leader,
		}, err
	})
	connector.Handle(server, MethodReadDeclaration, func(ctx context.Context, _ connector.Peer, _ *messages.ReadDeclarationRequest) (*messages.ReadDeclarationResponse, error) {
		reply, err := g.readLocally(ctx)
		return &messages.ReadDeclarationResponse{
			Sure:        reply.authoritative,
			Declaration: reply.declaration,
		}, err
	})
	connector.Handle(server, MethodDepart, func(ctx context.Context, _ connector.Peer, m *messages.DepartRequest) (*messages.DepartResponse, error) {
		return g.departHere(ctx, m)
	})
	connector.Handle(server, MethodFindStream, func(ctx context.Context, _ connector.Peer, m *messages.FindStream) (*messages.FindStreamResponse, error) {
		return sendAndWait(ctx, g, func(reply chan<- *messages.FindStreamResponse) event {
			return findStreamRequested{
				request: m,
				reply:   reply,
			}
		})
	})
	g.registerRolloutMethods(server)
	return server
}

// poll passes an entry's poll to the coordinator and waits for its response.
func (g *Governor) poll(ctx context.Context, m *messages.EntryPoll) (*messages.EntryPollResponse, error) {
	reply := make(chan *messages.EntryPollResponse, 1)
	p := pollReceived{
		poll:       m,
		receivedAt: g.Clock(),
		reply:      reply,
	}
	select {
	case g.polls <- p:
		return awaitReply(ctx, reply)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sendAndWait sends an event to the coordinator and waits for its reply.
func sendAndWait[T any](ctx context.Context, g *Governor, newEvent func(chan<- T) event) (T, error) {
	reply := make(chan T, 1)
	if err := g.postEvent(ctx, newEvent(reply)); err != nil {
		var none T
		return none, err
	}
	return awaitReply(ctx, reply)
}

// awaitReply waits for the coordinator's reply.
func awaitReply[T any](ctx context.Context, reply <-chan T) (T, error) {
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		var none T
		return none, fmt.Errorf("wait for the coordinator: %w", ctx.Err())
	}
}

func (g *Governor) postEvent(ctx context.Context, e event) error {
	select {
	case g.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Governor) declareLocally(ctx context.Context, d *messages.Declaration) (declareReply, error) {
	return sendAndWait(ctx, g, func(reply chan<- declareReply) event {
		return declareRequested{
			declaration: d,
			reply:       reply,
		}
	})
}

func (g *Governor) readLocally(ctx context.Context) (readReply, error) {
	return sendAndWait(ctx, g, func(reply chan<- readReply) event { return readRequested{reply: reply} })
}

// Reload applies new settings; while the process runs, only the seeds take effect.
func (g *Governor) Reload(ctx context.Context, settings *parser.PlatformSettings) {
	if err := g.postEvent(ctx, settingsReloaded{settings: settings}); err != nil {
		g.Log.Warn().Err(err).Msg("settings-not-taken")
	}
}

func (g *Governor) dump(ctx context.Context) (any, error) {
	dump, err := sendAndWait(ctx, g, func(reply chan<- *Dump) event { return dumpRequested{reply: reply} })
	if err != nil {
		return nil, err
	}
	dump.Clients = g.Clients.State()
	return dump, nil
}

// Declare has a configuration committed, here or by the leader. It returns nil once a
// majority of the voters holds it, or a higher version, on disk; a *matcher.InvalidError
// where it can never be accepted; a *UnconfirmedError where the outcome is unknown.
func (g *Governor) Declare(ctx context.Context, document []byte) error {
	configuration, err := g.Decode(document)
	if err != nil {
		return err
	}
	d := &messages.Declaration{
		Version:  uint64(configuration.Version),
		Document: document,
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := g.declareLocally(ctx, d)
	if err != nil {
		return &UnconfirmedError{}
	}
	if reply.accepted {
		return nil
	}
	if reply.leader == "" || reply.leader == g.Settings.OwnPeerAddress() {
		return &UnconfirmedError{Leader: reply.leader}
	}
	response := &messages.DeclareResponse{}
	err = g.Client.Call(ctx, reply.leader, MethodDeclare, &messages.DeclareRequest{Declaration: d}, response)
	if err != nil || !response.GetAccepted() {
		g.Log.Warn().Err(err).Uint64("version", d.GetVersion()).Str("leader", reply.leader).Msg("configuration-not-handed-on")
		return &UnconfirmedError{Leader: reply.leader}
	}
	return nil
}

// LatestConfiguration returns the newest committed configuration, or nil where there is none; a
// *UnconfirmedError where a later one may exist.
func (g *Governor) LatestConfiguration(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := g.readLocally(ctx)
	if err != nil {
		return nil, &UnconfirmedError{}
	}
	if reply.authoritative {
		return reply.declaration.GetDocument(), nil
	}
	if reply.leader == "" || reply.leader == g.Settings.OwnPeerAddress() {
		return nil, &UnconfirmedError{Leader: reply.leader}
	}
	response := &messages.ReadDeclarationResponse{}
	err = g.Client.Call(ctx, reply.leader, MethodReadDeclaration, &messages.ReadDeclarationRequest{}, response)
	if err != nil || !response.GetSure() {
		return nil, &UnconfirmedError{Leader: reply.leader}
	}
	return response.GetDeclaration().GetDocument(), nil
}

// Announce handles an upstream's heartbeat. It returns nil once the heartbeat takes effect; an *enroller.InvalidError
// where it never can.
func (g *Governor) Announce(ctx context.Context, r enroller.Registration) error {
	if err := r.Validate(); err != nil {
		return err
	}
	return g.announce(ctx, announcementReceived{registration: r})
}

// Deregister handles the deregistration of an upstream's incarnation, of any if it is 0. It returns nil once no entry
// that is in contact with the leader uses it; an *enroller.InvalidError where the id cannot be one.
func (g *Governor) Deregister(ctx context.Context, id units.Upstream, incarnation units.Incarnation) error {
	return g.Announce(ctx, enroller.NewDeparture(id, incarnation))
}

func (g *Governor) announce(ctx context.Context, a announcementReceived) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := sendAndWait(ctx, g, func(reply chan<- announceReply) event {
		a.reply = reply
		return a
	})
	if err != nil {
		return &UnconfirmedError{}
	}
	if !reply.leaderReached && reply.leader == "" && !reply.leaderSeenRecently {
		// An instance that is cut off would accept heartbeats that reach no leader. But if
		// heartbeats were refused during a short election, each upstream would try all
		// instances in turn, and these would be busy with nothing else.
		return &UnconfirmedError{}
	}
	if reply.unrecorded {
		return &UnconfirmedError{Leader: reply.leader}
	}
	if reply.departs == nil {
		return nil
	}
	return g.depart(ctx, reply)
}
