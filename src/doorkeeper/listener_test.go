package doorkeeper

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

const wait = 5 * time.Second

// serve runs a server that holds a few connections and returns its address.
func serve(t *testing.T, most int, handler http.HandlerFunc) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &Listener{
		Listener: inner,
		Most:     most,
	}
	server := &http.Server{
		Handler:           handler,
		ConnState:         listener.Track,
		ReadHeaderTimeout: wait,
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return inner.Addr().String()
}

// dial opens a connection that is closed with the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// call sends a request and returns the status, or the error of a connection that is closed.
func call(conn net.Conn, path string) (int, error) {
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// Guards against upstreams taking every descriptor: ten times as many as are held call in turn.
func TestManyCallersAreServedByFewConnections(t *testing.T) {
	const most = 8
	address := serve(t, most, func(http.ResponseWriter, *http.Request) {})
	for i := range 10 * most {
		status, err := call(dial(t, address), "/")
		if err != nil || status != http.StatusOK {
			t.Fatalf("call %d: got %d (%v), want %d", i, status, err, http.StatusOK)
		}
	}
}

// Guards against closing a connection whose call is still running.
func TestRunningCallsKeepTheirConnections(t *testing.T) {
	const most = 3
	release := make(chan struct{})
	running := make(chan struct{}, most)
	address := serve(t, most, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			running <- struct{}{}
			<-release
		}
	})
	results := make(chan error, most)
	for range most {
		conn := dial(t, address)
		if _, err := call(conn, "/"); err != nil {
			t.Fatal(err)
		}
		go func() {
			_, err := call(conn, "/long")
			results <- err
		}()
		<-running
	}
	if _, err := call(dial(t, address), "/"); err == nil {
		t.Error("a call beyond those that are held: got an answer, want its connection closed")
	}
	close(release)
	for range most {
		if err := <-results; err != nil {
			t.Errorf("a call that was running: got %v, want its answer", err)
		}
	}
}
