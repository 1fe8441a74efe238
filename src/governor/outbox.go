package governor

import (
	"context"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	// queueSize is how many messages wait for one instance; the log's heartbeats
	// and the next batches bring what is dropped.
	queueSize = 256
	// receiptTimeout is how long a message's receipt is awaited; a connection
	// that has gone silent holds its instance up no longer.
	receiptTimeout = 300 * time.Millisecond
)

// outbox sends messages to other control instances, one queue and goroutine for
// each, so that a silent one holds up no other.
type outbox struct {
	client *connector.Client

	mu     sync.Mutex
	queues map[string]chan parcel
}

// parcel is one message on its way; one of its fields is set.
type parcel struct {
	log   *messages.LogMessage
	batch *messages.UpstreamBatch
}

// post queues a message and drops it where the queue is full.
func (o *outbox) post(ctx context.Context, address string, p parcel) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.queues == nil {
		o.queues = make(map[string]chan parcel)
	}
	queue := o.queues[address]
	if queue == nil {
		queue = make(chan parcel, queueSize)
		o.queues[address] = queue
		go o.deliver(ctx, address, queue)
	}
	select {
	case queue <- p:
	default:
	}
}

func (o *outbox) deliver(ctx context.Context, address string, queue <-chan parcel) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-queue:
			if err := o.send(ctx, address, p); err != nil {
				discard(queue)
			}
		}
	}
}

func (o *outbox) send(ctx context.Context, address string, p parcel) error {
	ctx, cancel := context.WithTimeout(ctx, receiptTimeout)
	defer cancel()
	if p.log != nil {
		return o.client.Call(ctx, address, MethodLog, p.log, &messages.LogMessage{})
	}
	return o.client.Call(ctx, address, MethodSpread, p.batch, &messages.UpstreamBatchResponse{})
}

// discard drops what has waited while the other end was silent; only the newest
// messages matter.
func discard(queue <-chan parcel) {
	for range len(queue) {
		<-queue
	}
}
