package governor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/inspector"
	"github.com/rosecroft/rosecroft/src/keeper"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// reopenPause is how long a voter whose disk failed waits before it reads
	// what the disk holds and goes on from there.
	reopenPause = 500 * time.Millisecond
	// callTimeout bounds what one control instance asks of another for a caller.
	callTimeout = 700 * time.Millisecond
)

// NotSureError says that this instance cannot answer now.
type NotSureError struct {
	Leader string
}

// Error names the remedy.
func (e *NotSureError) Error() string {
	return fmt.Sprintf("this control instance cannot answer now (leader %q); ask again, or ask another one", e.Leader)
}

// Governor is one control process; its fields are set before Run.
type Governor struct {
	Settings *parser.Deployment
	Log      zerolog.Logger
	Meter    *meter.Meter
	// Decode reads a configuration in the operators' format; what it refuses is
	// never committed.
	Decode func(document []byte) (*matcher.Declaration, error)
	// Cloud is nil where the platform takes no calls.
	Cloud  Cloud
	Client *connector.Client
	// Peers and Metrics are bound to the addresses of the settings; Metrics may be nil.
	Peers   net.Listener
	Metrics net.Listener

	box chan event
	// polls is a box of its own, so that no number of entries holds up anything else.
	polls chan polled
}

// Prepare is called once, before Run and any call.
func (g *Governor) Prepare() {
	if g.Client == nil {
		g.Client = &connector.Client{}
	}
	g.box = make(chan event, boxSize)
	g.polls = make(chan polled, pollsSize)
}

// Run serves until ctx ends. A voter whose disk fails does not end the process:
// it leaves the others to go on without it and begins again from what its disk
// holds, until the disk takes writes again.
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
			}).Run(ctx)
		})
	}
	group.Go(func() error {
		for ctx.Err() == nil {
			if err := g.vote(ctx); err != nil {
				g.Log.Error().Err(err).Msg("voter-stopped")
				g.rest(ctx)
			}
		}
		return nil
	})
	return group.Wait()
}

// vote runs one voter until ctx ends or its disk fails.
func (g *Governor) vote(ctx context.Context) (err error) {
	folder, kept, err := keeper.OpenUnnumbered(g.Settings.DataFolder, units.Instance(g.Settings.OwnPeerAddress()))
	if err != nil {
		return fmt.Errorf("open the data folder: %w", err)
	}
	defer func() { err = errors.Join(err, folder.Close()) }()
	c, err := newCoordinator(g, folder, kept)
	if err != nil {
		return err
	}
	g.Log.Info().
		Str("voter", string(kept.ID)).
		Str("log", kept.Snapshot.GetLogId()).
		Int("records", len(kept.Records)).
		Bool("first-start", g.Settings.FirstStart).
		Strs("seeds", g.Settings.SeedPeers()).
		Msg("voter-started")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	return c.run(ctx)
}

// rest lets a failed disk recover, and turns away whoever asks meanwhile.
func (g *Governor) rest(ctx context.Context) {
	timer := time.NewTimer(reopenPause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case e := <-g.box:
			turnAway(e)
		case p := <-g.polls:
			turnAway(p)
		}
	}
}

// turnAway answers without a voter.
func turnAway(e event) {
	switch e := e.(type) {
	case declared:
		e.reply <- declareReply{}
	case asked:
		e.reply <- readReply{}
	case polled:
		e.reply <- &messages.EntryPollResponse{}
	case announced:
		e.reply <- announceReply{}
	case spread:
		e.reply <- &messages.UpstreamBatchResponse{}
	case rolloutAsked:
		e.reply <- rolloutReply{}
	case rolloutRead:
		e.reply <- rolloutState{}
	case dumpAsked:
		e.reply <- &Dump{}
	case ticked, arrived, reportEnded, orderEnded, reloaded:
	}
}

func (g *Governor) peerServer() *connector.Server {
	server := &connector.Server{
		Listener: g.Peers,
		Log:      g.Log,
	}
	connector.Handle(server, MethodLog, func(ctx context.Context, _ connector.Peer, m *messages.LogMessage) (*messages.LogMessage, error) {
		return &messages.LogMessage{}, g.post(ctx, arrived{message: m})
	})
	connector.Handle(server, MethodPoll, func(ctx context.Context, _ connector.Peer, m *messages.EntryPoll) (*messages.EntryPollResponse, error) {
		return g.poll(ctx, m)
	})
	connector.Handle(server, MethodSpread, func(ctx context.Context, _ connector.Peer, m *messages.UpstreamBatch) (*messages.UpstreamBatchResponse, error) {
		return ask(ctx, g, func(reply chan<- *messages.UpstreamBatchResponse) event {
			return spread{
				batch: m,
				reply: reply,
			}
		})
	})
	connector.Handle(server, MethodDeclare, func(ctx context.Context, _ connector.Peer, m *messages.DeclareRequest) (*messages.DeclareResponse, error) {
		reply, err := g.declareHere(ctx, m.GetDeclaration())
		return &messages.DeclareResponse{
			Accepted: reply.accepted,
			Leader:   reply.leader,
		}, err
	})
	connector.Handle(server, MethodRead, func(ctx context.Context, _ connector.Peer, _ *messages.ReadDeclarationRequest) (*messages.ReadDeclarationResponse, error) {
		reply, err := g.readHere(ctx)
		return &messages.ReadDeclarationResponse{
			Sure:        reply.sure,
			Declaration: reply.declaration,
		}, err
	})
	g.handleRollouts(server)
	return server
}

// poll brings an entry's poll to the coordinator and waits for its reply.
func (g *Governor) poll(ctx context.Context, m *messages.EntryPoll) (*messages.EntryPollResponse, error) {
	reply := make(chan *messages.EntryPollResponse, 1)
	p := polled{
		poll:  m,
		at:    timekeeper.Now(),
		reply: reply,
	}
	select {
	case g.polls <- p:
		return wait(ctx, reply)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ask brings an event to the coordinator and waits for its reply.
func ask[T any](ctx context.Context, g *Governor, form func(chan<- T) event) (T, error) {
	reply := make(chan T, 1)
	if err := g.post(ctx, form(reply)); err != nil {
		var none T
		return none, err
	}
	return wait(ctx, reply)
}

// wait returns the coordinator's reply.
func wait[T any](ctx context.Context, reply <-chan T) (T, error) {
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		var none T
		return none, fmt.Errorf("wait for the coordinator: %w", ctx.Err())
	}
}

func (g *Governor) post(ctx context.Context, e event) error {
	select {
	case g.box <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Governor) declareHere(ctx context.Context, d *messages.Declaration) (declareReply, error) {
	return ask(ctx, g, func(reply chan<- declareReply) event {
		return declared{
			declaration: d,
			reply:       reply,
		}
	})
}

func (g *Governor) readHere(ctx context.Context) (readReply, error) {
	return ask(ctx, g, func(reply chan<- readReply) event { return asked{reply: reply} })
}

// Reload takes over new settings, of which the seeds count while the process runs.
func (g *Governor) Reload(ctx context.Context, settings *parser.Deployment) {
	if err := g.post(ctx, reloaded{settings: settings}); err != nil {
		g.Log.Warn().Err(err).Msg("settings-not-taken")
	}
}

func (g *Governor) dump(ctx context.Context) (any, error) {
	return ask(ctx, g, func(reply chan<- *Dump) event { return dumpAsked{reply: reply} })
}

// Declare has a configuration committed, here or at the leader. It returns nil
// once a majority of the voters holds it, or a higher version, on disk; a
// *matcher.InvalidError where it can never be taken, a *NotSureError where nobody
// can tell what became of it.
func (g *Governor) Declare(ctx context.Context, document []byte) error {
	declaration, err := g.Decode(document)
	if err != nil {
		return err
	}
	d := &messages.Declaration{
		Version:  uint64(declaration.Version),
		Document: document,
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := g.declareHere(ctx, d)
	if err != nil {
		return &NotSureError{}
	}
	if reply.accepted {
		return nil
	}
	if reply.leader == "" || reply.leader == g.Settings.OwnPeerAddress() {
		return &NotSureError{Leader: reply.leader}
	}
	response := &messages.DeclareResponse{}
	err = g.Client.Call(ctx, reply.leader, MethodDeclare, &messages.DeclareRequest{Declaration: d}, response)
	if err != nil || !response.GetAccepted() {
		g.Log.Warn().Err(err).Uint64("version", d.GetVersion()).Str("leader", reply.leader).Msg("configuration-not-handed-on")
		return &NotSureError{Leader: reply.leader}
	}
	return nil
}

// Newest returns the newest committed configuration, or nil where there is none;
// a *NotSureError where a later one may exist.
func (g *Governor) Newest(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := g.readHere(ctx)
	if err != nil {
		return nil, &NotSureError{}
	}
	if reply.sure {
		return reply.declaration.GetDocument(), nil
	}
	if reply.leader == "" || reply.leader == g.Settings.OwnPeerAddress() {
		return nil, &NotSureError{Leader: reply.leader}
	}
	response := &messages.ReadDeclarationResponse{}
	err = g.Client.Call(ctx, reply.leader, MethodRead, &messages.ReadDeclarationRequest{}, response)
	if err != nil || !response.GetSure() {
		return nil, &NotSureError{Leader: reply.leader}
	}
	return response.GetDeclaration().GetDocument(), nil
}

// Announce takes an upstream's heartbeat; it returns nil once the heartbeat counts.
func (g *Governor) Announce(ctx context.Context, r enroller.Registration) error {
	return g.announce(ctx, announced{registration: r})
}

// Leave takes an upstream's goodbye.
func (g *Governor) Leave(ctx context.Context, id units.Upstream) error {
	return g.announce(ctx, announced{left: id})
}

func (g *Governor) announce(ctx context.Context, a announced) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := ask(ctx, g, func(reply chan<- announceReply) event {
		a.reply = reply
		return a
	})
	if err != nil {
		return &NotSureError{}
	}
	if !reply.leads && reply.leader == "" && !reply.recent {
		// An instance that is cut off would take heartbeats that nobody hears. Refused
		// during an election, each upstream would try all instances in turn, and these would
		// have time for nothing else.
		return &NotSureError{}
	}
	if reply.urgent == nil {
		return nil
	}
	return g.tell(ctx, reply)
}

// tell hands what ends an upstream's work to all other control instances, and
// returns nil once the leader and a majority have it.
//
// Entries ask the leader alone. One that is suspended or killed right after it has
// acknowledged would take the mark with it, and entries that have not polled since
// go on using the upstream under the next leader; all that can lead next have it.
func (g *Governor) tell(ctx context.Context, news announceReply) error {
	batch := &messages.UpstreamBatch{
		From:      g.Settings.OwnPeerAddress(),
		WallNs:    time.Now().UnixNano(),
		Upstreams: []*messages.RegisteredUpstream{news.urgent},
	}
	ctx, cancel := context.WithTimeout(ctx, receiptTimeout)
	defer cancel()
	receipts := make(chan *messages.UpstreamBatchResponse, len(news.others))
	for _, other := range news.others {
		go func() {
			response := &messages.UpstreamBatchResponse{}
			if err := g.Client.Call(ctx, other, MethodSpread, batch, response); err != nil {
				g.Log.Warn().Err(err).Str("control", other).Msg("upstream-not-told")
				response = nil
			}
			receipts <- response
		}()
	}
	told, leads := 1, news.leads
	for range news.others {
		if response := <-receipts; response != nil {
			told++
			leads = leads || response.GetLeads()
		}
	}
	if !leads || told < min(g.Settings.Voters()/2+1, len(news.others)+1) {
		return &NotSureError{Leader: news.leader}
	}
	return nil
}
