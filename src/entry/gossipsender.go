package entry

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/gossiper"
	"github.com/rosecroft/rosecroft/src/messages"
)

// MethodGossip carries the rumours about upstreams that entries exchange.
const MethodGossip = "entry/gossip"

const (
	gossipTimeout = 500 * time.Millisecond
	// gossipQueueSize and maxGossipInFlight bound the messages without a response, so that
	// unresponsive entries do not hold an unbounded number of goroutines.
	gossipQueueSize   = 256
	maxGossipInFlight = 32
)

// gossipSender sends gossip and passes the responses to the coordinator.
type gossipSender struct {
	client   *connector.Client
	events   chan<- event
	queue    chan gossiper.Send
	sent     tally.Counter
	failed   tally.Counter
	received tally.Counter
}

func newGossipSender(client *connector.Client, events chan<- event, scope tally.Scope) *gossipSender {
	return &gossipSender{
		client:   client,
		events:   events,
		queue:    make(chan gossiper.Send, gossipQueueSize),
		sent:     scope.Counter("gossip_sent"),
		failed:   scope.Counter("gossip_failed"),
		received: scope.Counter("gossip_received"),
	}
}

// enqueue queues a message. If the queue is full the message is dropped; digests repair the loss.
func (s *gossipSender) enqueue(send gossiper.Send) {
	select {
	case s.queue <- send:
	default:
		s.failed.Inc(1)
	}
}

// run sends queued messages until ctx ends.
func (s *gossipSender) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range maxGossipInFlight {
		group.Go(func() error {
			s.sendQueued(ctx)
			return nil
		})
	}
	return group.Wait()
}

func (s *gossipSender) sendQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case send := <-s.queue:
			s.deliver(ctx, send)
		}
	}
}

func (s *gossipSender) deliver(ctx context.Context, send gossiper.Send) {
	startedAt := time.Now()
	response := &messages.GossipResponse{}
	s.sent.Inc(1)
	callContext, cancel := context.WithTimeout(ctx, gossipTimeout)
	err := s.client.Call(callContext, send.Address, MethodGossip, send.Gossip, response)
	cancel()
	if err != nil {
		s.failed.Inc(1)
		response = nil
	}
	e := gossipEnded{
		send:     send,
		response: response,
		took:     time.Since(startedAt),
	}
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// onGossip handles another entry's gossip.
func (e *Entry) onGossip(ctx context.Context, peer connector.Peer, gossip *messages.Gossip) (*messages.GossipResponse, error) {
	if err := peer.RequireName(certifier.Entry, gossip.GetFrom()); err != nil {
		return nil, err
	}
	e.coordinator.gossipSender.received.Inc(1)
	reply := make(chan *messages.GossipResponse, 1)
	select {
	case e.coordinator.events <- gossipReceived{gossip: gossip, reply: reply}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case response := <-reply:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
