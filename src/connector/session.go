package connector

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/proto"
)

// Receiver handles a message that the other process sends during a call; decode fills a message of
// the method's type.
type Receiver func(method Method, decode func(proto.Message) error)

// Session is a connection to another process for one call at a time, during which that process may
// send messages before its response.
type Session struct {
	address string
	conn    *jsonrpc2.Conn
	stream  *stream

	// mu is held while a message is passed on.
	mu      sync.Mutex
	receive Receiver
}

// OpenSession connects to a process with a connection that nothing else uses.
func (c *Client) OpenSession(ctx context.Context, address string) (*Session, error) {
	dialed, err := c.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	s := &Session{
		address: address,
		stream:  newStream(dialed, c.Bounds),
	}
	s.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), s.stream, sessionHandler{session: s}, discardLogs)
	return s, nil
}

// Call sends a request and fills response with the answer. Messages that arrive before it are passed
// to receive, which may be nil, one after another; none is passed on after Call has returned. A call
// that ends with an error closes the session.
func (s *Session) Call(ctx context.Context, method Method, request, response proto.Message, receive Receiver) error {
	content, err := encode(request)
	if err != nil {
		return err
	}
	s.setReceiver(receive)
	defer s.setReceiver(nil)
	var result json.RawMessage
	if err := s.conn.Call(ctx, string(method), s.stream.attach(content), &result, withProtocolVersion); err != nil {
		s.Close()
		return fmt.Errorf("call %s at %s: %w", method, s.address, err)
	}
	answer, err := s.stream.takeReceived(&result)
	if err == nil {
		err = decode(answer.content, response)
		answer.hold.Release()
	}
	if err != nil {
		s.Close()
		return fmt.Errorf("call %s at %s: %w", method, s.address, err)
	}
	return nil
}

// setReceiver waits until the last message has been handled.
func (s *Session) setReceiver(receive Receiver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receive = receive
	if receive == nil {
		// A session that waits for its next call holds no memory.
		s.stream.dropSpare()
	}
}

// IsOpen reports whether neither end has closed the session, as far as is known here.
func (s *Session) IsOpen() bool {
	select {
	case <-s.conn.DisconnectNotify():
		return false
	default:
		return true
	}
}

// LacksRoom reports whether the session ended with a message for which this process had no room.
func (s *Session) LacksRoom() bool { return s.stream.lacksRoom.Load() }

// Close closes the session; a call that is running ends with an error.
func (s *Session) Close() { _ = s.conn.Close() }

// sessionHandler passes the other process's messages to the session's receiver.
type sessionHandler struct {
	session *Session
}

// Handle passes one message on. The library calls it in the order of arrival and reads nothing
// meanwhile, so that a slow receiver slows the sender. A message without its attachment ends the call, whose receiver
// would take what follows for the whole.
func (h sessionHandler) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	message, err := h.session.stream.takeReceived(request.Params)
	h.session.mu.Lock()
	defer h.session.mu.Unlock()
	if err != nil {
		h.session.Close()
		return
	}
	if h.session.receive == nil {
		message.hold.Release()
		return
	}
	h.session.receive(Method(request.Method), func(to proto.Message) error { return decode(message.content, to) })
	// Decoding copies the content.
	h.session.stream.reuse(message)
}
