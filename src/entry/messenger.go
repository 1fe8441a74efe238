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

// MethodGossip carries what entries tell each other of upstreams.
const MethodGossip = "entry/gossip"

const (
	gossipTimeout = 500 * time.Millisecond
	// gossipQueue and gossipsUnderWay bound the messages without an answer, so
	// that silent entries hold no unbounded number of goroutines.
	gossipQueue     = 256
	gossipsUnderWay = 32
)

// messenger sends gossip and brings the answers to the coordinator.
type messenger struct {
	client   *connector.Client
	box      chan<- event
	queue    chan gossiper.Send
	sent     tally.Counter
	failed   tally.Counter
	received tally.Counter
}

func newMessenger(client *connector.Client, box chan<- event, scope tally.Scope) *messenger {
	return &messenger{
		client:   client,
		box:      box,
		queue:    make(chan gossiper.Send, gossipQueue),
		sent:     scope.Counter("gossip_sent"),
		failed:   scope.Counter("gossip_failed"),
		received: scope.Counter("gossip_received"),
	}
}

// post queues a message; beyond the bound it is dropped, and digests repair it.
func (m *messenger) post(send gossiper.Send) {
	select {
	case m.queue <- send:
	default:
		m.failed.Inc(1)
	}
}

// run sends until ctx ends.
func (m *messenger) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range gossipsUnderWay {
		group.Go(func() error {
			m.work(ctx)
			return nil
		})
	}
	return group.Wait()
}

func (m *messenger) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case send := <-m.queue:
			m.deliver(ctx, send)
		}
	}
}

func (m *messenger) deliver(ctx context.Context, send gossiper.Send) {
	started := time.Now()
	response := &messages.GossipResponse{}
	m.sent.Inc(1)
	callContext, cancel := context.WithTimeout(ctx, gossipTimeout)
	err := m.client.Call(callContext, send.Address, MethodGossip, send.Gossip, response)
	cancel()
	if err != nil {
		m.failed.Inc(1)
		response = nil
	}
	e := answered{
		send:     send,
		response: response,
		took:     time.Since(started),
	}
	select {
	case m.box <- e:
	case <-ctx.Done():
	}
}

// onGossip answers another entry.
func (e *Entry) onGossip(ctx context.Context, peer connector.Peer, gossip *messages.Gossip) (*messages.GossipResponse, error) {
	if err := peer.Speaks(certifier.Entry, gossip.GetFrom()); err != nil {
		return nil, err
	}
	e.coordinator.messenger.received.Inc(1)
	reply := make(chan *messages.GossipResponse, 1)
	select {
	case e.coordinator.box <- gossiped{gossip: gossip, reply: reply}:
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
