package connector

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"

	"github.com/rosecroft/rosecroft/src/messages"
)

const testMethod = "test/submit"

// startServer runs a server of one method and returns its address.
func startServer(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &Server{Listener: listener}
	Handle(server, testMethod, func(_ context.Context, _ Peer, submission *messages.Submission) (*messages.Submission, error) {
		return submission, nil
	})
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(ended)
		_ = server.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return listener.Addr().String()
}

// While a fleet is upgraded, instances of two versions talk to each other. A
// message of another version, or with a field that this one does not know, must
// not be read in its old meaning; the sender learns what to do.
func TestOtherVersionsAreRefused(t *testing.T) {
	address := startServer(t)
	cases := map[string]struct {
		request string
		want    string
	}{
		"this version":   {request: `"params":{"version":"7"},"meta":{"protocol":1}`, want: `"result":{"version":"7"}`},
		"next version":   {request: `"params":{"version":"7"},"meta":{"protocol":2}`, want: "run the same version of rosecroft on every instance"},
		"no version":     {request: `"params":{"version":"7"}`, want: "the request has protocol version 0"},
		"odd version":    {request: `"params":{"version":"7"},"meta":{"protocol":"x"}`, want: "unreadable"},
		"unknown field":  {request: `"params":{"colour":"red"},"meta":{"protocol":1}`, want: "unknown field"},
		"no message":     {request: `"meta":{"protocol":1}`, want: "the message is empty"},
		"unknown method": {request: `"params":{},"meta":{"protocol":1},"method":"other"`, want: "is unknown; run the same version"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			request := `{"jsonrpc":"2.0","id":1,"method":"` + testMethod + `",` + c.request + "}"
			if _, err := conn.Write([]byte(request)); err != nil {
				t.Fatal(err)
			}
			var answer json.RawMessage
			if err := json.NewDecoder(conn).Decode(&answer); err != nil {
				t.Fatal(err)
			}
			got := strings.ReplaceAll(string(answer), "\u00a0", " ")
			if !strings.Contains(got, c.want) {
				t.Errorf("answer: got %s, want %q in it", got, c.want)
			}
		})
	}
}

// FuzzMessage wants no message between processes to end the one that reads it,
// and each that is read to be written back the same.
func FuzzMessage(f *testing.F) {
	for _, seed := range []string{
		"{}", "", "null", "[]", `{"term":"1","appendRequest":{"records":[{"command":{"submission":{"document":"YQ=="}}}]}}`,
		`{"term":-1}`, `{"voteRequest":{},"appendRequest":{}}`, `{"from":1}`, `{"appendRequest":{"records":[null]}}`,
		`{"term":"18446744073709551616"}`, strings.Repeat(`{"appendRequest":`, 1000),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		raw := json.RawMessage(content)
		message := &messages.LogMessage{}
		if err := decode(&raw, message); err != nil {
			return
		}
		encoded, err := encode(message)
		if err != nil {
			t.Fatalf("encode: got %v, want none", err)
		}
		again := &messages.LogMessage{}
		if err := decode(encoded, again); err != nil {
			t.Fatalf("decode: got %v, want none", err)
		}
		if got, want := again.String(), message.String(); got != want {
			t.Errorf("message: got %s, want %s", got, want)
		}
	})
}
