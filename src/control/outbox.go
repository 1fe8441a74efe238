package control

import (
	"context"
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const queueSize = 256

// outbox sends log messages, one queue and goroutine for each other instance, so
// that a silent one holds up no other.
type outbox struct {
	client *connector.Client
	queues map[units.Instance]chan *messages.LogMessage
	// Instances are the other control instances.
	instances []parser.ControlAddress
	timeout   time.Duration
}

func newOutbox(client *connector.Client, settings *parser.Settings) *outbox {
	o := &outbox{
		client:  client,
		queues:  make(map[units.Instance]chan *messages.LogMessage),
		timeout: settings.Timing.Election / 2,
	}
	for _, instance := range settings.Control {
		if instance.Name == settings.Name {
			continue
		}
		o.instances = append(o.instances, instance)
		o.queues[instance.Name] = make(chan *messages.LogMessage, queueSize)
	}
	return o
}

// post queues a message and drops it where the queue is full; the log's
// heartbeats send again what is missing.
func (o *outbox) post(message *messages.LogMessage) {
	select {
	case o.queues[units.VoterID(message.GetTo()).Instance()] <- message:
	default:
	}
}

// run sends until ctx ends.
func (o *outbox) run(ctx context.Context) {
	for _, instance := range o.instances {
		go o.deliver(ctx, instance)
	}
}

// deliver waits for the receipt of each message. Without one, a connection that
// both ends believe in and that carries nothing would take messages until the
// system gives it up after minutes, and the voter would be cut off as long.
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
				discard(queue)
			}
		}
	}
}

// discard drops what has waited while the other end was silent; the newest
// messages matter, and heartbeats bring back what is missing.
func discard(queue <-chan *messages.LogMessage) {
	for range len(queue) {
		<-queue
	}
}
