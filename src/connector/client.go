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
)

// dialTimeout bounds the set-up of one connection.
const dialTimeout = time.Second

// quiet keeps the library from logging; callers log the errors they get.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Client calls other processes, over one connection for each address.
type Client struct {
	// TLS is nil only where the settings allow plain loopback.
	TLS *tls.Config
	// Check refuses a server that is not the one expected at an address; it may be nil.
	Check func(address string, state *tls.ConnectionState) error
	// Traffic counts what goes over the client's connections; it may be nil.
	Traffic *Traffic

	mu    sync.Mutex
	conns map[string]*line
}

// line is one connection to another process.
type line struct {
	*jsonrpc2.Conn
	stream *stream
}

// Call sends a request and fills response with the answer.
//
// A call that runs into its deadline closes the connection: one that has gone
// silent stays so, and each later call would wait in vain on it.
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
	err = conn.Call(ctx, string(method), conn.stream.attach(content), &result, versioned)
	if err != nil {
		c.dropUnlessAnswered(address, conn, err)
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	answer, err := conn.stream.take(&result)
	if err != nil {
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	return decode(answer, response)
}

// Notify sends a message without waiting for an answer; it may be lost.
func (c *Client) Notify(ctx context.Context, address string, method Method, message proto.Message) error {
	content, err := encode(message)
	if err != nil {
		return err
	}
	conn, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	if err := conn.Notify(ctx, string(method), conn.stream.attach(content), versioned); err != nil {
		c.drop(address, conn)
		return fmt.Errorf("notify %s at %s: %w", method, address, err)
	}
	return nil
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

func (c *Client) conn(ctx context.Context, address string) (*line, error) {
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
	carried := newStream(dialed)
	conn = &line{
		Conn:   jsonrpc2.NewConn(context.WithoutCancel(ctx), carried, refuser{}, quiet),
		stream: carried,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		_ = conn.Close()
		return other, nil
	}
	if c.conns == nil {
		c.conns = make(map[string]*line)
	}
	c.conns[address] = conn
	go c.dropAtEnd(address, conn)
	return conn, nil
}

// dropAtEnd forgets a connection that the other end has closed, so that the
// next message to a restarted process is not lost on it.
func (c *Client) dropAtEnd(address string, conn *line) {
	<-conn.DisconnectNotify()
	c.drop(address, conn)
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := &net.Dialer{}
	plain, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	plain = c.Traffic.count(plain)
	if c.TLS == nil {
		return plain, nil
	}
	secured, err := c.secure(ctx, address, plain)
	if err != nil {
		return nil, errors.Join(err, plain.Close())
	}
	return secured, nil
}

// secure proves who is at the other end.
func (c *Client) secure(ctx context.Context, address string, plain net.Conn) (net.Conn, error) {
	config := c.TLS.Clone()
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		config.ServerName = host
	}
	secured := tls.Client(plain, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	if c.Check == nil {
		return secured, nil
	}
	state := secured.ConnectionState()
	return secured, c.Check(address, &state)
}

func (c *Client) dropUnlessAnswered(address string, conn *line, err error) {
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		return
	}
	c.drop(address, conn)
}

func (c *Client) drop(address string, conn *line) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// refuser answers requests on a connection that only calls.
type refuser struct{}

// Handle ignores the request, since no process calls back on this connection.
func (refuser) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
