package control

import (
	"context"
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
)

const (
	queueSize   = 256
	sendTimeout = time.Second
)

// outbox sends log messages, one queue and goroutine for each other voter, so
// that a silent voter holds up no other.
type outbox struct {
	client *connector.Client
	queues map[string]chan *messages.LogMessage
	voters []parser.ControlAddress
}

func newOutbox(client *connector.Client, settings *parser.Settings) *outbox {
	o := &outbox{
		client: client,
		queues: make(map[string]chan *messages.LogMessage),
	}
	for _, voter := range settings.Control {
		if voter.Name == settings.Name {
			continue
		}
		o.voters = append(o.voters, voter)
		o.queues[string(voter.Name)] = make(chan *messages.LogMessage, queueSize)
	}
	return o
}

// post queues a message and drops it where the queue is full; the log's
// heartbeats send again what is missing.
func (o *outbox) post(message *messages.LogMessage) {
	select {
	case o.queues[message.GetTo()] <- message:
	default:
	}
}

// run sends until ctx ends.
func (o *outbox) run(ctx context.Context) {
	for _, voter := range o.voters {
		go o.deliver(ctx, voter)
	}
}

func (o *outbox) deliver(ctx context.Context, voter parser.ControlAddress) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-o.queues[string(voter.Name)]:
			sendContext, cancel := context.WithTimeout(ctx, sendTimeout)
			_ = o.client.Notify(sendContext, voter.Address, MethodLog, message)
			cancel()
		}
	}
}
