package connector

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/proto"
)

// Handler answers one request; a nil response answers a notification.
type Handler func(ctx context.Context, peer Peer, params *json.RawMessage) (proto.Message, error)

// Peer is what a connection proved about its other end.
type Peer struct {
	// Name is the certificate's common name, or "" without TLS.
	Name string
}

// Server answers other processes of the system.
type Server struct {
	Listener net.Listener
	// TLS is nil only where the settings allow plain loopback.
	TLS *tls.Config

	mu       sync.Mutex
	handlers map[Method]Handler
	conns    map[*jsonrpc2.Conn]struct{}
}

// Handle registers a typed handler for one method; it is called before Run.
func Handle[Request any, RequestPointer interface {
	*Request
	proto.Message
}, Response proto.Message](s *Server, method Method, handle func(context.Context, Peer, RequestPointer) (Response, error)) {
	if s.handlers == nil {
		s.handlers = make(map[Method]Handler)
	}
	s.handlers[method] = func(ctx context.Context, peer Peer, params *json.RawMessage) (proto.Message, error) {
		request := RequestPointer(new(Request))
		if err := decode(params, request); err != nil {
			return nil, &jsonrpc2.Error{
				Code:    jsonrpc2.CodeInvalidParams,
				Message: err.Error(),
			}
		}
		return handle(ctx, peer, request)
	}
}

// Run accepts connections until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.mu.Lock()
	s.conns = make(map[*jsonrpc2.Conn]struct{})
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	for {
		conn, err := s.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept a process's connection: %w", err)
		}
		go s.serve(ctx, conn)
	}
}

func (s *Server) close() {
	_ = s.Listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	peer, secured, err := s.secure(ctx, conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	handler := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
		return s.answer(ctx, peer, request)
	})
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(secured), jsonrpc2.AsyncHandler(handler.SuppressErrClosed()), quiet)
	s.track(rpc)
	<-rpc.DisconnectNotify()
	s.forget(rpc)
}

func (s *Server) secure(ctx context.Context, conn net.Conn) (Peer, net.Conn, error) {
	if s.TLS == nil {
		return Peer{}, conn, nil
	}
	secured := tls.Server(conn, s.TLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		return Peer{}, nil, err
	}
	peer := Peer{
		Name: secured.ConnectionState().PeerCertificates[0].Subject.CommonName,
	}
	return peer, secured, nil
}

func (s *Server) answer(ctx context.Context, peer Peer, request *jsonrpc2.Request) (any, error) {
	handle, known := s.handlers[Method(request.Method)]
	if !known {
		return nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeMethodNotFound,
			Message: fmt.Sprintf("method %q is unknown; run the same version on every instance", request.Method),
		}
	}
	response, err := handle(ctx, peer, request.Params)
	if err != nil || request.Notif {
		return nil, err
	}
	return encode(response)
}

func (s *Server) track(conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

func (s *Server) forget(conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}
