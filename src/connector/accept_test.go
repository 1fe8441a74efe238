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

// failingListener is a listener whose first calls of Accept fail.
type failingListener struct {
	net.Listener
	failures atomic.Int32
	err      error
}

// Accept returns err until failures is used up.
func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures.Add(-1) >= 0 {
		return nil, &net.OpError{
			Op:  "accept",
			Err: f.err,
		}
	}
	return f.Listener.Accept()
}

// Guards against a control process that exits because upstreams hold all its file
// descriptors: temporary accept errors must not end the server, others must.
func TestServerSurvivesTemporaryAcceptErrors(t *testing.T) {
	cases := map[string]struct {
		err  error
		ends bool
	}{
		"EMFILE, process limit":     {err: syscall.EMFILE},
		"ENFILE, system limit":      {err: syscall.ENFILE},
		"ECONNABORTED, caller gone": {err: syscall.ECONNABORTED},
		"EBADF, listener closed":    {err: syscall.EBADF, ends: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := &failingListener{
				Listener: tcpListener,
				err:      c.err,
			}
			listener.failures.Store(3)
			server := &Server{Listener: listener}
			Handle(server, testMethod, func(_ context.Context, _ Peer, s *messages.Submission) (*messages.Submission, error) {
				return s, nil
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			runDone := make(chan error, 1)
			go func() { runDone <- server.Run(ctx) }()
			if c.ends {
				if err := <-runDone; !errors.Is(err, c.err) {
					t.Errorf("Run: got error %v, want %v", err, c.err)
				}
				return
			}
			client := &Client{}
			defer client.Close()
			callContext, cancelCall := context.WithTimeout(ctx, 5*time.Second)
			defer cancelCall()
			response := &messages.Submission{}
			err = client.Call(callContext, tcpListener.Addr().String(), testMethod, &messages.Submission{Version: 7}, response)
			if got, want := response.GetVersion(), uint64(7); err != nil || got != want {
				t.Errorf("answer: got %d (%v), want %d", got, err, want)
			}
			cancel()
			if err := <-runDone; err != nil {
				t.Errorf("Run: got error %v, want none", err)
			}
		})
	}
}
