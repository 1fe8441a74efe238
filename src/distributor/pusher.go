package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/messages"
)

// Methods that entries answer.
const (
	MethodHeartbeat connector.Method = "entry/heartbeat"
	MethodUpdate    connector.Method = "entry/update"
	MethodContact   connector.Method = "entry/contact"
)

// pushTimeout bounds one push; what it does not bring, the next heartbeat does.
const pushTimeout = 500 * time.Millisecond

// Pusher sends updates to a bounded number of entries, one at a time to each.
type Pusher struct {
	Client *connector.Client

	mu   sync.Mutex
	busy map[string]bool
}

// Push sends an update to one address without waiting for the answer.
func (p *Pusher) Push(ctx context.Context, address string, update *messages.ConfigurationUpdate) {
	if update == nil || !p.begin(address) {
		return
	}
	go func() {
		defer p.end(address)
		ctx, cancel := context.WithTimeout(ctx, pushTimeout)
		defer cancel()
		_ = p.Client.Call(ctx, address, MethodUpdate, update, &messages.ConfigurationPushResponse{})
	}()
}

func (p *Pusher) begin(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[address] {
		return false
	}
	if p.busy == nil {
		p.busy = make(map[string]bool)
	}
	p.busy[address] = true
	return true
}

func (p *Pusher) end(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, address)
}
