package admitter

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// accountKey is the key of an Account in the contexts of requests.
type accountKey struct{}

// Account is what the client of one request holds. A nil *Account bounds nothing.
type Account struct {
	conn *Conn
}

// AccountOf returns the account of the client whose request a context belongs to, or nil.
func AccountOf(ctx context.Context) *Account {
	account, _ := ctx.Value(accountKey{}).(*Account)
	return account
}

// Grow adds to what the client holds until its request has been answered. It fails with a *RefusedError if there is no
// room.
func (a *Account) Grow(bytes int64) error {
	if a == nil || bytes == 0 {
		return nil
	}
	if bytes >= largeBytes {
		a.conn.widen()
	}
	return a.conn.admitter.grow(a.conn, bytes)
}

// Shrink subtracts from what the client holds.
func (a *Account) Shrink(bytes int64) {
	if a == nil {
		return
	}
	a.conn.admitter.mu.Lock()
	defer a.conn.admitter.mu.Unlock()
	a.conn.admitter.add(a.conn, -bytes)
}

// SetDeadline sets the time by which the request must have been sent, if that is sooner than the limit of the process.
func (a *Account) SetDeadline(timeout time.Duration) {
	// After the end of the request, the server reads only to notice that its client has gone.
	if a.IsRead() || timeout <= 0 || timeout >= a.conn.admitter.limits.RequestTimeout {
		return
	}
	// A connection that cannot have a deadline has ended.
	_ = a.conn.SetReadDeadline(time.Now().Add(timeout))
}

// Answer records the size of the whole answer that is about to be written.
func (a *Account) Answer(bytes int64) {
	if a == nil {
		return
	}
	admitter := a.conn.admitter
	admitter.mu.Lock()
	defer admitter.mu.Unlock()
	admitter.untaken += bytes - a.conn.answer
	a.conn.answer = bytes
}

// IsRead reports whether the request has been read whole, so that its connection can be used again.
func (a *Account) IsRead() bool {
	if a == nil {
		return true
	}
	a.conn.admitter.mu.Lock()
	defer a.conn.admitter.mu.Unlock()
	return a.conn.phase != phaseBody
}

// Protect lets the requests of an HTTP server count, whose listener is a Listener of this Admitter. It must be called
// once the server's other fields are set, and before it serves. A nil *Admitter protects nothing.
func (a *Admitter) Protect(server *http.Server) {
	if a == nil {
		return
	}
	a.setUp()
	if server.ReadTimeout == 0 {
		server.ReadTimeout = a.limits.RequestTimeout
	}
	connContext, connState := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		if c := findConn(conn); c != nil {
			a.mu.Lock()
			c.secured = conn != net.Conn(c)
			a.mu.Unlock()
			ctx = context.WithValue(ctx, accountKey{}, &Account{conn: c})
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if connState != nil {
			connState(conn, state)
		}
		if c := findConn(conn); c != nil {
			c.trackState(state)
		}
	}
	server.Handler = protect(server.Handler)
}

// protect returns a handler that tells the connection of a request which part of it is being read.
func protect(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account := AccountOf(r.Context())
		if account == nil {
			next.ServeHTTP(w, r)
			return
		}
		c := account.conn
		hasBody := r.ContentLength != 0 || len(r.TransferEncoding) > 0
		c.begin(hasBody)
		defer c.end()
		if hasBody {
			// The server needs its own body to tell whether the connection can be used again.
			r = r.WithContext(r.Context())
			r.Body = &body{
				ReadCloser: r.Body,
				conn:       c,
			}
			if c.listener.ReadsNoBodies {
				w.Header().Set("Connection", "close")
			}
		}
		next.ServeHTTP(w, r)
	})
}

// begin records that the head of a request has been read.
func (c *Conn) begin(hasBody bool) {
	c.admitter.mu.Lock()
	defer c.admitter.mu.Unlock()
	if c.phase != phaseHead {
		// The whole head had been received with the request before it.
		c.received, c.beganAt = 0, time.Now()
		c.progressAt = c.beganAt
	}
	c.phase = phaseRunning
	if hasBody {
		c.phase = phaseBody
	}
}

// end gives back what a request held whose handler has ended. What was not read of it is skipped for a moment only.
func (c *Conn) end() {
	a := c.admitter
	a.mu.Lock()
	wasRead := c.phase != phaseBody
	if c.phase != phaseIdle {
		c.phase = phaseDraining
	}
	a.untaken -= c.answer
	c.answer = 0
	if _, isOpen := a.conns[c]; isOpen {
		if c.widened > 0 {
			c.setReceiveBuffer(receiveBuffer)
			c.widened = 0
		}
		a.add(c, connectionBytes+c.queued-c.bytes)
	}
	a.mu.Unlock()
	if !wasRead {
		// A connection that cannot have a deadline has ended.
		_ = c.Conn.SetReadDeadline(time.Now().Add(drainTime))
	}
}

// body is the body of a request, which tells its connection when it has been read.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read reads from the body. Its error is a *RefusedError if the request is not read any further.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == nil {
		return n, nil
	}
	a := b.conn.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case errors.Is(err, io.EOF):
		if b.conn.phase == phaseBody {
			b.conn.phase = phaseRunning
		}
	case b.conn.evicted != "":
		err = &RefusedError{
			Kind:  b.conn.evicted,
			Limit: a.limits.Bytes,
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = &RefusedError{
			Kind:  RequestTimeout,
			Limit: a.limits.Bytes,
		}
	}
	return n, err
}
