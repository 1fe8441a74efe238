package control

import (
	"context"
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const outboxQueueSize = 256

// outbox sends log messages. Each other instance has a queue and a goroutine of its
// own, so that an unresponsive one does not delay the others.
type outbox struct {
	client *connector.Client
	queues map[units.Instance]chan *messages.LogMessage
	// instances are the other control instances.
	instances []parser.ControlAddress
	timeout   time.Duration
}

func newOutbox(client *connector.Client, settings *parser.Settings) *outbox {
	o := &outbox{
		client:  client,
		queues:  make(map[units.Instance]chan *messages.LogMessage),
		timeout: settings.Timing.ElectionTimeout / 2,
	}
	for _, instance := range settings.Control {
		if instance.Name == settings.Name {
			continue
		}
		o.instances = append(o.instances, instance)
		o.queues[instance.Name] = make(chan *messages.LogMessage, outboxQueueSize)
	}
	return o
}

// enqueue queues a message and drops it if the queue is full; the log's heartbeats
// cause missing records to be resent.
func (o *outbox) enqueue(message *messages.LogMessage) {
	select {
	case o.queues[units.VoterID(message.GetTo()).Instance()] <- message:
	default:
	}
}

// run starts the goroutines that send messages until ctx ends.
func (o *outbox) run(ctx context.Context) {
	for _, instance := range o.instances {
		go o.deliver(ctx, instance)
	}
}

// deliver waits for each message's acknowledgement. Without that, a connection that
// is broken but considered open at both ends would accept messages until the operating
// system closes it after minutes, and the voter would be unreachable for that time.
func (o *outbox) deliver(ctx context.Context, instance parser.ControlAddress) {
	queue := o.queues[instance.Name]
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-queue:
			receiptContext, cancel := context.WithTimeout(ctx, o.timeout)
			err := o.client.Call(receiptContext, instance.Address, MethodLog, message, &messages.LogMessage{})
			cancel()
			if err != nil {
				discardQueued(queue)
			}
		}
	}
}

// discardQueued drops the messages that were queued while the receiver did not answer.
// Newer messages supersede them, and heartbeats cause missing records to be resent.
func discardQueued(queue <-chan *messages.LogMessage) {
	for range len(queue) {
		<-queue
	}
}
