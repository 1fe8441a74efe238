package connector

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/dialer"
)

// dialTimeout bounds the establishment of one connection, TLS handshake included.
const dialTimeout = time.Second

// discardLogs disables the JSON-RPC library's logging; callers log the errors they get.
var discardLogs = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Dialer opens connections to other processes.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls other processes over one connection per address.
type Client struct {
	// Dialer opens the connections; nil opens them over TCP, with probes that end silent ones.
	Dialer Dialer
	// TLS is nil only where the settings allow unencrypted loopback connections.
	TLS *tls.Config
	// VerifyServer returns an error for a server that is not the one expected at an address; it
	// may be nil.
	VerifyServer func(address string, state *tls.ConnectionState) error
	// Traffic counts bytes and messages on the client's connections; it may be nil.
	Traffic *Traffic
	// Bounds bounds the messages of the other processes. Its Capper counts those of sessions; messages of control
	// are bounded one by one, as an entry must get them also while answers fill its memory.
	Bounds Bounds

	mu    sync.Mutex
	conns map[string]*connection
}

// connection is a JSON-RPC connection to another process.
type connection struct {
	*jsonrpc2.Conn
	stream *stream
}

// Call sends a request and fills response with the answer.
//
// A call that exceeds its deadline closes the connection: a connection that has stopped
// answering does not recover, and each later call on it would time out as well.
func (c *Client) Call(ctx context.Context, address string, method Method, request, response proto.Message) error {
	content, err := encode(request)
	if err != nil {
		return err
	}
	conn, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	var result json.RawMessage
	err = conn.Call(ctx, string(method), conn.stream.attach(content), &result, withProtocolVersion)
	if err != nil {
		c.dropOnTransportError(address, conn, err)
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	answer, err := conn.stream.takeReceived(&result)
	if err != nil {
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	defer answer.hold.Release()
	return decode(answer.content, response)
}

// Notify sends a message without waiting for a response; the message may be lost.
func (c *Client) Notify(ctx context.Context, address string, method Method, message proto.Message) error {
	content, err := encode(message)
	if err != nil {
		return err
	}
	conn, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	if err := conn.Notify(ctx, string(method), conn.stream.attach(content), withProtocolVersion); err != nil {
		c.drop(address, conn)
		return fmt.Errorf("notify %s at %s: %w", method, address, err)
	}
	return nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

func (c *Client) conn(ctx context.Context, address string) (*connection, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	dialed, err := c.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	objects := newStream(dialed, c.Bounds.alone())
	conn = &connection{
		Conn:   jsonrpc2.NewConn(context.WithoutCancel(ctx), objects, requestIgnorer{}, discardLogs),
		stream: objects,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		_ = conn.Close()
		return other, nil
	}
	if c.conns == nil {
		c.conns = make(map[string]*connection)
	}
	c.conns[address] = conn
	go c.dropOnDisconnect(address, conn)
	return conn, nil
}

// dropOnDisconnect removes a connection that the other end has closed, so that the next
// message to a restarted process is not sent on it and lost.
func (c *Client) dropOnDisconnect(address string, conn *connection) {
	<-conn.DisconnectNotify()
	c.drop(address, conn)
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var opener Dialer = dialer.New()
	if c.Dialer != nil {
		opener = c.Dialer
	}
	tcpConn, err := opener.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcpConn = c.Traffic.wrap(tcpConn)
	if c.TLS == nil {
		return tcpConn, nil
	}
	tlsConn, err := c.handshake(ctx, address, tcpConn)
	if err != nil {
		return nil, errors.Join(err, tcpConn.Close())
	}
	return tlsConn, nil
}

// handshake sets up TLS and verifies the identity of the server.
func (c *Client) handshake(ctx context.Context, address string, tcpConn net.Conn) (net.Conn, error) {
	config := c.TLS.Clone()
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		config.ServerName = host
	}
	tlsConn := tls.Client(tcpConn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	if c.VerifyServer == nil {
		return tlsConn, nil
	}
	state := tlsConn.ConnectionState()
	return tlsConn, c.VerifyServer(address, &state)
}

func (c *Client) dropOnTransportError(address string, conn *connection, err error) {
	var rpcError *jsonrpc2.Error
	if errors.As(err, &rpcError) {
		return
	}
	c.drop(address, conn)
}

func (c *Client) drop(address string, conn *connection) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// requestIgnorer handles requests that arrive on a client's connection.
type requestIgnorer struct{}

// Handle ignores the request, since servers never send requests to clients.
func (requestIgnorer) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
