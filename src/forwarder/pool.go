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
	maxIdlePerUpstream = 64
	idleTimeout        = 30 * time.Second
	// bufferSize is small, since each open stream holds a read buffer.
	bufferSize = 2 << 10
	maxPools   = 1024
)

// Pools holds one HTTP client, with its own connection pool, for each upstream address.
type Pools struct {
	// TLS is the configuration for upstreams that serve over TLS; it is nil if none
	// does.
	TLS *tls.Config

	mu      sync.Mutex
	clients map[string]*http.Client
}

// Client returns the client for an upstream's address.
func (p *Pools) Client(address string) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client := p.clients[address]; client != nil {
		return client
	}
	if p.clients == nil {
		p.clients = make(map[string]*http.Client)
	}
	if len(p.clients) >= maxPools {
		p.evictOne()
	}
	client := p.newClient()
	p.clients[address] = client
	return client
}

// Discard removes an address's client, so that further exchanges use new connections. It
// does nothing if the client has been replaced already.
//
// Connections that become permanently silent usually do so together, because a device between
// the two ends has lost their state. Without Discard, each idle connection of the pool
// would make one more call wait for its watchdog.
func (p *Pools) Discard(address string, client *http.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] != client {
		return
	}
	delete(p.clients, address)
	client.CloseIdleConnections()
}

// evictOne drops one client; exchanges that use it continue. The lock must be held.
func (p *Pools) evictOne() {
	for address, client := range p.clients {
		delete(p.clients, address)
		client.CloseIdleConnections()
		return
	}
}

func (p *Pools) newClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: watcher.ConnectTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdlePerUpstream,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			TLSClientConfig:     p.TLS,
			TLSHandshakeTimeout: watcher.ConnectTimeout,
			ReadBufferSize:      bufferSize,
			WriteBufferSize:     bufferSize,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
