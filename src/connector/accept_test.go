package connector

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// scarce is a listener whose process has no free descriptor for a few connections.
type scarce struct {
	net.Listener
	missing atomic.Int32
	err     error
}

// Accept fails while descriptors are missing.
func (s *scarce) Accept() (net.Conn, error) {
	if s.missing.Add(-1) >= 0 {
		return nil, &net.OpError{
			Op:  "accept",
			Err: s.err,
		}
	}
	return s.Listener.Accept()
}

// Guards against a control process that ends because upstreams took all its descriptors.
func TestServerGoesOnWithoutDescriptors(t *testing.T) {
	cases := map[string]struct {
		err  error
		ends bool
	}{
		"too many of the process": {err: syscall.EMFILE},
		"too many of the system":  {err: syscall.ENFILE},
		"a caller that left":      {err: syscall.ECONNABORTED},
		"a listener that is gone": {err: syscall.EBADF, ends: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := &scarce{
				Listener: inner,
				err:      c.err,
			}
			listener.missing.Store(3)
			server := &Server{Listener: listener}
			Handle(server, testMethod, func(_ context.Context, _ Peer, s *messages.Submission) (*messages.Submission, error) {
				return s, nil
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- server.Run(ctx) }()
			if c.ends {
				if err := <-ended; !errors.Is(err, c.err) {
					t.Errorf("error: got %v, want %v", err, c.err)
				}
				return
			}
			client := &Client{}
			defer client.Close()
			callContext, stop := context.WithTimeout(ctx, 5*time.Second)
			defer stop()
			response := &messages.Submission{}
			err = client.Call(callContext, inner.Addr().String(), testMethod, &messages.Submission{Version: 7}, response)
			if got, want := response.GetVersion(), uint64(7); err != nil || got != want {
				t.Errorf("answer: got %d (%v), want %d", got, err, want)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Errorf("end of the server: got %v, want none", err)
			}
		})
	}
}
