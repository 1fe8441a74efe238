package governor

import (
	"context"
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/messages"
)

// inheritInterval is how often a new leader asks the instances that have not answered yet.
const inheritInterval = 200 * time.Millisecond

// inheritance is what a new leader learns of departures from all other control instances. A majority holds a departure that
// was acknowledged, and the next leader need not be one of them; nor need the instance that received it still run. Only
// the coordinator's goroutine uses it.
type inheritance struct {
	coordinator *coordinator
	client      *connector.Client
	// askedAt is when the others were last asked in this leadership, heard are those that have answered, and failed
	// those that have once not done so.
	askedAt time.Time
	heard   map[string]bool
	failed  map[string]bool
}

// startLeadership starts with nothing heard.
func (i *inheritance) startLeadership() {
	i.askedAt = time.Time{}
	i.heard = make(map[string]bool)
	i.failed = make(map[string]bool)
}

// tick asks the instances that have not answered yet, for as long as a departure may be new to an entry.
func (i *inheritance) tick(now time.Time) {
	c := i.coordinator
	if now.Sub(c.leaderSince) > departureRepeatTime || now.Sub(i.askedAt) < inheritInterval {
		return
	}
	i.askedAt = now
	question := i.question()
	for _, instance := range c.node.OtherInstances() {
		if address := string(instance); !i.heard[address] {
			go i.ask(c.ctx, address, question)
		}
	}
}

// question returns the message that asks for departures.
func (i *inheritance) question() *messages.UpstreamBatch {
	return &messages.UpstreamBatch{
		From:            i.coordinator.settings.OwnPeerAddress(),
		WallNs:          time.Now().UnixNano(),
		WantsDepartures: true,
	}
}

// ask asks one instance; it runs in a goroutine of its own.
func (i *inheritance) ask(ctx context.Context, address string, question *messages.UpstreamBatch) {
	callContext, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	response := &messages.UpstreamBatchResponse{}
	err := i.client.Call(callContext, address, MethodUpstreamBatch, question, response)
	select {
	case i.coordinator.events <- departuresHeld{
		from:       address,
		departures: response.GetDepartures(),
		err:        err,
	}:
	case <-ctx.Done():
	}
}

// learn merges what an instance holds.
func (i *inheritance) learn(now time.Time, held departuresHeld) {
	c := i.coordinator
	if held.err != nil {
		if !i.failed[held.from] {
			i.failed[held.from] = true
			c.log.Warn().Err(held.err).Str("control", held.from).Msg("departures-not-heard")
		}
		return
	}
	i.heard[held.from] = true
	for _, message := range held.departures {
		if c.table.Merge(now, message) {
			c.logUpstream(message, held.from)
		}
	}
	c.log.Info().
		Str("control", held.from).
		Int("departures", len(held.departures)).
		Msg("departures-heard")
}
