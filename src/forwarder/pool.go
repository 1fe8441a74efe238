package forwarder

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/watcher"
)

const (
	idlePerUpstream = 64
	idleTimeout     = 30 * time.Second
	// readerBuffer is small, since each open stream holds one.
	readerBuffer = 2 << 10
	maxPools     = 1024
)

// Pools holds the connections to upstreams, apart for each address.
type Pools struct {
	// TLS is for upstreams that serve over TLS, nil where none does.
	TLS *tls.Config

	mu    sync.Mutex
	pools map[string]*http.Client
}

// Client returns the client for an upstream's address.
func (p *Pools) Client(address string) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client := p.pools[address]; client != nil {
		return client
	}
	if p.pools == nil {
		p.pools = make(map[string]*http.Client)
	}
	if len(p.pools) >= maxPools {
		p.evict()
	}
	client := p.newClient()
	p.pools[address] = client
	return client
}

// Renew makes all further exchanges with an address use new connections.
//
// Connections that go silent for good do so together: something between the two
// ends has lost track of them. Without this, each idle connection of the pool
// would cost one more call its watchdog's time.
func (p *Pools) Renew(address string, seen *http.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools[address] != seen {
		return
	}
	delete(p.pools, address)
	seen.CloseIdleConnections()
}

// evict drops one pool; what runs over it goes on. The lock is held.
func (p *Pools) evict() {
	for address, client := range p.pools {
		delete(p.pools, address)
		client.CloseIdleConnections()
		return
	}
}

func (p *Pools) newClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: watcher.Connect,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerUpstream,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			TLSClientConfig:     p.TLS,
			TLSHandshakeTimeout: watcher.Connect,
			ReadBufferSize:      readerBuffer,
			WriteBufferSize:     readerBuffer,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
