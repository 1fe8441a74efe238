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

// handshakeTimeout bounds the TLS handshake of one connection, so that clients that
// connect and send nothing do not accumulate.
const handshakeTimeout = 2 * time.Second

// acceptBackoff is how long the server waits after a temporary accept error, such as a lack
// of file descriptors, before it accepts the next connection.
const acceptBackoff = 50 * time.Millisecond

// Handler handles one request, given in encoded form; the response to a notification is nil.
type Handler func(ctx context.Context, peer Peer, content []byte) (proto.Message, error)

// Peer is the verified identity of the other end of a connection.
type Peer struct {
	// Identity is the identity in the peer's certificate, or the zero value without TLS.
	Identity certifier.Identity
	// Secured reports whether the connection uses TLS.
	Secured bool

	conn   *jsonrpc2.Conn
	stream *stream
}

// Notify sends a message to the peer, which receives it before the response to its current call if
// it has made that call on a session.
func (p Peer) Notify(ctx context.Context, method Method, message proto.Message) error {
	content, err := encode(message)
	if err != nil {
		return err
	}
	if err := p.conn.Notify(ctx, string(method), p.stream.attach(content), withProtocolVersion); err != nil {
		return fmt.Errorf("notify %s: %w", method, err)
	}
	return nil
}

// Disconnect closes the connection to the peer.
func (p Peer) Disconnect() { _ = p.conn.Close() }

// RequireRole returns an error unless the peer has the role; without TLS every peer is accepted.
func (p Peer) RequireRole(role certifier.Role) error {
	if !p.Secured {
		return nil
	}
	return p.Identity.Require(role)
}

// RequireName returns an error unless the peer has the role and the name that a message claims
// as its sender; without TLS there is no identity to check, and every name is accepted.
func (p Peer) RequireName(role certifier.Role, name string) error {
	if !p.Secured {
		return nil
	}
	return p.Identity.RequireName(role, name)
}

// Server answers requests of the system's other processes.
type Server struct {
	Listener net.Listener
	// TLS is nil only where the settings allow unencrypted loopback connections.
	TLS *tls.Config
	// Traffic counts bytes and messages on the server's connections; it may be nil.
	Traffic *Traffic
	// Log may be the zero value, which logs nothing.
	Log zerolog.Logger
	// AllowedRoles lists the roles that may call a method; a method without an entry may be
	// called by control and entries.
	AllowedRoles map[Method][]certifier.Role
	// Bounds bounds the requests of the other processes.
	Bounds Bounds

	mu       sync.Mutex
	handlers map[Method]Handler
	conns    map[*jsonrpc2.Conn]struct{}
}

// Handle registers a typed handler for one method; it must be called before Run.
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
			return nil, newError(jsonrpc2.CodeInvalidParams, err)
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
		if isTemporary(err) {
			s.Log.Warn().Err(err).Int64("pause-ms", acceptBackoff.Milliseconds()).Msg("connection-not-accepted")
			sleep(ctx, acceptBackoff)
			continue
		}
		if err != nil {
			return fmt.Errorf("accept a peer's connection: %w", err)
		}
		go s.serve(ctx, conn)
	}
}

// isTemporary reports whether later connections may be accepted in spite of an error. A
// control process that exited for lack of a descriptor would remove its vote and its table
// of upstreams from the system.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED)
}

func sleep(ctx context.Context, wait time.Duration) {
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

// established is a connection that wants to know that its client is another process of the system.
type established interface {
	Established()
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	var recognised sync.Once
	peer, secured, err := s.handshake(ctx, s.Traffic.wrap(conn))
	if err != nil {
		_ = conn.Close()
		return
	}
	objects := newStream(secured, s.Bounds)
	handler := jsonrpc2.HandlerWithError(func(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
		caller := peer
		caller.conn, caller.stream = rpc, objects
		if c, wants := conn.(established); wants && s.handlers[Method(request.Method)] != nil {
			recognised.Do(c.Established)
		}
		return s.answer(ctx, caller, request)
	})
	rpc := jsonrpc2.NewConn(ctx, objects, jsonrpc2.AsyncHandler(handler.SuppressErrClosed()), discardLogs)
	s.addConn(rpc)
	<-rpc.DisconnectNotify()
	s.removeConn(rpc)
}

func (s *Server) handshake(ctx context.Context, conn net.Conn) (Peer, net.Conn, error) {
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
	identity, err := certifier.PeerIdentity(&state)
	if err != nil {
		return Peer{}, nil, err
	}
	peer := Peer{
		Identity: identity,
		Secured:  true,
	}
	return peer, secured, nil
}

// authorize returns an error unless the peer's role may call the method. Upstreams and
// operators have certificates of the same authorities and must not pass for processes of
// the system.
func (s *Server) authorize(peer Peer, method Method) error {
	if !peer.Secured {
		return nil
	}
	roles, isRestricted := s.AllowedRoles[method]
	if !isRestricted {
		roles = defaultRoles
	}
	return peer.Identity.Require(roles...)
}

var defaultRoles = []certifier.Role{certifier.Control, certifier.Entry}

func (s *Server) answer(ctx context.Context, peer Peer, request *jsonrpc2.Request) (any, error) {
	message, attachmentError := peer.stream.takeReceived(request.Params)
	defer message.hold.Release()
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
		return nil, newError(codeForbidden, err)
	}
	if attachmentError != nil {
		return nil, newError(jsonrpc2.CodeInvalidParams, attachmentError)
	}
	response, err := handle(ctx, peer, message.content)
	if err != nil || request.Notif {
		return nil, err
	}
	answer, err := encode(response)
	if err != nil {
		return nil, err
	}
	return peer.stream.attach(answer), nil
}

func (s *Server) addConn(conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

func (s *Server) removeConn(conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}
