package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rosecroft/rosecroft/src/admitter"
	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/inspector"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/persister"
	"github.com/rosecroft/rosecroft/src/units"
)

// Control is one control process; its fields are set before Run.
type Control struct {
	Settings *parser.Settings
	Log      zerolog.Logger
	Meter    *meter.Meter
	// Peers and Operators listen on the addresses in the settings.
	Peers     net.Listener
	Operators net.Listener
	Client    *connector.Client
	// Certificates is nil only in tests.
	Certificates *certifier.Certifier

	coordinator *coordinator
	// clients bounds what operators and other processes hold.
	clients *admitter.Admitter
}

// Run serves until ctx ends; after an error the process must exit.
func (c *Control) Run(ctx context.Context) error {
	folder, kept, err := persister.Open(c.Settings.DataFolder, c.Settings.Name)
	if err != nil {
		return fmt.Errorf("open the data folder: %w; check that it is on a disk with free space that this process may write to", err)
	}
	defer func() { _ = folder.Close() }()
	reported := c.newCapper()
	c.Client.Bounds = connector.Bounds{Capper: reported}
	out := newOutbox(c.Client, c.Settings)
	c.coordinator, err = newCoordinator(c.Settings, c.Log, folder, kept, out)
	if err != nil {
		return err
	}
	c.clients = &admitter.Admitter{
		Limits: admitter.NewLimits(c.Settings.ClientLimits, 0),
		Log:    c.Log,
		Scope:  c.Meter.Scope,
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.clients.Run(ctx) })
	out.run(ctx)
	c.coordinator.orders.client.Transport = capper.NewTransport(&http.Transport{
		TLSClientConfig: c.Certificates.UpstreamClientConfig(),
	})
	c.coordinator.orders.capper = reported
	c.coordinator.purchases.capper = reported
	c.coordinator.orders.run(ctx)
	c.coordinator.purchases.run(ctx)
	group.Go(func() error { return c.coordinator.run(ctx) })
	group.Go(func() error { return c.Certificates.Run(ctx) })
	group.Go(func() error { return c.peerServer().Run(ctx) })
	group.Go(func() error { return c.operatorServer().Run(ctx) })
	c.Log.Info().
		Str("operators", c.Operators.Addr().String()).
		Str("peers", c.Peers.Addr().String()).
		Str("voter", string(kept.ID)).
		Str("log", kept.Snapshot.GetLogId()).
		Int("records", len(kept.Records)).
		Uint64("snapshot", kept.Snapshot.GetIndex()).
		Msg("started")
	return group.Wait()
}

// newCapper returns what reports messages and answers that exceed a bound.
func (c *Control) newCapper() *capper.Capper {
	return &capper.Capper{
		Log:   c.Log,
		Scope: c.Meter.Scope,
	}
}

func (c *Control) peerServer() *connector.Server {
	server := &connector.Server{
		Listener: c.clients.NewPeerListener(c.Peers, admitter.ControlPeerFraction, 0),
		TLS:      c.Certificates.PeerConfig(),
		Traffic:  c.Client.Traffic,
		Bounds:   connector.Bounds{Capper: c.newCapper()},
		AllowedRoles: map[connector.Method][]certifier.Role{
			MethodLog:       {certifier.Control},
			MethodSubmit:    {certifier.Control},
			MethodHeartbeat: {certifier.Entry},
			MethodReport:    {certifier.Entry},
			MethodStatus:    {certifier.Control},
		},
	}
	connector.Handle(server, MethodLog, c.onLog)
	connector.Handle(server, MethodSubmit, c.onSubmit)
	connector.Handle(server, MethodHeartbeat, c.onHeartbeat)
	connector.Handle(server, MethodStatus, c.onStatus)
	connector.Handle(server, MethodReport, c.onReport)
	return server
}

func (c *Control) operatorServer() *inspector.Inspector {
	listener := c.clients.NewListener(c.Operators, "operators", admitter.OperatorFraction, 0)
	listener.MaxConnections = c.Settings.ClientLimits.Connections
	return &inspector.Inspector{
		Listener:    listener,
		Protect:     c.clients.Protect,
		TLS:         c.Certificates.OperatorConfig(),
		Dump:        c.dump,
		Ready:       func() bool { return true },
		Metrics:     c.Meter.Handler,
		WebServices: []*restful.WebService{c.operatorRoutes()},
	}
}

func (c *Control) onLog(ctx context.Context, peer connector.Peer, message *messages.LogMessage) (*messages.LogMessage, error) {
	// A vote sent in another voter's name could give two leaders a majority.
	if err := peer.RequireName(certifier.Control, string(units.VoterID(message.GetFrom()).Instance())); err != nil {
		return nil, err
	}
	return &messages.LogMessage{}, c.postEvent(ctx, logMessageReceived{message: message})
}

func (c *Control) onSubmit(ctx context.Context, _ connector.Peer, submission *messages.Submission) (*messages.SubmissionResult, error) {
	return c.submitLocally(ctx, submission)
}

func (c *Control) onHeartbeat(ctx context.Context, peer connector.Peer, heartbeat *messages.EntryHeartbeat) (*messages.EntryHeartbeatResponse, error) {
	// A heartbeat sent in another entry's name could report a version as in force that is not.
	if err := peer.RequireName(certifier.Entry, heartbeat.GetEntry()); err != nil {
		return nil, err
	}
	reply := make(chan *messages.EntryHeartbeatResponse, 1)
	if err := c.postEvent(ctx, heartbeatReceived{heartbeat: heartbeat, reply: reply}); err != nil {
		return nil, err
	}
	return await(ctx, reply)
}

func (c *Control) onStatus(ctx context.Context, _ connector.Peer, _ *messages.StatusRequest) (*messages.Status, error) {
	return c.localStatus(ctx)
}

func (c *Control) submitLocally(ctx context.Context, submission *messages.Submission) (*messages.SubmissionResult, error) {
	reply := make(chan submitReply, 1)
	command := &messages.Command{
		Change: &messages.Command_Submission{
			Submission: submission,
		},
	}
	if err := c.postEvent(ctx, commandSubmitted{command: command, reply: reply}); err != nil {
		return nil, err
	}
	answer, err := await(ctx, reply)
	if err != nil {
		return nil, err
	}
	result, _ := answer.result.(*messages.SubmissionResult)
	return result, answer.err
}

func (c *Control) localStatus(ctx context.Context) (*messages.Status, error) {
	reply := make(chan statusReply, 1)
	if err := c.postEvent(ctx, statusRequested{reply: reply}); err != nil {
		return nil, err
	}
	answer, err := await(ctx, reply)
	if err != nil {
		return nil, err
	}
	return answer.status, answer.err
}

func (c *Control) dump(ctx context.Context) (any, error) {
	reply := make(chan *Dump, 1)
	if err := c.postEvent(ctx, dumpRequested{reply: reply}); err != nil {
		return nil, err
	}
	return await(ctx, reply)
}

func (c *Control) postEvent(ctx context.Context, e event) error {
	select {
	case c.coordinator.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func await[T any](ctx context.Context, reply <-chan T) (T, error) {
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		var none T
		return none, fmt.Errorf("wait for the coordinator: %w", ctx.Err())
	}
}

// requestTimeout bounds an operator's request.
const requestTimeout = 5 * time.Second
