package connector

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/certifier"
)

// handshakeTimeout bounds the TLS handshake of one connection, so that ends
// that connect and say nothing cannot pile up.
const handshakeTimeout = 2 * time.Second

// acceptPause is how long a process without a free descriptor waits before it accepts
// the next connection.
const acceptPause = 50 * time.Millisecond

// Handler answers one request, which came encoded; a nil response answers a notification.
type Handler func(ctx context.Context, peer Peer, content []byte) (proto.Message, error)

// Peer is what a connection proved about its other end.
type Peer struct {
	// Identity is what the certificate states, or nobody without TLS.
	Identity certifier.Identity
	// Secured says that the connection runs over TLS.
	Secured bool
}

// Plays returns an error unless the peer has the role; without TLS every peer passes.
func (p Peer) Plays(role certifier.Role) error {
	if !p.Secured {
		return nil
	}
	return p.Identity.Require(role)
}

// Speaks returns an error unless the peer may send a message in the name of an
// instance; without TLS there is nothing to tell by, and every name passes.
func (p Peer) Speaks(role certifier.Role, name string) error {
	if !p.Secured {
		return nil
	}
	return p.Identity.RequireName(role, name)
}

// Server answers other processes of the system.
type Server struct {
	Listener net.Listener
	// TLS is nil only where the settings allow plain loopback.
	TLS *tls.Config
	// Traffic counts what goes over the server's connections; it may be nil.
	Traffic *Traffic
	// Log may be left out.
	Log zerolog.Logger
	// Allowed narrows the roles that may call a method; any other method is
	// open to control and entries.
	Allowed map[Method][]certifier.Role

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
	s.handlers[method] = func(ctx context.Context, peer Peer, content []byte) (proto.Message, error) {
		request := RequestPointer(new(Request))
		if err := decode(content, request); err != nil {
			return nil, refused(jsonrpc2.CodeInvalidParams, err)
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
		if passing(err) {
			s.Log.Warn().Err(err).Int64("pause-ms", acceptPause.Milliseconds()).Msg("connection-not-accepted")
			pause(ctx, acceptPause)
			continue
		}
		if err != nil {
			return fmt.Errorf("accept a process's connection: %w", err)
		}
		go s.serve(ctx, conn)
	}
}

// passing reports whether a later connection may be accepted after an error. A process
// that ended for want of a descriptor would take its vote and its table with it.
func passing(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED)
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
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
	peer, secured, err := s.secure(ctx, s.Traffic.count(conn))
	if err != nil {
		_ = conn.Close()
		return
	}
	carried := newStream(secured)
	handler := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
		return s.answer(ctx, peer, carried, request)
	})
	rpc := jsonrpc2.NewConn(ctx, carried, jsonrpc2.AsyncHandler(handler.SuppressErrClosed()), quiet)
	s.track(rpc)
	<-rpc.DisconnectNotify()
	s.forget(rpc)
}

func (s *Server) secure(ctx context.Context, conn net.Conn) (Peer, net.Conn, error) {
	if s.TLS == nil {
		return Peer{}, conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, s.TLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		return Peer{}, nil, err
	}
	state := secured.ConnectionState()
	identity, err := certifier.PeerOf(&state)
	if err != nil {
		return Peer{}, nil, err
	}
	peer := Peer{
		Identity: identity,
		Secured:  true,
	}
	return peer, secured, nil
}

// authorize keeps upstreams and operators, whose certificates the same
// authorities sign, from speaking as processes of the system.
func (s *Server) authorize(peer Peer, method Method) error {
	if !peer.Secured {
		return nil
	}
	roles, narrowed := s.Allowed[method]
	if !narrowed {
		roles = defaultRoles
	}
	return peer.Identity.Require(roles...)
}

var defaultRoles = []certifier.Role{certifier.Control, certifier.Entry}

func (s *Server) answer(ctx context.Context, peer Peer, carried *stream, request *jsonrpc2.Request) (any, error) {
	content, missing := carried.take(request.Params)
	handle, known := s.handlers[Method(request.Method)]
	if !known {
		return nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeMethodNotFound,
			Message: fmt.Sprintf("method %q is unknown; run the same version on every instance", request.Method),
		}
	}
	if err := checkProtocol(request); err != nil {
		return nil, err
	}
	if err := s.authorize(peer, Method(request.Method)); err != nil {
		return nil, refused(codeForbidden, err)
	}
	if missing != nil {
		return nil, refused(jsonrpc2.CodeInvalidParams, missing)
	}
	response, err := handle(ctx, peer, content)
	if err != nil || request.Notif {
		return nil, err
	}
	answer, err := encode(response)
	if err != nil {
		return nil, err
	}
	return carried.attach(answer), nil
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
