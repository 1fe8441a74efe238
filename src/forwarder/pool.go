package forwarder

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/dialer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
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
	// Dialer opens the connections; nil opens them over TCP.
	Dialer Dialer
	// OnDialed is called with the outcome of each attempt to open a connection, except those whose
	// caller left; it may be nil.
	OnDialed func(address string, startedAt time.Time, err error)

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
	client := p.newClient(address)
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

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// dial opens a connection to the upstream at an address, which is its URL.
func (p *Pools) dial(ctx context.Context, address, network, hostPort string) (net.Conn, error) {
	startedAt := timekeeper.Now()
	var open Dialer = dialer.New()
	if p.Dialer != nil {
		open = p.Dialer
	}
	timed, cancel := context.WithTimeout(ctx, watcher.ConnectTimeout)
	defer cancel()
	conn, err := open.DialContext(timed, network, hostPort)
	if p.OnDialed != nil && (err == nil || ctx.Err() == nil) {
		p.OnDialed(address, startedAt, err)
	}
	return conn, err
}

// Probe returns why no connection to the upstream at an address can be opened, or nil.
func (p *Pools) Probe(ctx context.Context, address string) error {
	parsed, err := url.Parse(address)
	if err != nil {
		return fmt.Errorf("read the address of an upstream: %w", err)
	}
	conn, err := p.dial(ctx, address, "tcp", parsed.Host)
	if err != nil {
		return err
	}
	return conn.Close()
}

func (p *Pools) newClient(address string) *http.Client {
	return &http.Client{
		Transport: capper.NewTransport(&http.Transport{
			DialContext: func(ctx context.Context, network, hostPort string) (net.Conn, error) {
				return p.dial(ctx, address, network, hostPort)
			},
			MaxIdleConnsPerHost: maxIdlePerUpstream,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			TLSClientConfig:     p.TLS,
			TLSHandshakeTimeout: watcher.ConnectTimeout,
			ReadBufferSize:      bufferSize,
			WriteBufferSize:     bufferSize,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
