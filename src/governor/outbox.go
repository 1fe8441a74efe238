package governor

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	// sendQueueSize is the number of messages queued for one instance. A dropped message is
	// made up for by the next heartbeats of the log and the next batches.
	sendQueueSize = 256
	// ackTimeout is how long a message's acknowledgement is awaited, so that an unresponsive
	// connection does not delay its queue any longer.
	ackTimeout = 300 * time.Millisecond
)

// messageSender sends messages to other control instances, without a guarantee that they arrive.
type messageSender interface {
	enqueue(ctx context.Context, address string, p peerMessage)
}

// outbox sends messages to other control instances. Each has a queue and a goroutine of its
// own, so that an unresponsive instance delays no other.
type outbox struct {
	client *connector.Client
	log    zerolog.Logger

	mu     sync.Mutex
	queues map[string]chan peerMessage
}

// peerMessage is one queued message; exactly one of its fields is set.
type peerMessage struct {
	log   *messages.LogMessage
	batch *messages.UpstreamBatch
}

// enqueue queues a message, and drops it where the queue is full.
func (o *outbox) enqueue(ctx context.Context, address string, p peerMessage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.queues == nil {
		o.queues = make(map[string]chan peerMessage)
	}
	queue := o.queues[address]
	if queue == nil {
		queue = make(chan peerMessage, sendQueueSize)
		o.queues[address] = queue
		go o.deliver(ctx, address, queue)
	}
	select {
	case queue <- p:
	default:
	}
}

func (o *outbox) deliver(ctx context.Context, address string, queue <-chan peerMessage) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-queue:
			err := o.send(ctx, address, p)
			var unencodable *connector.EncodeError
			switch {
			case errors.As(err, &unencodable):
				o.log.Error().Err(err).Str("control", address).Msg("message-not-sent")
			case err != nil:
				drain(queue)
			}
		}
	}
}

func (o *outbox) send(ctx context.Context, address string, p peerMessage) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	if p.log != nil {
		return o.client.Call(ctx, address, MethodLog, p.log, &messages.LogMessage{})
	}
	return o.client.Call(ctx, address, MethodUpstreamBatch, p.batch, &messages.UpstreamBatchResponse{})
}

// drain drops the messages that were queued while the peer did not respond; only the newest
// messages matter.
func drain(queue <-chan peerMessage) {
	for range len(queue) {
		<-queue
	}
}
