package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/messages"
)

// Methods that entries serve.
const (
	MethodHeartbeat connector.Method = "entry/heartbeat"
	MethodUpdate    connector.Method = "entry/update"
	MethodContact   connector.Method = "entry/contact"
)

// pushTimeout bounds one push. The next heartbeat delivers an update that was not pushed in time.
const pushTimeout = 500 * time.Millisecond

// Pusher pushes updates to entries, at most one at a time to each address.
type Pusher struct {
	Client *connector.Client

	mu       sync.Mutex
	inFlight map[string]bool
}

// Push sends an update to one address without waiting for the response. It does nothing while an
// earlier push to the address is in flight.
func (p *Pusher) Push(ctx context.Context, address string, update *messages.ConfigurationUpdate) {
	if update == nil || !p.tryStart(address) {
		return
	}
	go func() {
		defer p.finish(address)
		ctx, cancel := context.WithTimeout(ctx, pushTimeout)
		defer cancel()
		_ = p.Client.Call(ctx, address, MethodUpdate, update, &messages.ConfigurationPushResponse{})
	}()
}

func (p *Pusher) tryStart(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[address] {
		return false
	}
	if p.inFlight == nil {
		p.inFlight = make(map[string]bool)
	}
	p.inFlight[address] = true
	return true
}

func (p *Pusher) finish(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, address)
}
